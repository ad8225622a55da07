/** @file Version numbers as operators write them. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <cstdint>
#include <string>

namespace tillerhall
{

/** @return the version number @p text, of decimal digits only, or
 * `bad_syntax`. */
result<std::uint64_t> parse_version(const std::string& text);

} // namespace tillerhall
