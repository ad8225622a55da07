#include "tillerhall/proxy/target_notice.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <charconv>
#include <cmath>

namespace tillerhall
{

std::optional<double> parse_rate(std::string_view text)
{
    double rate = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, rate);
    const bool is_number =
        !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_number || !std::isfinite(rate) || rate < 0)
        return std::nullopt;
    return rate;
}

target_notice read_notice(const boost::beast::http::fields& fields,
                          const wire_names& names)
{
    target_notice notice;
    const auto limits = fields.count(names.rate_limit);
    if (limits == 1)
        notice.rate_limit = parse_rate(fields[names.rate_limit]);
    notice.has_invalid_limit = limits != 0 && !notice.rate_limit;
    notice.is_leaving = fields[names.leaving] == "1";
    return notice;
}

} // namespace tillerhall
