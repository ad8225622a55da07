/** @file Routes that are large compared with the link to the store.
 *
 * Guards against nodes that stay on an older version because they give up
 * answers of the store while these arrive, or all ask for them at once. */
#include "mesh_system.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

// In force within this time after the link has transferred it.
constexpr std::chrono::seconds config_bound(2);
constexpr int route_count = 2'000;

/** Hosts in three domains, each with the same number, and many routes. */
struct large_routes : mesh_system
{
    large_routes(worker& on, std::size_t host_count)
        : mesh_system(on, std::vector<std::string>(host_count, "perceel"))
    {
        store_link(); // nodes connect through it
        routes.push_back({"fields", "/fields/", "perceel"});
        for (int i = 0; i < route_count; ++i)
        {
            const auto name = "unused-" + std::to_string(i);
            routes.push_back({name, "/" + name + "/", "perceel"});
        }
        configure(1, routes);
        start();
        for (auto& each : hosts())
            REQUIRE(wait_until([&] { return version_of(each) == 1; }));
    }

    int version_of(mesh_host& host)
    {
        const std::string name = "\ntillerhall_routes_version ";
        const auto metrics = metrics_of(host);
        const auto at = metrics.find(name);
        return at == std::string::npos
                   ? 0
                   : std::stoi(metrics.substr(at + name.size()));
    }

    bool all_have(int version)
    {
        return std::ranges::all_of(hosts(), [&](mesh_host& each)
                                   { return version_of(each) == version; });
    }

    /** @return bytes of one version in an answer of the store. */
    double version_bytes() const
    {
        constexpr double base64 = 4.0 / 3;
        return base64 * static_cast<double>(mesh_config(1, routes).size());
    }

    std::vector<mesh_route> routes;
};

} // namespace

TEST_CASE("a version that takes seconds to transfer takes effect")
{
    on_worker(
        [](worker& on)
        {
            constexpr double readers = 3;
            constexpr std::chrono::seconds transfer(3);
            large_routes system(on, 6);
            system.store_link().set_bytes_per_s(
                readers * system.version_bytes() / transfer.count());
            system.configure(2, system.routes);
            CHECK(system.wait_until([&] { return system.all_have(2); },
                                    transfer + config_bound));
        });
}

TEST_CASE("nodes leave a full link to the store to the readers of their domain")
{
    on_worker(
        [](worker& on)
        {
            constexpr std::size_t nodes = 24;
            constexpr int versions = 12;
            constexpr milliseconds interval(300);
            // A reader of each domain has time for one version in a second.
            constexpr double readers = 3;
            large_routes system(on, nodes);
            system.store_link().set_bytes_per_s(readers *
                                                system.version_bytes());
            for (int version = 2; version < 2 + versions; ++version)
            {
                system.configure(version, system.routes);
                sleep_for(on.io(), interval);
            }
            constexpr std::chrono::seconds last_transfers(2);
            CHECK(system.wait_until([&]
                                    { return system.all_have(1 + versions); },
                                    last_transfers + config_bound));
        });
}
