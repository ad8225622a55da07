/** @file Targets that a call ends, and what a test counts of it. */
#pragma once

#include "mesh_system.hpp"

#include <algorithm>

namespace tillerhall::harness
{

inline constexpr const char* ending_path = "/fields/ends-its-target";
// After three targets have ended a mesh may still need so long to know.
inline constexpr std::chrono::seconds time_to_know(3);
inline constexpr long most_later_sends = 3;
inline constexpr std::chrono::seconds time_to_start(1);
inline constexpr std::size_t target_count = 4;
// Enough for every call of a test, so that only knowledge ends them.
inline constexpr const char* second_sends =
    "retry:\n  ratio: 10\n  extra: 100\n";

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

} // namespace tillerhall::harness
