#include "generators.hpp"
#include "tillerhall/core/bounded_set.hpp"
#include "tillerhall/node/answer_cache.hpp"
#include "tillerhall/routing/claim_shard.hpp"

#include <set>

using namespace tillerhall;

namespace
{

/** A table service's items, with conditional writes and revisions. */
struct item_store
{
    std::map<std::string, table_item> items;
    std::uint64_t revision = 0;

    bool transact(const table_transaction& transaction)
    {
        for (const auto& each : transaction.conditions)
        {
            const auto found = items.find(each.key);
            const auto now = found == items.end() ? 0 : found->second.revision;
            if (now != each.revision)
                return false;
        }
        ++revision;
        for (const auto& each : transaction.writes)
            items[each.key] = {each.key, each.value, revision};
        return true;
    }

    std::vector<table_item> list() const
    {
        std::vector<table_item> all;
        for (const auto& each : items)
            all.push_back(each.second);
        return all;
    }
};

} // namespace

TEST_CASE("two writers of one shard never both claim a key")
{
    rc::prop(
        "claims",
        [](const std::vector<std::pair<bool, unsigned char>>& steps)
        {
            item_store store;
            std::array<claim_shard, 2> writers{claim_shard(3), claim_shard(3)};
            std::set<std::string> granted;
            std::int64_t minute = 100;
            std::uint64_t nonce = 0;
            for (const auto& [second, pick] : steps)
            {
                auto& writer = writers[second ? 1 : 0];
                const auto key = "k" + std::to_string(pick % 7);
                minute += pick % 5 == 0 ? 1 : 0;
                RC_PRE(minute < 100 + claim_shard::kept_minutes);
                if (writer.find(key, minute) != nullptr)
                    continue;
                writer.put({key, "b", ++nonce, claim_state::running}, minute);
                table_transaction transaction;
                writer.add_to(transaction);
                if (store.transact(transaction))
                {
                    writer.stored(store.revision);
                    RC_ASSERT(granted.insert(key).second);
                }
                else
                    RC_ASSERT(writer.load(store.list()));
            }
        });
}

TEST_CASE("claims expire by the minute and the ring stays bounded")
{
    item_store store;
    claim_shard shard(0);
    for (std::int64_t minute = 1; minute < 100; ++minute)
    {
        shard.put({"k" + std::to_string(minute), "b", 1, claim_state::done},
                  minute);
        table_transaction transaction;
        shard.add_to(transaction);
        REQUIRE(store.transact(transaction));
        shard.stored(store.revision);
    }
    CHECK(store.items.size() == claim_shard::ring_size);
    CHECK(shard.find("k99", 99) != nullptr);
    CHECK(shard.find("k85", 99) != nullptr);
    CHECK(shard.find("k84", 99) == nullptr);
    claim_shard read(0);
    REQUIRE(read.load(store.list()));
    CHECK(read.find("k99", 99)->state == claim_state::done);
    CHECK_FALSE(read.load({{"claims/00/99", "{}", 1}}));
    CHECK_FALSE(read.load({{"claims/00/01", "nonsense", 1}}));
}

TEST_CASE("a released key is free; a changed claim stays in its minute")
{
    claim_shard shard(0);
    shard.put({"k", "b", 1, claim_state::running}, 10);
    shard.put({"k", "b", 1, claim_state::unknown}, 20);
    CHECK(shard.find("k", 24) != nullptr);
    CHECK(shard.find("k", 25) == nullptr);
    shard.put({"k", "b", 1, claim_state::released}, 20);
    CHECK(shard.find("k", 20) == nullptr);
}

TEST_CASE("stored answers take no more memory than allowed")
{
    // Guards against a key stored twice, whose first body stayed counted, so
    // that the cache held less and less.
    constexpr std::size_t body_bytes = 100;
    answer_cache cache(10 * body_bytes);
    const stored_answer answer{200, "text/plain", std::string(body_bytes, 'x')};
    for (int i = 0; i < 50; ++i)
        cache.put("same", answer);
    CHECK(cache.bytes() == body_bytes);
    for (int i = 0; i < 50; ++i)
        cache.put("key-" + std::to_string(i), answer);
    CHECK(cache.bytes() == 10 * body_bytes);
    CHECK(cache.size() == 10);
    CHECK(cache.find("same") == nullptr);
    CHECK(cache.find("key-49") != nullptr);
    cache.put("large", {200, "", std::string(11 * body_bytes, 'x')});
    CHECK(cache.find("large") == nullptr);
    CHECK(cache.bytes() <= 10 * body_bytes);
}

TEST_CASE("a bounded set keeps its newest members")
{
    bounded_set<int> kept(3);
    for (const int member : {1, 2, 2, 3, 4, 1})
        kept.insert(member);
    CHECK(kept.size() == 3);
    CHECK_FALSE(kept.contains(2));
    CHECK(kept.contains(1));
    CHECK(kept.contains(4));
}
