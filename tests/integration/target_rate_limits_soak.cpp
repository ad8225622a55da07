/**
 * @file Rate limits of targets while nodes and the store fail.
 *
 * Guards against calls above a limit from entries that had passed it on, when
 * nodes are killed, stopped or frozen, targets start again and limits change.
 */
#include "node_faults.hpp"
#include "open_loop.hpp"

#include <array>
#include <limits>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::chrono::seconds window(4);
// A limit counts for an entry so long after the entry has passed it on, and for
// all so long after the target first named it.
constexpr milliseconds told_after(500);
constexpr std::chrono::seconds named_after(3);

/** A limit that a start of a target names from `since` on. */
struct limit_change
{
    std::string start;
    std::optional<double> per_s;
    time_point since{};
};

/** Calls, limits and faults drawn from a seed. */
class limited_mesh
{
public:
    limited_mesh(mesh_system& system, std::uint64_t seed)
        : m_system(system)
        , m_random(seed)
        , m_faults(system, m_random)
        , m_changes(system.hosts().size())
    {
    }

    void run(duration span)
    {
        const auto until = steady_clock::now() + span;
        int open = 2;
        open_loop load(
            m_system,
            {.prefix = "s-", .path = "/fields/x", .per_s = 90, .span = span});
        m_system.on().spawn([&] { m_faults.send_target_reports(until, open); });
        m_system.on().spawn([&] { change_limits(until, open); });
        while (steady_clock::now() < until)
        {
            m_faults.inject_random();
            sleep_for(m_system.on().io(),
                      milliseconds(600 + m_random.below(1'500)));
        }
        REQUIRE(
            m_system.wait_until([&] { return open + m_faults.active() == 0; }));
        m_calls = load.finish();
    }

    std::size_t answered() const { return count_status(m_calls, 200); }

    /** @return the worst window over all starts, as requests above what the
     * limit allows; at most 0 if all limits were kept. */
    double max_excess() const
    {
        double worst = -std::numeric_limits<double>::infinity();
        for (std::size_t host = 0; host < m_changes.size(); ++host)
        {
            const auto counted = bound_arrivals(host);
            for (std::size_t i = 0; i < counted.size(); ++i)
                worst = std::max(worst, excess(host, counted, i));
        }
        return worst;
    }

private:
    void change_limits(time_point until, int& open)
    {
        constexpr std::array<const char*, 5> limits{"", "0", "2", "8", "15"};
        for (int starts = 0; steady_clock::now() < until; ++starts)
        {
            const auto index = m_random.below(m_system.hosts().size());
            auto& target = *m_system.hosts()[index].target;
            const std::string limit = limits[m_random.below(limits.size())];
            if (m_random.below(6) == 0)
                target.restart(target.id() + "-" + std::to_string(starts));
            target.faults().rate_limit = limit;
            m_changes[index].push_back(
                {target.id(),
                 limit.empty() ? std::nullopt : std::optional(std::stod(limit)),
                 steady_clock::now()});
            sleep_for(m_system.on().io(),
                      milliseconds(500 + m_random.below(4'000)));
        }
        --open;
    }

    /** @return the arrivals at @p host from entries that had passed on a limit
     * of that start and had no fault since. */
    std::vector<target_arrival> bound_arrivals(std::size_t host) const
    {
        std::vector<target_arrival> bound;
        for (const auto& each : m_system.hosts()[host].target->arrivals())
            if (each.id.starts_with("s-") && was_told(each))
                bound.push_back(each);
        return bound;
    }

    bool was_told(const target_arrival& arrival) const
    {
        const auto entry = std::stoul(arrival.id.substr(2)) % m_changes.size();
        return std::ranges::any_of(
            m_calls,
            [&](const open_loop_call& each)
            {
                const auto told = each.sent + each.took;
                return each.entry == entry &&
                       each.answer.target_id == arrival.target_id &&
                       !each.answer.rate_limit.empty() &&
                       told + told_after <= arrival.at &&
                       !m_faults.was_disturbed(entry, told, arrival.at);
            });
    }

    /** @return requests above the limit in the window that begins with
     * @p first of @p arrivals. */
    double excess(std::size_t host,
                  const std::vector<target_arrival>& arrivals,
                  std::size_t first) const
    {
        const auto& begin = arrivals[first];
        const auto allowed = max_limit(host, begin.target_id, begin.at);
        if (!allowed)
            return -std::numeric_limits<double>::infinity();
        const auto count = std::ranges::count_if(
            arrivals,
            [&](const target_arrival& each)
            {
                return each.target_id == begin.target_id &&
                       each.at >= begin.at && each.at < begin.at + window;
            });
        constexpr double tolerated_excess = 1.5;
        constexpr double extra = 5;
        return static_cast<double>(count) -
               (tolerated_excess * *allowed * window.count() + extra);
    }

    /** @return the greatest limit that counts in the window from @p begin;
     * nothing if the start named none for a part of it. */
    std::optional<double> max_limit(std::size_t host,
                                    const std::string& start,
                                    time_point begin) const
    {
        std::optional<double> greatest;
        const auto& changes = m_changes[host];
        for (std::size_t i = 0; i < changes.size(); ++i)
        {
            const auto until = i + 1 < changes.size() ? changes[i + 1].since
                                                      : time_point::max();
            const bool counts = changes[i].since < begin + window &&
                                until > begin - named_after;
            if (!counts || changes[i].start != start)
                continue;
            if (!changes[i].per_s)
                return std::nullopt;
            greatest = std::max(greatest.value_or(0), *changes[i].per_s);
        }
        return greatest;
    }

    mesh_system& m_system;
    random_source m_random;
    node_faults m_faults;
    std::vector<std::vector<limit_change>> m_changes; ///< by host
    std::vector<open_loop_call> m_calls;
};

} // namespace

TEST_CASE("rate limits of targets hold under node and store faults")
{
    for_each_seed(1,
                  [](worker& on, std::uint64_t seed)
                  {
                      mesh_system system(
                          on, std::vector<std::string>(4, "perceel"));
                      system.configure(1, {{"fields", "/fields/", "perceel"}});
                      system.start();
                      for (auto& each : system.hosts())
                          each.target->faults().work = milliseconds(30);
                      limited_mesh mesh(system, seed);
                      mesh.run(std::chrono::seconds(15));
                      const double excess = mesh.max_excess();
                      INFO("seed " << seed << ", answered " << mesh.answered()
                                   << ", excess " << excess);
                      CHECK(excess <= 0);
                      CHECK(mesh.answered() > 0);
                  });
}
