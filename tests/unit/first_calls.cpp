/**
 * @file Calls to a target that has just started.
 *
 * Guards against owners that, without known run times, take each run for zero
 * and admit more calls than the target can serve in time.
 */
#include "tillerhall/core/random.hpp"
#include "tillerhall/routing/admission.hpp"
#include "tillerhall/routing/run_estimates.hpp"

#include <catch2/catch.hpp>
#include <list>

using namespace tillerhall;

namespace
{

constexpr std::int64_t slots = 9;
const work_class work{2, milliseconds(600), call_kind::repeatable};
constexpr int cold_run_ms = 320;

/** Results of the calls. */
struct outcome
{
    unsigned calls = 0;
    unsigned in_time = 0;
    unsigned late = 0;
};

/** Simulates a target with slots and a queue, and calls at random times. */
class simulated_start
{
public:
    simulated_start(std::uint64_t seed, bool has_default)
        : m_random(seed)
        , m_has_default(has_default)
        , m_admission(limits())
    {
    }

    outcome play(double per_s, int span_ms)
    {
        for (m_now = 0; m_now < span_ms + 5'000; ++m_now)
        {
            end_runs();
            if (m_now < span_ms && m_random.unit() < per_s / 1000)
                arrive();
        }
        return m_seen;
    }

private:
    struct call
    {
        int arrived_at = 0;
        int ends = 0;
        bool runs = false;
        admission_waiter waiter;
    };

    static admission_limits limits()
    {
        admission_limits made;
        made.in_flight = slots;
        made.queue = 512;
        made.queue_wait = std::chrono::seconds(60);
        return made;
    }

    time_point at() const
    {
        return time_point(std::chrono::hours(1)) + milliseconds(m_now);
    }

    duration expected() const
    {
        return m_has_default
                   ? m_estimates.expected(work, m_admission.mean_run())
                   : m_estimates.of(work, duration::zero());
    }

    void arrive()
    {
        ++m_seen.calls;
        const auto due = at() + work.objective;
        const auto decision = m_admission.arrive(
            at(), {.deadline = at() + std::chrono::seconds(2),
                   .rank = work.rank,
                   .due = due,
                   .max_wait = work.objective / 16,
                   .run = expected()});
        if (decision != admission_decision::run &&
            decision != admission_decision::wait)
            return;
        auto& made = m_calls.emplace_back();
        made.arrived_at = m_now;
        if (decision == admission_decision::run)
            return start(made);
        made.waiter.rank = work.rank;
        made.waiter.deadline = at() + std::chrono::seconds(2);
        made.waiter.due = due;
        made.waiter.run = expected();
        made.waiter.wake = [this, &made]
        {
            if (made.waiter.granted)
                start(made);
        };
        m_admission.enqueue(made.waiter);
    }

    void start(call& of)
    {
        of.runs = true;
        of.ends = m_now + cold_run_ms / 2 +
                  static_cast<int>(m_random.below(cold_run_ms));
    }

    void end_runs()
    {
        for (auto& each : m_calls)
        {
            if (!each.runs || each.ends != m_now)
                continue;
            each.runs = false;
            const auto took = milliseconds(cold_run_ms);
            m_estimates.ran(work, took);
            const bool in_time =
                m_now - each.arrived_at <= work.objective.count();
            ++(in_time ? m_seen.in_time : m_seen.late);
            m_admission.leave(at(), took);
        }
    }

    random_source m_random;
    bool m_has_default;
    run_estimates m_estimates;
    std::list<call> m_calls;
    int m_now = 0;
    outcome m_seen;
    admission m_admission;
};

} // namespace

TEST_CASE("a target that has just started admits what it can serve in time")
{
    // 9 slots with runs of 0.32 s serve 28 calls a second; four times as many
    // arrive.
    constexpr double per_s = 112;
    constexpr int span_ms = 2'000;
    outcome before;
    outcome now;
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        for (const bool has_default : {false, true})
        {
            const auto seen =
                simulated_start(seed, has_default).play(per_s, span_ms);
            auto& sum = has_default ? now : before;
            sum.in_time += seen.in_time;
            sum.late += seen.late;
        }
    }
    INFO("in time before " << before.in_time << ", now " << now.in_time
                           << "; late before " << before.late << ", now "
                           << now.late);
    // Nine tenths of what the slots can serve are answered in time.
    const double carried = 40.0 * slots * span_ms / cold_run_ms;
    CHECK(now.in_time > 0.9 * carried);
    CHECK(now.late < now.in_time / 10);
}

TEST_CASE("expected run time: mean of the class, else of all, else a default")
{
    run_estimates estimates;
    CHECK(estimates.expected(work, duration::zero()) == milliseconds(150));
    CHECK(estimates.expected(work, milliseconds(40)) == milliseconds(40));
    estimates.ran(work, milliseconds(90));
    CHECK(estimates.expected(work, milliseconds(40)) == milliseconds(90));
}
