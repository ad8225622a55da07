/** @file When refusals of a subject begin and end. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/** A time in which calls of a subject, such as an account, were refused. */
struct refusal_period
{
    std::string subject;
    std::int64_t refused = 0;
    time_point began{};
    time_point last{}; ///< of the refusals
};

/**
 * Tells when refusals begin and end, for one log line each. A period ends after
 * a quiet time, so that a subject near its limit does not fill the log. Does no
 * I/O.
 */
class refusal_periods
{
public:
    /** Without a refusal for this long a period has ended. */
    static constexpr std::chrono::seconds quiet_time{10};
    /** Limit of periods at once, which bounds the lines: 10,000 accounts may
     * be refused together. Others are not tracked until one has ended. */
    static constexpr std::size_t max_tracked = 64;

    /** Counts refusals. @return whether a period begins with them */
    bool
    refused(const std::string& subject, std::int64_t count, time_point now);

    /** @return the periods that have ended, once each. */
    std::vector<refusal_period> take_ended(time_point now);

    /** @return the number of periods under way. */
    std::size_t size() const noexcept { return m_periods.size(); }

private:
    std::map<std::string, refusal_period> m_periods;
};

} // namespace tillerhall
