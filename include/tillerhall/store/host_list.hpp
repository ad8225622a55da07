/** @file The platform's list of hosts, which may be out of date. */
#pragma once

#include "tillerhall/core/address.hpp"

#include <vector>

namespace tillerhall
{

/** A host in the list. */
struct listed_host
{
    address node; ///< control address of its node
    bool leaving = false;
};

/** Reads the host list; a hint only, since the list lags. */
class host_list
{
public:
    virtual ~host_list() = default;

    /** @return the hosts that were live or leaving when it was updated. */
    virtual result<std::vector<listed_host>> read() = 0;
};

} // namespace tillerhall
