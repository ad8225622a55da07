/** @file How often the calls of each rank are served. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace tillerhall
{

/**
 * Tells which less urgent ranks need a share of the slots.
 *
 * Answers lasting overload by urgent calls. Each rank must be served at least a
 * quarter as often as all calls together, and no rank more often than a more
 * urgent one. A rank therefore needs slots out of its turn only while it is
 * served less than half as often as all, or less often than a less urgent one.
 * Over decaying counts; does no I/O.
 */
class rank_shares
{
public:
    /** Twice the quarter, as a margin for what other owners refuse. */
    static constexpr double min_share = 0.5;

    void arrived(std::uint32_t rank, time_point now);
    void served(std::uint32_t rank, time_point now);

    /** @return whether @p rank is served too rarely. */
    bool needs_slots(std::uint32_t rank) const;

    /** @return whether @p rank is served more often than a more urgent one. */
    bool is_ahead(std::uint32_t rank) const;

private:
    /** Ranks come from the configuration and are few; bounds the memory. */
    static constexpr std::size_t max_ranks = 256;

    struct counts
    {
        double arrived = 0;
        double served = 0;
        time_point at{};

        void decay(time_point now);
    };

    /** @return whether @p rank is served more than @p factor times as often as
     * a more urgent one. */
    bool is_above_urgent(std::uint32_t rank, double factor) const;
    counts& of(std::uint32_t rank, time_point now);

    std::map<std::uint32_t, counts> m_ranks;
    counts m_all;
};

} // namespace tillerhall
