/** @file Decoders of the platform's configuration, reports and rows. */
#include "config_decoder.hpp"
#include "report_decoder.hpp"
#include "rollout_decoder.hpp"
#include "store_client.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <functional>

using namespace tillerhall;
namespace json = boost::json;

namespace
{

json::object good_config()
{
    return json::parse(R"({"version":7,
        "routes":[
          {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"unsafe",
           "timeout":1500,"targetLatency":500,"priority":1,"service":"s1",
           "maxAttempts":2},
          {"name":"r2","host":"b.example","pathPrefix":"/","kind":"safe",
           "timeout":1200,"targetLatency":400,"priority":2,"maxAttempts":3,
           "trafficSplit":[{"service":"s1","weight":90},
                           {"service":"s2","weight":10}]}],
        "services":[{"name":"s1","healthCheckPath":"/health"},
                    {"name":"s2","healthCheckPath":"/health"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,
                  "headerTimeout":3000,"idleTimeout":15000}})")
        .as_object();
}

http_request report_request(const std::string& path, const std::string& body)
{
    http_request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    return request;
}

json::object good_report()
{
    return json::parse(R"({"service":"s1","address":"10.0.0.9:8080",
        "zone":"d1","version":"v1","slots":12,"state":"ready",
        "coldRemaining":250,"sequence":4})")
        .as_object();
}

} // namespace

TEST_CASE("numbers beyond any use are bounded or refused")
{
    // Times are added to others, so that a greater one would overflow.
    constexpr auto greatest = std::numeric_limits<std::int64_t>::max();
    auto config = good_config();
    config["routes"].as_array()[0].as_object()["timeout"] = greatest;
    config["limits"].as_object()["idleTimeout"] = greatest;
    config["services"].as_array()[0].as_object()["coldStart"] = 1e300;
    const auto routes = platform::decode_routes(json::serialize(config));
    REQUIRE(routes);
    constexpr milliseconds day = std::chrono::hours(24);
    CHECK((*routes)->routes().front().timeout <= day);
    CHECK((*routes)->limits().idle_timeout <= day);
    CHECK((*routes)->terms_of("s1").cold_for <= day);
    CHECK((*routes)->terms_of("s1").cold_for >= milliseconds::zero());
    for (const auto* name : {"slots", "coldRemaining"})
    {
        auto report = good_report();
        report[name] = greatest;
        const auto read = platform::decode_report(report_request(
            "/instances/i-1/heartbeat", json::serialize(report)));
        REQUIRE(read);
        CHECK_FALSE(*read);
    }
}

TEST_CASE("a row that cannot be read leaves the others")
{
    const auto page = platform::decode_rows(
        R"({"ver":9,"rows":[
            {"table":"op","part":"","key":"a","ver":7,"value":"no base64!"},
            {"table":"op","part":"","key":3,"ver":7,"value":"YQ=="},
            {"table":"op","part":"","key":"b","ver":1e300,"value":"YQ=="},
            "odd", null, [[[[]]]],
            {"table":"op","part":"","key":"config","ver":8,"value":"YQ=="}]})");
    REQUIRE(page);
    REQUIRE(page->rows.size() == 1);
    CHECK(page->rows.front().name.key == "config");
    CHECK(page->unreadable == 6);
    CHECK(page->revision == 9);
}

TEST_CASE("a configuration is decoded into routes")
{
    const auto routes = platform::decode_routes(json::serialize(good_config()));
    REQUIRE(routes);
    CHECK((*routes)->version() == 7);
    CHECK((*routes)->limits().body_bytes == 1000);
    CHECK((*routes)->terms_of("s1").health_path == "/health");
    const auto* once = (*routes)->find("a.example", "/x/1");
    REQUIRE(once != nullptr);
    CHECK(once->kind == call_kind::once);
    CHECK(once->timeout == milliseconds(1500));
    CHECK(once->objective == milliseconds(500));
    CHECK(once->rank == 1);
    CHECK(once->max_targets == 2);
    const auto* split = (*routes)->find("b.example", "/anything");
    REQUIRE(split != nullptr);
    CHECK(split->kind == call_kind::repeatable);
    REQUIRE(split->shares.size() == 2);
    CHECK(split->shares[1].service == "s2");
    CHECK(split->shares[1].weight == 10);
}

TEST_CASE("each kind of call maps to a call_kind and its idempotency")
{
    struct kind_case
    {
        const char* kind;
        call_kind read;
        bool repeatable;
    };
    const std::vector<kind_case> table{
        {"safe", call_kind::repeatable, true},
        {"unsafe", call_kind::once, false},
        {"upload", call_kind::large_once, false},
        {"download", call_kind::large_repeatable, true},
    };
    for (const auto& each : table)
    {
        CAPTURE(each.kind);
        auto config = good_config();
        config["routes"].as_array()[0].as_object()["kind"] = each.kind;
        const auto routes = platform::decode_routes(json::serialize(config));
        REQUIRE(routes);
        const auto* route = (*routes)->find("a.example", "/x/1");
        REQUIRE(route != nullptr);
        CHECK(route->kind == each.read);
        CHECK(may_repeat(route->kind) == each.repeatable);
    }
}

TEST_CASE("an invalid configuration is refused and the error names the member")
{
    struct fault
    {
        const char* expected_detail;
        std::function<void(json::object&)> make;
    };
    const auto route = [](json::object& config, int index) -> json::object&
    {
        return config["routes"]
            .as_array()[static_cast<std::size_t>(index)]
            .as_object();
    };
    const std::vector<fault> table{
        {"version", [](json::object& c) { c.erase("version"); }},
        {"version", [](json::object& c) { c["version"] = 0; }},
        {"routes", [](json::object& c) { c.erase("routes"); }},
        {"services", [](json::object& c) { c.erase("services"); }},
        {"limits", [](json::object& c) { c.erase("limits"); }},
        {"kind", [&](json::object& c) { route(c, 0)["kind"] = "odd"; }},
        {"timeout", [&](json::object& c) { route(c, 0).erase("timeout"); }},
        {"timeout", [&](json::object& c) { route(c, 0)["timeout"] = -1; }},
        {"unknown service",
         [&](json::object& c) { route(c, 0)["service"] = "s9"; }},
        {"maxAttempts",
         [&](json::object& c) { route(c, 0)["maxAttempts"] = 0; }},
        {"weight",
         [&](json::object& c) {
             route(c, 1)["trafficSplit"].as_array()[0].as_object()["weight"] =
                 -5;
         }},
        {"weight",
         [&](json::object& c) {
             route(c, 1)["trafficSplit"].as_array()[0].as_object().erase(
                 "weight");
         }},
    };
    for (const auto& each : table)
    {
        auto config = good_config();
        each.make(config);
        const auto routes = platform::decode_routes(json::serialize(config));
        INFO(each.expected_detail);
        REQUIRE_FALSE(routes);
        CHECK(routes.reason().detail().find(each.expected_detail) !=
              std::string::npos);
    }
}

TEST_CASE("a configuration truncated at any byte is refused")
{
    const auto text = json::serialize(good_config());
    for (std::size_t size = 0; size < text.size(); ++size)
        CHECK_FALSE(platform::decode_routes(text.substr(0, size)));
}

TEST_CASE("a report is decoded into a target_report")
{
    const auto read = platform::decode_report(report_request(
        "/instances/i-7/heartbeat", json::serialize(good_report())));
    REQUIRE(read);
    REQUIRE(*read);
    const auto& report = **read;
    CHECK(report.id == "i-7");
    CHECK(report.where.text() == "10.0.0.9:8080");
    CHECK(report.slots == 12);
    CHECK(report.state == report_state::ready);
    CHECK(report.sequence == 4);
    CHECK(report.cold_for == milliseconds(250));
    CHECK(report.release == "v1");
}

TEST_CASE("a deregistration needs no body")
{
    const auto read = platform::decode_report(
        report_request("/instances/i-7/deregister", ""));
    REQUIRE(read);
    REQUIRE(*read);
    CHECK((**read).id == "i-7");
    CHECK((**read).state == report_state::leaving);
}

TEST_CASE("malformed reports are refused and other requests ignored")
{
    for (const auto* member : {"service", "address", "zone", "version", "slots",
                               "state", "coldRemaining", "sequence"})
    {
        auto body = good_report();
        body.erase(member);
        const auto read = platform::decode_report(
            report_request("/instances/i-7/heartbeat", json::serialize(body)));
        REQUIRE(read);
        CHECK_FALSE(*read);
        CHECK(read->reason().detail().find(member) != std::string::npos);
    }
    const auto text = json::serialize(good_report());
    for (std::size_t size = 0; size < text.size(); ++size)
    {
        const auto read = platform::decode_report(
            report_request("/instances/i-7/heartbeat", text.substr(0, size)));
        REQUIRE(read);
        CHECK_FALSE(*read);
    }
    CHECK_FALSE(platform::decode_report(report_request("/metrics", "")));
    CHECK_FALSE(
        platform::decode_report(report_request("/instances//heartbeat", "")));
    auto get = report_request("/instances/i-7/heartbeat", text);
    get.method = "GET";
    CHECK_FALSE(platform::decode_report(get));
}

TEST_CASE("rows of the store are decoded and malformed answers refused")
{
    const auto page = platform::decode_rows(
        R"({"rows":[{"table":"t","part":"p","key":"k","value":"bm9kZS0x","ver":4},
            {"table":"t","part":"","key":"g","ver":5,"tombstone":true}],
            "morePages":true,"ver":9,"now":51230})");
    REQUIRE(page);
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[0].name == row_name{"t", "p", "k"});
    CHECK(page->rows[0].value == "node-1");
    CHECK(page->rows[0].revision == 4);
    CHECK(page->rows[1].removed);
    CHECK(page->more);
    CHECK(page->revision == 9);
    for (const auto* bad :
         {"", "[]", R"({"rows":7})", R"({"rows":[],"ver":"x"})",
          R"({"rows":[],"morePages":3})"})
        CHECK_FALSE(platform::decode_rows(bad));
    for (const auto* odd : {R"({"rows":[{}]})",
                            R"({"rows":[{"table":"t","part":"p","key":"k",
                                "value":"%%%%","ver":4}]})"})
    {
        const auto left = platform::decode_rows(odd);
        REQUIRE(left);
        CHECK(left->rows.empty());
        CHECK(left->unreadable == 1);
    }
}

TEST_CASE("roll-out orders are decoded, malformed ones refused, others ignored")
{
    const auto rows = platform::make_rollout_source();
    const auto row = [](const std::string& key, const std::string& value)
    {
        stored_row new_row;
        new_row.name = {"op", "", key};
        new_row.value = value;
        new_row.revision = 9;
        return new_row;
    };
    const std::string good =
        R"({"service":"s1","targetVersion":"v2","duration":12.5})";
    const auto order = rows.decode_order(row("rollout/s1", good));
    REQUIRE(order);
    REQUIRE(*order);
    CHECK((*order)->service == "s1");
    CHECK((*order)->release == "v2");
    CHECK((*order)->time == milliseconds(12'500));
    CHECK((*order)->revision == 9);
    CHECK_FALSE(rows.decode_order(row("config", good)));
    for (const auto* bad :
         {"", "7", "{}", R"({"service":"s1","targetVersion":"v2"})",
          R"({"service":"s2","targetVersion":"v2","duration":12})",
          R"({"service":"s1","targetVersion":"","duration":12})",
          R"({"service":"s1","targetVersion":"v2","duration":0})",
          R"({"service":"s1","targetVersion":"v2","duration":"x"})"})
    {
        INFO(bad);
        const auto refused = rows.decode_order(row("rollout/s1", bad));
        REQUIRE(refused);
        CHECK_FALSE(*refused);
    }
}

TEST_CASE("a roll-out's state survives a round trip; its start is optional")
{
    const auto rows = platform::make_rollout_source();
    CHECK(rows.state_row("s1") == row_name{"status", "", "rollout/s1"});
    stored_rollout_state stored;
    stored.release = "v2";
    stored.state = rollout_state::rolled_back;
    stored.started_at_ms = 1'700'000'000'000;
    stored_row row;
    row.value = rows.encode_state("s1", stored);
    row.revision = 4;
    const auto read = rows.decode_state(row);
    REQUIRE(read);
    CHECK(read->release == "v2");
    CHECK(read->state == rollout_state::rolled_back);
    CHECK(read->started_at_ms == stored.started_at_ms);
    CHECK(read->revision == 4);
    row.value = R"({"targetVersion":"v2","state":"completed"})";
    REQUIRE(rows.decode_state(row));
    CHECK(rows.decode_state(row)->started_at_ms == 0);
    for (const auto* bad : {"", "[]", R"({"state":"running"})",
                            R"({"targetVersion":"v2","state":"odd"})"})
    {
        row.value = bad;
        CHECK_FALSE(rows.decode_state(row));
    }
}

TEST_CASE("client accounts and cold-start limits are decoded with the routes")
{
    auto config = good_config();
    config["tenants"] = json::parse(
        R"([{"name":"bakkerij","apiKeys":["k1","k2"],"priority":1,
             "ratePerS":12.5,"burst":20},{"name":"molen","apiKeys":[]}])");
    config["routes"].as_array()[0].as_object()["allowAnonymous"] = true;
    auto& service = config["services"].as_array()[1].as_object();
    service["coldStart"] = 3.0;
    service["coldPerS"] = 14.0;
    const auto routes = platform::decode_routes(json::serialize(config));
    REQUIRE(routes);
    REQUIRE((*routes)->accounts() != nullptr);
    const auto* holder = (*routes)->accounts()->holder_of("k2");
    REQUIRE(holder != nullptr);
    CHECK(holder->name == "bakkerij");
    CHECK(holder->rank == 1);
    CHECK(holder->quota.per_s == 12.5);
    CHECK(holder->quota.burst == 20);
    CHECK_FALSE((*routes)->accounts()->all().back().quota.is_limited());
    CHECK((*routes)->find("a.example", "/x/1")->is_open);
    CHECK_FALSE((*routes)->find("b.example", "/x/1")->is_open);
    CHECK((*routes)->terms_of("s2").cold_per_s == 14);
    CHECK((*routes)->terms_of("s2").cold_for == milliseconds(3'000));
    CHECK((*routes)->terms_of("s1").cold_per_s == 0);
    CHECK((*routes)->terms_of("unknown").cold_per_s == 0);
}

TEST_CASE("invalid accounts are refused and no error shows an API key")
{
    for (const auto* accounts :
         {R"([{"apiKeys":["sesame"]}])", R"([{"name":"a","apiKeys":"sesame"}])",
          R"([{"name":"a","apiKeys":[7]}])",
          R"([{"name":"a","apiKeys":["sesame"],"ratePerS":-1}])",
          R"([{"name":"a","apiKeys":["sesame"],"burst":"many"}])",
          R"([{"name":"a","apiKeys":["sesame"]},
              {"name":"b","apiKeys":["sesame"]}])",
          R"({"name":"a"})"})
    {
        auto config = good_config();
        config["tenants"] = json::parse(accounts);
        const auto routes = platform::decode_routes(json::serialize(config));
        CAPTURE(accounts);
        REQUIRE_FALSE(routes);
        CHECK(routes.reason().message().find("sesame") == std::string::npos);
    }
}

TEST_CASE("a drain order is the key of its row, whatever the value")
{
    const auto row = [](const std::string& table, const std::string& key)
    {
        stored_row new_row;
        new_row.name = {table, "", key};
        new_row.value = "no JSON";
        return new_row;
    };
    CHECK(platform::drained_domain(row("op", "evacuate/hall-a")) == "hall-a");
    CHECK_FALSE(platform::drained_domain(row("op", "evacuate/")));
    CHECK_FALSE(platform::drained_domain(row("op", "config")));
    CHECK_FALSE(platform::drained_domain(row("members", "evacuate/hall-a")));
}

TEST_CASE("the start time of a target is an optional member of its reports")
{
    auto report = good_report();
    report["born"] = 1'700'000'000'123;
    auto read = platform::decode_report(
        report_request("/instances/i-7/heartbeat", json::serialize(report)));
    REQUIRE((read && *read));
    CHECK((*read)->started_ms == 1'700'000'000'123);
    CHECK((*read)->start() == "i-7@1700000000123");
    report["born"] = "long ago";
    read = platform::decode_report(
        report_request("/instances/i-7/heartbeat", json::serialize(report)));
    REQUIRE((read && *read));
    CHECK((*read)->start() == "i-7");
    read = platform::decode_report(
        report_request("/instances/i-7/deregister", R"({"born":5})"));
    REQUIRE((read && *read));
    CHECK((*read)->state == report_state::leaving);
    CHECK((*read)->started_ms == 5);
}
