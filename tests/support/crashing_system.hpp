/** @file Targets that crash under a poison call, for tests. */
#pragma once

#include "mesh_system.hpp"

#include <algorithm>

namespace tillerhall::harness
{

inline constexpr const char* poison_path = "/fields/ends-its-target";
// Time within which all nodes know of a poison call after the third crash.
inline constexpr std::chrono::seconds propagation_limit(3);
inline constexpr long max_late_sends = 3;
inline constexpr std::chrono::seconds restart_delay(1);
inline constexpr std::size_t target_count = 4;
// Enough retries for every call, so that the retry budget stops none.
inline constexpr const char* retry_settings =
    "retry:\n  ratio: 10\n  extra: 100\n";

/** Four targets of one service that restart a second after a crash, and two of
 * another service; the hosts of all are entries. */
struct crashing_system : mesh_system
{
    explicit crashing_system(worker& on)
        : mesh_system(
              on,
              {"perceel", "perceel", "perceel", "perceel", "beurs", "beurs"},
              retry_settings)
    {
        configure(1, {{"fields", "/fields/", "perceel", "safe", 2000, 2},
                      {"sales", "/sales/", "beurs", "unsafe"}});
        start();
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "w", "/fields/w").status == 200; }));
        for (std::size_t i = 0; i < target_count; ++i)
        {
            hosts()[i].target->faults().crash_path = poison_path;
            hosts()[i].target->faults().work = milliseconds(40);
            on.spawn([this, i] { restart_forever(i); });
        }
    }

    ~crashing_system() { *m_is_stopped = true; }

    void restart_forever(std::size_t index)
    {
        const auto is_stopped = m_is_stopped;
        while (!*is_stopped)
        {
            sleep_for(on().io(), milliseconds(20));
            if (*is_stopped || !hosts()[index].target->has_crashed())
                continue;
            sleep_for(on().io(), restart_delay);
            if (*is_stopped)
                return;
            auto& host = hosts()[index];
            host.target->restart("i-" + std::to_string(index) + "-" +
                                 std::to_string(++m_start_count));
            host.target->report(host.at["operators"], "ready");
        }
    }

    unsigned crash_count()
    {
        unsigned crashes = 0;
        for (auto& each : hosts())
            crashes += each.target->crash_count();
        return crashes;
    }

    /** @return when each run of the poison call began, in order. */
    std::vector<time_point> send_times()
    {
        std::vector<time_point> begun;
        for (auto& each : hosts())
            for (const auto& run : each.target->runs())
                if (run.path == poison_path)
                    begun.push_back(run.begun);
        std::ranges::sort(begun);
        return begun;
    }

    /** Sends calls of other paths to all entries in turn.
     * @return the share that was served */
    double served_share(int calls, const std::string& name)
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

    /** Sends the poison call @p count times at once, spread over the entries.
     */
    void send_concurrently(int count)
    {
        const auto done = std::make_shared<int>(0);
        for (int i = 0; i < count; ++i)
            on().spawn(
                [this, i, done]
                {
                    const auto at = static_cast<std::size_t>(i);
                    call(hosts()[at % hosts().size()], next_id(), poison_path);
                    ++*done;
                });
        REQUIRE(wait_until([&] { return *done == count; }));
    }

    /** Sends the poison call repeatedly, each time to the next entry. */
    void send_repeatedly(duration span)
    {
        const auto until = steady_clock::now() + span;
        for (std::size_t i = 0; steady_clock::now() < until; ++i)
        {
            const auto answer =
                call(hosts()[i % hosts().size()], next_id(), poison_path);
            CHECK(answer.status >= 500); // never a success
            sleep_for(on().io(), milliseconds(50));
        }
    }

    bool all_targets_serve()
    {
        return std::ranges::none_of(hosts(), [](const mesh_host& each)
                                    { return each.target->has_crashed(); }) &&
               served_share(24, "serves") == 1;
    }

    std::string next_id() { return "end-" + std::to_string(++m_try_count); }

private:
    std::shared_ptr<bool> m_is_stopped = std::make_shared<bool>(false);
    int m_start_count = 0;
    int m_try_count = 0;
};

} // namespace tillerhall::harness
