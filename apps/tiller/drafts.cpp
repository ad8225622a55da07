/** @file Subcommands for drafts: show, edit, check and diff. */
#include "command.hpp"

#include "tillerhall/table/column.hpp"
#include "tillerhall/table/csv.hpp"
#include "tillerhall/table/delta.hpp"
#include "tillerhall/table/version_number.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tillerhall::cli
{
namespace
{

namespace json = boost::json;

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return error(error_code::not_found, "cannot read " + path,
                     "give the path of a draft; `tiller show > draft.csv` "
                     "makes one");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void print_problems(const std::vector<error>& problems)
{
    for (const auto& each : problems)
        std::cerr << each.message() << "\n";
}

/** Replaces the file at @p path by renaming a complete new one over it. */
result<void> write_file(const std::string& path, const std::string& text)
{
    const auto temporary = path + ".new";
    std::ofstream file(temporary);
    file << text;
    file.close();
    std::error_code failed;
    if (file)
        std::filesystem::rename(temporary, path, failed);
    if (!file || failed)
        return error(error_code::invalid_argument, "cannot write " + path,
                     "check that the folder is writable and not full");
    return {};
}

/** Sets the cell that @p assignment, "COLUMN=VALUE", names. */
result<void> apply_assignment(row& edited, const std::string& assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos)
        return error(error_code::bad_syntax,
                     "\"" + assignment + "\" is not COLUMN=VALUE",
                     "write for example weight=50");
    const auto column = find_column(assignment.substr(0, equals));
    if (!column)
        return column.reason();
    return set_cell(edited, **column, assignment.substr(equals + 1));
}

result<void> edit_table(config_table& table, invocation& given)
{
    const row_key key{given.arguments[1], given.arguments[2]};
    if (given.options.count("remove") != 0)
    {
        if (table.remove(key))
            return {};
        return error(error_code::not_found,
                     "no row " + key.service + " at " + key.place);
    }
    row edited;
    edited.key = key;
    if (const auto* found = table.find(key))
        edited = *found;
    else if (given.options.count("add") == 0)
        return error(error_code::not_found,
                     "no row " + key.service + " at " + key.place,
                     "check the names, or give --add to make the row");
    for (std::size_t i = 3; i < given.arguments.size(); ++i)
        if (auto set = apply_assignment(edited, given.arguments[i]); !set)
            return set;
    table.put(edited);
    return {};
}

bool is_all_digits(const std::string& text)
{
    return !text.empty() && std::ranges::all_of(text, [](unsigned char c)
                                                { return std::isdigit(c); });
}

/** @return the table of a version number, or of the draft at a path. */
result<config_table> read_version_or_draft(invocation& given,
                                           const std::string& argument)
{
    auto text = result<std::string>(std::string());
    if (is_all_digits(argument))
    {
        const auto version = parse_version(argument);
        if (!version)
            return version.reason();
        std::uint64_t ignored = 0;
        text = given.mesh.read_csv(*version, ignored);
    }
    else
        text = read_file(argument);
    if (!text)
        return text.reason();
    auto outcome = read_csv(*text);
    if (!outcome.problems.empty())
        return outcome.problems.front();
    return std::move(outcome.parsed.table);
}

} // namespace

int run_show(invocation& given)
{
    std::uint64_t version = 0;
    if (!given.arguments.empty())
    {
        const auto asked = parse_version(given.arguments[0]);
        if (!asked)
            return fail(asked.reason());
        version = *asked;
    }
    std::uint64_t read = 0;
    const auto text = given.mesh.read_csv(version, read);
    if (!text)
        return fail(text.reason());
    if (given.as_json)
        std::cout << json::serialize(
                         json::object{{"version", read}, {"csv", *text}})
                  << "\n";
    else
        std::cout << "#tillerhall base=" << read << "\n" << *text;
    return exit_ok;
}

int run_edit(invocation& given)
{
    const auto& path = given.arguments[0];
    const auto text = read_file(path);
    if (!text)
        return fail(text.reason());
    auto outcome = read_csv(*text);
    if (!outcome.problems.empty())
    {
        print_problems(outcome.problems);
        return exit_usage;
    }
    auto& table = outcome.parsed.table;
    const auto before = table;
    if (const auto edited = edit_table(table, given); !edited)
        return fail(edited.reason());
    const auto written = outcome.parsed.base
                             ? write_draft(table, *outcome.parsed.base)
                             : write_csv(table);
    if (const auto stored = write_file(path, written); !stored)
        return fail(stored.reason());
    for (const auto& line : describe(diff(before, table)))
        std::cout << line << "\n";
    return exit_ok;
}

int run_check(invocation& given)
{
    const auto text = read_file(given.arguments[0]);
    if (!text)
        return fail(text.reason());
    const auto outcome = read_csv(*text);
    if (!outcome.problems.empty())
    {
        print_problems(outcome.problems);
        return exit_refused;
    }
    const auto answer = given.mesh.ask("POST", "/v1/check", *text);
    if (!answer)
        return fail(answer.reason());
    if (answer->status != 200)
        return fail(*answer);
    const auto body = json::parse(answer->body);
    const auto& problems = body.at("problems").as_array();
    for (const auto& each : problems)
        std::cerr << each.at("detail").as_string().c_str()
                  << ". Remedy: " << each.at("remedy").as_string().c_str()
                  << "\n";
    if (!problems.empty())
        return exit_refused;
    std::cout << "good: " << outcome.parsed.table.rows().size() << " rows\n";
    return exit_ok;
}

int run_diff(invocation& given)
{
    const auto from = read_version_or_draft(given, given.arguments[0]);
    if (!from)
        return fail(from.reason());
    const auto to = read_version_or_draft(given, given.arguments[1]);
    if (!to)
        return fail(to.reason());
    const auto lines = describe(diff(*from, *to));
    if (given.as_json)
        std::cout << json::serialize(json::value_from(lines)) << "\n";
    else
        for (const auto& line : lines)
            std::cout << line << "\n";
    return exit_ok;
}

} // namespace tillerhall::cli
