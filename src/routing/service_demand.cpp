#include "tillerhall/routing/service_demand.hpp"

#include <cmath>

namespace tillerhall
{
namespace
{

// Time constant of the means. Demand that varies with a period of some 15 s is
// followed; chance in the arrivals of a second is averaged out.
constexpr double mean_over_s = 1.0;
// Weight of the newest report in the mean of run times.
constexpr double newest_share = 0.1;
// A service whose demand is below this is forgotten. Reached some 20 s after
// the last call, so that entries with rare calls have a plan for the next one.
constexpr double min_slots = 1e-9;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void service_demand::count_call(const std::string& service,
                                const work_class& work)
{
    auto& known = m_records[service];
    known.calls += 1;
    known.run_time += seconds(expected_run(service, work));
}

void service_demand::run_reported(const std::string& service,
                                  const work_class& work,
                                  double run_ms)
{
    const auto [found, is_new] =
        m_records[service].run_ms.try_emplace(work, run_ms);
    if (!is_new)
        found->second += (run_ms - found->second) * newest_share;
}

duration service_demand::expected_run(const std::string& service,
                                      const work_class& work) const
{
    const auto known = m_records.find(service);
    if (known != m_records.end())
        if (const auto run = known->second.run_ms.find(work);
            run != known->second.run_ms.end())
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(run->second));
    return work.objective / run_estimates::unknown_run_divisor;
}

void service_demand::update(duration passed)
{
    const double elapsed = seconds(passed);
    if (elapsed <= 0)
        return;
    const double newest = 1 - std::exp(-elapsed / mean_over_s);
    for (auto& [service, known] : m_records)
    {
        auto& needed = m_needs[service];
        needed.calls_per_s +=
            (known.calls / elapsed - needed.calls_per_s) * newest;
        needed.slots += (known.run_time / elapsed - needed.slots) * newest;
        known.calls = 0;
        known.run_time = 0;
    }
    std::erase_if(m_needs, [](const auto& each)
                  { return each.second.slots < min_slots; });
}

} // namespace tillerhall
