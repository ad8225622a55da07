#include "tillerhall/http/memory_account.hpp"

#include "tillerhall/core/await.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// Marks of the kinds of bodies in parts of the memory for bodies. The part
// between the first two holds a body of the usual maximum size.
constexpr std::uint64_t mark_parts = 8;
constexpr std::array<std::uint64_t, 3> marks{4, 7, 8};
// A body up to this part of the memory for bodies may use what is below the
// mark of responses.
constexpr std::uint64_t minor_part = 64;
// All such bodies of clients' requests may use this part so.
constexpr std::uint64_t minor_client_part = 4;
// Weight of the newest value in the moving average of the time for which a
// large body is held.
constexpr double hold_weight = 0.2;
// Stalled connections are looked for at most this often while a body waits.
constexpr milliseconds min_retry(20);

} // namespace

bool memory_account::holding::take(std::uint64_t bytes)
{
    const bool shrinks = bytes < m_bytes;
    if (!set(bytes, 1) && !make_room(bytes, 1))
        return false;
    if (shrinks && m_from != nullptr)
        m_from->grant_waiting();
    return true;
}

bool memory_account::holding::grow_to(std::uint64_t bytes)
{
    return set(bytes, 2) || make_room(bytes, 2);
}

void memory_account::holding::hold(std::uint64_t bytes) noexcept
{
    if (m_from == nullptr)
        return;
    auto& total = m_use == memory_use::connection
                      ? m_from->m_held_by_connections
                      : m_from->m_taken;
    total += bytes - m_bytes;
    m_from->m_minor_client_bytes += m_from->minor_client_bytes(m_use, bytes) -
                                    m_from->minor_client_bytes(m_use, m_bytes);
    m_bytes = bytes;
    if (m_use != memory_use::connection)
        m_taken_at = steady_clock::now();
}

bool memory_account::holding::set(std::uint64_t bytes,
                                  std::uint64_t parts) noexcept
{
    if (m_from == nullptr)
        return true;
    const auto others = m_from->held_against(m_use) - m_bytes;
    const auto mark = m_from->mark_of(*this, bytes);
    const auto free = mark - std::min(others, mark);
    const bool shrinks = parts == 1 && bytes <= m_bytes;
    if (!shrinks && bytes > free / parts)
        return false;
    hold(bytes);
    return true;
}

bool memory_account::holding::make_room(std::uint64_t bytes,
                                        std::uint64_t parts)
{
    auto& from = *m_from;
    if (bytes > from.mark_of(m_use, bytes) / parts)
        return false;
    const auto now = steady_clock::now();
    const auto least = from.min_stall_for(m_use, bytes);
    while (m_use == memory_use::connection
               ? from.close_one()
               : from.close_first(from.m_begun, now, least))
        if (set(bytes, parts))
            return true;
    return false;
}

bool memory_account::holding::wait_for(boost::asio::io_context& io,
                                       std::uint64_t bytes,
                                       time_point latest)
{
    if (m_from == nullptr)
        return true;
    auto& others = m_from->waiting(m_use);
    if ((others.empty() || m_from->is_minor(bytes)) && take(bytes))
        return true;
    const auto wait = m_from->expected_wait(m_use, bytes);
    auto now = steady_clock::now();
    // The work of a response is done: it waits as long as it may.
    const bool may_come_later =
        m_use == memory_use::response && wait != duration::max();
    if (now >= latest || (!may_come_later && wait > latest - now))
        return false;
    waiting_holding self(*this, io, bytes);
    others.push_back(self);
    const auto least = m_from->min_stall_for(m_use, bytes);
    while (!self.is_granted && now < latest)
    {
        // Only the first one closes others; it is woken when it becomes that.
        const bool is_first = &others.front() == &self;
        const auto stalled = m_from->m_begun.next_stalled(least);
        self.wake.expires_at(
            is_first ? std::min(latest,
                                std::max<time_point>(stalled, now + min_retry))
                     : latest);
        boost::system::error_code woken;
        self.wake.async_wait(await{woken});
        now = steady_clock::now();
        if (!self.is_granted && &others.front() == &self && take(bytes))
            self.is_granted = true;
    }
    if (self.is_linked())
        self.unlink();
    m_from->grant_waiting(); // the next one may need less
    return self.is_granted;
}

void memory_account::holding::release() noexcept
{
    if (m_from == nullptr || m_bytes == 0)
        return;
    const auto bytes = m_bytes;
    const auto span = steady_clock::now() - m_taken_at;
    hold(0);
    const bool is_request = m_use == memory_use::client_request ||
                            m_use == memory_use::peer_request;
    if (is_request && !m_from->is_minor(bytes))
        m_from->note_held(span);
    m_from->grant_waiting();
}

std::uint64_t
memory_account::minor_client_bytes(memory_use use,
                                   std::uint64_t bytes) const noexcept
{
    return use == memory_use::client_request && is_minor(bytes) ? bytes : 0;
}

std::uint64_t memory_account::mark_of(const holding& wanted,
                                      std::uint64_t bytes) const noexcept
{
    const auto minor = minor_client_bytes(wanted.m_use, bytes);
    const auto others =
        m_minor_client_bytes - minor_client_bytes(wanted.m_use, wanted.m_bytes);
    if (minor != 0 && others + minor > m_bytes / minor_client_part)
        return m_bytes / mark_parts * marks.front();
    return mark_of(wanted.m_use, bytes);
}

std::uint64_t memory_account::mark_of(memory_use use,
                                      std::uint64_t bytes) const noexcept
{
    if (use == memory_use::connection)
        return m_bytes + m_connection_bytes;
    return is_minor(bytes)
               ? m_bytes
               : m_bytes / mark_parts * marks[static_cast<std::size_t>(use)];
}

std::uint64_t memory_account::held_against(memory_use use) const noexcept
{
    if (use == memory_use::connection)
        return m_taken + m_held_by_connections;
    return m_taken + std::max(m_held_by_connections, m_connection_bytes) -
           m_connection_bytes;
}

duration memory_account::min_stall_for(memory_use use,
                                       std::uint64_t bytes) const noexcept
{
    const bool can_wait = (use == memory_use::client_request ||
                           use == memory_use::peer_request) &&
                          !is_minor(bytes);
    return can_wait ? min_stall_of_large : min_stall;
}

duration memory_account::expected_wait(memory_use use,
                                       std::uint64_t bytes) const noexcept
{
    const auto mark = mark_of(use, bytes);
    if (bytes > std::max(mark, small_bytes))
        return duration::max();
    auto wanted = held_against(use) + bytes;
    for (const auto& each : waiting(use))
        wanted += each.bytes;
    if (wanted <= mark)
        return duration::zero();
    return std::chrono::duration_cast<duration>(
        m_mean_hold *
        (static_cast<double>(wanted - mark) / static_cast<double>(mark)));
}

bool memory_account::close_one()
{
    const auto now = steady_clock::now();
    constexpr auto any = duration::zero();
    const bool is_idle_first =
        m_idle.next_stalled(any) < m_begun.next_stalled(any);
    auto& first = is_idle_first ? m_idle : m_begun;
    auto& second = is_idle_first ? m_begun : m_idle;
    return close_first(first, now, any) || close_first(second, now, any);
}

bool memory_account::close_first(stall_order& order,
                                 time_point now,
                                 duration least)
{
    if (!order.close_most_stalled(now, least))
        return false;
    if (m_on_close)
        m_on_close();
    return true;
}

bool memory_account::is_minor(std::uint64_t bytes) const noexcept
{
    return bytes <= std::max(m_bytes / minor_part, small_bytes);
}

void memory_account::note_held(duration span) noexcept
{
    m_mean_hold += std::chrono::duration_cast<duration>((span - m_mean_hold) *
                                                        hold_weight);
}

void memory_account::grant_waiting()
{
    // Bodies of calls that others have begun come first.
    for (const auto use : {memory_use::response, memory_use::peer_request,
                           memory_use::client_request})
    {
        auto& list = waiting(use);
        const auto* const first = list.empty() ? nullptr : &list.front();
        while (!list.empty() && list.front().owner.set(list.front().bytes, 1))
        {
            auto& granted = list.front();
            granted.is_granted = true;
            granted.unlink();
            granted.wake.cancel();
        }
        if (!list.empty() && &list.front() != first)
            list.front().wake.cancel(); // it may close stalled connections now
    }
}

} // namespace tillerhall
