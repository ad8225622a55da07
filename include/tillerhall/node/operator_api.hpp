/** @file The HTTP API for operators; see docs/OPERATORS.md. */
#pragma once

#include "tillerhall/http/api_server.hpp"
#include "tillerhall/node/accept_controller.hpp"
#include "tillerhall/node/burn_controller.hpp"
#include "tillerhall/node/membership_controller.hpp"

#include <string>

namespace tillerhall
{

/** Serves the operators' requests. Runs on the first worker. */
class operator_api
{
public:
    /** @param token bearer token required for changes; if empty, all changes
     * are refused */
    operator_api(mesh_state& mesh,
                 distribution_controller& tables,
                 accept_controller& accepts,
                 burn_controller& burn,
                 std::string token);

    http_response answer(const http_request& request);

private:
    using handler = http_response (operator_api::*)(const http_request&);

    struct route
    {
        std::string_view method;
        std::string_view path;
        handler handle;
        bool needs_token;
    };

    static std::span<const route> routes();

    http_response ready(const http_request& request);
    http_response health(const http_request& request);
    http_response metrics(const http_request& request);
    http_response status(const http_request& request);
    http_response table(const http_request& request);
    http_response history(const http_request& request);
    http_response check(const http_request& request);
    http_response accept(const http_request& request);
    http_response watch(const http_request& request);
    http_response members(const http_request& request);
    http_response journal_entries(const http_request& request);
    http_response burn_report(const http_request& request);
    http_response call_records(const http_request& request);

    bool is_authorized(const http_request& request) const;
    void refresh_gauges();

    mesh_state& m_mesh;
    distribution_controller& m_tables;
    accept_controller& m_accepts;
    burn_controller& m_burn;
    std::string m_token;
};

} // namespace tillerhall
