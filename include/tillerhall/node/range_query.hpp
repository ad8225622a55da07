/** @file Asks every member in a range and adds up their answers. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/node/mesh_state.hpp"

#include <boost/json/object.hpp>
#include <string>

namespace tillerhall
{

/** What is asked; each member asked splits its range further. */
struct range_question
{
    std::string method;
    traffic_kind kind = traffic_kind::watch;
    boost::json::object params;
};

/**
 * Asks one member of each part of @p range at the same time, the next one if
 * it does not answer. Each node asks at most `fanout` others, however many
 * there are.
 * @param take given each answer; throws on a malformed one
 * @param missing given the range of a part that nobody answered for
 */
template <class Take, class Missing>
void ask_range(mesh_state& mesh,
               const range_question& question,
               const key_range& range,
               Take take,
               Missing missing)
{
    constexpr milliseconds timeout(2000);
    const auto ask_part = [&](const range_part& part)
    {
        auto params = question.params;
        put_range(params, part.range);
        for (const auto& each : part.candidates)
        {
            const auto answer = mesh.pool.call(
                {each, question.kind, question.method, params, timeout});
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
    std::vector<worker::task> asks;
    for (const auto& part : parts)
        asks.emplace_back([&ask_part, &part] { ask_part(part); });
    run_parallel(std::move(asks));
}

} // namespace tillerhall
