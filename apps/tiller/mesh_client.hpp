/** @file Asks the nodes given, the next one when one is down. */
#pragma once

#include "tillerhall/http/api_client.hpp"

#include <memory>
#include <string>
#include <vector>

namespace tillerhall::cli
{

/** The operator API of several nodes. */
class mesh_client
{
public:
    mesh_client(boost::asio::io_context& io,
                const std::vector<address>& nodes,
                std::string token);

    /**
     * Sends a request that may be repeated to the first node that answers.
     * @return its answer of any status, or why no node answered.
     */
    result<http_response> ask(const std::string& method,
                              const std::string& target,
                              const std::string& body = {});

    /** Asks one node only. */
    result<http_response> ask_node(const address& node,
                                   const std::string& target);

    /** @return the table at @p version (0 is the current one) as CSV. */
    result<std::string> read_csv(std::uint64_t version, std::uint64_t& read);

private:
    boost::asio::io_context& m_io;
    std::vector<std::unique_ptr<api_client>> m_nodes;
    std::string m_token;
};

} // namespace tillerhall::cli
