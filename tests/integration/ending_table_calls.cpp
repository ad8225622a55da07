/**
 * @file Calls that end each target that runs them, led by the table.
 *
 * The same failure as in ending_calls.cpp on the path of the operators' table:
 * nothing outlived a try, so a client that came back at other nodes ended each
 * target as soon as it had started again.
 */
#include "calls_support.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr const char* ending_path = "/statement?end=1";
constexpr milliseconds time_to_start(400);
constexpr std::size_t target_count = 3;

/** Three targets that start again when they have ended. */
struct ending_cluster : started_cluster
{
    explicit ending_cluster(worker& on)
        : started_cluster(on, four_nodes())
    {
        for (std::size_t i = 0; i < target_count; ++i)
            on.spawn([this, i, over = m_over] { start_again(i, over); });
    }

    ~ending_cluster() { *m_over = true; }

    void start_again(std::size_t index, const std::shared_ptr<bool>& over)
    {
        while (!*over)
        {
            sleep_for(on().io(), milliseconds(20));
            if (*over || targets()[index].is_running())
                continue;
            ++times_ended;
            sleep_for(on().io(), time_to_start);
            if (!*over)
                static_cast<void>(restart_target(index));
        }
    }

    /** Tries at each node in turn. */
    void tries_for(duration span)
    {
        const auto until = steady_clock::now() + span;
        for (std::size_t i = 0; steady_clock::now() < until; ++i)
        {
            caller from(on().io(), nodes()[i % nodes().size()].caller);
            const auto outcome = from.call(
                {"oogstbeurs", "end-" + std::to_string(i), "GET", ending_path});
            CHECK_FALSE(outcome.is_good());
            sleep_for(on().io(), milliseconds(50));
        }
    }

    /** @return how many of @p calls others are served. */
    int served_of(int calls)
    {
        int served = 0;
        for (int i = 0; i < calls; ++i)
        {
            const auto at = static_cast<std::size_t>(i) % nodes().size();
            caller from(on().io(), nodes()[at].caller);
            const auto id = "other-" + std::to_string(i);
            served += from.call({"oogstbeurs", id, "GET", "/" + id}).is_good()
                          ? 1
                          : 0;
        }
        return served;
    }

    int times_ended = 0;

private:
    std::shared_ptr<bool> m_over = std::make_shared<bool>(false);
};

} // namespace

TEST_CASE("a client that comes back does not end target after target")
{
    on_worker(
        [](worker& on)
        {
            ending_cluster system(on);
            system.tries_for(std::chrono::seconds(5));
            CHECK(system.times_ended <= static_cast<int>(target_count));
            CHECK(system.wait_until([&] { return system.served_of(20) == 20; },
                                    std::chrono::seconds(5)));
        });
}

TEST_CASE("lost answers of a target that lives are nobody's doing")
{
    on_worker(
        [](worker& on)
        {
            ending_cluster system(on);
            for (std::size_t i = 0; i < target_count; ++i)
                system.set_target(i, {{"reset_before_answer", 2}});
            caller from(on.io(), system.nodes()[3].caller);
            for (int i = 0; i < 6; ++i)
                from.call({"oogstbeurs", "lost-" + std::to_string(i), "GET",
                           "/page"});
            CHECK(from.call({"oogstbeurs", "again", "GET", "/page"}).is_good());
            CHECK(system.times_ended == 0);
        });
}
