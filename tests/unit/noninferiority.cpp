/** @file Tests of when a canary release is shown non-inferior. */
#include "release_simulation.hpp"

#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

/** Simulates a canary that is slow on half of its runs beside
 * @p stable_targets, and checks that it is found bad, or at least not shown
 * non-inferior. */
void check_slow_half_is_found(
    const std::vector<simulated_target>& stable_targets)
{
    unsigned found_count = 0;
    unsigned noninferior_count = 0;
    for (std::uint64_t seed = 1; seed <= simulations; ++seed)
    {
        simulated_service service(
            seed, stable_targets,
            similar_targets(3, {.slower = 5, .slow_share = 0.5}));
        const auto result =
            service.run(stable_runs_per_s, canary_runs_per_s, 12);
        found_count += result.is_found_bad ? 1 : 0;
        noninferior_count += result.is_noninferior ? 1 : 0;
    }
    // The test lets about one in a hundred releases pass that are worse by just
    // the margin. One that neither passes nor is found bad keeps its exposure
    // and is given up before its time is over.
    CHECK(noninferior_count <= simulations / 100);
    CHECK(found_count >= simulations * 9 / 10);
}

} // namespace

// Slow stable targets must not raise the latency thresholds of the baseline.
TEST_CASE("slow stable targets do not hide a bad release")
{
    auto stable_targets = similar_targets(24);
    for (std::size_t i = 0; i < 4; ++i)
    {
        stable_targets[i].slower *= 5;
        stable_targets[i].bad_from_s = 2;
        stable_targets[i].bad_until_s = 8;
    }
    check_slow_half_is_found(stable_targets);
}

// A surge at all stable targets must not raise them either.
TEST_CASE("a surge at all stable targets does not hide a bad release")
{
    auto stable_targets = similar_targets(24);
    for (auto& each : stable_targets)
    {
        each.slower *= 3;
        each.bad_from_s = 3;
        each.bad_until_s = 9;
    }
    check_slow_half_is_found(stable_targets);
}

// Guards against a release that gets all calls although a part of its runs is
// several times slower.
TEST_CASE("a release that is slow on an eighth of its runs is not shown "
          "non-inferior",
          "[.][partly-slow-release]")
{
    unsigned noninferior_count = 0;
    for (std::uint64_t seed = 1; seed <= simulations; ++seed)
    {
        simulated_service service(
            seed, similar_targets(24),
            similar_targets(3, {.slower = 5, .slow_share = 0.125}));
        noninferior_count +=
            service.run(stable_runs_per_s, canary_runs_per_s, 12).is_noninferior
                ? 1
                : 0;
    }
    CHECK(noninferior_count <= simulations / 100);
}

TEST_CASE(
    "a bad release is not shown non-inferior beside faulty stable targets")
{
    struct fault_case
    {
        const char* name;
        simulated_target target;
    };
    const std::vector<fault_case> faults{
        {"a third fails", {.failing = 0.36}},
        {"one class fails", {.sales_failing = 0.4}},
        {"five times slower", {.slower = 5}},
        {"five times slower on half", {.slower = 5, .slow_share = 0.5}}};
    const std::vector<fault_case> stable_faults{
        {"none", {}},
        {"stable targets fail in part", {.failing = 0.45}},
        {"stable targets are slow", {.slower = 5}}};
    for (const auto& fault : faults)
        for (const auto& stable_fault : stable_faults)
        {
            auto stable_targets = similar_targets(24);
            for (std::size_t i = 0; i < 4; ++i)
            {
                stable_targets[i].failing = stable_fault.target.failing;
                stable_targets[i].slower *= stable_fault.target.slower;
            }
            unsigned noninferior_count = 0;
            for (std::uint64_t seed = 1; seed <= simulations; ++seed)
            {
                simulated_service service(seed, stable_targets,
                                          similar_targets(3, fault.target));
                noninferior_count +=
                    service.run(stable_runs_per_s, canary_runs_per_s, 8)
                            .is_noninferior
                        ? 1
                        : 0;
            }
            INFO(fault.name << ", " << stable_fault.name);
            CHECK(noninferior_count <= simulations / 100);
        }
}

TEST_CASE("a good release is shown non-inferior in time beside faulty targets")
{
    // Half of an order of 16 s, when the roll-out can leave the first stages.
    constexpr double time_limit_s = 8;
    const std::vector<simulated_target> stable_faults{
        {}, {.failing = 0.45}, {.slower = 5}};
    for (const auto& stable_fault : stable_faults)
    {
        auto stable_targets = similar_targets(24);
        for (std::size_t i = 0; i < 4; ++i)
        {
            stable_targets[i].failing = stable_fault.failing;
            stable_targets[i].slower *= stable_fault.slower;
        }
        unsigned noninferior_count = 0;
        for (std::uint64_t seed = 1; seed <= simulations; ++seed)
        {
            simulated_service service(seed, stable_targets, similar_targets(3));
            const auto result =
                service.run(stable_runs_per_s, canary_runs_per_s, time_limit_s);
            noninferior_count +=
                result.is_noninferior && !result.is_found_bad ? 1 : 0;
        }
        // One in twenty may take longer or be found bad.
        CHECK(noninferior_count >= simulations * 19 / 20);
    }
}
