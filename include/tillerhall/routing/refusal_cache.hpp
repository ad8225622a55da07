/** @file Caches which owners have recently refused which work. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <compare>
#include <map>
#include <vector>

namespace tillerhall
{

/** A kind of calls that an owner refuses or admits alike. */
struct refused_work
{
    work_class work;
    bool is_retry = false; ///< a retry after a refusal; admitted behind others

    friend auto operator<=>(const refused_work&, const refused_work&) = default;
};

/**
 * Keeps an entry from asking owners again that have no free slot for a class of
 * work.
 *
 * When targets slow down and clients retry at once, each attempt would ask
 * several full owners. A refusal costs both nodes about as much as a call, so
 * refusals would use up the processor time of the hosts that still serve.
 *
 * Only refusals sent while the owner's or the entry's processor is saturated
 * are cached, and those for a rate limit, which concern all calls of the class.
 * In other cases a refusal concerns the one call and its due time, and a pause
 * for all calls of the class would refuse calls that could be served.
 *
 * Kept by class of work, so that a refused read does not block a booking, and
 * separately for retries, which are refused earlier. Does no I/O.
 */
class refusal_cache
{
public:
    /**
     * Upper limit of a pause. An owner's Retry-After is about the time of a
     * run; half a long run is short enough that a slot which becomes free is
     * soon used. With 50 ms the processors of the owners stayed saturated.
     */
    static constexpr milliseconds longest_pause{250};
    /** For this long after a pause the owner gets only one call of the work in
     * each pause. */
    static constexpr milliseconds retention{1'000};
    /**
     * A pause ends at a random time after this share of it, so that entries
     * that were refused together do not ask together.
     */
    static constexpr double min_part = 0.5;

    /**
     * Records that @p owner has no free slot for @p work.
     * @param retry_after as sent by the owner
     * @param point random in [0, 1), for the spread
     */
    void refused(const address& owner,
                 const refused_work& work,
                 duration retry_after,
                 double point,
                 time_point now);

    /**
     * Records that @p owner is asked for @p work. It is not asked again before
     * another pause unless it admits the call: in an overload answers take
     * 200 ms, and all calls of that time would go to a full owner.
     */
    void asked(const address& owner, const refused_work& work, time_point now);

    /** Records that @p owner admitted a call of @p work. */
    void admitted(const address& owner, const refused_work& work);

    /** @return the owners that must not be asked for @p work at @p now. */
    std::vector<address> refusing(const refused_work& work, time_point now);

    /**
     * @return the shortest Retry-After of these owners; zero if there is none.
     */
    duration retry_after(const refused_work& work, time_point now) const;

private:
    struct refusal
    {
        time_point until{}; ///< of the pause
        duration pause{};
        duration retry_after{};
    };

    std::map<refused_work, std::map<address, refusal>> m_refusals;
};

} // namespace tillerhall
