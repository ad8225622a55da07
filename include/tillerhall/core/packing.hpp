/** @file Compression of long texts in messages between nodes. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace tillerhall
{

/** The largest text that `unpack_text` returns, in bytes. */
inline constexpr std::size_t max_unpacked_bytes = 32 * 1024 * 1024;

/** @return @p text compressed by zlib, in Base64. */
std::string pack_text(std::string_view text);

/**
 * @return the original text; bad_syntax or corrupt if @p packed is damaged,
 * too_large if the text is longer than `max_unpacked_bytes`.
 */
result<std::string> unpack_text(std::string_view packed);

} // namespace tillerhall
