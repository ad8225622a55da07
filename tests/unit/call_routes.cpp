#include "tillerhall/routing/call_routes.hpp"
#include "tillerhall/routing/objectives_in_use.hpp"
#include "tillerhall/routing/share_sequence.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace tillerhall;

namespace
{

call_route route_to(const std::string& name,
                    const std::string& host,
                    const std::string& prefix)
{
    call_route route;
    route.name = name;
    route.host = host;
    route.path_prefix = prefix;
    route.shares = {{"s-" + name, 1}};
    route.timeout = milliseconds(1000);
    return route;
}

call_routes_ptr built(std::vector<call_route> routes)
{
    const auto made = call_routes::build(1, std::move(routes), {});
    REQUIRE(made);
    return *made;
}

/** The expected result of `find`, by a linear search. */
const call_route* linear_find(const call_routes& routes,
                              const std::string& host,
                              const std::string& path)
{
    const call_route* best = nullptr;
    for (const auto& each : routes.routes())
        if (each.host == host && path.starts_with(each.path_prefix) &&
            (best == nullptr ||
             each.path_prefix.size() > best->path_prefix.size()))
            best = &each;
    return best;
}

std::string random_path(int max_parts)
{
    std::string path = "/";
    const auto parts = *rc::gen::inRange(0, max_parts);
    for (int i = 0; i < parts; ++i)
        path +=
            std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))) +
            "/";
    return path;
}

} // namespace

TEST_CASE("the route with the longest prefix of host and path is found")
{
    rc::prop("matches a linear search",
             []
             {
                 std::map<std::string, call_route> made;
                 const auto count = *rc::gen::inRange(0, 12);
                 for (int i = 0; i < count; ++i)
                 {
                     const auto host =
                         "h" + std::to_string(*rc::gen::inRange(0, 2));
                     const auto prefix = random_path(4);
                     made[host + prefix] =
                         route_to(std::to_string(i), host, prefix);
                 }
                 std::vector<call_route> list;
                 for (const auto& each : made)
                     list.push_back(each.second);
                 const auto routes = built(list);
                 const auto path = random_path(5) + "leaf";
                 RC_ASSERT(routes->find("h0", path) ==
                           linear_find(*routes, "h0", path));
             });
}

TEST_CASE(
    "port, case and query are ignored; other hosts and paths do not match")
{
    const auto routes = built({route_to("a", "Shop.Example", "/x/")});
    CHECK(routes->find("shop.example:8080", "/x/y?to=/z/") != nullptr);
    CHECK(routes->find("SHOP.EXAMPLE", "/x/") != nullptr);
    CHECK(routes->find("shop.example", "/x") == nullptr);
    CHECK(routes->find("shop.example", "/y/x/") == nullptr);
    CHECK(routes->find("other.example", "/x/y") == nullptr);
    CHECK(routes->find("", "") == nullptr);
}

TEST_CASE("one invalid route makes the whole version invalid")
{
    struct bad_route
    {
        const char* what;
        std::function<void(call_route&)> spoil;
    };
    const std::vector<bad_route> table{
        {"no host", [](call_route& r) { r.host.clear(); }},
        {"prefix without end", [](call_route& r) { r.path_prefix = "/x"; }},
        {"prefix without begin", [](call_route& r) { r.path_prefix = "x/"; }},
        {"no timeout", [](call_route& r) { r.timeout = milliseconds(0); }},
        {"no target", [](call_route& r) { r.max_targets = 0; }},
        {"no service", [](call_route& r) { r.shares.clear(); }},
        {"no weight",
         [](call_route& r) {
             r.shares = {{"s", 0}, {"t", 0}};
         }},
        {"stands twice", [](call_route& r) { r.path_prefix = "/good/"; }},
    };
    for (const auto& each : table)
    {
        auto bad = route_to("bad", "h", "/bad/");
        each.spoil(bad);
        const auto made =
            call_routes::build(2, {route_to("good", "h", "/good/"), bad}, {});
        INFO(each.what);
        CHECK_FALSE(made);
        CHECK(made.reason().detail().find("\"bad\"") != std::string::npos);
    }
}

TEST_CASE("weights are kept over short spans")
{
    rc::prop("100 consecutive calls deviate by less than 4",
             []
             {
                 call_route route = route_to("r", "h", "/");
                 const auto first = *rc::gen::inRange<std::uint32_t>(1, 99);
                 route.shares = {{"a", first}, {"b", 100 - first}};
                 share_sequence shares(*rc::gen::inRange(0, 1000) / 1000.0);
                 const auto skipped = *rc::gen::inRange(0, 500);
                 for (int i = 0; i < skipped; ++i)
                     shares.next(route);
                 int to_a = 0;
                 for (int i = 0; i < 100; ++i)
                     to_a += shares.next(route) == "a" ? 1 : 0;
                 RC_ASSERT(std::abs(to_a - static_cast<int>(first)) < 4);
             });
}

TEST_CASE("a share of weight 0 gets no call")
{
    auto route = route_to("r", "h", "/");
    route.shares = {{"a", 0}, {"b", 3}};
    share_sequence shares(0.5);
    for (int i = 0; i < 1000; ++i)
        CHECK(shares.next(route) == "b");
}

TEST_CASE("short calls are recognized by the objectives in use")
{
    objectives_in_use seen;
    CHECK(seen.longest() == milliseconds(0));
    for (int i = 0; i < 90; ++i)
        seen.count_call(milliseconds(i % 3 == 0 ? 250 : 60));
    CHECK(seen.longest() == milliseconds(250));
    CHECK(seen.is_short(milliseconds(60)));
    CHECK_FALSE(seen.is_short(milliseconds(150)));
}

TEST_CASE("the objective of a route with hardly any calls does not count")
{
    objectives_in_use seen;
    for (int i = 0; i < 5'000; ++i)
        seen.count_call(milliseconds(i % 100 == 0 ? 1'000 : 250));
    CHECK(seen.longest() == milliseconds(250));
    CHECK_FALSE(seen.is_short(milliseconds(250)));
    // With more calls it counts, and older calls lose weight.
    for (int i = 0; i < 5'000; ++i)
        seen.count_call(milliseconds(1'000));
    CHECK(seen.is_short(milliseconds(250)));
}
