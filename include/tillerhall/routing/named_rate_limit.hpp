/** @file The rate limit that a target names in its responses. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <optional>
#include <string>

namespace tillerhall
{

/**
 * Tracks the limit that the current start of a target names.
 *
 * Responses overlap: one without a limit may belong to a request that was sent
 * before the target named one. Only a response to a request sent since then
 * raises or ends the limit; any response may lower it. Does no I/O.
 */
class named_rate_limit
{
public:
    /** Sets the current start of the target. A new one has no limit yet. */
    void set_target(const std::string& start);

    /**
     * Takes a response of the current start.
     * @param per_s the limit that it names, in requests a second
     * @param sent when its request was sent
     * @return whether the limit has changed
     */
    bool take(std::optional<double> per_s, time_point sent, time_point now);

    /**
     * Takes a limit that the start named to another process. It counts until
     * the first response of the start.
     * @return whether the limit has changed
     */
    bool adopt(double per_s, time_point now);

    /** @return requests a second; unset without a limit. */
    const std::optional<double>& per_s() const noexcept { return m_per_s; }

    const std::string& target() const noexcept { return m_start; }

private:
    bool set(std::optional<double> per_s, time_point now);

    std::string m_start;
    std::optional<double> m_per_s;
    time_point m_set_at{};
    bool m_has_response = false; ///< of the current start
};

} // namespace tillerhall
