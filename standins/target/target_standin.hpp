/** @file Behaviour and counters of the stand-in for a target. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/http/inbound_call.hpp"
#include "tillerhall/http/message.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <map>
#include <string>

namespace tillerhall
{

class worker;

/** Behaviour; can be changed at run time through POST /admin/behave. */
struct target_behaviour
{
    std::int64_t slots = 12;
    std::int64_t connections = 130;
    std::int64_t service_ms = 2;    ///< duration of one run
    std::int64_t cold_ms = 0;       ///< time after the start with slower runs
    std::int64_t cold_factor = 5;   ///< slowdown of runs while cold
    std::int64_t shed = 0;          ///< 1: refuses all calls as not run
    std::int64_t drain = 0;         ///< 1: /health answers 503, calls still run
    std::int64_t lie_healthy = 0;   ///< 1: /health always answers 200
    std::int64_t fail = 0;          ///< 1: every run answers 500
    std::int64_t status = -1;       ///< of the answers, also an invalid one
    std::int64_t rate_limit = -1;   ///< calls a second, named if at least 0
    std::int64_t hang = 0;          ///< 1: runs never answer
    std::int64_t health_lag_ms = 0; ///< age of the state in /health and /load
    std::int64_t reset_before_answer = 0; ///< next runs that end in a reset
    std::int64_t reset_mid_answer = 0;    ///< next responses that are truncated
};

/** Counters since the start. */
struct target_counts
{
    std::int64_t runs = 0;
    std::int64_t running = 0;
    std::int64_t max_running = 0;
    std::int64_t open = 0;
    std::int64_t max_open = 0;
    std::int64_t shed = 0;
    std::int64_t cancelled = 0;
    std::int64_t deadline_passed = 0;
    std::int64_t over_slots = 0;
    std::int64_t last_run_us = 0; ///< start of the last run, Unix microseconds
};

/** A target on one worker. */
class target_standin
{
public:
    target_standin(worker& on, std::string name);

    /** Serves one connection. */
    void serve(tcp_stream& stream);

    /** Answers the paths /health, /load and /admin/. */
    http_response answer(const http_request& request);

    /** Applies the settings in @p body. @return false on an unknown name. */
    bool set_behaviour(const boost::json::object& body);

private:
    struct load_sample
    {
        time_point at;
        bool draining;
        std::int64_t running;
    };

    void serve_call(inbound_call& call);
    void run_call(inbound_call& call);
    bool read_rest(inbound_call& call, std::uint64_t& bytes);
    bool simulate_service(inbound_call& call, std::int64_t ms);
    void name_rate_limit(boost::beast::http::fields& head) const;
    void send_answer(inbound_call& call, std::uint64_t bytes);
    void send_refusal(inbound_call& call);
    void send_response(inbound_call& call, const http_response& response);
    load_sample lagged_load();
    void sample();

    worker& m_worker;
    std::string m_name;
    target_behaviour m_behaviour;
    target_counts m_counts;
    std::map<std::string, std::int64_t> m_runs; ///< runs by request id
    std::deque<load_sample> m_samples;
    time_point m_start;
};

} // namespace tillerhall
