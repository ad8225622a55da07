/** @file A node that routes calls by rows that it follows in a store. */
#pragma once

#include "tillerhall/control/rollout_source.hpp"
#include "tillerhall/control/route_controller.hpp"
#include "tillerhall/http/message.hpp"
#include "tillerhall/node/settings.hpp"
#include "tillerhall/proxy/target_loads.hpp"
#include "tillerhall/proxy/wire_names.hpp"
#include "tillerhall/targets/target_report.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace tillerhall
{

class worker;

/** Platform-specific parts of a node: names, decoders and the store. */
struct mesh_adapter
{
    wire_names names;
    route_source routes;
    rollout_source rollouts;

    /** Returns the failure domain whose drain a row of the routes' table
     * orders, or nullopt if it is no such row. */
    std::function<std::optional<std::string>(const stored_row&)> drained_domain;

    /** Opens the store for use by fibers of the worker. */
    std::function<std::unique_ptr<row_store>(worker&, const settings&)>
        open_store;

    /** Returns nullopt if the request is not a report, else the decoded report
     * or the error. */
    std::function<std::optional<result<target_report>>(const http_request&)>
        read_report;

    /** Reads the load that a target reports; null if targets report none. */
    target_loads::reader read_load;

    /** Path of the readiness check. */
    std::string ready_path = "/ready";

    /** Bearer token required for changes; if empty, all are refused. */
    std::string operator_token;

    /** Reloads the settings on SIGHUP. */
    std::function<settings_outcome()> reload;
};

/** The process that runs next to a target: composes its controllers. */
class mesh_node
{
public:
    mesh_node(settings config, mesh_adapter adapter);
    ~mesh_node();

    /** Binds all addresses. @return the error if one cannot be bound */
    result<void> open();

    /** Returns the settings with the bound ports filled in. */
    const settings& config() const noexcept;

    /** Runs until a planned stop is complete and returns the exit code. The
     * caller must exit the process without destroying waiting fibers. */
    int run();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace tillerhall
