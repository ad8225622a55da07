/**
 * @file Calls that end each target that runs them.
 *
 * What users saw: most lookups of one service were refused for 15 s, three
 * times a day. One lookup ended each target that ran it. Its entry took the
 * lost connection for the loss of one answer and sent it to the next target;
 * its client came back at other nodes, which knew nothing of it. So all six
 * targets ended within a second, and again as soon as they had started: 21
 * ended under one lookup, 11 of them later than three seconds after the third.
 *
 * The evidence: one try reached two targets 64 ms apart and both ended under
 * it; other tries of the same lookup reached the rest through other entries,
 * seconds later.
 */
#include "mesh_system.hpp"

#include "tillerhall/core/random.hpp"

#include <algorithm>
#include <cstdlib>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr const char* ending_path = "/fields/ends-its-target";
// After three targets have ended a mesh may still need so long to know.
constexpr std::chrono::seconds time_to_know(3);
constexpr long most_later_sends = 3;
constexpr std::chrono::seconds time_to_start(1);
constexpr std::size_t target_count = 4;
// Enough for every call of a test, so that only knowledge ends them.
constexpr const char* second_sends = "retry:\n  ratio: 10\n  extra: 100\n";

/** Four targets of one service that start again a second after they end; two
 * of another one whose hosts are entries as well. */
struct ending_system : mesh_system
{
    explicit ending_system(worker& on)
        : mesh_system(
              on,
              {"perceel", "perceel", "perceel", "perceel", "beurs", "beurs"},
              second_sends)
    {
        configure(1, {{"fields", "/fields/", "perceel", "safe", 2000, 2},
                      {"sales", "/sales/", "beurs", "unsafe"}});
        start();
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "w", "/fields/w").status == 200; }));
        for (std::size_t i = 0; i < target_count; ++i)
        {
            hosts()[i].target->tricks().ends_under = ending_path;
            hosts()[i].target->tricks().work = milliseconds(40);
            on.spawn([this, i] { start_again_for_ever(i); });
        }
    }

    ~ending_system() { *m_over = true; }

    void start_again_for_ever(std::size_t index)
    {
        const auto over = m_over;
        while (!*over)
        {
            sleep_for(on().io(), milliseconds(20));
            if (*over || !hosts()[index].target->has_ended())
                continue;
            sleep_for(on().io(), time_to_start);
            if (*over)
                return;
            auto& host = hosts()[index];
            host.target->start_again("i-" + std::to_string(index) + "-" +
                                     std::to_string(++m_starts));
            host.target->report(host.at["operators"], "ready");
        }
    }

    unsigned times_ended()
    {
        unsigned ended = 0;
        for (auto& each : hosts())
            ended += each.target->times_ended();
        return ended;
    }

    /** @return when each send of the ending call reached a target, in order. */
    std::vector<time_point> sends()
    {
        std::vector<time_point> begun;
        for (auto& each : hosts())
            for (const auto& run : each.target->runs())
                if (run.path == ending_path)
                    begun.push_back(run.begun);
        std::ranges::sort(begun);
        return begun;
    }

    /** Calls of other paths at all entries in turn. @return served share. */
    double served_of(int calls, const std::string& name)
    {
        int served = 0;
        for (int i = 0; i < calls; ++i)
        {
            const auto id = name + std::to_string(i);
            auto& from = hosts()[static_cast<std::size_t>(i) % hosts().size()];
            served += call(from, id, "/fields/" + id).status == 200 ? 1 : 0;
        }
        return static_cast<double>(served) / calls;
    }

    /** Tries of the ending call at all entries at the same moment. */
    void tries_at_once(int count)
    {
        const auto done = std::make_shared<int>(0);
        for (int i = 0; i < count; ++i)
            on().spawn(
                [this, i, done]
                {
                    const auto at = static_cast<std::size_t>(i);
                    call(hosts()[at % hosts().size()], next_id(), ending_path);
                    ++*done;
                });
        REQUIRE(wait_until([&] { return *done == count; }));
    }

    /** Tries one after the other, each at the next entry. */
    void tries_for(duration span)
    {
        const auto until = steady_clock::now() + span;
        for (std::size_t i = 0; steady_clock::now() < until; ++i)
        {
            const auto answer =
                call(hosts()[i % hosts().size()], next_id(), ending_path);
            CHECK(answer.status >= 500); // never a success
            sleep_for(on().io(), milliseconds(50));
        }
    }

    bool all_targets_serve()
    {
        return std::ranges::none_of(hosts(), [](const mesh_host& each)
                                    { return each.target->has_ended(); }) &&
               served_of(24, "serves") == 1;
    }

    std::string next_id() { return "end-" + std::to_string(++m_tries); }

private:
    std::shared_ptr<bool> m_over = std::make_shared<bool>(false);
    int m_starts = 0;
    int m_tries = 0;
};

/**
 * A series of troubles that overlap, drawn from a seed: nodes are killed,
 * stopped in a planned way or frozen, and the store goes away, while the call
 * comes again at nodes that are drawn too.
 */
class troubled_mesh
{
public:
    troubled_mesh(ending_system& system, std::uint64_t seed)
        : m_system(system)
        , m_random(seed)
        , m_disturbed(system.hosts().size())
    {
    }

    void play(duration span)
    {
        const auto until = steady_clock::now() + span;
        int open = 2;
        m_system.on().spawn([&] { come_again(until, open); });
        m_system.on().spawn([&] { report_until(until, open); });
        while (steady_clock::now() < until)
        {
            trouble_one();
            sleep_for(m_system.on().io(),
                      milliseconds(200 + m_random.below(500)));
        }
        REQUIRE(m_system.wait_until([&] { return open + m_troubles == 0; }));
    }

    /** @return the sends later than `time_to_know` after the third one, by
     * hosts that nothing had happened to for as long. */
    long later_sends()
    {
        const auto all = m_system.sends();
        if (all.size() < 3)
            return 0;
        const auto after = all[2] + time_to_know;
        long later = 0;
        for (std::size_t i = 0; i < m_system.hosts().size(); ++i)
            for (const auto& run : m_system.hosts()[i].target->runs())
                if (run.path == ending_path && run.begun > after &&
                    !was_disturbed(i, run.begun))
                    ++later;
        return later;
    }

private:
    bool was_disturbed(std::size_t host, time_point at) const
    {
        return std::ranges::any_of(
            m_disturbed[host], [&](const auto& each)
            { return at >= each.first && at <= each.second + time_to_know; });
    }

    void come_again(time_point until, int& open)
    {
        while (steady_clock::now() < until)
        {
            auto& at =
                m_system.hosts()[m_random.below(m_system.hosts().size())];
            const auto id = m_system.next_id();
            m_system.on().spawn([this, &at, id]
                                { m_system.call(at, id, ending_path); });
            sleep_for(m_system.on().io(),
                      milliseconds(30 + m_random.below(60)));
        }
        --open;
    }

    /** As targets do: again and again, so that a node that starts hears. */
    void report_until(time_point until, int& open)
    {
        while (steady_clock::now() < until)
        {
            for (auto& each : m_system.hosts())
                each.target->report(each.at["operators"], "ready");
            sleep_for(m_system.on().io(), milliseconds(300));
        }
        --open;
    }

    void trouble_one()
    {
        const auto index = m_random.below(m_system.hosts().size());
        if (m_busy.contains(index))
            return;
        m_busy.insert(index);
        ++m_troubles;
        const auto kind = m_random.below(4);
        m_system.on().spawn(
            [this, index, kind]
            {
                const auto begin = steady_clock::now();
                trouble(index, kind);
                if (kind != 3)
                    m_disturbed[index].emplace_back(begin, steady_clock::now());
                m_busy.erase(index);
                --m_troubles;
            });
    }

    void trouble(std::size_t index, std::uint64_t kind)
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

    ending_system& m_system;
    random_source m_random;
    std::vector<std::vector<std::pair<time_point, time_point>>> m_disturbed;
    std::set<std::size_t> m_busy;
    int m_troubles = 0;
};

/** @return how many sends came later than `time_to_know` after the third. */
long later_sends(const std::vector<time_point>& sends)
{
    if (sends.size() < 3)
        return 0;
    const auto after = sends[2] + time_to_know;
    return std::ranges::count_if(sends,
                                 [&](time_point at) { return at > after; });
}

} // namespace

TEST_CASE("a call that ended three targets is not sent on and on")
{
    on_worker(
        [](worker& on)
        {
            ending_system system(on);
            system.tries_at_once(20);
            system.tries_for(std::chrono::seconds(9));
            CHECK(later_sends(system.sends()) <= most_later_sends);
            // At most all targets at once, and one more round at the start.
            CHECK(system.times_ended() <= 2 * target_count);
            CHECK(system.all_targets_serve());
        });
}

TEST_CASE("one client that comes back ends two targets, not one a try")
{
    on_worker(
        [](worker& on)
        {
            ending_system system(on);
            system.tries_for(std::chrono::seconds(5));
            CHECK(system.times_ended() <= 2);
            CHECK(system.served_of(60, "beside") > 0.98);
        });
}

TEST_CASE("what ends targets is known after every node was killed")
{
    on_worker(
        [](worker& on)
        {
            ending_system system(on);
            system.tries_for(std::chrono::seconds(2));
            const auto before = system.sends().size();
            sleep_for(on.io(), milliseconds(500));
            for (auto& each : system.hosts())
                each.node.kill();
            for (auto& each : system.hosts())
                system.start_node(each);
            for (auto& each : system.hosts())
            {
                REQUIRE(
                    system.wait_until([&] { return system.is_ready(each); }));
                each.target->report(each.at["operators"], "ready");
            }
            REQUIRE(system.wait_until(
                [&] { return system.served_of(6, "again") == 1; }));
            system.tries_for(std::chrono::seconds(2));
            CHECK(system.sends().size() == before);
        });
}

TEST_CASE("the news reaches every node while the store is away")
{
    on_worker(
        [](worker& on)
        {
            ending_system system(on);
            system.store().faults().down = true;
            system.tries_for(std::chrono::seconds(4));
            CHECK(system.times_ended() <= 2);
            system.store().faults().down = false;
        });
}

TEST_CASE("a call that many make is not held for what another one ended")
{
    on_worker(
        [](worker& on)
        {
            ending_system system(on);
            const auto over = std::make_shared<bool>(false);
            const auto ended = std::make_shared<int>(0);
            for (std::size_t i = 0; i < system.hosts().size(); ++i)
                on.spawn(
                    [&system, over, ended, i]
                    {
                        for (int n = 0; !*over; ++n)
                            system.call(system.hosts()[i],
                                        "many-" + std::to_string(i) + "-" +
                                            std::to_string(n),
                                        "/fields/front-page");
                        ++*ended;
                    });
            sleep_for(on.io(), milliseconds(500));
            system.tries_at_once(6);
            system.tries_for(std::chrono::seconds(3));
            *over = true;
            REQUIRE(system.wait_until([&] { return *ended == 6; }));
            // Where all targets end at once it may be named twice; then one
            // target tries it after five seconds and clears it.
            for (auto& each : system.hosts())
                CHECK(system.wait_until(
                    [&] {
                        return system
                                   .call(each, "many-last",
                                         "/fields/front-page")
                                   .status == 200;
                    },
                    std::chrono::seconds(8)));
            CHECK(system.times_ended() <= target_count);
        });
}

TEST_CASE("a call whose connection was lost twice is not blamed for it")
{
    on_worker(
        [](worker& on)
        {
            ending_system system(on);
            for (auto& each : system.hosts())
                each.target->tricks().reset_answers = 1;
            for (int i = 0; i < 3; ++i)
                system.call(system.hosts()[4], "lost-" + std::to_string(i),
                            "/fields/lost");
            CHECK(system.times_ended() == 0);
            CHECK(system.wait_until(
                [&]
                {
                    return system
                               .call(system.hosts()[5], "lost-again",
                                     "/fields/lost")
                               .status == 200;
                },
                std::chrono::seconds(2)));
        });
}

TEST_CASE("whatever is done to nodes and store, later sends keep their bound")
{
    // More by hand: TILLERHALL_SEEDS=50 and a first seed in TILLERHALL_SEED.
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
                ending_system system(on);
                troubled_mesh troubled(system, seed);
                troubled.play(std::chrono::seconds(10));
                INFO("seed " << seed << ", ended " << system.times_ended()
                             << ", sends " << system.sends().size());
                CHECK(troubled.later_sends() <= most_later_sends);
            });
}
