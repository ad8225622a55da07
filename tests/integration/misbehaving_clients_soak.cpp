/**
 * @file Clients that stop in the middle, beside faults, reloads and
 * configurations in series that overlap.
 *
 * Guards against nodes that end, exceed their memory or answer nobody
 * afterwards, and against refusals of requests that ran.
 */
#include "crowd_parts.hpp"
#include "node_faults.hpp"
#include "pipelining_clients.hpp"

#include <iostream>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::chrono::seconds span(8);
constexpr std::size_t max_body = 60'000;
constexpr std::uint64_t max_stay_ms = 3'000;
constexpr std::uint64_t max_pause_ms = 700;

const std::array parts{crowd_part{&send_trailers, 2},
                       crowd_part{&send_chunk_extension, 2},
                       crowd_part{&stay_idle, 300},
                       crowd_part{&send_partial_heads, 400},
                       crowd_part{&send_partial_small_bodies, 300},
                       crowd_part{&send_partial_large_bodies, 4},
                       crowd_part{&request_large_answers, 6}};

/** Crowds that come and go, faults, reloads and configurations, drawn from a
 * seed. */
class crowded_soak
{
public:
    crowded_soak(crowded_system& system, random_source& random)
        : m_system(system)
        , m_random(random)
        , m_faults(system, random)
    {
    }

    void run(time_point until)
    {
        // A crowd at a time for each host.
        std::vector loops(m_system.hosts().size(), &crowded_soak::send_crowds);
        loops.push_back(&crowded_soak::watch_nodes);
        loops.push_back(&crowded_soak::inject_changes);
        m_open = static_cast<int>(loops.size()) + 1;
        for (const auto loop : loops)
            m_system.on().spawn(
                [this, loop, until]
                {
                    (this->*loop)(until);
                    --m_open;
                });
        m_system.on().spawn([this, until]
                            { m_faults.send_target_reports(until, m_open); });
        REQUIRE(m_system.wait_until(
            [&] { return m_open == 0 && m_faults.active() == 0; },
            std::chrono::minutes(2)));
        // A node that was started last may have missed the periodic reports.
        for (auto& each : m_system.hosts())
        {
            REQUIRE(
                m_system.wait_until([&] { return m_system.is_ready(each); }));
            REQUIRE(each.target->report(each.at["operators"], "ready") == 200);
        }
    }

    std::string text() const
    {
        return std::to_string(m_crowds) + " crowds, " +
               std::to_string(m_changes) + " faults and changes, " +
               std::to_string(m_most_mb) + " MB at most";
    }

    double most_mb() const noexcept { return m_most_mb; }
    /** @return the times at which a node without a fault did not run. */
    int ended() const noexcept { return m_ended; }

private:
    mesh_host& draw_host()
    {
        return m_system.hosts()[m_random.below(m_system.hosts().size())];
    }

    void send_crowds(time_point until)
    {
        while (steady_clock::now() < until)
        {
            const auto& part = parts[m_random.below(parts.size())];
            const auto clients = std::make_shared<crowd>(
                m_system.on(), draw_host().at["caller"]);
            const auto reading = keep_reading(m_system.on(), clients);
            const auto most = static_cast<std::uint64_t>(part.count);
            part.join(*clients, static_cast<int>(1 + m_random.below(most)));
            ++m_crowds;
            sleep_for(m_system.on().io(),
                      milliseconds(m_random.below(max_stay_ms)));
        }
    }

    void inject_changes(time_point until)
    {
        int version = 1;
        while (steady_clock::now() < until)
        {
            ++m_changes;
            auto& node = draw_host().node;
            const auto kind = m_random.below(4);
            if (kind == 0 && node.is_running())
                node.send(SIGHUP);
            else if (kind == 1)
                m_system.configure(++version);
            else
                m_faults.inject_random();
            sleep_for(m_system.on().io(),
                      milliseconds(m_random.below(max_pause_ms)));
        }
    }

    void watch_nodes(time_point until)
    {
        while (steady_clock::now() < until)
        {
            for (std::size_t i = 0; i < m_system.hosts().size(); ++i)
            {
                auto& node = m_system.hosts()[i].node;
                if (m_faults.is_faulty(i))
                    continue;
                if (node.is_running())
                    m_most_mb = std::max(m_most_mb, most_memory_mb(node.pid()));
                else
                    ++m_ended;
            }
            sleep_for(m_system.on().io(), milliseconds(50));
        }
    }

    crowded_system& m_system;
    random_source& m_random;
    node_faults m_faults;
    int m_open = 0;
    int m_crowds = 0;
    int m_changes = 0;
    int m_ended = 0;
    double m_most_mb = 0;
};

/** @return the requests whose answers are not true. */
std::vector<std::string> wrong_answers(const mesh_system& system,
                                       const pipelining_clients& clients)
{
    std::vector<std::string> wrong;
    for (const auto& each : clients.requests())
    {
        const int runs = system.runs_of(each.id);
        const bool is_wrong = (each.is_unsafe && runs > 1) ||
                              (each.status == 503 && runs > 0) ||
                              (each.status == 200 && runs == 0);
        if (is_wrong)
            wrong.push_back(each.id + " status " + std::to_string(each.status) +
                            " runs " + std::to_string(runs) + " at host " +
                            std::to_string(each.entry));
    }
    return wrong;
}

} // namespace

TEST_CASE("clients that stop leave room for others beside faults and changes")
{
    for_each_seed(
        2,
        [](worker& on, std::uint64_t seed)
        {
            INFO("seed " << seed);
            crowded_system system(on, memory_limit_mb, host_count(4) / 4);
            random_source random(seed);
            pipelining_clients clients(
                system, random,
                {.routes = {{"/fields/x"},
                            {"/sales/x", true},
                            {"/photos/x", false, max_body}}});
            const auto until = steady_clock::now() + span;
            clients.start(static_cast<int>(host_count(4)), until);
            crowded_soak soak(system, random);
            soak.run(until);
            REQUIRE(system.wait_until([&] { return clients.open() == 0; }));
            std::cout << "seed " << seed << ": " << soak.text() << ", "
                      << clients.requests().size() << " requests" << std::endl;
            CHECK(soak.ended() == 0);
            CHECK(soak.most_mb() < memory_limit_mb);
            CHECK(wrong_answers(system, clients) == std::vector<std::string>());
            system.wait_until_served();
            system.check_serves();
        });
}
