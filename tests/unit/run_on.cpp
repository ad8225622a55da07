/**
 * @file Tasks that one worker runs for another.
 *
 * Guards against a result whose shared state is freed by the waiting thread
 * while the other one still notifies it.
 */
#include "tillerhall/core/worker.hpp"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using namespace tillerhall;

TEST_CASE("a result outlives the notification of the worker that waits for it")
{
    constexpr int callers = 12; // more than processors, so that some wait
    constexpr int fibers = 4;
    constexpr int rounds = 2'000;
    worker serving;
    std::thread server([&] { serving.run(); });
    std::atomic<int> sum{0};
    // A thread's fiber scheduler uses its worker until the thread has ended.
    std::array<worker, callers> workers;
    std::vector<std::thread> threads;
    for (auto& calling : workers)
        threads.emplace_back(
            [&]
            {
                int active = fibers;
                for (int i = 0; i < fibers; ++i)
                    calling.spawn(
                        [&]
                        {
                            for (int round = 0; round < rounds; ++round)
                                sum += run_on(serving, [] { return 1; });
                            if (--active == 0)
                                calling.stop();
                        });
                calling.run();
            });
    for (auto& each : threads)
        each.join();
    serving.stop();
    server.join();
    CHECK(sum == callers * fibers * rounds);
}
