/** @file The demand of an entry for each service, in slots. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/run_estimates.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <map>
#include <string>

namespace tillerhall
{

/**
 * Calls a second times expected run, by service: the slots that the calls need,
 * whether they were served or not. Run times are those that owners of the own
 * domain report. Does no I/O.
 */
class service_demand
{
public:
    /** What the calls of one service need. */
    struct need
    {
        double calls_per_s = 0;
        double slots = 0;
    };

    /** Counts a call of a client or a target, once however often it is tried.
     */
    void count_call(const std::string& service, const work_class& work);

    /** Records the mean run time that an owner reported. */
    void run_reported(const std::string& service,
                      const work_class& work,
                      double run_ms);

    /** @return the expected run time of a call. */
    duration expected_run(const std::string& service,
                          const work_class& work) const;

    /**
     * Averages the calls since the last update into the rates.
     * @param passed since the last update
     */
    void update(duration passed);

    /** @return the needs by service; services without calls are left out. */
    const std::map<std::string, need>& needs() const noexcept
    {
        return m_needs;
    }

private:
    struct record
    {
        std::map<work_class, double> run_ms;
        double calls = 0;    ///< since the last update
        double run_time = 0; ///< seconds that these are expected to run
    };

    std::map<std::string, record> m_records;
    std::map<std::string, need> m_needs;
};

} // namespace tillerhall
