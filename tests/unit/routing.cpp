#include "generators.hpp"
#include "tillerhall/http/fields.hpp"
#include "tillerhall/routing/route_view.hpp"
#include "tillerhall/routing/target_board.hpp"

#include <map>

using namespace tillerhall;
namespace http = boost::beast::http;

namespace
{

member make_member(std::uint16_t port, const std::string& domain)
{
    member made;
    made.rpc = {"127.0.0.1", port};
    made.peer = made.caller = made.operators = made.target = made.rpc;
    made.place = {"r", domain};
    made.service = "s";
    made.incarnation = 1;
    return made;
}

config_table weights(std::int64_t first, std::int64_t second)
{
    row left;
    left.key = {"s", "a"};
    left.weight = first;
    row right;
    right.key = {"s", "b"};
    right.weight = second;
    return config_table({left, right});
}

route_view make_routes(std::int64_t first, std::int64_t second)
{
    member_list list(make_member(1, "a"));
    for (std::uint16_t port = 2; port <= 6; ++port)
        list.merge(make_member(port, port % 2 == 0 ? "b" : "a"));
    return route_view(
        table_view_ptr(new table_view(1, "d", 0, weights(first, second))),
        list);
}

} // namespace

TEST_CASE("routes name only targets of the member list that take calls")
{
    rc::prop("routes within members",
             [](const std::vector<member>& members, const config_table& table)
             {
                 member_list list(make_member(99, "a"));
                 for (const auto& each : members)
                     list.merge(each);
                 const route_view routes(
                     table_view_ptr(new table_view(1, "d", 0, table)), list);
                 for (const auto& service : table.services())
                     for (const auto& place : routes.find(service)->places)
                         for (const auto& target : place.targets)
                         {
                             const auto* known = list.find(target->rpc);
                             RC_ASSERT(known != nullptr);
                             RC_ASSERT(takes_calls(*known));
                             RC_ASSERT(known->service == service);
                         }
             });
}

TEST_CASE("every policy obeys weights and chooses no target twice for a call")
{
    for (const auto* policy : policies())
    {
        target_board board(*policy, 5);
        const auto routes = make_routes(75, 25);
        const auto now = steady_clock::now();
        std::map<std::string, int> places;
        for (int i = 0; i < 4000; ++i)
            ++places[board.choose(routes, "s", {}, now)->owner->place.domain];
        CHECK(places["a"] > 2850);
        CHECK(places["a"] < 3150);
        const auto closed = make_routes(0, 1);
        for (int i = 0; i < 100; ++i)
            CHECK(board.choose(closed, "s", {}, now)->owner->place.domain ==
                  "b");
        std::vector<address> tried;
        while (const auto next = board.choose(routes, "s", tried, now))
        {
            CHECK(std::ranges::find(tried, next->owner->rpc) == tried.end());
            tried.push_back(next->owner->rpc);
        }
        CHECK(tried.size() == 6);
        CHECK_FALSE(board.choose(routes, "other", {}, now));
    }
}

TEST_CASE("two_choices avoids a slow and a failing target")
{
    target_board board(**find_policy("two_choices"), 5);
    const auto routes = make_routes(1, 0);
    const auto now = steady_clock::now();
    const address slow{"127.0.0.1", 1};
    for (std::uint16_t port = 1; port <= 5; port += 2)
        for (int i = 0; i < 50; ++i)
        {
            const address node{"127.0.0.1", port};
            board.started(node);
            board.ended(node,
                        {target_call_outcome::good,
                         milliseconds(node == slow ? 100 : 2),
                         {},
                         {}},
                        now);
        }
    int to_slow = 0;
    for (int i = 0; i < 1000; ++i)
        to_slow += board.choose(routes, "s", {}, now)->owner->rpc == slow;
    CHECK(to_slow < 50);
    // If all targets fail, all are used.
    for (std::uint16_t port = 1; port <= 5; port += 2)
        for (int i = 0; i < 50; ++i)
            board.ended({"127.0.0.1", port},
                        {target_call_outcome::failed, milliseconds(1), {}, {}},
                        now);
    CHECK(board.choose(routes, "s", {}, now));
}

// Guards against targets that seem full because they refuse calls at random.
TEST_CASE("a refusal with free slots marks no target as full or failing")
{
    target_board board(**find_policy("two_choices"), 5);
    const auto routes = make_routes(1, 1);
    const auto now = steady_clock::now();
    for (std::uint16_t port = 1; port <= 6; ++port)
        for (int i = 0; i < 50; ++i)
            board.ended({"127.0.0.1", port},
                        {target_call_outcome::refused_with_room,
                         milliseconds(1),
                         {},
                         {}},
                        now);
    CHECK(board.has_room(routes, "s", {}, now));
    CHECK_FALSE(board.seems_full({"127.0.0.1", 1}, now));
}

TEST_CASE("there is no room for a retry if every other target is full")
{
    target_board board(**find_policy("two_choices"), 5);
    const auto routes = make_routes(1, 1);
    const auto now = steady_clock::now();
    const auto fill = [&](std::uint16_t port, double load)
    {
        board.ended({"127.0.0.1", port},
                    {target_call_outcome::refused, milliseconds(1), {load}, {}},
                    now);
    };
    CHECK(board.has_room(routes, "s", {}, now));
    for (std::uint16_t port = 1; port <= 6; ++port)
        fill(port, 3);
    CHECK_FALSE(board.has_room(routes, "s", {}, now));
    fill(4, 0.5);
    CHECK(board.has_room(routes, "s", {}, now));
    CHECK_FALSE(board.has_room(routes, "s", {{"127.0.0.1", 4}}, now));
    CHECK_FALSE(board.has_room(routes, "other", {}, now));
}

TEST_CASE("targets are compared by run times of the same class of work")
{
    target_board board(**find_policy("least_time"), 5);
    const work_class lookup{1, milliseconds(60), call_kind::repeatable};
    const work_class booking{1, milliseconds(250), call_kind::once};
    const auto now = steady_clock::now();
    const auto node = [](std::uint16_t port)
    {
        member made;
        made.rpc = {"127.0.0.1", port};
        return std::make_shared<const member>(made);
    };
    const std::vector<member_ptr> owners{node(1), node(2)};
    const auto ran = [&](std::uint16_t port, const work_class& work, double ms)
    {
        const address owner{"127.0.0.1", port};
        load_report report;
        report.load = 0.5;
        report.slots = 13;
        report.run_ms = ms;
        board.started(owner);
        board.ended(owner,
                    {target_call_outcome::good, milliseconds(20), report, work},
                    now);
    };
    // The first target gets the short lookups, but its bookings take longer.
    for (int i = 0; i < 20; ++i)
        ran(1, lookup, 16);
    ran(1, booking, 150);
    ran(2, booking, 90);
    for (int i = 0; i < 20; ++i)
    {
        const call_origin from{nullptr, nullptr, 0, booking};
        CHECK(board.choose_among(owners, {}, from, now)->rpc.port == 2);
    }
}

TEST_CASE(
    "large answers cross failure domains only if the gain exceeds the cost")
{
    target_board board(**find_policy("least_time"), 5);
    const work_class packs{2, milliseconds(250), call_kind::large_repeatable};
    const work_class reads{2, milliseconds(200), call_kind::repeatable};
    const auto now = steady_clock::now();
    const member_place here{"r", "here"};
    const auto node = [](std::uint16_t port, const member_place& at)
    {
        member made;
        made.rpc = {"127.0.0.1", port};
        made.place = at;
        return std::make_shared<const member>(made);
    };
    const std::vector<member_ptr> owners{node(1, here), node(2, {"r", "far"})};
    const auto ran = [&](std::uint16_t port, const work_class& work, double ms,
                         std::size_t answer_bytes)
    {
        const address owner{"127.0.0.1", port};
        load_report report;
        report.load = 0.1;
        report.slots = 13;
        report.run_ms = ms;
        board.started(owner);
        board.ended(owner,
                    {target_call_outcome::good, milliseconds(20), report, work,
                     answer_bytes},
                    now);
    };
    // The near target takes longer: that is worth the distance for a small
    // answer, but not for a large one.
    for (const auto& [work, bytes] : {std::pair{packs, std::size_t{90'000}},
                                      std::pair{reads, std::size_t{1'500}}})
    {
        ran(1, work, 200, bytes);
        ran(2, work, 60, bytes);
    }
    const auto chosen = [&](const work_class& work)
    {
        return board.choose_among(owners, {}, {&here, nullptr, 0, work}, now)
            ->rpc.port;
    };
    for (int i = 0; i < 20; ++i)
    {
        CHECK(chosen(packs) == 1);
        CHECK(chosen(reads) == 2);
    }
}

TEST_CASE("ambiguous framing is detected")
{
    request_head head;
    head.set(http::field::host, "perceel:80");
    CHECK(framing_fault(head).empty());
    CHECK(host_service(head) == "perceel");
    head.insert(http::field::content_length, "3");
    head.insert(http::field::transfer_encoding, "chunked");
    CHECK_FALSE(framing_fault(head).empty());
    head.erase(http::field::transfer_encoding);
    head.insert(http::field::content_length, "4");
    CHECK_FALSE(framing_fault(head).empty());
    head.erase(http::field::content_length);
    head.insert(http::field::transfer_encoding, "gzip, chunked");
    CHECK_FALSE(framing_fault(head).empty());
    head.erase(http::field::transfer_encoding);
    head.insert(http::field::host, "schuur");
    CHECK_FALSE(framing_fault(head).empty());
}

TEST_CASE("responses whose status or transfer coding is unknown are detected")
{
    response_head head;
    const auto fault_of =
        [&](unsigned status, http::verb method = http::verb::get)
    {
        head.result(status);
        return response_fault(head, method);
    };
    for (const unsigned status : {100U, 103U, 200U, 304U, 404U, 599U})
        CHECK(fault_of(status).empty());
    for (const unsigned status : {0U, 99U, 101U, 600U, 999U})
        CHECK_FALSE(fault_of(status).empty());
    for (const unsigned status : {100U, 103U, 199U})
    {
        head.result(status);
        CHECK(is_interim(head));
    }
    head.result(200);
    CHECK_FALSE(is_interim(head));
    head.set(http::field::transfer_encoding, "Chunked");
    CHECK(fault_of(200).empty());
    for (const auto* each : {"gzip", "gzip, chunked", "chunked, gzip",
                             "chunked, chunked", "identity", ""})
    {
        CAPTURE(each);
        head.set(http::field::transfer_encoding, each);
        CHECK_FALSE(fault_of(200).empty());
        CHECK_FALSE(fault_of(500).empty());
        // These have no body.
        CHECK(fault_of(200, http::verb::head).empty());
        CHECK(fault_of(304).empty());
    }
    head.set(http::field::transfer_encoding, "chunked");
    head.insert(http::field::transfer_encoding, "chunked");
    CHECK_FALSE(fault_of(200).empty());
}

TEST_CASE("hop-by-hop fields and fields of the mesh are not forwarded")
{
    request_head head;
    head.set(http::field::connection, "close, X-Private");
    head.set("X-Private", "1");
    head.set("X-Public", "1");
    head.set(field_name::caller, "forged");
    head.set(field_name::outcome, "not-run");
    remove_hop_fields(head);
    remove_mesh_fields(head);
    CHECK(std::distance(head.begin(), head.end()) == 1);
    CHECK(head.count("X-Public") == 1);
}
