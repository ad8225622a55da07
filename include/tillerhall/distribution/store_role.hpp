/** @file Whether a node polls the store or listens to a reader. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace tillerhall
{

/** How a node learns of changes in the store. */
enum class store_role
{
    listen,  ///< receives the updates of a reader of its domain
    poll,    ///< asks the store, for itself only
    announce ///< asks the store and sends updates to its domain
};

/**
 * A few readers in each failure domain ask the store and send routes updates
 * with the time since the store's answer. A node without an update newer than
 * `staleness_limit` polls the store itself, also when cut off from its peers,
 * so it lags behind by at most that limit and one call. Of the `candidates`
 * best readers the first announces; the next take over when they receive no
 * recent update from a better one. While a reader receives a large answer it
 * says so, and the others wait for that instead. Does no I/O.
 */
class store_role_choice
{
public:
    /** Number of readers that may announce in a domain. */
    static constexpr std::size_t candidates = 3;

    /** Two intervals of updates and their transit, so that one lost update is
     * tolerated; a call to the store still fits into the 2 s in which a change
     * must be in force. */
    static constexpr milliseconds staleness_limit{1'400};

    /** A reader can say for so long after its last answer that it receives a
     * larger one: the time that a transfer may take. */
    static constexpr std::chrono::seconds max_receiving{10};

    /** Notes an update.
     * @param from rank of its reader
     * @param age time since the store's answer */
    void update_received(std::size_t from,
                         std::size_t own_rank,
                         duration age,
                         time_point now) noexcept
    {
        // Of two announcers only the worse one stops.
        if (from >= own_rank && own_rank < candidates)
            return;
        const auto answered = now - age;
        m_answered = m_answered ? std::max(*m_answered, answered) : answered;
    }

    /** Notes that a reader of rank @p from is receiving a large answer of the
     * store. Worse ones wait for it: their own reads would share its link, and
     * with many readers none would finish. */
    void reader_receives(std::size_t from,
                         std::size_t own_rank,
                         time_point now) noexcept
    {
        if (from < own_rank)
            m_reader_received = now;
    }

    /** Notes an answer of the store at @p now to this node, which has just
     * started: it listens for updates until the staleness limit. */
    void store_answered(time_point now) noexcept
    {
        m_answered = m_answered ? std::max(*m_answered, now) : now;
    }

    /** Returns the role of a node of rank @p own_rank at @p now. */
    store_role at(std::size_t own_rank, time_point now) const noexcept
    {
        if (own_rank == 0)
            return store_role::announce;
        if (m_answered && now < listens_until())
            return store_role::listen;
        return own_rank < candidates ? store_role::announce : store_role::poll;
    }

    /** Returns when a listening node stops unless an update arrives. */
    time_point listens_until() const noexcept
    {
        if (!m_answered)
            return {};
        const auto received = std::min(m_reader_received.value_or(time_point()),
                                       *m_answered + max_receiving);
        return std::max(*m_answered, received) + staleness_limit;
    }

private:
    std::optional<time_point> m_answered; ///< newest known answer of the store
    std::optional<time_point> m_reader_received; ///< last notice of a reader
};

} // namespace tillerhall
