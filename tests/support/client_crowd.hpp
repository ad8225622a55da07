/** @file Many clients of one node at once, and a system for them. */
#pragma once

#include "mesh_system.hpp"

#include <array>
#include <filesystem>

namespace tillerhall::harness
{

/** The least that the setting node.memory_limit_mb allows. */
inline constexpr int memory_limit_mb = 64;
/** Size of the large answers of a `crowded_system`. */
inline constexpr std::size_t answer_bytes = 8 * 1024 * 1024;

inline std::size_t open_descriptors(int pid)
{
    const std::filesystem::directory_iterator all("/proc/" +
                                                  std::to_string(pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

/** Connections that stay open, with what they have sent. */
class crowd
{
public:
    crowd(worker& on, const address& to)
        : m_worker(on)
        , m_to(to)
    {
    }

    /** Opens a connection. @param receive_bytes its receive buffer, 0 for the
     * default */
    tcp_stream& open(int receive_bytes = 0)
    {
        auto stream = std::make_unique<tcp_stream>(m_worker.io());
        const boost::asio::ip::tcp::endpoint to(
            boost::asio::ip::make_address(m_to.ip), m_to.port);
        stream->socket().open(to.protocol());
        if (receive_bytes != 0)
            stream->socket().set_option(
                boost::asio::socket_base::receive_buffer_size(receive_bytes));
        boost::system::error_code ignored;
        stream->expires_after(std::chrono::seconds(5));
        stream->async_connect(to, await{ignored});
        return *m_streams.emplace_back(std::move(stream));
    }

    /** Sends @p bytes unless the peer closes or stops reading.
     * @return whether all were sent */
    static bool send(tcp_stream& stream, std::string_view bytes)
    {
        boost::system::error_code failed;
        stream.expires_after(std::chrono::seconds(1));
        boost::asio::async_write(
            stream, boost::asio::buffer(bytes.data(), bytes.size()),
            await{failed});
        return !failed;
    }

    /** Sends @p begin and then @p repeated until the peer closes or stops
     * reading, up to the memory limit of a node. */
    void send_without_end(const std::string& begin, std::string_view repeated)
    {
        std::string piece;
        while (piece.size() < 64 * 1024)
            piece += repeated;
        auto& stream = open();
        bool sent = send(stream, begin);
        for (std::size_t bytes = 0;
             sent && bytes < memory_limit_mb * 1024 * 1024;
             bytes += piece.size())
            sent = send(stream, piece);
    }

    /** Waits until the peer has sent something on @p stream, or has closed it.
     */
    static void wait_for_answer(tcp_stream& stream)
    {
        boost::system::error_code ignored;
        stream.socket().async_wait(boost::asio::socket_base::wait_read,
                                   await{ignored});
    }

    /** Reads a little of what has come on each connection. */
    void read_slowly()
    {
        std::array<char, 256> piece{};
        for (auto& each : m_streams)
        {
            boost::system::error_code ignored;
            each->socket().non_blocking(true, ignored);
            each->socket().receive(boost::asio::buffer(piece), 0, ignored);
        }
    }

private:
    worker& m_worker;
    address m_to;
    std::vector<std::unique_ptr<tcp_stream>> m_streams;
};

/** Nodes with the given memory, and large answers of one service. */
struct crowded_system : mesh_system
{
    static constexpr int route_timeout_ms = 30'000;
    static constexpr std::size_t ordinary_body_bytes = 60'000;
    static constexpr std::size_t upload_bytes = 6 * 1024 * 1024;
    static constexpr const char* client_limits_json =
        R"({"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
        R"("headerTimeout":30000,"idleTimeout":60000})";

    explicit crowded_system(worker& on,
                            int memory_mb = memory_limit_mb,
                            std::size_t hosts_of_each = 1)
        : mesh_system(on, services(hosts_of_each))
    {
        set_node_settings("  link_mbps: 1000\n  memory_limit_mb: " +
                          std::to_string(memory_mb) + "\n");
        configure(1);
        for (auto& each : hosts())
            if (each.service == "beurs")
                each.target->faults().body_bytes = answer_bytes;
        start();
        wait_until_served();
    }

    /** Waits until each node answers a request for each service. */
    void wait_until_served()
    {
        for (auto& from : hosts())
            for (const auto* path : {"/fields/w", "/photos/w", "/exports/w"})
                REQUIRE(wait_until(
                    [&] { return call(from, "w", path).status == 200; }));
    }

    /** Stores a configuration whose routes are alike in all versions. */
    void configure(int version)
    {
        const std::vector<mesh_route> routes{
            {"photos", "/photos/", "schuur", "upload", route_timeout_ms},
            {"fields", "/fields/", "perceel", "safe", route_timeout_ms},
            {"sales", "/sales/", "perceel", "unsafe", route_timeout_ms},
            {"exports", "/exports/", "beurs", "safe", route_timeout_ms}};
        auto config =
            boost::json::parse(mesh_config(version, routes, "/health"))
                .as_object();
        config["limits"] = boost::json::parse(client_limits_json);
        store().put("op", "", "config", boost::json::serialize(config));
    }

    /** Checks that the node of @p host has fewer than @p limit descriptors, and
     * that a large upload is answered there. */
    void check_serves_upload(mesh_host& host, std::size_t limit)
    {
        CHECK(open_descriptors(host.node.pid()) < limit);
        CHECK(call(host, "large-post", "/photos/x",
                   std::string(upload_bytes, 'x'), route_timeout_ms)
                  .status == 200);
    }

    /** Checks that no node has exceeded its memory, and that ordinary requests
     * are answered at each. */
    void check_serves()
    {
        for (auto& each : hosts())
        {
            REQUIRE(each.node.is_running());
            INFO("at a node of " << each.service);
            CHECK(call(each, "small-get", "/fields/x").status == 200);
            CHECK(call(each, "small-post", "/photos/x",
                       std::string(ordinary_body_bytes, 'x'))
                      .status == 200);
            CHECK(call(each, "large-get", "/exports/x").body.size() >=
                  answer_bytes);
            INFO(most_memory_mb(each.node.pid()) << " MB at most");
            CHECK(most_memory_mb(each.node.pid()) < memory_limit_mb);
        }
    }

private:
    static std::vector<std::string> services(std::size_t hosts_of_each)
    {
        std::vector<std::string> all;
        for (std::size_t i = 0; i < hosts_of_each; ++i)
            for (const auto* each : {"schuur", "schuur", "perceel", "beurs"})
                all.emplace_back(each);
        return all;
    }
};

} // namespace tillerhall::harness
