/** @file Responses that the client of small HTTP APIs reads: those of the
 * platform's store and of tillerd's health checks.
 *
 * Guards against one that is incomplete, no response in the protocol, or meant
 * for another request, and is taken all the same. */
#include "raw_target.hpp"
#include "system.hpp"

#include "tillerhall/http/api_client.hpp"

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

TEST_CASE("an API call times out if the server ends its response without a "
          "length and does not read the request")
{
    on_worker(
        [](worker& on)
        {
            auto& server = *new raw_target(on, "/call");
            api_client client(on.io(), server.where());
            server.set_next(
                {"HTTP/1.1 200 OK\r\n\r\nthe first bytes",
                 connection_end::half_close_and_reset(2 * call_timeout)});
            const auto begin = steady_clock::now();
            const auto got = send_to(client, buffered_bytes, duration::zero());
            REQUIRE_FALSE(got);
            CHECK(got.reason().code() == error_code::timed_out);
            CHECK(steady_clock::now() - begin >= call_timeout);
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

TEST_CASE("an API client takes valid final responses only")
{
    const auto max_pause = milliseconds(GENERATE(0, 500));
    const std::string fields = "\r\nContent-Length: 2\r\n\r\nok";
    const std::string chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    const auto* const start = GENERATE(
        "HTTP/1.1 000 No", "HTTP/1.1 099 No", "HTTP/1.1 101 No",
        "HTTP/1.1 600 No", "HTTP/1.1 200 OK\r\nX Extra: 1",
        "HTTP/1.1 200 OK\r\nX-Extra : 1", "HTTP/1.1 200 OK\r\nX\x01: 1",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip");
    const bool has_chunks =
        std::string_view(start).find("chunked") != std::string_view::npos;
    CAPTURE(start, max_pause.count());
    on_worker(
        [=](worker& on)
        {
            auto& server = *new raw_target(on, "/call");
            api_client client(on.io(), server.where());
            server.set_next({start + (has_chunks ? chunks : fields),
                             connection_end::half_close_and_read});
            CHECK_FALSE(send_to(client, 1, max_pause));
            const auto next = send_to(client, 1, max_pause);
            REQUIRE(next);
            CHECK(next->body == "hello");
        });
}

TEST_CASE("an API client skips interim responses")
{
    // Guards against one that is taken, with the final one left for the next
    // call.
    const auto max_pause = milliseconds(GENERATE(0, 500));
    const auto count = GENERATE(1U, 2U);
    on_worker(
        [=](worker& on)
        {
            auto& server = *new raw_target(on, "/call");
            api_client client(on.io(), server.where());
            std::string interim;
            for (unsigned i = 0; i < count; ++i)
                interim += "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
            server.set_next({interim + "HTTP/1.1 404 No\r\n"
                                       "Content-Length: 5\r\n\r\nfinal"});
            const auto got = send_to(client, 1, max_pause);
            REQUIRE(got);
            CHECK(got->status == 404);
            CHECK(got->body == "final");
            const auto next = send_to(client, 1, max_pause);
            REQUIRE(next);
            CHECK(next->body == "hello");
        });
}

TEST_CASE(
    "an API client gives up on a server that sends interim responses only")
{
    const auto max_pause = milliseconds(GENERATE(0, 500));
    on_worker(
        [=](worker& on)
        {
            auto& server = *new raw_target(on, "/call");
            api_client client(on.io(), server.where());
            std::string interim;
            for (unsigned i = 0; i < 100; ++i)
                interim += "HTTP/1.1 100 Continue\r\n\r\n";
            server.set_next({interim, connection_end::half_close_and_read});
            CHECK_FALSE(send_to(client, 1, max_pause));
        });
}
