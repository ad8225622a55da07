#include "tillerhall/control/routes_update.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{
namespace json = boost::json;

// Above the uptime of any host.
constexpr std::int64_t max_clock_ms = to_ms(std::chrono::years(100));

std::int64_t age_of(const json::value& given)
{
    return std::clamp<std::int64_t>(json::value_to<std::int64_t>(given), 0,
                                    to_ms(max_update_age));
}
} // namespace

json::object to_json(const routes_update& sent)
{
    json::object members{{"f", sent.reader},       {"k", sent.rank},
                         {"v", sent.version},      {"s", sent.revision},
                         {"a", sent.store_age_ms}, {"b", sent.answer_ms},
                         {"h", sent.relayed_ms},   {"t", sent.sent_ms}};
    if (sent.is_receiving)
        members["w"] = 1;
    if (!sent.packed.empty())
        members["c"] = sent.packed;
    if (!sent.drained.empty())
        members["d"] = json::value_from(sent.drained);
    put_range(members, sent.range);
    return members;
}

routes_update routes_update_from_json(const json::object& members)
{
    routes_update read;
    read.reader = json::value_to<std::string>(members.at("f"));
    read.rank = json::value_to<std::size_t>(members.at("k"));
    read.version = json::value_to<std::uint64_t>(members.at("v"));
    read.revision = json::value_to<std::uint64_t>(members.at("s"));
    read.store_age_ms = age_of(members.at("a"));
    if (const auto* answer = members.if_contains("b"))
        read.answer_ms = age_of(*answer);
    if (const auto* relayed = members.if_contains("h"))
        read.relayed_ms = age_of(*relayed);
    if (const auto* sent = members.if_contains("t"))
        read.sent_ms = std::clamp<std::int64_t>(
            json::value_to<std::int64_t>(*sent), 0, max_clock_ms);
    read.is_receiving = members.contains("w");
    if (const auto* packed = members.if_contains("c"))
        read.packed = json::value_to<std::string>(*packed);
    if (const auto* drained = members.if_contains("d"))
        read.drained = json::value_to<std::set<std::string>>(*drained);
    read.range = range_from_json(members);
    return read;
}

} // namespace tillerhall
