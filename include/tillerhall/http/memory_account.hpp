/** @file Bounds the memory that the connections of a worker hold. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/http/stall_order.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>

namespace tillerhall
{

/** What memory is held for. */
enum class memory_use
{
    client_request, ///< body of a request of a client of this host
    peer_request,   ///< body that another node forwards to this host's target
    response,       ///< body of a response, until it is sent
    connection      ///< a connection and its calls, apart from bodies
};

/**
 * All memory that clients, other nodes and targets can make a worker hold: its
 * connections with their read buffers and calls, bodies of requests until they
 * are answered, and bodies of responses until they are sent.
 *
 * Each kind of body is granted memory only while the sum of all bodies stays
 * below the mark of the kind, which is lower for kinds that begin a call than
 * for those that finish one. Nodes that are full of their own clients' bodies
 * therefore still have room for those that they send to each other, and room
 * for a request never depends on room for another one further up. Bodies that
 * are small against the account may use what the marks reserve for others;
 * those of clients up to a quarter of the memory for bodies in all.
 *
 * Connections have a part of their own. What they hold beyond it is taken from
 * the memory for bodies.
 *
 * A body of known length takes all of it before it is read. One of unknown
 * length may take half of what is free, so that bodies without an end leave
 * room for others, however many there are.
 *
 * Before a request for memory is refused, the connections whose clients have
 * made no progress for the longest time are closed. For fibers of one worker.
 */
class memory_account
{
public:
    /** A body up to this size is minor, however small the account is. */
    static constexpr std::uint64_t small_bytes = 64 * 1024;
    /** A client that has made no progress for so long gives way to a body that
     * cannot wait. For a connection and its calls there is no such time. */
    static constexpr milliseconds min_stall{200};
    /** The same for a body that can wait. */
    static constexpr milliseconds min_stall_of_large{1'000};

    /**
     * @param body_bytes memory for bodies
     * @param connection_bytes memory reserved for connections
     */
    explicit memory_account(std::uint64_t body_bytes,
                            std::uint64_t connection_bytes = 0) noexcept
        : m_bytes(body_bytes)
        , m_connection_bytes(connection_bytes)
    {
    }

    /** What one owner has taken; returned when this object is destroyed. */
    class holding
    {
    public:
        /** @param from may be null: all is granted then */
        explicit holding(memory_account* from,
                         memory_use use = memory_use::response) noexcept
            : m_from(from)
            , m_use(use)
        {
        }
        ~holding() { release(); }
        holding(const holding&) = delete;
        holding& operator=(const holding&) = delete;

        /** Takes @p bytes in all, closing stalled connections if need be.
         * @return false if they are not free; nothing changes then. */
        bool take(std::uint64_t bytes);

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
        bool grow_to(std::uint64_t bytes);

        /** Counts @p bytes that are in memory already. */
        void hold(std::uint64_t bytes) noexcept;

        void release() noexcept;

        /** @return the account; may be null. */
        memory_account* account() const noexcept { return m_from; }

    private:
        friend class memory_account;

        /** @param parts the holding may be one of so many parts of what is
         * free */
        bool set(std::uint64_t bytes, std::uint64_t parts) noexcept;
        /** Closes stalled connections until @p bytes are free and taken. */
        bool make_room(std::uint64_t bytes, std::uint64_t parts);

        memory_account* m_from;
        memory_use m_use;
        std::uint64_t m_bytes = 0;
        time_point m_taken_at{};
    };

    /** @return the bytes of all bodies. */
    std::uint64_t taken() const noexcept { return m_taken; }

    /** @return the bytes of all connections apart from bodies. */
    std::uint64_t held_by_connections() const noexcept
    {
        return m_held_by_connections;
    }

    /** @return whether a body of @p bytes is small against the account. */
    bool is_minor(std::uint64_t bytes) const noexcept;

    /** @return the time until @p bytes are likely to be free for a body of
     * @p use, behind those that wait; `duration::max()` if they never are. */
    duration expected_wait(memory_use use, std::uint64_t bytes) const noexcept;

    /** Connections whose clients have begun a request or receive a response. */
    stall_order& begun() noexcept { return m_begun; }

    /** Connections that wait for the next request. */
    stall_order& idle() noexcept { return m_idle; }

    /** Closes the connection whose client has made no progress for the longest
     * time. @return false if none waits for its client */
    bool close_one();

    /** Sets an action to run after each connection that is closed to make
     * room. */
    void on_close(std::function<void()> action)
    {
        m_on_close = std::move(action);
    }

private:
    struct waiting_holding
        : boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
        waiting_holding(holding& from,
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
        boost::intrusive::list<waiting_holding,
                               boost::intrusive::constant_time_size<false>>;
    static constexpr std::size_t body_uses = 3;

    /** Closes the most stalled connection of @p order.
     * @return false if none has been without progress for @p least */
    bool close_first(stall_order& order, time_point now, duration least);

    /** @return @p bytes if they are a minor body of a client's request, else
     * 0. */
    std::uint64_t minor_client_bytes(memory_use use,
                                     std::uint64_t bytes) const noexcept;
    /** @return the memory in use up to which @p bytes are granted for
     * @p wanted. */
    std::uint64_t mark_of(const holding& wanted,
                          std::uint64_t bytes) const noexcept;
    std::uint64_t mark_of(memory_use use, std::uint64_t bytes) const noexcept;
    /** @return the memory that counts against the mark of @p use. */
    std::uint64_t held_against(memory_use use) const noexcept;
    duration min_stall_for(memory_use use, std::uint64_t bytes) const noexcept;
    waiting_list& waiting(memory_use use) noexcept
    {
        return m_waiting[static_cast<std::size_t>(use)];
    }
    const waiting_list& waiting(memory_use use) const noexcept
    {
        return m_waiting[static_cast<std::size_t>(use)];
    }
    void grant_waiting();
    void note_held(duration span) noexcept;

    std::uint64_t m_bytes;
    std::uint64_t m_connection_bytes;
    std::uint64_t m_taken = 0;
    std::uint64_t m_held_by_connections = 0;
    std::uint64_t m_minor_client_bytes = 0;
    stall_order m_begun;
    stall_order m_idle;
    /** Moving average of the time for which bodies of requests that are not
     * minor are held. */
    duration m_mean_hold{};
    std::array<waiting_list, body_uses> m_waiting;
    std::function<void()> m_on_close;
};

} // namespace tillerhall
