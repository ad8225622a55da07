/** @file `table_store` with fakes of the platform's services. */
#include "tillerhall/store/table_store.hpp"
#include "tillerhall/table/csv.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace tillerhall;

namespace
{

class fake_table_service : public table_service
{
public:
    result<std::optional<table_item>> get(const std::string& key) override
    {
        if (down)
            return error(error_code::unavailable, "down");
        const auto found = items.find(key);
        if (found == items.end())
            return std::optional<table_item>{};
        return std::optional(found->second);
    }

    result<std::vector<table_item>> list_last(const std::string& prefix,
                                              std::size_t limit) override
    {
        std::vector<table_item> listed;
        for (auto each = items.rbegin();
             each != items.rend() && listed.size() < limit; ++each)
            if (each->first.starts_with(prefix))
                listed.push_back(each->second);
        return listed;
    }

    result<commit_outcome>
    transact(const table_transaction& transaction) override
    {
        for (const auto& each : transaction.conditions)
            if ((items.contains(each.key) ? items[each.key].revision : 0) !=
                each.revision)
                return commit_outcome{};
        ++revision;
        for (const auto& each : transaction.writes)
            items[each.key] = {each.key, each.value, revision};
        if (!lose_answer)
            return commit_outcome{true, revision};
        lose_answer = false;
        return error(error_code::outcome_unknown, "lost");
    }

    std::map<std::string, table_item> items;
    std::uint64_t revision = 0;
    bool down = false;
    bool lose_answer = false;
};

class fake_object_store : public object_store
{
public:
    result<void> put(const std::string& name,
                     const std::string& content) override
    {
        objects[name] = content;
        return {};
    }

    result<std::string> get(const std::string& name) override
    {
        if (!objects.contains(name))
            return error(error_code::not_found, name);
        return objects[name];
    }

    std::map<std::string, std::string> objects;
};

version_record record_of(std::uint64_t version,
                         const config_table& table,
                         const std::string& accept_id)
{
    version_record record;
    record.version = version;
    record.digest = table.digest();
    record.accept_id = accept_id;
    record.changes = diff({}, table);
    return record;
}

config_table one_row_table()
{
    row only;
    only.key = {"s", "p"};
    return config_table({only});
}

} // namespace

TEST_CASE("a commit stores head, history and accept id atomically")
{
    fake_table_service tables;
    fake_object_store objects;
    table_store store(tables, objects);
    const auto table = one_row_table();
    CHECK(store.read_head()->version == 0);
    REQUIRE(*store.commit({}, record_of(1, table, "a"), table));
    const auto head = store.read_head();
    CHECK(head->version == 1);
    CHECK(*store.read_table(head->digest) == table);
    CHECK(store.find_accept("a")->value() == 1);
    CHECK_FALSE(store.find_accept("b")->has_value());
    CHECK(store.read_version(1)->changes.size() == 1);
    CHECK(store.read_history(5)->size() == 1);
    // A stale head and a used accept id both fail the conditions.
    CHECK_FALSE(*store.commit({}, record_of(2, table, "b"), table));
    CHECK_FALSE(*store.commit(*head, record_of(2, table, "a"), table));
    CHECK(store.read_head()->version == 1);
}

TEST_CASE("a commit repeated after a lost answer takes effect once")
{
    fake_table_service tables;
    fake_object_store objects;
    table_store store(tables, objects);
    const auto table = one_row_table();
    tables.lose_answer = true;
    const auto first = store.commit({}, record_of(1, table, "a"), table);
    REQUIRE_FALSE(first);
    CHECK(first.reason().code() == error_code::outcome_unknown);
    CHECK_FALSE(*store.commit({}, record_of(1, table, "a"), table));
    CHECK(store.find_accept("a")->value() == 1);
}

TEST_CASE(
    "malformed and corrupt contents of the platform are reported as errors")
{
    fake_table_service tables;
    fake_object_store objects;
    table_store store(tables, objects);
    tables.items["head"] = {"head", "nonsense", 1};
    tables.items["accept/x"] = {"accept/x", "many", 1};
    tables.items["version/000000000007"] = {"version/000000000007", "{}", 1};
    CHECK(store.read_head().reason().code() == error_code::corrupt);
    CHECK(store.find_accept("x").reason().code() == error_code::corrupt);
    CHECK(store.read_version(7).reason().code() == error_code::corrupt);
    CHECK(store.read_version(8).reason().code() == error_code::not_found);
    objects.objects["00"] = write_csv(one_row_table());
    CHECK(store.read_table("00").reason().code() == error_code::corrupt);
    tables.down = true;
    CHECK(store.read_head().reason().code() == error_code::unavailable);
}
