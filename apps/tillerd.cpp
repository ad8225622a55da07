/** @file The node daemon. */
#include "tillerhall/node/node.hpp"
#include "tillerhall/node/operator_token.hpp"
#include "tillerhall/observe/log.hpp"

#include <boost/json.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace tillerhall;

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;

void print_addresses(const settings& config)
{
    std::cout << boost::json::serialize(boost::json::object{
                     {"event", "listening"},
                     {"rpc", config.rpc.text()},
                     {"peer", config.peer.text()},
                     {"caller", config.caller.text()},
                     {"operators", config.operators.text()}})
              << std::endl;
}

/** Formats a default for docs/SETTINGS.md; addresses have none. */
struct shown_default
{
    const settings& from;

    std::string operator()(std::string settings::*field) const
    {
        return from.*field;
    }
    std::string operator()(std::int64_t settings::*field) const
    {
        return std::to_string(from.*field);
    }
    std::string operator()(double settings::*field) const
    {
        std::ostringstream text;
        text << from.*field;
        return text.str();
    }
    std::string operator()(address settings::*) const { return ""; }
    std::string operator()(std::vector<address> settings::*) const
    {
        return "[]";
    }
};

/** Prints all settings as the Markdown table of docs/SETTINGS.md. */
void list_settings()
{
    const settings defaults;
    std::cout << "| setting | default | range | meaning |\n|---|---|---|---|\n";
    for (const auto& each : setting_table())
    {
        const auto shown = std::visit(shown_default{defaults}, each.into);
        std::cout << "| `" << each.path << "` | "
                  << (each.required ? "required" : shown) << " | ";
        if (each.max_value != 0)
            std::cout << each.min_value << " to " << each.max_value;
        std::cout << " | " << each.help << " |\n";
    }
}

int run(const std::string& path, bool check_only)
{
    auto outcome = load_settings(path);
    for (const auto& problem : outcome.problems)
        std::cerr << problem.message() << "\n";
    if (!outcome.problems.empty())
        return exit_bad_settings;
    if (check_only)
    {
        std::cout << path << ": settings are good\n";
        return 0;
    }
    log_level level{};
    parse_log_level(outcome.read.log_level, level);
    start_logging(level);
    const auto token = read_operator_token(outcome.read);
    if (!token)
    {
        std::cerr << token.reason().message() << "\n";
        return exit_bad_settings;
    }
    node local_node(std::move(outcome.read), *token);
    if (const auto opened = local_node.open(); !opened)
    {
        std::cerr << opened.reason().message() << "\n";
        return exit_cannot_start;
    }
    print_addresses(local_node.config());
    // Skips destructors: fibers may still wait, and nothing is left to save.
    std::_Exit(local_node.run());
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("tillerd", "A tillerhall node.");
    options.add_options()("c,config", "settings file (YAML)",
                          cxxopts::value<std::string>())(
        "check-config", "check the settings and exit: 0 good, 2 bad")(
        "list-settings", "print every setting and exit")("h,help", "show this");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("list-settings") != 0)
        {
            list_settings();
            return 0;
        }
        if (given.count("help") != 0 || given.count("config") == 0)
        {
            std::cout << options.help();
            return given.count("help") != 0 ? 0 : exit_bad_settings;
        }
        return run(given["config"].as<std::string>(),
                   given.count("check-config") != 0);
    }
    catch (const cxxopts::exceptions::exception& failed)
    {
        std::cerr << failed.what() << "\n" << options.help();
        return exit_bad_settings;
    }
}
