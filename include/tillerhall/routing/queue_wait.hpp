/** @file How long a call may wait for a slot of its target. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <optional>

namespace tillerhall
{

/** What the wait of a call depends on. */
struct queue_wait_terms
{
    duration objective{};
    duration expected_run{};
    bool is_nested = false;
    bool is_repeat = false; ///< sent again after the target refused it
    bool is_paced = false;  ///< the target has a rate limit
    /** For a nested call: time until the end of its parent's objective. */
    std::optional<duration> parent_left;
};

/** @return the longest wait of the call while the queue stands. */
duration short_queue_wait(const queue_wait_terms& call);

/** @return the longest wait of the call; for a nested call, the longest after
 * which its parent can be in time. */
duration max_queue_wait(const queue_wait_terms& call);

} // namespace tillerhall
