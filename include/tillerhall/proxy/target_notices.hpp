/** @file Records what the local target says about itself in its responses. */
#pragma once

#include "tillerhall/proxy/target_notice.hpp"
#include "tillerhall/routing/named_rate_limit.hpp"

#include <boost/beast/http/fields.hpp>

namespace tillerhall
{

struct blackboard;
struct wire_names;

/** Gauge of the limit in requests per 1000 s; -1 without one. */
inline constexpr const char* rate_limit_metric =
    "tillerhall_target_rate_limit_per_1000s";
/** Requests sent to the target. */
inline constexpr const char* target_sends_metric =
    "tillerhall_target_sends_total";

/** Notices of the target's current start; for fibers of one worker. */
class target_notices
{
public:
    target_notices(const wire_names& names, blackboard& board);

    /** Sets the current start of the target. */
    void set_target(const std::string& start);

    /**
     * Takes the head of a response of @p start; ignores other starts.
     * @param sent when its request was sent
     * @return what it says
     */
    target_notice take(const std::string& start,
                       const boost::beast::http::fields& head,
                       time_point sent);

    /** Takes a limit that @p start named to an earlier owner. */
    void adopt(const std::string& start, double rate_limit);

    /** @return the current start of the target. */
    const std::string& target() const noexcept { return m_limit.target(); }

    /** @return requests a second; unset without a limit. */
    const std::optional<double>& rate_limit() const noexcept
    {
        return m_limit.per_s();
    }

private:
    /** Publishes a changed limit. */
    void limit_changed(const char* reason) const;
    /** Logs the first invalid limit of a start. */
    void log_invalid_limit(const boost::beast::http::fields& head);

    const wire_names& m_names;
    blackboard& m_board;
    named_rate_limit m_limit;
    bool m_logged_invalid = false;
};

} // namespace tillerhall
