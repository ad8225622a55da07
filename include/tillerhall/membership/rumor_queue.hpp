/** @file News about members that heartbeats carry along. */
#pragma once

#include "tillerhall/membership/member_list.hpp"

#include <map>
#include <vector>

namespace tillerhall
{

/**
 * Addresses whose records are news. Each is sent 2 log2 N times and then
 * dropped, the least sent first (SWIM, Das et al., DSN 2002, section 4.1).
 * What that misses, the comparison of digests repairs.
 */
class rumor_queue
{
public:
    static constexpr std::size_t per_message = 8;
    static constexpr unsigned repeat_factor = 2;

    /** Starts or restarts the spreading of @p node 's record. */
    void add(const address& node);

    /** @return the records for the next message. */
    std::vector<member> take(const member_list& members);

    std::size_t size() const noexcept { return m_sent.size(); }

private:
    std::map<address, unsigned> m_sent;
};

} // namespace tillerhall
