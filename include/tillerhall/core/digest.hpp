/** @file Content digests and a hash that is the same on every host. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tillerhall
{

/** @return the first 128 bits of SHA-256 of @p text, as 32 hex digits. */
std::string digest_of(std::string_view text);

/** @return the FNV-1a hash of @p text, passed through `mix_bits`; the same on
 * every host. */
std::uint64_t stable_hash(std::string_view text) noexcept;

} // namespace tillerhall
