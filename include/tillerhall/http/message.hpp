/** @file Small HTTP messages of APIs, as opposed to proxied calls. */
#pragma once

#include <map>
#include <string>

namespace tillerhall
{

/** A complete request. */
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string body;

    /** @return the query parameter @p name, or @p fallback. */
    std::string param(const std::string& name,
                      const std::string& fallback = {}) const;
};

/** A response to send, or one received. */
struct http_response
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> fields; ///< header fields, if received
    bool drop = false;        ///< close the connection without an answer
    std::size_t wire_in = 0;  ///< bytes read from the socket
    std::size_t wire_out = 0; ///< bytes written to the socket
};

/** @return @p text with reserved characters percent-encoded. */
std::string percent_encode(const std::string& text);

/** Splits a request target into the decoded path and query of @p into. */
void parse_target(const std::string& target, http_request& into);

} // namespace tillerhall
