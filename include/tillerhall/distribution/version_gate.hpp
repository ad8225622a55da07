/** @file Decides whether a version that arrives may replace the current one. */
#pragma once

#include "tillerhall/distribution/table_update.hpp"
#include "tillerhall/distribution/table_view.hpp"

#include <functional>
#include <map>
#include <string_view>

namespace tillerhall
{

/** What the gate did with an update. */
enum class gate_decision
{
    applied,        ///< the current view is now a newer one
    old,            ///< not newer than the current version; dropped
    missing_parent, ///< held until the versions before it come
    waiting_names,  ///< held until its services and places are known
    corrupt,        ///< the result does not match the digest; dropped
    too_far         ///< no room to hold it; dropped, to be pulled later
};

std::string_view name_of(gate_decision decision) noexcept;

/**
 * The only way to a newer table on a node. The invariants, whatever arrives
 * in whatever order: the version never goes down; the table is always one
 * whole version whose digest was checked; every service and place it names
 * was known when it was taken. Pure.
 */
class version_gate
{
public:
    static constexpr std::size_t most_held = 32;

    /** @return whether every service and place of a table is known. */
    using names_known = std::function<bool(const config_table&)>;

    /** Called after each swap with the view before and the new one. */
    using on_applied =
        std::function<void(const table_view& before, const table_view& after)>;

    explicit version_gate(names_known known, on_applied applied = {});

    /** Offers an update that arrived; later held ones may follow it. */
    gate_decision offer(const table_update& update);

    /** Tries the held ones again, after members became known. */
    bool retry_held();

    /** @return the current view, version 0 at first; never null. */
    const table_view_ptr& current() const noexcept { return m_current; }

    /** @return the greatest version seen in an update, held ones included. */
    std::uint64_t greatest_seen() const noexcept { return m_greatest_seen; }

    /** Takes note that @p version exists, without its contents. */
    void saw(std::uint64_t version) noexcept;

    std::size_t held() const noexcept { return m_held.size(); }

private:
    gate_decision decide(const table_update& update);
    gate_decision take(const table_update& update, config_table table);
    void hold(const table_update& update);
    void drop_held_up_to(std::uint64_t version);

    names_known m_known;
    on_applied m_applied;
    table_view_ptr m_current;
    std::map<std::uint64_t, table_update> m_held;
    std::uint64_t m_greatest_seen = 0;
};

} // namespace tillerhall
