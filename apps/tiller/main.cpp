/** @file The command-line tool for operators. */
#include "command.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tillerhall::cli
{
namespace
{

constexpr std::size_t unlimited_arguments = 1000;

constexpr std::array command_table{
    command{"show", "[VERSION]", "print a version's table as a CSV draft",
            "tiller show > draft.csv", 0, 1, run_show},
    command{"edit", "DRAFT.csv SERVICE PLACE COLUMN=VALUE...",
            "change cells of a draft (--add makes the row, --remove drops it)",
            "tiller edit draft.csv perceel polder-a weight=50", 3,
            unlimited_arguments, run_edit},
    command{"check", "DRAFT.csv", "list every problem of a draft",
            "tiller check draft.csv", 1, 1, run_check},
    command{"diff", "A B", "compare two versions or drafts cell by cell",
            "tiller diff 12 draft.csv", 2, 2, run_diff},
    command{"accept", "DRAFT.csv", "put a draft in force on every node",
            "tiller accept draft.csv --watch", 1, 1, run_accept},
    command{"watch", "[VERSION]", "follow a version until it is in force",
            "tiller watch 13 --timeout 10", 0, 1, run_watch},
    command{"history", "", "list the last versions and the cells they changed",
            "tiller history --limit 5", 0, 0, run_history},
    command{"restore", "VERSION", "accept an old table as a new version",
            "tiller restore 12 --watch", 1, 1, run_restore},
    command{"nodes", "", "list nodes, versions and control bytes",
            "tiller nodes", 0, 0, run_nodes},
    command{"targets", "", "list targets by service and place",
            "tiller targets", 0, 0, run_targets},
    command{"why", "[SUBJECT]", "show what a node decided and why",
            "tiller why perceel --node 10.0.0.5:7400", 0, 1, run_why},
    command{"explain", "REQUEST_ID",
            "show the attempts and the outcome of a call",
            "tiller explain 4f1c22", 1, 1, run_explain},
    command{"report", "burn", "service-level burn of all services and places",
            "tiller report burn --service perceel --html burn.html", 1, 1,
            run_report},
    command{
        "rollout", "[list | start SERVICE RELEASE | abort SERVICE]",
        "list, start or abort roll-outs of a release to a service's targets",
        "tiller rollout start perceel v2 --timeout 600", 0, 3, run_rollout},
    command{"domains", "[SERVICE]",
            "show the capacity reported, lent and borrowed by failure domains",
            "tiller domains perceel", 0, 1, run_domains},
    command{"accounts", "[NAME]",
            "list accounts with their quotas and what they spent",
            "tiller accounts --limit 50", 0, 1, run_accounts},
    command{"completion", "", "print a bash completion script",
            "source <(tiller completion)", 0, 0, run_completion},
};

cxxopts::Options make_options(const std::string& name)
{
    cxxopts::Options options("tiller " + name);
    options.add_options()("node",
                          "operator addresses of nodes, separated by commas "
                          "(or TILLER_NODES)",
                          cxxopts::value<std::vector<std::string>>())(
        "token-file", "file with the operator token (or TILLER_TOKEN)",
        cxxopts::value<std::string>())("json", "print JSON")(
        "accept-id", "idempotency key of this accept, for retries",
        cxxopts::value<std::string>())("base",
                                       "version the draft was taken from",
                                       cxxopts::value<std::uint64_t>())(
        "rebase",
        "merge the draft with edits of newer versions to other cells")(
        "watch", "follow the version until it is in force")(
        "timeout", "seconds until a watch or a roll-out times out",
        cxxopts::value<double>()->default_value("60"))(
        "limit", "versions or accounts to list",
        cxxopts::value<unsigned>()->default_value("20"))(
        "service", "only this service", cxxopts::value<std::string>())(
        "html", "write the report as a page to this file",
        cxxopts::value<std::string>())("author", "author of the new version",
                                       cxxopts::value<std::string>())(
        "add", "make the row if there is none")("remove", "drop the row")(
        "h,help", "show this")("arguments", "",
                               cxxopts::value<std::vector<std::string>>());
    options.parse_positional("arguments");
    return options;
}

void print_overview()
{
    std::cout
        << "tiller: the command-line tool for operators of tillerhall\n\n";
    for (const auto& each : commands())
        std::cout << "  tiller " << each.name
                  << (each.arguments.empty() ? "" : " ") << each.arguments
                  << "\n      " << each.summary << "\n";
    std::cout << "\n`tiller COMMAND --help` shows options and an example.\n"
                 "Exit codes: 0 done, 1 refused, 2 usage, 3 no node answered, "
                 "4 outcome unknown, 5 not in force.\n";
}

result<std::vector<address>> read_nodes(const cxxopts::ParseResult& options)
{
    std::vector<std::string> texts;
    if (options.count("node") != 0)
        texts = options["node"].as<std::vector<std::string>>();
    else if (const char* given = std::getenv("TILLER_NODES"))
    {
        std::istringstream list(given);
        for (std::string text; std::getline(list, text, ',');)
            texts.push_back(text);
    }
    std::vector<address> nodes;
    for (const auto& text : texts)
    {
        auto parsed = address::parse(text);
        if (!parsed)
            return parsed.reason();
        nodes.push_back(*parsed);
    }
    return nodes;
}

result<std::string> read_token(const cxxopts::ParseResult& options)
{
    if (options.count("token-file") == 0)
    {
        const char* given = std::getenv("TILLER_TOKEN");
        return std::string(given == nullptr ? "" : given);
    }
    const auto path = options["token-file"].as<std::string>();
    std::ifstream file(path);
    std::string token;
    if (!std::getline(file, token))
        return error(error_code::not_found, "cannot read " + path,
                     "write the token on the first line of that file");
    return token;
}

int run_command(const command& chosen, const cxxopts::ParseResult& options)
{
    std::vector<std::string> arguments;
    if (options.count("arguments") != 0)
        arguments = options["arguments"].as<std::vector<std::string>>();
    if (arguments.size() < chosen.min_arguments ||
        arguments.size() > chosen.max_arguments)
    {
        std::cerr << "usage: tiller " << chosen.name << " " << chosen.arguments
                  << "\nexample: " << chosen.example << "\n";
        return exit_usage;
    }
    const auto nodes = read_nodes(options);
    if (!nodes)
        return fail(nodes.reason());
    const auto token = read_token(options);
    if (!token)
        return fail(token.reason());
    return run_main_fiber(
        [&](worker& main_worker)
        {
            mesh_client mesh(main_worker.io(), *nodes, *token);
            invocation given{main_worker, mesh, options, arguments,
                             options.count("json") != 0};
            return chosen.run(given);
        });
}

int dispatch(int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "--help";
    if (name == "--help" || name == "-h" || name == "help")
    {
        print_overview();
        return argc > 1 ? exit_ok : exit_usage;
    }
    const auto chosen = std::ranges::find(command_table, name, &command::name);
    if (chosen == command_table.end())
    {
        std::cerr << "unknown command \"" << name
                  << "\". Remedy: `tiller --help` lists them.\n";
        return exit_usage;
    }
    auto options = make_options(name);
    options.positional_help(std::string(chosen->arguments));
    try
    {
        const auto given = options.parse(argc - 1, argv + 1);
        if (given.count("help") != 0)
        {
            std::cout << chosen->summary << "\n\n"
                      << options.help() << "\nExample: " << chosen->example
                      << "\n";
            return exit_ok;
        }
        return run_command(*chosen, given);
    }
    catch (const cxxopts::exceptions::exception& failed)
    {
        std::cerr << failed.what() << ". Remedy: `tiller " << name
                  << " --help` lists the options.\n";
        return exit_usage;
    }
}

} // namespace

std::span<const command> commands()
{
    return command_table;
}

} // namespace tillerhall::cli

int main(int argc, char** argv)
{
    const int code = tillerhall::cli::dispatch(argc, argv);
    std::cout.flush();
    std::_Exit(code);
}
