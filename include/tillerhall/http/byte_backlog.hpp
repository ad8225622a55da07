/** @file Bodies that are on their way to this node. */
#pragma once

#include <cstdint>

namespace tillerhall
{

/** Bytes of the bodies that are being read now, whole ones as long as any of
 * their bytes are missing. For fibers of one worker. */
class byte_backlog
{
public:
    /** Counts one body for as long as it lives; null counts nowhere. */
    class body
    {
    public:
        body(byte_backlog* in, std::uint64_t bytes) noexcept
            : m_in(in)
            , m_bytes(bytes)
        {
            if (m_in != nullptr)
                m_in->m_bytes += m_bytes;
        }
        ~body()
        {
            if (m_in != nullptr)
                m_in->m_bytes -= m_bytes;
        }
        body(const body&) = delete;
        body& operator=(const body&) = delete;

    private:
        byte_backlog* m_in;
        std::uint64_t m_bytes;
    };

    std::uint64_t bytes() const noexcept { return m_bytes; }

private:
    std::uint64_t m_bytes = 0;
};

} // namespace tillerhall
