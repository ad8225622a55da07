#include "tillerhall/core/base64.hpp"

#include <openssl/evp.h>

namespace tillerhall
{
namespace
{
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_signs = 4;
} // namespace

std::string encode_base64(std::string_view plain)
{
    const auto groups = (plain.size() + group_bytes - 1) / group_bytes;
    std::string text(groups * group_signs + 1, '\0'); // the library ends it
    const auto size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(plain.data()),
                        static_cast<int>(plain.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

result<std::string> decode_base64(std::string_view text)
{
    std::string plain(text.size() / group_signs * group_bytes, '\0');
    const auto size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(plain.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
        return error(error_code::bad_syntax, "a value is not base64");
    // The library counts padding as bytes.
    const auto padding = text.ends_with("==")  ? 2U
                         : text.ends_with("=") ? 1U
                                               : 0U;
    plain.resize(static_cast<std::size_t>(size) - padding);
    return plain;
}

} // namespace tillerhall
