#include "tillerhall/node/messages.hpp"
#include "tillerhall/observe/burn_tracker.hpp"
#include "tillerhall/observe/latency_histogram.hpp"
#include "tillerhall/observe/metrics.hpp"
#include "tillerhall/rpc/codec.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace tillerhall;

TEST_CASE("a call passes both codecs, and each refusal has its status")
{
    rpc_server_codec server({"add"},
                            [](const std::string&, const std::string& params)
                            { return R"({"got":)" + params + "}"; });
    rpc_client_codec client(
        [&](const std::string& request, std::string& answer)
        {
            server.handle(request, answer);
            return true;
        });
    const auto reply = client.call("add", R"({"m":18446744073709551615})");
    CHECK(reply.status == rpc_status::ok);
    CHECK(boost::json::parse(reply.text)
              .at("got")
              .at("m")
              .to_number<std::uint64_t>() == UINT64_MAX);
    CHECK(client.call("subtract", "{}").status == rpc_status::unknown_method);
    CHECK(client.call("add", "{").status == rpc_status::bad_params);
    std::string answer;
    CHECK(server.handle("{{", answer) == rpc_status::not_json);
    CHECK(server.handle(R"({"id":1,"jsonrpc":"2.0","method":"x","params":{}})",
                        answer) == rpc_status::unknown_method);
}

TEST_CASE("text nested too deeply is refused before it is parsed")
{
    CHECK(is_shallow(R"({"a":[{"b":"[[[[\"[["}]})"));
    CHECK(is_shallow(std::string(32, '[') + std::string(32, ']')));
    CHECK_FALSE(is_shallow(std::string(33, '[')));
    rpc_server_codec server({}, [](const auto&, const auto&)
                            { return std::string("{}"); });
    std::string answer;
    CHECK(server.handle(std::string(100'000, '['), answer) ==
          rpc_status::not_json);
}

TEST_CASE("a failed exchange makes the call fail as a transport failure")
{
    rpc_client_codec client(
        [](const std::string&, std::string& answer)
        {
            answer = "cut";
            return false;
        });
    CHECK(client.call("x", "{}").status == rpc_status::transport_failed);
}

TEST_CASE("watch reports add up and name a bounded number of laggards")
{
    watch_report sum;
    for (int i = 0; i < 40; ++i)
    {
        watch_report one;
        one.count("d" + std::to_string(i % 2), "n" + std::to_string(i),
                  i % 4 == 0);
        sum.add(watch_report_from_json(to_json(one)));
    }
    CHECK(sum.total() == 40);
    CHECK(sum.at() == 10);
    CHECK(sum.domains.at("d0").at == 10);
    CHECK(sum.laggards.size() == watch_report::max_named);
}

TEST_CASE("a histogram gives quantiles within its bucket width")
{
    latency_histogram values;
    CHECK(values.quantile(0.5) == 0);
    for (int i = 1; i <= 1000; ++i)
        values.record(i / 10.0);
    CHECK(values.quantile(0.5) == Approx(50).epsilon(0.15));
    CHECK(values.quantile(0.99) == Approx(99).epsilon(0.15));
    CHECK(values.count_above(90) == Approx(100).epsilon(0.15));
    metrics_registry registry;
    registry.histogram("h", "a=\"1\"").record(5);
    registry.get("c_total").add(3);
    const auto text = registry.text();
    CHECK_THAT(text, Catch::Contains("# TYPE c_total counter\nc_total 3"));
    CHECK_THAT(text, Catch::Contains("h_count{a=\"1\"} 1"));
}

TEST_CASE("a burn report keeps no series without calls in its longest window")
{
    // Guards against memory that grows with every service that ever had calls.
    constexpr std::int64_t longest_window = 360;
    burn_tracker tracker;
    for (int i = 0; i < 100; ++i)
        tracker.record({"old-" + std::to_string(i), "a"}, "", 5, 1, 1'000);
    CHECK(tracker.entries(1'000).size() == 100);
    tracker.record({"new", "a"}, "", 5, 1, 1'000 + longest_window);
    CHECK(tracker.entries(1'000 + longest_window).size() == 1);
}
