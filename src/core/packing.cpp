#include "tillerhall/core/packing.hpp"
#include "tillerhall/core/base64.hpp"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace tillerhall
{
namespace
{

// Favors processor time over size.
constexpr int compression_level = Z_BEST_SPEED;
// Small, since the chunk is on the stack of a fiber.
constexpr std::size_t chunk_bytes = 4 * 1024;

/** Owns the state of a zlib decompression. */
class inflater
{
public:
    explicit inflater(std::string_view compressed)
    {
        m_state.next_in = reinterpret_cast<Bytef*>(
            const_cast<char*>(compressed.data())); // zlib does not write to it
        m_state.avail_in = static_cast<uInt>(compressed.size());
        m_status = inflateInit(&m_state);
    }
    ~inflater() { inflateEnd(&m_state); }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;

    bool at_end() const { return m_status == Z_STREAM_END; }
    bool failed() const { return m_status != Z_OK && !at_end(); }

    /** Decompresses up to one chunk and appends it to @p into. */
    void step(std::string& into)
    {
        std::array<char, chunk_bytes> chunk;
        m_state.next_out = reinterpret_cast<Bytef*>(chunk.data());
        m_state.avail_out = static_cast<uInt>(chunk.size());
        m_status = inflate(&m_state, Z_NO_FLUSH);
        into.append(chunk.data(), chunk.size() - m_state.avail_out);
    }

private:
    z_stream m_state{};
    int m_status = Z_OK;
};

} // namespace

std::string pack_text(std::string_view text)
{
    auto size = compressBound(static_cast<uLong>(text.size()));
    std::string bytes(size, '\0');
    compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
              reinterpret_cast<const Bytef*>(text.data()),
              static_cast<uLong>(text.size()), compression_level);
    bytes.resize(size);
    return encode_base64(bytes);
}

result<std::string> unpack_text(std::string_view packed)
{
    const auto bytes = decode_base64(packed);
    if (!bytes)
        return bytes.reason();
    std::string text;
    inflater stream(*bytes);
    while (!stream.at_end() && !stream.failed())
    {
        stream.step(text);
        if (text.size() > max_unpacked_bytes)
            return error(error_code::too_large, "a packed text");
    }
    if (stream.failed())
        return error(error_code::corrupt, "a packed text is damaged");
    return text;
}

} // namespace tillerhall
