/**
 * @file Poison calls that are routed by the operators' table.
 *
 * Guards against a client whose retries at other nodes crash each target again
 * as soon as it has restarted.
 */
#include "calls_support.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr const char* poison_path = "/statement?end=1";
constexpr milliseconds restart_delay(400);
constexpr std::size_t target_count = 3;

/** A cluster whose three targets are restarted after each crash. */
struct crashing_cluster : started_cluster
{
    explicit crashing_cluster(worker& on)
        : started_cluster(on, four_nodes())
    {
        for (std::size_t i = 0; i < target_count; ++i)
            on.spawn([this, i, is_over = m_is_over]
                     { restart_when_crashed(i, is_over); });
    }

    ~crashing_cluster() { *m_is_over = true; }

    void restart_when_crashed(std::size_t index,
                              const std::shared_ptr<bool>& is_over)
    {
        while (!*is_over)
        {
            sleep_for(on().io(), milliseconds(20));
            if (*is_over || targets()[index].is_running())
                continue;
            ++crash_count;
            sleep_for(on().io(), restart_delay);
            if (!*is_over)
                static_cast<void>(restart_target(index));
        }
    }

    /** Sends the poison call to each node in turn for @p span. */
    void call_for(duration span)
    {
        const auto until = steady_clock::now() + span;
        for (std::size_t i = 0; steady_clock::now() < until; ++i)
        {
            caller from(on().io(), nodes()[i % nodes().size()].caller);
            const auto outcome = from.call(
                {"oogstbeurs", "end-" + std::to_string(i), "GET", poison_path});
            CHECK_FALSE(outcome.is_good());
            sleep_for(on().io(), milliseconds(50));
        }
    }

    /** Returns how many of @p calls other calls succeed. */
    int count_served(int calls)
    {
        int served = 0;
        for (int i = 0; i < calls; ++i)
        {
            const auto node_index =
                static_cast<std::size_t>(i) % nodes().size();
            caller from(on().io(), nodes()[node_index].caller);
            const auto id = "other-" + std::to_string(i);
            served += from.call({"oogstbeurs", id, "GET", "/" + id}).is_good()
                          ? 1
                          : 0;
        }
        return served;
    }

    int crash_count = 0;

private:
    std::shared_ptr<bool> m_is_over = std::make_shared<bool>(false);
};

} // namespace

TEST_CASE("a retried poison call does not crash target after target")
{
    on_worker(
        [](worker& on)
        {
            crashing_cluster system(on);
            system.call_for(std::chrono::seconds(5));
            CHECK(system.crash_count <= static_cast<int>(target_count));
            CHECK(system.wait_until([&]
                                    { return system.count_served(20) == 20; },
                                    std::chrono::seconds(5)));
        });
}

TEST_CASE("lost answers of a running target do not mark calls as poison")
{
    on_worker(
        [](worker& on)
        {
            crashing_cluster system(on);
            for (std::size_t i = 0; i < target_count; ++i)
                system.set_target(i, {{"reset_before_answer", 2}});
            caller from(on.io(), system.nodes()[3].caller);
            for (int i = 0; i < 6; ++i)
                from.call({"oogstbeurs", "lost-" + std::to_string(i), "GET",
                           "/page"});
            CHECK(from.call({"oogstbeurs", "again", "GET", "/page"}).is_good());
            CHECK(system.crash_count == 0);
        });
}
