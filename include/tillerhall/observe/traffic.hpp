/** @file Bytes of control traffic by kind and direction. */
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace tillerhall
{

/** The kinds of control traffic. */
enum class traffic_kind
{
    heartbeat,
    delta,
    snapshot,
    source,
    membership,
    watch,
    other
};

inline constexpr std::size_t traffic_kind_count = 7;

/** @return the name of @p kind in metrics. */
std::string_view name_of(traffic_kind kind) noexcept;

/** Bytes in and out by kind, counted at the sockets. Thread-safe. */
class traffic_counters
{
public:
    void add(traffic_kind kind, std::uint64_t in, std::uint64_t out) noexcept;

    std::uint64_t bytes_in(traffic_kind kind) const noexcept;
    std::uint64_t bytes_out(traffic_kind kind) const noexcept;

    /** @return the sum over all kinds and both directions. */
    std::uint64_t total() const noexcept;

private:
    struct pair
    {
        std::atomic<std::uint64_t> in{0};
        std::atomic<std::uint64_t> out{0};
    };

    std::array<pair, traffic_kind_count> m_kinds;
};

} // namespace tillerhall
