#include "tillerhall/quota/quota_message.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <stdexcept>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

// Limits on received values, so that no message corrupts a bucket.
constexpr std::int64_t max_count = 10'000'000;
constexpr double max_demand_ratio = 10'000;
constexpr std::int64_t max_wait_ms = 60'000;

std::int64_t count_from(const json::value& value)
{
    return std::clamp(json::value_to<std::int64_t>(value), -max_count,
                      max_count);
}

} // namespace

json::value to_json(const std::vector<quota_counts>& sent)
{
    json::array list;
    for (const auto& each : sent)
    {
        json::array cells{each.account, each.asked, each.admitted};
        if (each.level)
            cells.push_back(*each.level);
        list.push_back(std::move(cells));
    }
    return list;
}

json::value to_json(const std::vector<quota_limit>& sent)
{
    json::array list;
    for (const auto& each : sent)
        list.push_back(json::array{each.account, each.admitted,
                                   to_ms(each.wait), each.demand_ratio});
    return list;
}

json::value refusals_to_json(const std::vector<quota_counts>& sent)
{
    json::array list;
    for (const auto& each : sent)
        if (each.refused > 0)
            list.push_back(json::array{each.account, each.refused});
    return list;
}

void add_refusals(std::vector<quota_counts>& counts, const json::value& read)
{
    std::map<std::string, std::int64_t> refused;
    for (const auto& each : read.as_array())
    {
        const auto& cells = each.as_array();
        refused[json::value_to<std::string>(cells.at(0))] =
            std::max<std::int64_t>(0, count_from(cells.at(1)));
    }
    for (auto& each : counts)
        if (const auto found = refused.find(each.account);
            found != refused.end())
            each.refused += found->second;
}

std::vector<quota_counts> quota_counts_from_json(const json::value& read)
{
    std::vector<quota_counts> list;
    for (const auto& each : read.as_array())
    {
        const auto& cells = each.as_array();
        quota_counts counts;
        counts.account = json::value_to<std::string>(cells.at(0));
        counts.asked = count_from(cells.at(1));
        counts.admitted = count_from(cells.at(2));
        if (cells.size() > 3)
            counts.level = json::value_to<double>(cells[3]);
        list.push_back(std::move(counts));
    }
    return list;
}

std::vector<quota_limit> quota_limits_from_json(const json::value& read)
{
    std::vector<quota_limit> list;
    for (const auto& each : read.as_array())
    {
        const auto& cells = each.as_array();
        quota_limit limit;
        limit.account = json::value_to<std::string>(cells.at(0));
        limit.admitted =
            std::clamp(json::value_to<double>(cells.at(1)), 0.0, 1.0);
        limit.wait =
            milliseconds(std::clamp(json::value_to<std::int64_t>(cells.at(2)),
                                    std::int64_t{0}, max_wait_ms));
        limit.demand_ratio = std::clamp(json::value_to<double>(cells.at(3)),
                                        1.0, max_demand_ratio);
        list.push_back(std::move(limit));
    }
    return list;
}

} // namespace tillerhall
