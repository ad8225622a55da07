#include "tillerhall/core/base64.hpp"

#include <openssl/evp.h>

namespace tillerhall
{
namespace
{
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_chars = 4;
} // namespace

std::string encode_base64(std::string_view bytes)
{
    const auto groups = (bytes.size() + group_bytes - 1) / group_bytes;
    std::string text(groups * group_chars + 1, '\0'); // + NUL
    const auto size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

result<std::string> decode_base64(std::string_view text)
{
    std::string bytes(text.size() / group_chars * group_bytes, '\0');
    const auto size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
        return error(error_code::bad_syntax, "a value is not base64");
    // EVP_DecodeBlock counts padding as decoded bytes.
    const auto padding = text.ends_with("==")  ? 2U
                         : text.ends_with("=") ? 1U
                                               : 0U;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace tillerhall
