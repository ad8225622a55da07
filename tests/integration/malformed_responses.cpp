/** @file Responses that are not valid in HTTP, and bodies whose transfer coding
 * a node cannot decode.
 *
 * Guards against one that reaches a client as an answer, on both programs, at
 * the owner and through an entry, and against ordinary calls that fail after
 * it. */
#include "mesh_system.hpp"
#include "raw_target.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr const char* call_path = "/fields/x";
const std::string proof = "X-Request-Attempt-Id: ID\r\nX-Response-Seal: s\r\n";
const std::string length = "Content-Length: 5\r\n";
const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";

/** @return responses whose head has the line @p each besides valid ones. */
std::vector<std::string> with_lines(const std::vector<std::string>& lines)
{
    std::vector<std::string> made;
    for (const auto& each : lines)
        made.push_back("HTTP/1.1 200 OK\r\n" + proof + each + "\r\n" + length +
                       "\r\nhello");
    return made;
}

std::vector<std::string> with_field_names()
{
    using namespace std::string_literals;
    return with_lines(
        {"X-Extra : 1", "X-Extra\t: 1", "X Extra: 1", "Content-Length : 5",
         "Transfer-Encoding : chunked", "X\0Extra: 1"s,
         "X\x01"
         "Extra: 1",
         "X\x0b"
         "Extra: 1",
         "X\x1b"
         "Extra: 1",
         "X\x7f"
         "Extra: 1",
         "X\xe9"
         "Extra: 1",
         ": 1", "X-Extra", " X-Extra: 1", "\tX-Extra: 1",
         "X-Extra: 1\nX-More: 1", "X-Extra: 1\rX-More: 1", "X-Extra: \x01"});
}

std::vector<std::string> with_status_lines()
{
    std::vector<std::string> made;
    for (const auto* each :
         {"HTTP/1.1 000 No", "HTTP/1.1 20 No", "HTTP/1.1 2000 No",
          "HTTP/1.1 +20 No", "HTTP/1.1 20a No", "HTTP/1.1 101 No",
          "HTTP/1.1 600 No", "HTTP/1.1 200 N\x01o", "HTTP/2.0 200 OK",
          "HTTP/0.9 200 OK", "http/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
          "junk\r\nHTTP/1.1 200 OK"})
        made.push_back(each + ("\r\n" + proof) + length + "\r\nhello");
    return made;
}

std::vector<std::string> with_framing()
{
    std::vector<std::string> made;
    const auto add = [&made](const std::string& fields, const std::string& body)
    { made.push_back("HTTP/1.1 200 OK\r\n" + proof + fields + "\r\n" + body); };
    add(length + "Content-Length: 4\r\n", "hello");
    add("Content-Length: +5\r\n", "hello");
    add("Content-Length: -1\r\n", "hello");
    add("Content-Length: \r\n", "hello");
    add(length + "Transfer-Encoding: chunked\r\n", chunks);
    add("Transfer-Encoding: chunked\r\n", "x\r\nhello\r\n0\r\n\r\n");
    add("Transfer-Encoding: chunked\r\n",
        "10000000000000005\r\nhello\r\n0\r\n\r\n");
    add("Transfer-Encoding: chunked\r\n",
        "5\r\nhello\r\n0\r\nX Extra: 1\r\n\r\n");
    return made;
}

std::vector<std::string> with_codings()
{
    std::vector<std::string> made;
    for (const auto* each :
         {"chunked, gzip", "gzip, chunked", "chunked, chunked", "gzip", "x", "",
          "gzip\r\nTransfer-Encoding: chunked"})
        made.push_back("HTTP/1.1 200 OK\r\n" + proof +
                       "Transfer-Encoding: " + each + "\r\n\r\n" + chunks);
    return made;
}

/** The calls of one client through one node. */
using client_call = std::function<got_answer(const std::string& path)>;

/** @return responses with an interim one before the final one. */
std::vector<std::string> with_interim()
{
    std::vector<std::string> made;
    for (const auto* each :
         {"100 Continue", "102 Processing", "103 Early Hints", "199 Other"})
        made.push_back("HTTP/1.1 " + std::string(each) +
                       "\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + proof +
                       length + "\r\nhello");
    return made;
}

using response_check = std::function<void(
    worker&, raw_target&, const std::vector<std::string>&, const client_call&)>;

void check_served(worker& on,
                  raw_target& target,
                  const std::vector<std::string>& responses,
                  const client_call& call)
{
    for (const auto& each : responses)
    {
        CAPTURE(each);
        const auto got = call_until_sent(on, target, {each},
                                         [&] { return call(call_path); });
        CHECK(got.status == 200);
        CHECK(got.body == "hello");
    }
}

void check_refused(worker& on,
                   raw_target& target,
                   const std::vector<std::string>& responses,
                   const client_call& call)
{
    for (const auto& each : responses)
    {
        CAPTURE(each);
        const auto got = call_until_sent(
            on, target, {each, connection_end::half_close_and_read},
            [&] { return call(call_path); });
        // The call may have run: it is neither refused nor sent again.
        CHECK(got.status == 502);
        CHECK_FALSE(got.proved);
        CHECK(got.body.find("hello") == std::string::npos);
    }
}

void check_platform(const std::vector<std::string>& responses,
                    const response_check& check)
{
    on_worker(
        [&](worker& on)
        {
            auto& target = *new raw_target(on, call_path);
            mesh_system system(on, {"beurs", "perceel"});
            system.hosts()[1].target->set_reported_address(target.where());
            system.configure(1, {{"fields", "/fields/", "perceel", "unsafe"}});
            system.start();
            int calls = 0;
            for (auto& entry : system.hosts())
            {
                const auto call = [&](const std::string& path)
                {
                    const auto seen = system.call(
                        entry, "m-" + std::to_string(++calls), path);
                    return got_answer{seen.status, seen.body, seen.proved};
                };
                const auto is_served = [&]
                { return call("/fields/w").body == "hello"; };
                REQUIRE(system.wait_until(is_served));
                check(on, target, responses, call);
                CHECK(system.wait_until(is_served, std::chrono::seconds(5)));
            }
        });
}

void check_tillerd(const std::vector<std::string>& responses,
                   const response_check& check)
{
    on_worker(
        [&](worker& on)
        {
            auto& target = *new raw_target(on, call_path);
            started_cluster system(on, two_nodes_beside(target));
            for (auto& entry : system.nodes())
            {
                caller from(on.io(), entry.caller);
                const auto call = [&](const std::string& path)
                {
                    const auto got = from.call({"perceel", "m", "POST", path});
                    return got_answer{got.status, got.body};
                };
                const auto is_served = [&]
                { return call("/fields/w").body == "hello"; };
                REQUIRE(system.wait_until(is_served));
                check(on, target, responses, call);
                CHECK(system.wait_until(is_served, std::chrono::seconds(5)));
            }
        });
}

void check_both_programs(const std::vector<std::string>& responses,
                         const response_check& check = check_refused)
{
    check_platform(responses, check);
    check_tillerd(responses, check);
}

} // namespace

TEST_CASE("a response with an invalid field name or value is no answer")
{
    check_both_programs(with_field_names());
}

TEST_CASE("a response with an invalid status line is no answer")
{
    check_both_programs(with_status_lines());
}

TEST_CASE("a response with invalid framing is no answer")
{
    check_both_programs(with_framing());
}

TEST_CASE("a body with a transfer coding other than chunked is no answer")
{
    check_both_programs(with_codings());
}

TEST_CASE("a final response is served after interim ones")
{
    check_both_programs(with_interim(), check_served);
}

TEST_CASE("a success without the target's seal is no answer on the platform")
{
    std::vector<std::string> responses;
    for (const auto* status : {"200", "203", "209", "299"})
        responses.push_back("HTTP/1.1 " + std::string(status) +
                            " OK\r\nX-Request-Attempt-Id: ID\r\n" + length +
                            "\r\nhello");
    check_platform(responses, check_refused);
}
