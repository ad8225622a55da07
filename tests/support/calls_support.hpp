/** @file Test clusters for calls, and the runs counted by their targets. */
#pragma once

#include "system.hpp"

#include "tillerhall/core/await.hpp"
#include "tillerhall/table/column.hpp"
#include "tillerhall/table/csv.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace tillerhall::harness
{

/** Options for four nodes: three with a target of one service, and one with a
 * target of another. */
inline cluster_options four_nodes()
{
    cluster_options options;
    options.placements = {{"oogstbeurs", "polder-a"},
                          {"oogstbeurs", "polder-b"},
                          {"oogstbeurs", "polder-c"},
                          {"perceel", "polder-a"}};
    options.settings["mesh.heartbeat_ms"] = "100";
    options.settings["mesh.suspect_ms"] = "1000";
    options.settings["target.health_ms"] = "100";
    return options;
}

/** Returns the number of runs at all targets by request id. */
inline std::map<std::string, std::int64_t> all_runs(cluster& system)
{
    std::map<std::string, std::int64_t> runs;
    for (auto& node : system.nodes())
        if (const auto counted = system.get(node.target, "/admin/runs"))
            for (const auto& each : *counted)
                if (each.key() != "http_status")
                    runs[each.key()] += each.value().to_number<std::int64_t>();
    return runs;
}

/** Accepts the default table with @p cells (value by column) set in each
 * row. */
inline void accept_with(cluster& system,
                        std::uint64_t base,
                        const std::map<std::string, std::string>& cells)
{
    std::vector<row> rows;
    const auto current = read_csv(system.default_table()).parsed.table;
    for (auto each : current.rows())
    {
        for (const auto& [name, value] : cells)
            REQUIRE(set_cell(each, **find_column(name), value));
        rows.push_back(each);
    }
    const auto accepted = system.accept(0, write_csv(config_table(rows)), base,
                                        "limits-" + std::to_string(base));
    REQUIRE(accepted);
    INFO(boost::json::serialize(*accepted));
    REQUIRE(number(*accepted, "http_status") == 200);
    REQUIRE(system.wait_for_version(static_cast<std::int64_t>(base) + 1));
}

/** Sends @p bytes to @p to and returns the answer up to the end of its head. */
inline std::string
exchange_raw(worker& on, const address& to, const std::string& bytes)
{
    auto stream = connect_stream(on.io(), to, std::chrono::seconds(5));
    REQUIRE(stream);
    boost::system::error_code failed;
    (*stream)->expires_after(std::chrono::seconds(10));
    boost::asio::async_write(**stream, boost::asio::buffer(bytes),
                             await{failed});
    std::string answer;
    boost::asio::async_read_until(**stream, boost::asio::dynamic_buffer(answer),
                                  "\r\n\r\n", await{failed});
    return answer;
}

} // namespace tillerhall::harness
