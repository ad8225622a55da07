/** @file Long texts made short for the way between nodes. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace tillerhall
{

/** No text that is unpacked may be longer: a few thousand routes have 1 MB. */
inline constexpr std::size_t longest_unpacked = 32 * 1024 * 1024;

/** @return @p text compressed (zlib) and as signs that JSON can carry. */
std::string pack_text(std::string_view text);

/**
 * @return the text that was packed; bad_syntax or corrupt if it was damaged,
 * too_large if it is over `longest_unpacked`.
 */
result<std::string> unpack_text(std::string_view packed);

} // namespace tillerhall
