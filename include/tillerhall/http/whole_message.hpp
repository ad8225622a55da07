/** @file Proxied requests and responses held completely in memory. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/http/fields.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tillerhall
{

using whole_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using whole_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Sets Content-Length. The answer to a HEAD request, whose body is empty,
 * keeps the one that it has. */
inline void frame_by_length(whole_response& response)
{
    if (!response.body().empty() || !response.has_content_length())
        response.prepare_payload();
}

/** A request as it was received. */
struct received_request
{
    whole_request message;
    /** Earliest time at which its head came; see `worker::earliest_arrival`. */
    time_point received{};
    /** Time by which the answer should arrive; set by the code that answers. */
    time_point answer_due = time_point::max();
};

} // namespace tillerhall
