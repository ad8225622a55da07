/**
 * @file Limits the runs begun at a target to what the services that the runs
 * call can finish.
 */
#pragma once

#include "tillerhall/core/decaying_rate.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/** How a nested call ended, as far as the limit is concerned. */
enum class nested_end
{
    done,
    lacked_capacity, ///< refused because the called service is full
    other            ///< says nothing about the capacity
};

/** Nested calls of one run, by the service called. */
using nested_calls = std::map<std::string, double>;

/** A limit that began or ended. */
struct dependency_limit_change
{
    std::string service; ///< the called one
    bool began = false;
    double per_s = 0; ///< nested calls a second when it began or ended
};

/**
 * Answers the load where runs fail because a service that they call is full.
 *
 * For each called service that refuses nested calls it limits the rate of
 * nested calls that newly begun runs will make: a token bucket in nested calls
 * a second, from which a run takes the mean number of calls that runs of its
 * class make. The less urgent ranks begin only while the bucket is half full.
 *
 * The rate first falls to the rate of nested calls that succeed. Then it rises
 * by a step in proportion to the demand and falls in proportion to the share of
 * refused calls, so that owners that know nothing of each other converge to
 * equal shares of their demand (additive increase, multiplicative decrease:
 * Chiu and Jain, 1989; decrease by the marked share as in DCTCP, 2010). An
 * owner may see one refusal in several seconds, too few to notice that a
 * shortage is over, so the loads reported with the answers make it rise faster
 * while they are below those at which calls were refused.
 *
 * Does no I/O; not thread-safe.
 */
class dependency_limiter
{
public:
    /** Share of refused calls at which the rate neither rises nor falls, at a
     * demand of twice the rate. A run with three nested calls then fails in
     * less than 5% of all cases. */
    static constexpr double target_refusals = 0.007;
    /** Decrease of the rate, by the second and share of refused calls. */
    static constexpr double decrease_per_s = 2;
    /** Upper limit of the decrease by one refused call. */
    static constexpr double max_decrease = 0.2;
    /** With a larger share of refused calls the rate falls at once to that of
     * the calls that succeed. */
    static constexpr double overload_refusals = 0.1;
    /** Runs a second that remain if the called service is gone, or a tenth of
     * the demand if that is less. */
    static constexpr double probe_runs_per_s = 1;
    /** After the first success of a service that was gone, the rate rises at
     * once to this share of the demand, but not sooner again than
     * `min_resume_interval`: a service of which little is left may have long
     * gaps between successes. */
    static constexpr double resumed_share = 0.5;
    static constexpr duration min_resume_interval = std::chrono::seconds(10);
    /** Time until a change of the rate shows in the nested calls: about a run.
     */
    static constexpr duration reaction = milliseconds(250);
    /** After so long without a refusal a shortage is over. */
    static constexpr duration quiet = std::chrono::seconds(1);
    /** A limit ends if for this long no call was refused and it held nothing
     * back or was above the demand. An owner with few runs often holds nothing
     * back for a second. */
    static constexpr duration end_after = std::chrono::seconds(3);
    /** Number of refused calls at which a limit begins, and their
     * least share of all. One refusal may be chance. */
    static constexpr double refusals_to_begin = 2;
    static constexpr double share_to_begin = 0.03;
    /** Rise by the second and by the load that is missing to a full service,
     * and its upper limit. */
    static constexpr double rise_by_load = 4;
    static constexpr double max_rise_per_s = 2;
    /** A rank whose calls begin less often than this share of all is not held
     * back behind others. A less urgent route must be served at least a quarter
     * as often as all calls; the rest is margin. */
    static constexpr double min_rank_share = 0.35;

    /**
     * Decides whether a run of @p work may begin, and takes its tokens if so.
     * @param urgency rank of the call; 0 is the most urgent
     * @return nothing if it may, else the time after which it should return;
     * the returns are spread at the rate of the limit
     */
    std::optional<duration>
    hold_back(const work_class& work, std::uint32_t urgency, time_point now);

    /** Returns the tokens of a run that did not begin. */
    void not_begun(const work_class& work);

    /** Records the nested calls of a run that ended.
     * @param cut_short by the failure of one of them */
    void ran(const work_class& work, const nested_calls& calls, bool cut_short);

    /**
     * Records the end of a nested call.
     * @param load share of the called target's slots in use, if known
     */
    void ended(const std::string& service,
               nested_end end,
               std::optional<double> load,
               time_point now);

    /** @return the limit in nested calls a second; nothing without one. */
    std::optional<double> rate(const std::string& service) const;

    /** @return the changes since the last call of this function. */
    std::vector<dependency_limit_change> take_changes();

private:
    struct rank_counts
    {
        decaying_rate asked{std::chrono::seconds(1)};
        decaying_rate begun{std::chrono::seconds(1)};
    };

    /** What was seen of a shortage; calls before it say nothing of what can be
     * finished. */
    struct shortage
    {
        time_point begin{};
        double done = 0;
        double refused = 0;

        /** @return whether the counts are worth a decision. */
        bool is_enough(time_point now) const;
        double done_per_s(time_point now) const;
    };

    /** A called service. */
    struct dependency
    {
        std::string service;
        decaying_rate done{milliseconds(500)};
        decaying_rate refused{milliseconds(500)};
        decaying_rate demand{std::chrono::seconds(1)}; ///< in nested calls
        std::map<std::uint32_t, rank_counts> ranks;
        shortage seen;
        double load = 1;      ///< moving average of the reported loads
        double full_load = 1; ///< the same when calls are refused
        bool is_limited = false;
        double rate = 0;
        double tokens = 0;
        time_point updated{};
        time_point fell{};        ///< the last time to the rate of success
        double calls_per_run = 1; ///< of the last run that asked
        bool is_gone = false;     ///< calls are refused and none has succeeded
        time_point resumed{};
        time_point last_done{};
        time_point last_refused{};
        time_point last_held{};
        time_point last_return{}; ///< booked for a run that was held back
    };

    struct class_calls
    {
        int runs = 0;
        nested_calls mean;
    };

    /** @return the most tokens that a bucket holds. */
    static double burst(const dependency& called);
    /** @return the time after which a run with @p calls should return that was
     * held back for want of @p missing tokens. */
    static duration book_return(dependency& called,
                                double missing,
                                double calls,
                                time_point now);
    /** @return the tokens that must be exceeded for a run to begin. */
    static double
    threshold(dependency& called, std::uint32_t urgency, time_point now);
    /** @return the rise of the rate in a second. */
    static double rise_per_s(dependency& called, time_point now);
    /** Applies the time since the last update. */
    void update(dependency& called, time_point now);
    void refused(dependency& called, time_point now);
    /** Sets the rate to that of the calls that succeed in the shortage. */
    static void fall(dependency& called, time_point now);
    /** Counts from now on only calls of runs that begin at the new rate. */
    static void set_fell(dependency& called, time_point now);
    void
    succeeded(dependency& called, std::optional<double> load, time_point now);
    /** @return the rate at which a service that is gone is probed. */
    static double min_rate(const dependency& called, time_point now);
    void set_limited(dependency& called, bool limited);
    /** Calls @p action with each dependency of @p work and its calls a run. */
    template <class Action>
    void for_each_called(const work_class& work, const Action& action);

    std::map<work_class, class_calls> m_classes;
    std::map<std::string, dependency> m_dependencies;
    std::vector<dependency_limit_change> m_changes;
};

} // namespace tillerhall
