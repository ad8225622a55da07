/** @file Responses of unusual shape.
 *
 * Guards against one that ends the process, is taken for that of another
 * request, or is passed on though it is incomplete. */
#include "raw_target.hpp"
#include "system.hpp"

#include "tillerhall/core/await.hpp"
#include "tillerhall/http/exchange.hpp"
#include "tillerhall/http/listener.hpp"

#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

struct response_case
{
    const char* sent; ///< after "HTTP/1.1 "
    exchange_end end;
    const char* body;
    unsigned skipped = 0;
    boost::beast::http::verb method = boost::beast::http::verb::get;
};

constexpr auto answered = exchange_end::answered;
constexpr auto unknown = exchange_end::unknown;
constexpr auto timed_out = exchange_end::timed_out;
constexpr auto head = boost::beast::http::verb::head;
constexpr std::chrono::seconds exchange_time(2);

constexpr std::array cases{
    response_case{"204 OK\r\nId: a\r\n\r\n", answered, ""},
    response_case{"304 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n", answered, ""},
    response_case{"200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n", answered, ""},
    response_case{"200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n", answered, "",
                  0, head},
    response_case{"200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", answered,
                  "ok"},
    response_case{"200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nok", unknown,
                  ""},
    response_case{"200 OK\r\nId: a\r\n\r\nok", answered, "ok"},
    response_case{"200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n0\r\n\r\n",
                  answered, "ok"},
    response_case{"200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n",
                  unknown, ""},
    response_case{"200 OK\r\nId: a\r\nTransfer-Encoding: gzip, chunked\r\n"
                  "\r\n2\r\nok\r\n0\r\n\r\n",
                  unknown, ""},
    response_case{"200 OK\r\nId: a\r\nTransfer-Encoding: gzip, chunked\r\n"
                  "\r\n",
                  answered, "", 0, head},
    response_case{"100 Continue\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
                  answered, "ok"},
    response_case{"103 Early Hints\r\nLink: </a>\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
                  answered, "ok"},
    response_case{"200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nno"
                  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
                  answered, "ok", 1},
    response_case{"200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nno\r\n0\r\n\r\n"
                  "HTTP/1.1 204 OK\r\nId: a\r\n\r\n",
                  answered, "", 1},
    response_case{"200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nno", unknown, "",
                  1},
    response_case{"200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nno\r\n",
                  unknown, "", 1},
    response_case{"200 OK\r\nId: b\r\n\r\nno", unknown, ""}};

/** Sends a request to a server that responds with @p text and, if it
 * @p stays_open, keeps the connection. */
exchange_result exchange_with(worker& on,
                              const std::string& text,
                              boost::beast::http::verb method,
                              bool stays_open)
{
    // Never destroyed: its fibers outlive the test.
    auto& server = *listener::open(on, {"127.0.0.1", 0})->release();
    server.start(
        [&on, text, stays_open](tcp_stream& stream)
        {
            boost::system::error_code failed;
            std::string request;
            boost::asio::async_read_until(stream,
                                          boost::asio::dynamic_buffer(request),
                                          "\r\n\r\n", await{failed});
            boost::asio::async_write(stream, boost::asio::buffer(text),
                                     await{failed});
            if (!stays_open)
                stream.socket().shutdown(
                    boost::asio::socket_base::shutdown_send, failed);
            while (stays_open && !peer_has_closed(stream))
                sleep_for(on.io(), milliseconds(5));
        });
    auto stream =
        connect_stream(on.io(), server.local(), std::chrono::seconds(2));
    REQUIRE(stream);
    whole_request request(method, "/x", 11);
    cancel_scope scope;
    return exchange(**stream, request,
                    {.deadline = steady_clock::now() + std::chrono::seconds(2),
                     .id_field = "Id",
                     .id = "a"},
                    scope);
}

} // namespace

TEST_CASE("only a complete response with the request's id is accepted")
{
    const auto each = GENERATE(from_range(cases));
    CAPTURE(each.sent);
    on_worker(
        [=](worker& on)
        {
            const auto result = exchange_with(
                on, std::string("HTTP/1.1 ") + each.sent, each.method, false);
            CHECK(result.end == each.end);
            CHECK(result.skipped == each.skipped);
            if (each.end == answered)
                CHECK(result.response->body() == each.body);
        });
}

TEST_CASE("a response with a status outside the range of HTTP answers nothing")
{
    // Guards against one that is passed on, or after which another is awaited.
    const auto* const status = GENERATE("000", "099", "101", "600", "999");
    const auto* const id = GENERATE("a", "b");
    const std::size_t body_bytes = GENERATE(0U, 2U);
    CAPTURE(status, id, body_bytes);
    on_worker(
        [=](worker& on)
        {
            const auto text =
                std::string("HTTP/1.1 ") + status + " No\r\nId: " + id +
                "\r\nContent-Length: " + std::to_string(body_bytes) +
                "\r\n\r\n" + std::string(body_bytes, 'x');
            const auto result =
                exchange_with(on, text, boost::beast::http::verb::get, true);
            CHECK(result.end == unknown);
            CHECK_FALSE(result.reusable);
        });
}

namespace
{

/** Sends an upload to a server that responds at once, without a length, and
 * then calls @p finish. */
exchange_result
upload_to(worker& on,
          std::size_t bytes,
          const std::function<void(worker&, tcp_stream&)>& finish)
{
    auto& server = *new raw_target(on, "/upload");
    server.set_next(
        {"HTTP/1.1 200 OK\r\nId: a\r\n\r\nthe first bytes", finish});
    auto stream =
        connect_stream(on.io(), server.where(), std::chrono::seconds(2));
    REQUIRE(stream);
    whole_request request(boost::beast::http::verb::post, "/upload", 11);
    request.body().assign(bytes, 'u');
    request.prepare_payload();
    cancel_scope scope;
    return exchange(**stream, request,
                    {.deadline = steady_clock::now() + exchange_time,
                     .id_field = "Id",
                     .id = "a"},
                    scope);
}

// Sizes that are written before the response is read, that the socket buffers
// hold, and that the server has to read.
constexpr std::size_t small_upload = 6'000;
constexpr std::size_t buffered_upload = 400'000;
constexpr std::size_t large_upload = 32'000'000;

struct upload_case
{
    std::size_t bytes;
    bool half_closes; ///< before the reset, so that the end is read first
};

// A small request has arrived whole before it is half closed: that is a clean
// end.
constexpr std::array reset_uploads{
    upload_case{small_upload, false}, upload_case{buffered_upload, false},
    upload_case{large_upload, false}, upload_case{buffered_upload, true},
    upload_case{large_upload, true}};

} // namespace

TEST_CASE("a response without a length is incomplete if the connection is "
          "reset before the request has arrived")
{
    using namespace connection_end;
    const auto each = GENERATE(from_range(reset_uploads));
    const auto delay = milliseconds(GENERATE(0, 5, 50));
    CAPTURE(each.bytes, each.half_closes, delay.count());
    on_worker(
        [=](worker& on)
        {
            const auto result =
                each.half_closes
                    ? upload_to(on, each.bytes, half_close_and_reset(delay))
                    : upload_to(on, each.bytes, reset_after(delay));
            CHECK(result.end == unknown);
            CHECK_FALSE(result.response);
            CHECK_FALSE(result.reusable);
        });
}

TEST_CASE("a response without a length is complete if the server closes only "
          "its sending direction and reads the request")
{
    const auto bytes = GENERATE(small_upload, buffered_upload, large_upload);
    CAPTURE(bytes);
    on_worker(
        [=](worker& on)
        {
            const auto result =
                upload_to(on, bytes, connection_end::half_close_and_read);
            REQUIRE(result.end == answered);
            CHECK(result.response->body() == "the first bytes");
            CHECK_FALSE(result.reusable);
        });
}

TEST_CASE("a server that stops reading does not hold an exchange past its "
          "deadline")
{
    // Another response may be waited for so long after the deadline.
    constexpr milliseconds late_limit(500);
    on_worker(
        [=](worker& on)
        {
            const auto begin = steady_clock::now();
            const auto result = upload_to(
                on, large_upload,
                connection_end::half_close_and_reset(2 * exchange_time));
            CHECK(result.end == timed_out);
            CHECK_FALSE(result.response);
            CHECK(steady_clock::now() - begin < exchange_time + late_limit);
        });
}
