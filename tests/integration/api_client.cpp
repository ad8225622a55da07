/** @file Responses that the client of small HTTP APIs reads: those of the
 * platform's store and of tillerd's health checks.
 *
 * Guards against one that is incomplete, no response in the protocol, or meant
 * for another request, and is taken all the same. */
#include "raw_target.hpp"
#include "system.hpp"

#include "tillerhall/http/api_client.hpp"

#include <array>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::chrono::seconds call_timeout(2);
// Fits into the socket buffers, but not into those of the server alone.
constexpr std::size_t buffered_bytes = 400'000;

result<http_response>
send_to(api_client& client, std::size_t bytes, duration max_pause)
{
    api_call call{"POST", "/call", std::string(bytes, 'b')};
    call.max_pause = max_pause;
    return client.send(call, call_timeout);
}

} // namespace

TEST_CASE("an API response without a length is incomplete if the connection is "
          "reset before the request has arrived")
{
    const auto max_pause = milliseconds(GENERATE(0, 500));
    const bool half_closes = GENERATE(false, true);
    CAPTURE(max_pause.count(), half_closes);
    on_worker(
        [=](worker& on)
        {
            using namespace connection_end;
            auto& server = *new raw_target(on, "/call");
            api_client client(on.io(), server.where());
            raw_answer answer{"HTTP/1.1 200 OK\r\n\r\nthe first bytes"};
            if (half_closes)
                answer.finish = half_close_and_reset(milliseconds(50));
            else
                answer.finish = reset_after(milliseconds(50));
            server.set_next(answer);
            const auto got = send_to(client, buffered_bytes, max_pause);
            CHECK_FALSE(got);
        });
}

TEST_CASE("an API response without a length is complete if the server closes "
          "only its sending direction")
{
    const auto max_pause = milliseconds(GENERATE(0, 500));
    on_worker(
        [=](worker& on)
        {
            auto& server = *new raw_target(on, "/call");
            api_client client(on.io(), server.where());
            server.set_next({"HTTP/1.1 200 OK\r\n\r\nwhole",
                             connection_end::half_close_and_read});
            const auto got = send_to(client, buffered_bytes, max_pause);
            REQUIRE(got);
            CHECK(got->body == "whole");
        });
}
