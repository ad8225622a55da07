/** @file Bounds the memory of the bodies that a worker holds. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>

namespace tillerhall
{

/** What a body belongs to. */
enum class memory_use
{
    client_request, ///< of a client of this host
    peer_request,   ///< that another node forwards to the target of this host
    response        ///< until it is sent
};

/**
 * Memory for the bodies that a worker holds at the same time: of requests until
 * they are answered, and of responses until they are sent.
 *
 * Each kind is granted memory only while the sum of all bodies stays below the
 * mark of the kind, which is lower for kinds that begin a call than for those
 * that finish one. Nodes that are full of their own clients' bodies therefore
 * still have room for those that they send to each other, and room for a
 * request never depends on room for another one further up. Bodies that are
 * small against the budget may use what the marks reserve for others.
 *
 * A body of known length takes all of it before it is read. One of unknown
 * length may take half of what is free, so that bodies without an end leave
 * room for others, however many there are. For fibers of one worker.
 */
class memory_account
{
public:
    /** A body up to this size is always granted. */
    static constexpr std::uint64_t small_bytes = 64 * 1024;

    explicit memory_account(std::uint64_t bytes) noexcept
        : m_bytes(bytes)
    {
    }

    /** What one body has taken; returned when this object is destroyed. */
    class holding
    {
    public:
        /** @param from may be null: all is granted then */
        explicit holding(memory_account* from,
                         memory_use kind = memory_use::response) noexcept
            : m_from(from)
            , m_kind(kind)
        {
        }
        ~holding() { release(); }
        holding(const holding&) = delete;
        holding& operator=(const holding&) = delete;

        /** Takes @p bytes for a body of that length.
         * @return false if they are not free; nothing is taken then. */
        bool take(std::uint64_t bytes) noexcept;

        /**
         * The same, but suspends the fiber until the bytes are free. Bodies
         * that wait are granted in the order of their arrival.
         * @return false if they will not be free by @p latest, as soon as that
         * is known.
         */
        bool wait_for(boost::asio::io_context& io,
                      std::uint64_t bytes,
                      time_point latest);

        /** Takes @p bytes in all for a body of unknown length; see `take`. */
        bool grow_to(std::uint64_t bytes) noexcept;

        /** Counts a body of @p bytes that is in memory already. */
        void hold(std::uint64_t bytes) noexcept;

        void release() noexcept;

    private:
        friend class memory_account;

        /** @param parts the body may take one of so many parts of what is
         * free */
        bool set(std::uint64_t bytes, std::uint64_t parts) noexcept;

        memory_account* m_from;
        memory_use m_kind;
        std::uint64_t m_bytes = 0;
        time_point m_taken_at{};
    };

    /** @return the bytes of all bodies. */
    std::uint64_t taken() const noexcept { return m_taken; }

    /** @return whether a body of @p bytes is small against the budget. */
    bool is_minor(std::uint64_t bytes) const noexcept;

    /** @return the time until @p bytes are likely to be free for a body of
     * @p kind, behind those that wait; `duration::max()` if they never are. */
    duration expected_wait(memory_use kind, std::uint64_t bytes) const noexcept;

private:
    struct waiting_body
        : boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
        waiting_body(holding& from,
                     boost::asio::io_context& io,
                     std::uint64_t size)
            : owner(from)
            , bytes(size)
            , wake(io)
        {
        }
        holding& owner;
        std::uint64_t bytes;
        boost::asio::steady_timer wake;
        bool is_granted = false;
    };
    using waiting_list =
        boost::intrusive::list<waiting_body,
                               boost::intrusive::constant_time_size<false>>;
    static constexpr std::size_t kinds = 3;

    /** @return the sum of all bodies up to which one of @p bytes is granted. */
    std::uint64_t mark_of(memory_use kind, std::uint64_t bytes) const noexcept;
    waiting_list& waiting(memory_use kind) noexcept
    {
        return m_waiting[static_cast<std::size_t>(kind)];
    }
    const waiting_list& waiting(memory_use kind) const noexcept
    {
        return m_waiting[static_cast<std::size_t>(kind)];
    }
    void grant_waiting();
    void note_held(duration span) noexcept;

    std::uint64_t m_bytes;
    std::uint64_t m_taken = 0;
    /** Moving average of the time for which bodies of requests that are not
     * minor are held. */
    duration m_mean_hold{};
    std::array<waiting_list, kinds> m_waiting;
};

} // namespace tillerhall
