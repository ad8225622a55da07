/** @file Nodes whose way to newer routes is disturbed, judged by their calls.
 */
#include "route_versions.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

// After a fault a node has to be in touch again.
constexpr std::chrono::seconds contact(3);

/** Three domains of three hosts; each node has its own links to the store and
 * for control messages. */
struct linked_domains : mesh_system
{
    explicit linked_domains(worker& on)
        : mesh_system(on,
                      {"beurs", "beurs", "beurs", "schuur", "schuur", "schuur",
                       "beurs", "beurs", "schuur"})
        , versions(*this)
    {
        use_deployed_heartbeats();
        link_stores();
        link_rpc();
        link_peers();
        versions.put();
        start();
        REQUIRE(wait_until([&] { return readers().size() == 3; }));
    }

    /** All open connections of nodes to the store and to each other. */
    void silence_connections()
    {
        for (auto& each : hosts())
            for (auto* link : {each.store_link, each.rpc_link, each.peer_link})
                link->silence_open();
    }

    bool is_reader(mesh_host& host)
    {
        return metrics_of(host).find(
                   "tillerhall_store_duty{duty=\"speak\"} 1") !=
               std::string::npos;
    }

    /** @return the hosts whose nodes read the store for their domains. */
    std::vector<mesh_host*> readers()
    {
        std::vector<mesh_host*> found;
        for (auto& each : hosts())
            if (is_reader(each))
                found.push_back(&each);
        return found;
    }

    /** @return what shows at nodes that run that the newest version is not in
     * force */
    std::vector<std::string> faults()
    {
        std::vector<std::string> found;
        for (std::size_t i = 0; i < hosts().size(); ++i)
            if (hosts()[i].node.is_running())
                found.push_back(versions.fault_at(i));
        std::erase(found, "");
        return found;
    }

    route_versions versions;
};

} // namespace

TEST_CASE("nodes do not wait on one silent connection after the other")
{
    on_worker(
        [](worker& on)
        {
            linked_domains system(on);
            for (int round = 0; round < 6; ++round)
            {
                sleep_for(on.io(), std::chrono::seconds(2));
                system.versions.put();
                system.silence_connections();
                sleep_for(on.io(), contact);
                CHECK(system.faults() == std::vector<std::string>());
            }
        });
}

TEST_CASE("new readers do not wait on connections silent since long ago")
{
    on_worker(
        [](worker& on)
        {
            linked_domains system(on);
            sleep_for(on.io(), std::chrono::seconds(2));
            const auto readers = system.readers();
            for (auto& each : system.hosts())
                if (std::ranges::find(readers, &each) == readers.end())
                    each.store_link->silence_open();
            sleep_for(on.io(), contact);
            for (auto* each : readers)
                each->node.kill();
            system.versions.put();
            sleep_for(on.io(), route_versions::bound);
            CHECK(system.faults() == std::vector<std::string>());
        });
}

TEST_CASE("a node that may lack a version does not answer 404")
{
    on_worker(
        [](worker& on)
        {
            linked_domains system(on);
            auto& host = system.hosts().front();
            const auto status = [&]
            { return system.call(host, "x", "/none/x").status; };
            CHECK(status() == 404);
            for (auto* link : {host.store_link, host.rpc_link})
                link->set_held(link_direction::to_server, true);
            for (auto& each : system.hosts())
                each.rpc_link->set_held(link_direction::to_server, true);
            REQUIRE(system.wait_until([&] { return status() == 503; }));
            CHECK_FALSE(system.call(host, "y", "/none/x").retry_after.empty());
            CHECK(system.call(host, "z", "/sales/x").status == 200);
            host.store_link->set_held(link_direction::to_server, false);
            CHECK(system.wait_until([&] { return status() == 404; }));
        });
}

TEST_CASE("logs and metrics tell the version, its age and the build")
{
    on_worker(
        [](worker& on)
        {
            linked_domains system(on);
            auto& host = system.hosts().front();
            CHECK(system.call(host, "lost-1", "/lost/x").status == 404);
            CHECK(system.metrics_of(host).find("tillerhall_routes_age_ms") !=
                  std::string::npos);
            for (auto& each : system.hosts())
                each.store_link->set_held(link_direction::to_client, true);
            const auto has_line = [&](const std::string& event)
            { return !system.lines_of(host, event).empty(); };
            CHECK(system.wait_until(
                [&] { return has_line("routes_unconfirmed"); }));
            const auto refused = system.lines_of(host, "no_route");
            REQUIRE(refused.size() == 1);
            CHECK(refused.front().at("id") == "lost-1");
            CHECK(refused.front().at("routes") == 1);
            CHECK(refused.front().at("routes_age_ms").as_int64() <
                  to_ms(route_versions::bound));
            for (const auto& each : system.lines_of(host, ""))
                CHECK(each.contains("build"));
        });
}
