/** @file Which callers have used more of a target than their share. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace tillerhall
{

/**
 * Use of a target's slots by each caller (service or client account).
 *
 * Answers the load of one caller that sends many times its usual calls. A queue
 * that is empty most of the time doesn't show it: the caller takes the slots
 * as they become free. The use of a caller is a leaky bucket (ITU-T I.371) that
 * drains at its share of the slots among the callers with recent calls. A
 * caller takes memory only until its bucket is empty. Does no I/O.
 */
class caller_shares
{
public:
    /** Use up to the share in this time leaves a caller within its share. */
    static constexpr std::chrono::seconds window{2};
    /** Callers remembered; further ones count as within their share. */
    static constexpr std::size_t max_callers = 1'024;

    /** Counts a run of @p caller that is expected to take @p cost. */
    void ran(std::string_view caller,
             double weight,
             duration cost,
             std::int64_t slots,
             time_point now);

    /** @return whether @p caller has used no more than its share. */
    bool is_within(std::string_view caller, time_point now) const;

    /** @return the number of callers that take memory. */
    std::size_t callers() const noexcept { return m_uses.size(); }

private:
    struct use
    {
        double weight = 1;
        double slot_s = 0; ///< slots times seconds
        time_point at{};   ///< when `slot_s` was right
    };

    /** @return the slots that are the share of a caller with @p weight. */
    double share(double weight) const;
    double left_of(const use& of, time_point now) const;
    /** Forgets the callers whose bucket is empty. */
    void sweep(time_point now);

    std::map<std::string, use, std::less<>> m_uses;
    double m_weights = 0; ///< sum over the callers
    double m_slots = 1;
    time_point m_next_sweep{};
};

} // namespace tillerhall
