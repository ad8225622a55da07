/** @file Growth of state, messages, time and memory for docs/CAPACITY.md. */
#include "experiment.hpp"

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/distribution/table_update.hpp"
#include "tillerhall/node/messages.hpp"
#include "tillerhall/routing/route_view.hpp"
#include "tillerhall/table/csv.hpp"
#include "tillerhall/table/delta.hpp"

#include <boost/json.hpp>
#include <fstream>
#include <malloc.h>

namespace tillerhall::bench
{
namespace
{

namespace json = boost::json;

/** The value of a quantity at one size. */
struct point
{
    std::string quantity;
    std::string size_of; ///< what x counts
    double x = 0;
    double value = 0;
};

using points = std::vector<point>;

member synthetic_member(std::size_t number)
{
    member made;
    made.rpc = {"10." + std::to_string(number / 250 % 250) + "." +
                    std::to_string(number % 250) + ".1",
                7100};
    made.peer = made.caller = made.operators = made.rpc;
    made.target = {made.rpc.ip, 9000};
    made.place = {"region-" + std::to_string(number % 2),
                  "domain-" + std::to_string(number % 5)};
    made.service = "service-" + std::to_string(number % 240);
    made.target_is = target_state::serving;
    made.incarnation = 1'700'000'000'000 + number;
    return made;
}

config_table synthetic_table(std::size_t rows)
{
    std::vector<row> made(rows);
    for (std::size_t i = 0; i < rows; ++i)
        made[i].key = {"service-" + std::to_string(i / 5),
                       "domain-" + std::to_string(i % 5)};
    return config_table(std::move(made));
}

/** @return median time of @p body , in microseconds. */
template <class Body>
double time_us(Body body)
{
    constexpr int repeats = 15;
    std::vector<double> taken;
    for (int i = 0; i < repeats; ++i)
    {
        const auto begin = steady_clock::now();
        body();
        const std::chrono::duration<double, std::micro> took =
            steady_clock::now() - begin;
        taken.push_back(took.count());
    }
    return quantile(taken, 0.5);
}

double heap_bytes()
{
    return static_cast<double>(::mallinfo2().uordblks);
}

/** Measures what grows with the number of members, on synthetic members. */
void measure_members(points& into)
{
    for (const std::size_t count : {300U, 700U, 1400U, 2000U, 2700U})
    {
        const auto x = static_cast<double>(count);
        const auto add = [&](const char* quantity, double value) {
            into.push_back({quantity, "members", x, value});
        };
        const double before = heap_bytes();
        member_list list(synthetic_member(0));
        for (std::size_t i = 1; i < count; ++i)
            list.merge(synthetic_member(i));
        add("member_list_bytes", heap_bytes() - before);
        join_answer answer;
        answer.members = list.all();
        add("join_answer_bytes",
            static_cast<double>(json::serialize(to_json(answer)).size()));
        random_source random(1);
        add("split_range_us",
            time_us([&] { split_range(key_range{}, list, 8, random); }));
        const table_view_ptr table(
            new table_view(1, "d", 0, synthetic_table(1200)));
        add("route_view_us", time_us([&] { route_view(table, list); }));
        const double views_before = heap_bytes();
        const route_view kept(table, list);
        add("route_view_bytes", heap_bytes() - views_before);
        add("digest_us", time_us([&] { (void)list.digest(); }));
    }
}

/** Measures what grows with the number of rows. */
void measure_rows(points& into)
{
    for (const std::size_t count : {150U, 300U, 600U, 1200U, 2400U})
    {
        const auto x = static_cast<double>(count);
        const auto add = [&](const char* quantity, double value) {
            into.push_back({quantity, "rows", x, value});
        };
        const auto table = synthetic_table(count);
        auto changed = table;
        auto first = table.rows().front();
        first.weight = 7;
        changed.put(first);
        const auto csv = write_csv(table);
        add("snapshot_bytes", static_cast<double>(csv.size()));
        add("parse_us", time_us([&] { read_csv(csv); }));
        add("digest_table_us", time_us([&] { (void)table.digest(); }));
        const auto delta = diff(table, changed);
        add("apply_delta_us",
            time_us([&] { (void)apply(table, delta)->digest(); }));
        const table_update update{
            2,     table.digest(), table.digest(), wall_clock_us(),
            delta, std::nullopt};
        add("delta_bytes",
            static_cast<double>(json::serialize(to_json(update)).size()));
    }
}

/** Measures whole systems of several sizes. */
result<void> measure_fleets(worker& on, double idle_s, points& into)
{
    for (const std::size_t count : {12U, 25U, 50U, 75U, 100U})
    {
        auto built = harness::akkerbond(count);
        built.share_targets = true;
        built.settings["target.health_ms"] = "5000";
        built.settings["log.level"] = "warn";
        harness::cluster system(on, built);
        if (auto started = system.start_with_table(); !started)
            return started;
        sleep_for(on.io(), std::chrono::seconds(8));
        const auto begin = sample_fleet(system);
        sleep_for(on.io(),
                  milliseconds(static_cast<std::int64_t>(idle_s * 1000)));
        const auto end = sample_fleet(system);
        const std::chrono::duration<double> passed = end.at - begin.at;
        const auto add = [&](const char* quantity, double value) {
            into.push_back(
                {quantity, "nodes", static_cast<double>(count), value});
        };
        add("idle_bytes_per_node_s",
            (end.control_bytes - begin.control_bytes) / passed.count());
        add("idle_cpu_percent_per_node",
            100 * (end.cpu_s - begin.cpu_s) / passed.count());
        add("rss_mb_per_node", end.rss_mb);
        add("source_reads_s",
            (end.source_reads - begin.source_reads) / passed.count());
        print_progress(std::to_string(count) + " nodes measured");
    }
    return {};
}

} // namespace

int run_slopes(worker& on, const cxxopts::ParseResult& options)
{
    points measured;
    measure_members(measured);
    measure_rows(measured);
    const auto fleets =
        measure_fleets(on, options["idle"].as<double>(), measured);
    if (!fleets)
    {
        print_progress(fleets.reason().message());
        return 1;
    }
    const auto path = options["output"].as<std::string>();
    std::ofstream file(path);
    file << "quantity,size_of,x,value\n";
    for (const auto& each : measured)
        file << each.quantity << "," << each.size_of << "," << each.x << ","
             << each.value << "\n";
    file.close();
    report("slopes", {{"points", measured.size()}, {"file", path}});
    return file ? 0 : 1;
}

} // namespace tillerhall::bench
