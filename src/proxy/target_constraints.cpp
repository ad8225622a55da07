#include "tillerhall/proxy/target_constraints.hpp"
#include "tillerhall/proxy/target_notice.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <array>
#include <charconv>

namespace tillerhall
{
namespace
{

/** @return the shortest text that reads back as @p rate. */
std::string text_of(double rate)
{
    std::array<char, 32> text{};
    const auto written =
        std::to_chars(text.data(), text.data() + text.size(), rate);
    return {text.data(), written.ptr};
}

void remove_constraints(boost::beast::http::fields& fields)
{
    for (const auto* name : {hop_field::target_start, hop_field::target_limit,
                             hop_field::target_leaving})
        fields.erase(name);
}

} // namespace

void write_constraints(boost::beast::http::fields& fields,
                       const std::optional<target_constraints>& constraints)
{
    remove_constraints(fields);
    if (!constraints)
        return;
    fields.set(hop_field::target_start, constraints->start);
    if (constraints->rate_limit)
        fields.set(hop_field::target_limit, text_of(*constraints->rate_limit));
    if (constraints->is_leaving)
        fields.set(hop_field::target_leaving, "1");
}

std::optional<target_constraints>
take_constraints(boost::beast::http::fields& fields)
{
    target_constraints read;
    read.start = std::string(fields[hop_field::target_start]);
    read.rate_limit = parse_rate(fields[hop_field::target_limit]);
    read.is_leaving = fields.count(hop_field::target_leaving) != 0;
    remove_constraints(fields);
    return read.start.empty() ? std::nullopt : std::optional(std::move(read));
}

} // namespace tillerhall
