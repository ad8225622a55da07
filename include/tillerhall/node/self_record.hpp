/** @file The record by which a node makes itself known. */
#pragma once

#include "tillerhall/membership/member.hpp"
#include "tillerhall/node/settings.hpp"

namespace tillerhall
{

/** @return this boot's own record; its target is down until it is heard of. */
member self_record(const settings& config);

} // namespace tillerhall
