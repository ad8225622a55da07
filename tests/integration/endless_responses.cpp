/** @file Targets that send bytes without end in the place of a response.
 *
 * Guards against a node that reads them into memory until it is killed, against
 * other calls that fail meanwhile, and against answers that come late. */
#include "open_loop.hpp"

#include <array>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

// The default of the setting node.memory_limit_mb.
constexpr double memory_limit_mb = 256;
constexpr milliseconds route_timeout(1'000);
// An answer may come so long after the route's timeout.
constexpr milliseconds late_limit(500);

struct endless_system : mesh_system
{
    explicit endless_system(worker& on)
        : mesh_system(on, {"perceel", "perceel", "beurs", "beurs"})
    {
        const int timeout_ms = static_cast<int>(route_timeout.count());
        configure(1,
                  {{"fields", "/fields/", "perceel", "safe", timeout_ms},
                   {"once", "/once/", "perceel", "unsafe", timeout_ms},
                   {"sales", "/sales/", "beurs", "unsafe", timeout_ms}},
                  "/health");
        for (auto& each : hosts())
        {
            each.target->set_slots(12);
            each.target->faults().work = milliseconds(20);
        }
        start();
        for (auto& from : hosts())
            for (const auto* path : {"/fields/w", "/sales/w"})
                REQUIRE(wait_until(
                    [&] { return call(from, "warm", path).status == 200; }));
    }

    reporting_target& faulty() { return *hosts()[0].target; }

    /** @return the greatest resident memory that a node has had, in MB. */
    double most_memory_mb()
    {
        double most = 0;
        for (const auto& each : hosts())
            most = std::max(most, harness::most_memory_mb(each.node.pid()));
        return most;
    }

    bool got_endless_bytes(const std::string& id)
    {
        const auto& records = faulty().endless_records();
        return std::ranges::find(records, id, &endless_record::id) !=
               records.end();
    }
};

struct named_kind
{
    endless_response kind;
    const char* name;
};

constexpr std::array kinds{
    named_kind{endless_response::head, "head"},
    named_kind{endless_response::foreign_body, "foreign_body"},
    named_kind{endless_response::chunk_head, "chunk_head"},
    named_kind{endless_response::interim, "interim"},
    // May be a large body for megabytes.
    named_kind{endless_response::body, "body"},
    named_kind{endless_response::chunks, "chunks"}};

/** One of two targets sends endless bytes; checks all calls, and the memory. */
void check_calls_beside(const named_kind& each)
{
    CAPTURE(each.name);
    on_worker(
        [=](worker& on)
        {
            endless_system system(on);
            auto& faults = system.faulty().faults();
            faults.endless = each.kind;
            faults.endless_share = 0.3;
            const auto plan = [](std::string prefix, std::string path)
            {
                return open_loop_plan{std::move(prefix), std::move(path), 60,
                                      std::chrono::seconds(4)};
            };
            open_loop reads(system, plan("r-", "/fields/x"));
            open_loop once(system, plan("o-", "/once/x"));
            open_loop sales(system, plan("s-", "/sales/x"));
            for (const auto& call : reads.finish())
            {
                const bool is_hit = system.got_endless_bytes(call.id);
                CHECK(call.took < route_timeout + late_limit);
                // It is sent again while the budget of retries allows it.
                CHECK((call.answer.status == 200 ||
                       (is_hit && call.answer.status == 502)));
            }
            for (const auto& call : sales.finish())
                CHECK(call.answer.status == 200);
            for (const auto& call : once.finish())
            {
                const bool is_hit = system.got_endless_bytes(call.id);
                CHECK(call.took < route_timeout + late_limit);
                // It may have run, so it is neither refused nor sent again.
                CHECK(call.answer.status == (is_hit ? 502 : 200));
                CHECK(system.runs_of(call.id) == 1);
            }
            CHECK_FALSE(system.faulty().endless_records().empty());
            INFO(system.most_memory_mb() << " MB at most");
            CHECK(system.most_memory_mb() < memory_limit_mb);
        });
}

} // namespace

TEST_CASE("a response without end costs its own call and nothing else")
{
    check_calls_beside(GENERATE(from_range(kinds)));
}

TEST_CASE("large responses that their clients do not read stay within memory")
{
    // Guards against responses in no account while they wait to be sent.
    constexpr std::size_t body_bytes = 48 * 1024 * 1024;
    constexpr int clients = 6;
    on_worker(
        [&](worker& on)
        {
            endless_system system(on);
            system.faulty().faults().body_bytes = body_bytes;
            std::vector<std::unique_ptr<tcp_stream>> streams;
            for (int i = 0; i < clients; ++i)
            {
                auto stream =
                    connect_stream(on.io(), system.hosts()[0].at["caller"],
                                   std::chrono::seconds(2));
                REQUIRE(stream);
                const auto request =
                    "GET /fields/x HTTP/1.1\r\nHost: shop.example\r\n"
                    "X-Request-Attempt-Id: large-" +
                    std::to_string(i) + "\r\n\r\n";
                boost::system::error_code failed;
                boost::asio::async_write(**stream, boost::asio::buffer(request),
                                         await{failed});
                streams.push_back(std::move(*stream));
            }
            sleep_for(on.io(), std::chrono::seconds(3));
            for (auto& each : system.hosts())
                CHECK(system.call(each, "beside", "/sales/x").status == 200);
            INFO(system.most_memory_mb() << " MB at most");
            CHECK(system.most_memory_mb() < memory_limit_mb);
        });
}
