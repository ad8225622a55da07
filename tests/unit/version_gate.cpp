#include "tillerhall/distribution/version_gate.hpp"
#include "generators.hpp"
#include "tillerhall/distribution/update_log.hpp"
#include "tillerhall/table/csv.hpp"

#include <algorithm>

using namespace tillerhall;

namespace
{

/** A history of accepted tables and the updates that announce them. */
struct history
{
    std::vector<config_table> tables{config_table{}};
    std::vector<table_update> deltas;
    std::vector<table_update> wholes;

    void accept(const config_table& next)
    {
        const auto version = tables.size();
        const auto parent = version == 1 ? "" : tables.back().digest();
        deltas.push_back({version, next.digest(), parent, 0,
                          diff(tables.back(), next), std::nullopt});
        wholes.push_back(
            {version, next.digest(), "", 0, std::nullopt, write_csv(next)});
        tables.push_back(next);
    }
};

bool all_known(const config_table&)
{
    return true;
}

} // namespace

TEST_CASE("versions never decrease and tables are complete, whatever arrives")
{
    rc::prop("gate against the history",
             [](const std::vector<config_table>& accepted,
                const std::vector<std::pair<unsigned, bool>>& arrivals)
             {
                 RC_PRE(!accepted.empty());
                 history past;
                 for (const auto& each : accepted)
                     past.accept(each);
                 version_gate gate(all_known);
                 std::uint64_t last = 0;
                 for (const auto& [pick, whole] : arrivals)
                 {
                     const auto index = pick % past.deltas.size();
                     gate.offer(whole ? past.wholes[index]
                                      : past.deltas[index]);
                     RC_ASSERT(gate.current()->version() >= last);
                     last = gate.current()->version();
                     RC_ASSERT(gate.current()->table() == past.tables[last]);
                 }
                 // The newest whole table makes up for any loss.
                 gate.offer(past.wholes.back());
                 RC_ASSERT(gate.current()->version() == past.tables.size() - 1);
             });
}

TEST_CASE("a corrupt delta or table is dropped and changes nothing")
{
    row first;
    first.key = {"s", "p"};
    history past;
    past.accept(config_table({first}));
    version_gate gate(all_known);
    auto delta = past.deltas[0];
    delta.digest = "0";
    CHECK(gate.offer(delta) == gate_decision::corrupt);
    auto whole = past.wholes[0];
    whole.whole->append("s,q,1,1,1,1,1,1,1,no\n");
    CHECK(gate.offer(whole) == gate_decision::corrupt);
    whole.whole = "nonsense";
    CHECK(gate.offer(whole) == gate_decision::corrupt);
    CHECK(gate.current()->version() == 0);
    CHECK(gate.offer(past.deltas[0]) == gate_decision::applied);
    CHECK(gate.offer(past.wholes[0]) == gate_decision::old);
}

TEST_CASE("a version waits until the names in it are known")
{
    row first;
    first.key = {"s", "p"};
    history past;
    past.accept(config_table({first}));
    bool known = false;
    version_gate gate([&](const config_table&) { return known; });
    CHECK(gate.offer(past.deltas[0]) == gate_decision::waiting_names);
    CHECK(gate.current()->version() == 0);
    CHECK_FALSE(gate.retry_waiting());
    known = true;
    CHECK(gate.retry_waiting());
    CHECK(gate.current()->version() == 1);
    CHECK(gate.waiting() == 0);
}

TEST_CASE("the number of held updates is bounded")
{
    history past;
    for (std::size_t i = 0; i < 2 * version_gate::max_waiting; ++i)
    {
        row changed;
        changed.key = {"s", "p"};
        changed.weight = static_cast<std::int64_t>(i);
        past.accept(config_table({changed}));
    }
    version_gate gate(all_known);
    for (std::size_t i = 1; i < past.deltas.size(); ++i)
        gate.offer(past.deltas[i]);
    CHECK(gate.waiting() == version_gate::max_waiting);
    CHECK(gate.greatest_seen() == past.deltas.size());
    CHECK(gate.offer(past.deltas[0]) == gate_decision::applied);
    CHECK(gate.current()->version() == version_gate::max_waiting + 1);
    CHECK(gate.waiting() == 0);
}

TEST_CASE("the update log returns all deltas since a version, or none")
{
    update_log log;
    for (std::uint64_t version = 5; version <= 8; ++version)
        log.add({version, "", "", 0, table_delta{}, std::nullopt});
    CHECK(log.since(4)->size() == 4);
    CHECK(log.since(7)->front().version == 8);
    CHECK_FALSE(log.since(3));
    CHECK_FALSE(log.since(8));
    log.add({20, "", "", 0, table_delta{}, std::nullopt});
    CHECK_FALSE(log.since(8));
    CHECK(log.since(19)->size() == 1);
}
