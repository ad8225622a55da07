#include "tillerhall/proxy/target_notices.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/proxy/target_notice.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <cmath>

namespace tillerhall
{
namespace
{

std::int64_t per_1000_s(const std::optional<double>& per_s)
{
    constexpr double thousand = 1000;
    return per_s ? std::llround(*per_s * thousand) : -1;
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

void target_notices::take(const std::string& start,
                          const boost::beast::http::fields& head,
                          time_point sent)
{
    if (start != m_limit.target())
        return;
    const auto notice = read_notice(head, m_names);
    if (notice.has_invalid_limit)
        return log_invalid_limit(head);
    if (!m_limit.take(notice.rate_limit, sent, steady_clock::now()))
        return;
    log_limit(notice);
    m_board.metrics.get(rate_limit_metric).set(per_1000_s(rate_limit()));
}

void target_notices::log_limit(const target_notice& notice) const
{
    m_board.decisions.note(
        "target_rate_limit", m_limit.target(),
        notice.rate_limit ? "named by the target" : "no longer named",
        {{"per_s", notice.rate_limit.value_or(-1)},
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
