/** @file Sends a message to all members in a key range through a tree. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/node/mesh_state.hpp"

#include <functional>

namespace tillerhall
{

/** A message; the receiver forwards it to the range it was given. */
struct range_message
{
    const char* method = nullptr;
    traffic_kind kind = traffic_kind::other;
    duration timeout{}; ///< of one call
    /** @return the message for the members in a range; called for each try, so
     * that an age in it is that of the try. */
    std::function<boost::json::object(const key_range&)> params;
};

/**
 * Splits @p range into `fanout` parts and sends the message to one member of
 * each; if it doesn't answer, to up to two others in turn. Returns at once. A
 * member that is missed is updated by the next message or by heartbeats.
 */
void send_to_range(mesh_state& mesh,
                   const range_message& message,
                   const key_range& range);

} // namespace tillerhall
