/** @file Clients that take memory or connections of a node and do not go on.
 *
 * Guards against nodes that exceed their memory and are killed, and against
 * clients that get no answer beside them. */
#include "crowd_parts.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

// Of a node with the least memory, whose account allows fewer connections.
constexpr std::size_t max_descriptors = 1024;

struct crowd_kind
{
    const char* name;
    std::vector<crowd_part> parts;
};

const std::array kinds{
    crowd_kind{"trailers without end", {{&send_trailers, 4}}},
    crowd_kind{"a chunk extension without end", {{&send_chunk_extension, 4}}},
    crowd_kind{"small bodies that lack a byte",
               {{&send_partial_small_bodies, 900}}},
    crowd_kind{"large bodies that lack a byte",
               {{&send_partial_large_bodies, 8}}},
    crowd_kind{"heads without their end", {{&send_partial_heads, 1500}}},
    crowd_kind{"large answers read slowly", {{&request_large_answers, 12}}},
    crowd_kind{"all of these",
               {{&send_trailers, 2},
                {&send_chunk_extension, 2},
                {&stay_idle, 300},
                {&send_partial_heads, 400},
                {&send_partial_small_bodies, 300},
                {&send_partial_large_bodies, 4},
                {&request_large_answers, 6}}}};

} // namespace

TEST_CASE("clients that do not go on leave room for others")
{
    const auto& kind = GENERATE(from_range(kinds));
    CAPTURE(kind.name);
    on_worker(
        [&](worker& on)
        {
            crowded_system system(on);
            const auto clients =
                std::make_shared<crowd>(on, system.hosts()[0].at["caller"]);
            const auto reading = keep_reading(on, clients);
            for (const auto& part : kind.parts)
                part.join(*clients, part.count);
            system.check_serves_upload(system.hosts()[0], max_descriptors);
            system.check_serves();
        });
}

TEST_CASE("a single upload inside the limits is served in calm")
{
    // Guards against uploads that no link has time for, however idle it is.
    constexpr int ample_memory_mb = 256;
    const auto size = GENERATE(16 * mb, 48 * mb);
    CAPTURE(size);
    on_worker(
        [&](worker& on)
        {
            crowded_system system(on, ample_memory_mb);
            for (auto& each : system.hosts())
                CHECK(system
                          .call(each, "upload", "/photos/x",
                                std::string(size, 'x'),
                                crowded_system::route_timeout_ms)
                          .status == 200);
        });
}
