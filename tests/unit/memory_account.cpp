#include "tillerhall/http/memory_account.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck/catch.h>
#include <vector>

using namespace tillerhall;

TEST_CASE("bodies that are received stay within the budget")
{
    // Guards against a node that is killed for memory.
    rc::prop(
        "for any sizes, in any order",
        []
        {
            constexpr std::uint64_t bytes = 4'000'000;
            memory_account budget(bytes);
            std::vector<std::unique_ptr<memory_account::holding>> bodies;
            const auto steps = *rc::gen::inRange(1, 60);
            for (int i = 0; i < steps; ++i)
            {
                const auto size =
                    *rc::gen::inRange<std::uint64_t>(0, 2 * bytes);
                const auto before = budget.taken();
                bool granted = true;
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                    if (!bodies.empty())
                        bodies.pop_back();
                    continue;
                case 1:
                    bodies.push_back(
                        std::make_unique<memory_account::holding>(&budget));
                    granted = bodies.back()->take(size);
                    break;
                default:
                    if (bodies.empty())
                        continue;
                    granted = bodies.front()->grow_to(size);
                }
                if (!granted)
                    RC_ASSERT(budget.taken() == before);
                RC_ASSERT(budget.taken() <=
                          bytes + bodies.size() * memory_account::small_bytes);
            }
            bodies.clear();
            RC_ASSERT(budget.taken() == 0U);
        });
}

TEST_CASE("bodies without an end leave room for others")
{
    constexpr std::uint64_t bytes = 64 * 1024 * 1024;
    constexpr std::uint64_t usual = 1024 * 1024;
    memory_account budget(bytes);
    std::vector<std::unique_ptr<memory_account::holding>> endless;
    for (int i = 0; i < 20; ++i)
    {
        endless.push_back(std::make_unique<memory_account::holding>(&budget));
        for (std::uint64_t size = 1; endless.back()->grow_to(size);)
            size += 64 * 1024;
    }
    memory_account::holding other(&budget);
    CHECK(other.take(memory_account::small_bytes));
    endless.resize(5);
    CHECK(other.take(usual));
    // Of a known length it may take all that is free.
    endless.clear();
    CHECK(other.take(bytes));
    CHECK_FALSE(other.grow_to(bytes));
}

TEST_CASE(
    "bodies of clients' requests leave room for those of other nodes, and "
    "both for responses")
{
    // Guards against nodes that wait for each other's memory.
    rc::prop(
        "for any sizes of the others",
        []
        {
            constexpr std::uint64_t bytes = 8'000'000;
            memory_account budget(bytes);
            std::vector<std::unique_ptr<memory_account::holding>> bodies;
            const auto fill = [&](memory_use kind)
            {
                for (int i = 0; i < 20; ++i)
                {
                    bodies.push_back(std::make_unique<memory_account::holding>(
                        &budget, kind));
                    bodies.back()->take(
                        *rc::gen::inRange<std::uint64_t>(bytes / 32, bytes));
                }
            };
            const auto has_room = [&](memory_use kind, std::uint64_t size)
            { return memory_account::holding(&budget, kind).take(size); };
            fill(memory_use::client_request);
            RC_ASSERT(has_room(memory_use::peer_request, bytes * 3 / 8));
            fill(memory_use::peer_request);
            RC_ASSERT(has_room(memory_use::response, bytes / 8));
            RC_ASSERT(has_room(memory_use::client_request, bytes / 64));
            bodies.clear();
            RC_ASSERT(has_room(memory_use::client_request, bytes / 2));
            RC_ASSERT(!has_room(memory_use::client_request, bytes / 2 + 1));
        });
}

TEST_CASE("a body that never fits has no time at which it will")
{
    memory_account budget(8'000'000);
    CHECK(budget.expected_wait(memory_use::client_request, 4'000'001) ==
          duration::max());
    CHECK(budget.expected_wait(memory_use::client_request, 4'000'000) ==
          duration::zero());
}
