/** @file Reports of servers that are not the target of the node.
 *
 * Guards against calls that are run by a server of another service, which was
 * started at the address of a target that has ended, or reports to a node that
 * is not its own. */
#include "mesh_system.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

struct three_hosts : mesh_system
{
    explicit three_hosts(worker& on)
        : mesh_system(on, {"perceel", "perceel", "perceel"})
    {
        configure(1,
                  {{"fields", "/fields/", "perceel"},
                   {"plots", "/plots/", "perceel", "unsafe"},
                   {"sales", "/sales/", "oogstbeurs"}},
                  "/health");
        start();
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "warm", "/fields/x").status == 200; }));
        // Retries are a share of the calls before.
        REQUIRE(call_all("first-", std::chrono::seconds(1)) == 0);
    }

    mesh_host& first() { return hosts()[0]; }
    reporting_target& target() { return *first().target; }
    unsigned report(reporting_target& from, const std::string& state)
    {
        return from.report(first().at["operators"], state);
    }

    /** Sends safe and unsafe calls for @p span. @return how many were not
     * answered with 200 */
    int call_all(const std::string& prefix, duration span)
    {
        int failed = 0;
        const auto end = steady_clock::now() + span;
        for (int i = 0; steady_clock::now() < end; ++i)
        {
            auto& from = hosts()[static_cast<std::size_t>(i) % hosts().size()];
            const auto id = prefix + std::to_string(i);
            const auto seen = i % 4 == 0 ? call(from, id, "/plots/x", "plot")
                                         : call(from, id, "/fields/x");
            if (seen.status != 200)
                UNSCOPED_INFO(id << ": " << seen.status);
            failed += seen.status == 200 ? 0 : 1;
            sleep_for(on().io(), milliseconds(10));
        }
        return failed;
    }

    /** @return the calls with @p prefix that reached @p target. */
    static std::ptrdiff_t calls_at(const reporting_target& target,
                                   const std::string& prefix)
    {
        return std::ranges::count_if(target.arrivals(),
                                     [&](const target_arrival& each)
                                     { return each.id.starts_with(prefix); });
    }
};

constexpr std::chrono::seconds span(1);

} // namespace

TEST_CASE("a server of another service at the address of a target that ended "
          "gets no calls")
{
    // One that no configuration names, and one that the configuration names.
    const std::string service = GENERATE("graanmolen", "oogstbeurs");
    CAPTURE(service);
    on_worker(
        [=](worker& on)
        {
            three_hosts system(on);
            auto& target = system.target();
            target.crash();
            target.restart("i-other");
            target.set_service(service);
            for (int i = 0; i < 3; ++i)
            {
                CHECK(system.report(target, "ready") == 421);
                CHECK(system.call_all("other-" + std::to_string(i), span) == 0);
            }
            CHECK(system.calls_at(target, "other-") == 0);
            // A later target of the node's own service gets calls.
            target.restart("i-next");
            target.set_service("perceel");
            CHECK(system.report(target, "ready") == 200);
            system.call_all("next-", span);
            CHECK(system.calls_at(target, "next-") > 0);
        });
}

TEST_CASE("reports of another server neither replace nor close a target")
{
    // Of another service, and of this one at another address.
    const std::string service = GENERATE("oogstbeurs", "perceel");
    // It has the id of the target, or its own.
    const std::string id = GENERATE("i-0", "i-other");
    CAPTURE(service, id);
    on_worker(
        [=](worker& on)
        {
            three_hosts system(on);
            auto& other = keep_for_fibers(
                std::make_shared<reporting_target>(on, id, service));
            CHECK(other.report(system.first().at["operators"], "ready", 99) ==
                  421);
            system.call_all("ready-", span);
            CHECK(system.calls_at(other, "ready-") == 0);
            CHECK(system.calls_at(system.target(), "ready-") > 0);
            CHECK(other.report(system.first().at["operators"], "draining",
                               100) == 421);
            system.call_all("draining-", span);
            CHECK(system.calls_at(system.target(), "draining-") > 0);
        });
}

TEST_CASE("a target is not used while another one answers at its address")
{
    // The other one has not reported yet, or reports somewhere else.
    on_worker(
        [](worker& on)
        {
            three_hosts system(on);
            auto& target = system.target();
            target.crash();
            target.restart("i-next");
            CHECK(system.call_all("silent-", span) == 0);
            // Requests that named the earlier target, and were not run.
            CHECK(target.misdirected() <= 5);
            CHECK(system.report(target, "ready") == 200);
            system.call_all("next-", span);
            CHECK(system.calls_at(target, "next-") > 0);
        });
}
