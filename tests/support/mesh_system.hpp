/** @file A system of node processes with an in-process store and targets. */
#pragma once

#include "system.hpp"

#include "platform_standin/paced_link.hpp"
#include "platform_standin/port_reservation.hpp"
#include "platform_standin/reporting_target.hpp"
#include "platform_standin/store_standin.hpp"
#include "tillerhall/core/await.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace tillerhall::harness
{

/**
 * Keeps @p made alive until the process exits: fibers that serve its
 * connections outlive the test.
 */
template <class T>
T& keep_for_fibers(std::shared_ptr<T> made)
{
    // Never destroyed, since that would destroy streams that fibers wait on.
    static auto& kept = *new std::vector<std::shared_ptr<void>>;
    kept.push_back(made);
    return *made;
}

/** A route of the configuration. */
struct mesh_route
{
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "safe";
    int timeout_ms = 3000;
    int max_targets = 2;
};

/** @return the configuration's row; the host of all routes is shop.example. */
inline std::string mesh_config(int version,
                               const std::vector<mesh_route>& all,
                               const std::string& health_path = {})
{
    boost::json::array routes;
    std::set<std::string> names;
    for (const auto& each : all)
    {
        routes.push_back(
            boost::json::object{{"name", each.name},
                                {"host", "shop.example"},
                                {"pathPrefix", each.prefix},
                                {"kind", each.kind},
                                {"timeout", each.timeout_ms},
                                {"targetLatency", 1000},
                                {"priority", 1},
                                {"service", each.service},
                                {"maxAttempts", each.max_targets}});
        names.insert(each.service);
    }
    boost::json::array services;
    for (const auto& each : names)
    {
        boost::json::object service{{"name", each}};
        if (!health_path.empty())
            service["healthCheckPath"] = health_path;
        services.push_back(std::move(service));
    }
    return boost::json::serialize(
        boost::json::object{{"version", version},
                            {"routes", routes},
                            {"services", services},
                            {"limits",
                             {{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", 1'000'000},
                              {"headerTimeout", 3000},
                              {"idleTimeout", 15000}}}});
}

/** One node and the target beside it. */
struct mesh_host
{
    process node;
    std::string service;
    std::string domain;
    std::string settings_path;
    reporting_target* target = nullptr; ///< kept for its fibers
    std::map<std::string, address> at;  ///< by listener name
    paced_link* peer_link = nullptr;    ///< other nodes connect by it, if set
    paced_link* rpc_link = nullptr;     ///< the same for control messages
    paced_link* store_link = nullptr;   ///< its own path to the store, if set
    /** Of these addresses, while the node is not running. */
    std::vector<std::unique_ptr<port_reservation>> reservations;
};

/** @return the greatest resident memory that a process has had, in MB. */
inline double most_memory_mb(int pid)
{
    constexpr double kb_per_mb = 1024;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    double kb = 0;
    while (status >> word && word != "VmHWM:")
        ;
    status >> kb;
    return kb / kb_per_mb;
}

/** An answer received by a client. */
struct seen_answer
{
    unsigned status = 0; ///< 0: the connection closed before the end
    std::string body;
    bool proved = false;
    std::string retry_after;
    std::string target_id;  ///< X-Instance-Id
    std::string rate_limit; ///< Server-Limit
};

/** Store, nodes and targets; the destructor stops the nodes. */
class mesh_system
{
public:
    /** @param more_settings lines for the settings file of every node */
    mesh_system(worker& on,
                const std::vector<std::string>& services,
                std::string more_settings = {})
        : m_worker(on)
        , m_more_settings(std::move(more_settings))
        , m_store(keep_for_fibers(std::make_shared<store_standin>(on)))
    {
        std::string pattern =
            std::filesystem::temp_directory_path() / "tillerhall-mesh-XXXXXX";
        m_folder = ::mkdtemp(pattern.data());
        for (const auto& service : services)
            add_host(service);
    }

    ~mesh_system()
    {
        for (auto& each : m_hosts)
            each.node.kill();
        if (std::getenv("TILLERHALL_KEEP") == nullptr)
            std::filesystem::remove_all(m_folder);
    }

    store_standin& store() noexcept { return m_store; }
    std::vector<mesh_host>& hosts() noexcept { return m_hosts; }

    /** @return the link between the nodes and the store. Nodes that start
     * before the first call have a direct connection. */
    paced_link& store_link()
    {
        if (m_store_link == nullptr)
            m_store_link = &keep_for_fibers(
                std::make_shared<paced_link>(m_worker, m_store.where()));
        return *m_store_link;
    }

    /** Puts a link before the peer listener of each node. Call it before any
     * node starts. */
    void link_peers()
    {
        for (auto& each : m_hosts)
            each.peer_link = &link_to(each, "peer");
    }

    /** The same for the listener of control messages. */
    void link_rpc()
    {
        for (auto& each : m_hosts)
            each.rpc_link = &link_to(each, "rpc");
    }

    /** Nodes that start from now on send heartbeats as in deploy/settings.yaml,
     * not as often as other tests want them. */
    void use_deployed_heartbeats()
    {
        m_heartbeats = "  heartbeat_ms: 1000\n  heartbeat_timeout_ms: 600\n"
                       "  suspect_ms: 3000\n";
    }

    /** Sets lines for the section `node` of the settings file of every node
     * that starts from now on. */
    void set_node_settings(std::string lines)
    {
        m_node_settings = std::move(lines);
    }

    /** Gives each node a link of its own to the store. Call it before any node
     * starts. */
    void link_stores()
    {
        for (auto& each : m_hosts)
            each.store_link = &keep_for_fibers(
                std::make_shared<paced_link>(m_worker, m_store.where()));
    }

    void configure(int version,
                   const std::vector<mesh_route>& routes,
                   const std::string& health_path = {})
    {
        m_store.put("op", "", "config",
                    mesh_config(version, routes, health_path));
    }

    /** @return the node's metrics; empty if it does not answer. */
    std::string metrics_of(mesh_host& host)
    {
        api_client client(m_worker.io(), host.at["operators"]);
        const auto answer =
            client.call("GET", "/metrics", "", std::chrono::seconds(2));
        return answer ? answer->body : "";
    }

    /** @return the log lines of the node with @p event, all if it is empty. */
    static std::vector<boost::json::object> lines_of(const mesh_host& host,
                                                     std::string_view event)
    {
        std::ifstream file(host.settings_path + ".log");
        std::vector<boost::json::object> found;
        for (std::string line; std::getline(file, line);)
        {
            boost::system::error_code failed;
            auto value = boost::json::parse(line, failed);
            if (!failed && value.is_object() &&
                (event.empty() || value.at("event").as_string() == event))
                found.push_back(std::move(value.as_object()));
        }
        return found;
    }

    /** Starts all nodes, waits until they are ready and reports their targets
     * ready. */
    void start()
    {
        for (auto& each : m_hosts)
            start_node(each);
        for (auto& each : m_hosts)
            REQUIRE(wait_until([&] { return is_ready(each); }));
        for (auto& each : m_hosts)
            REQUIRE(each.target->report(each.at["operators"], "ready") == 200);
    }

    /** Starts a node, on its previous addresses if it ran before. */
    void start_node(mesh_host& host)
    {
        write_settings(host);
        const auto started =
            host.node.start({program_folder() + "/tillerhall-node",
                             "--log-to-stderr", "--config", host.settings_path},
                            host.settings_path + ".log");
        REQUIRE(started);
        const auto line = host.node.read_listening();
        REQUIRE(line);
        for (const auto* name : {"rpc", "peer", "caller", "operators", "ready"})
        {
            if (host.at.contains(name))
                continue;
            host.at[name] = *address::parse(line->at(name).as_string().c_str());
            host.reservations.push_back(
                std::make_unique<port_reservation>(host.at[name]));
        }
    }

    bool wait_until(const std::function<bool()>& holds,
                    duration limit = std::chrono::seconds(20))
    {
        const auto until = steady_clock::now() + limit;
        while (!holds())
        {
            if (steady_clock::now() > until)
                return false;
            sleep_for(m_worker.io(), milliseconds(10));
        }
        return true;
    }

    bool is_ready(mesh_host& host)
    {
        api_client client(m_worker.io(), host.at["ready"]);
        const auto answer =
            client.call("GET", "/ready", "", std::chrono::seconds(2));
        return answer && answer->status == 200;
    }

    /** Sends one request with attempt id @p id to the node of @p host. */
    seen_answer call(mesh_host& host,
                     const std::string& id,
                     const std::string& path,
                     const std::string& body = {},
                     int time_left_ms = 2500,
                     const std::map<std::string, std::string>& fields = {})
    {
        api_client client(m_worker.io(), host.at["caller"]);
        return call(client, id, path, body, time_left_ms, fields);
    }

    /** The same on a connection of @p client if it has one. */
    static seen_answer
    call(api_client& client,
         const std::string& id,
         const std::string& path,
         const std::string& body = {},
         int time_left_ms = 2500,
         const std::map<std::string, std::string>& fields = {})
    {
        api_call made{
            body.empty() ? "GET" : "POST", path, body, "", "shop.example", {}};
        made.fields = {{"X-Request-Attempt-Id", id},
                       {"X-Deadline-Ms", std::to_string(time_left_ms)}};
        made.fields.insert(fields.begin(), fields.end());
        const auto answer = client.send(made, std::chrono::seconds(8));
        if (!answer)
            return {};
        const auto field = [&](const char* name)
        {
            const auto found = answer->fields.find(name);
            return found == answer->fields.end() ? "" : found->second;
        };
        return {answer->status,
                answer->body,
                answer->fields.contains("X-Response-Seal"),
                field("Retry-After"),
                field("X-Instance-Id"),
                field("Server-Limit")};
    }

    /** @return the number of runs of @p id at all targets. */
    int runs_of(const std::string& id) const
    {
        int runs = 0;
        for (const auto& host : m_hosts)
            for (const auto& each : host.target->runs())
                runs += each.id == id ? 1 : 0;
        return runs;
    }

    worker& on() noexcept { return m_worker; }

private:
    /** @return a new link to the listener @p name, whose port is fixed now. */
    paced_link& link_to(mesh_host& host, const std::string& name)
    {
        host.reservations.push_back(
            std::make_unique<port_reservation>(address{"127.0.0.1", 0}));
        host.at[name] = host.reservations.back()->where();
        return keep_for_fibers(
            std::make_shared<paced_link>(m_worker, host.at[name]));
    }

    /** @return where the node of @p host finds the store. */
    address store_of(const mesh_host& host) const
    {
        const auto* link =
            host.store_link == nullptr ? m_store_link : host.store_link;
        return link == nullptr ? m_store.where() : link->where();
    }

    void add_host(const std::string& service)
    {
        const auto index = std::to_string(m_hosts.size());
        mesh_host made;
        made.service = service;
        made.domain = "d" + std::to_string(m_hosts.size() % 3);
        made.settings_path = m_folder + "/node-" + index + ".yaml";
        made.target = &keep_for_fibers(std::make_shared<reporting_target>(
            m_worker, "i-" + index, service));
        m_hosts.push_back(std::move(made));
    }

    void write_settings(mesh_host& host)
    {
        std::ofstream file(host.settings_path);
        file << "node:\n";
        for (const auto* name : {"rpc", "peer", "caller", "operators", "ready"})
            file << "  " << name << ": "
                 << (host.at.contains(name) ? host.at[name].text()
                                            : "127.0.0.1:0")
                 << "\n";
        const auto store = store_of(host).text();
        file << "  region: r\n  domain: " << host.domain
             << "\n  stop_grace_s: 4\n"
             << m_node_settings;
        if (host.peer_link != nullptr)
            file << "  advertise_peer: " << host.peer_link->where().text()
                 << "\n";
        if (host.rpc_link != nullptr)
            file << "  advertise_rpc: " << host.rpc_link->where().text()
                 << "\n";
        file << "target:\n  service: " << host.service
             << "\n  address: " << host.target->reported_address().text()
             << "\nplatform:\n  tables: " << store << "\n  objects: " << store
             << "\n  hosts: " << store << "\nmesh:\n"
             << m_heartbeats << m_more_settings;
    }

    worker& m_worker;
    std::string m_more_settings;
    std::string m_node_settings;
    std::string m_heartbeats = "  heartbeat_ms: 150\n  suspect_ms: 1000\n";
    store_standin& m_store;
    paced_link* m_store_link = nullptr; ///< kept for its fibers
    std::string m_folder;
    std::vector<mesh_host> m_hosts;
};

/** Sends raw bytes. @return all bytes received until the connection closes or
 * @p limit has passed. */
inline std::string raw_exchange(worker& on,
                                const address& to,
                                const std::string& bytes,
                                duration limit = std::chrono::seconds(3))
{
    auto stream = connect_stream(on.io(), to, std::chrono::seconds(5));
    REQUIRE(stream);
    boost::system::error_code failed;
    (*stream)->expires_after(limit);
    boost::asio::async_write(**stream, boost::asio::buffer(bytes),
                             await{failed});
    std::string answer;
    boost::asio::async_read(**stream, boost::asio::dynamic_buffer(answer),
                            await{failed});
    return answer;
}

} // namespace tillerhall::harness
