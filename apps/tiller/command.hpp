/** @file Declarations shared by the subcommands of `tiller`. */
#pragma once

#include "mesh_client.hpp"

#include "tillerhall/core/worker.hpp"

#include <boost/json/value.hpp>
#include <cxxopts.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall::cli
{

/** Exit codes, as docs/OPERATORS.md lists them. */
enum exit_code : int
{
    exit_ok = 0,
    exit_refused = 1,     ///< the mesh or a check refused the request
    exit_usage = 2,       ///< the command line or a file is wrong
    exit_unreachable = 3, ///< no node answered
    exit_unknown = 4,     ///< the outcome of a change is not known
    exit_not_in_force = 5 ///< the version was not in force in time
};

/** The context and arguments of one run of a subcommand. */
struct invocation
{
    worker& main_worker;
    mesh_client& mesh;
    const cxxopts::ParseResult& options;
    std::vector<std::string> arguments; ///< positional
    bool as_json;
};

/** One subcommand. */
struct command
{
    std::string_view name;
    std::string_view arguments; ///< as shown in its usage
    std::string_view summary;
    std::string_view example;
    std::size_t min_arguments;
    std::size_t max_arguments;
    int (*run)(invocation& given);
};

/** @return all subcommands, in the order of the help. */
std::span<const command> commands();

/** Prints @p failed to standard error. @return its exit code. */
int fail(const error& failed);

/** Prints the problem that @p answer reports. @return its exit code. */
int fail(const http_response& answer);

int run_show(invocation& given);
int run_edit(invocation& given);
int run_check(invocation& given);
int run_diff(invocation& given);
int run_accept(invocation& given);
int run_watch(invocation& given);
int run_history(invocation& given);
int run_restore(invocation& given);
int run_nodes(invocation& given);
int run_targets(invocation& given);
int run_why(invocation& given);
int run_report(invocation& given);
int run_explain(invocation& given);
int run_accounts(invocation& given);
int run_rollout(invocation& given);
int run_domains(invocation& given);
int run_completion(invocation& given);

/** Prints the progress of @p version until it is in force everywhere or
 * --timeout has passed. @return the exit code. */
int watch_version(invocation& given, std::uint64_t version);

} // namespace tillerhall::cli
