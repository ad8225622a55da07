/** @file Decides which owners are asked for their load before a call is sent.
 */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/token_bucket.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace tillerhall
{

/** What an entry knows of an owner that a call could go to. */
struct owner_outlook
{
    bool is_near = false;     ///< of the entry's own failure domain
    bool is_known = false;    ///< told its load a small part of a run ago
    bool has_room = false;    ///< by that word, and what was sent there since
    bool is_left_out = false; ///< was tried, or did not answer just now
};

/**
 * In a large service an entry hears of each owner too rarely to know who has
 * room: of 108 owners with runs of 430 ms, an entry that makes seven calls a
 * second hears of each every 15 s. Calls were then refused by three owners in a
 * row while others idled. So an entry asks a few owners first, unless it knows
 * of some that have room. In a small service each owner is heard of within
 * about a run.
 *
 * Questions must not feed on an overload: with four at each try of each call,
 * refused calls asked again and the work for questions doubled. So only a
 * call's first try asks, few are asked where most are full, and all questions
 * of a node stay below a fixed rate. Pure.
 */
class load_inquiry
{
public:
    /** In services up to this size the words that come with answers do. */
    static constexpr std::size_t small_service = 8;
    /** With so many owners known to have room nobody is asked: of two the
     * better one is rarely bad (Mitzenmacher, 2001). */
    static constexpr std::size_t enough_known = 2;
    /** Besides the favourite: of the entry's own domain, where bytes cost
     * nothing; and of the others, for when calls and targets are spread
     * unevenly over the domains. */
    static constexpr std::size_t most_near = 1;
    static constexpr std::size_t most_far = 1;
    /** Where more than this share of those asked are full, one call in
     * `seldom` asks one owner, to notice when that ends: more questions would
     * find no more room than there is. */
    static constexpr double mostly_full = 0.8;
    static constexpr std::uint64_t seldom = 4;
    /** Questions a second of one node: three for each of 20 calls. Asked and
     * answered they are some 0.2 ms of work, 12% of a tenth of a core; with
     * 100, hosts of that size had no time for calls in a burst. */
    static constexpr double questions_per_s = 60;
    static constexpr double question_burst = 30;

    /**
     * @param favourite position of the owner that the entry would choose by
     * what it remembers. With random ones alone slow targets were chosen while
     * fast ones idled: on a quiet day 4.7% of the reads were late, not 2%.
     * @return the positions in @p owners of those to ask; none if enough is
     * known, or if too much was asked lately.
     */
    std::vector<std::size_t> whom_to_ask(std::span<const owner_outlook> owners,
                                         std::size_t favourite,
                                         time_point now,
                                         random_source& random);

    /** An owner that was asked told its load. */
    void answered(bool is_full);

private:
    /** Weight of the newest answer: some twenty count. */
    static constexpr double newest_share = 0.05;

    token_bucket m_questions{questions_per_s, question_burst};
    double m_full = 0; ///< decaying share of those asked that were full
};

} // namespace tillerhall
