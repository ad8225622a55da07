/** @file An IP number and port. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace tillerhall
{

/** Where a process listens: an IP number in text form and a port. */
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    /** @return "ip:port". */
    std::string text() const;

    /** @return the address written in @p text as "ip:port", names refused. */
    static result<address> parse(std::string_view text);

    auto operator<=>(const address&) const = default;
};

} // namespace tillerhall
