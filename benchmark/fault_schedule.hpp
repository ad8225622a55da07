/** @file A random schedule of faults over a running system. */
#pragma once

#include "harness/cluster.hpp"

#include "tillerhall/core/random.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall::bench
{

/** Injects random faults, which may overlap, and heals them. */
class fault_schedule
{
public:
    fault_schedule(harness::cluster& system, std::uint64_t seed)
        : m_system(system)
        , m_random(seed)
    {
    }

    /** Injects one random fault, or heals all. */
    void step();

    /** Removes all injected faults and restarts killed nodes. */
    void heal_all();

    std::int64_t injected() const noexcept { return m_injected; }

private:
    using action = void (fault_schedule::*)();

    struct fault_kind
    {
        std::string_view name;
        action inject;
    };

    static std::span<const fault_kind> fault_kinds();

    void kill_some();
    void pause_one();
    void cut_domain();
    void cut_one_way();
    void slow_links();
    void source_down();
    void source_slow();
    void source_loses_answers();
    void source_fails_writes();
    void send_corrupt_update();
    void replay_old_version();
    void drain_target();
    std::size_t random_node();
    void push(std::size_t node, const boost::json::object& params);

    harness::cluster& m_system;
    random_source m_random;
    std::vector<std::size_t> m_killed;
    std::vector<std::size_t> m_paused;
    std::vector<std::size_t> m_drained;
    std::int64_t m_injected = 0;
};

} // namespace tillerhall::bench
