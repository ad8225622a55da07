/** @file Helpers for integration tests that start a whole system. */
#pragma once

#include "harness/caller.hpp"
#include "harness/cluster.hpp"

#include "tillerhall/table/csv.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <functional>

namespace tillerhall::harness
{

/** Runs @p body as a fiber of a worker on this thread. */
inline void on_worker(const std::function<void(worker&)>& body)
{
    run_main_fiber(
        [&](worker& on)
        {
            body(on);
            return 0;
        });
}

/** A started cluster with its default table as version 1. */
class started_cluster : public cluster
{
public:
    started_cluster(worker& on, const cluster_options& options)
        : cluster(on, options)
    {
        const auto started = start_with_table();
        INFO((started ? "" : started.reason().message()));
        REQUIRE(started);
        m_csv = default_table();
    }

    const std::string& csv() const { return m_csv; }

private:
    std::string m_csv;
};

/** @return @p csv with the weight of row @p row_index set. */
inline std::string
with_weight(const std::string& csv, int weight, std::size_t row_index = 0)
{
    auto table = read_csv(csv).parsed.table;
    auto changed = table.rows()[row_index];
    changed.weight = weight;
    table.put(changed);
    return write_csv(table);
}

/** @return the integer member @p name of @p body. */
inline std::int64_t number(const boost::json::object& body, const char* name)
{
    return body.at(name).to_number<std::int64_t>();
}

} // namespace tillerhall::harness
