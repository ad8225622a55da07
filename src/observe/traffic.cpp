#include "tillerhall/observe/traffic.hpp"

#include <numeric>

namespace tillerhall
{
namespace
{
constexpr std::array<std::string_view, traffic_kind_count> kind_names{
    "heartbeat", "delta", "snapshot", "source", "membership", "watch", "other"};

std::size_t index_of(traffic_kind kind) noexcept
{
    return static_cast<std::size_t>(kind);
}
} // namespace

std::string_view name_of(traffic_kind kind) noexcept
{
    return kind_names[index_of(kind)];
}

void traffic_counters::add(traffic_kind kind,
                           std::uint64_t in,
                           std::uint64_t out) noexcept
{
    auto& counters = m_kinds[index_of(kind)];
    counters.in.fetch_add(in, std::memory_order_relaxed);
    counters.out.fetch_add(out, std::memory_order_relaxed);
}

std::uint64_t traffic_counters::bytes_in(traffic_kind kind) const noexcept
{
    return m_kinds[index_of(kind)].in.load(std::memory_order_relaxed);
}

std::uint64_t traffic_counters::bytes_out(traffic_kind kind) const noexcept
{
    return m_kinds[index_of(kind)].out.load(std::memory_order_relaxed);
}

std::uint64_t traffic_counters::total() const noexcept
{
    return std::accumulate(m_kinds.begin(), m_kinds.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const pair& each)
                           { return sum + each.in.load() + each.out.load(); });
}

} // namespace tillerhall
