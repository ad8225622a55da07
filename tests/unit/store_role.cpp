/** @file Store roles, reader ranks and routes updates. */
#include "tillerhall/distribution/store_role.hpp"
#include "tillerhall/control/routes_update.hpp"
#include "tillerhall/core/base64.hpp"
#include "tillerhall/core/packing.hpp"
#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/distribution/reader_choice.hpp"

#include "generators.hpp"

#include <boost/json.hpp>

using namespace tillerhall;

namespace
{

const time_point start = time_point(std::chrono::hours(1));
constexpr std::size_t no_candidate = 7; // a rank that never announces

} // namespace

TEST_CASE("without updates every node asks the store and candidates announce")
{
    const store_role_choice alone;
    CHECK(alone.at(0, start) == store_role::announce);
    CHECK(alone.at(store_role_choice::candidates - 1, start) ==
          store_role::announce);
    CHECK(alone.at(store_role_choice::candidates, start) == store_role::poll);
}

TEST_CASE("a node listens until its newest update exceeds the staleness limit")
{
    rc::prop("whatever the age of the store's answer",
             []
             {
                 const milliseconds age(*rc::gen::inRange(0, 3'000));
                 const auto rank =
                     static_cast<std::size_t>(*rc::gen::inRange(1, 10));
                 store_role_choice role;
                 role.update_received(0, rank, age, start);
                 const bool fresh = age < store_role_choice::staleness_limit;
                 RC_ASSERT((role.at(rank, start) == store_role::listen) ==
                           fresh);
                 const auto stale_from =
                     start - age + store_role_choice::staleness_limit;
                 RC_ASSERT(role.at(rank, stale_from) != store_role::listen);
             });
}

TEST_CASE("an update with an older answer does not shorten listening")
{
    store_role_choice role;
    role.update_received(0, no_candidate, milliseconds(0), start);
    role.update_received(1, no_candidate, milliseconds(1'300),
                         start + milliseconds(50));
    CHECK(role.listens_until() == start + store_role_choice::staleness_limit);
}

TEST_CASE("of two announcers only the worse one stops")
{
    rc::prop(
        "for any two candidates",
        []
        {
            const auto better =
                static_cast<std::size_t>(*rc::gen::inRange(0, 2));
            const auto worse = static_cast<std::size_t>(
                *rc::gen::inRange(static_cast<int>(better) + 1, 3));
            store_role_choice at_better;
            store_role_choice at_worse;
            at_better.update_received(worse, better, milliseconds(0), start);
            at_worse.update_received(better, worse, milliseconds(0), start);
            RC_ASSERT(at_better.at(better, start) == store_role::announce);
            RC_ASSERT(at_worse.at(worse, start) == store_role::listen);
        });
}

TEST_CASE("worse readers and other nodes wait for an answer being received")
{
    // Guards against a full link to the store on which all nodes of a domain
    // ask for a version that their reader is receiving.
    const auto stale = start + store_role_choice::staleness_limit;
    for (const std::size_t rank : {std::size_t{2}, no_candidate})
    {
        store_role_choice role;
        role.update_received(0, rank, milliseconds(0), start);
        role.reader_receives(1, rank, start + milliseconds(900));
        CHECK(role.at(rank, stale) == store_role::listen);
        CHECK(role.at(rank, stale + milliseconds(900)) != store_role::listen);
    }
    store_role_choice better;
    better.reader_receives(1, 0, start);
    CHECK(better.at(0, start) == store_role::announce);
}

TEST_CASE("a reader whose answer never ends is not waited for without a bound")
{
    store_role_choice role;
    role.update_received(0, no_candidate, milliseconds(0), start);
    auto now = start;
    for (; now < start + std::chrono::minutes(1); now += milliseconds(600))
        role.reader_receives(0, no_candidate, now);
    CHECK(role.at(no_candidate, now) == store_role::poll);
}

TEST_CASE("all nodes rank the readers of a domain alike, the best link first")
{
    std::vector<member> all(12);
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        all[i].rpc = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
        all[i].place = {"r", "d"};
        all[i].link_mbps = i == 5 ? 200 : 10;
    }
    std::set<std::size_t> ranks;
    for (const auto& self : all)
    {
        member_list list(self);
        for (const auto& each : all)
            list.merge(each);
        ranks.insert(reader_rank(list));
        CHECK((reader_rank(list) == 0) == (self.link_mbps == 200));
    }
    CHECK(ranks.size() == all.size());
}

TEST_CASE("the key range of a domain contains exactly its members")
{
    rc::prop("for any two members",
             [](const member& one, const member& other)
             {
                 const auto range = domain_range(one);
                 RC_ASSERT(range.contains(key_of(one)));
                 RC_ASSERT(range == domain_range(one));
                 if (one.place == other.place)
                     RC_ASSERT(range.contains(key_of(other)));
                 else
                     RC_ASSERT(!range.contains(key_of(other)) ||
                               domain_range(other) == range);
             });
}

TEST_CASE("a routes update survives a round trip through JSON")
{
    routes_update sent;
    sent.reader = "10.0.0.1:7400";
    sent.rank = 2;
    sent.version = 90;
    sent.revision = 1234;
    sent.store_age_ms = 17;
    sent.answer_ms = 9;
    sent.relayed_ms = 4;
    sent.sent_ms = 123456;
    sent.is_receiving = true;
    sent.packed = pack_text("routes");
    sent.range = {5, 900};
    const auto read = routes_update_from_json(to_json(sent));
    CHECK(read.reader == sent.reader);
    CHECK(read.rank == sent.rank);
    CHECK(read.version == sent.version);
    CHECK(read.revision == sent.revision);
    CHECK(read.store_age_ms == sent.store_age_ms);
    CHECK(read.answer_ms == sent.answer_ms);
    CHECK(read.relayed_ms == sent.relayed_ms);
    CHECK(read.sent_ms == sent.sent_ms);
    CHECK(read.is_receiving);
    CHECK(read.packed == sent.packed);
    CHECK(read.range == sent.range);
    auto cut = to_json(sent);
    cut.erase("v");
    CHECK_THROWS(routes_update_from_json(cut));
}

TEST_CASE("packed texts unpack unchanged and truncated ones are refused")
{
    rc::prop("any text",
             [](const std::string& text)
             {
                 const auto packed = pack_text(text);
                 RC_ASSERT(*unpack_text(packed) == text);
                 const auto plain = decode_base64(encode_base64(text));
                 RC_ASSERT(*plain == text);
             });
    const auto packed = pack_text(std::string(5'000, 'x') + "end");
    CHECK(packed.size() < 200);
    for (std::size_t size = 0; size < packed.size(); ++size)
        CHECK_FALSE(unpack_text(packed.substr(0, size)));
    CHECK_FALSE(unpack_text("no base64!"));
}

TEST_CASE("a text that unpacks to more than the limit is refused")
{
    const auto packed = pack_text(std::string(max_unpacked_bytes + 1, 'x'));
    const auto read = unpack_text(packed);
    REQUIRE_FALSE(read);
    CHECK(read.reason().code() == error_code::too_large);
}

TEST_CASE("a started node listens for an update after its first read")
{
    // Guards against a start of all nodes in which each ranks itself best, as
    // its member list is empty, and keeps polling the store.
    store_role_choice role;
    role.store_answered(start);
    const auto later =
        start + store_role_choice::staleness_limit - milliseconds(1);
    CHECK(role.at(no_candidate, later) == store_role::listen);
    CHECK(role.at(1, later) == store_role::listen);
    CHECK(role.at(0, later) == store_role::announce);
    CHECK(role.at(no_candidate, start + store_role_choice::staleness_limit) ==
          store_role::poll);
    role.update_received(0, no_candidate, milliseconds(0), later);
    CHECK(role.at(no_candidate, start + store_role_choice::staleness_limit) ==
          store_role::listen);
}
