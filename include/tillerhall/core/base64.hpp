/** @file Bytes as text of 64 signs (RFC 4648), as JSON can carry them. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <string>
#include <string_view>

namespace tillerhall
{

/** @return @p plain as text, padded. */
std::string encode_base64(std::string_view plain);

/** @return the bytes of @p text; bad_syntax if it is not such a text. */
result<std::string> decode_base64(std::string_view text);

} // namespace tillerhall
