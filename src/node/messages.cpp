#include "tillerhall/node/messages.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <numeric>
#include <stdexcept>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

json::array records_to_json(const std::vector<member>& records)
{
    json::array list;
    for (const auto& each : records)
        list.push_back(to_json(each));
    return list;
}

member record_from(const json::value& value)
{
    auto read = member_from_json(value);
    if (!read)
        throw std::invalid_argument(read.reason().detail());
    return std::move(*read);
}

std::vector<member> records_from(const json::value* list)
{
    std::vector<member> records;
    if (list != nullptr)
        for (const auto& each : list->as_array())
            records.push_back(record_from(each));
    return records;
}

/** Writes no member if there are no roll-outs. */
void put_rollouts(json::object& into, const std::vector<rollout_record>& sent)
{
    if (sent.empty())
        return;
    json::array list;
    for (const auto& each : sent)
        list.push_back(to_json(each, steady_clock::now()));
    into["o"] = std::move(list);
}

std::vector<rollout_record> rollouts_from(const json::object& members)
{
    std::vector<rollout_record> records;
    if (const auto* list = members.if_contains("o"))
        for (const auto& each : list->as_array())
            records.push_back(
                rollout_record_from_json(each, steady_clock::now()));
    return records;
}

template <class T>
T value_or(const json::object& members, const char* name, T otherwise)
{
    const auto* found = members.if_contains(name);
    return found == nullptr ? otherwise : json::value_to<T>(*found);
}

std::set<std::string> names_from(const json::object& members, const char* name)
{
    const auto* found = members.if_contains(name);
    return found == nullptr ? std::set<std::string>{}
                            : json::value_to<std::set<std::string>>(*found);
}

table_update update_from(const json::object& members)
{
    auto read = update_from_json(members);
    if (!read)
        throw std::invalid_argument(read.reason().detail());
    return std::move(*read);
}

} // namespace

void watch_report::add(const watch_report& other)
{
    for (const auto& [domain, counted] : other.domains)
    {
        domains[domain].at += counted.at;
        domains[domain].total += counted.total;
    }
    for (const auto& node : other.laggards)
        if (laggards.size() < max_named)
            laggards.push_back(node);
    greatest_version = std::max(greatest_version, other.greatest_version);
}

void watch_report::count(const std::string& domain,
                         const std::string& node,
                         bool at)
{
    ++domains[domain].total;
    if (at)
        ++domains[domain].at;
    else if (laggards.size() < max_named)
        laggards.push_back(node);
}

std::uint64_t watch_report::at() const noexcept
{
    return std::accumulate(domains.begin(), domains.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& each)
                           { return sum + each.second.at; });
}

std::uint64_t watch_report::total() const noexcept
{
    return std::accumulate(domains.begin(), domains.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& each)
                           { return sum + each.second.total; });
}

json::object to_json(const heartbeat_message& sent)
{
    json::object members{{"v", sent.version}, {"m", sent.members_digest}};
    if (!sent.from.empty())
        members["f"] = sent.from;
    if (sent.routes_version != 0)
        members["c"] = sent.routes_version;
    if (sent.source_age_ms >= 0)
        members["a"] = sent.source_age_ms;
    if (sent.asks_identity)
        members["q"] = 1;
    if (sent.sender_unknown)
        members["u"] = 1;
    if (!sent.rumors.empty())
        members["r"] = records_to_json(sent.rumors);
    put_rollouts(members, sent.rollouts);
    return members;
}

heartbeat_message heartbeat_from_json(const json::object& members)
{
    heartbeat_message read;
    read.from = value_or<std::string>(members, "f", "");
    read.version = json::value_to<std::uint64_t>(members.at("v"));
    read.members_digest = json::value_to<std::uint64_t>(members.at("m"));
    read.routes_version = value_or<std::uint64_t>(members, "c", 0);
    read.source_age_ms = value_or<std::int64_t>(members, "a", -1);
    read.asks_identity = members.contains("q");
    read.sender_unknown = members.contains("u");
    read.rumors = records_from(members.if_contains("r"));
    read.rollouts = rollouts_from(members);
    return read;
}

json::object to_json(const join_request& sent)
{
    json::object members{{"r", to_json(sent.joiner)}};
    if (sent.announce_to_others)
        members["n"] = 1;
    return members;
}

join_request join_request_from_json(const json::object& members)
{
    return {record_from(members.at("r")), members.contains("n")};
}

json::object to_json(const join_answer& sent)
{
    json::object members{{"r", records_to_json(sent.members)},
                         {"s", json::value_from(sent.services)},
                         {"p", json::value_from(sent.places)},
                         {"v", sent.version},
                         {"l", sent.last_reported_version},
                         {"a", sent.source_age_ms}};
    put_rollouts(members, sent.rollouts);
    return members;
}

join_answer join_answer_from_json(const json::object& members)
{
    join_answer read;
    read.members = records_from(members.if_contains("r"));
    read.services = names_from(members, "s");
    read.places = names_from(members, "p");
    read.version = json::value_to<std::uint64_t>(members.at("v"));
    read.last_reported_version = json::value_to<std::uint64_t>(members.at("l"));
    read.source_age_ms = json::value_to<std::int64_t>(members.at("a"));
    read.rollouts = rollouts_from(members);
    return read;
}

json::object to_json(const sync_answer& sent)
{
    return {{"d", json::value_from(sent.differing)},
            {"r", records_to_json(sent.members)},
            {"s", json::value_from(sent.services)},
            {"p", json::value_from(sent.places)}};
}

sync_answer sync_answer_from_json(const json::object& members)
{
    sync_answer read;
    read.members = records_from(members.if_contains("r"));
    read.services = names_from(members, "s");
    read.places = names_from(members, "p");
    read.differing = json::value_to<std::vector<std::size_t>>(members.at("d"));
    for (const auto index : read.differing)
        if (index >= member_list::bucket_count)
            throw std::out_of_range("no such bucket");
    return read;
}

json::object to_json(const announce_message& sent)
{
    json::object members{{"r", records_to_json(sent.records)}};
    put_range(members, sent.range);
    return members;
}

announce_message announce_from_json(const json::object& members)
{
    return {records_from(&members.at("r")), range_from_json(members)};
}

json::object to_json(const rollouts_message& sent)
{
    json::object members;
    put_rollouts(members, sent.records);
    put_range(members, sent.range);
    return members;
}

rollouts_message rollouts_message_from_json(const json::object& members)
{
    return {rollouts_from(members), range_from_json(members)};
}

json::object to_json(const push_message& sent)
{
    auto members = to_json(sent.update);
    members["f"] = sent.from;
    put_range(members, sent.range);
    return members;
}

push_message push_from_json(const json::object& members)
{
    return {json::value_to<std::string>(members.at("f")), update_from(members),
            range_from_json(members)};
}

json::object to_json(const pull_answer& sent)
{
    json::object members{{"v", sent.version}};
    if (sent.needs_snapshot)
        members["w"] = 1;
    json::array updates;
    for (const auto& each : sent.updates)
        updates.push_back(to_json(each));
    members["u"] = std::move(updates);
    return members;
}

pull_answer pull_answer_from_json(const json::object& members)
{
    pull_answer read;
    read.version = json::value_to<std::uint64_t>(members.at("v"));
    read.needs_snapshot = members.contains("w");
    for (const auto& each : members.at("u").as_array())
        read.updates.push_back(update_from(each.as_object()));
    return read;
}

json::object to_json(const watch_report& sent)
{
    json::array counts;
    for (const auto& [domain, counted] : sent.domains)
        counts.push_back(json::array{domain, counted.at, counted.total});
    json::object members{{"c", std::move(counts)},
                         {"g", sent.greatest_version}};
    if (!sent.laggards.empty())
        members["l"] = json::value_from(sent.laggards);
    return members;
}

watch_report watch_report_from_json(const json::object& members)
{
    watch_report read;
    for (const auto& each : members.at("c").as_array())
    {
        const auto& cells = each.as_array();
        auto& counted = read.domains[json::value_to<std::string>(cells.at(0))];
        counted.at = json::value_to<std::uint64_t>(cells.at(1));
        counted.total = json::value_to<std::uint64_t>(cells.at(2));
    }
    read.greatest_version = json::value_to<std::uint64_t>(members.at("g"));
    if (const auto* named = members.if_contains("l"))
        read.laggards = json::value_to<std::vector<std::string>>(*named);
    return read;
}

json::object to_json(const member_list::bucket_digests& sent)
{
    return {{"b", json::value_from(sent)}};
}

member_list::bucket_digests buckets_from_json(const json::object& members)
{
    return json::value_to<member_list::bucket_digests>(members.at("b"));
}

} // namespace tillerhall
