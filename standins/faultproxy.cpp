/**
 * @file A fault-injecting TCP proxy for tests.
 *
 * POST /links adds a listening address and its destination; POST /rules sets
 * the faults. A rule matches connections by prefixes of the source and the
 * destination IP address. In tests each failure domain has its own IP network,
 * so rules can partition domains in one or both directions.
 */
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/random.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/api_server.hpp"
#include "tillerhall/http/listener.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <list>

namespace
{

using namespace tillerhall;
namespace json = boost::json;

constexpr std::size_t chunk_bytes = 16 * 1024;
constexpr std::chrono::hours no_timeout(24);

/** Fault on connections from one IP prefix to another. */
struct fault_rule
{
    std::string from;
    std::string to;
    bool cut = false;             ///< refuses new connections, closes open ones
    bool lose_requests = false;   ///< drops bytes towards the destination
    bool lose_answers = false;    ///< drops bytes towards the source
    std::int64_t delay_ms = 0;    ///< delay of each read, both directions
    std::int64_t jitter_ms = 0;   ///< random extra delay per connection
    bool reset_on_answer = false; ///< closes at the first response byte
};

/** A proxied connection. */
struct proxied_connection
{
    std::shared_ptr<tcp_stream> client;
    std::shared_ptr<tcp_stream> server;
    std::string from;
    std::string to;
    std::int64_t jitter_ms = 0;
};

/** The proxy with its listeners, connections and rules. */
class fault_proxy
{
public:
    explicit fault_proxy(worker& on)
        : m_worker(on)
    {
    }

    http_response answer(const http_request& request)
    {
        try
        {
            const auto body = json::parse(request.body).as_object();
            if (request.path == "/links")
                return add_link(body);
            if (request.path == "/rules")
                return set_rules(body);
        }
        catch (const std::exception& failed)
        {
            return {400,
                    json::serialize(json::object{{"error", failed.what()}})};
        }
        return {404, "{}"};
    }

private:
    static std::string text(const json::object& body, const char* name)
    {
        return json::value_to<std::string>(body.at(name));
    }

    http_response add_link(const json::object& body)
    {
        const auto to = address::parse(text(body, "to"));
        const auto at = address::parse(text(body, "listen"));
        if (!to || !at)
            return {400, "{}"};
        auto opened = listener::open(m_worker, *at);
        if (!opened)
            return {409, json::serialize(json::object{
                             {"error", opened.reason().message()}})};
        const auto local = (*opened)->local().text();
        (*opened)->start([this, to = *to](tcp_stream& stream)
                         { serve_connection(stream, to); });
        m_listeners.push_back(std::move(*opened));
        return {200, json::serialize(json::object{{"listen", local}})};
    }

    static bool flag(const json::object& rule, const char* name)
    {
        const auto* found = rule.if_contains(name);
        return found != nullptr && found->as_bool();
    }

    static std::int64_t number(const json::object& rule, const char* name)
    {
        const auto* found = rule.if_contains(name);
        return found == nullptr ? 0 : found->to_number<std::int64_t>();
    }

    http_response set_rules(const json::object& body)
    {
        m_rules.clear();
        for (const auto& each : body.at("rules").as_array())
        {
            const auto& rule = each.as_object();
            m_rules.push_back(
                {text(rule, "from"), text(rule, "to"), flag(rule, "cut"),
                 flag(rule, "lose_requests"), flag(rule, "lose_answers"),
                 number(rule, "delay_ms"), number(rule, "jitter_ms"),
                 flag(rule, "reset_on_answer")});
        }
        for (const auto& each : m_connections)
            if (const auto* rule = rule_for(each.from, each.to);
                rule != nullptr && rule->cut)
                close_connection(each);
        return {200, "{}"};
    }

    const fault_rule* rule_for(const std::string& from,
                               const std::string& to) const
    {
        const auto matches = [&](const fault_rule& each)
        { return from.starts_with(each.from) && to.starts_with(each.to); };
        const auto found = std::ranges::find_if(m_rules, matches);
        return found == m_rules.end() ? nullptr : &*found;
    }

    static void close_connection(const proxied_connection& connection)
    {
        boost::system::error_code ignored;
        connection.client->socket().close(ignored);
        connection.server->socket().close(ignored);
    }

    void serve_connection(tcp_stream& stream, const address& to)
    {
        boost::system::error_code failed;
        const auto from =
            stream.socket().remote_endpoint(failed).address().to_string();
        const auto* rule = rule_for(from, to.ip);
        if (failed || (rule != nullptr && rule->cut))
            return;
        auto server =
            connect_stream(m_worker.io(), to, std::chrono::seconds(5));
        if (!server)
            return;
        const auto jitter =
            rule == nullptr || rule->jitter_ms == 0
                ? 0
                : static_cast<std::int64_t>(m_random.below(
                      static_cast<std::uint64_t>(rule->jitter_ms)));
        m_connections.push_back(
            {std::make_shared<tcp_stream>(std::move(stream)),
             std::shared_ptr<tcp_stream>(std::move(*server)), from, to.ip,
             jitter});
        const auto connection = std::prev(m_connections.end());
        run_parallel({[&] { pump(*connection, true); },
                      [&] { pump(*connection, false); }});
        m_connections.erase(connection);
    }

    void pump(proxied_connection& connection, bool to_server)
    {
        auto& source = to_server ? *connection.client : *connection.server;
        auto& sink = to_server ? *connection.server : *connection.client;
        std::vector<char> chunk(chunk_bytes);
        boost::system::error_code failed;
        while (!failed)
        {
            source.expires_after(no_timeout);
            const auto size = source.async_read_some(boost::asio::buffer(chunk),
                                                     await{failed});
            if (failed)
                break;
            const auto* rule = rule_for(connection.from, connection.to);
            if (rule != nullptr)
            {
                if (rule->reset_on_answer && !to_server)
                    break;
                if (to_server ? rule->lose_requests : rule->lose_answers)
                    continue;
                const auto delay = rule->delay_ms + connection.jitter_ms;
                if (delay > 0)
                    sleep_for(m_worker.io(), milliseconds(delay));
            }
            sink.expires_after(no_timeout);
            boost::asio::async_write(
                sink, boost::asio::buffer(chunk.data(), size), await{failed});
        }
        close_connection(connection);
    }

    worker& m_worker;
    random_source m_random{1};
    std::vector<fault_rule> m_rules;
    std::list<proxied_connection> m_connections;
    std::vector<std::unique_ptr<listener>> m_listeners;
};

int run(const std::string& at)
{
    const auto listen_address = address::parse(at);
    if (!listen_address)
    {
        std::cerr << listen_address.reason().message() << "\n";
        return 2;
    }
    worker main_worker;
    auto opened = listener::open(main_worker, *listen_address);
    if (!opened)
    {
        std::cerr << opened.reason().message() << "\n";
        return 3;
    }
    fault_proxy proxy(main_worker);
    (*opened)->start(
        [&](tcp_stream& stream)
        {
            serve_api(stream, [&](const http_request& request)
                      { return proxy.answer(request); });
        });
    std::cout << R"({"event":"listening","address":")"
              << (*opened)->local().text() << "\"}" << std::endl;
    main_worker.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("faultproxy",
                             "A fault-injecting TCP proxy for tests.");
    options.add_options()("listen", "address of its API",
                          cxxopts::value<std::string>()->default_value(
                              "127.0.0.1:0"))("h,help", "show this");
    const auto given = options.parse(argc, argv);
    if (given.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    std::_Exit(run(given["listen"].as<std::string>()));
}
