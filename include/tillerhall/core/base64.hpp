/** @file Base64 (RFC 4648). */
#pragma once

#include "tillerhall/core/result.hpp"

#include <string>
#include <string_view>

namespace tillerhall
{

/** @return @p bytes in Base64 with padding. */
std::string encode_base64(std::string_view bytes);

/** @return the decoded bytes; bad_syntax if @p text is not Base64. */
result<std::string> decode_base64(std::string_view text);

} // namespace tillerhall
