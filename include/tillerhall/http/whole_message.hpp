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

/** A request as it came in. */
struct received_request
{
    whole_request message;
    time_point received{}; ///< when its head was read
};

} // namespace tillerhall
