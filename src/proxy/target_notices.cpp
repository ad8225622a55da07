#include "tillerhall/proxy/target_notices.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <algorithm>
#include <cmath>

namespace tillerhall
{
namespace
{

std::int64_t per_1000_s(const std::optional<double>& per_s)
{
    constexpr double thousand = 1000;
    constexpr double max_shown = 1e12; // fits the gauge
    return per_s ? std::llround(std::min(*per_s, max_shown) * thousand) : -1;
}

} // namespace

target_notices::target_notices(const wire_names& names, blackboard& board)
    : m_names(names)
    , m_board(board)
{
}

void target_notices::set_target(const std::string& start)
{
    if (start != m_limit.target())
        m_logged_invalid = false;
    m_limit.set_target(start);
    m_board.metrics.get(rate_limit_metric).set(per_1000_s(rate_limit()));
}

target_notice target_notices::take(const std::string& start,
                                   const boost::beast::http::fields& head,
                                   time_point sent)
{
    const auto notice = read_notice(head, m_names);
    if (start != m_limit.target())
        return notice;
    if (notice.has_invalid_limit)
        log_invalid_limit(head);
    else if (m_limit.take(notice.rate_limit, sent, steady_clock::now()))
        limit_changed(notice.rate_limit ? "named by the target"
                                        : "no longer named");
    return notice;
}

void target_notices::adopt(const std::string& start, double rate_limit)
{
    if (start == m_limit.target() &&
        m_limit.adopt(rate_limit, steady_clock::now()))
        limit_changed("named before this process started");
}

void target_notices::limit_changed(const char* reason) const
{
    m_board.metrics.get(rate_limit_metric).set(per_1000_s(rate_limit()));
    m_board.decisions.note(
        "target_rate_limit", m_limit.target(), reason,
        {{"per_s", rate_limit().value_or(-1)},
         {"sent", m_board.metrics.get(target_sends_metric).value()}});
}

void target_notices::log_invalid_limit(const boost::beast::http::fields& head)
{
    if (m_logged_invalid)
        return;
    m_logged_invalid = true;
    m_board.decisions.note("target_rate_limit_invalid", m_limit.target(),
                           "not one decimal number of at least 0",
                           {{"value", head[m_names.rate_limit]}});
}

} // namespace tillerhall
