/** @file Digests of contents and stable hashes of names. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tillerhall
{

/** @return the first 128 bits of SHA-256 of @p text, as 32 hex digits. */
std::string digest_of(std::string_view text);

/** @return FNV-1a of @p text with its bits mixed; the same on every host. */
std::uint64_t stable_hash(std::string_view text) noexcept;

} // namespace tillerhall
