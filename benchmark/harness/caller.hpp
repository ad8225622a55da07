/** @file HTTP caller of services, for tests and benchmarks. */
#pragma once

#include "tillerhall/http/api_client.hpp"

#include <map>
#include <string>

namespace tillerhall::harness
{

/** Result of one call. */
struct call_outcome
{
    bool answered = false; ///< a complete response was received
    unsigned status = 0;
    std::string outcome; ///< Tillerhall-Outcome header, empty from a target
    std::string target;  ///< target that answered
    std::string id;      ///< request id received by the target
    std::string body;
    duration took{};

    bool is_good() const { return answered && status == 200; }
};

/** Parameters of one call. */
struct call_request
{
    std::string service;
    std::string id;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::map<std::string, std::string> fields;
    duration timeout = std::chrono::seconds(20);
};

/** Sends calls through one address; used by fibers of one worker. */
class caller
{
public:
    caller(boost::asio::io_context& io, const address& through)
        : m_client(io, through)
    {
    }

    call_outcome call(const call_request& request);

private:
    api_client m_client;
};

} // namespace tillerhall::harness
