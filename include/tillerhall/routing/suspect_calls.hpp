/** @file The calls under which targets ended, as the whole mesh has told. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/membership/member_list.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** How a call is held under which targets ended. */
struct call_hold
{
    milliseconds left{};      ///< until it may be tried again; 0: now
    milliseconds since_end{}; ///< of the last target
    std::size_t rounds = 0;   ///< of ends; the first copies end many at once

    /**
     * A held call runs at one target of the mesh, as a trial: if it runs well
     * it is cleared. After the first round that may be soon, if calls like it
     * have been answered well before: where all targets end at once no run is
     * left that could clear a call that many make, and it would be refused for
     * the whole hold.
     */
    bool may_be_tried(bool ran_well_before) const noexcept
    {
        return left == milliseconds::zero() ||
               (ran_well_before && rounds == 1 && since_end >= first_trial);
    }

    /** Targets that ended together are back after some seconds. */
    static constexpr std::chrono::seconds first_trial{5};
};

/** What is known of one call. */
struct ends_under_call
{
    /** An end of a target while the call ran there. */
    struct end
    {
        address owner; ///< of the target
        std::uint64_t at_ms = 0;
    };
    std::vector<end> ends;
};

/**
 * An immutable view of the ends that members tell in their records, less those
 * of calls that have run well since.
 *
 * The load it answers: a call that ends each target that runs it, and whose
 * client comes back at any node. Each end takes a target away for seconds and
 * all calls that ran there with it, so a few such tries a second take a whole
 * service away: with four targets, 20 tries at once and then one after the
 * other for 9 s at six nodes 36 targets ended, and 4 with this view.
 *
 * One end proves nothing, since every call that ran there looks alike; two are
 * rarely another's doing. On 1,000 played days 9 of 720,000 tries of calls that
 * many make were refused, 230 if good runs cleared nothing. Some seven tries a
 * day, the ending call's own among them, saw two targets end and were stopped;
 * the clients of the others would be refused if they came back. So a call is
 * held from its second end on, and longer with each further round of ends: time
 * alone mends nothing, and each trial may cost a target.
 *
 * Read by owners, who are the only way to their targets, and by entries, which
 * then refuse at once. Pure.
 */
class suspect_calls : public boost::intrusive_ref_counter<suspect_calls>
{
public:
    static constexpr std::size_t ends_to_hold = 2;
    /** After the first round. An operator has seen the line by then and a
     * release may be on its way; doubled with each further round. */
    static constexpr std::chrono::minutes first_hold{10};
    /** So a day of trials costs no more than eight targets. */
    static constexpr std::chrono::hours longest_hold = news_kept;

    suspect_calls() = default;
    explicit suspect_calls(const member_list& members);

    /** @return whether no end is known: nothing needs to be looked up. */
    bool empty() const noexcept { return m_calls.empty(); }

    /** @return whether a known call's fingerprint begins with @p head. */
    bool knows_head(std::string_view head) const;

    /**
     * @return how @p call is held; nothing if it is not
     * @param ended_at owners whose targets ended under the present try; what
     * they tell may not have come yet
     * @param now_ms wall clock
     */
    std::optional<call_hold> hold_of(const std::string& call,
                                     const std::vector<address>& ended_at,
                                     std::uint64_t now_ms) const;

    /** @return the calls held now that @p before did not hold. */
    std::vector<std::string> newly_held(const suspect_calls& before,
                                        std::uint64_t now_ms) const;

    /** @return what is known of @p call; nullptr if nothing is. */
    const ends_under_call* find(const std::string& call) const;

private:
    std::map<std::string, ends_under_call, std::less<>> m_calls;
};

/**
 * @return whose target tries @p call: the same one wherever it is asked, so
 * that copies that come at many nodes cost one target; nullptr if there is
 * none.
 */
member_ptr trial_owner(const std::vector<member_ptr>& owners,
                       const std::string& call);

using suspect_calls_ptr = boost::intrusive_ptr<const suspect_calls>;

} // namespace tillerhall
