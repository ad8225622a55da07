/** @file Sends a message to all members in a range, by a tree. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/node/mesh_state.hpp"

#include <functional>

namespace tillerhall
{

/** What is sent; the receiver sends it on to the range it was given. */
struct range_message
{
    const char* method = nullptr;
    traffic_kind kind = traffic_kind::other;
    duration timeout{}; ///< of one call; then another member is tried
    /** @return the message for the members in a range. */
    std::function<boost::json::object(const key_range&)> params;
};

/**
 * Splits @p range into `fanout` parts and sends each to one member in it, to
 * up to three of them until one answers. Does not wait. A member that is
 * missed is told by the next message or by heartbeats.
 */
void send_to_range(mesh_state& mesh,
                   const range_message& message,
                   const key_range& range);

} // namespace tillerhall
