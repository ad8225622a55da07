/** @file Connections in the order in which their clients stopped. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <boost/intrusive/list.hpp>

namespace tillerhall
{

/** Hook of a connection in a `stall_order`. */
using stall_order_hook = boost::intrusive::list_base_hook<
    boost::intrusive::tag<class stall_order>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/** A connection that can be closed while it waits for its client. */
class closable_connection : public stall_order_hook
{
public:
    /**
     * Closes the connection and gives back the memory that it holds.
     * @return false if the client has sent something that is not read yet; the
     * connection stays open then
     */
    virtual bool give_way() = 0;

protected:
    virtual ~closable_connection() = default;

private:
    friend class stall_order;
    time_point m_progress{};
};

/**
 * Connections that wait for their clients, ordered by the time of their last
 * progress. A connection leaves the order when it is destroyed.
 */
class stall_order
{
public:
    /** Puts @p connection last, into this order. */
    void progressed(closable_connection& connection, time_point now);

    /**
     * Closes the connection that has made no progress for the longest time.
     * @return false if there is none without progress for @p least
     */
    bool close_most_stalled(time_point now, duration least);

    /** @return when the next connection will have made no progress for
     * @p least; `time_point::max()` if there is none. */
    time_point next_stalled(duration least) const;

private:
    boost::intrusive::list<closable_connection,
                           boost::intrusive::base_hook<stall_order_hook>,
                           boost::intrusive::constant_time_size<false>>
        m_connections;
};

} // namespace tillerhall
