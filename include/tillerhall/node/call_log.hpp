/** @file Log of this node's recent calls, by request id. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace tillerhall
{

/** One attempt to run a call at a target. */
struct call_attempt
{
    std::string node; ///< control address of the owner
    std::string place;
    std::string outcome;
    std::string detail; ///< reason, unless answered
    double took_ms = 0;
};

/** A finished call with its attempts. */
struct call_record
{
    std::string request_id;
    std::string service;
    std::string end;
    std::int64_t time_us = 0;  ///< wall clock at its end, microseconds
    std::uint64_t version = 0; ///< table version in force
    double took_ms = 0;
    std::vector<call_attempt> attempts;
};

/** Bounded log of the most recent calls. Thread-safe. Lock order: leaf. */
class call_log
{
public:
    static constexpr std::size_t max_records = 2048;

    void note(call_record record);

    /** Returns the calls with @p request_id, oldest first. */
    std::vector<call_record> find(const std::string& request_id) const;

private:
    mutable std::mutex m_mutex;
    std::deque<call_record> m_records;
};

} // namespace tillerhall
