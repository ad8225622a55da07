#include "tillerhall/rollout/owner_report.hpp"

#include <boost/json.hpp>
#include <stdexcept>

namespace tillerhall
{
namespace
{
namespace json = boost::json;
} // namespace

json::object to_json(const owner_report& sent)
{
    return {{"f", sent.owner.text()}, {"s", sent.service},
            {"i", sent.target_id},    {"v", sent.release},
            {"b", sent.boot},         {"n", sent.running},
            {"t", sent.taken},        {"c", to_json(sent.counts)}};
}

owner_report owner_report_from_json(const json::object& members)
{
    owner_report read;
    const auto owner = address::parse(members.at("f").as_string().c_str());
    if (!owner)
        throw std::invalid_argument(owner.reason().detail());
    read.owner = *owner;
    read.service = json::value_to<std::string>(members.at("s"));
    read.boot = json::value_to<std::uint64_t>(members.at("b"));
    read.target_id = json::value_to<std::string>(members.at("i"));
    read.release = json::value_to<std::string>(members.at("v"));
    read.running = json::value_to<std::uint32_t>(members.at("n"));
    read.taken = json::value_to<std::uint64_t>(members.at("t"));
    read.counts = counts_from_json(members.at("c"));
    return read;
}

} // namespace tillerhall
