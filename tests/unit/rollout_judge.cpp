/** @file Tests of exposure permits, the judging of releases and the plan. */
#include "release_simulation.hpp"

#include "tillerhall/rollout/exposure_permits.hpp"
#include "tillerhall/rollout/rollout_plan.hpp"

#include <catch2/catch.hpp>

using namespace tillerhall;

TEST_CASE("entries keep a canary below its exposure across restarts")
{
    // A restarted node has no permits.
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        random_source random(seed);
        std::vector<exposure_permits> entries(1 + random.below(200));
        constexpr double exposure = 0.1;
        constexpr unsigned tolerance = 50;
        const double share = exposure / 2;
        unsigned reached = 0;
        unsigned canary_calls = 0;
        for (int call = 0; call < 20'000; ++call)
        {
            auto& entry = entries[random.below(entries.size())];
            if (random.below(500) == 0)
                entry = {}; // restart
            const bool is_canary = entry.has_permit();
            if (is_canary)
                entry.take();
            // Half of the calls are refused or lost.
            if (random.below(2) == 0)
            {
                if (is_canary)
                    entry.give_back();
                continue;
            }
            ++reached;
            canary_calls += is_canary ? 1 : 0;
            entry.reached(share, random.unit());
            REQUIRE(canary_calls <= exposure * reached + tolerance);
        }
        CHECK(canary_calls > 0);
    }
}

TEST_CASE("bad releases are found soon for each kind of fault")
{
    struct fault_case
    {
        const char* name;
        simulated_target target;
    };
    const std::vector<fault_case> faults{
        {"a third fails", {.failing = 0.36}},
        {"half fails", {.failing = 0.5}},
        {"eight times slower", {.slower = 8}},
        {"five times slower", {.slower = 5}},
        {"one class fails", {.sales_failing = 0.4}},
        {"fails from the fifth second on", {.failing = 0.36, .bad_from_s = 5}}};
    // Calls must cease within 5 s of the 50th bad run; one second of it is for
    // reports and for the transit to all nodes.
    constexpr double limit_s = 4;
    for (const auto& fault : faults)
    {
        unsigned found = 0;
        for (std::uint64_t seed = 1; seed <= simulations; ++seed)
        {
            simulated_service service(seed, similar_targets(24),
                                      similar_targets(3, fault.target));
            const auto result =
                service.run(stable_runs_per_s, canary_runs_per_s, 12);
            found +=
                result.is_found_bad && result.seconds_since_fiftieth < limit_s
                    ? 1
                    : 0;
        }
        INFO(fault.name);
        CHECK(found == simulations);
    }
}

TEST_CASE("a release of which a third fails has few bad runs until found")
{
    // Includes the bad runs of a report in transit.
    unsigned max_bad = 0;
    for (std::uint64_t seed = 1; seed <= simulations; ++seed)
    {
        simulated_service service(seed, similar_targets(24),
                                  similar_targets(3, {.failing = 0.36}));
        max_bad = std::max(
            max_bad, service.run(stable_runs_per_s, canary_runs_per_s, 12).bad);
    }
    CHECK(max_bad < 60);
}

TEST_CASE("a fault of both releases does not make the canary bad")
{
    struct fault_case
    {
        const char* name;
        simulated_target all;
    };
    const std::vector<fault_case> faults{
        {"none", {}},
        {"a third of all runs fails", {.failing = 0.33}},
        {"all runs are eight times slower", {.slower = 8}}};
    for (const auto& each : faults)
    {
        unsigned found = 0;
        for (std::uint64_t seed = 1; seed <= simulations; ++seed)
        {
            simulated_service service(seed, similar_targets(24, each.all),
                                      similar_targets(3, each.all));
            found += service.run(stable_runs_per_s, canary_runs_per_s, 12)
                             .is_found_bad
                         ? 1
                         : 0;
        }
        INFO(each.name);
        CHECK(found == 0);
    }
}

TEST_CASE("one bad host or slow machine does not make its release bad")
{
    unsigned found = 0;
    for (std::uint64_t seed = 1; seed <= simulations; ++seed)
    {
        auto canary_targets = similar_targets(4);
        canary_targets[0].failing = 0.45;
        canary_targets[1].slower = 2;
        canary_targets[2].slower = 2;
        simulated_service service(seed, similar_targets(24), canary_targets);
        found +=
            service.run(stable_runs_per_s, canary_runs_per_s, 12).is_found_bad
                ? 1
                : 0;
        CHECK(service.judge().regressed_targets().contains("i-24"));
    }
    CHECK(found == 0);
}

TEST_CASE("partly failing stable hosts do not hide a bad release")
{
    for (std::uint64_t seed = 1; seed <= simulations; ++seed)
    {
        auto stable_targets = similar_targets(24);
        for (std::size_t i = 0; i < 4; ++i)
            stable_targets[i].failing = 0.45;
        simulated_service service(seed, stable_targets,
                                  similar_targets(3, {.failing = 0.4}));
        CHECK(
            service.run(stable_runs_per_s, canary_runs_per_s, 12).is_found_bad);
    }
}

TEST_CASE("late and repeated reports, or those of an earlier boot, are ignored")
{
    rollout_judge judge("v1", "v2");
    owner_report sent;
    sent.target_id = "i-1";
    sent.release = "v2";
    sent.boot = 5;
    sent.taken = 10;
    sent.counts[reads].ended = 10;
    judge.take(sent, start);
    judge.take(sent, start);
    CHECK(judge.evidence().ended == 10);
    auto changed = sent;
    changed.taken = 4;
    changed.counts[reads].ended = 4;
    judge.take(changed, start);
    CHECK(judge.evidence().ended == 10);
    changed.boot = 6; // the owner restarted and its counts with it
    judge.take(changed, start);
    CHECK(judge.evidence().ended == 14);
    judge.take(sent, start);
    CHECK(judge.evidence().ended == 14);
}

TEST_CASE("the stable release is idle when no owner has a call for a while")
{
    const std::vector<address> owners{{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    rollout_judge judge("v1", "v2");
    owner_report sent;
    sent.release = "v1";
    const auto report = [&](std::size_t owner, std::uint32_t running, int at_ms)
    {
        sent.owner = owners[owner];
        sent.target_id = "i-" + std::to_string(owner);
        sent.running = running;
        sent.taken = 7;
        judge.take(sent, start + milliseconds(at_ms));
    };
    report(0, 0, 0);
    report(1, 1, 0);
    report(0, 0, 1'000);
    report(1, 1, 1'000);
    CHECK_FALSE(judge.is_idle(owners, start + milliseconds(1'000)));
    report(0, 0, 1'500);
    report(1, 0, 1'500);
    CHECK_FALSE(judge.is_idle(owners, start + milliseconds(1'500)));
    report(0, 0, 2'000);
    report(1, 0, 2'000);
    CHECK(judge.is_idle(owners, start + milliseconds(2'000)));
    // An owner without recent reports is ignored.
    report(1, 3, 2'500);
    CHECK_FALSE(judge.is_idle(owners, start + milliseconds(2'500)));
    report(0, 0, 5'000);
    CHECK(judge.is_idle(owners, start + milliseconds(5'000)));
}

TEST_CASE("stages give canary targets about the load of stable ones")
{
    for (const std::size_t targets : {1U, 2U, 6U, 32U, 500U})
    {
        double previous_share = 0;
        for (int stage = 0; stage <= 4; ++stage)
        {
            const auto allowance =
                allowance_of(static_cast<rollout_stage>(stage), 0.1, targets);
            CHECK(allowance.share >= previous_share);
            CHECK(allowance.targets >= 1);
            previous_share = allowance.share;
            if (stage < 2)
                CHECK(allowance.share == 0.05);
            else
                CHECK(static_cast<double>(allowance.targets) >=
                      allowance.share * static_cast<double>(targets));
        }
        CHECK(previous_share == 1);
    }
}

TEST_CASE("all stages before the last together stay below the exposure")
{
    // Each stage ends at the earliest time.
    rollout_record known;
    known.order.time = milliseconds(16'000);
    known.begun = start;
    known.state = rollout_state::running;
    rollout_progress progress;
    progress.evidence = {1'000, 1'000, true, true};
    progress.live_canary_targets = 32;
    progress.stable_targets = 32;
    double canary_share_s = 0;
    auto at = start;
    progress.stage_begun = at;
    while (known.stage != rollout_stage::all)
    {
        at += milliseconds(10);
        canary_share_s += allowance_of(known.stage, 0.1, 32).share * 0.010;
        if (next_move(known, progress, at) != rollout_move::next_stage)
            continue;
        known.stage =
            static_cast<rollout_stage>(static_cast<int>(known.stage) + 1);
        progress.stage_begun = at;
    }
    CHECK(canary_share_s < 0.1 * 16);
    CHECK(at <= start + milliseconds(12'000));
    // Completes only when the stable release is idle, and not too early.
    at += milliseconds(1'300);
    CHECK(next_move(known, progress, at) == rollout_move::wait);
    progress.stable_is_idle = true;
    CHECK(next_move(known, progress, start + milliseconds(11'900)) ==
          rollout_move::wait);
    at = start + milliseconds(12'000);
    CHECK(next_move(known, progress, at) == rollout_move::complete);
}

TEST_CASE("a roll-out with too few runs is given up, not completed")
{
    rollout_record known;
    known.order.time = milliseconds(16'000);
    known.begun = start;
    known.state = rollout_state::running;
    rollout_progress progress;
    progress.stage_begun = start;
    progress.live_canary_targets = 3;
    progress.evidence = {10, 10, true, true};
    CHECK(next_move(known, progress, start + milliseconds(10'000)) ==
          rollout_move::wait);
    CHECK(next_move(known, progress, start + milliseconds(15'500)) ==
          rollout_move::give_up);
    progress.live_canary_targets = 0;
    CHECK(next_move(known, progress, start + milliseconds(10'000)) ==
          rollout_move::wait);
    CHECK(next_move(known, progress, start + milliseconds(15'500)) ==
          rollout_move::give_up);
}

TEST_CASE("a release not shown non-inferior does not exceed its exposure")
{
    rollout_record known;
    known.order.time = milliseconds(16'000);
    known.begun = start;
    known.state = rollout_state::running;
    known.stage = rollout_stage::loaded;
    rollout_progress progress;
    progress.stage_begun = start;
    progress.live_canary_targets = 3;
    progress.stable_targets = 32;
    progress.evidence = {1'000, 1'000, true, false};
    CHECK(next_move(known, progress, start + milliseconds(10'000)) ==
          rollout_move::wait);
    CHECK(next_move(known, progress, start + milliseconds(15'500)) ==
          rollout_move::give_up);
    progress.evidence.is_noninferior = true;
    CHECK(next_move(known, progress, start + milliseconds(10'000)) ==
          rollout_move::next_stage);
}
