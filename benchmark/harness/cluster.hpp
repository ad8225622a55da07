/** @file A whole system of real processes on loopback. */
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

/** A service of a target beside a node, at a place. */
struct placement
{
    std::string service;
    std::string domain;
};

/** What system to build. */
struct cluster_options
{
    std::vector<placement> placements; ///< one node each
    std::string region = "nl-west";
    /** Settings added to every node, by path. */
    std::map<std::string, std::string> settings;
    /** Behaviour of every target, as JSON. */
    std::string behaviour = "{}";
    /** One target process a service instead of one a node. */
    bool share_targets = false;
    /** Nodes reach each other and the platform through a fault proxy. */
    bool with_faultproxy = false;
};

/** @return the users' sizes of today, repeated or cut to @p nodes nodes. */
cluster_options akkerbond(std::size_t nodes);
cluster_options blue_mahoe(std::size_t nodes);

/** @return the options of the profile called @p name, or akkerbond's. */
cluster_options profile(const std::string& name, std::size_t nodes);

/** One node process and where it listens. */
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
    address platform; ///< as this node reaches it
};

/** Platform, targets, nodes and their fault proxy; all end with the object. */
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

    /** Starts a node again at its old addresses. */
    result<void> restart(std::size_t index);

    /** Adds a node that is not yet started; `restart` starts it. */
    std::size_t add_node(const placement& place);

    /** Starts target @p index again at its old address. */
    result<void> restart_target(std::size_t index);

    /** @return the answer's object; its "http_status" is the status. */
    result<boost::json::object> get(const address& from,
                                    const std::string& path);
    result<boost::json::object> post(const address& to,
                                     const std::string& path,
                                     const boost::json::object& body);

    /** Sets faults of the platform. */
    void set_platform(const boost::json::object& faults);

    /** Sets the rules of the fault proxy. */
    void set_rules(const boost::json::array& rules);

    /** Sets the behaviour of node @p index 's target. */
    void set_target(std::size_t index, const boost::json::object& behaviour);

    /** Accepts @p csv on node @p index . @return the answer. */
    result<boost::json::object> accept(std::size_t index,
                                       const std::string& csv,
                                       std::uint64_t base,
                                       const std::string& accept_id,
                                       bool rebase = false);

    /** @return the status of node @p index , empty if it does not answer. */
    boost::json::object status(std::size_t index);

    /** @return the version of node @p index , -1 if it does not answer. */
    std::int64_t version(std::size_t index);

    /** Waits until @p holds, checking every few milliseconds. */
    bool wait_until(const std::function<bool()>& holds,
                    duration limit = std::chrono::seconds(30));

    /** Waits until all running nodes are at @p version or above. */
    bool wait_for_version(std::int64_t version,
                          duration limit = std::chrono::seconds(30));

    /** @return whether node @p index knows every running node's target. */
    bool knows_all(std::size_t index);

    /** @return CSV with one row for each service and place there is. */
    std::string default_table() const;

private:
    result<boost::json::object> send(const address& to, const api_call& made);
    result<void> start_platform();
    result<void> start_targets();
    result<void> start_node(std::size_t index, bool again);
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
