/** @file Subcommands that show nodes, targets, decisions and calls. */
#include "command.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>
#include <map>

namespace tillerhall::cli
{
namespace
{

namespace json = boost::json;

constexpr std::size_t max_parallel_requests = 32;

std::string text(const json::value& object, const char* name)
{
    return json::value_to<std::string>(object.at(name));
}

result<json::array> read_members(invocation& given)
{
    const auto answer = given.mesh.ask("GET", "/v1/members");
    if (!answer)
        return answer.reason();
    boost::system::error_code failed;
    auto body = json::parse(answer->body, failed);
    if (failed || answer->status != 200)
        return error(error_code::protocol_error, answer->body);
    return body.at("members").as_array();
}

/** Adds to each live member the answer of its /v1/status as "status". */
void fetch_statuses(invocation& given, json::array& members)
{
    std::size_t next = 0;
    const auto ask = [&]
    {
        while (next < members.size())
        {
            auto& each = members[next++].as_object();
            const auto node =
                address::parse(each.at("operators").as_string().c_str());
            if (!node || each.at("state").as_string() == "dead")
                continue;
            const auto answer = given.mesh.ask_node(*node, "/v1/status");
            boost::system::error_code failed;
            if (answer && answer->status == 200)
                each["status"] = json::parse(answer->body, failed);
        }
    };
    run_parallel(std::vector<worker::task>(max_parallel_requests, ask));
}

void print_node(const json::value& node)
{
    std::cout << std::left << std::setw(22) << text(node, "node")
              << std::setw(14) << text(node, "domain") << std::setw(14)
              << text(node, "service") << std::setw(9) << text(node, "state");
    const auto* status = node.as_object().if_contains("status");
    if (status == nullptr || !status->is_object())
    {
        std::cout << "no answer\n";
        return;
    }
    std::cout << "v" << std::setw(6)
              << status->at("version").to_number<std::uint64_t>()
              << std::setw(9) << text(*status, "phase");
    for (const auto& each : status->at("traffic").as_object())
    {
        const auto received = each.value().at("in").to_number<std::uint64_t>();
        const auto sent = each.value().at("out").to_number<std::uint64_t>();
        if (received + sent != 0)
            std::cout << " " << std::string_view(each.key()) << " " << received
                      << "/" << sent;
    }
    std::cout << "\n";
}

} // namespace

int run_nodes(invocation& given)
{
    auto members = read_members(given);
    if (!members)
        return fail(members.reason());
    fetch_statuses(given, *members);
    if (given.as_json)
    {
        std::cout << json::serialize(*members) << "\n";
        return exit_ok;
    }
    std::cout << "node                  domain        service       state    "
                 "version phase   control bytes by kind, in/out\n";
    for (const auto& each : *members)
        print_node(each);
    return exit_ok;
}

int run_targets(invocation& given)
{
    const auto members = read_members(given);
    if (!members)
        return fail(members.reason());
    if (given.as_json)
    {
        std::cout << json::serialize(*members) << "\n";
        return exit_ok;
    }
    std::map<std::string, std::vector<std::string>> by_row;
    for (const auto& each : *members)
        by_row[text(each, "service") + " " + text(each, "domain")].push_back(
            text(each, "target") + " " + text(each, "target_state") +
            " (node " + text(each, "node") + " " + text(each, "state") + ")");
    for (const auto& [row, targets] : by_row)
    {
        std::cout << row << "\n";
        for (const auto& target : targets)
            std::cout << "    " << target << "\n";
    }
    return exit_ok;
}

int run_explain(invocation& given)
{
    const auto members = read_members(given);
    if (!members)
        return fail(members.reason());
    json::array found;
    std::size_t next = 0;
    const auto ask = [&]
    {
        while (next < members->size())
        {
            const auto& each = (*members)[next++];
            const auto node =
                address::parse(each.at("operators").as_string().c_str());
            if (!node || each.at("state").as_string() == "dead")
                continue;
            const auto answer = given.mesh.ask_node(
                *node, "/v1/call?id=" + percent_encode(given.arguments[0]));
            boost::system::error_code failed;
            const auto body =
                answer ? json::parse(answer->body, failed) : json::value{};
            if (!answer || failed || answer->status != 200)
                continue;
            for (auto call : body.at("calls").as_array())
            {
                call.as_object()["entry"] = each.at("node");
                found.push_back(std::move(call));
            }
        }
    };
    run_parallel(std::vector<worker::task>(max_parallel_requests, ask));
    if (given.as_json)
        std::cout << json::serialize(found) << "\n";
    for (const auto& each : found)
    {
        if (given.as_json)
            break;
        std::cout << "at entry node " << text(each, "entry") << ": "
                  << text(each, "service") << " " << text(each, "end")
                  << " after " << each.at("took_ms").to_number<double>()
                  << " ms, table version "
                  << each.at("version").to_number<std::uint64_t>() << "\n";
        for (const auto& attempt : each.at("attempts").as_array())
            std::cout << "    tried " << text(attempt, "node") << " at "
                      << text(attempt, "place") << ": " << text(attempt, "end")
                      << " " << text(attempt, "detail") << " ("
                      << attempt.at("took_ms").to_number<double>() << " ms)\n";
    }
    if (!found.empty())
        return exit_ok;
    fail(error(error_code::not_found,
               "no node has a record of call " + given.arguments[0],
               "each node keeps its last 2048 calls; older ones may be in "
               "the log of the caller"));
    return exit_refused;
}

int run_why(invocation& given)
{
    const auto subject = given.arguments.empty() ? "" : given.arguments[0];
    const auto answer =
        given.mesh.ask("GET", "/v1/journal?subject=" + percent_encode(subject));
    if (!answer)
        return fail(answer.reason());
    if (answer->status != 200)
        return fail(*answer);
    if (given.as_json)
    {
        std::cout << answer->body;
        return exit_ok;
    }
    const auto body = json::parse(answer->body);
    for (const auto& each : body.at("entries").as_array())
        std::cout << each.at("time_us").to_number<std::int64_t>() << " "
                  << text(each, "decision") << " " << text(each, "subject")
                  << ": " << text(each, "reason") << " "
                  << json::serialize(each.at("figures")) << "\n";
    return exit_ok;
}

int run_completion(invocation&)
{
    std::cout << "_tiller() {\n"
                 "  local cur=${COMP_WORDS[COMP_CWORD]}\n"
                 "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
                 "    COMPREPLY=($(compgen -W \"";
    for (const auto& each : commands())
        std::cout << each.name << " ";
    std::cout
        << "\" -- \"$cur\"))\n"
           "  elif [[ $cur == -* ]]; then\n"
           "    COMPREPLY=($(compgen -W \"--node --token-file --json "
           "--accept-id --base --rebase --watch --timeout --limit "
           "--author --add --remove --service --html --help\" -- \"$cur\"))\n"
           "  else\n"
           "    COMPREPLY=($(compgen -f -- \"$cur\"))\n"
           "  fi\n"
           "}\n"
           "complete -F _tiller tiller\n";
    return exit_ok;
}

} // namespace tillerhall::cli
