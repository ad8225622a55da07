/** @file Keeps a port for a process that is not running. */
#pragma once

#include "tillerhall/core/address.hpp"

namespace tillerhall
{

/**
 * Holds a bound socket that does not listen, so that the system gives the port
 * to nobody else while its listener is closed. Listeners share ports
 * (SO_REUSEPORT): another program's would then get calls of both.
 */
class port_reservation
{
public:
    /** @param where port 0 takes any free port */
    explicit port_reservation(const address& where);
    ~port_reservation();

    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    const address& where() const noexcept { return m_where; }

private:
    int m_socket;
    address m_where;
};

} // namespace tillerhall
