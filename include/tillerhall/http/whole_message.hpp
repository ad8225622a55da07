/** @file Proxied requests and responses held completely in memory. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/http/fields.hpp"
#include "tillerhall/http/memory_account.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

namespace tillerhall
{

using whole_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using whole_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/** A request that is sent. Its body belongs to another object, which must
 * outlive it, so that a large body is held once however often it is sent. */
using outgoing_request =
    boost::beast::http::request<boost::beast::http::span_body<const char>>;

/** @return a request with the head of @p request and a view of its body. */
inline outgoing_request view_of(const whole_request& request)
{
    outgoing_request made(request.base());
    made.body() = {request.body().data(), request.body().size()};
    return made;
}

/** Sets Content-Length. The answer to a HEAD request, whose body is empty,
 * keeps the one that it has. */
inline void frame_by_length(whole_response& response)
{
    if (!response.body().empty() || !response.has_content_length())
        response.prepare_payload();
}

/** Memory of a body in a `memory_account`. */
using held_memory = std::shared_ptr<memory_account::holding>;

/** A request as it was received. */
struct received_request
{
    whole_request message;
    /** Earliest time at which its head came; see `worker::earliest_arrival`. */
    time_point received{};
    /** Time by which the answer should arrive; set by the code that answers. */
    time_point answer_due = time_point::max();
    /** Of the answer's body, which another one sent; set by the code that
     * answers, and kept until the answer is sent. */
    held_memory answer_memory{};
};

} // namespace tillerhall
