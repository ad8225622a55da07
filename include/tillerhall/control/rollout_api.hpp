/** @file Roll-outs for operators: listed, explained, ordered and taken back. */
#pragma once

#include "tillerhall/control/rollout_decider.hpp"
#include "tillerhall/http/message.hpp"

#include <optional>
#include <string>

namespace tillerhall
{

/** Answers under /v1/rollouts, at the address for operators. */
class rollout_api
{
public:
    /** @param token without which nothing is changed */
    rollout_api(rollout_book& book,
                rollout_decider& decider,
                rollout_keeper& keeper,
                std::string token);

    /** @return nothing if @p request is for something else. */
    std::optional<http_response> answer(const http_request& request);

private:
    http_response post_order(const http_request& request);
    /** Orders the release back that a service had before. */
    http_response revert(const http_request& request);
    http_response order(const rollout_order& wanted);

    rollout_book& m_book;
    rollout_decider& m_decider;
    rollout_keeper& m_keeper;
    std::string m_token;
};

} // namespace tillerhall
