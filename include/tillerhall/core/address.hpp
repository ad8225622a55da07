/** @file An IP address and port. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace tillerhall
{

/** A socket address: an IP address in text form and a port. */
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    /** @return "ip:port". */
    std::string text() const;

    /** Parses "ip:port"; host names give invalid_argument. */
    static result<address> parse(std::string_view text);

    auto operator<=>(const address&) const = default;
};

} // namespace tillerhall
