/** @file The subcommand that lists, starts and aborts roll-outs. */
#include "command.hpp"

#include "tillerhall/http/api_client.hpp"

#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

namespace tillerhall::cli
{
namespace
{

namespace json = boost::json;

constexpr const char* path = "/v1/rollouts";

std::string text(const json::value& object, const char* name)
{
    return json::value_to<std::string>(object.at(name));
}

std::string seconds(const json::value& object, const char* name)
{
    constexpr std::int64_t ms_per_s = 1000;
    return std::to_string(object.at(name).to_number<std::int64_t>() /
                          ms_per_s) +
           " s";
}

void print_rollout(const json::value& rollout)
{
    std::cout << text(rollout, "service") << ": " << text(rollout, "before")
              << " -> " << text(rollout, "release") << "  "
              << text(rollout, "state");
    if (text(rollout, "state") == "running")
        std::cout << ", step " << text(rollout, "stage") << ", "
                  << seconds(rollout, "age_ms") << " of "
                  << seconds(rollout, "time_ms");
    std::cout << "\n";
    if (!text(rollout, "reason").empty())
        std::cout << "    " << text(rollout, "reason") << "\n";
    for (const auto& each : rollout.at("suspects").as_array())
        std::cout << "    regressed: " << each.as_string().c_str() << "\n";
    for (const auto& each : rollout.at("evidence").as_array())
        std::cout << "    " << text(each, "release") << ", rank "
                  << each.at("rank").to_number<int>() << " within "
                  << each.at("objective_ms").to_number<int>()
                  << " ms: " << each.at("runs").to_number<int>() << " runs, "
                  << each.at("failed").to_number<int>() << " failed\n";
}

int list(invocation& given)
{
    const auto answer = given.mesh.ask("GET", path);
    if (!answer)
        return fail(answer.reason());
    if (answer->status != 200)
        return fail(*answer);
    if (given.as_json)
    {
        std::cout << answer->body << "\n";
        return exit_ok;
    }
    const auto body = json::parse(answer->body);
    const auto& rollouts = body.at("rollouts").as_array();
    for (const auto& each : rollouts)
        print_rollout(each);
    if (rollouts.empty())
        std::cout << "there are no roll-outs\n";
    return exit_ok;
}

int change(invocation& given,
           const std::string& method,
           const std::string& target,
           const std::string& body)
{
    const auto answer = given.mesh.ask(method, target, body);
    if (!answer)
        return fail(answer.reason());
    if (answer->status != 200)
        return fail(*answer);
    std::cout << answer->body << "\n";
    return exit_ok;
}

} // namespace

int run_rollout(invocation& given)
{
    const auto& arguments = given.arguments;
    if (arguments.empty() || (arguments[0] == "list" && arguments.size() == 1))
        return list(given);
    if (arguments[0] == "start" && arguments.size() == 3)
        return change(given, "POST", path,
                      json::serialize(json::object{
                          {"service", arguments[1]},
                          {"release", arguments[2]},
                          {"time_s", given.options["timeout"].as<double>()}}));
    if (arguments[0] == "abort" && arguments.size() == 2)
        return change(
            given, "DELETE",
            std::string(path) + "?service=" + percent_encode(arguments[1]), "");
    return fail(error(error_code::invalid_argument,
                      "unknown subcommand: rollout " + arguments[0],
                      "use list, start SERVICE RELEASE [--timeout SECONDS], "
                      "or abort SERVICE"));
}

} // namespace tillerhall::cli
