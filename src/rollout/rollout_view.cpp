#include "tillerhall/rollout/rollout_view.hpp"

namespace tillerhall
{

const rollout_record* rollout_view::find(const std::string& service) const
{
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : &found->second;
}

std::string rollout_view::settled(const std::string& service) const
{
    const auto* known = find(service);
    if (known != nullptr && !stable_release(*known).empty())
        return stable_release(*known);
    const auto found = m_stable.find(service);
    return found == m_stable.end() ? std::string() : found->second;
}

bool rollout_view::is_closed(const std::string& service,
                             const std::string& release) const
{
    const auto* known = find(service);
    return known != nullptr && tillerhall::is_closed(*known, release);
}

release_standing rollout_view::standing(const std::string& service,
                                        const std::string& release,
                                        const std::string& settled) const
{
    if (is_closed(service, release))
        return release_standing::closed;
    if (release == settled)
        return release_standing::settled;
    const auto* known = find(service);
    if (known == nullptr || is_ended(known->state))
        return release_standing::guest;
    if (known->state == rollout_state::unread)
        return release_standing::closed; // may have been rolled back before
    return release == known->order.release ? release_standing::trial
                                           : release_standing::closed;
}

stage_allowance rollout_view::terms(const std::string& service,
                                    std::size_t settled_targets) const
{
    const auto* known = find(service);
    const auto stage = known == nullptr || is_ended(known->state)
                           ? rollout_stage::spread
                           : known->stage;
    return allowance_of(stage, m_exposure, settled_targets);
}

} // namespace tillerhall
