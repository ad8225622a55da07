/** @file Queries all members in a key range through a tree. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/node/mesh_state.hpp"

#include <boost/json/object.hpp>
#include <string>

namespace tillerhall
{

/** A query; each receiver splits its range further. */
struct range_query
{
    std::string method;
    traffic_kind kind = traffic_kind::watch;
    boost::json::object params;
};

/**
 * Splits @p range into at most `fanout` parts and queries one member of each in
 * parallel. If it doesn't answer, the next candidate is queried. Waits for all.
 * @param take called with each answer; throws on a malformed one
 * @param missing called with the range of each part without an answer
 */
template <class Take, class Missing>
void query_range(mesh_state& mesh,
                 const range_query& query,
                 const key_range& range,
                 Take take,
                 Missing missing)
{
    constexpr milliseconds timeout(2000);
    const auto query_part = [&](const range_part& part)
    {
        auto params = query.params;
        put_range(params, part.range);
        for (const auto& each : part.candidates)
        {
            const auto answer = mesh.pool.call(
                {each, query.kind, query.method, params, timeout});
            try
            {
                if (answer)
                    return take(*answer);
            }
            catch (const std::exception&)
            {
                mesh.board.metrics.get("tillerhall_rpc_bad_message_total")
                    .add();
            }
        }
        missing(part.range);
    };
    const auto parts =
        split_range(range, mesh.members,
                    static_cast<std::size_t>(mesh.config.fanout), mesh.random);
    std::vector<worker::task> tasks;
    for (const auto& part : parts)
        tasks.emplace_back([&query_part, &part] { query_part(part); });
    run_parallel(std::move(tasks));
}

} // namespace tillerhall
