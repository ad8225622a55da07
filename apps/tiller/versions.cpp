/** @file Subcommands that accept, restore, watch and list versions. */
#include "command.hpp"

#include "tillerhall/core/random.hpp"
#include "tillerhall/table/csv.hpp"
#include "tillerhall/table/version_number.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace tillerhall::cli
{
namespace
{

namespace json = boost::json;

constexpr milliseconds watch_interval(250);
constexpr int max_accept_attempts = 5;
constexpr milliseconds accept_retry_delay(500);

std::string random_id()
{
    random_source random(entropy_seed());
    std::ostringstream id;
    id << std::hex << random() << random();
    return id.str();
}

std::string author_of(const invocation& given)
{
    if (given.options.count("author") != 0)
        return given.options["author"].as<std::string>();
    const char* user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

/** Sends an accept and retries while its outcome is unknown; the accept id
 * makes it idempotent. */
result<http_response> send_accept(invocation& given, const json::object& body)
{
    constexpr unsigned outcome_unknown_status = 504;
    const auto text = json::serialize(body);
    auto answer = given.mesh.ask("POST", "/v1/accept", text);
    for (int i = 1; i < max_accept_attempts; ++i)
    {
        const bool unknown =
            answer ? answer->status == outcome_unknown_status
                   : answer.reason().code() != error_code::connection_failed;
        if (!unknown)
            break;
        sleep_for(given.main_worker.io(), accept_retry_delay);
        answer = given.mesh.ask("POST", "/v1/accept", text);
    }
    return answer;
}

int accept_csv(invocation& given, const std::string& csv, std::uint64_t base)
{
    const auto id = given.options.count("accept-id") != 0
                        ? given.options["accept-id"].as<std::string>()
                        : random_id();
    const auto answer =
        send_accept(given, {{"csv", csv},
                            {"base", base},
                            {"accept_id", id},
                            {"author", author_of(given)},
                            {"rebase", given.options.count("rebase") != 0}});
    if (!answer)
    {
        std::cerr << "accept id: " << id << "\n";
        return fail(answer.reason());
    }
    if (answer->status != 200)
    {
        std::cerr << "accept id: " << id << "\n";
        return fail(*answer);
    }
    const auto body = json::parse(answer->body).as_object();
    const auto version = body.at("version").to_number<std::uint64_t>();
    if (given.as_json)
        std::cout << answer->body;
    else
    {
        for (const auto& line : body.at("changes").as_array())
            std::cout << line.as_string().c_str() << "\n";
        const char* result_text =
            body.at("unchanged").as_bool()  ? "unchanged, still"
            : body.at("repeated").as_bool() ? "already accepted as"
                                            : "accepted as";
        std::cout << result_text << " version " << version << "\n";
    }
    if (given.options.count("watch") != 0)
        return watch_version(given, version);
    return exit_ok;
}

std::string progress_line(const json::object& body)
{
    std::ostringstream line;
    line << "version " << body.at("version").to_number<std::uint64_t>() << ":";
    for (const auto& each : body.at("domains").as_object())
        line << " " << std::string_view(each.key()) << " "
             << each.value().at("at").to_number<std::uint64_t>() << "/"
             << each.value().at("total").to_number<std::uint64_t>();
    const auto& laggards = body.at("laggards").as_array();
    if (!laggards.empty())
    {
        line << " lagging:";
        for (const auto& each : laggards)
            line << " " << each.as_string().c_str();
    }
    return line.str();
}

/** Shows progress: updates one line on a terminal, else prints each change. */
class progress_printer
{
public:
    void show(const std::string& line)
    {
        if (line == m_last)
            return;
        if (m_is_terminal)
            std::cout << "\r\033[K" << line << std::flush;
        else
            std::cout << line << "\n" << std::flush;
        m_last = line;
    }

    void end()
    {
        if (m_is_terminal && !m_last.empty())
            std::cout << "\n";
    }

private:
    bool m_is_terminal = ::isatty(STDOUT_FILENO) != 0;
    std::string m_last;
};

} // namespace

int run_accept(invocation& given)
{
    std::ifstream file(given.arguments[0]);
    if (!file)
        return fail(error(error_code::not_found,
                          "cannot read " + given.arguments[0],
                          "`tiller show > draft.csv` makes a draft"));
    std::ostringstream text;
    text << file.rdbuf();
    const auto outcome = read_csv(text.str());
    for (const auto& problem : outcome.problems)
        std::cerr << problem.message() << "\n";
    if (!outcome.problems.empty())
        return exit_usage;
    if (given.options.count("base") == 0 && !outcome.parsed.base)
        return fail(error(error_code::invalid_argument,
                          "the draft names no base version",
                          "keep the first line that `tiller show` wrote, or "
                          "give --base VERSION"));
    const auto base = given.options.count("base") != 0
                          ? given.options["base"].as<std::uint64_t>()
                          : *outcome.parsed.base;
    return accept_csv(given, write_csv(outcome.parsed.table), base);
}

int run_restore(invocation& given)
{
    const auto asked = parse_version(given.arguments[0]);
    if (!asked)
        return fail(asked.reason());
    std::uint64_t version = 0;
    const auto old = given.mesh.read_csv(*asked, version);
    if (!old)
        return fail(old.reason());
    // The base is the newest version, so an accept in between is a conflict.
    std::uint64_t head = 0;
    if (const auto current = given.mesh.read_csv(0, head); !current)
        return fail(current.reason());
    return accept_csv(given, *old, head);
}

int watch_version(invocation& given, std::uint64_t version)
{
    const std::chrono::duration<double> limit(
        given.options["timeout"].as<double>());
    const auto deadline =
        steady_clock::now() + std::chrono::duration_cast<duration>(limit);
    progress_printer progress;
    while (true)
    {
        const auto answer = given.mesh.ask("GET", "/v1/watch?version=" +
                                                      std::to_string(version));
        if (!answer)
            return fail(answer.reason());
        if (answer->status != 200)
            return fail(*answer);
        const auto body = json::parse(answer->body).as_object();
        version = body.at("version").to_number<std::uint64_t>();
        if (given.as_json)
            std::cout << answer->body << std::flush;
        else
            progress.show(progress_line(body));
        if (body.at("in_force").as_bool())
            break;
        if (steady_clock::now() >= deadline)
        {
            progress.end();
            std::cerr << "version " << version
                      << " is not in force everywhere yet. Remedy: look at "
                         "the nodes named as lagging; see docs/OPERATORS.md\n";
            return exit_not_in_force;
        }
        sleep_for(given.main_worker.io(), watch_interval);
    }
    progress.end();
    if (!given.as_json)
        std::cout << "version " << version << " is in force everywhere\n";
    return exit_ok;
}

int run_watch(invocation& given)
{
    std::uint64_t version = 0;
    if (!given.arguments.empty())
    {
        const auto asked = parse_version(given.arguments[0]);
        if (!asked)
            return fail(asked.reason());
        version = *asked;
    }
    return watch_version(given, version);
}

int run_history(invocation& given)
{
    const auto limit = given.options["limit"].as<unsigned>();
    const auto answer =
        given.mesh.ask("GET", "/v1/history?limit=" + std::to_string(limit));
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
    for (const auto& each : body.at("versions").as_array())
    {
        std::cout << "version " << each.at("version").to_number<std::uint64_t>()
                  << " by " << each.at("author").as_string().c_str() << " ("
                  << each.at("accept_id").as_string().c_str() << ")\n";
        for (const auto& line : each.at("changes").as_array())
            std::cout << "    " << line.as_string().c_str() << "\n";
    }
    return exit_ok;
}

} // namespace tillerhall::cli
