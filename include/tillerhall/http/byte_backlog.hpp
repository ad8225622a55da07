/** @file Counts the bytes of bodies in transit to this node. */
#pragma once

#include <cstdint>

namespace tillerhall
{

/** Sum of the full sizes of the bodies that are being read. For fibers of one
 * worker. */
class byte_backlog
{
public:
    /** Adds one body to the sum while this object lives. */
    class body
    {
    public:
        /** @param total may be null: the body is not counted then */
        body(byte_backlog* total, std::uint64_t bytes) noexcept
            : m_total(total)
            , m_bytes(bytes)
        {
            if (m_total != nullptr)
                m_total->m_bytes += m_bytes;
        }
        ~body()
        {
            if (m_total != nullptr)
                m_total->m_bytes -= m_bytes;
        }
        body(const body&) = delete;
        body& operator=(const body&) = delete;

    private:
        byte_backlog* m_total;
        std::uint64_t m_bytes;
    };

    std::uint64_t bytes() const noexcept { return m_bytes; }

private:
    std::uint64_t m_bytes = 0;
};

} // namespace tillerhall
