#include "tillerhall/node/settings.hpp"

#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

const std::string valid_settings = R"(
node:
  rpc: 127.0.0.1:7100
  peer: 127.0.0.1:7200
  caller: 127.0.0.1:7300
  operators: 127.0.0.1:7400
  region: nl-west
  domain: polder-a
target:
  service: perceel
  address: 127.0.0.1:9000
platform:
  tables: 127.0.0.1:6000
  objects: 127.0.0.1:6000
  hosts: 127.0.0.1:6000
)";

std::string all_messages(const settings_outcome& outcome)
{
    std::string text;
    for (const auto& each : outcome.problems)
        text += each.message() + "\n";
    return text;
}

} // namespace

TEST_CASE("valid settings are read, with defaults for missing ones")
{
    const auto outcome = parse_settings(
        valid_settings + "mesh:\n  seeds: [127.0.0.1:7101, 127.0.0.1:7102]\n",
        "s.yaml");
    INFO(all_messages(outcome));
    REQUIRE(outcome.problems.empty());
    CHECK(outcome.read.rpc.port == 7100);
    CHECK(outcome.read.seeds.size() == 2);
    CHECK(outcome.read.strategy == "tree");
}

TEST_CASE("all invalid settings are reported together, with line and remedy")
{
    const auto text = all_messages(parse_settings(valid_settings + R"(mesh:
  heartbeat_ms: soon
  heartbeat: 5
  seeds: 127.0.0.1:1
distribution:
  fanout: 1000
  strategy: gossip
routing:
  policy: best
log:
  level: loud
colours:
  sky: blue
)",
                                                  "s.yaml"));
    CHECK_THAT(text, Catch::Contains("s.yaml line 17: mesh.heartbeat_ms") &&
                         Catch::Contains("whole number from 20 to 60000"));
    CHECK_THAT(text, Catch::Contains("line 18: unknown key mesh.heartbeat") &&
                         Catch::Contains("mesh.suspect_ms"));
    CHECK_THAT(text, Catch::Contains("line 19: mesh.seeds is not a list"));
    CHECK_THAT(text, Catch::Contains("line 21: distribution.fanout \"1000\""));
    CHECK_THAT(text, Catch::Contains("unknown strategy \"gossip\"") &&
                         Catch::Contains("choose one of: tree"));
    CHECK_THAT(text, Catch::Contains("unknown policy \"best\""));
    CHECK_THAT(text, Catch::Contains("log.level \"loud\""));
    CHECK_THAT(text, Catch::Contains("unknown key colours.sky"));
}

TEST_CASE("missing, repeated and malformed settings are reported")
{
    const auto text = all_messages(parse_settings(
        "node:\n  rpc: localhost:1\n  rpc: 127.0.0.1:99999\n", "s.yaml"));
    CHECK_THAT(text, Catch::Contains("\"localhost:1\" is not an address"));
    CHECK_THAT(text, Catch::Contains("node.rpc stands twice"));
    CHECK_THAT(text, Catch::Contains("target.service is missing"));
    CHECK_THAT(all_messages(parse_settings("a: [", "s.yaml")),
               Catch::Contains("bad_syntax"));
    CHECK_THAT(all_messages(parse_settings("- 1", "s.yaml")),
               Catch::Contains("not a mapping"));
    CHECK_THAT(all_messages(parse_settings("node: 5", "s.yaml")),
               Catch::Contains("section \"node\" is not a mapping"));
    CHECK_THAT(all_messages(load_settings("/nonexistent.yaml")),
               Catch::Contains("cannot read"));
}

TEST_CASE("keys that are not scalars are rejected like unknown keys")
{
    for (const std::string yaml :
         {"? [a, b]\n: {c: d}\n", "node:\n  ? [a]\n  : b\n",
          "objectives:\n  ? {a: b}\n  : {within_ms: 5}\n",
          "objectives:\n  s:\n    ? [a]\n    : 5\n", "node:\n  ? ~\n  : b\n"})
    {
        const auto outcome = parse_settings(yaml, "f");
        REQUIRE_FALSE(outcome.problems.empty());
        for (const auto& each : outcome.problems)
            CHECK_FALSE(each.remedy().empty());
    }
}
