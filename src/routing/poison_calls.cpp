#include "tillerhall/routing/poison_calls.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// Clocks of hosts may differ by this much, so a successful run also clears a
// call of crashes that seem this much later. This never clears a call that
// crashes each target, since it has no successful runs.
constexpr std::uint64_t clock_tolerance_ms = 5'000;

// Crashes further apart than this belong to different rounds.
constexpr milliseconds round_gap(2'500);

std::size_t rounds_of(const std::vector<crashes_under_call::crash>& in_order)
{
    const auto is_apart = [](const auto& before, const auto& after)
    { return milliseconds(after.at_ms - before.at_ms) > round_gap; };
    std::size_t rounds = 1;
    for (std::size_t i = 1; i < in_order.size(); ++i)
        rounds += is_apart(in_order[i - 1], in_order[i]) ? 1 : 0;
    return rounds;
}

milliseconds quarantine_after(std::size_t rounds)
{
    // Enough to reach the longest quarantine without overflow of the shift.
    constexpr std::size_t max_doublings = 10;
    const auto doublings = std::min(rounds - 1, max_doublings);
    return std::min<milliseconds>(poison_calls::first_quarantine *
                                      (1U << doublings),
                                  poison_calls::longest_quarantine);
}

/** @return the age of @p at_ms; zero if a remote clock is ahead. */
milliseconds age_of(std::uint64_t at_ms, std::uint64_t now_ms)
{
    return milliseconds(now_ms > at_ms ? now_ms - at_ms : 0);
}

} // namespace

poison_calls::poison_calls(const member_list& members)
{
    std::map<std::string, std::uint64_t, std::less<>> cleared;
    for (const auto& each : members.ordered())
        for (const auto& run : each.record->good_runs)
        {
            auto& until = cleared[run.call];
            until = std::max(until, run.at_ms + clock_tolerance_ms);
        }
    for (const auto& each : members.ordered())
        for (const auto& crash : each.record->target_crashes)
            for (const auto& call : crash.calls)
            {
                const auto until = cleared.find(call);
                if (until != cleared.end() && crash.at_ms <= until->second)
                    continue;
                m_calls[call].crashes.push_back(
                    {each.record->rpc, crash.at_ms});
            }
}

bool poison_calls::knows_head(std::string_view head) const
{
    const auto found = m_calls.lower_bound(head);
    return found != m_calls.end() && found->first.starts_with(head);
}

const crashes_under_call* poison_calls::find(const std::string& call) const
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? nullptr : &found->second;
}

std::optional<call_quarantine>
poison_calls::quarantine_of(const std::string& call,
                            const std::vector<address>& crashed_at,
                            std::uint64_t now_ms) const
{
    const auto* known = find(call);
    auto crashes = known == nullptr ? std::vector<crashes_under_call::crash>{}
                                    : known->crashes;
    std::erase_if(crashes, [&](const auto& each)
                  { return age_of(each.at_ms, now_ms) > longest_quarantine; });
    for (const auto& owner : crashed_at)
        if (std::ranges::find(crashes, owner,
                              &crashes_under_call::crash::owner) ==
            crashes.end())
            crashes.push_back({owner, now_ms});
    if (crashes.size() < crashes_to_quarantine)
        return std::nullopt;
    std::ranges::sort(crashes, {}, &crashes_under_call::crash::at_ms);
    const auto rounds = rounds_of(crashes);
    const auto since_crash = age_of(crashes.back().at_ms, now_ms);
    const auto left =
        std::max(quarantine_after(rounds) - since_crash, milliseconds::zero());
    return call_quarantine{left, since_crash, rounds};
}

std::vector<std::string>
poison_calls::newly_quarantined(const poison_calls& before,
                                std::uint64_t now_ms) const
{
    std::vector<std::string> quarantined;
    for (const auto& [call, known] : m_calls)
        if (quarantine_of(call, {}, now_ms) &&
            !before.quarantine_of(call, {}, now_ms))
            quarantined.push_back(call);
    return quarantined;
}

member_ptr probe_owner(const std::vector<member_ptr>& owners,
                       const std::string& call)
{
    const auto weight = [&](const member_ptr& each)
    { return stable_hash(call + each->rpc.text()); };
    const auto chosen = std::ranges::max_element(owners, {}, weight);
    return chosen == owners.end() ? nullptr : *chosen;
}

} // namespace tillerhall
