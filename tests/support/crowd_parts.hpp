/** @file What clients of a crowd send before they stop. */
#pragma once

#include "client_crowd.hpp"

namespace tillerhall::harness
{

inline constexpr std::size_t kb = 1024;
inline constexpr std::size_t mb = kb * kb;
// Bodies up to this size do not wait for larger ones.
inline constexpr std::size_t small_body_bytes = 64 * kb;
inline constexpr std::size_t large_body_bytes = 6 * mb;
inline constexpr std::size_t partial_head_bytes = 15'500;

inline std::string head_of(std::string_view line, std::string_view fields)
{
    static int last_id = 0;
    return std::string(line) +
           " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Attempt-Id: crowd-" +
           std::to_string(++last_id) + "\r\nX-Deadline-Ms: 1000000000\r\n" +
           std::string(fields);
}

inline const std::string chunked_head =
    head_of("POST /photos/x", "Transfer-Encoding: chunked\r\n\r\n");

inline void send_trailers(crowd& clients, int count)
{
    for (int i = 0; i < count; ++i)
        clients.send_without_end(chunked_head + "3\r\nabc\r\n0\r\n",
                                 "X-Trailer: " + std::string(100, 'v') +
                                     "\r\n");
}

inline void send_chunk_extension(crowd& clients, int count)
{
    for (int i = 0; i < count; ++i)
        clients.send_without_end(chunked_head + "3;e=", "v");
}

/** Sends bodies of @p size that lack their last byte. */
inline void send_partial_bodies(crowd& clients, int count, std::size_t size)
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

inline void send_partial_small_bodies(crowd& clients, int count)
{
    send_partial_bodies(clients, count, small_body_bytes);
}

inline void send_partial_large_bodies(crowd& clients, int count)
{
    send_partial_bodies(clients, count, large_body_bytes);
}

inline void send_partial_heads(crowd& clients, int count)
{
    auto head = head_of("GET /fields/x", "X-Fill: ");
    head.resize(partial_head_bytes, 'v');
    for (int i = 0; i < count; ++i)
        crowd::send(clients.open(), head);
}

inline void stay_idle(crowd& clients, int count)
{
    for (int i = 0; i < count; ++i)
        clients.open();
}

/** Requests large answers, which are read slowly. */
inline void request_large_answers(crowd& clients, int count)
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

/** Reads slowly from @p clients until the returned value is destroyed. */
inline std::shared_ptr<void> keep_reading(worker& on,
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

} // namespace tillerhall::harness
