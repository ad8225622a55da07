/**
 * @file Poison calls while nodes and the store fail.
 *
 * Guards against crash records that fail to reach all nodes when nodes are
 * killed, stopped or frozen and the store is unavailable.
 */
#include "crashing_system.hpp"
#include "node_faults.hpp"

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
        , m_faults(system, m_random)
    {
    }

    void run(duration span)
    {
        const auto until = steady_clock::now() + span;
        int open = 2;
        m_system.on().spawn([&] { send_poison_calls(until, open); });
        m_system.on().spawn([&] { m_faults.send_target_reports(until, open); });
        while (steady_clock::now() < until)
        {
            m_faults.inject_random();
            sleep_for(m_system.on().io(),
                      milliseconds(200 + m_random.below(500)));
        }
        REQUIRE(
            m_system.wait_until([&] { return open + m_faults.active() == 0; }));
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
                    !m_faults.was_disturbed(i, run.begun - propagation_limit,
                                            run.begun))
                    ++later;
        return later;
    }

private:
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

    crashing_system& m_system;
    random_source m_random;
    node_faults m_faults;
};

} // namespace

TEST_CASE("late runs of a poison call stay bounded under node and store faults")
{
    for_each_seed(3,
                  [](worker& on, std::uint64_t seed)
                  {
                      crashing_system system(on);
                      faulty_mesh faults(system, seed);
                      faults.run(std::chrono::seconds(10));
                      INFO("seed " << seed << ", ended " << system.crash_count()
                                   << ", sends " << system.send_times().size());
                      CHECK(faults.late_sends() <= max_late_sends);
                  });
}
