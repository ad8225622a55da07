#include "generators.hpp"
#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/membership/heartbeat_schedule.hpp"
#include "tillerhall/membership/rumor_queue.hpp"
#include "tillerhall/membership/suspicion.hpp"
#include "tillerhall/routing/service_targets.hpp"

#include <boost/json.hpp>
#include <set>

using namespace tillerhall;

namespace
{

member make_member(std::uint16_t port, const std::string& domain = "d")
{
    member made;
    made.rpc = {"127.0.0.1", port};
    made.peer = made.caller = made.operators = made.target = made.rpc;
    made.place = {"r", domain};
    made.service = "s";
    made.incarnation = 1;
    return made;
}

} // namespace

TEST_CASE("a node refutes a record of itself with any incarnation")
{
    // Guards against a row of another writer that excludes a node for good.
    rc::prop("whatever the incarnation",
             [](std::uint64_t offered_incarnation)
             {
                 const std::uint64_t own = 1'796'442'167'573;
                 member self;
                 self.rpc = {"10.0.0.1", 7400};
                 self.incarnation = own;
                 member odd = self;
                 odd.incarnation =
                     *rc::gen::element(offered_incarnation, UINT64_MAX,
                                       std::uint64_t{1} << 63, own, own + 1);
                 odd.state = member_state::dead;
                 member peer;
                 peer.rpc = {"10.0.0.2", 7400};
                 member_list own_list(self);
                 member_list peer_list(peer);
                 peer_list.merge(self);
                 peer_list.merge(odd);
                 own_list.merge(odd);
                 peer_list.merge(own_list.self());
                 RC_ASSERT(peer_list.find(self.rpc)->state ==
                           member_state::alive);
                 member_list late(peer);
                 late.merge(odd);
                 late.merge(own_list.self());
                 const auto* known = late.find(self.rpc);
                 RC_ASSERT(known != nullptr);
                 RC_ASSERT(known->state == member_state::alive);
             });
}

TEST_CASE("merging member records is independent of order and repetition")
{
    rc::prop("merges in any order give equal lists",
             [](std::vector<member> records, std::uint64_t seed)
             {
                 const auto self = make_member(100);
                 member_list first(self);
                 member_list second(self);
                 // Dead records of unknown nodes are ignored, so each node is
                 // added as alive first.
                 for (auto each : records)
                 {
                     each.state = member_state::alive;
                     each.incarnation = 0;
                     first.merge(each);
                     second.merge(each);
                 }
                 for (const auto& each : records)
                     first.merge(each);
                 random_source random(seed);
                 std::ranges::shuffle(records, random);
                 for (const auto& each : records)
                 {
                     second.merge(each);
                     second.merge(each);
                 }
                 RC_ASSERT(first.all() == second.all());
                 RC_ASSERT(first.digest() == second.digest());
             });
}

TEST_CASE("a member record round-trips through JSON; a malformed one is "
          "rejected")
{
    rc::prop("round trip",
             [](const member& sent)
             {
                 const auto read = member_from_json(
                     boost::json::parse(boost::json::serialize(to_json(sent))));
                 RC_ASSERT(read.has_value());
                 RC_ASSERT(*read == sent);
             });
    for (const auto* bad :
         {"1", "[]", R"(["x",1,1,1,"","","","",0,0,1])",
          R"(["1.1.1.1:1",1,1,1,"","","","1.1.1.1:1",9,0,1])"})
        CHECK_FALSE(member_from_json(boost::json::parse(bad)));
}

TEST_CASE("a node marked dead refutes, and its refutation supersedes")
{
    member_list own(make_member(1));
    member_list other(make_member(2));
    other.merge(own.self());
    other.accuse(own.self().rpc, member_state::dead);
    REQUIRE(other.find(own.self().rpc)->state == member_state::dead);
    CHECK(own.merge(*other.find(own.self().rpc)) == merge_result::refute);
    CHECK(own.self().state == member_state::alive);
    CHECK(other.merge(own.self()) == merge_result::changed);
    CHECK(other.find(own.self().rpc)->state == member_state::alive);
}

TEST_CASE("a new process at an address supersedes the old one")
{
    member_list list(make_member(1));
    auto old_process = make_member(2);
    old_process.incarnation = 10;
    list.merge(old_process);
    auto newer = old_process;
    newer.incarnation = 20;
    newer.service = "other";
    CHECK(list.merge(newer) == merge_result::changed);
    CHECK(list.merge(old_process) == merge_result::unchanged);
    CHECK(list.find(newer.rpc)->service == "other");
}

TEST_CASE("dead records are removed after their retention and not re-added")
{
    member_list list(make_member(1));
    const time_point start{};
    list.set_now(start);
    list.merge(make_member(2));
    list.accuse({"127.0.0.1", 2}, member_state::dead);
    const auto dead = *list.find({"127.0.0.1", 2});
    list.forget_dead(start);
    CHECK(list.find(dead.rpc) != nullptr);
    list.forget_dead(start + std::chrono::seconds(1));
    CHECK(list.find(dead.rpc) == nullptr);
    CHECK(list.merge(dead) == merge_result::unchanged);
    CHECK(list.find(dead.rpc) == nullptr);
    CHECK(list.services().contains("s"));
}

TEST_CASE(
    "a suspect is declared dead only after the timeout; an answer cancels "
    "it")
{
    member_list list(make_member(1));
    list.merge(make_member(2));
    const address node{"127.0.0.1", 2};
    suspicion detector({std::chrono::seconds(3)});
    const time_point start = steady_clock::now();
    CHECK(detector.failed(list, node, start));
    CHECK_FALSE(detector.failed(list, node, start));
    CHECK(list.find(node)->state == member_state::suspect);
    CHECK(detector.expire(list, start + std::chrono::seconds(2)).empty());
    detector.answered(node);
    auto refuted = *list.find(node);
    refuted.state = member_state::alive;
    ++refuted.incarnation;
    list.merge(refuted);
    CHECK(detector.expire(list, start + std::chrono::seconds(60)).empty());
    CHECK(detector.failed(list, node, start));
    CHECK(detector.expire(list, start + std::chrono::seconds(4)).size() == 1);
    CHECK(list.find(node)->state == member_state::dead);
}

TEST_CASE("the suspicion timeout grows when all of a node's own calls fail")
{
    member_list list(make_member(1));
    suspicion detector({std::chrono::seconds(1)});
    const time_point start = steady_clock::now();
    for (std::uint16_t port = 2; port < 8; ++port)
    {
        list.merge(make_member(port));
        detector.failed(list, {"127.0.0.1", port}, start);
    }
    CHECK(detector.expire(list, start + std::chrono::seconds(5)).empty());
    CHECK(detector.expire(list, start + std::chrono::seconds(9)).size() == 6);
}

TEST_CASE("heartbeats reach every member, dead ones included")
{
    member_list list(make_member(1));
    for (std::uint16_t port = 2; port < 12; ++port)
        list.merge(make_member(port));
    list.accuse({"127.0.0.1", 11}, member_state::dead);
    heartbeat_schedule schedule;
    random_source random(7);
    std::set<address> reached;
    for (int i = 0; i < 400; ++i)
        reached.insert(*schedule.next(list, random));
    CHECK(reached.size() == 10);
    CHECK(heartbeat_schedule::ring_successors(list).size() ==
          heartbeat_schedule::successors);
}

TEST_CASE("every node is a ring successor of another node")
{
    std::set<address> watched;
    for (std::uint16_t own = 1; own <= 20; ++own)
    {
        member_list list(make_member(own));
        for (std::uint16_t port = 1; port <= 20; ++port)
            list.merge(make_member(port));
        for (const auto& each : heartbeat_schedule::ring_successors(list))
            watched.insert(each);
    }
    CHECK(watched.size() == 20);
}

TEST_CASE("rumors are sent a bounded number of times in bounded messages")
{
    member_list list(make_member(1));
    rumor_queue rumors;
    for (std::uint16_t port = 2; port < 32; ++port)
    {
        list.merge(make_member(port));
        rumors.add({"127.0.0.1", port});
    }
    std::size_t sent = 0;
    int messages = 0;
    while (rumors.size() != 0 && messages < 1000)
    {
        const auto taken = rumors.take(list);
        CHECK(taken.size() <= rumor_queue::per_message);
        sent += taken.size();
        ++messages;
    }
    // std::bit_width(31 live members + 1) is 6.
    CHECK(sent == 30 * rumor_queue::repeat_factor * 6);
}

TEST_CASE("all nodes choose the same readers of each failure domain")
{
    std::size_t readers = 0;
    for (std::uint16_t own = 1; own <= 30; ++own)
    {
        const auto domain = [](std::uint16_t port)
        { return "d" + std::to_string(port % 3); };
        member_list list(make_member(own, domain(own)));
        for (std::uint16_t port = 1; port <= 30; ++port)
            list.merge(make_member(port, domain(port)));
        readers += is_reader(list, 2) ? 1 : 0;
    }
    CHECK(readers == 6);
}

TEST_CASE("departed targets reported by an earlier boot are kept")
{
    member before;
    before.rpc = {"127.0.0.1", 7};
    before.incarnation = 5;
    before.departed_targets = {"t1", "t2"};
    member after = before;
    after.incarnation = 90;
    after.departed_targets = {"t3"};
    member other;
    other.rpc = {"127.0.0.1", 8};

    member_list peer(other);
    peer.merge(before);
    peer.merge(after);
    const std::vector<std::string> all{"t1", "t2", "t3"};
    CHECK(peer.find(after.rpc)->departed_targets == all);

    // The new boot learns of them from an older record of its own.
    member_list own(after);
    CHECK(own.merge(before) == merge_result::changed);
    CHECK(own.self().departed_targets == all);
    CHECK(own.self().incarnation > after.incarnation);
    CHECK(own.merge(before) == merge_result::unchanged);
    CHECK(own.merge(*peer.find(after.rpc)) == merge_result::unchanged);
}

TEST_CASE("departed targets round-trip; records of the first format are read")
{
    member sent;
    sent.rpc = sent.peer = sent.caller = sent.operators = {"127.0.0.1", 7};
    sent.target = {"127.0.0.1", 9};
    sent.target_id = "t9";
    sent.departed_targets = {"t1", "t2"};
    const auto read = member_from_json(to_json(sent));
    REQUIRE(read);
    CHECK(*read == sent);
    // The first format has 11 fields.
    auto shorter = to_json(sent);
    shorter.as_array().resize(11);
    const auto old = member_from_json(shorter);
    REQUIRE(old);
    CHECK(old->target_id.empty());
}

TEST_CASE("a target whose node is in a planned stop is kept as a last resort")
{
    const auto node =
        [](std::uint8_t number, member_state state, target_state target)
    {
        auto made = make_member(number);
        made.service = "rare";
        made.state = state;
        made.target_is = target;
        return made;
    };
    member_list members(make_member(100));
    members.merge(node(1, member_state::alive, target_state::serving));
    members.merge(node(2, member_state::leaving, target_state::serving));
    // A draining target gets no calls, whatever the state of its node.
    members.merge(node(3, member_state::leaving, target_state::draining));
    members.merge(node(4, member_state::alive, target_state::draining));
    const service_targets view(members);
    REQUIRE(view.of("rare").size() == 1);
    CHECK(view.of("rare").front()->rpc == make_member(1).rpc);
    REQUIRE(view.leaving("rare").size() == 1);
    CHECK(view.leaving("rare").front()->rpc == make_member(2).rpc);
    CHECK(view.leaving("s").empty());
}
