/** @file Member records to piggyback on heartbeats. */
#pragma once

#include "tillerhall/membership/member_list.hpp"

#include <map>
#include <vector>

namespace tillerhall
{

/**
 * Addresses whose records are to be disseminated. Each is sent 2 log2 N times,
 * least sent first, and then removed (SWIM, Das et al., DSN 2002, section
 * 4.1). Members that miss a rumor are repaired by comparing digests.
 */
class rumor_queue
{
public:
    static constexpr std::size_t per_message = 8;
    static constexpr unsigned repeat_factor = 2;

    /** Starts or restarts the dissemination of @p node 's record. */
    void add(const address& node);

    /** @return the records for the next message. */
    std::vector<member> take(const member_list& members);

    std::size_t size() const noexcept { return m_sent.size(); }

private:
    std::map<address, unsigned> m_sent;
};

} // namespace tillerhall
