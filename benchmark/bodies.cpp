/** @file Memory of nodes while many large bodies pass at once. */
#include "experiment.hpp"

#include "tillerhall/core/await.hpp"
#include "tillerhall/http/stream.hpp"
#include "tillerhall/table/csv.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

namespace tillerhall::bench
{
namespace
{

constexpr const char* service = "schuur";
constexpr std::size_t piece_bytes = 256 * 1024;
constexpr std::chrono::minutes limit(5);

/** Sends a body of @p size bytes. @return the response's head and the start of
 * its body. */
std::string upload(worker& on, const address& through, std::size_t size)
{
    auto stream = connect_stream(on.io(), through, std::chrono::seconds(5));
    if (!stream)
        return {};
    (*stream)->expires_after(limit);
    boost::system::error_code failed;
    const auto head =
        "POST /snapshot HTTP/1.1\r\nHost: " + std::string(service) +
        "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    boost::asio::async_write(**stream, boost::asio::buffer(head),
                             await{failed});
    const std::string piece(piece_bytes, 'x');
    for (std::size_t sent = 0; sent < size && !failed; sent += piece.size())
        boost::asio::async_write(
            **stream,
            boost::asio::buffer(piece.data(),
                                std::min(piece.size(), size - sent)),
            await{failed});
    std::string answer;
    boost::asio::async_read_until(**stream, boost::asio::dynamic_buffer(answer),
                                  "}", await{failed});
    return answer;
}

} // namespace

int run_bodies(worker& on, const cxxopts::ParseResult& options)
{
    const auto count = options["bodies"].as<std::size_t>();
    const auto size = options["megabytes"].as<std::size_t>() * 1'000'000;
    harness::cluster_options built;
    built.placements = {{service, "polder-a"},
                        {service, "polder-b"},
                        {service, "polder-c"},
                        {"perceel", "polder-a"}};
    built.settings["log.level"] = "warn";
    harness::cluster system(on, built);
    if (const auto started = system.start_with_table(); !started)
    {
        print_progress(started.reason().message());
        return 1;
    }
    std::vector<row> rows;
    const auto table = read_csv(system.default_table()).parsed.table;
    for (auto each : table.rows())
    {
        each.timeout_ms = std::chrono::milliseconds(limit).count();
        rows.push_back(each);
    }
    if (!system.accept(0, write_csv(config_table(rows)), 1, "patience") ||
        !system.wait_for_version(2))
        return 1;
    std::size_t complete = 0;
    double peak_rss_mb = 0;
    bool active = true;
    std::vector<worker::task> tasks;
    const auto expected = "\"bytes\":" + std::to_string(size);
    std::size_t finished = 0;
    for (std::size_t i = 0; i < count; ++i)
        tasks.emplace_back(
            [&]
            {
                const auto answer =
                    upload(on, system.nodes().back().caller, size);
                complete += answer.find(" 200 ") != std::string::npos &&
                                    answer.find(expected) != std::string::npos
                                ? 1
                                : 0;
                active = ++finished < count;
            });
    tasks.emplace_back(
        [&]
        {
            while (active)
            {
                for (auto& node : system.nodes())
                    peak_rss_mb =
                        std::max(peak_rss_mb, node.runs.usage().rss_mb);
                sleep_for(on.io(), milliseconds(100));
            }
        });
    const auto begin = steady_clock::now();
    run_parallel(std::move(tasks));
    const std::chrono::duration<double> took = steady_clock::now() - begin;
    report("bodies", {{"bodies", count},
                      {"bytes_each", size},
                      {"whole", complete},
                      {"most_rss_mb", peak_rss_mb},
                      {"seconds", took.count()}});
    return complete == count ? 0 : 1;
}

} // namespace tillerhall::bench
