/** @file A complete system of processes on loopback. */
#pragma once

#include "harness/process.hpp"

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/api_client.hpp"

#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tillerhall::harness
{

/** Service and failure domain of a node and its target. */
struct placement
{
    std::string service;
    std::string domain;
};

/** Configuration of a cluster. */
struct cluster_options
{
    std::vector<placement> placements; ///< one node per entry
    std::string region = "nl-west";
    /** Extra settings of every node, by path. */
    std::map<std::string, std::string> settings;
    /** Behaviour of every target, as JSON. */
    std::string behaviour = "{}";
    /** Starts one target process per service instead of one per node. */
    bool share_targets = false;
    /** Uses a fault proxy between nodes and towards the platform. */
    bool with_faultproxy = false;
};

/** @return the layout of this deployment, repeated or truncated to @p nodes
 * nodes. */
cluster_options akkerbond(std::size_t nodes);
cluster_options blue_mahoe(std::size_t nodes);

/** @return the options of the profile called @p name, akkerbond's if unknown.
 */
cluster_options profile(const std::string& name, std::size_t nodes);

/** A node process and its addresses. */
struct node_process
{
    process runs;
    placement place;
    std::string ip;
    address rpc;
    address peer;
    address caller;
    address operators;
    address advertise_rpc;
    address advertise_peer;
    address target;
    address platform; ///< address used by this node
};

/** Platform, targets, nodes and fault proxy; the destructor kills them. */
class cluster
{
public:
    cluster(worker& on, cluster_options options);
    ~cluster();

    /** Starts everything and waits until every node is ready. */
    result<void> start();

    /** Starts everything and accepts the default table as version 1. */
    result<void> start_with_table();

    std::vector<node_process>& nodes() noexcept { return m_nodes; }
    std::vector<process>& targets() noexcept { return m_targets; }
    process& platform_process() noexcept { return m_platform; }
    const address& platform() const noexcept { return m_platform_address; }
    const std::string& token() const noexcept { return m_token; }
    const std::string& folder() const noexcept { return m_folder; }
    worker& on() noexcept { return m_worker; }

    /** Restarts a node at its previous addresses. */
    result<void> restart(std::size_t index);

    /** Adds a node without starting it; `restart` starts it. */
    std::size_t add_node(const placement& place);

    /** Restarts target @p index at its previous address. */
    result<void> restart_target(std::size_t index);

    /** @return the response's JSON object, with the status added as
     * "http_status". */
    result<boost::json::object> get(const address& from,
                                    const std::string& path);
    result<boost::json::object> post(const address& to,
                                     const std::string& path,
                                     const boost::json::object& body);

    /** Sets faults of the platform stand-in. */
    void set_platform(const boost::json::object& faults);

    /** Sets the rules of the fault proxy. */
    void set_rules(const boost::json::array& rules);

    /** Sets the behaviour of node @p index 's target. */
    void set_target(std::size_t index, const boost::json::object& behaviour);

    /** Accepts @p csv on node @p index . @return the response. */
    result<boost::json::object> accept(std::size_t index,
                                       const std::string& csv,
                                       std::uint64_t base,
                                       const std::string& accept_id,
                                       bool rebase = false);

    /** @return the status of node @p index , empty if it does not answer. */
    boost::json::object status(std::size_t index);

    /** @return the version of node @p index , -1 if it does not answer. */
    std::int64_t version(std::size_t index);

    /** Polls until @p holds. @return false after @p limit. */
    bool wait_until(const std::function<bool()>& holds,
                    duration limit = std::chrono::seconds(30));

    /** Waits until all running nodes have @p version or a newer one. */
    bool wait_for_version(std::int64_t version,
                          duration limit = std::chrono::seconds(30));

    /** @return true if node @p index knows the target of every running node. */
    bool knows_all_targets(std::size_t index);

    /** @return CSV with one row per pair of service and place. */
    std::string default_table() const;

private:
    result<boost::json::object> send(const address& to,
                                     const api_call& request);
    result<void> start_platform();
    result<void> start_targets();
    result<void> start_node(std::size_t index, bool is_restart);
    result<void> add_links(node_process& node);
    result<address> add_link(const address& to, const std::string& ip);
    void write_settings(std::size_t index);
    void register_hosts();
    std::string ip_of(const std::string& domain);
    bool is_ready(std::size_t index);

    worker& m_worker;
    cluster_options m_options;
    std::string m_folder;
    std::string m_token = "test-token";
    process m_platform;
    address m_platform_address;
    process m_faultproxy;
    address m_faultproxy_address;
    std::vector<process> m_targets;
    std::vector<address> m_target_addresses;
    std::vector<node_process> m_nodes;
    std::vector<std::string> m_domains;
    std::map<address, std::unique_ptr<api_client>> m_clients;
};

} // namespace tillerhall::harness
