/** @file Whole small HTTP messages, for APIs rather than for proxied calls. */
#pragma once

#include <map>
#include <string>

namespace tillerhall
{

/** A request whose body has been read whole. */
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string body;

    /** @return the query parameter @p name, or @p otherwise. */
    std::string param(const std::string& name,
                      const std::string& otherwise = {}) const;
};

/** A response to be sent whole, or one received. */
struct http_response
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> fields; ///< of a response received
    bool drop = false;        ///< a server closes instead of answering
    std::size_t wire_in = 0;  ///< bytes read from the socket for it
    std::size_t wire_out = 0; ///< bytes written to the socket for it
};

/** @return @p text with reserved characters percent-encoded. */
std::string percent_encode(const std::string& text);

/** Splits a request target into its decoded path and query of @p into. */
void parse_target(const std::string& target, http_request& into);

} // namespace tillerhall
