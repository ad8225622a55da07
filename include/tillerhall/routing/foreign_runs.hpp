/** @file Runs at a target that its owner did not send. */
#pragma once

#include "tillerhall/routing/target_load.hpp"

namespace tillerhall
{

/**
 * Derives from the loads that a target reports how many calls it has beyond
 * those of its owner: those of an earlier owner process, and those that the
 * owner gave up. Answers an owner that is killed and started again under full
 * load and would send as many calls again as the target has slots. Does no I/O.
 */
class foreign_runs
{
public:
    /**
     * Calls at the target before its first response, if an earlier owner may
     * have filled it. More than one could still be there when the first
     * response tells that the other slots are taken.
     */
    static constexpr std::int64_t first_calls = 1;
    /**
     * How long the last response, or its absence after a start, limits the
     * slots. Runs of an earlier owner seldom last longer, and a target that
     * reports no more must not lose slots for good.
     */
    static constexpr std::chrono::seconds valid_for{2};

    /** A response of the target with what the owner knew then. */
    struct response
    {
        std::int64_t calls = 0; ///< running and waiting, as reported
        /** Other calls of the owner that were sent and not answered. */
        std::int64_t own = 0;
        /** Those of them sent so long ago that the target has certainly
         * counted them. */
        std::int64_t own_settled = 0;
        bool ran = true; ///< to a run, not a refusal
        time_point received{};
    };

    /** Sets another start of the target. @param may_run_others it may have
     * been there before the owner */
    void target_started(bool may_run_others, time_point now);

    /** Notes any response of the target, also one without a load. */
    void answered() noexcept { m_awaits_response = false; }

    /** Takes a reported load. Reports may cross: one received earlier is
     * ignored. */
    void take(const response& seen);

    /** @return whether the target may be full without having said so. */
    bool awaits_response(time_point now) const noexcept;

    /** @return the calls that are not the owner's. */
    std::int64_t count(time_point now) const noexcept;

    /**
     * @param mean_run of the target. With all slots taken by others no call of
     * the owner brings a newer report; after this time one may try.
     * @return how many of @p slots the owner may use
     */
    std::int64_t usable(std::int64_t slots,
                        duration mean_run,
                        time_point now) const noexcept;

    /** @return 1 if a load includes the run that it is reported with.
     * @param ran it was reported with one */
    std::int64_t answered_run(bool ran) const noexcept;

private:
    bool m_awaits_response = false;
    time_point m_started{};
    std::int64_t m_count = 0;
    time_point m_received{};
    /** Decaying share of the reports with at least one call too many. */
    double m_one_more = 0.5;
};

} // namespace tillerhall
