/** @file Fingerprints that all tries of a call share. */
#include "tillerhall/proxy/call_fingerprint.hpp"

#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

whole_request request_of(const std::string& path, const std::string& body = {})
{
    whole_request made(body.empty() ? boost::beast::http::verb::get
                                    : boost::beast::http::verb::post,
                       path, 11);
    made.set("Host", "shop.example");
    made.body() = body;
    return made;
}

std::string fingerprint_text(const whole_request& request)
{
    return fingerprint_of(request).text();
}

} // namespace

TEST_CASE("tries of one call share a fingerprint though hop fields differ")
{
    auto first = request_of("/a?b=1", "x");
    auto second = first;
    first.set("X-Request-Id", "1");
    second.set("X-Request-Id", "2");
    second.set("Tillerhall-Left-Ms", "120");
    second.set("Connection", "close");
    CHECK(fingerprint_text(first) == fingerprint_text(second));
}

TEST_CASE("calls that differ for a target have different fingerprints")
{
    const auto call = request_of("/a?b=1", "x");
    CHECK(fingerprint_text(call) !=
          fingerprint_text(request_of("/a?b=2", "x")));
    CHECK(fingerprint_text(call) !=
          fingerprint_text(request_of("/a?b=1", "y")));
    CHECK(fingerprint_text(call) != fingerprint_text(request_of("/a?b=1")));
    auto elsewhere = call;
    elsewhere.set("Host", "other.example");
    CHECK(fingerprint_text(call) != fingerprint_text(elsewhere));
    auto changed = call;
    changed.method(boost::beast::http::verb::put);
    CHECK(fingerprint_text(call) != fingerprint_text(changed));
}

TEST_CASE("the fingerprint of a call without a body is that of its head")
{
    const auto call = request_of("/a");
    CHECK(fingerprint_text(call) == head_fingerprint(call));
    CHECK(fingerprint_of(request_of("/a", "x")).head ==
          head_fingerprint(request_of("/a", "y")));
}
