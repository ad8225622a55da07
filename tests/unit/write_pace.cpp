/** @file Writes of all nodes into one partition when they start together.
 *
 * Guards against retries that arrive before the partition has room and so keep
 * it refusing. */
#include "tillerhall/distribution/write_pace.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <queue>
#include <vector>

using namespace tillerhall;

namespace
{

constexpr double part_per_s = 150;

/** A partition that writes one row after another and refuses a write while a
 * second's worth is queued. */
class simulated_part
{
public:
    /** Returns when the write is done, in seconds; nothing if refused. */
    std::optional<double> write(double at)
    {
        const double begin = std::max(at, m_free_at);
        if (begin - at > 1)
            return std::nullopt;
        m_free_at = begin + 1 / part_per_s;
        return m_free_at;
    }

private:
    double m_free_at = 0;
};

/** Result of one simulated start of all nodes. */
struct start_result
{
    double calls_a_node = 0;
    double all_written_s = 0;
};

start_result
simulate_start(std::size_t nodes, std::uint64_t seed, bool first_start)
{
    struct attempt
    {
        double at;
        std::size_t node;
        bool operator>(const attempt& other) const { return at > other.at; }
    };
    random_source random(seed);
    std::vector<write_pace> paces(nodes, write_pace(part_per_s));
    std::priority_queue<attempt, std::vector<attempt>, std::greater<>> due;
    const auto known_at = [&](double at)
    {
        // Nodes that start together find each other within seconds.
        return first_start ? static_cast<std::size_t>(
                                 1 + static_cast<double>(nodes - 1) *
                                         std::min(1.0, at / 3))
                           : nodes;
    };
    const auto seconds = [](duration span)
    { return std::chrono::duration<double>(span).count(); };
    for (std::size_t i = 0; i < nodes; ++i)
    {
        const double begin = 0.3 * random.unit();
        const double wait =
            first_start ? 0 : seconds(paces[i].initial_delay(nodes, random));
        due.push({begin + wait, i});
    }
    simulated_part part;
    start_result end;
    double calls = 0;
    while (!due.empty())
    {
        const auto next = due.top();
        due.pop();
        ++calls;
        if (const auto done = part.write(next.at))
        {
            end.all_written_s = std::max(end.all_written_s, *done);
            continue;
        }
        const auto wait =
            paces[next.node].delay_after_refusal(known_at(next.at), random);
        due.push({next.at + seconds(wait), next.node});
    }
    end.calls_a_node = calls / static_cast<double>(nodes);
    return end;
}

} // namespace

TEST_CASE("a first start of all nodes costs few writes per node at any size")
{
    for (const std::size_t nodes : {13U, 75U, 300U, 985U, 2'700U})
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            const auto end = simulate_start(nodes, seed, true);
            CAPTURE(nodes, seed, end.calls_a_node, end.all_written_s);
            CHECK(end.calls_a_node <= 3);
            // Three times what the partition needs, and the delay of a refusal.
            CHECK(end.all_written_s <=
                  8 + 3 * static_cast<double>(nodes) / part_per_s);
        }
}

TEST_CASE("new nodes that know the others write once")
{
    for (const std::size_t nodes : {75U, 985U, 2'700U})
    {
        const auto end = simulate_start(nodes, 3, false);
        CAPTURE(nodes, end.calls_a_node);
        CHECK(end.calls_a_node <= 1.05);
    }
}

TEST_CASE("an accepted write resets the delays after refusals")
{
    random_source random(1);
    write_pace pace(part_per_s);
    for (int i = 0; i < 9; ++i)
        pace.delay_after_refusal(10, random);
    pace.accepted();
    for (int i = 0; i < 50; ++i)
    {
        CHECK(pace.delay_after_refusal(10, random) <= std::chrono::seconds(4));
        pace.accepted();
    }
    // A node that joins a small mesh writes with little delay.
    CHECK(pace.initial_delay(13, random) <= milliseconds(200));
}
