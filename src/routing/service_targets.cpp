#include "tillerhall/routing/service_targets.hpp"

#include "tillerhall/core/digest.hpp"
#include "tillerhall/routing/load_inquiry.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

/** @return the number of @p members of each release that is known. */
std::map<std::string, std::size_t>
count_releases(const std::vector<member_ptr>& members)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& each : members)
        if (!each->release.empty())
            ++counts[each->release];
    return counts;
}

/**
 * @return the release that gets the calls where no stable release is stored:
 * that of most targets, among equals the first by name. Neither the release
 * that a roll-out has ordered nor a closed one.
 */
std::string majority_release(const std::string& service,
                             const std::map<std::string, std::size_t>& counts,
                             const rollout_view& rollouts)
{
    const auto* ordered = rollouts.find(service);
    std::string majority;
    std::size_t max_count = 0;
    for (const auto& [release, count] : counts)
    {
        const bool is_ordered =
            ordered != nullptr && release == ordered->order.release;
        if (count > max_count && !is_ordered &&
            !rollouts.is_closed(service, release))
        {
            majority = release;
            max_count = count;
        }
    }
    return majority;
}

bool is_regressed(const rollout_view& rollouts,
                  const std::string& service,
                  const member& checked)
{
    const auto* known = rollouts.find(service);
    return known != nullptr &&
           std::ranges::find(known->regressed_targets, checked.target_id) !=
               known->regressed_targets.end();
}

bool has_all_calls(const rollout_view& rollouts, const std::string& service)
{
    const auto* known = rollouts.find(service);
    return known != nullptr && known->state == rollout_state::running &&
           known->stage == rollout_stage::all;
}

} // namespace

service_targets::service_targets(const member_list& members,
                                 const rollout_view& rollouts,
                                 const domain_drains& drains)
    : m_live(members.live_count())
{
    for (const auto& each : members.ordered())
        if (drains.contains(each.record->place.domain))
            m_by_service.try_emplace(each.record->service);
        else if (takes_calls(*each.record))
            m_by_service[each.record->service].push_back(each.record);
        else if (serves_while_leaving(*each.record))
            m_leaving[each.record->service].push_back(each.record);
    for (auto& [service, leaving] : m_leaving)
        m_by_service.try_emplace(service);
    for (auto& [service, serving] : m_by_service)
        split_by_release(service, serving, rollouts);
}

void service_targets::split_by_release(const std::string& service,
                                       std::vector<member_ptr>& members,
                                       const rollout_view& rollouts)
{
    const auto leaving = m_leaving.find(service);
    auto counts = count_releases(members);
    if (leaving != m_leaving.end())
        counts.merge(count_releases(leaving->second));
    if (counts.empty() ||
        (counts.size() == 1 && rollouts.find(service) == nullptr))
        return;
    auto stable_release = rollouts.stable(service);
    if (stable_release.empty())
        stable_release = majority_release(service, counts, rollouts);
    const auto status_of = [&](const member_ptr& each)
    {
        return each->release.empty()
                   ? release_status::stable
                   : rollouts.status_of(service, each->release, stable_release);
    };
    std::map<release_status, std::vector<member_ptr>> parts;
    for (const auto& each : members)
        parts[status_of(each)].push_back(each);
    auto& stable = parts[release_status::stable];
    auto& ordered = parts[release_status::canary];
    // In the last stage the old release gets no more calls, unless no other
    // target can take them.
    const bool moves = has_all_calls(rollouts, service) &&
                       (!ordered.empty() || stable.empty());
    if (leaving != m_leaving.end())
        std::erase_if(leaving->second,
                      [&](const member_ptr& each)
                      {
                          return status_of(each) !=
                                 (moves ? release_status::canary
                                        : release_status::stable);
                      });
    if (moves)
    {
        members = std::move(ordered);
        return;
    }
    auto& others = parts[release_status::unordered];
    if (stable.empty() && ordered.empty())
    {
        members = std::move(others);
        return;
    }
    add_canaries(service, ordered.empty() ? others : ordered, stable.size(),
                 rollouts);
    members = std::move(stable);
}

void service_targets::add_canaries(const std::string& service,
                                   std::vector<member_ptr> canaries,
                                   std::size_t stable_targets,
                                   const rollout_view& rollouts)
{
    if (canaries.empty())
        return;
    std::erase_if(canaries, [&](const member_ptr& each)
                  { return is_regressed(rollouts, service, *each); });
    // Every entry selects the same targets, so that the whole share goes to
    // few.
    std::ranges::sort(canaries, {},
                      [](const member_ptr& each)
                      { return stable_hash(each->target_id); });
    const auto allowance = rollouts.allowance(service, stable_targets);
    canaries.resize(std::min(canaries.size(), allowance.targets));
    m_canaries[service] = {std::move(canaries), allowance.share};
}

const std::vector<member_ptr>& service_targets::find(const by_service& in,
                                                     const std::string& service)
{
    static const std::vector<member_ptr> none;
    const auto found = in.find(service);
    return found == in.end() ? none : found->second;
}

const std::vector<member_ptr>&
service_targets::of(const std::string& service) const
{
    return find(m_by_service, service);
}

const std::vector<member_ptr>&
service_targets::leaving(const std::string& service) const
{
    return find(m_leaving, service);
}

const canary_targets&
service_targets::canaries_of(const std::string& service) const
{
    static const canary_targets none;
    const auto found = m_canaries.find(service);
    return found == m_canaries.end() ? none : found->second;
}

bool is_balanced(const std::vector<member_ptr>& owners)
{
    return owners.size() > load_inquiry::small_service &&
           std::ranges::any_of(owners, [&](const member_ptr& each)
                               { return each->place != owners[0]->place; });
}

} // namespace tillerhall
