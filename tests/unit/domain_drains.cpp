/** @file Drained failure domains, in the view of entries. */
#include "tillerhall/control/routes_update.hpp"
#include "tillerhall/routing/service_targets.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

member member_at(std::uint16_t port, const std::string& domain)
{
    member made;
    made.rpc = {"127.0.0.1", port};
    made.service = "perceel";
    made.place = {"r", domain};
    return made;
}

} // namespace

TEST_CASE("entries choose no target of a drained domain")
{
    member_list members(member_at(1, "a"));
    members.merge(member_at(2, "b"));
    members.merge(member_at(3, "c"));
    const domain_drains drains({"b", "nowhere"}, 7);
    const service_targets view(members, {}, drains);
    REQUIRE(view.of("perceel").size() == 2);
    for (const auto& each : view.of("perceel"))
        CHECK(each->place.domain != "b");
    CHECK(view.leaving("perceel").empty());
    CHECK(view.live_members() == 3);
}

TEST_CASE("the last domain of a service can be drained, too")
{
    member_list members(member_at(1, "a"));
    const service_targets view(members, {}, domain_drains({"a"}, 1));
    CHECK(view.of("perceel").empty());
}

TEST_CASE("a routes update contains the drained domains")
{
    routes_update update;
    update.reader = "127.0.0.1:1";
    update.drained = {"a", "b"};
    CHECK(routes_update_from_json(to_json(update)).drained == update.drained);
    update.drained.clear();
    CHECK(routes_update_from_json(to_json(update)).drained.empty());
}
