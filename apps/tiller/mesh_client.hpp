/** @file Client of the operator API with failover between nodes. */
#pragma once

#include "tillerhall/http/api_client.hpp"

#include <memory>
#include <string>
#include <vector>

namespace tillerhall::cli
{

/** Calls the operator API of the configured nodes. */
class mesh_client
{
public:
    mesh_client(boost::asio::io_context& io,
                const std::vector<address>& nodes,
                std::string token);

    /**
     * Sends a request to one node after another until one answers, so it must
     * be idempotent.
     * @return the answer, whatever its status, or the last node's error.
     */
    result<http_response> ask(const std::string& method,
                              const std::string& target,
                              const std::string& body = {});

    /** Sends a GET without token to @p node. */
    result<http_response> ask_node(const address& node,
                                   const std::string& target);

    /** @return the table of @p version (0: the newest) as CSV; @p read_version
     * is set to its version. */
    result<std::string> read_csv(std::uint64_t version,
                                 std::uint64_t& read_version);

private:
    boost::asio::io_context& m_io;
    std::vector<std::unique_ptr<api_client>> m_nodes;
    std::string m_token;
};

} // namespace tillerhall::cli
