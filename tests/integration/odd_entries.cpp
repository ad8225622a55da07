/** @file Entries of other writers that are malformed or hold absurd values, in
 * the store and in targets' reports.
 *
 * Guards against nodes that end, stop following the store, or exclude a live
 * node or target for good. */
#include "route_versions.hpp"

#include <array>

using namespace tillerhall;
using namespace tillerhall::harness;
namespace json = boost::json;

namespace
{

const std::string deep(100'000, '[');

/** Values that take the place of a field. */
json::array odd_values()
{
    json::value nested = 1;
    for (int i = 0; i < 30; ++i)
        nested = json::array{std::move(nested)};
    return {nullptr,
            std::numeric_limits<std::int64_t>::max(),
            std::numeric_limits<std::int64_t>::min(),
            std::numeric_limits<std::uint64_t>::max(),
            1e300,
            -1,
            0.5,
            "",
            "127.0.0.1:70000",
            json::string(60'000, 'x'),
            json::object{{"a", 1}},
            json::array(),
            nested};
}

/** Texts that take the place of a whole entry. */
std::vector<std::string> odd_texts()
{
    return {"",
            "null",
            "7",
            "\"x\"",
            "{}",
            "[]",
            deep,
            "{\"a\":" + deep,
            std::string("\0\xff", 2)};
}

/** Returns @p entry with each member or element replaced in turn. */
std::vector<std::string> variants(const json::value& entry)
{
    std::vector<std::string> made = odd_texts();
    for (const auto& odd : odd_values())
    {
        if (const auto* members = entry.if_object())
            for (const auto& each : *members)
            {
                auto changed = *members;
                changed[each.key()] = odd;
                made.push_back(json::serialize(changed));
            }
        if (const auto* cells = entry.if_array())
            for (std::size_t i = 0; i < cells->size(); ++i)
            {
                auto changed = *cells;
                changed[i] = odd;
                made.push_back(json::serialize(changed));
            }
    }
    return made;
}

struct odd_system : mesh_system
{
    explicit odd_system(worker& on)
        : mesh_system(on,
                      {"beurs", "schuur", "beurs", "schuur", "beurs", "schuur"})
        , versions(*this)
    {
        versions.put();
        start();
        REQUIRE(wait_until(
            [&]
            { return store().values("members").size() == hosts().size(); }));
    }

    /** Checks that all nodes run, follow the store, serve calls on all targets
     * and can be started. */
    void check_service()
    {
        versions.put();
        sleep_for(on().io(), route_versions::bound);
        for (std::size_t i = 0; i < hosts().size(); ++i)
        {
            CHECK(hosts()[i].node.is_running());
            CHECK(versions.fault_at(i).empty());
            CHECK(
                call(hosts()[i], "s-" + std::to_string(i), "/sales/x").status ==
                200);
        }
        auto& host = hosts().back();
        host.node.kill();
        start_node(host);
        CHECK(wait_until([&] { return is_ready(host); }));
        host.target->report(host.at["operators"], "ready");
        for (std::size_t i = 0; i < hosts().size(); ++i)
            CHECK(wait_until([&] { return gets_calls(i); },
                             std::chrono::seconds(8)));
    }

    /** @return whether the other entry of its domain sends calls to the target
     * of host @p index. */
    bool gets_calls(std::size_t index)
    {
        auto& host = hosts()[index];
        auto& entry = hosts()[(index + 3) % hosts().size()];
        return call(entry, "g-" + std::to_string(++m_calls),
                    host.service == "beurs" ? "/sales/x" : "/stock/x")
                   .target_id == host.target->id();
    }

    route_versions versions;

private:
    int m_calls = 0;
};

} // namespace

TEST_CASE("odd rows of members neither end nodes nor exclude any")
{
    on_worker(
        [](worker& on)
        {
            odd_system system(on);
            const auto rows = system.store().values("members");
            for (const auto& [key, value] : rows)
                for (const auto& odd : variants(json::parse(value)))
                {
                    system.store().put("members", "", key, odd);
                    system.store().put("members", "", "10.9.9.9:7", odd);
                    sleep_for(on.io(), milliseconds(2));
                }
            for (const auto& [key, value] : rows)
            {
                // Of a live member: any state, the latest incarnations.
                constexpr std::size_t state = 9;
                constexpr std::size_t incarnation = 10;
                for (const std::uint64_t at :
                     {std::uint64_t{1} << 62, UINT64_MAX})
                    for (int as = 0; as < 4; ++as)
                    {
                        auto row = json::parse(value).as_array();
                        row[state] = as;
                        row[incarnation] = at;
                        system.store().put("members", "", key,
                                           json::serialize(row));
                    }
            }
            system.check_service();
        });
}

TEST_CASE("odd rows of operators neither end nodes nor stop them following")
{
    on_worker(
        [](worker& on)
        {
            odd_system system(on);
            const json::value order{{"service", "beurs"},
                                    {"targetVersion", "v9"},
                                    {"duration", 5.0}};
            const json::value state{{"service", "beurs"},
                                    {"targetVersion", "v1"},
                                    {"state", "completed"},
                                    {"startedAt", 1}};
            for (const auto& odd : variants(order))
                for (const auto* key : {"rollout/none", "odd", "evacuate/d9"})
                    system.store().put("op", "", key, odd);
            for (const auto& odd : variants(state))
                system.store().put("status", "", "rollout/none", odd);
            for (const auto& odd : odd_texts())
                system.store().put("op", "", "config", odd);
            system.check_service();
        });
}

TEST_CASE("odd reports of targets neither end a node nor its target's calls")
{
    on_worker(
        [](worker& on)
        {
            odd_system system(on);
            auto& host = system.hosts().front();
            const json::value report{{"service", host.service},
                                     {"address", host.target->where().text()},
                                     {"zone", "d0"},
                                     {"version", "v1"},
                                     {"slots", 4},
                                     {"state", "ready"},
                                     {"coldRemaining", 0},
                                     {"sequence", 1},
                                     {"born", 1}};
            api_client client(on.io(), host.at["operators"]);
            for (const auto* id : {"i-other", "", "%00", "a/b"})
                for (const auto& odd : variants(report))
                    client.call("POST",
                                std::string("/instances/") + id + "/heartbeat",
                                odd, std::chrono::seconds(2));
            for (const auto& odd : odd_texts())
                client.call("POST", "/instances/i-none/deregister", odd,
                            std::chrono::seconds(2));
            CHECK(host.target->report(host.at["operators"], "ready") == 200);
            system.check_service();
        });
}
