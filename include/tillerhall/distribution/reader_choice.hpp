/** @file Which nodes read the source, chosen without agreement. */
#pragma once

#include "tillerhall/membership/member_list.hpp"

namespace tillerhall
{

/**
 * @return how many live members of this node's failure domain are better
 * readers: those whose links carry more, and of equals those with the greater
 * rendezvous weight (Thaler and Ravishankar, 1998).
 */
std::size_t reader_rank(const member_list& members);

/** @return the best reader of each failure domain, by place. */
std::vector<address> best_readers(const member_list& members);

/**
 * @return whether this node is among the @p per_domain best readers of its
 * failure domain. Lists that differ make one reader more or less, which costs
 * reads but no promise.
 */
bool is_reader(const member_list& members, std::size_t per_domain);

} // namespace tillerhall
