#include "tillerhall/distribution/version_gate.hpp"
#include "tillerhall/table/csv.hpp"

#include <array>

namespace tillerhall
{
namespace
{
constexpr std::array<std::string_view, 6> decision_names{
    "applied", "old", "missing_parent", "waiting_names", "corrupt", "too_far"};
} // namespace

std::string_view name_of(gate_decision decision) noexcept
{
    return decision_names[static_cast<std::size_t>(decision)];
}

version_gate::version_gate(names_known known, on_applied applied)
    : m_known(std::move(known))
    , m_applied(std::move(applied))
    , m_current(new table_view)
{
}

gate_decision version_gate::offer(const table_update& update)
{
    note_version(update.version);
    const auto decision = decide(update);
    if (decision == gate_decision::applied)
        retry_waiting();
    if (decision != gate_decision::missing_parent &&
        decision != gate_decision::waiting_names)
        return decision;
    add_waiting(update);
    return m_waiting.contains(update.version) ? decision
                                              : gate_decision::too_far;
}

bool version_gate::retry_waiting()
{
    bool any = false;
    bool again = true;
    while (again)
    {
        again = false;
        // Newest first: a whole table supersedes the versions below it.
        for (auto candidate = m_waiting.rbegin(); candidate != m_waiting.rend();
             ++candidate)
        {
            const auto update = candidate->second;
            const auto decision = decide(update);
            if (decision == gate_decision::corrupt)
                m_waiting.erase(update.version);
            again = decision == gate_decision::applied;
            if (again || decision == gate_decision::corrupt)
                break;
        }
        any = any || again;
    }
    return any;
}

void version_gate::note_version(std::uint64_t version) noexcept
{
    m_greatest_seen = std::max(m_greatest_seen, version);
}

gate_decision version_gate::decide(const table_update& update)
{
    if (update.version <= m_current->version())
        return gate_decision::old;
    if (update.whole)
    {
        auto outcome = read_csv(*update.whole);
        if (!outcome.problems.empty())
            return gate_decision::corrupt;
        return take(update, std::move(outcome.parsed.table));
    }
    // Only the next version is applicable; a matching parent digest alone could
    // skip a version that this node has not checked.
    if (update.version != m_current->version() + 1)
        return gate_decision::missing_parent;
    if (m_current->version() != 0 &&
        update.parent_digest != m_current->digest())
        return gate_decision::corrupt;
    auto applied = apply(m_current->table(), *update.changes);
    if (!applied)
        return gate_decision::corrupt;
    return take(update, std::move(*applied));
}

gate_decision version_gate::take(const table_update& update, config_table table)
{
    if (table.digest() != update.digest)
        return gate_decision::corrupt;
    if (!m_known(table))
        return gate_decision::waiting_names;
    const auto before = m_current;
    m_current = table_view_ptr(new table_view(
        update.version, update.digest, update.accepted_us, std::move(table)));
    drop_waiting_up_to(update.version);
    if (m_applied)
        m_applied(*before, *m_current);
    return gate_decision::applied;
}

void version_gate::add_waiting(const table_update& update)
{
    auto& known = m_waiting[update.version];
    if (!known.whole) // a whole table is kept in favour of a delta
        known = update;
    while (m_waiting.size() > max_waiting)
    {
        // The lowest is needed first; the highest can be pulled later.
        const auto farthest = std::prev(m_waiting.end());
        m_waiting.erase(farthest);
    }
}

void version_gate::drop_waiting_up_to(std::uint64_t version)
{
    m_waiting.erase(m_waiting.begin(), m_waiting.upper_bound(version));
}

} // namespace tillerhall
