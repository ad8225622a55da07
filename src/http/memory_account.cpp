#include "tillerhall/http/memory_account.hpp"

#include "tillerhall/core/await.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// Marks of the kinds in parts of the budget. The part between the first two
// holds a body of the usual maximum size.
constexpr std::uint64_t mark_parts = 8;
constexpr std::array<std::uint64_t, 3> marks{4, 7, 8};
// A body up to this part of the budget may use the memory below the mark of
// responses.
constexpr std::uint64_t minor_part = 64;
// Weight of the newest value in the moving average of the time for which a
// large body is held.
constexpr double hold_weight = 0.2;

} // namespace

bool memory_account::holding::take(std::uint64_t bytes) noexcept
{
    return set(bytes, 1);
}

bool memory_account::holding::grow_to(std::uint64_t bytes) noexcept
{
    return set(bytes, 2);
}

void memory_account::holding::hold(std::uint64_t bytes) noexcept
{
    if (m_from == nullptr)
        return;
    m_from->m_taken += bytes - m_bytes;
    m_bytes = bytes;
    m_taken_at = steady_clock::now();
}

bool memory_account::holding::set(std::uint64_t bytes,
                                  std::uint64_t parts) noexcept
{
    if (m_from == nullptr)
        return true;
    const auto others = m_from->m_taken - m_bytes;
    const auto mark = m_from->mark_of(m_kind, bytes);
    const auto free = mark - std::min(others, mark);
    if (bytes > std::max(free / parts, small_bytes))
        return false;
    hold(bytes);
    return true;
}

bool memory_account::holding::wait_for(boost::asio::io_context& io,
                                       std::uint64_t bytes,
                                       time_point latest)
{
    if (m_from == nullptr)
        return true;
    auto& others = m_from->waiting(m_kind);
    if ((others.empty() || m_from->is_minor(bytes)) && take(bytes))
        return true;
    const auto wait = m_from->expected_wait(m_kind, bytes);
    const auto now = steady_clock::now();
    if (now >= latest || wait > latest - now)
        return false;
    waiting_body self(*this, io, bytes);
    others.push_back(self);
    self.wake.expires_after(latest - now);
    boost::system::error_code woken;
    self.wake.async_wait(await{woken});
    if (self.is_granted)
        return true;
    self.unlink();
    m_from->grant_waiting(); // the next one may need less
    return false;
}

void memory_account::holding::release() noexcept
{
    if (m_from == nullptr || m_bytes == 0)
        return;
    m_from->m_taken -= m_bytes;
    if (m_kind != memory_use::response && !m_from->is_minor(m_bytes))
        m_from->note_held(steady_clock::now() - m_taken_at);
    m_bytes = 0;
    m_from->grant_waiting();
}

std::uint64_t memory_account::mark_of(memory_use kind,
                                      std::uint64_t bytes) const noexcept
{
    return is_minor(bytes)
               ? m_bytes
               : m_bytes / mark_parts * marks[static_cast<std::size_t>(kind)];
}

duration memory_account::expected_wait(memory_use kind,
                                       std::uint64_t bytes) const noexcept
{
    const auto mark = mark_of(kind, bytes);
    if (bytes > std::max(mark, small_bytes))
        return duration::max();
    auto wanted = m_taken + bytes;
    for (const auto& each : waiting(kind))
        wanted += each.bytes;
    if (wanted <= mark)
        return duration::zero();
    return std::chrono::duration_cast<duration>(
        m_mean_hold *
        (static_cast<double>(wanted - mark) / static_cast<double>(mark)));
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
    for (const auto kind : {memory_use::response, memory_use::peer_request,
                            memory_use::client_request})
    {
        auto& list = waiting(kind);
        while (!list.empty() && list.front().owner.take(list.front().bytes))
        {
            auto& granted = list.front();
            granted.is_granted = true;
            granted.unlink();
            granted.wake.cancel();
        }
    }
}

} // namespace tillerhall
