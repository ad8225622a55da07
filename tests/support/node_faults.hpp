/** @file Faults of nodes and of the store, drawn from a seed. */
#pragma once

#include "mesh_system.hpp"

#include "tillerhall/core/random.hpp"

#include <array>
#include <cstdlib>
#include <functional>

namespace tillerhall::harness
{

/**
 * Kills, stops or freezes nodes and makes the store unavailable; faults of
 * different hosts overlap.
 */
class node_faults
{
public:
    /** @param random also drawn from by others */
    node_faults(mesh_system& system, random_source& random)
        : m_system(system)
        , m_random(random)
        , m_disturbed(system.hosts().size())
        , m_started(system.hosts().size())
    {
    }

    /** Starts a fault of a random host, unless it has one. */
    void inject_random()
    {
        const auto index = m_random.below(m_system.hosts().size());
        if (m_busy.contains(index))
            return;
        m_busy.insert(index);
        ++m_active;
        const auto kind = m_random.below(4);
        m_system.on().spawn(
            [this, index, kind]
            {
                const auto begin = steady_clock::now();
                inject(index, kind);
                auto& disturbed =
                    kind == 3 ? m_disturbed_all : m_disturbed[index];
                disturbed.emplace_back(begin, steady_clock::now());
                if (kind < 2)
                    m_started[index].push_back(steady_clock::now());
                m_busy.erase(index);
                --m_active;
            });
    }

    /** Starts a fault of the links of a random host, unless it has a fault.
     * `link_stores`, `link_rpc` and `link_peers` must have been called. */
    void inject_link_fault()
    {
        const auto index = m_random.below(m_system.hosts().size());
        if (!m_busy.insert(index).second)
            return;
        ++m_active;
        const auto action =
            link_actions[m_random.below(std::size(link_actions))];
        const milliseconds span(300 + m_random.below(4'000));
        m_system.on().spawn(
            [this, index, action, span]
            {
                const auto begin = steady_clock::now();
                (this->*action)(m_system.hosts()[index], span);
                m_disturbed[index].emplace_back(begin, steady_clock::now());
                m_busy.erase(index);
                --m_active;
            });
    }

    /** Makes all open connections of nodes to the store and to each other
     * silent. */
    void silence_connections()
    {
        for (auto& each : m_system.hosts())
            for (auto* link : {each.store_link, each.rpc_link, each.peer_link})
                link->silence_open();
        m_disturbed_all.emplace_back(steady_clock::now(), steady_clock::now());
    }

    /** The store answers late, or not at all, for @p span. */
    void disturb_store(duration span)
    {
        ++m_active;
        auto& faults = m_system.store().faults();
        const bool is_slow = m_random.below(2) == 0;
        faults.answer_delay =
            milliseconds(is_slow ? 50 + m_random.below(400) : to_ms(span));
        m_system.on().spawn(
            [this, span, &faults]
            {
                const auto begin = steady_clock::now();
                sleep_for(m_system.on().io(), span);
                faults.answer_delay = milliseconds::zero();
                m_disturbed_all.emplace_back(begin, steady_clock::now());
                --m_active;
            });
    }

    /** Freezes all nodes of @p domain that have no fault: they answer nobody,
     * as if the domain were disconnected. */
    void freeze_domain(const std::string& domain, duration span)
    {
        for (std::size_t i = 0; i < m_system.hosts().size(); ++i)
            if (m_system.hosts()[i].domain == domain && m_busy.insert(i).second)
            {
                ++m_active;
                m_system.on().spawn(
                    [this, i, span]
                    {
                        const auto begin = steady_clock::now();
                        freeze(m_system.hosts()[i], span);
                        m_disturbed[i].emplace_back(begin, steady_clock::now());
                        m_busy.erase(i);
                        --m_active;
                    });
            }
    }

    /** Kills all nodes that have no fault and starts them again. */
    void kill_all()
    {
        std::vector<std::size_t> killed;
        for (std::size_t i = 0; i < m_system.hosts().size(); ++i)
            if (m_busy.insert(i).second)
                killed.push_back(i);
        const auto begin = steady_clock::now();
        for (const auto i : killed)
            m_system.hosts()[i].node.kill();
        for (const auto i : killed)
        {
            m_system.start_node(m_system.hosts()[i]);
            m_disturbed[i].emplace_back(begin, steady_clock::now());
            m_busy.erase(i);
        }
    }

    /** Targets report repeatedly, so that a restarted node learns of them. */
    void send_target_reports(time_point until, int& open)
    {
        while (steady_clock::now() < until)
        {
            for (auto& each : m_system.hosts())
                each.target->report(each.at["operators"], "ready");
            sleep_for(m_system.on().io(), milliseconds(300));
        }
        --open;
    }

    /** @return the number of faults under way. */
    int active() const noexcept { return m_active; }

    /** @return whether @p host has a fault that was drawn for it. */
    bool is_faulty(std::size_t host) const { return m_busy.contains(host); }

    /** @return whether @p host had a fault between @p begin and @p end. */
    bool was_disturbed(std::size_t host, time_point begin, time_point end) const
    {
        return std::ranges::any_of(
            m_disturbed[host], [&](const auto& each)
            { return end >= each.first && begin <= each.second; });
    }

    /** @return whether neither @p host nor all of them had a fault in the
     * @p contact before @p at. */
    bool in_touch(std::size_t host, time_point at, duration contact) const
    {
        const auto overlaps = [&](const auto& each)
        { return at >= each.first && at - contact <= each.second; };
        return std::ranges::none_of(m_disturbed[host], overlaps) &&
               std::ranges::none_of(m_disturbed_all, overlaps);
    }

    /** @return whether @p host was started between @p begin and @p end. */
    bool was_started(std::size_t host, time_point begin, time_point end) const
    {
        return std::ranges::any_of(m_started[host], [&](time_point each)
                                   { return begin <= each && each <= end; });
    }

private:
    using link_action = void (node_faults::*)(mesh_host&, duration);

    void hold_both_ways(paced_link& link, duration span)
    {
        link.set_held(link_direction::to_server, true);
        link.set_held(link_direction::to_client, true);
        sleep_for(m_system.on().io(), span);
        link.set_held(link_direction::to_server, false);
        link.set_held(link_direction::to_client, false);
    }

    void cut_store(mesh_host& host, duration span)
    {
        hold_both_ways(*host.store_link, span);
    }

    void cut_store_one_way(mesh_host& host, duration span)
    {
        const auto way = m_random.below(2) == 0 ? link_direction::to_server
                                                : link_direction::to_client;
        host.store_link->set_held(way, true);
        sleep_for(m_system.on().io(), span);
        host.store_link->set_held(way, false);
    }

    void silence_store(mesh_host& host, duration /*span*/)
    {
        host.store_link->silence_open();
    }

    void cut_peers(mesh_host& host, duration span)
    {
        run_parallel({[&] { hold_both_ways(*host.rpc_link, span); },
                      [&] { hold_both_ways(*host.peer_link, span); }});
    }

    void silence_peers(mesh_host& host, duration /*span*/)
    {
        host.rpc_link->silence_open();
        host.peer_link->silence_open();
    }

    /** The node gets a fifth of the time. */
    void slow_down(mesh_host& host, duration span)
    {
        const auto until = steady_clock::now() + span;
        while (steady_clock::now() < until)
        {
            freeze(host, milliseconds(80));
            sleep_for(m_system.on().io(), milliseconds(20));
        }
    }

    static constexpr std::array<link_action, 6> link_actions{
        &node_faults::cut_store,     &node_faults::cut_store_one_way,
        &node_faults::silence_store, &node_faults::cut_peers,
        &node_faults::silence_peers, &node_faults::slow_down};

    void freeze(mesh_host& host, duration span)
    {
        ::kill(host.node.pid(), SIGSTOP);
        sleep_for(m_system.on().io(), span);
        ::kill(host.node.pid(), SIGCONT);
    }

    void inject(std::size_t index, std::uint64_t kind)
    {
        auto& host = m_system.hosts()[index];
        const milliseconds pause(300 + m_random.below(1200));
        auto& io = m_system.on().io();
        if (kind == 0)
        {
            host.node.kill();
            m_system.start_node(host);
        }
        else if (kind == 1)
        {
            ::kill(host.node.pid(), SIGTERM);
            m_system.wait_until([&] { return !host.node.is_running(); });
            m_system.start_node(host);
        }
        else if (kind == 2)
        {
            freeze(host, pause);
        }
        else
        {
            m_system.store().faults().down = true;
            sleep_for(io, pause);
            m_system.store().faults().down = false;
        }
    }

    mesh_system& m_system;
    random_source& m_random;
    std::vector<std::vector<std::pair<time_point, time_point>>> m_disturbed;
    std::vector<std::pair<time_point, time_point>> m_disturbed_all;
    std::vector<std::vector<time_point>> m_started;
    std::set<std::size_t> m_busy;
    int m_active = 0;
};

/** @return the hosts of a run; TILLERHALL_HOSTS sets another number. */
inline std::size_t host_count(std::size_t otherwise)
{
    const char* given = std::getenv("TILLERHALL_HOSTS");
    return given == nullptr ? otherwise : std::stoul(given);
}

/** Runs @p body on a worker for each of @p count seeds. The environment sets
 * longer runs: TILLERHALL_SEEDS=50, first seed in TILLERHALL_SEED. */
inline void
for_each_seed(std::uint64_t count,
              const std::function<void(worker&, std::uint64_t)>& body)
{
    const auto number = [](const char* name, std::uint64_t otherwise)
    {
        const char* given = std::getenv(name);
        return given == nullptr ? otherwise : std::stoull(given);
    };
    const auto first = number("TILLERHALL_SEED", 1);
    const auto seeds = number("TILLERHALL_SEEDS", count);
    for (auto seed = first; seed < first + seeds; ++seed)
        on_worker([&](worker& on) { body(on, seed); });
}

} // namespace tillerhall::harness
