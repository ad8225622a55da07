/** @file A network link of limited bandwidth before a server, for tests. */
#pragma once

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/listener.hpp"

#include <array>
#include <memory>

namespace tillerhall
{

/** A direction of a link. */
enum class link_direction
{
    to_server,
    to_client
};

/** Forwards connections to a server. The bytes of all of them, in both
 * directions, share one bandwidth. */
class paced_link
{
public:
    paced_link(worker& on, address to);

    /** Address that clients connect to. */
    const address& where() const noexcept { return m_listener->local(); }

    /** Sets the bandwidth; 0: unlimited. */
    void set_bytes_per_s(double bytes) noexcept { m_bytes_per_s = bytes; }

    /** Holds back the bytes of one direction, or forwards what it held. */
    void set_held(link_direction way, bool is_held) noexcept
    {
        m_is_held[static_cast<std::size_t>(way)] = is_held;
    }

    /** Makes the open connections silent for good: neither bytes nor the end of
     * one side reach the other. New connections work. */
    void silence_open() noexcept { ++m_silenced; }

private:
    void serve(tcp_stream& client);
    void pump(tcp_stream& source, tcp_stream& sink, link_direction way);
    /** Waits until the link has sent @p bytes behind all earlier ones. */
    void await_turn(std::size_t bytes);

    worker& m_worker;
    address m_to;
    std::unique_ptr<listener> m_listener;
    double m_bytes_per_s = 0;
    std::array<bool, 2> m_is_held{}; ///< by `link_direction`
    unsigned m_silenced = 0;         ///< calls of `silence_open`
    time_point m_free_at{}; ///< when the link has sent all bytes so far
};

} // namespace tillerhall
