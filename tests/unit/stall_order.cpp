#include "tillerhall/http/memory_account.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck/catch.h>
#include <vector>

using namespace tillerhall;

namespace
{

constexpr time_point start{std::chrono::seconds(1)};

/** A connection that holds memory for a body. */
struct fake_connection final : closable_connection
{
    explicit fake_connection(memory_account* account = nullptr,
                             std::uint64_t bytes = 0)
        : body(account, memory_use::client_request)
    {
        body.hold(bytes);
    }

    bool give_way() override
    {
        if (has_input)
            return false;
        is_closed = true;
        stall_order_hook::unlink();
        body.release();
        return true;
    }

    memory_account::holding body;
    bool has_input = false;
    bool is_closed = false;
};

} // namespace

TEST_CASE(
    "the connection that has stalled for the longest time is closed first")
{
    // Guards against clients that progress and are closed for those that do
    // not.
    stall_order order;
    std::vector<fake_connection> all(3);
    for (auto& each : all)
        order.progressed(each, start);
    order.progressed(all[0], start + milliseconds(5));
    CHECK_FALSE(
        order.close_most_stalled(start + milliseconds(9), milliseconds(10)));
    const auto later = start + milliseconds(11);
    CHECK(order.close_most_stalled(later, milliseconds(10)));
    CHECK(order.close_most_stalled(later, milliseconds(10)));
    CHECK_FALSE(order.close_most_stalled(later, milliseconds(10)));
    CHECK_FALSE(all[0].is_closed);
    CHECK(order.next_stalled(milliseconds(10)) == start + milliseconds(15));
}

TEST_CASE("a connection with input that is not read yet stays open")
{
    stall_order order;
    std::vector<fake_connection> all(2);
    for (auto& each : all)
    {
        each.has_input = true;
        order.progressed(each, start);
    }
    const auto now = start + milliseconds(1);
    CHECK_FALSE(order.close_most_stalled(now, duration::zero()));
    all[1].has_input = false;
    CHECK(order.close_most_stalled(now + milliseconds(1), duration::zero()));
    CHECK(all[1].is_closed);
    CHECK_FALSE(all[0].is_closed);
}

TEST_CASE("stalled clients give way to others before memory is refused")
{
    constexpr std::uint64_t bytes = 8'000'000;
    memory_account account(bytes);
    const auto now = steady_clock::now();
    fake_connection stalled(&account, bytes / 4);
    fake_connection moving(&account, bytes / 4);
    account.begun().progressed(stalled, now - std::chrono::seconds(2));
    account.begun().progressed(moving, now);
    memory_account::holding wanted(&account, memory_use::client_request);
    CHECK(wanted.take(bytes / 4));
    CHECK(stalled.is_closed);
    memory_account::holding more(&account, memory_use::client_request);
    CHECK_FALSE(more.take(bytes / 4));
    CHECK_FALSE(moving.is_closed);
}

TEST_CASE("small bodies of clients leave room for the bodies of others")
{
    // Guards against a crowd of small bodies that fills the memory.
    rc::prop(
        "for any sizes, however many there are",
        []
        {
            constexpr std::uint64_t bytes = 64 * 1024 * 1024;
            memory_account account(bytes);
            std::vector<std::unique_ptr<memory_account::holding>> small;
            for (std::uint64_t sum = 0; sum < 2 * bytes;)
            {
                const auto size =
                    *rc::gen::inRange<std::uint64_t>(bytes / 256, bytes / 64);
                sum += size;
                small.push_back(std::make_unique<memory_account::holding>(
                    &account, memory_use::client_request));
                small.back()->take(size);
            }
            RC_ASSERT(account.taken() <= bytes / 2);
            memory_account::holding peer(&account, memory_use::peer_request);
            RC_ASSERT(peer.take(bytes * 3 / 8));
        });
}

TEST_CASE("connections beyond their part take memory from bodies")
{
    constexpr std::uint64_t bytes = 8'000'000;
    memory_account account(bytes, bytes / 8);
    memory_account::holding connections(&account, memory_use::connection);
    REQUIRE(connections.take(bytes / 8));
    memory_account::holding response(&account);
    CHECK(response.take(bytes));
    response.release();
    REQUIRE(connections.take(bytes / 8 + bytes / 2));
    CHECK_FALSE(response.take(bytes / 2 + 1));
    CHECK(response.take(bytes / 2));
    memory_account::holding more(&account, memory_use::connection);
    CHECK_FALSE(more.take(1));
}

TEST_CASE("each connection that is closed to make room is told")
{
    constexpr std::uint64_t bytes = 1024 * 1024;
    memory_account account(bytes, bytes);
    int closed = 0;
    account.on_close([&] { ++closed; });
    std::vector<std::unique_ptr<fake_connection>> all;
    for (int i = 0; i < 3; ++i)
    {
        all.push_back(std::make_unique<fake_connection>());
        account.idle().progressed(*all.back(), start);
    }
    all[1]->has_input = true;
    CHECK(account.close_one());
    CHECK(account.close_one());
    CHECK_FALSE(account.close_one());
    CHECK(closed == 2);
}
