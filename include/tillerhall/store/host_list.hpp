/** @file The platform's list of hosts; it lags and is only a hint. */
#pragma once

#include "tillerhall/core/address.hpp"

#include <vector>

namespace tillerhall
{

/** A host as the platform last saw it. */
struct listed_host
{
    address node; ///< control address of the node there
    bool leaving = false;
};

/** The host list. */
class host_list
{
public:
    virtual ~host_list() = default;

    /** @return the hosts live or leaving, some time ago. */
    virtual result<std::vector<listed_host>> read() = 0;
};

} // namespace tillerhall
