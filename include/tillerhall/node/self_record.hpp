/** @file The initial membership record of a node. */
#pragma once

#include "tillerhall/membership/member.hpp"
#include "tillerhall/node/settings.hpp"

namespace tillerhall
{

/** @return the record of this boot; its target is down until it is checked or
 * reports. */
member self_record(const settings& config);

} // namespace tillerhall
