/** @file A caller of services, for tests and benches. */
#pragma once

#include "tillerhall/http/api_client.hpp"

#include <map>
#include <string>

namespace tillerhall::harness
{

/** What one call led to. */
struct call_outcome
{
    bool answered = false; ///< a whole response came
    unsigned status = 0;
    std::string outcome; ///< the mesh's word, empty for a target's answer
    std::string target;  ///< which target answered
    std::string id;      ///< request id the target saw
    std::string body;
    duration took{};

    bool is_good() const { return answered && status == 200; }
};

/** What to call. */
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

/** Calls through one address; for fibers of one worker. */
class caller
{
public:
    caller(boost::asio::io_context& io, const address& through)
        : m_client(io, through)
    {
    }

    call_outcome call(const call_request& made);

private:
    api_client m_client;
};

} // namespace tillerhall::harness
