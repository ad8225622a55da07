/** @file Quarantine of calls under which targets crashed. */
#include "reported_crashes.hpp"

#include "tillerhall/core/random.hpp"
#include "tillerhall/proxy/recent_runs.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <set>

using namespace tillerhall;

TEST_CASE("a call is quarantined after the second crash of a target under it")
{
    reported_crashes mesh(4);
    CHECK(mesh.view().empty());
    mesh.report(2, crash_of({"a", "b"}));
    CHECK_FALSE(mesh.view().quarantine_of("a", {}, now_ms));
    mesh.report(3, crash_of({"a", "c"}));
    CHECK(mesh.view().quarantine_of("a", {}, now_ms)->left ==
          poison_calls::first_quarantine);
    CHECK_FALSE(mesh.view().quarantine_of("b", {}, now_ms));
    CHECK_FALSE(mesh.view().quarantine_of("c", {}, now_ms));
    CHECK_FALSE(mesh.view().quarantine_of("another", {}, now_ms));
}

TEST_CASE("a successful run clears a call of earlier crashes")
{
    reported_crashes mesh(5);
    mesh.report(2, crash_of({"a"}));
    mesh.report(3, crash_of({"a"}));
    mesh.report(4, good_run{"a", now_ms + 40});
    CHECK_FALSE(mesh.view().quarantine_of("a", {}, now_ms + 60));
    CHECK(mesh.view().empty());
    // Later crashes count.
    mesh.report(2, crash_of({"a"}, now_ms + minute_ms));
    CHECK_FALSE(mesh.view().quarantine_of("a", {}, now_ms + minute_ms));
    mesh.report(3, crash_of({"a"}, now_ms + minute_ms));
    CHECK(mesh.view().quarantine_of("a", {}, now_ms + minute_ms));
}

TEST_CASE(
    "two crashes at one owner count twice, one reported twice counts once")
{
    reported_crashes mesh(2);
    mesh.report(2, crash_of({"a"}, now_ms));
    mesh.report(2, crash_of({"a"}, now_ms));
    CHECK_FALSE(mesh.view().quarantine_of("a", {}, now_ms));
    mesh.report(2, crash_of({"a"}, now_ms + 4000));
    CHECK(mesh.view().quarantine_of("a", {}, now_ms + 4000));
}

TEST_CASE("crashes under the present attempt count before they are reported")
{
    reported_crashes mesh(4);
    const auto one = mesh.members.find({"127.0.0.1", 2})->rpc;
    const auto two = mesh.members.find({"127.0.0.1", 3})->rpc;
    CHECK_FALSE(mesh.view().quarantine_of("a", {one}, now_ms));
    CHECK(mesh.view().quarantine_of("a", {one, two}, now_ms));
    mesh.report(2, crash_of({"a"}));
    CHECK_FALSE(
        mesh.view().quarantine_of("a", {one}, now_ms)); // the same crash
    CHECK(mesh.view().quarantine_of("a", {two}, now_ms));
}

TEST_CASE("the quarantine grows with each round of crashes, up to a day")
{
    reported_crashes mesh(20);
    mesh.report(2, crash_of({"a"}));
    mesh.report(3, crash_of({"a"}, now_ms + 700)); // in the same round
    const auto first = mesh.view().quarantine_of("a", {}, now_ms + 700);
    REQUIRE(first);
    CHECK(first->rounds == 1);
    CHECK(first->left == poison_calls::first_quarantine);
    CHECK_FALSE(first->may_be_probed(false));
    const auto expired = now_ms + 700 + 10 * minute_ms;
    CHECK(mesh.view().quarantine_of("a", {}, expired)->may_be_probed(false));
    // The probe crashed another target.
    mesh.report(4, crash_of({"a"}, expired));
    const auto second = mesh.view().quarantine_of("a", {}, expired);
    CHECK(second->rounds == 2);
    CHECK(second->left == 2 * poison_calls::first_quarantine);
    for (std::uint16_t port = 5; port <= 20; ++port)
        mesh.report(port, crash_of({"a"}, expired + port * minute_ms));
    const auto last = expired + 20 * minute_ms;
    CHECK(mesh.view().quarantine_of("a", {}, last)->left ==
          poison_calls::longest_quarantine);
}

TEST_CASE("a call that succeeded before is probed early, but only once")
{
    reported_crashes mesh(4);
    mesh.report(2, crash_of({"a"}));
    mesh.report(3, crash_of({"a"}));
    const auto early = now_ms + 5000;
    CHECK_FALSE(
        mesh.view().quarantine_of("a", {}, early - 1)->may_be_probed(true));
    CHECK(mesh.view().quarantine_of("a", {}, early)->may_be_probed(true));
    CHECK_FALSE(
        mesh.view().quarantine_of("a", {}, early)->may_be_probed(false));
    mesh.report(4, crash_of({"a"}, early + 100)); // the probe
    CHECK_FALSE(mesh.view()
                    .quarantine_of("a", {}, early + 60'000)
                    ->may_be_probed(true));
}

TEST_CASE("every node selects the same owner to probe a call")
{
    std::vector<member_ptr> owners;
    for (std::uint16_t port = 1; port <= 6; ++port)
        owners.push_back(std::make_shared<const member>(owner_at(port)));
    std::set<address> chosen;
    for (int i = 0; i < 100; ++i)
    {
        const auto call = "call-" + std::to_string(i);
        const auto owner = probe_owner(owners, call);
        auto reversed = owners;
        std::ranges::reverse(reversed);
        CHECK(probe_owner(reversed, call) == owner);
        chosen.insert(owner->rpc);
    }
    CHECK(chosen.size() == owners.size());
    CHECK(probe_owner({}, "a") == nullptr);
}

TEST_CASE("a crash in the future of the local clock has age zero")
{
    reported_crashes mesh(3);
    mesh.report(2, crash_of({"a"}, now_ms + 5000));
    mesh.report(3, crash_of({"a"}, now_ms + 5000));
    CHECK(mesh.view().quarantine_of("a", {}, now_ms)->left ==
          poison_calls::first_quarantine);
}

TEST_CASE("a known fingerprint is found by its first half")
{
    reported_crashes mesh(2);
    mesh.report(2, crash_of({"0123456789abcdef.fedcba9876543210"}));
    CHECK(mesh.view().knows_head("0123456789abcdef"));
    CHECK_FALSE(mesh.view().knows_head("0123456789abcdee"));
    CHECK_FALSE(mesh.view().knows_head("ffffffffffffffff"));
}

TEST_CASE("a newly quarantined call is listed once")
{
    reported_crashes mesh(4);
    mesh.report(2, crash_of({"a", "b"}));
    const auto before = mesh.view();
    mesh.report(3, crash_of({"a"}));
    const auto after = mesh.view();
    CHECK(after.newly_quarantined(before, now_ms) ==
          std::vector<std::string>{"a"});
    CHECK(after.newly_quarantined(after, now_ms).empty());
}

TEST_CASE("crashes are kept when the reporting node restarts")
{
    reported_crashes mesh(2);
    mesh.report(2, crash_of({"a"}, now_ms));
    auto rebooted = owner_at(2);
    rebooted.incarnation = 100; // has no record of the crash yet
    mesh.members.merge(rebooted);
    mesh.report(2, crash_of({"a"}, now_ms + 9000));
    CHECK(mesh.view().quarantine_of("a", {}, now_ms + 9000));
    // The restarted node reads them from its stored row.
    member_list own(rebooted);
    auto row = owner_at(2);
    add_target_crashes(row, {crash_of({"a"}, now_ms)});
    own.merge(row);
    CHECK(own.self().target_crashes.size() == 1);
}

TEST_CASE(
    "the newest four crashes of a target are kept, in any order of arrival")
{
    std::vector<target_crash> ends;
    for (std::uint64_t i = 0; i < 9; ++i)
        ends.push_back(crash_of({"c" + std::to_string(i)}, now_ms + i));
    random_source random(7);
    for (int round = 0; round < 20; ++round)
    {
        std::ranges::shuffle(ends, random);
        member changed;
        for (const auto& each : ends)
            add_target_crashes(changed, {each});
        REQUIRE(changed.target_crashes.size() == 4);
        CHECK(changed.target_crashes.front().at_ms == now_ms + 5);
        CHECK(changed.target_crashes.back().at_ms == now_ms + 8);
    }
}

TEST_CASE(
    "crashes and runs expire after a day and are not restored by other members")
{
    constexpr std::uint64_t day_ms = 24 * 60 * minute_ms;
    auto changed = owner_at(2);
    add_target_crashes(changed, {crash_of({"a"}, now_ms)});
    add_good_runs(changed, {good_run{"b", now_ms + 5}});
    member_list peer(owner_at(1));
    peer.merge(changed);
    CHECK_FALSE(forget_crash_evidence(changed, now_ms));
    CHECK(forget_crash_evidence(changed, now_ms + 1));
    CHECK(changed.target_crashes.empty());
    CHECK(changed.good_runs.size() == 1);
    // A recent crash is taken over from the known record, an expired one is
    // not.
    changed.incarnation = 5;
    peer.set_now({}, now_ms);
    peer.merge(changed);
    CHECK(peer.find(changed.rpc)->target_crashes.size() == 1);
    changed.incarnation = 6;
    peer.set_now({}, now_ms + day_ms);
    peer.merge(changed);
    CHECK(peer.find(changed.rpc)->target_crashes.empty());
}

TEST_CASE("crashes are encoded and decoded; records without them are unchanged")
{
    auto sent = owner_at(2);
    const auto plain = boost::json::serialize(to_json(sent));
    add_target_crashes(sent,
                       {crash_of({"a", "b.c"}), crash_of({}, now_ms + 1)});
    add_good_runs(sent, {good_run{"a", now_ms + 2}});
    const auto text = boost::json::serialize(to_json(sent));
    CHECK(*member_from_json(boost::json::parse(text)) == sent);
    // Nodes of the previous release read the part before the crashes.
    CHECK(text.starts_with(plain.substr(0, plain.size() - 1)));
    auto bad = boost::json::parse(text);
    bad.as_array()[14] = boost::json::parse(R"([["t","no number",[]]])");
    CHECK_FALSE(member_from_json(bad));
}

TEST_CASE(
    "a successful run is remembered until a target crashes under the call")
{
    const auto request_of = [](const std::string& path)
    { return whole_request(boost::beast::http::verb::get, path, 11); };
    recent_runs runs;
    CHECK_FALSE(runs.contain(request_of("/a")));
    runs.ran(request_of("/a"));
    CHECK(runs.contain(request_of("/a")));
    CHECK_FALSE(runs.contain(request_of("/b")));
    auto other_body = request_of("/a");
    other_body.body() = "x";
    CHECK_FALSE(runs.contain(other_body));
    runs.forget(request_of("/b"));
    CHECK(runs.contain(request_of("/a")));
    runs.forget(request_of("/a"));
    CHECK_FALSE(runs.contain(request_of("/a")));
}
