/** @file Key ranges of members, and their split for a broadcast. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/membership/member_list.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <vector>

namespace tillerhall
{

/** A range of keys, both ends included. */
struct key_range
{
    std::uint64_t min_key = 0;
    std::uint64_t max_key = UINT64_MAX;

    bool contains(std::uint64_t key) const noexcept
    {
        return min_key <= key && key <= max_key;
    }
    bool operator==(const key_range&) const = default;
};

/** A part of a broadcast and the members to which it may be sent. */
struct range_part
{
    key_range range;
    std::vector<address> candidates; ///< in order of preference
    std::size_t live_members = 0;
};

/**
 * Splits @p range, without this node, into at most @p fanout parts of roughly
 * equal membership. The parts are disjoint and cover the whole range, so a
 * member that this node does not know still belongs to exactly one part.
 * (Broadcast by range, after El-Ansary et al., IPTPS 2003.)
 */
std::vector<range_part> split_range(const key_range& range,
                                    const member_list& members,
                                    std::size_t fanout,
                                    random_source& random);

/** Returns the range of the keys in the failure domain of @p of. */
key_range domain_range(const member& of);

/**
 * Returns true if @p range contains the key of this node. Otherwise the message
 * arrived by another address of this node; forwarding it could loop for ever,
 * while a range that contains the key always shrinks.
 */
bool is_meant_for(const member& self, const key_range& range);

/** Adds the range as hexadecimal members "lo" and "hi"; nothing for the full
 * range. */
void put_range(boost::json::object& into, const key_range& range);

/** Reads what `put_range` wrote; the full range if it is absent. Throws
 * std::exception on a bad message. */
key_range range_from_json(const boost::json::object& members);

} // namespace tillerhall
