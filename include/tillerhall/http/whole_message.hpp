/** @file Proxied requests and responses that are held whole in memory. */
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

/** Frames @p response by its length. The answer to a HEAD request keeps the
 * length that it tells, though its body is empty. */
inline void frame_by_length(whole_response& response)
{
    if (!response.body().empty() || !response.has_content_length())
        response.prepare_payload();
}

/** A request as it came in. */
struct received_request
{
    whole_request message;
    /** When its head came, at the earliest; see `worker::unseen_since`. */
    time_point received{};
    /** By which the answer should have arrived; set by who answers. */
    time_point answer_due = time_point::max();
};

} // namespace tillerhall
