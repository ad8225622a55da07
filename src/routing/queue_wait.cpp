#include "tillerhall/routing/queue_wait.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// Maximum wait of a call in a standing queue, as a fraction of its objective. A
// longer wait would serve no more calls, but start each of them later.
constexpr int wait_divisor = 16;
// The same for a nested call. It may wait longer, because a refusal fails a run
// that already holds a slot elsewhere.
constexpr int nested_wait_divisor = 3;
// The same while the target has a rate limit. A call that waits for its rate
// takes no slot from others.
constexpr int paced_wait_divisor = 8;
// Of the time that the parent of a nested call has left, half is for its own
// work and its further calls.
constexpr int parent_share = 2;

} // namespace

duration short_queue_wait(const queue_wait_terms& call)
{
    if (call.is_nested || call.is_repeat)
        return call.objective / nested_wait_divisor;
    return call.objective / (call.is_paced ? paced_wait_divisor : wait_divisor);
}

duration max_queue_wait(const queue_wait_terms& call)
{
    const auto shortest = short_queue_wait(call);
    if (!call.is_nested)
        return shortest;
    const auto left =
        call.parent_left.value_or(call.objective) - call.expected_run;
    return std::max(shortest, left / parent_share);
}

} // namespace tillerhall
