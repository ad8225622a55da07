/** @file A call that waits for a slot of a target. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace tillerhall
{

/** A call in the queue. It must leave the queue before it is destroyed. */
struct admission_waiter
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    std::string caller; ///< calling service or client account, for fairness
    double weight = 1;  ///< share of the caller relative to the others
    bool within_share = true;       ///< see `caller_shares`; set by `admission`
    std::uint32_t rank = 0;         ///< urgency; 0 is the most urgent
    bool nested = false;            ///< goes before the other calls of its rank
    bool from_other_domain = false; ///< goes after the own domain's calls
    bool returned =
        false;         ///< after a refusal; goes before calls with time left
    bool late = false; ///< whatever its wait; goes after all of its rank
    time_point deadline{};
    time_point due{}; ///< the earliest goes first within a rank and caller
    duration run{};   ///< expected run time; zero: use the mean run time
    duration cost{};  ///< of the run for fairness; set by `fair_queue`
    bool granted = false;
    bool expired = false;
    bool evicted = false;       ///< another call needed its place or its slot
    std::function<void()> wake; ///< called once, when one of these is set
};

} // namespace tillerhall
