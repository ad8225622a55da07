/** @file Selection of owners to ask for their load, and its effect. */
#include "tillerhall/routing/load_inquiry.hpp"
#include "tillerhall/routing/target_board.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <vector>

using namespace tillerhall;

namespace
{

const time_point start = time_point{} + std::chrono::hours(1);

std::vector<owner_estimate> owners(std::size_t near, std::size_t far)
{
    std::vector<owner_estimate> made(near + far);
    std::for_each_n(made.begin(), near,
                    [](owner_estimate& each) { each.is_near = true; });
    return made;
}

} // namespace

TEST_CASE("the preferred owner, one of the own domain and one of another are "
          "asked")
{
    load_inquiry inquiry;
    random_source random(1);
    const auto all = owners(20, 80);
    for (const std::size_t preferred : {5U, 70U})
    {
        const auto asked = inquiry.owners_to_ask(all, preferred, start, random);
        REQUIRE(asked.size() == 3);
        CHECK(asked[0] == preferred);
        CHECK(all[asked[1]].is_near);
        CHECK_FALSE(all[asked[2]].is_near);
    }
}

TEST_CASE("without owners in the own domain more of other domains are asked")
{
    load_inquiry inquiry;
    random_source random(1);
    CHECK(inquiry.owners_to_ask(owners(0, 20), 0, start, random).size() == 3);
}

TEST_CASE("no owner is asked in a small service or if enough is known")
{
    load_inquiry inquiry;
    random_source random(1);
    CHECK(inquiry
              .owners_to_ask(owners(2, load_inquiry::small_service - 2), 0,
                             start, random)
              .empty());
    auto all = owners(20, 80);
    for (const auto i : {3U, 70U})
        all[i].is_known = all[i].has_room = true;
    CHECK(inquiry.owners_to_ask(all, 0, start, random).empty());
    all[3].has_room = false;
    CHECK_FALSE(inquiry.owners_to_ask(all, 0, start, random).empty());
}

TEST_CASE("owners with a recent report or without an answer are not asked")
{
    load_inquiry inquiry;
    random_source random(1);
    auto all = owners(10, 10);
    for (auto& each : all)
        (each.is_near ? each.is_known : each.is_excluded) = true;
    CHECK(inquiry.owners_to_ask(all, 0, start, random).empty());
    all[4].is_known = false;
    CHECK(inquiry.owners_to_ask(all, 0, start, random) ==
          std::vector<std::size_t>{4});
}

TEST_CASE("while most owners are full only some calls ask, and only one owner")
{
    load_inquiry inquiry;
    random_source random(1);
    const auto all = owners(20, 80);
    for (int i = 0; i < 100; ++i)
        inquiry.answered(true);
    std::size_t asked = 0;
    for (int i = 0; i < 100; ++i)
        asked +=
            inquiry
                .owners_to_ask(all, 0, start + std::chrono::seconds(i), random)
                .size();
    CHECK(asked > 10);
    CHECK(asked < 40);
    for (int i = 0; i < 20; ++i)
        inquiry.answered(false);
    CHECK(
        inquiry.owners_to_ask(all, 0, start + std::chrono::seconds(200), random)
            .size() == 3);
}

TEST_CASE("load queries of a node are rate-limited")
{
    load_inquiry inquiry;
    random_source random(1);
    const auto all = owners(20, 80);
    std::size_t asked = 0;
    for (int ms = 0; ms < 10'000; ++ms) // a thousand calls a second
        asked += inquiry.owners_to_ask(all, 0, start + milliseconds(ms), random)
                     .size();
    CHECK(asked <=
          10 * load_inquiry::queries_per_s + load_inquiry::query_burst + 1);
}

namespace
{

constexpr std::size_t entry_count = 40;
constexpr std::size_t owner_count = 40;
constexpr double slots = 8;
constexpr work_class work{0, milliseconds(1'500), call_kind::repeatable};
const member_place here{"r", "a"};

struct simulated_owner
{
    double running = 0;
    double run_ms = 0; ///< mean
};

/** Results of the calls of a simulated service. */
struct simulated_calls
{
    double refused = 0; ///< share whose first owner was full
    double run_ms = 0;  ///< mean run time of the others
};

struct simulated_entry
{
    explicit simulated_entry(std::uint64_t seed)
        : board(**find_policy("least_time"), seed)
    {
    }

    target_board board;
    load_inquiry inquiry;
};

/**
 * Simulates entries that call a service of 40 targets with 8 slots each and
 * mean run times of 258 to 602 ms, at @p load of their capacity.
 */
simulated_calls simulate_service(bool asks, double load)
{
    random_source random(5);
    std::vector<member_ptr> all;
    std::map<address, simulated_owner> state;
    for (std::uint16_t i = 0; i < owner_count; ++i)
    {
        auto made = std::make_shared<member>();
        made->rpc = {"10.0.0.1", i};
        made->place = here;
        all.push_back(made);
        state[made->rpc].run_ms = 430 * (0.6 + 0.2 * (i % 5));
    }
    std::vector<std::unique_ptr<simulated_entry>> entries;
    for (std::size_t i = 0; i < entry_count; ++i)
        entries.push_back(std::make_unique<simulated_entry>(i + 1));
    struct end
    {
        simulated_entry* entry;
        address owner;
        duration took;
    };
    std::multimap<time_point, end> ends;
    const address own{"10.0.0.2", 1};
    const call_origin from{&here, &own, 0, work};
    const auto report_of = [&](const address& owner)
    {
        load_report report;
        report.load = state[owner].running / slots;
        report.slots = slots;
        report.run_ms = state[owner].run_ms;
        return report;
    };
    const double per_s = load * owner_count * slots / 0.43;
    int calls = 0;
    int refused = 0;
    double run_ms = 0;
    for (double ms = 0; ms < 12'000;
         ms -= std::log(1 - random.unit()) * 1000 / per_s)
    {
        const auto now = start + std::chrono::microseconds(
                                     static_cast<std::int64_t>(ms * 1000));
        while (!ends.empty() && ends.begin()->first <= now)
        {
            const auto [at, done] = *ends.begin();
            ends.erase(ends.begin());
            --state[done.owner].running;
            done.entry->board.ended(done.owner,
                                    {target_call_outcome::good, done.took,
                                     report_of(done.owner), work, 100},
                                    at);
        }
        auto& entry = *entries[random.below(entry_count)];
        std::vector<member_ptr> informed;
        std::vector<owner_estimate> estimates;
        for (const auto& each : all)
            estimates.push_back(entry.board.estimate(*each, from, now));
        const auto remembered = entry.board.choose_among(all, {}, from, now);
        const auto preferred = static_cast<std::size_t>(
            std::ranges::find(all, remembered) - all.begin());
        if (asks)
            for (const auto i :
                 entry.inquiry.owners_to_ask(estimates, preferred, now, random))
            {
                const auto report = report_of(all[i]->rpc);
                entry.board.record_report(all[i]->rpc, report, milliseconds(3),
                                          now);
                entry.inquiry.answered(*report.load >= 1);
                if (*report.load < 1)
                    informed.push_back(all[i]);
            }
        for (std::size_t i = 0; asks && i < all.size(); ++i)
            if (estimates[i].is_known && estimates[i].has_room)
                informed.push_back(all[i]);
        const auto owner =
            informed.empty()
                ? remembered
                : entry.board.choose_among(informed, {}, from, now);
        auto& chosen = state[owner->rpc];
        const bool counts = ms > 3'000; // ignores the warm-up
        calls += counts ? 1 : 0;
        entry.board.started(owner->rpc);
        if (chosen.running >= slots)
        {
            refused += counts ? 1 : 0;
            entry.board.ended(owner->rpc,
                              {target_call_outcome::refused, milliseconds(3),
                               report_of(owner->rpc), work, 0},
                              now);
            continue;
        }
        ++chosen.running;
        run_ms += counts ? chosen.run_ms : 0;
        const auto took = milliseconds(
            static_cast<std::int64_t>(chosen.run_ms * (0.5 + random.unit())));
        ends.emplace(now + took, end{&entry, owner->rpc, took});
    }
    return {static_cast<double>(refused) / calls, run_ms / (calls - refused)};
}

} // namespace

TEST_CASE("with load queries fewer calls meet a full owner")
{
    const auto asking = simulate_service(true, 0.85);
    const auto without = simulate_service(false, 0.85);
    CAPTURE(asking.refused, without.refused);
    CHECK(without.refused > 0.15);
    CHECK(asking.refused < without.refused / 2);
}

TEST_CASE("at low load entries with load queries still choose the fast targets")
{
    const auto asking = simulate_service(true, 0.3);
    const auto without = simulate_service(false, 0.3);
    CAPTURE(asking.run_ms, without.run_ms);
    CHECK(asking.run_ms < without.run_ms * 1.1);
}
