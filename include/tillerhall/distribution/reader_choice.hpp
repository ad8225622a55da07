/** @file Which nodes read the source, chosen without agreement. */
#pragma once

#include "tillerhall/membership/member_list.hpp"

namespace tillerhall
{

/**
 * @return whether this node is among the @p per_domain live members of its
 * failure domain with the greatest rendezvous weight (Thaler and Ravishankar,
 * 1998). Lists that differ make one reader more or less, which costs reads
 * but no promise.
 */
bool is_reader(const member_list& members, std::size_t per_domain);

} // namespace tillerhall
