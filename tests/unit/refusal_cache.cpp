/**
 * @file Load on full owners with and without a cache of refusals.
 *
 * Guards against a retry storm in which refusals use up the processor time of
 * all hosts.
 */
#include "tillerhall/routing/refusal_cache.hpp"
#include "tillerhall/core/random.hpp"
#include "tillerhall/routing/admission.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>

using namespace tillerhall;

namespace
{

const time_point start = time_point{} + std::chrono::hours(1);
const refused_work reads{{0, milliseconds(200), call_kind::repeatable}};
const refused_work bookings{{1, milliseconds(250), call_kind::once}};

address owner_at(std::size_t i)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
}

/** Calls asked for, and calls that ran. */
struct load_counts
{
    int asked = 0;
    int ran = 0;
};

/** Five owners whose targets have 13 slots and runs of half a second. */
class slow_service
{
public:
    static constexpr std::size_t size = 5;
    static constexpr milliseconds run{500};

    slow_service()
    {
        admission_limits limits;
        limits.in_flight = 13;
        for (std::size_t i = 0; i < size; ++i)
            m_owners.emplace_back(limits);
    }

    bool takes(std::size_t owner, time_point now)
    {
        ++counts.asked;
        auto& at = m_owners[owner];
        if (at.arrive(now, {.deadline = now + std::chrono::seconds(5),
                            .max_wait = duration::zero(),
                            .run = run}) != admission_decision::run)
            return false;
        m_ends[owner].push_back(now + run);
        ++counts.ran;
        return true;
    }

    void end_runs(time_point now)
    {
        for (std::size_t i = 0; i < size; ++i)
            while (!m_ends[i].empty() && m_ends[i].front() <= now)
            {
                m_ends[i].pop_front();
                m_owners[i].leave(now, run);
            }
    }

    duration retry_after(std::size_t owner) const
    {
        return m_owners[owner].retry_after();
    }

    load_counts counts;

private:
    std::deque<admission> m_owners; // stable addresses
    std::array<std::deque<time_point>, size> m_ends;
};

/** An entry that asks at most three owners for each attempt. */
struct entry
{
    bool route(slow_service& service,
               bool with_cache,
               random_source& random,
               time_point now)
    {
        std::vector<std::size_t> order(slow_service::size);
        std::ranges::generate(order, [i = 0U]() mutable { return i++; });
        std::ranges::shuffle(order, random);
        const auto refusing = cache.refusing(reads, now);
        if (with_cache)
            std::erase_if(order,
                          [&](std::size_t each) {
                              return std::ranges::find(refusing,
                                                       owner_at(each)) !=
                                     refusing.end();
                          });
        order.resize(std::min<std::size_t>(order.size(), 3));
        return std::ranges::any_of(
            order,
            [&](std::size_t owner)
            {
                cache.asked(owner_at(owner), reads, now);
                if (service.takes(owner, now))
                {
                    cache.admitted(owner_at(owner), reads);
                    return true;
                }
                cache.refused(owner_at(owner), reads,
                              service.retry_after(owner), random.unit(), now);
                return false;
            });
    }

    refusal_cache cache;
};

/**
 * Simulates four seconds of 1,500 calls a second, each with up to four retries.
 */
load_counts simulate(bool with_cache)
{
    constexpr int entries = 13;
    constexpr int max_tries = 5;
    slow_service service;
    std::vector<entry> nodes(entries);
    random_source random(7);
    std::deque<int> tries; // earlier attempts of the calls that arrive now
    int calls = 0;
    for (int ms = 0; ms < 4'000; ++ms)
    {
        const auto now = start + milliseconds(ms);
        service.end_runs(now);
        for (; calls * 2 < ms * 3; ++calls)
            tries.push_back(0);
        for (auto left = tries.size(); left > 0; --left)
        {
            const int before = tries.front();
            tries.pop_front();
            auto& node = nodes[random.below(entries)];
            if (!node.route(service, with_cache, random, now) &&
                before + 1 < max_tries)
                tries.push_back(before + 1);
        }
    }
    return service.counts;
}

} // namespace

TEST_CASE(
    "in a retry storm owners are asked far less often and as many calls run")
{
    const auto without = simulate(false);
    const auto with = simulate(true);
    INFO("asked " << with.asked << " for " << without.asked << ", ran "
                  << with.ran << " for " << without.ran);
    CHECK(with.asked < without.asked / 5);
    CHECK(with.ran > without.ran * 95 / 100);
}

TEST_CASE(
    "a refusal is cached by owner and class of work, and for a short time")
{
    refusal_cache cache;
    cache.refused(owner_at(0), reads, std::chrono::seconds(1), 0.99, start);
    CHECK(cache.refusing(reads, start) == std::vector{owner_at(0)});
    CHECK(cache.refusing(bookings, start).empty());
    CHECK(cache.refusing({reads.work, true}, start).empty());
    CHECK(cache.refusing(reads, start + refusal_cache::longest_pause).empty());
}

TEST_CASE("a pause is no longer than the owner's Retry-After")
{
    refusal_cache cache;
    cache.refused(owner_at(0), reads, milliseconds(4), 0.99, start);
    CHECK(cache.refusing(reads, start + milliseconds(4)).empty());
}

TEST_CASE("after a pause an owner is asked once a pause until it admits a call")
{
    refusal_cache cache;
    cache.refused(owner_at(0), reads, milliseconds(100), 0, start);
    const auto after = start + milliseconds(60);
    CHECK(cache.refusing(reads, after).empty());
    cache.asked(owner_at(0), reads, after);
    CHECK(cache.refusing(reads, after + milliseconds(40)).size() == 1);
    CHECK(cache.refusing(reads, after + milliseconds(60)).empty());
    cache.asked(owner_at(0), reads, after + milliseconds(60));
    cache.admitted(owner_at(0), reads);
    CHECK(cache.refusing(reads, after + milliseconds(61)).empty());
}

TEST_CASE("pauses of entries that were refused together end at different times")
{
    refusal_cache cache;
    cache.refused(owner_at(0), reads, milliseconds(40), 0, start);
    cache.refused(owner_at(1), reads, milliseconds(40), 0.9, start);
    CHECK(cache.refusing(reads, start + milliseconds(30)) ==
          std::vector{owner_at(1)});
}

TEST_CASE("callers get the shortest Retry-After of the owners")
{
    refusal_cache cache;
    CHECK(cache.retry_after(reads, start) == duration::zero());
    cache.refused(owner_at(0), reads, milliseconds(300), 0.5, start);
    cache.refused(owner_at(1), reads, milliseconds(200), 0.5, start);
    CHECK(cache.retry_after(reads, start) == milliseconds(200));
}
