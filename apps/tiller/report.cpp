/** @file Prints failures to standard error. */
#include "command.hpp"

#include <boost/json.hpp>
#include <iostream>

namespace tillerhall::cli
{
namespace
{

namespace json = boost::json;

std::string text_of(const json::object& body, const char* name)
{
    const auto* found = body.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

void print_problem(const json::object& problem, const char* indent)
{
    std::cerr << indent << text_of(problem, "error") << ": "
              << text_of(problem, "detail")
              << ". Remedy: " << text_of(problem, "remedy") << "\n";
}

void print_conflicts(const json::object& body)
{
    const auto* conflicts = body.if_contains("conflicts");
    if (conflicts == nullptr)
        return;
    for (const auto& each : conflicts->as_array())
    {
        const auto& cell = each.as_object();
        std::cerr << "  " << text_of(cell, "service") << " "
                  << text_of(cell, "place") << " " << text_of(cell, "column")
                  << ": base " << text_of(cell, "base") << " | mine "
                  << text_of(cell, "mine") << " | theirs "
                  << text_of(cell, "theirs") << "\n";
    }
}

} // namespace

int fail(const error& failed)
{
    std::cerr << failed.message() << "\n";
    switch (failed.code())
    {
    case error_code::connection_failed:
    case error_code::connection_lost:
    case error_code::timed_out:
        return exit_unreachable;
    case error_code::outcome_unknown:
        return exit_unknown;
    default:
        return exit_usage;
    }
}

int fail(const http_response& answer)
{
    boost::system::error_code failed;
    const auto value = json::parse(answer.body, failed);
    if (failed || !value.is_object())
    {
        std::cerr << "unexpected answer " << answer.status << ": "
                  << answer.body << "\n";
        return exit_refused;
    }
    const auto& body = value.as_object();
    print_problem(body, "");
    if (const auto* problems = body.if_contains("problems"))
        for (const auto& each : problems->as_array())
            print_problem(each.as_object(), "  ");
    print_conflicts(body);
    const bool unknown =
        text_of(body, "error") == name_of(error_code::outcome_unknown);
    return unknown ? exit_unknown : exit_refused;
}

} // namespace tillerhall::cli
