#include "tillerhall/rollout/rollout_view.hpp"

namespace tillerhall
{

const rollout_record* rollout_view::find(const std::string& service) const
{
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : &found->second;
}

std::string rollout_view::stable(const std::string& service) const
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

release_status rollout_view::status_of(const std::string& service,
                                       const std::string& release,
                                       const std::string& stable) const
{
    if (is_closed(service, release))
        return release_status::closed;
    if (release == stable)
        return release_status::stable;
    const auto* known = find(service);
    if (known == nullptr || is_ended(known->state))
        return release_status::unordered;
    if (known->state == rollout_state::unread)
        return release_status::closed; // may have been rolled back before
    return release == known->order.release ? release_status::canary
                                           : release_status::closed;
}

stage_allowance rollout_view::allowance(const std::string& service,
                                        std::size_t stable_targets) const
{
    const auto* known = find(service);
    const auto stage = known == nullptr || is_ended(known->state)
                           ? rollout_stage::spread
                           : known->stage;
    return allowance_of(stage, m_exposure, stable_targets);
}

} // namespace tillerhall
