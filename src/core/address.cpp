#include "tillerhall/core/address.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace tillerhall
{

std::string address::text() const
{
    return ip + ":" + std::to_string(port);
}

result<address> address::parse(std::string_view text)
{
    const auto refuse = [&]
    {
        return error(error_code::invalid_argument,
                     "\"" + std::string(text) + "\" is not an address",
                     "write an IP number and a port, such as 127.0.0.1:7000");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return refuse();
    address parsed;
    parsed.ip = std::string(text.substr(0, colon));
    boost::system::error_code failed;
    boost::asio::ip::make_address(parsed.ip, failed);
    const auto* const end = text.data() + text.size();
    const auto number =
        std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (failed || number.ec != std::errc() || number.ptr != end)
        return refuse();
    return parsed;
}

} // namespace tillerhall
