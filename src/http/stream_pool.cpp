#include "tillerhall/http/stream_pool.hpp"

#include "tillerhall/core/worker.hpp"

#include <array>
#include <numeric>

namespace tillerhall
{
namespace
{
// Expired streams are dropped when one is given back, at most this often.
constexpr std::chrono::seconds sweep_interval(1);
// An exiting process may close its connections before its listener; meanwhile
// the kernel accepts further ones, which it resets in the end.
constexpr std::array exit_checks{milliseconds(2), milliseconds(3),
                                 milliseconds(5), milliseconds(10)};
} // namespace

std::size_t stream_pool::idle_count() const
{
    return std::accumulate(m_idle.begin(), m_idle.end(), std::size_t{0},
                           [](std::size_t sum, const auto& each)
                           { return sum + each.second.size(); });
}

void stream_pool::drop_expired(time_point now)
{
    if (now < m_last_sweep + sweep_interval)
        return;
    m_last_sweep = now;
    for (auto& [to, idle] : m_idle)
        std::erase_if(idle, [now](const idle_stream& each)
                      { return now >= each.usable_until; });
    std::erase_if(m_idle, [](const auto& each) { return each.second.empty(); });
}

std::optional<pooled_stream> stream_pool::take_idle(const address& to,
                                                    std::string_view request_id)
{
    const auto found = m_idle.find(to);
    if (found == m_idle.end())
        return std::nullopt;
    auto& idle = found->second;
    for (auto i = std::ssize(idle); i-- > 0;)
    {
        const auto at = idle.begin() + i;
        if (!at->stream.may_carry(request_id))
            continue;
        auto newest = std::move(*at);
        idle.erase(at);
        if (steady_clock::now() < newest.usable_until &&
            is_reusable(*newest.stream))
            return std::move(newest.stream);
    }
    return std::nullopt;
}

result<pooled_stream> stream_pool::open(const address& to, duration timeout)
{
    auto opened = connect_stream(m_io, to, timeout, m_from_ip);
    if (!opened)
        return opened.reason();
    if (m_user_timeout > duration::zero())
        set_user_timeout(**opened, m_user_timeout);
    return pooled_stream(std::move(*opened), ++m_opened);
}

result<pooled_stream> stream_pool::take(const address& to,
                                        duration timeout,
                                        std::string_view request_id)
{
    auto idle = take_idle(to, request_id);
    auto taken =
        idle ? result<pooled_stream>(std::move(*idle)) : open(to, timeout);
    if (taken)
        taken->add_carried(request_id);
    return taken;
}

boost::system::error_code
stream_pool::probe(const address& to, duration timeout, duration usable_for)
{
    boost::system::error_code failed;
    auto opened = connect_stream(m_io, to, timeout, m_from_ip, failed);
    for (const auto& pause : exit_checks)
    {
        if (!opened)
            break;
        sleep_for(m_io, pause);
        if (peer_has_closed(**opened))
            opened = connect_stream(m_io, to, timeout, m_from_ip, failed);
    }
    if (opened)
        give_back(to, pooled_stream(std::move(*opened), ++m_opened),
                  usable_for);
    return failed;
}

void stream_pool::give_back(const address& to,
                            pooled_stream stream,
                            duration usable_for)
{
    const auto now = steady_clock::now();
    drop_expired(now);
    if (stream.is_used_up())
        return;
    auto& idle = m_idle[to];
    stream->expires_never();
    if (idle.size() < m_max_idle)
        idle.push_back({std::move(stream), now + usable_for});
}

void stream_pool::trim(std::size_t max_addresses)
{
    if (m_idle.size() > max_addresses)
        std::erase_if(m_idle,
                      [](const auto& each) { return each.second.empty(); });
    while (m_idle.size() > max_addresses)
        m_idle.erase(m_idle.begin());
}

} // namespace tillerhall
