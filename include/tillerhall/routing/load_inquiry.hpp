/** @file Selects the owners to ask for their load before a call is sent. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/token_bucket.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace tillerhall
{

/** What an entry knows of an owner that a call could go to. */
struct owner_estimate
{
    bool is_near = false;     ///< in the entry's own failure domain
    bool is_known = false;    ///< its last load report is recent
    bool has_room = false;    ///< by that report and the calls sent since
    bool is_excluded = false; ///< already tried, or did not answer
};

/**
 * Decides which owners an entry asks for their load.
 *
 * In a large service an entry gets a load report from each owner too rarely to
 * know which of them have free slots, and calls are refused by full owners
 * while others are idle: an entry that makes 7 calls a second to 108 owners
 * hears from each every 15 s. The entry therefore asks a few owners first,
 * unless it already knows some with free slots. In a small service the reports
 * that come with answers suffice.
 *
 * Load queries must not add to an overload: only the first attempt of a call
 * asks, few owners are asked where most are full, and the queries of a node are
 * rate-limited. Does no I/O.
 */
class load_inquiry
{
public:
    /** Services with up to this many owners need no queries. */
    static constexpr std::size_t small_service = 8;
    /**
     * No queries are sent if at least this many owners are known to have free
     * slots: the better of two is rarely bad (Mitzenmacher, 2001).
     */
    static constexpr std::size_t enough_known = 2;
    /**
     * Owners asked besides the preferred one: in the entry's own failure
     * domain, where traffic costs nothing, and in other domains, for when calls
     * and targets are spread unevenly over the domains.
     */
    static constexpr std::size_t max_near = 1;
    static constexpr std::size_t max_far = 1;
    /**
     * If more than this share of the owners asked were full, only one call in
     * `seldom` asks, and only one owner, to notice when that ends.
     */
    static constexpr double mostly_full = 0.8;
    static constexpr std::uint64_t seldom = 4;
    /**
     * Load queries a second of one node, so that they cost little processor
     * time on a small host: a query takes some 0.2 ms of work, and with 100 a
     * second hosts with a tenth of a core had no time for calls in a burst.
     */
    static constexpr double queries_per_s = 60;
    static constexpr double query_burst = 30;

    /**
     * @param preferred index of the owner that the entry would choose without
     * queries. It is among those asked, since random owners alone would often
     * be slow ones.
     * @return the indexes in @p owners of those to ask; none if enough owners
     * are known to have free slots or the rate limit of queries is reached.
     */
    std::vector<std::size_t>
    owners_to_ask(std::span<const owner_estimate> owners,
                  std::size_t preferred,
                  time_point now,
                  random_source& random);

    /** Counts the answer of an owner that was asked. */
    void answered(bool is_full);

private:
    /** Weight of the newest answer in the decaying mean. */
    static constexpr double newest_share = 0.05;

    token_bucket m_queries{queries_per_s, query_burst};
    double m_full = 0; ///< decaying share of full owners among those asked
};

} // namespace tillerhall
