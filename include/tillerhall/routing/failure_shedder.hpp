/** @file Sheds calls at a target whose runs fail for want of what they call. */
#pragma once

#include "tillerhall/core/recent_window.hpp"

#include <algorithm>
#include <cstdint>

namespace tillerhall
{

/**
 * A run that fails because a call of its own found no room has taken a slot
 * here and places further down for nothing. While more of the runs fail than
 * chance explains, about as large a share of the calls is shed: with two calls
 * a run, what is offered further down then falls to what is served there.
 * Where calls fail for other reasons (targets that refuse or lose some of
 * them whatever the load), fewer runs would fail no less often, so only the
 * part of the failures counts that the calls of this host found no room for.
 * The share follows the last one to two seconds, however few runs a target
 * has, so that it ends soon after the cause. Pure.
 */
class failure_shedder
{
public:
    /** Of the last runs so many may fail by chance. */
    static constexpr double free_share = 0.15;
    /** Past this the failures do not come from the load. */
    static constexpr double most_shed = 0.5;
    /** Two of these are looked back on. */
    static constexpr duration span = std::chrono::seconds(1);
    /** Fewer runs than this do not tell a share. */
    static constexpr double least_runs = 10;

    /** A run ended. */
    void ran(bool failed, time_point now)
    {
        auto& counted = m_counts.newest(now);
        counted.runs += 1;
        counted.failed += failed ? 1 : 0;
    }

    /** A call of this host got no answer. */
    void call_failed(bool for_want_of_room, time_point now)
    {
        auto& counted = m_counts.newest(now);
        counted.calls_failed += 1;
        counted.found_no_room += for_want_of_room ? 1 : 0;
    }

    /** @return the share of calls that is shed at @p now. */
    double share(time_point now)
    {
        const auto& before = m_counts.before(now);
        const auto& newest = m_counts.newest(now);
        const double runs = newest.runs + before.runs;
        const double failed = newest.failed + before.failed;
        const double failing = failed / std::max(least_runs, runs);
        const double calls = newest.calls_failed + before.calls_failed;
        const double no_room = newest.found_no_room + before.found_no_room;
        const double by_load = no_room / std::max(1.0, calls);
        return std::clamp((failing - free_share) * by_load, 0.0, most_shed);
    }

    /** @param point random in [0, 1) @return whether a call is shed now. */
    bool sheds(double point, time_point now) { return point < share(now); }

private:
    struct counts
    {
        double runs = 0;
        double failed = 0;
        double calls_failed = 0;
        double found_no_room = 0;
    };

    recent_window<counts> m_counts{span};
};

} // namespace tillerhall
