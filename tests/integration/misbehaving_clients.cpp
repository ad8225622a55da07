/** @file Clients that take memory or connections of a node and do not go on.
 *
 * Guards against nodes that exceed their memory and are killed, and against
 * clients that get no answer beside them. */
#include "client_crowd.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = kb * kb;
// Bodies up to this size do not wait for larger ones.
constexpr std::size_t small_body_bytes = 64 * kb;
constexpr std::size_t large_body_bytes = 6 * mb;
constexpr std::size_t partial_head_bytes = 15'500;
// Of a node with the least memory, whose account allows fewer connections.
constexpr std::size_t max_descriptors = 1024;

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

/** Sends bodies of @p size that lack their last byte. */
void send_partial_bodies(crowd& clients, int count, std::size_t size)
{
    const std::string body(size - 1, 'x');
    for (int i = 0; i < count; ++i)
    {
        auto& stream = clients.open();
        crowd::send(stream, head_of("POST /photos/x",
                                    "Content-Length: " + std::to_string(size) +
                                        "\r\n\r\n"));
        crowd::send(stream, body);
    }
}

void send_partial_small_bodies(crowd& clients, int count)
{
    send_partial_bodies(clients, count, small_body_bytes);
}

void send_partial_large_bodies(crowd& clients, int count)
{
    send_partial_bodies(clients, count, large_body_bytes);
}

void send_partial_heads(crowd& clients, int count)
{
    auto head = head_of("GET /fields/x", "X-Fill: ");
    head.resize(partial_head_bytes, 'v');
    for (int i = 0; i < count; ++i)
        crowd::send(clients.open(), head);
}

void stay_idle(crowd& clients, int count)
{
    for (int i = 0; i < count; ++i)
        clients.open();
}

/** Requests large answers, which are read slowly. */
void request_large_answers(crowd& clients, int count)
{
    for (int i = 0; i < count; ++i)
    {
        auto& stream = clients.open(4 * kb);
        crowd::send(stream, head_of("GET /exports/x", "\r\n"));
        crowd::wait_for_answer(stream);
    }
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
