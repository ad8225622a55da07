/** @file HTTP API for operators: list, start and revert roll-outs. */
#pragma once

#include "tillerhall/control/rollout_decider.hpp"
#include "tillerhall/http/message.hpp"

#include <optional>
#include <string>

namespace tillerhall
{

/** Serves /v1/rollouts at the operators' address. */
class rollout_api
{
public:
    /** @param token required for requests that change roll-outs */
    rollout_api(rollout_registry& registry,
                rollout_decider& decider,
                rollout_store_sync& store_sync,
                std::string token);

    /** Returns nothing if @p request is for another path or method. */
    std::optional<http_response> answer(const http_request& request);

private:
    http_response post_order(const http_request& request);
    /** Orders the service's previous stable release. */
    http_response revert(const http_request& request);
    http_response submit(const rollout_order& wanted);

    rollout_registry& m_registry;
    rollout_decider& m_decider;
    rollout_store_sync& m_store_sync;
    std::string m_token;
};

} // namespace tillerhall
