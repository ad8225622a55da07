/** @file Targets that leave or crash and start again, also under their id,
 * while nodes are killed, stopped and frozen and the store is down, with
 * reports that come late.
 *
 * Guards against calls to a target whose departure was acknowledged. */
#include "node_faults.hpp"
#include "open_loop.hpp"

#include <iostream>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::chrono::seconds span(14);
// Calls may reach a target so long after its acknowledgement.
constexpr std::chrono::seconds drain_limit(2);
constexpr milliseconds report_interval(300);

/** The id of a target and the time of its start. */
using target_start = std::pair<std::string, std::uint64_t>;

/** Targets that report, leave or crash, and start again. */
class departures
{
public:
    departures(mesh_system& system, random_source& random, time_point until)
        : m_system(system)
        , m_random(random)
        , m_until(until)
    {
        for (auto& each : system.hosts())
            system.on().spawn([this, &each] { play(each); });
    }

    /** @return when departures were acknowledged. */
    const std::map<target_start, time_point>& acknowledged() const
    {
        return m_acknowledged;
    }
    bool is_done() const { return m_done == m_system.hosts().size(); }

private:
    void play(mesh_host& host)
    {
        std::uint64_t sequence = 1'000;
        host.target->set_start_time_ms(first_start_ms);
        for (std::uint64_t start = 1; steady_clock::now() < m_until; ++start)
        {
            const auto leaves_at = steady_clock::now() +
                                   milliseconds(1'000 + m_random.below(4'000));
            while (steady_clock::now() < std::min(leaves_at, m_until))
            {
                report(host, ++sequence);
                sleep_for(m_system.on().io(), report_interval);
            }
            if (m_random.below(3) != 0)
                leave(host, ++sequence);
            host.target->crash();
            sleep_for(m_system.on().io(), milliseconds(m_random.below(700)));
            const auto id = host.target->id();
            host.target->restart(
                m_random.below(2) == 0 ? id : id + '-' + std::to_string(start));
            host.target->set_start_time_ms(first_start_ms + start * 1'000);
        }
        ++m_done;
    }

    /** Reports "ready"; every third report comes late. */
    void report(mesh_host& host, std::uint64_t sequence)
    {
        const milliseconds delay(m_random.below(3) == 0 ? m_random.below(9'000)
                                                        : 0);
        m_system.on().spawn(
            [this, &host, sequence, delay, start = start_of(host)]
            {
                sleep_for(m_system.on().io(), delay);
                host.target->report_late(host.at["operators"], start.first,
                                         start.second, sequence);
            });
    }

    /** Asks for an acknowledgement until it comes, and serves on for a while
     * without a report. */
    void leave(mesh_host& host, std::uint64_t sequence)
    {
        const auto ends_at =
            steady_clock::now() + milliseconds(3'000 + m_random.below(5'000));
        bool acknowledged = false;
        while (steady_clock::now() < ends_at)
        {
            acknowledged = acknowledged ||
                           host.target->report(host.at["operators"], "draining",
                                               sequence) == 200;
            if (acknowledged)
                m_acknowledged.emplace(start_of(host), steady_clock::now());
            sleep_for(m_system.on().io(), report_interval);
        }
    }

    static target_start start_of(const mesh_host& host)
    {
        return {host.target->id(), host.target->start_time_ms()};
    }

    static constexpr std::uint64_t first_start_ms = 1'000'000;

    mesh_system& m_system;
    random_source& m_random;
    time_point m_until;
    std::map<target_start, time_point> m_acknowledged;
    std::size_t m_done = 0;
};

/** Kills all nodes in an outage of the store. */
void lose_all(mesh_system& system, random_source& random, node_faults& faults)
{
    system.store().faults().down = true;
    sleep_for(system.on().io(), milliseconds(1'000 + random.below(2'000)));
    faults.kill_all();
    sleep_for(system.on().io(), milliseconds(random.below(1'500)));
    system.store().faults().down = false;
}

} // namespace

TEST_CASE("no call reaches a target whose departure was acknowledged")
{
    for_each_seed(
        2,
        [](worker& on, std::uint64_t seed)
        {
            mesh_system system(
                on, std::vector<std::string>(host_count(5), "perceel"));
            system.configure(1, {{"fields", "/fields/", "perceel"}}, "/health");
            system.start();
            random_source random(seed);
            const auto until = steady_clock::now() + span;
            node_faults faults(system, random);
            departures targets(system, random, until);
            open_loop load(system, {"c-", "/fields/x", 100, span});
            while (steady_clock::now() < until)
            {
                if (random.below(5) == 0)
                    lose_all(system, random, faults);
                else
                    faults.inject_random();
                sleep_for(on.io(), milliseconds(100 + random.below(900)));
            }
            REQUIRE(system.wait_until(
                [&] { return targets.is_done() && faults.active() == 0; }));
            const auto served = count_status(load.finish(), 200);
            int late = 0;
            for (const auto& host : system.hosts())
                for (const auto& each : host.target->arrivals())
                {
                    const auto left = targets.acknowledged().find(
                        {each.target_id, each.started_ms});
                    late += left != targets.acknowledged().end() &&
                                    each.at > left->second + drain_limit
                                ? 1
                                : 0;
                }
            std::cout << "seed " << seed << ": "
                      << targets.acknowledged().size() << " departures, "
                      << served << " calls served, " << late << " late"
                      << std::endl;
            INFO("seed " << seed);
            CHECK(late == 0);
            CHECK(served > 0);
        });
}
