/** @file Serves small HTTP APIs. */
#pragma once

#include "tillerhall/http/message.hpp"
#include "tillerhall/http/stream.hpp"

#include <functional>

namespace tillerhall
{

using api_handler = std::function<http_response(const http_request&)>;

/** Limits of one API connection. */
struct api_limits
{
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 8 * 1024 * 1024;
    duration read_timeout = std::chrono::seconds(30);
};

/** Answers requests on @p stream until it is closed or exceeds a limit. */
void serve_api(tcp_stream& stream,
               const api_handler& handle,
               const api_limits& limits = {});

} // namespace tillerhall
