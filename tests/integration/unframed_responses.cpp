/** @file Responses without a length that arrive while the request is sent.
 *
 * Guards against one that is reset and passed on as if it were complete, on
 * both programs, at the owner and through an entry. */
#include "mesh_system.hpp"
#include "raw_target.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::size_t mb = 1024 * 1024;
// More than the socket buffers hold, so that writing it waits for the target.
constexpr std::size_t upload_bytes = 32 * mb;
// Fits into the socket buffers, but not into that of the target alone.
constexpr std::size_t buffered_bytes = 400'000;
constexpr const char* call_path = "/fields/x";
constexpr const char* body = "the first bytes of a longer body";

/** How a target ends its response, and whether that is its lawful end. */
struct response_end
{
    const char* name;
    std::function<void(worker&, tcp_stream&)> finish;
    bool is_complete = false;
    const char* head = "HTTP/1.1 200 OK\r\n";
    std::size_t upload = upload_bytes;
};

std::vector<response_end> response_ends()
{
    using namespace connection_end;
    return {
        {"reset at once", reset_after(milliseconds(0))},
        {"reset after 5 ms", reset_after(milliseconds(5))},
        {"reset after 50 ms", reset_after(milliseconds(50))},
        {"HTTP/1.0", reset_after(milliseconds(50)), false,
         "HTTP/1.0 200 OK\r\n"},
        {"a failure", reset_after(milliseconds(50)), false,
         "HTTP/1.1 500 No\r\n"},
        {"closed with unread bytes", close_at_once},
        {"closed for sending, then reset",
         half_close_and_reset(milliseconds(50))},
        {"closed for sending, then reset, after a smaller upload",
         half_close_and_reset(milliseconds(50)), false, "HTTP/1.1 200 OK\r\n",
         buffered_bytes},
        {"closed for sending and read to the end", half_close_and_read, true}};
}

void check_upload(worker& on,
                  raw_target& target,
                  const response_end& end,
                  const std::function<got_answer(std::size_t)>& upload)
{
    CAPTURE(end.name);
    const std::string fields =
        "X-Request-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\n";
    const auto got =
        call_until_sent(on, target, {end.head + fields + body, end.finish},
                        [&] { return upload(end.upload); });
    CAPTURE(got.status, got.body);
    if (end.is_complete)
    {
        CHECK(got.status == 200);
        CHECK(got.body == body);
        return;
    }
    // The call may have run: it is neither refused nor sent again.
    CHECK((got.status == 502 || got.status == 0));
    CHECK_FALSE(got.proved);
}

/** @return the configuration with room for the uploads. */
std::string config()
{
    auto text =
        mesh_config(1, {{"fields", "/fields/", "perceel", "unsafe", 8'000}});
    const std::string limit = "\"maxBodyBytes\":1000000";
    text.replace(text.find(limit), limit.size(),
                 "\"maxBodyBytes\":" + std::to_string(2 * upload_bytes));
    return text;
}

} // namespace

TEST_CASE("a response without a length that is reset under an upload is not "
          "complete on the platform")
{
    on_worker(
        [](worker& on)
        {
            auto& target = *new raw_target(on, call_path);
            mesh_system system(on, {"beurs", "perceel"});
            system.hosts()[1].target->set_reported_address(target.where());
            system.store().put("op", "", "config", config());
            system.start();
            int calls = 0;
            for (auto& entry : system.hosts())
            {
                const auto id = [&] { return "u-" + std::to_string(++calls); };
                REQUIRE(system.wait_until(
                    [&] {
                        return system.call(entry, id(), "/fields/w").status ==
                               200;
                    }));
                for (const auto& each : response_ends())
                    check_upload(on, target, each,
                                 [&](std::size_t size)
                                 {
                                     const auto seen = system.call(
                                         entry, id(), call_path,
                                         std::string(size, 'u'), 8'000);
                                     return got_answer{seen.status, seen.body,
                                                       seen.proved};
                                 });
            }
        });
}

TEST_CASE("a response without a length that is reset under an upload is not "
          "complete at tillerd")
{
    on_worker(
        [](worker& on)
        {
            auto& target = *new raw_target(on, call_path);
            started_cluster system(on, two_nodes_beside(target));
            for (auto& entry : system.nodes())
            {
                caller from(on.io(), entry.caller);
                const auto upload = [&](std::size_t size)
                {
                    const auto got =
                        from.call({"perceel", "u", "POST", call_path,
                                   std::string(size, 'u')});
                    return got_answer{got.status, got.body};
                };
                REQUIRE(system.wait_until(
                    [&] {
                        return from.call({"perceel", "w", "GET", "/fields/w"})
                            .is_good();
                    }));
                for (const auto& each : response_ends())
                    check_upload(on, target, each, upload);
            }
        });
}
