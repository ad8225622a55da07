/** @file The platform's template of the settings file.
 *
 * Guards against a template that makes a node end at its start because the
 * platform does not give an optional value. */
#include "tillerhall/node/settings.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

using namespace tillerhall;

namespace
{

using template_values = std::map<std::string, std::string>;

/** The values that the platform gives at every start. */
const template_values required_values{
    {"ip", "127.0.0.1"},
    {"internalPortRange.0", "7600"},
    {"internalPortRange.1", "7601"},
    {"listenAddrs.outbound", "127.0.0.1:8629"},
    {"listenAddrs.control", "127.0.0.1:8620"},
    {"listenAddrs.ready", "127.0.0.1:8625"},
    {"region", "nl-west"},
    {"zone", "polder-a"},
    {"service", "perceel"},
    {"appAddr", "127.0.0.1:8628"},
    {"platform.address", "127.0.0.1:8627"}};

const template_values optional_values{
    {"bounds.grace", "6"},         {"bounds.retryBudgetRatio", "0.2"},
    {"bounds.budgetExtra", "62"},  {"bounds.budgetWindow", "10"},
    {"limits.linkMbps", "1000"},   {"limits.memoryMb", "260"},
    {"limits.maxFds", "4100"},     {"platform.partWritesPerS", "150"},
    {"bounds.exposureShare", "1"}, {"bounds.quotaOverage", "0.5"},
    {"bounds.quotaSlack", "4"}};

/** Fills in a template. A missing value yields nothing, and its section is
 * left out. */
std::string render(std::string text, const template_values& values)
{
    const std::regex section(R"(\{\{#([\w.]+)\}\}([^]*?)\{\{/\1\}\})");
    std::smatch found;
    while (std::regex_search(text, found, section))
    {
        const auto value = values.find(found[1]);
        const auto inner = value == values.end()
                               ? std::string()
                               : std::regex_replace(found[2].str(),
                                                    std::regex(R"(\{\{\.\}\})"),
                                                    value->second);
        text = found.prefix().str() + inner + found.suffix().str();
    }
    const std::regex gap(R"(\{\{([\w.]+)\}\})");
    while (std::regex_search(text, found, gap))
    {
        const auto value = values.find(found[1]);
        text = found.prefix().str() +
               (value == values.end() ? "" : value->second) +
               found.suffix().str();
    }
    return text;
}

settings_outcome settings_with(const template_values& values)
{
    std::ifstream file(TILLERHALL_DEPLOY_FOLDER "/settings.yaml");
    REQUIRE(file.is_open());
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return parse_settings(render(text, values), "settings.yaml");
}

std::string all_messages(const settings_outcome& outcome)
{
    std::string text;
    for (const auto& each : outcome.problems)
        text += each.message() + "\n";
    return text;
}

} // namespace

TEST_CASE("the template without optional values gives valid settings")
{
    const auto outcome = settings_with(required_values);
    INFO(all_messages(outcome));
    REQUIRE(outcome.problems.empty());
    const settings defaults;
    CHECK(outcome.read.stop_grace_s == defaults.stop_grace_s);
    CHECK(outcome.read.link_mbps == defaults.link_mbps);
    CHECK(outcome.read.memory_limit_mb == defaults.memory_limit_mb);
    CHECK(outcome.read.descriptor_limit == defaults.descriptor_limit);
    CHECK(outcome.read.retry_ratio == defaults.retry_ratio);
    CHECK(outcome.read.part_writes_per_s == defaults.part_writes_per_s);
}

TEST_CASE("the template without one optional limit gives valid settings")
{
    const auto* const left_out =
        GENERATE("bounds.grace", "bounds.retryBudgetRatio", "limits.linkMbps",
                 "limits.memoryMb", "limits.maxFds", "platform.partWritesPerS",
                 "bounds.exposureShare", "bounds.quotaOverage");
    auto values = required_values;
    values.insert(optional_values.begin(), optional_values.end());
    REQUIRE(values.erase(left_out) == 1);
    const auto outcome = settings_with(values);
    INFO("without " << left_out << ": " << all_messages(outcome));
    CHECK(outcome.problems.empty());
}

TEST_CASE("the template passes on all values that the platform gives")
{
    auto values = required_values;
    values.insert(optional_values.begin(), optional_values.end());
    const auto outcome = settings_with(values);
    INFO(all_messages(outcome));
    REQUIRE(outcome.problems.empty());
    CHECK(outcome.read.stop_grace_s == 6);
    CHECK(outcome.read.link_mbps == 1000);
    CHECK(outcome.read.memory_limit_mb == 260);
    CHECK(outcome.read.descriptor_limit == 4100);
    CHECK(outcome.read.retry_ratio == 0.2);
    CHECK(outcome.read.retry_extra == 62);
    CHECK(outcome.read.retry_window_s == 10);
    CHECK(outcome.read.part_writes_per_s == 150);
    CHECK(outcome.read.exposure_share == 1);
    CHECK(outcome.read.quota_overage == 0.5);
    CHECK(outcome.read.quota_extra == 4);
}
