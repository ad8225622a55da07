/** @file Decides whether an arriving version replaces the current one. */
#pragma once

#include "tillerhall/distribution/table_update.hpp"
#include "tillerhall/distribution/table_view.hpp"

#include <functional>
#include <map>
#include <string_view>

namespace tillerhall
{

/** What was done with an update. */
enum class gate_decision
{
    applied,        ///< it is now the current version
    old,            ///< not newer than the current version; dropped
    missing_parent, ///< waits until the preceding versions arrive
    waiting_names,  ///< waits until its names are known
    corrupt,        ///< does not match its digest; dropped
    too_far         ///< no room to keep it waiting; to be pulled later
};

std::string_view name_of(gate_decision decision) noexcept;

/**
 * Applies all changes of a node's table. Invariants for updates in any order:
 * the version never decreases; the table is always one complete version with a
 * verified digest; all services and places that it names were known when it was
 * applied. Does no I/O.
 */
class version_gate
{
public:
    static constexpr std::size_t max_waiting = 32;

    /** Returns true if every service and place of a table is known. */
    using names_known = std::function<bool(const config_table&)>;

    /** Called after each swap with the previous and the new view. */
    using on_applied =
        std::function<void(const table_view& before, const table_view& after)>;

    explicit version_gate(names_known known, on_applied applied = {});

    /** Processes an update, and waiting ones that it makes applicable. */
    gate_decision offer(const table_update& update);

    /** Retries waiting updates, after members became known.
     * @return true if any was applied */
    bool retry_waiting();

    /** Returns the current view, of version 0 at first; never null. */
    const table_view_ptr& current() const noexcept { return m_current; }

    /** Returns the greatest version that is known to exist. */
    std::uint64_t greatest_seen() const noexcept { return m_greatest_seen; }

    /** Notes that @p version exists. */
    void note_version(std::uint64_t version) noexcept;

    std::size_t waiting() const noexcept { return m_waiting.size(); }

private:
    gate_decision decide(const table_update& update);
    gate_decision take(const table_update& update, config_table table);
    void add_waiting(const table_update& update);
    void drop_waiting_up_to(std::uint64_t version);

    names_known m_known;
    on_applied m_applied;
    table_view_ptr m_current;
    std::map<std::uint64_t, table_update> m_waiting;
    std::uint64_t m_greatest_seen = 0;
};

} // namespace tillerhall
