/**
 * @file Planned stops, reloads and configurations in series that overlap.
 *
 * Guards against requests that end without an answer, or with an error, on the
 * kept connections of clients that use them until the process is gone.
 */
#include "node_faults.hpp"
#include "pipelining_clients.hpp"

#include <array>
#include <iostream>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::chrono::seconds span(12);
// Together shorter than the time in which a stopping node finishes calls.
constexpr milliseconds max_work(400);
constexpr std::size_t max_body = 200'000;
// Answers of some targets are under way for as long as others run.
constexpr double link_bytes_per_s = 3'000'000;
// Longer than the head of a request may take to arrive.
constexpr milliseconds stall(3'300);
// A node that waits for its clients exits no earlier after its signal; it is
// killed after 4 s.
constexpr milliseconds full_grace(3'800);

/** Signals and changes drawn from a seed; those of different hosts overlap. */
class planned_work
{
public:
    planned_work(mesh_system& system, random_source& random)
        : m_system(system)
        , m_random(random)
        , m_is_stopping(system.hosts().size())
    {
    }

    void run(time_point until)
    {
        while (steady_clock::now() < until)
        {
            const auto index = m_random.below(m_system.hosts().size());
            constexpr std::array actions{
                &planned_work::stop, &planned_work::stop, &planned_work::reload,
                &planned_work::reconfigure, &planned_work::change_target};
            (this->*actions[m_random.below(actions.size())])(index);
            sleep_for(m_system.on().io(), milliseconds(m_random.below(700)));
        }
        REQUIRE(m_system.wait_until([&] { return m_stopping == 0; }));
    }

    int stops() const noexcept { return m_stops; }

    /** @return whether the process of @p host used its whole grace period and
     * exited between @p begin and @p end. */
    bool
    used_grace_between(std::size_t host, time_point begin, time_point end) const
    {
        return std::ranges::any_of(m_ended,
                                   [&](const ended_stop& each)
                                   {
                                       return each.host == host &&
                                              begin <= each.exited &&
                                              each.exited <= end &&
                                              each.exited - each.signal >=
                                                  full_grace;
                                   });
    }

private:
    struct ended_stop
    {
        std::size_t host = 0;
        time_point signal{};
        time_point exited{};
    };

    void stop(std::size_t index)
    {
        // Its services must keep a target: another half of the hosts stays.
        if (m_is_stopping[index] ||
            2 * (m_stopping + 1) > std::ssize(m_is_stopping))
            return;
        m_is_stopping[index] = true;
        ++m_stopping;
        ++m_stops;
        m_system.on().spawn(
            [this, index]
            {
                auto& host = m_system.hosts()[index];
                const auto signal = steady_clock::now();
                host.node.send(SIGTERM);
                m_system.wait_until([&] { return !host.node.is_running(); });
                m_ended.push_back({index, signal, steady_clock::now()});
                CHECK(host.node.wait() == 0);
                m_system.start_node(host);
                m_system.wait_until([&] { return m_system.is_ready(host); });
                host.target->report(host.at["operators"], "ready");
                m_is_stopping[index] = false;
                --m_stopping;
            });
    }

    void reload(std::size_t index)
    {
        auto& node = m_system.hosts()[index].node;
        if (node.is_running())
            node.send(SIGHUP);
    }

    void reconfigure(std::size_t /*index*/)
    {
        m_system.configure(
            ++m_version,
            {{"fields", "/fields/", "perceel"},
             {"sales", "/sales/", "perceel", "unsafe"},
             {"v" + std::to_string(m_version), "/new/", "perceel"}},
            "/health");
    }

    void change_target(std::size_t index)
    {
        auto& faults = m_system.hosts()[index].target->faults();
        faults.work = milliseconds(10 + m_random.below(max_work.count()));
        faults.body_bytes = m_random.below(max_body);
    }

    mesh_system& m_system;
    random_source& m_random;
    std::vector<bool> m_is_stopping;
    int m_stopping = 0;
    int m_stops = 0;
    int m_version = 1;
    std::vector<ended_stop> m_ended;
};

/** Requests by how they ended. */
struct endings
{
    int answered = 0;
    int refused = 0;
    int crossed = 0; ///< not answered, and reached no target
    /** The client read nothing until after the process had to be gone. */
    int unread = 0;
    std::vector<std::string> lost;
};

endings endings_of(const mesh_system& system,
                   const pipelining_clients& clients,
                   const planned_work& work)
{
    endings made;
    for (const auto& each : clients.requests())
    {
        const int runs = system.runs_of(each.id);
        const bool is_once = !each.is_unsafe || runs <= 1;
        if (each.status == 200 && runs >= 1 && is_once)
            ++made.answered;
        else if (each.status == 503 && runs == 0)
            ++made.refused;
        else if (each.status == 0 && runs == 0)
            ++made.crossed;
        else if (each.status == 0 && is_once && each.ended_after >= stall &&
                 work.used_grace_between(each.entry, each.begun,
                                         each.begun + each.ended_after))
            ++made.unread;
        else
            made.lost.push_back(
                each.id + " status " + std::to_string(each.status) + " runs " +
                std::to_string(runs) + " at host " +
                std::to_string(each.entry) + " from " +
                std::to_string(each.begun_ms) + " after " +
                std::to_string(to_ms(each.ended_after)) + " ms " + each.error);
    }
    return made;
}

/** Puts a link before every second target, and makes all report loads. */
void set_up_targets(mesh_system& system)
{
    for (std::size_t i = 0; i < system.hosts().size(); ++i)
    {
        auto& target = *system.hosts()[i].target;
        target.faults().reports_load = true;
        if (i % 2 == 0)
            continue;
        auto& link = keep_for_fibers(
            std::make_shared<paced_link>(system.on(), target.where()));
        link.set_bytes_per_s(link_bytes_per_s);
        target.set_reported_address(link.where());
    }
}

} // namespace

TEST_CASE("no request is lost over planned stops, reloads and configurations")
{
    for_each_seed(
        2,
        [](worker& on, std::uint64_t seed)
        {
            mesh_system system(
                on, std::vector<std::string>(host_count(4), "perceel"));
            set_up_targets(system);
            system.configure(1,
                             {{"fields", "/fields/", "perceel"},
                              {"sales", "/sales/", "perceel", "unsafe"}},
                             "/health");
            system.start();
            random_source random(seed);
            pipelining_clients clients(
                system, random,
                {.routes = {{"/sales/x", true}, {"/fields/x"}},
                 .stall = stall});
            const auto until = steady_clock::now() + span;
            clients.start(3 * static_cast<int>(host_count(4)), until);
            planned_work work(system, random);
            work.run(until);
            REQUIRE(system.wait_until([&] { return clients.open() == 0; }));
            const auto seen = endings_of(system, clients, work);
            std::cout << "seed " << seed << ": " << work.stops() << " stops, "
                      << seen.answered << " answered, " << seen.refused
                      << " refused, " << seen.crossed << " crossed a close, "
                      << seen.unread << " not read in time, "
                      << seen.lost.size() << " lost" << std::endl;
            INFO("seed " << seed);
            CHECK(seen.lost == std::vector<std::string>());
            CHECK(seen.answered > 0);
        });
}
