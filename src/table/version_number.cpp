#include "tillerhall/table/version_number.hpp"

#include <charconv>

namespace tillerhall
{

result<std::uint64_t> parse_version(const std::string& text)
{
    // The platform's stores and JSON hold signed numbers.
    std::int64_t version = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version);
    if (text.empty() || text.front() == '-' || parsed.ec != std::errc() ||
        parsed.ptr != end)
        return error(error_code::bad_syntax,
                     "\"" + text + "\" is not a version",
                     "give a number from `tiller history`");
    return static_cast<std::uint64_t>(version);
}

} // namespace tillerhall
