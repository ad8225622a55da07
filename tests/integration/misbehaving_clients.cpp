/** @file Clients that take memory or connections of a node and do not go on.
 *
 * Guards against nodes that exceed their memory and are killed, and against
 * clients that get no answer beside them. */
#include "client_crowd.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

std::string head_of(std::string_view line, std::string_view fields)
{
    static int last_id = 0;
    return std::string(line) +
           " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Attempt-Id: crowd-" +
           std::to_string(++last_id) + "\r\nX-Deadline-Ms: 1000000000\r\n" +
           std::string(fields);
}

const std::string chunked_head =
    head_of("POST /photos/x", "Transfer-Encoding: chunked\r\n\r\n");

void send_trailers(crowd& clients, int count)
{
    for (int i = 0; i < count; ++i)
        clients.send_without_end(chunked_head + "3\r\nabc\r\n0\r\n",
                                 "X-Trailer: " + std::string(100, 'v') +
                                     "\r\n");
}

void send_chunk_extension(crowd& clients, int count)
{
    for (int i = 0; i < count; ++i)
        clients.send_without_end(chunked_head + "3;e=", "v");
}

struct crowd_part
{
    void (*join)(crowd&, int);
    int count; ///< connections
};

struct crowd_kind
{
    const char* name;
    std::vector<crowd_part> parts;
};

const std::array kinds{
    crowd_kind{"trailers without end", {{&send_trailers, 4}}},
    crowd_kind{"a chunk extension without end", {{&send_chunk_extension, 4}}}};

/** Reads slowly from @p clients until the returned value is destroyed. */
std::shared_ptr<void> keep_reading(worker& on,
                                   const std::shared_ptr<crowd>& clients)
{
    auto running = std::make_shared<bool>(true);
    on.spawn(
        [&on, clients, seen = std::weak_ptr<bool>(running)]
        {
            while (!seen.expired())
            {
                clients->read_slowly();
                sleep_for(on.io(), milliseconds(100));
            }
        });
    return running;
}

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
            system.check_serves();
        });
}
