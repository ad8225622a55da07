/**
 * @file Poison calls while nodes and the store fail.
 *
 * Guards against crash records that fail to reach all nodes when nodes are
 * killed, stopped or frozen and the store is unavailable.
 */
#include "crashing_system.hpp"

#include "tillerhall/core/random.hpp"

#include <cstdlib>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

/**
 * Sends a poison call to random nodes and injects overlapping faults drawn
 * from a seed: nodes are killed, stopped in a planned way or frozen, and the
 * store becomes unavailable.
 */
class faulty_mesh
{
public:
    faulty_mesh(crashing_system& system, std::uint64_t seed)
        : m_system(system)
        , m_random(seed)
        , m_disturbed(system.hosts().size())
    {
    }

    void run(duration span)
    {
        const auto until = steady_clock::now() + span;
        int open = 2;
        m_system.on().spawn([&] { send_poison_calls(until, open); });
        m_system.on().spawn([&] { send_target_reports(until, open); });
        while (steady_clock::now() < until)
        {
            inject_random_fault();
            sleep_for(m_system.on().io(),
                      milliseconds(200 + m_random.below(500)));
        }
        REQUIRE(
            m_system.wait_until([&] { return open + m_active_faults == 0; }));
    }

    /** @return the runs later than `propagation_limit` after the third one, at
     * hosts without a fault for as long. */
    long late_sends()
    {
        const auto all = m_system.send_times();
        if (all.size() < 3)
            return 0;
        const auto after = all[2] + propagation_limit;
        long later = 0;
        for (std::size_t i = 0; i < m_system.hosts().size(); ++i)
            for (const auto& run : m_system.hosts()[i].target->runs())
                if (run.path == poison_path && run.begun > after &&
                    !was_disturbed(i, run.begun))
                    ++later;
        return later;
    }

private:
    bool was_disturbed(std::size_t host, time_point at) const
    {
        return std::ranges::any_of(m_disturbed[host],
                                   [&](const auto& each) {
                                       return at >= each.first &&
                                              at <= each.second +
                                                        propagation_limit;
                                   });
    }

    void send_poison_calls(time_point until, int& open)
    {
        while (steady_clock::now() < until)
        {
            auto& at =
                m_system.hosts()[m_random.below(m_system.hosts().size())];
            const auto id = m_system.next_id();
            m_system.on().spawn([this, &at, id]
                                { m_system.call(at, id, poison_path); });
            sleep_for(m_system.on().io(),
                      milliseconds(30 + m_random.below(60)));
        }
        --open;
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

    void inject_random_fault()
    {
        const auto index = m_random.below(m_system.hosts().size());
        if (m_busy.contains(index))
            return;
        m_busy.insert(index);
        ++m_active_faults;
        const auto kind = m_random.below(4);
        m_system.on().spawn(
            [this, index, kind]
            {
                const auto begin = steady_clock::now();
                inject_fault(index, kind);
                if (kind != 3)
                    m_disturbed[index].emplace_back(begin, steady_clock::now());
                m_busy.erase(index);
                --m_active_faults;
            });
    }

    void inject_fault(std::size_t index, std::uint64_t kind)
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
            ::kill(host.node.pid(), SIGSTOP);
            sleep_for(io, pause);
            ::kill(host.node.pid(), SIGCONT);
        }
        else
        {
            m_system.store().faults().down = true;
            sleep_for(io, pause);
            m_system.store().faults().down = false;
        }
    }

    crashing_system& m_system;
    random_source m_random;
    std::vector<std::vector<std::pair<time_point, time_point>>> m_disturbed;
    std::set<std::size_t> m_busy;
    int m_active_faults = 0;
};

} // namespace

TEST_CASE("late runs of a poison call stay bounded under node and store faults")
{
    // Longer runs: TILLERHALL_SEEDS=50, first seed in TILLERHALL_SEED.
    const auto number = [](const char* name, std::uint64_t otherwise)
    {
        const char* given = std::getenv(name);
        return given == nullptr ? otherwise : std::stoull(given);
    };
    const auto first = number("TILLERHALL_SEED", 1);
    const auto seeds = number("TILLERHALL_SEEDS", 3);
    for (auto seed = first; seed < first + seeds; ++seed)
        on_worker(
            [&](worker& on)
            {
                crashing_system system(on);
                faulty_mesh faults(system, seed);
                faults.run(std::chrono::seconds(10));
                INFO("seed " << seed << ", ended " << system.crash_count()
                             << ", sends " << system.send_times().size());
                CHECK(faults.late_sends() <= max_late_sends);
            });
}
