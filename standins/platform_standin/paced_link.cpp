#include "platform_standin/paced_link.hpp"

#include "tillerhall/core/await.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <vector>

namespace tillerhall
{
namespace
{

constexpr std::size_t packet_bytes = 8 * 1024;
constexpr std::chrono::hours no_timeout(1);
constexpr std::chrono::seconds connect_timeout(5);

void close(tcp_stream& stream)
{
    boost::system::error_code ignored;
    stream.socket().close(ignored);
}

} // namespace

paced_link::paced_link(worker& on, address to)
    : m_worker(on)
    , m_to(std::move(to))
    , m_listener(std::move(*listener::open(on, {"127.0.0.1", 0})))
{
    m_listener->start([this](tcp_stream& client) { serve(client); });
}

void paced_link::serve(tcp_stream& client)
{
    const auto server = connect_stream(m_worker.io(), m_to, connect_timeout);
    if (!server)
        return;
    run_parallel({[&] { pump(client, **server, link_direction::to_server); },
                  [&] { pump(**server, client, link_direction::to_client); }});
}

void paced_link::pump(tcp_stream& source, tcp_stream& sink, link_direction way)
{
    constexpr milliseconds poll_interval(10);
    const auto& is_held = m_is_held[static_cast<std::size_t>(way)];
    const auto is_silent = [this, opened = m_silenced]
    { return m_silenced != opened; };
    std::vector<char> packet(packet_bytes);
    boost::system::error_code failed;
    while (!failed)
    {
        source.expires_after(no_timeout);
        const auto bytes =
            source.async_read_some(boost::asio::buffer(packet), await{failed});
        if (failed)
            break;
        await_turn(bytes);
        while (is_held)
            sleep_for(m_worker.io(), poll_interval);
        if (is_silent())
            continue;
        sink.expires_after(no_timeout);
        boost::asio::async_write(
            sink, boost::asio::buffer(packet.data(), bytes), await{failed});
    }
    close(source);
    if (!is_silent())
        close(sink);
}

void paced_link::await_turn(std::size_t bytes)
{
    if (m_bytes_per_s <= 0)
        return;
    const std::chrono::duration<double> span(static_cast<double>(bytes) /
                                             m_bytes_per_s);
    m_free_at = std::max(steady_clock::now(), m_free_at) +
                std::chrono::duration_cast<duration>(span);
    sleep_for(m_worker.io(), m_free_at - steady_clock::now());
}

} // namespace tillerhall
