/** @file Whether a node asks the store by itself or relies on a reader. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace tillerhall
{

/** How a node learns of changes in the store. */
enum class store_duty
{
    listen, ///< a reader of its failure domain tells it
    poll,   ///< it asks the store, for itself
    speak   ///< it asks the store and tells the nodes of its domain
};

/**
 * A few readers a failure domain ask the store; the others hear of them, with
 * each word, how long ago the store answered. A node that has update_received
 * of no answer for `staleness_limit` asks the store itself, whatever the
 * reason, so it is never further behind than the staleness_limit and one call,
 * also when cut from its peers. Of the `candidates` best readers the first one
 * speaks; the next ones take over while they hear nothing fresh from a better
 * one. Pure.
 */
class store_role_choice
{
public:
    /** Readers that may speak for a domain. */
    static constexpr std::size_t candidates = 3;

    /** A word comes each 0.6 s; one may be lost on the way, and 0.2 s are for
     * the way itself. With a call to the store this leaves a quarter of the
     * 2 s in which the users want a change in force. */
    static constexpr milliseconds staleness_limit{1'400};

    /** Notes the word of a reader of rank @p from, @p age after the store's
     * answer. */
    void update_received(std::size_t from,
                         std::size_t own_rank,
                         duration age,
                         time_point now) noexcept
    {
        // Of two that speak the worse one falls silent, never both.
        if (from >= own_rank && own_rank < candidates)
            return;
        const auto answered = now - age;
        m_answered = m_answered ? std::max(*m_answered, answered) : answered;
    }

    /** Notes that this node, which has just started, was answered by the store
     * at @p now: until the staleness_limit it waits for the word of a reader.
     */
    void store_answered(time_point now) noexcept
    {
        m_answered = m_answered ? std::max(*m_answered, now) : now;
    }

    /** @return what a node of rank @p own_rank does at @p now. */
    store_duty at(std::size_t own_rank, time_point now) const noexcept
    {
        if (own_rank == 0)
            return store_duty::speak;
        if (m_answered && now < listens_until())
            return store_duty::listen;
        return own_rank < candidates ? store_duty::speak : store_duty::poll;
    }

    /** @return when a node that relies asks the store if it hears nothing. */
    time_point listens_until() const noexcept
    {
        return m_answered ? *m_answered + staleness_limit : time_point{};
    }

private:
    std::optional<time_point>
        m_answered; ///< newest answer that it update_received of
};

} // namespace tillerhall
