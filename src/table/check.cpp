#include "tillerhall/table/check.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

std::string join_names(const std::set<std::string>& names)
{
    std::string text;
    for (const auto& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text.empty() ? "none" : text;
}

void check_name(const row& checked,
                const std::string& column,
                const std::string& name,
                const std::set<std::string>& known,
                std::vector<error>& problems)
{
    if (known.contains(name))
        return;
    problems.emplace_back(
        error_code::unknown_name,
        "row " + checked.key.service + " at " + checked.key.place + ", " +
            column + " \"" + name + "\" is not known to the mesh",
        "start a target there first, or use one of: " + join_names(known));
}

} // namespace

std::vector<error> check_table(const config_table& table,
                               const known_names& known)
{
    std::vector<error> problems;
    for (const auto& each : table.rows())
    {
        check_name(each, "service", each.key.service, known.services, problems);
        check_name(each, "place", each.key.place, known.places, problems);
    }
    for (const auto& service : table.services())
    {
        const auto rows = table.rows_of(service);
        const bool all_weights_zero = std::ranges::all_of(
            rows, [](const row& each) { return each.weight == 0; });
        if (all_weights_zero)
            problems.emplace_back(error_code::out_of_range,
                                  "every weight of service \"" + service +
                                      "\" is 0, so no call could be served",
                                  "give at least one place a weight above 0");
    }
    return problems;
}

} // namespace tillerhall
