#include "tillerhall/core/digest.hpp"
#include "tillerhall/core/random.hpp"

#include <algorithm>
#include <array>
#include <openssl/evp.h>

namespace tillerhall
{
namespace
{
constexpr std::size_t digest_bytes = 16;
constexpr std::string_view hex_digits = "0123456789abcdef";
} // namespace

std::string digest_of(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), hash.data(), &size, EVP_sha256(),
               nullptr);
    std::string hex;
    hex.reserve(2 * digest_bytes);
    std::for_each_n(hash.begin(), digest_bytes,
                    [&hex](unsigned char byte)
                    {
                        hex.push_back(hex_digits[byte >> 4]);
                        hex.push_back(hex_digits[byte & 15]);
                    });
    return hex;
}

std::uint64_t stable_hash(std::string_view text) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix_bits(hash);
}

} // namespace tillerhall
