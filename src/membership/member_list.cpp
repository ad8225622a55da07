#include "tillerhall/membership/member_list.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>
#include <numeric>

namespace tillerhall
{

member_list::member_list(member self)
    : m_self(self.rpc)
{
    store(self);
}

const member& member_list::self() const noexcept
{
    return *m_entries.find(m_self)->second.record;
}

void member_list::update_self(member_state state, target_state target_is)
{
    auto changed = self();
    changed.state = state;
    changed.target_is = target_is;
    replace_self(changed);
}

void member_list::replace_self(const member& changed)
{
    if (changed == self())
        return;
    auto raised = changed;
    raised.rpc = m_self;
    raised.incarnation =
        incarnation_after(changed.incarnation, self().incarnation);
    store(raised);
}

merge_result member_list::merge(const member& offered)
{
    if (offered.rpc == m_self)
        return merge_self(offered);
    const auto* known = find(offered.rpc);
    if (known != nullptr && !supersedes(offered, *known))
        return merge_result::unchanged;
    // Else a removed dead record would be reintroduced by peers for ever.
    if (known == nullptr && offered.state == member_state::dead)
        return merge_result::unchanged;
    auto taken = offered;
    // A new boot may not know yet what its earlier boot reported.
    if (known != nullptr)
    {
        add_departed_targets(taken, known->departed_targets);
        add_target_crashes(taken, known->target_crashes);
        add_good_runs(taken, known->good_runs);
        forget_crash_evidence(taken, m_oldest_evidence_ms);
    }
    store(taken);
    return merge_result::changed;
}

merge_result member_list::merge_self(const member& offered)
{
    // Only this node writes its own record, so its incarnation must exceed that
    // of any other version of the record.
    auto raised = self();
    const bool accused = supersedes(offered, raised);
    const bool departure_added =
        add_departed_targets(raised, offered.departed_targets);
    const bool crash_added = add_target_crashes(raised, offered.target_crashes);
    const bool run_added = add_good_runs(raised, offered.good_runs);
    const bool learned = departure_added || crash_added || run_added;
    if (!accused && !learned)
        return merge_result::unchanged;
    raised.incarnation =
        incarnation_after(offered.incarnation, raised.incarnation);
    store(raised);
    return accused ? merge_result::refute : merge_result::changed;
}

merge_result member_list::accuse(const address& node, member_state as)
{
    const auto* known = find(node);
    if (known == nullptr || node == m_self)
        return merge_result::unchanged;
    auto accused = *known;
    accused.state = as;
    return merge(accused);
}

void member_list::forget_dead(time_point before)
{
    std::erase_if(m_entries,
                  [&](const auto& each)
                  {
                      const auto& kept = each.second;
                      const bool drop =
                          kept.record->state == member_state::dead &&
                          kept.changed < before;
                      m_changes += drop ? 1 : 0;
                      return drop;
                  });
}

const member* member_list::find(const address& node) const noexcept
{
    const auto found = m_entries.find(node);
    return found == m_entries.end() ? nullptr : found->second.record.get();
}

std::vector<member> member_list::all() const
{
    std::vector<member> records;
    records.reserve(m_entries.size());
    for (const auto& each : m_entries)
        records.push_back(*each.second.record);
    return records;
}

const std::vector<keyed_member>& member_list::ordered() const
{
    if (m_ordered_at == m_changes)
        return m_ordered;
    m_ordered.clear();
    m_ordered.reserve(m_entries.size());
    for (const auto& each : m_entries)
        m_ordered.push_back(
            {each.second.key, each.second.ring, each.second.record});
    std::ranges::sort(m_ordered, {}, &keyed_member::key);
    m_ordered_at = m_changes;
    return m_ordered;
}

std::size_t member_list::live_count() const noexcept
{
    const auto live = [](const auto& each)
    { return is_live(*each.second.record); };
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, live));
}

void member_list::learn_names(const std::set<std::string>& services,
                              const std::set<std::string>& places)
{
    const auto before = m_services.size() + m_places.size();
    m_services.insert(services.begin(), services.end());
    m_places.insert(places.begin(), places.end());
    if (m_services.size() + m_places.size() != before)
        ++m_changes;
}

std::uint64_t member_list::digest() const noexcept
{
    return std::accumulate(m_buckets.begin(), m_buckets.end(), std::uint64_t{0},
                           std::bit_xor<>());
}

std::vector<member> member_list::bucket(std::size_t index) const
{
    std::vector<member> records;
    for (const auto& each : m_entries)
        if (bucket_of(each.first) == index)
            records.push_back(*each.second.record);
    return records;
}

void member_list::store(const member& stored)
{
    auto& kept = m_entries[stored.rpc];
    auto& bucket_digest = m_buckets[bucket_of(stored.rpc)];
    bucket_digest ^= kept.hash; // 0 for a new entry
    // Dead records are excluded: nodes remove them at different times.
    const bool counts = stored.state != member_state::dead;
    if (!kept.record)
        kept.ring = stable_hash(stored.rpc.text());
    kept.key = key_of(stored);
    kept.record = std::make_shared<const member>(stored);
    kept.hash = counts ? hash_of(stored) : 0;
    kept.changed = m_now;
    bucket_digest ^= kept.hash;
    m_services.insert(stored.service);
    m_places.insert(stored.place.domain);
    ++m_changes;
}

std::size_t member_list::bucket_of(const address& node)
{
    return stable_hash(node.text()) % bucket_count;
}

} // namespace tillerhall
