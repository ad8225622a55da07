/** @file Ranges of member keys, and how a broadcast splits them. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/membership/member_list.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <vector>

namespace tillerhall
{

/** Keys from `least` to `most`, both included. */
struct key_range
{
    std::uint64_t least = 0;
    std::uint64_t most = UINT64_MAX;

    bool contains(std::uint64_t key) const noexcept
    {
        return least <= key && key <= most;
    }
    bool operator==(const key_range&) const = default;
};

/** A part of a broadcast and the members that may take charge of it. */
struct range_part
{
    key_range range;
    std::vector<address> candidates; ///< in order of preference
    std::size_t live_members = 0;
};

/**
 * Splits @p range, without this node, into at most @p fanout parts of
 * roughly equal membership. The parts cover the whole range, so members that
 * this node has not heard of still belong to a part, and no member belongs
 * to two. (Broadcast by range, after El-Ansary et al., IPTPS 2003.)
 */
std::vector<range_part> split_range(const key_range& range,
                                    const member_list& members,
                                    std::size_t fanout,
                                    random_source& random);

/** @return the keys of all members of @p of 's failure domain. */
key_range domain_range(const member& of);

/**
 * @return whether @p range was meant for this node. One that does not hold
 * its key came by another address of it; passing it on would send it round
 * for ever, while a range that holds the key always shrinks.
 */
bool is_meant_for(const member& self, const key_range& range);

/** Writes the range as two hexadecimal members, "lo" and "hi". */
void put_range(boost::json::object& into, const key_range& range);

/** Reads what `put_range` wrote; the whole range if it is absent. */
key_range range_from_json(const boost::json::object& members);

} // namespace tillerhall
