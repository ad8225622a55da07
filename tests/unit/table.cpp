#include "generators.hpp"
#include "tillerhall/table/check.hpp"
#include "tillerhall/table/csv.hpp"
#include "tillerhall/table/delta.hpp"
#include "tillerhall/table/merge.hpp"

#include <boost/json.hpp>

using namespace tillerhall;

TEST_CASE("CSV with the variations that spreadsheets write is read")
{
    const auto outcome = read_csv("\xEF\xBB\xBF#tillerhall base=7;;\r\n"
                                  "place;service;weight;repeatable\r\n"
                                  "polder-a;perceel;50;TRUE\r\n"
                                  ";;;\r\n"
                                  "\"polder-b\";perceel;;no\r\n");
    REQUIRE(outcome.problems.empty());
    CHECK(outcome.parsed.base == 7);
    const auto* first = outcome.parsed.table.find({"perceel", "polder-a"});
    REQUIRE(first != nullptr);
    CHECK(first->weight == 50);
    CHECK(first->repeatable == 1);
    const auto* second = outcome.parsed.table.find({"perceel", "polder-b"});
    REQUIRE(second != nullptr);
    CHECK(second->weight == row{}.weight);
}

TEST_CASE("CSV reports every problem with its line, value and remedy")
{
    const auto outcome = read_csv("service,place,weight,colour\n"
                                  "perceel,polder-a,-1,x\n"
                                  "perceel,polder-b,many,x\n"
                                  "perceel,polder-a,1,x\n"
                                  "per ceel,polder-c,1,x\n"
                                  "perceel\n");
    std::vector<std::string> messages;
    for (const auto& each : outcome.problems)
        messages.push_back(each.message());
    REQUIRE(messages.size() == 6);
    CHECK_THAT(messages[0],
               Catch::Contains("line 1: unknown column \"colour\""));
    CHECK_THAT(messages[1],
               Catch::Contains("line 2") && Catch::Contains("weight \"-1\"") &&
                   Catch::Contains("whole number from 0 to 10000"));
    CHECK_THAT(messages[2], Catch::Contains("line 3"));
    CHECK_THAT(messages[3], Catch::Contains("stands twice"));
    CHECK_THAT(messages[4], Catch::Contains("\"per ceel\" is not a name"));
    CHECK_THAT(messages[5], Catch::Contains("1 cells under 4 columns"));
}

TEST_CASE("CSV without a header, a key column or a valid base is rejected")
{
    CHECK(read_csv("").problems.size() == 1);
    CHECK_FALSE(read_csv("service,weight\nperceel,1\n").problems.empty());
    CHECK_FALSE(
        read_csv("#tillerhall base=x\nservice,place\n").problems.empty());
}

TEST_CASE(
    "a table is unchanged by writing and reading CSV, and so is its digest")
{
    rc::prop("round trip",
             [](const config_table& table)
             {
                 const auto outcome = read_csv(write_draft(table, 3));
                 RC_ASSERT(outcome.problems.empty());
                 RC_ASSERT(outcome.parsed.table == table);
                 RC_ASSERT(outcome.parsed.table.digest() == table.digest());
             });
}

TEST_CASE("the delta of two tables, sent as JSON, turns one into the other")
{
    rc::prop("diff, send, apply",
             [](const config_table& from, const config_table& to)
             {
                 const auto sent = to_json(diff(from, to));
                 const auto read = delta_from_json(
                     boost::json::parse(boost::json::serialize(sent)));
                 RC_ASSERT(read.has_value());
                 const auto applied = apply(from, *read);
                 RC_ASSERT(applied.has_value());
                 RC_ASSERT(*applied == to);
             });
}

TEST_CASE("a delta that does not fit the table is rejected")
{
    table_change change;
    change.key = {"s", "p"};
    change.column = "weight";
    change.after = "1";
    CHECK_FALSE(apply(config_table{}, {change}));
    change.kind = change_kind::remove_row;
    CHECK_FALSE(apply(config_table{}, {change}));
    change.kind = change_kind::add_row;
    change.after = "not,a,row";
    CHECK_FALSE(apply(config_table{}, {change}));
    CHECK_FALSE(delta_from_json(boost::json::parse("[[1,2]]")));
    CHECK_FALSE(delta_from_json(boost::json::parse("{}")));
}

TEST_CASE("a merge keeps the edits of both sides or reports a conflict")
{
    rc::prop("identities of merge",
             [](const config_table& base, const config_table& other)
             {
                 RC_ASSERT(merge(base, base, other).merged == other);
                 RC_ASSERT(merge(base, other, base).merged == other);
                 RC_ASSERT(merge(base, other, other).merged == other);
                 RC_ASSERT(merge(base, other, other).conflicts.empty());
             });
    rc::prop("every cell of mine is merged or in conflict",
             [](const config_table& base, const config_table& mine,
                const config_table& theirs)
             {
                 const auto outcome = merge(base, mine, theirs);
                 for (const auto& change : diff(base, mine))
                 {
                     const auto still = diff(outcome.merged, mine);
                     const auto lost = std::ranges::any_of(
                         still,
                         [&](const table_change& each)
                         {
                             return each.key == change.key &&
                                    (each.column == change.column ||
                                     each.column.empty() ||
                                     change.column.empty());
                         });
                     const auto shown = std::ranges::any_of(
                         outcome.conflicts, [&](const merge_conflict& each)
                         { return each.key == change.key; });
                     // The other side may have changed other cells of the row.
                     const bool theirs_too = base.find(change.key) != nullptr &&
                                             theirs.find(change.key) != nullptr;
                     RC_ASSERT(!lost || shown ||
                               (theirs_too && change.column.empty()));
                 }
             });
}

TEST_CASE(
    "a cell changed to different values is a conflict with all three values")
{
    row first;
    first.key = {"perceel", "polder-a"};
    row mine = first;
    mine.weight = 1;
    row theirs = first;
    theirs.weight = 2;
    const auto outcome = merge(config_table({first}), config_table({mine}),
                               config_table({theirs}));
    REQUIRE(outcome.conflicts.size() == 1);
    CHECK(outcome.conflicts[0].column == "weight");
    CHECK(outcome.conflicts[0].base == "100");
    CHECK(outcome.conflicts[0].mine == "1");
    CHECK(outcome.conflicts[0].theirs == "2");
    CHECK(outcome.merged.find(first.key)->weight == 2);
}

TEST_CASE("unknown names and all-zero weights of a table are each reported")
{
    row unknown;
    unknown.key = {"nobody", "nowhere"};
    row closed;
    closed.key = {"perceel", "polder-a"};
    closed.weight = 0;
    const auto problems = check_table(config_table({unknown, closed}),
                                      {{"perceel"}, {"polder-a"}});
    REQUIRE(problems.size() == 3);
    CHECK_THAT(problems[0].message(), Catch::Contains("service \"nobody\"") &&
                                          Catch::Contains("one of: perceel"));
    CHECK_THAT(problems[1].message(), Catch::Contains("place \"nowhere\""));
    CHECK_THAT(problems[2].message(),
               Catch::Contains("every weight of service \"perceel\" is 0"));
}
