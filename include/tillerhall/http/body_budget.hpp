/** @file Bounds the memory of bodies that are being received. */
#pragma once

#include <cstdint>

namespace tillerhall
{

/**
 * Memory for the bodies that a worker receives at the same time. A body of
 * known length may take all that is free. One that ends no one knows when may
 * take half of it, so that bodies without an end leave room for others, however
 * many there are. Small bodies are always granted. For fibers of one worker.
 */
class body_budget
{
public:
    /** A body up to this size is always granted. */
    static constexpr std::uint64_t small_bytes = 64 * 1024;

    explicit body_budget(std::uint64_t bytes) noexcept
        : m_bytes(bytes)
    {
    }

    /** What one body has taken; returned when this object is destroyed. */
    class body
    {
    public:
        /** @param from may be null: all is granted then */
        explicit body(body_budget* from) noexcept
            : m_from(from)
        {
        }
        ~body();
        body(const body&) = delete;
        body& operator=(const body&) = delete;

        /** Takes @p bytes for a body of that length.
         * @return false if they are not free; nothing is taken then. */
        bool take(std::uint64_t bytes) noexcept;

        /** Takes @p bytes in all for a body of unknown length; see `take`. */
        bool grow_to(std::uint64_t bytes) noexcept;

    private:
        /** @param parts the body may take one of so many parts of what is
         * free */
        bool set(std::uint64_t bytes, std::uint64_t parts) noexcept;

        body_budget* m_from;
        std::uint64_t m_bytes = 0;
    };

    /** @return the bytes of all bodies. */
    std::uint64_t taken() const noexcept { return m_taken; }

private:
    std::uint64_t m_bytes;
    std::uint64_t m_taken = 0;
};

} // namespace tillerhall
