#include "tillerhall/node/range_send.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{

void send_to_range(mesh_state& mesh,
                   const range_message& message,
                   const key_range& range)
{
    const auto fanout = static_cast<std::size_t>(mesh.config.fanout);
    for (const auto& part :
         split_range(range, mesh.members, fanout, mesh.random))
        mesh.on.spawn(
            [&mesh, message, part]
            {
                const auto takes = [&](const address& peer)
                {
                    return mesh.pool
                        .call({peer, message.kind, message.method,
                               message.params(part.range), message.timeout})
                        .has_value();
                };
                if (std::ranges::none_of(part.candidates, takes))
                    mesh.board.metrics
                        .get("tillerhall_range_given_up_total",
                             std::string("method=\"") + message.method + "\"")
                        .add();
            });
}

} // namespace tillerhall
