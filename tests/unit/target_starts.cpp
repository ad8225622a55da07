#include "tillerhall/targets/target_registry.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck/catch.h>
#include <set>

using namespace tillerhall;

namespace
{

constexpr auto longest_delay =
    duration(target_registry::max_report_delay) - milliseconds(1);

target_report
report_of(std::uint64_t started_ms, report_state state, std::uint64_t sequence)
{
    target_report report;
    report.id = "t";
    report.service = "s";
    report.where = {"127.0.0.1", 9000};
    report.started_ms = started_ms;
    report.state = state;
    report.sequence = sequence;
    return report;
}

bool is_acknowledged(report_result result)
{
    return result == report_result::closed ||
           result == report_result::unchanged;
}

/**
 * A target that starts again and again under one id, and the registry of its
 * node. Reports arrive in any order within the delay that the registry allows;
 * clocks may be set back between two starts.
 */
class restarting_target
{
public:
    /** Starts the target. Its clock is ahead of those of the other starts, or
     * behind some of them. */
    void start()
    {
        const std::uint64_t behind =
            *rc::gen::inRange(0, 4) == 0 ? *rc::gen::inRange(1'000, 60'000) : 0;
        m_started_ms = 1'000'000 + m_starts.size() * 10'000 - behind;
        while (!m_starts.insert(m_started_ms).second)
            ++m_started_ms;
        m_lives = true;
        m_drains = false;
        m_acknowledged = false;
        m_sequence = 0;
    }

    void crash() { m_lives = false; }
    void drain() { m_drains = true; }

    /** Sends a report that arrives after @p delay. */
    void report(duration delay)
    {
        if (!m_lives)
            return;
        const auto state =
            m_drains ? report_state::draining : report_state::ready;
        m_under_way.push_back(
            {report_of(m_started_ms, state, ++m_sequence), m_now + delay});
    }

    /** The node is killed and forgets all, or it reads the acknowledged
     * departures again. */
    void restart_node(bool forgets)
    {
        m_targets = {};
        m_targets.require_confirmation(m_now);
        if (!forgets)
            for (const auto& each : m_departed)
                m_targets.record_departure(each);
        m_targets.set_departures_known();
    }

    /** All starts have one id, so that the one which lives answers for any. */
    void check_health()
    {
        if (const auto* waiting = m_targets.unconfirmed(m_now);
            waiting != nullptr && m_lives && !m_drains)
            m_targets.confirm(waiting->start(), m_now);
    }

    void advance(duration span)
    {
        const auto until = m_now + span;
        while (true)
        {
            const auto next = std::ranges::min_element(m_under_way, {},
                                                       &sent_report::arrives);
            if (next == m_under_way.end() || next->arrives > until)
                break;
            const auto arrived = *next;
            m_under_way.erase(next);
            m_now = std::max(m_now, arrived.arrives);
            take(arrived.report);
        }
        m_now = until;
    }

    /** @return whether calls reach a target that drains, after that was
     * acknowledged. */
    bool is_used_while_draining() const
    {
        return m_targets.in_use() != nullptr && m_lives && m_acknowledged;
    }

    bool is_used() const { return m_targets.in_use() != nullptr; }
    bool is_acknowledged() const { return m_acknowledged; }

private:
    struct sent_report
    {
        target_report report;
        time_point arrives;
    };

    void take(const target_report& report)
    {
        const auto result = m_targets.take(report, m_now);
        if (report.state == report_state::ready || !::is_acknowledged(result))
            return;
        m_departed.insert(report.start());
        m_acknowledged |= m_lives && report.started_ms == m_started_ms;
    }

    time_point m_now{std::chrono::hours(1)};
    target_registry m_targets = []
    {
        target_registry made;
        made.set_departures_known();
        return made;
    }();
    std::vector<sent_report> m_under_way;
    std::set<std::uint64_t> m_starts;
    std::set<std::string> m_departed; ///< acknowledged
    std::uint64_t m_started_ms = 0;
    std::uint64_t m_sequence = 0;
    bool m_lives = false;
    bool m_drains = false;
    bool m_acknowledged = false; ///< that the start which lives drains
};

duration draw_delay()
{
    return *rc::gen::inRange(0, 2) == 0
               ? duration(milliseconds(1))
               : longest_delay * *rc::gen::inRange(0, 101) / 100;
}

} // namespace

TEST_CASE("a target that drains gets no calls once that is acknowledged, "
          "whichever of its starts was in use",
          "[target-starts]")
{
    // Guards against late reports of an earlier start under the same id.
    const auto holds = []
    {
        restarting_target target;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i)
        {
            switch (*rc::gen::inRange(0, 9))
            {
            case 0:
                target.crash();
                target.start();
                break;
            case 1:
                target.drain();
                target.report(milliseconds(1));
                break;
            case 2:
                target.restart_node(*rc::gen::inRange(0, 2) == 0);
                break;
            case 3:
                target.check_health();
                break;
            default:
                target.report(draw_delay());
            }
            target.advance(milliseconds(*rc::gen::inRange(1, 4'000)));
            RC_ASSERT(!target.is_used_while_draining());
        }
    };
    rc::prop("for any order of starts, reports, departures and restarts of the "
             "node",
             holds);
}

TEST_CASE("a start that lives is used, and its departure acknowledged, once no "
          "report of an earlier one is under way",
          "[target-starts]")
{
    // Guards against targets that are taken for an earlier start for good.
    const auto holds = []
    {
        restarting_target target;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i)
        {
            if (*rc::gen::inRange(0, 4) == 0)
                target.crash();
            if (*rc::gen::inRange(0, 4) == 0)
                target.start();
            target.report(draw_delay());
            target.advance(milliseconds(*rc::gen::inRange(1, 4'000)));
        }
        target.crash();
        target.start();
        // All reports of earlier starts arrive, and ten more seconds pass.
        target.advance(2 * longest_delay + milliseconds(2));
        target.report(milliseconds(1));
        target.advance(milliseconds(2));
        RC_ASSERT(target.is_used());
        target.drain();
        target.report(milliseconds(1));
        target.advance(milliseconds(2));
        RC_ASSERT(target.is_acknowledged());
        RC_ASSERT(!target.is_used());
    };
    rc::prop("for any order of starts and reports", holds);
}

TEST_CASE("a departure closes the target while an earlier start of its id is "
          "in use")
{
    // Guards against calls to a target that drains: its node was restarted, and
    // the first report that came was a late one of the earlier start.
    const time_point now{std::chrono::hours(1)};
    target_registry targets;
    targets.require_confirmation(now);
    targets.set_departures_known();
    using enum report_state;
    CHECK(targets.take(report_of(1'000, ready, 7), now) ==
          report_result::unconfirmed);
    CHECK(targets.confirm("t@1000", now) == report_result::opened);
    CHECK(targets.take(report_of(2'000, draining, 2), now) ==
          report_result::closed);
    CHECK(targets.in_use() == nullptr);
    CHECK(targets.take(report_of(1'000, ready, 8), now) ==
          report_result::stale);
}

TEST_CASE("a departure of a start whose clock was set back is not acknowledged "
          "before it closes the target")
{
    const time_point now{std::chrono::hours(1)};
    target_registry targets;
    targets.set_departures_known();
    using enum report_state;
    targets.take(report_of(9'000, ready, 1), now);
    CHECK(targets.take(report_of(4'000, draining, 2), now) ==
          report_result::stale);
    CHECK(targets.in_use() != nullptr);
    const auto later = now + target_registry::max_report_delay;
    CHECK(targets.take(report_of(4'000, draining, 3), later) ==
          report_result::closed);
    CHECK(targets.in_use() == nullptr);
    // A late report of the other start reopens nothing.
    CHECK(targets.take(report_of(9'000, ready, 2), later) ==
          report_result::stale);
}
