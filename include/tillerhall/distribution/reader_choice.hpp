/** @file Selection of the nodes that read the source, without consensus. */
#pragma once

#include "tillerhall/membership/member_list.hpp"

#include <map>

namespace tillerhall
{

/**
 * Returns the number of live members of this node's failure domain that rank
 * before it as readers: those with a faster link and, among equals, with a
 * greater rendezvous weight (Thaler and Ravishankar, 1998).
 */
std::size_t reader_rank(const member_list& members);

/** Returns the best reader of each failure domain, ordered by place. */
std::vector<address> best_readers(const member_list& members);

/** Returns the @p per_domain best readers of each failure domain, the best
 * first. */
std::map<member_place, std::vector<address>>
readers_by_domain(const member_list& members, std::size_t per_domain);

/**
 * Returns true if this node is among the @p per_domain best readers of its
 * failure domain. Differing member lists only change the number of readers for
 * a time.
 */
bool is_reader(const member_list& members, std::size_t per_domain);

} // namespace tillerhall
