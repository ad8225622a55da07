#include "mesh_client.hpp"

#include <boost/json.hpp>

namespace tillerhall::cli
{
namespace
{
constexpr std::chrono::seconds ask_timeout(20);
constexpr std::chrono::seconds ask_node_timeout(3);
} // namespace

mesh_client::mesh_client(boost::asio::io_context& io,
                         const std::vector<address>& nodes,
                         std::string token)
    : m_io(io)
    , m_token(std::move(token))
{
    for (const auto& each : nodes)
        m_nodes.push_back(std::make_unique<api_client>(io, each));
}

result<http_response> mesh_client::ask(const std::string& method,
                                       const std::string& target,
                                       const std::string& body)
{
    error last(error_code::invalid_argument, "no node is named",
               "give --node IP:PORT[,IP:PORT...] or set TILLER_NODES");
    for (auto& node : m_nodes)
    {
        auto answer = node->call(method, target, body, ask_timeout, m_token);
        if (answer)
            return answer;
        last = answer.reason();
    }
    return last;
}

result<http_response> mesh_client::ask_node(const address& node,
                                            const std::string& target)
{
    return api_client(m_io, node).call("GET", target, "", ask_node_timeout);
}

result<std::string> mesh_client::read_csv(std::uint64_t version,
                                          std::uint64_t& read_version)
{
    const auto answer =
        ask("GET", "/v1/table?version=" + std::to_string(version));
    if (!answer)
        return answer.reason();
    boost::system::error_code failed;
    const auto body = boost::json::parse(answer->body, failed);
    if (failed || answer->status != 200)
        return error(error_code::not_found, "version " +
                                                std::to_string(version) + ": " +
                                                answer->body);
    read_version = boost::json::value_to<std::uint64_t>(body.at("version"));
    return boost::json::value_to<std::string>(body.at("csv"));
}

} // namespace tillerhall::cli
