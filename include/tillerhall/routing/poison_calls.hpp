/**
 * @file Calls under which targets crashed (poison calls), as reported by all
 * members.
 */
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

/** The quarantine of a poison call. */
struct call_quarantine
{
    milliseconds left{};        ///< until it may be probed; 0: now
    milliseconds since_crash{}; ///< since the last crash
    std::size_t rounds = 0;     ///< of crashes; crashes close together are one
                                ///< round

    /**
     * A quarantined call may run at one target of the mesh as a probe; if it
     * succeeds, the call is cleared. After the first round of crashes the probe
     * may be early if calls like it have succeeded before: if all targets crash
     * at once, no run is left that could clear a popular call, and it would be
     * refused for the whole quarantine.
     */
    bool may_be_probed(bool ran_well_before) const noexcept
    {
        return left == milliseconds::zero() ||
               (ran_well_before && rounds == 1 && since_crash >= first_probe);
    }

    /** Long enough for crashed targets to restart. */
    static constexpr std::chrono::seconds first_probe{5};
};

/** The crashes under one call. */
struct crashes_under_call
{
    /** A crash of a target while the call ran there. */
    struct crash
    {
        address owner; ///< of the target
        std::uint64_t at_ms = 0;
    };
    std::vector<crash> crashes;
};

/**
 * An immutable view of the crashes in the members' records, without those of
 * calls that have run successfully since.
 *
 * Guards against a call that crashes each target that runs it while its client
 * retries at any node. Each crash takes a target away for seconds, together
 * with all calls that ran there, so a few such attempts a second can take down
 * a whole service: 20 attempts at once and then one after the other for 9 s at
 * six nodes crashed four targets 36 times in all, and 4 times with this view.
 *
 * One crash does not identify the call, since any call that ran there may be
 * the cause; two under the same call are rarely a coincidence. A call is
 * therefore quarantined from its second crash on, and longer after each further
 * round of crashes, since each probe may cost a target.
 *
 * Used by owners, which are the only way to their targets, and by entries,
 * which then refuse at once. Does no I/O.
 */
class poison_calls : public boost::intrusive_ref_counter<poison_calls>
{
public:
    static constexpr std::size_t crashes_to_quarantine = 2;
    /** Quarantine after the first round; doubled after each further round. */
    static constexpr std::chrono::minutes first_quarantine{10};
    /** Upper limit of the quarantine. */
    static constexpr std::chrono::hours longest_quarantine =
        crash_evidence_kept;

    poison_calls() = default;
    explicit poison_calls(const member_list& members);

    /** @return true if no crash is known, so that no lookup is needed. */
    bool empty() const noexcept { return m_calls.empty(); }

    /** @return true if the fingerprint of a known call begins with @p head. */
    bool knows_head(std::string_view head) const;

    /**
     * @return the quarantine of @p call; nothing if it is not quarantined
     * @param crashed_at owners whose targets crashed under the present attempt,
     * whose reports may not have arrived yet
     * @param now_ms wall clock
     */
    std::optional<call_quarantine>
    quarantine_of(const std::string& call,
                  const std::vector<address>& crashed_at,
                  std::uint64_t now_ms) const;

    /** @return the calls quarantined now that were not in @p before. */
    std::vector<std::string> newly_quarantined(const poison_calls& before,
                                               std::uint64_t now_ms) const;

    /** @return the crashes under @p call; nullptr if there are none. */
    const crashes_under_call* find(const std::string& call) const;

private:
    std::map<std::string, crashes_under_call, std::less<>> m_calls;
};

/**
 * @return the owner whose target probes @p call, or nullptr if there is none.
 * It is the same one at every node, so that copies of a call which arrive at
 * many nodes cost one target.
 */
member_ptr probe_owner(const std::vector<member_ptr>& owners,
                       const std::string& call);

using poison_calls_ptr = boost::intrusive_ptr<const poison_calls>;

} // namespace tillerhall
