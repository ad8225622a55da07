/** @file Targets that reject, repeat, lose and garble responses, beside faults
 * of nodes, of the links between them and of the store.
 *
 * Guards against calls that run although they were refused, against unsafe
 * calls that run twice, and against answers that belong to another request. */
#include "node_faults.hpp"
#include "pipelining_clients.hpp"

#include <array>
#include <iostream>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::chrono::seconds span(12);
// Calls that were refused may not run later, either.
constexpr std::chrono::seconds settle_time(2);
constexpr std::uint64_t max_work_ms = 60;
constexpr std::size_t max_upload = 120'000;
constexpr std::size_t clients_per_host = 5;

/** @return the routes; that of bids leads to @p service. */
std::vector<mesh_route> routes_with(const std::string& service)
{
    return {{"fields", "/fields/", "perceel"},
            {"sales", "/sales/", "beurs", "unsafe"},
            {"bids", "/bids/", service, "unsafe"},
            {"prices", "/prices/", "beurs"},
            {"photos", "/photos/", "schuur", "upload"},
            {"stock", "/stock/", "schuur"}};
}

/** Two hosts in four are of the service with unsafe calls. */
std::vector<std::string> services_of(std::size_t hosts)
{
    constexpr std::array<const char*, 4> names{"beurs", "perceel", "beurs",
                                               "schuur"};
    std::vector<std::string> made;
    for (std::size_t i = 0; i < hosts; ++i)
        made.emplace_back(names[i % names.size()]);
    return made;
}

/** Changes of targets and settings drawn from a seed. */
class disturbances
{
public:
    disturbances(mesh_system& system, random_source& random, time_point until)
        : m_system(system)
        , m_random(random)
        , m_until(until)
    {
        for (auto& each : system.hosts())
        {
            auto& target = *each.target;
            target.set_slots(12);
            target.faults().reports_load = true;
            target.faults().on_run = [this, &each](const std::string& id)
            { return make_nested_call(each, id); };
            system.on().spawn([this, &each] { report(each); });
        }
    }

    void inject_random()
    {
        auto& host = m_system.hosts()[m_random.below(m_system.hosts().size())];
        constexpr std::array actions{
            &disturbances::reject,      &disturbances::reject,
            &disturbances::copy,        &disturbances::copy,
            &disturbances::lose,        &disturbances::garble,
            &disturbances::fail,        &disturbances::restart_target,
            &disturbances::slow_down,   &disturbances::limit_rate,
            &disturbances::cut_one_way, &disturbances::reload,
            &disturbances::reconfigure};
        (this->*actions[m_random.below(actions.size())])(host);
    }

    /** Ends all faults of targets. */
    void heal()
    {
        for (auto& each : m_system.hosts())
        {
            auto& faults = each.target->faults();
            faults.shed_share = faults.copy_share = faults.failing = 0;
            faults.unanswered = 0;
        }
    }

    bool is_done() const { return m_done == m_system.hosts().size(); }

private:
    void report(mesh_host& host)
    {
        while (steady_clock::now() < m_until)
        {
            host.target->report(host.at["operators"], "ready");
            sleep_for(m_system.on().io(), milliseconds(300));
        }
        ++m_done;
    }

    /** Runs of sales and photos make a safe call of their own now and then. */
    bool make_nested_call(mesh_host& host, const std::string& id)
    {
        if (host.service == "perceel" || id.find('.') != std::string::npos ||
            m_random.below(3) != 0)
            return true;
        const auto* path = host.service == "beurs" ? "/stock/x" : "/prices/x";
        const auto nested = id + '.' + std::to_string(++m_nested);
        return m_system.call(host, nested, path, {}, 400).status == 200;
    }

    void reject(mesh_host& host)
    {
        constexpr std::array shares{0.0, 0.2, 0.55, 0.9, 0.97};
        auto& faults = host.target->faults();
        faults.shed_share = shares[m_random.below(shares.size())];
        faults.sheds_early = m_random.below(3) == 0;
    }

    void copy(mesh_host& host)
    {
        constexpr std::array shares{0.0, 0.03, 0.3, 0.5};
        host.target->faults().copy_share =
            shares[m_random.below(shares.size())];
    }

    void lose(mesh_host& host)
    {
        auto& faults = host.target->faults();
        faults.reset_answers = static_cast<unsigned>(m_random.below(4));
        faults.unanswered = static_cast<unsigned>(m_random.below(2));
    }

    void garble(mesh_host& host)
    {
        auto& faults = host.target->faults();
        faults.duplicate_answers = static_cast<unsigned>(m_random.below(4));
        faults.truncated_answers = static_cast<unsigned>(m_random.below(3));
        faults.unsealed_answers = static_cast<unsigned>(m_random.below(3));
    }

    void fail(mesh_host& host)
    {
        host.target->faults().failing = m_random.below(2) == 0 ? 0.3 : 0;
    }

    void slow_down(mesh_host& host)
    {
        host.target->faults().work = milliseconds(m_random.below(max_work_ms));
    }

    void limit_rate(mesh_host& host)
    {
        host.target->faults().rate_limit = m_random.below(3) == 0 ? "20" : "";
    }

    /** Other nodes reach this one, or get answers from it, with a delay. */
    void cut_one_way(mesh_host& host)
    {
        const auto way = m_random.below(2) == 0 ? link_direction::to_server
                                                : link_direction::to_client;
        host.peer_link->set_held(way, true);
        m_system.on().spawn(
            [this, &host, way]
            {
                sleep_for(m_system.on().io(),
                          milliseconds(50 + m_random.below(1'500)));
                host.peer_link->set_held(way, false);
            });
    }

    /** The target crashes and starts again under its id. */
    void restart_target(mesh_host& host)
    {
        if (host.target->has_crashed())
            return;
        host.target->crash();
        m_system.on().spawn(
            [this, &host]
            {
                sleep_for(m_system.on().io(),
                          milliseconds(m_random.below(900)));
                host.target->set_start_time_ms(wall_clock_ms());
                host.target->restart(host.target->id());
            });
    }

    void reload(mesh_host& host)
    {
        if (host.node.is_running())
            host.node.send(SIGHUP);
    }

    void reconfigure(mesh_host& /*host*/)
    {
        const auto* service = m_random.below(2) == 0 ? "beurs" : "schuur";
        m_system.configure(++m_version, routes_with(service), "/health");
    }

    mesh_system& m_system;
    random_source& m_random;
    time_point m_until;
    std::size_t m_done = 0;
    std::uint64_t m_nested = 0;
    int m_version = 1;
};

/** What clients and targets saw. */
struct outcome
{
    int served = 0;
    int refused = 0;
    int unknown = 0;
    std::vector<std::string> refused_and_ran;
    std::vector<std::string> ran_twice;
    std::vector<std::string> foreign_answers;
};

outcome outcome_of(mesh_system& system, const pipelining_clients& clients)
{
    std::map<std::string, int> runs;
    for (const auto& host : system.hosts())
        for (const auto& each : host.target->runs())
            ++runs[each.id];
    constexpr std::array promises{408U, 421U, 429U, 503U};
    outcome made;
    for (const auto& each : clients.requests())
    {
        const int ran = runs.contains(each.id) ? runs[each.id] : 0;
        const bool is_refused =
            std::ranges::find(promises, each.status) != promises.end();
        ++(each.status == 200 ? made.served
           : is_refused       ? made.refused
                              : made.unknown);
        if (each.status == 200 && (ran == 0 || !each.is_own_answer))
            made.foreign_answers.push_back(each.id);
        if (each.is_unsafe && ran > 1)
            made.ran_twice.push_back(each.id);
        if (each.is_unsafe && is_refused && ran > 0)
            made.refused_and_ran.push_back(each.id);
    }
    return made;
}

/** Plays clients, targets and faults drawn from @p seed until all has settled.
 */
outcome play(worker& on, std::uint64_t seed)
{
    mesh_system system(on, services_of(host_count(8)));
    system.configure(1, routes_with("beurs"), "/health");
    system.link_peers();
    system.start();
    random_source random(seed);
    const auto until = steady_clock::now() + span;
    node_faults faults(system, random);
    disturbances targets(system, random, until);
    pipelining_clients clients(system, random,
                               {.routes = {{"/sales/x", true, 2'000},
                                           {"/bids/x", true},
                                           {"/photos/x", true, max_upload},
                                           {"/fields/x"}},
                                .max_pipelined = 1,
                                .heeds_retry_after = true,
                                .leave_one_in = 40});
    clients.start(static_cast<int>(clients_per_host * system.hosts().size()),
                  until);
    while (steady_clock::now() < until)
    {
        if (random.below(8) == 0)
            faults.inject_random();
        else
            targets.inject_random();
        sleep_for(on.io(), milliseconds(random.below(200)));
    }
    REQUIRE(system.wait_until(
        [&] {
            return clients.open() == 0 && targets.is_done() &&
                   faults.active() == 0;
        }));
    targets.heal();
    sleep_for(on.io(), settle_time);
    return outcome_of(system, clients);
}

} // namespace

TEST_CASE("refused calls did not run and unsafe ones run once")
{
    for_each_seed(2,
                  [](worker& on, std::uint64_t seed)
                  {
                      const auto seen = play(on, seed);
                      std::cout << "seed " << seed << ": " << seen.served
                                << " served, " << seen.refused << " refused, "
                                << seen.unknown << " other, "
                                << seen.refused_and_ran.size()
                                << " refused and ran, " << seen.ran_twice.size()
                                << " ran twice, " << seen.foreign_answers.size()
                                << " foreign" << std::endl;
                      INFO("seed " << seed);
                      CHECK(seen.refused_and_ran == std::vector<std::string>());
                      CHECK(seen.ran_twice == std::vector<std::string>());
                      CHECK(seen.foreign_answers == std::vector<std::string>());
                      CHECK(seen.served > 0);
                  });
}
