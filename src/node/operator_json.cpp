#include "tillerhall/node/operator_json.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace tillerhall
{

namespace json = boost::json;

namespace
{

struct status_entry
{
    error_code code;
    unsigned status;
};

constexpr std::array status_table{
    status_entry{error_code::invalid_argument, 422},
    status_entry{error_code::bad_syntax, 400},
    status_entry{error_code::out_of_range, 422},
    status_entry{error_code::unknown_name, 404},
    status_entry{error_code::not_found, 404},
    status_entry{error_code::conflict, 409},
    status_entry{error_code::unauthorized, 401},
    status_entry{error_code::outcome_unknown, 504},
    status_entry{error_code::unavailable, 503},
};

json::array lines_of(const table_delta& changes)
{
    json::array lines;
    for (const auto& line : describe(changes))
        lines.emplace_back(line);
    return lines;
}

} // namespace

unsigned status_of(error_code code)
{
    const auto found =
        std::ranges::find(status_table, code, &status_entry::code);
    return found == status_table.end() ? 500 : found->status;
}

json::object to_json(const error& value)
{
    return {{"error", name_of(value.code())},
            {"detail", value.detail()},
            {"remedy", value.remedy()}};
}

json::array to_json(const std::vector<error>& problems)
{
    json::array list;
    for (const auto& each : problems)
        list.push_back(to_json(each));
    return list;
}

http_response respond(unsigned status, const json::value& body)
{
    http_response response;
    response.status = status;
    response.body = json::serialize(body) + "\n";
    return response;
}

http_response respond(const error& failed)
{
    return respond(status_of(failed.code()), to_json(failed));
}

json::object to_json(const version_record& record)
{
    return {{"version", record.version},
            {"digest", record.digest},
            {"author", record.author},
            {"accept_id", record.accept_id},
            {"accepted_us", record.accepted_us},
            {"changes", lines_of(record.changes)}};
}

json::object to_json(const merge_conflict& conflict)
{
    return {{"service", conflict.key.service}, {"place", conflict.key.place},
            {"column", conflict.column},       {"base", conflict.base},
            {"mine", conflict.mine},           {"theirs", conflict.theirs}};
}

http_response respond(const accept_outcome& outcome)
{
    if (!outcome.refused)
        return respond(200, json::object{{"version", outcome.version},
                                         {"digest", outcome.digest},
                                         {"unchanged", outcome.unchanged},
                                         {"repeated", outcome.repeated},
                                         {"changes", lines_of(outcome.changes)},
                                         {"answered_us", wall_clock_us()}});
    auto body = to_json(*outcome.refused);
    if (!outcome.problems.empty())
        body["problems"] = to_json(outcome.problems);
    if (outcome.head != 0)
    {
        body["head"] = outcome.head;
        json::array conflicts;
        for (const auto& each : outcome.conflicts)
            conflicts.push_back(to_json(each));
        body["conflicts"] = std::move(conflicts);
        body["rebased_draft"] = outcome.rebased_draft;
    }
    return respond(status_of(outcome.refused->code()), body);
}

json::object to_json(const traffic_counters& traffic)
{
    json::object kinds;
    for (std::size_t i = 0; i < traffic_kind_count; ++i)
    {
        const auto kind = static_cast<traffic_kind>(i);
        kinds[name_of(kind)] = json::object{{"in", traffic.bytes_in(kind)},
                                            {"out", traffic.bytes_out(kind)}};
    }
    return kinds;
}

std::int64_t orphan_routes(const route_view& routes, const member_list& members)
{
    std::int64_t orphans = 0;
    for (const auto& service : routes.table().table().services())
    {
        orphans += members.services().contains(service) ? 0 : 1;
        for (const auto& place : routes.find(service)->places)
            orphans += std::ranges::count_if(
                place.targets, [&](const member_ptr& each)
                { return members.find(each->rpc) == nullptr; });
    }
    return orphans;
}

std::int64_t serving_targets(const member_list& members)
{
    return std::ranges::count_if(members.ordered(), [](const keyed_member& each)
                                 { return takes_calls(*each.record); });
}

json::object to_operator_json(const member& value)
{
    return {{"node", value.rpc.text()},
            {"caller", value.caller.text()},
            {"operators", value.operators.text()},
            {"region", value.place.region},
            {"domain", value.place.domain},
            {"service", value.service},
            {"target", value.target.text()},
            {"target_state", name_of(value.target_is)},
            {"state", name_of(value.state)},
            {"incarnation", value.incarnation}};
}

json::object to_json(const journal_entry& entry)
{
    return {{"time_us", entry.time_us},
            {"decision", entry.decision},
            {"subject", entry.subject},
            {"reason", entry.reason},
            {"figures", entry.figures}};
}

json::object to_json(const call_record& record)
{
    json::array attempts;
    for (const auto& attempt : record.attempts)
        attempts.push_back(json::object{{"node", attempt.node},
                                        {"place", attempt.place},
                                        {"end", attempt.outcome},
                                        {"detail", attempt.detail},
                                        {"took_ms", attempt.took_ms}});
    return {{"time_us", record.time_us},      {"request_id", record.request_id},
            {"service", record.service},      {"end", record.end},
            {"version", record.version},      {"took_ms", record.took_ms},
            {"attempts", std::move(attempts)}};
}

} // namespace tillerhall
