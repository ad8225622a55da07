/** @file Batched announcements in a mesh whose broadcasts take over two hops.
 *
 * Guards against overload when all nodes start at the same time and each
 * broadcasts its join and its target to all others.
 */
#include "mesh_system.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::size_t nodes = 14;
// A broadcast of fanout 2 reaches seven members in two hops.
const std::string small_fanout = "distribution:\n  fanout: 2\n";

struct batching_system : mesh_system
{
    explicit batching_system(worker& on)
        : mesh_system(on, services(), small_fanout)
    {
        configure(1, {{"fields", "/fields/", "perceel"},
                      {"sales", "/sales/", "beurs"}});
        start();
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "w", "/sales/w").status == 200; }));
    }

    /** @return the service of each host; the last host's is the only target of
     * its service. */
    static std::vector<std::string> services()
    {
        std::vector<std::string> all(nodes, "perceel");
        all.back() = "beurs";
        return all;
    }

    /** @return the number of announcements that the node has received. */
    std::uint64_t announcements(mesh_host& host)
    {
        const auto metrics = "\n" + metrics_of(host);
        const std::string name = "\ntillerhall_member_news_total ";
        const auto found = metrics.find(name);
        // The counter is exported from the first message on.
        return found == std::string::npos
                   ? 0
                   : std::stoull(metrics.substr(found + name.size()));
    }
};

} // namespace

TEST_CASE("a simultaneous start sends each node few announcements")
{
    on_worker(
        [](worker& on)
        {
            batching_system system(on);
            // The mesh has converged; now all but the last node restart.
            const auto last = nodes - 1;
            const auto before = system.announcements(system.hosts()[last]);
            for (std::size_t i = 0; i < last; ++i)
                system.hosts()[i].node.kill();
            for (std::size_t i = 0; i < last; ++i)
                system.start_node(system.hosts()[i]);
            for (std::size_t i = 0; i < last; ++i)
            {
                auto& host = system.hosts()[i];
                host.target->report(host.at["operators"], "ready");
            }
            for (auto& from : system.hosts())
                REQUIRE(system.wait_until(
                    [&] {
                        return system.call(from, "s", "/fields/s").status ==
                               200;
                    }));
            sleep_for(on.io(), std::chrono::seconds(1));
            const auto after = system.announcements(system.hosts()[last]);
            // Without batching: two broadcasts per node, for join and target.
            CHECK(after > before);
            CHECK(after - before <= last);
        });
}

TEST_CASE("announcements are delivered when the batching member is gone")
{
    on_worker(
        [](worker& on)
        {
            batching_system system(on);
            // One of these is the batching member of the last host's domain.
            for (std::size_t i = 0; i + 1 < nodes; ++i)
                if (system.hosts()[i].domain == system.hosts().back().domain)
                    system.hosts()[i].node.kill();
            auto& host = system.hosts().back();
            host.target->restart("i-next");
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            auto& from = system.hosts().front();
            auto& other = from.domain == host.domain ? system.hosts()[1] : from;
            CHECK(system.wait_until(
                [&]
                { return system.call(other, "n", "/sales/n").status == 200; }));
            CHECK(host.target->report(host.at["operators"], "draining") == 200);
            const auto runs = host.target->runs().size();
            for (int i = 0; i < 10; ++i)
                system.call(other, "d-" + std::to_string(i), "/sales/d");
            CHECK(host.target->runs().size() == runs);
        });
}
