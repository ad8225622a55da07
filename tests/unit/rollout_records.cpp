/** @file Tests of roll-out records: merge, JSON, and the routing by them. */
#include "tillerhall/core/random.hpp"
#include "tillerhall/rollout/rollout_record.hpp"
#include "tillerhall/rollout/rollout_view.hpp"
#include "tillerhall/routing/service_targets.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

const time_point start{std::chrono::hours(1)};

rollout_record ordered(std::uint64_t revision,
                       const std::string& release = "v2")
{
    rollout_record made;
    made.order = {"perceel", release, milliseconds(16'000), revision};
    made.begun = start;
    made.stable = "v1";
    made.state = rollout_state::running;
    return made;
}

rollout_record random_record(random_source& random)
{
    auto made = ordered(random.below(3) + 1);
    made.order.release = "v" + std::to_string(made.order.revision + 1);
    made.state = static_cast<rollout_state>(random.below(4));
    made.stage = static_cast<rollout_stage>(random.below(5));
    if (random.below(2) == 0)
        made.regressed_targets = {"i-" + std::to_string(random.below(4))};
    return made;
}

std::string text_of(const rollout_record& record)
{
    return boost::json::serialize(to_json(record, start));
}

/** Members with one target each; odd ports have release v2, others v1. */
struct mesh_with_two_releases
{
    mesh_with_two_releases()
        : members(record(1, "v1"))
    {
        for (std::uint16_t port = 2; port <= 24; ++port)
            members.merge(record(port, port % 2 == 0 ? "v1" : "v2"));
    }

    static member record(std::uint16_t port, const std::string& release)
    {
        member made;
        made.rpc = {"127.0.0.1", port};
        made.service = "perceel";
        made.release = release;
        made.target_id = "i-" + std::to_string(port);
        made.incarnation = 1;
        return made;
    }

    service_targets view(const rollout_record& known) const
    {
        return service_targets(members,
                               rollout_view({{"perceel", known}}, {}, 0.1));
    }

    member_list members;
};

bool all_of_release(const std::vector<member_ptr>& members,
                    const std::string& release)
{
    return std::ranges::all_of(members, [&](const member_ptr& each)
                               { return each->release == release; });
}

} // namespace

TEST_CASE("records of roll-outs merge to the same in any order")
{
    random_source random(7);
    for (int round = 0; round < 300; ++round)
    {
        std::vector<rollout_record> all;
        for (int i = 0; i < 6; ++i)
            all.push_back(random_record(random));
        auto in_order = all.front();
        for (const auto& each : all)
            merge(in_order, each);
        std::ranges::shuffle(all, random);
        auto shuffled = all.front();
        for (const auto& each : all)
            merge(shuffled, each);
        // Closed releases depend on the orders that each record has met.
        in_order.closed.clear();
        shuffled.closed.clear();
        CHECK(text_of(in_order) == text_of(shuffled));
        CHECK_FALSE(merge(in_order, in_order));
    }
}

TEST_CASE("a state never goes back, and a newer order restarts it")
{
    auto known = ordered(5);
    auto rolled_back = ordered(5);
    rolled_back.state = rollout_state::rolled_back;
    CHECK(merge(known, rolled_back));
    CHECK_FALSE(merge(known, ordered(5)));
    CHECK(known.state == rollout_state::rolled_back);
    CHECK(is_closed(known, "v2"));
    CHECK_FALSE(merge(known, ordered(4)));
    CHECK(merge(known, ordered(9, "v3")));
    CHECK(known.state == rollout_state::running);
    CHECK(is_closed(known, "v2"));
    CHECK_FALSE(is_closed(known, "v3"));
    // A new order reopens a release.
    CHECK(merge(known, ordered(12, "v2")));
    CHECK_FALSE(is_closed(known, "v2"));
    CHECK(is_closed(known, "v3"));
}

TEST_CASE("a record survives JSON, and malformed ones throw")
{
    auto sent = ordered(5);
    sent.regressed_targets = {"i-1"};
    sent.closed = {"v0"};
    sent.reason = "why";
    const auto now = start + milliseconds(1'500);
    const auto text = to_json(sent, now);
    const auto later = now + milliseconds(700);
    const auto read = rollout_record_from_json(text, later);
    CHECK(read.begun == start + milliseconds(700));
    CHECK(text_of(read) != text_of(sent)); // differs by the time in transit
    CHECK(read.order.release == "v2");
    CHECK(read.regressed_targets == sent.regressed_targets);
    CHECK(read.closed == sent.closed);
    for (const auto* bad :
         {"7", "[]", R"(["s","v",1,1,-1,"",0,0,"",[],[]])",
          R"(["s","v",9223372036854775807,1,1,"",0,0,"",[],[]])",
          R"(["s","v",1,1,1,"",9,0,"",[],[]])",
          R"(["s","v",1,1,1,"",0,9,"",[],[]])", R"(["s","v",1,1,1,"",0,0])"})
        CHECK_THROWS(rollout_record_from_json(boost::json::parse(bad), now));
}

TEST_CASE("targets for calls follow the roll-out's state and stage")
{
    const mesh_with_two_releases mesh;
    auto known = ordered(5);

    known.state = rollout_state::unread;
    CHECK(mesh.view(known).canaries_of("perceel").members.empty());
    CHECK(all_of_release(mesh.view(known).of("perceel"), "v1"));

    known.state = rollout_state::running;
    const auto first = mesh.view(known);
    CHECK(first.of("perceel").size() == 13);
    CHECK(all_of_release(first.of("perceel"), "v1"));
    CHECK(first.canaries_of("perceel").members.size() == 3);
    CHECK(all_of_release(first.canaries_of("perceel").members, "v2"));
    CHECK(first.canaries_of("perceel").share == 0.05);

    known.stage = rollout_stage::loaded;
    const auto loaded = mesh.view(known);
    REQUIRE(loaded.canaries_of("perceel").members.size() == 1);
    known.regressed_targets = {
        loaded.canaries_of("perceel").members[0]->target_id};
    const auto after = mesh.view(known);
    REQUIRE(after.canaries_of("perceel").members.size() == 1);
    CHECK(after.canaries_of("perceel").members[0]->target_id !=
          known.regressed_targets[0]);

    known.stage = rollout_stage::half;
    CHECK(mesh.view(known).canaries_of("perceel").members.size() == 7);
    known.stage = rollout_stage::all;
    CHECK(mesh.view(known).of("perceel").size() == 11);
    CHECK(all_of_release(mesh.view(known).of("perceel"), "v2"));

    known.state = rollout_state::completed;
    CHECK(all_of_release(mesh.view(known).of("perceel"), "v2"));
    known.state = rollout_state::rolled_back;
    CHECK(all_of_release(mesh.view(known).of("perceel"), "v1"));
    CHECK(mesh.view(known).canaries_of("perceel").members.empty());
}

TEST_CASE("a release without an order gets the least share only")
{
    const mesh_with_two_releases mesh;
    const service_targets view(mesh.members,
                               rollout_view({}, {{"perceel", "v2"}}, 0.1));
    CHECK(all_of_release(view.of("perceel"), "v2"));
    CHECK(all_of_release(view.canaries_of("perceel").members, "v1"));
    CHECK(view.canaries_of("perceel").share == 0.05);
    // A node that has just started takes the release of most targets as stable.
    const service_targets without_view(mesh.members);
    CHECK(all_of_release(without_view.of("perceel"), "v1"));
    CHECK(without_view.canaries_of("perceel").members.size() == 3);
}

TEST_CASE("the only release of a service gets its calls without an order")
{
    member_list members(mesh_with_two_releases::record(1, "v3"));
    CHECK(service_targets(members).of("perceel").size() == 1);
    auto rolled_back = ordered(5);
    rolled_back.state = rollout_state::rolled_back;
    const rollout_view known({{"perceel", rolled_back}}, {}, 0.1);
    CHECK(service_targets(members, known).of("perceel").size() == 1);
    // But not one that was rolled back, nor a canary.
    member_list bad(mesh_with_two_releases::record(1, "v2"));
    CHECK(service_targets(bad, known).of("perceel").empty());
    const rollout_view running({{"perceel", ordered(5)}}, {}, 0.1);
    CHECK(service_targets(bad, running).of("perceel").empty());
}
