/**
 * @file Simulation of a call that crashes its targets, and its effect on other
 * calls.
 */
#include "told_ends.hpp"

#include "tillerhall/core/digest.hpp"
#include "tillerhall/core/random.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

using namespace tillerhall;

namespace
{

/**
 * Six targets with twelve slots. One call crashes each target that runs it, and
 * its client retries. Other calls are made once, or are popular and run
 * everywhere. Targets also crash for other reasons. A step is 10 ms, a run
 * takes 12 steps; other members learn of crashes and runs 3 steps later.
 */
class played_service
{
public:
    explicit played_service(std::uint64_t seed)
        : m_random(seed)
        , m_mesh(target_count)
    {
    }

    void play(int steps)
    {
        for (m_step = 0; m_step < steps; ++m_step)
        {
            take_news();
            if (m_step > warm_steps)
                end_for_own_reasons();
            finish_runs();
            for (int i = 0; i < 4; ++i)
                send(next_call(), {});
            if (m_step > warm_steps && m_step % 8 == 0)
                send(ending_call, {});
        }
    }

    int ends_under_the_call = 0;
    int innocent_calls = 0;
    std::set<std::string> innocents_held;
    int popular_held = 0;

private:
    static constexpr std::uint16_t target_count = 6;
    static constexpr std::size_t places = 12;
    static constexpr int run_steps = 12;
    static constexpr int down_steps = 250;
    static constexpr int news_steps = 3;
    static constexpr int warm_steps = 400;
    static constexpr std::size_t most_sends = 2;
    static constexpr const char* ending_call = "ending";

    struct run
    {
        std::string call;
        std::vector<address> ended_at;
        int ends_at = 0;
        bool is_trial = false;
    };
    struct target
    {
        std::vector<run> runs;
        std::set<std::string> ran_well;
        int down_until = 0;
    };
    struct news
    {
        int known_at = 0;
        std::uint16_t port = 0;
        std::optional<target_end> end;
        std::optional<good_run> run;
    };

    bool chance(double share) { return m_random.unit() < share; }

    std::string next_call()
    {
        if (chance(0.2))
            return "popular-" + std::to_string(m_random.below(5));
        return "once-" + std::to_string(++innocent_calls);
    }

    std::uint64_t clock() const
    {
        return now_ms + static_cast<std::uint64_t>(m_step) * 10;
    }

    void take_news()
    {
        while (!m_news.empty() && m_news.front().known_at <= m_step)
        {
            const auto& told = m_news.front();
            if (told.end)
                m_mesh.tell(told.port, *told.end);
            else
                m_mesh.tell(told.port, *told.run);
            m_news.pop_front();
        }
        m_view = suspect_calls_ptr(new suspect_calls(m_mesh.members));
    }

    void send(const std::string& call, const std::vector<address>& ended_at)
    {
        if (const auto hold = m_view->hold_of(call, ended_at, clock()))
        {
            if (hold->may_be_tried(m_answered.contains(call)))
                return try_alone(call);
            return ended_at.empty() ? note_held(call) : void();
        }
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            if (m_step >= m_targets[i].down_until &&
                m_targets[i].runs.size() < places)
                open.push_back(i);
        if (open.empty())
            return;
        auto& chosen = m_targets[open[m_random.below(open.size())]];
        chosen.runs.push_back({call, ended_at, m_step + run_steps});
    }

    /** Probes a call: only at the selected owner, one probe at a time. */
    void try_alone(const std::string& call)
    {
        auto& chosen = m_targets[stable_hash(call) % m_targets.size()];
        const bool is_tried =
            std::ranges::find(chosen.runs, call, &run::call) !=
            chosen.runs.end();
        if (m_step < chosen.down_until || is_tried)
            return note_held(call);
        chosen.runs.push_back({call, {}, m_step + run_steps, true});
    }

    void note_held(const std::string& call)
    {
        if (call.starts_with("once"))
            innocents_held.insert(call);
        popular_held += call.starts_with("popular") ? 1 : 0;
    }

    void finish_runs()
    {
        for (std::size_t i = 0; i < m_targets.size(); ++i)
        {
            auto& at = m_targets[i];
            const auto done = [this](const run& each)
            { return each.ends_at <= m_step; };
            if (std::ranges::any_of(
                    at.runs, [&](const run& each)
                    { return done(each) && each.call == ending_call; }))
            {
                ++ends_under_the_call;
                end(i);
                continue;
            }
            for (const auto& each : at.runs)
                if (done(each))
                    ran_well(i, each);
            std::erase_if(at.runs, done);
        }
    }

    void ran_well(std::size_t index, const run& done)
    {
        const auto& call = done.call;
        m_answered.insert(call);
        const bool again = !m_targets[index].ran_well.insert(call).second;
        if ((again || done.is_trial) && m_view->find(call) != nullptr)
            m_news.push_back({m_step + news_steps,
                              static_cast<std::uint16_t>(index + 1),
                              {},
                              good_run{call, clock()}});
    }

    void end_for_own_reasons()
    {
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            if (m_step >= m_targets[i].down_until && chance(0.0005))
                end(i);
    }

    void end(std::size_t index)
    {
        auto& at = m_targets[index];
        const auto port = static_cast<std::uint16_t>(index + 1);
        const address owner{"127.0.0.1", port};
        news told{m_step + news_steps, port, end_of({}, clock()), {}};
        for (const auto& each : at.runs)
            if (!at.ran_well.contains(each.call))
                told.end->calls.push_back(each.call);
        m_news.push_back(told);
        auto gone = std::exchange(at, {});
        at.ran_well = gone.ran_well;
        for (const auto& each : gone.runs)
            at.ran_well.erase(each.call);
        at.down_until = m_step + down_steps;
        for (auto each : gone.runs)
        {
            each.ended_at.push_back(owner);
            if (each.ended_at.size() < most_sends ||
                m_view->hold_of(each.call, each.ended_at, clock()))
                send(each.call, each.ended_at);
        }
    }

    random_source m_random;
    told_ends m_mesh;
    suspect_calls_ptr m_view{new suspect_calls};
    std::array<target, target_count> m_targets;
    std::deque<news> m_news;
    std::set<std::string> m_answered;
    int m_step = 0;
};

} // namespace

TEST_CASE(
    "in 1,000 simulations the poison call is quarantined and few others are")
{
    int ends = 0;
    int most_ends = 0;
    std::size_t calls = 0;
    std::size_t held = 0;
    int popular_held = 0;
    for (std::uint64_t seed = 0; seed < 1000; ++seed)
    {
        played_service day(seed);
        day.play(900);
        ends += day.ends_under_the_call;
        most_ends = std::max(most_ends, day.ends_under_the_call);
        calls += static_cast<std::size_t>(day.innocent_calls);
        held += day.innocents_held.size();
        popular_held += day.popular_held;
    }
    CAPTURE(ends, most_ends, calls, held, popular_held);
    // Two of its attempts may run at once, and each may crash two targets.
    CHECK(most_ends <= 4);
    // Calls that are made once are not retried here, so this only shows that
    // first attempts are admitted.
    CHECK(held == 0);
    // Popular calls are cleared by their successful runs.
    CHECK(popular_held < 60);
}
