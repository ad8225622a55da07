#include "tillerhall/routing/capacity_message.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <set>
#include <stdexcept>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

// Slots and demands of one service in one domain are far below this.
constexpr double max_slots = 1'000'000;
constexpr std::int64_t max_age_ms = 60'000;
constexpr std::size_t max_nodes = 100'000;
// Parts of a domain's demand are sent in millionths.
constexpr double parts_unit = 1'000'000;
// Figures are sent as integers, to be short: sums of a domain in tenths of a
// slot, those of one entry in thousandths, since with many entries each needs a
// small part of a slot.
constexpr double tenths = 10;
constexpr double thousandths = 1'000;

/** A figure of a message: the member and its unit. */
template <class Sum>
struct figure
{
    double Sum::*member;
    double unit;
};

constexpr std::array<figure<owner_capacity>, 3> owner_figures{
    {{&owner_capacity::slots, tenths},
     {&owner_capacity::own_used, tenths},
     {&owner_capacity::lent_used, tenths}}};
constexpr std::array<figure<entry_demand>, 2> entry_figures{
    {{&entry_demand::slots, thousandths}, {&entry_demand::borrowed, tenths}}};
constexpr std::array<figure<service_sum>, 4> sum_figures{
    {{&service_sum::capacity, tenths},
     {&service_sum::demand, tenths},
     {&service_sum::lent, tenths},
     {&service_sum::borrowed, tenths}}};

/** Appends the figures of @p sum to @p cells. */
template <class Sum, std::size_t count>
void put_figures(json::array& cells,
                 const Sum& sum,
                 const std::array<figure<Sum>, count>& figures)
{
    for (const auto& each : figures)
        cells.push_back(std::llround(
            std::clamp(sum.*each.member, 0.0, max_slots) * each.unit));
}

/** Reads figures from @p cells from @p position on, which is advanced.
 * @return whether all are such as a deployment has */
template <class Sum, std::size_t count>
bool take_figures(const json::array& cells,
                  std::size_t& position,
                  Sum& sum,
                  const std::array<figure<Sum>, count>& figures)
{
    bool is_valid = true;
    for (const auto& each : figures)
    {
        const double read =
            cells.at(position++).to_number<double>() / each.unit;
        is_valid = is_valid && read >= 0 && read <= max_slots;
        sum.*each.member = read;
    }
    return is_valid;
}

template <class Sum, std::size_t count>
json::array to_cells(const Sum& sum,
                     const std::array<figure<Sum>, count>& figures)
{
    json::array cells{sum.service};
    put_figures(cells, sum, figures);
    return cells;
}

/** Reads a list of services with figures without those that are invalid. */
template <class Sum, std::size_t count>
std::vector<Sum> list_from(const json::array& read,
                           std::size_t& ignored,
                           const std::array<figure<Sum>, count>& figures)
{
    std::vector<Sum> list;
    std::set<std::string> seen;
    for (const auto& each : read)
    {
        const auto& cells = each.as_array();
        Sum sum;
        sum.service = json::value_to<std::string>(cells.at(0));
        std::size_t position = 1;
        if (take_figures(cells, position, sum, figures) &&
            seen.insert(sum.service).second)
            list.push_back(std::move(sum));
        else
            ++ignored;
    }
    return list;
}

member_place place_from(const json::array& cells)
{
    return {json::value_to<std::string>(cells.at(0)),
            json::value_to<std::string>(cells.at(1))};
}

milliseconds age_from(const json::value& cell)
{
    return milliseconds(std::clamp(cell.to_number<std::int64_t>(),
                                   std::int64_t{0}, max_age_ms));
}

/** @return the sum of @p service, which may be missing. */
service_sum& sum_in(domain_sums& domain, const std::string& service)
{
    const auto found =
        std::ranges::find(domain.services, service, &service_sum::service);
    return found == domain.services.end()
               ? domain.services.emplace_back(service_sum{service})
               : *found;
}

address address_from(const json::value& read)
{
    const auto parsed = address::parse(read.as_string());
    if (!parsed)
        throw std::invalid_argument("not an address");
    return *parsed;
}

} // namespace

json::object to_json(const capacity_report& sent)
{
    json::object made{{"n", sent.node.text()}, {"q", sent.sequence}};
    if (sent.owner)
        made["o"] = to_cells(*sent.owner, owner_figures);
    json::array demands;
    for (const auto& each : sent.demands)
        demands.push_back(to_cells(each, entry_figures));
    made["e"] = std::move(demands);
    return made;
}

json::object to_json(const domain_sums& sent)
{
    json::array services;
    for (const auto& each : sent.services)
        services.push_back(to_cells(each, sum_figures));
    return {{"p", json::array{sent.place.region, sent.place.domain}},
            {"r", sent.reader.text()},
            {"q", sent.sequence},
            {"n", sent.nodes},
            {"a", sent.age.count()},
            {"s", std::move(services)}};
}

json::object to_json(const capacity_answer& sent)
{
    json::array domains;
    std::set<std::string> names;
    for (const auto& each : sent.domains)
    {
        domains.push_back(json::array{each.place.region, each.place.domain,
                                      each.age.count()});
        for (const auto& sum : each.services)
            names.insert(sum.service);
    }
    json::array services;
    for (const auto& name : names)
    {
        const auto part = std::ranges::find(
            sent.parts, name, &std::pair<std::string, double>::first);
        json::array cells{name};
        cells.push_back(part == sent.parts.end()
                            ? 0
                            : std::llround(part->second * parts_unit));
        for (auto domain : sent.domains)
            put_figures(cells, sum_in(domain, name), sum_figures);
        services.push_back(std::move(cells));
    }
    return {{"d", std::move(domains)}, {"s", std::move(services)}};
}

capacity_report capacity_report_from_json(const json::object& read,
                                          std::size_t& ignored)
{
    capacity_report report;
    report.node = address_from(read.at("n"));
    report.sequence = read.at("q").to_number<std::uint64_t>();
    if (const auto* owner = read.if_contains("o"))
    {
        auto owners = list_from(json::array{*owner}, ignored, owner_figures);
        if (!owners.empty())
            report.owner = std::move(owners.front());
    }
    report.demands = list_from(read.at("e").as_array(), ignored, entry_figures);
    return report;
}

domain_sums domain_sums_from_json(const json::object& read,
                                  std::size_t& ignored)
{
    domain_sums sums;
    sums.place = place_from(read.at("p").as_array());
    sums.reader = address_from(read.at("r"));
    sums.sequence = read.at("q").to_number<std::uint64_t>();
    sums.nodes = std::min(read.at("n").to_number<std::size_t>(), max_nodes);
    sums.age = age_from(read.at("a"));
    sums.services = list_from(read.at("s").as_array(), ignored, sum_figures);
    return sums;
}

capacity_answer capacity_answer_from_json(const json::object& read,
                                          std::size_t& ignored)
{
    capacity_answer answer;
    for (const auto& each : read.at("d").as_array())
    {
        auto& domain = answer.domains.emplace_back();
        domain.place = place_from(each.as_array());
        domain.age = age_from(each.as_array().at(2));
    }
    for (const auto& each : read.at("s").as_array())
    {
        const auto& cells = each.as_array();
        const auto name = json::value_to<std::string>(cells.at(0));
        const double part = cells.at(1).to_number<double>() / parts_unit;
        std::vector<service_sum> sums(answer.domains.size(), service_sum{name});
        std::size_t position = 2;
        bool is_valid = part >= 0 && part <= 1;
        for (auto& sum : sums)
            is_valid =
                take_figures(cells, position, sum, sum_figures) && is_valid;
        const bool is_new =
            std::ranges::find(answer.parts, name,
                              &std::pair<std::string, double>::first) ==
            answer.parts.end();
        if (!is_valid || !is_new)
        {
            ++ignored;
            continue;
        }
        answer.parts.emplace_back(name, part);
        for (std::size_t i = 0; i < sums.size(); ++i)
            answer.domains[i].services.push_back(std::move(sums[i]));
    }
    return answer;
}

} // namespace tillerhall
