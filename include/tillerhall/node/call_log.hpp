/** @file What this node did with the last calls it took, by request id. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace tillerhall
{

/** One target tried for a call. */
struct call_attempt
{
    std::string node; ///< control address of the owner
    std::string place;
    std::string end;    ///< how it ended
    std::string detail; ///< why, unless answered
    double took_ms = 0;
};

/** The account of one call. */
struct call_record
{
    std::string request_id;
    std::string service;
    std::string end;
    std::int64_t time_us = 0;  ///< wall clock at its end
    std::uint64_t version = 0; ///< table in force
    double took_ms = 0;
    std::vector<call_attempt> attempts;
};

/** The last calls, bounded. Safe for threads. Lock order: a leaf. */
class call_log
{
public:
    static constexpr std::size_t most_kept = 2048;

    void note(call_record record);

    /** @return the accounts of calls with @p request_id, oldest first. */
    std::vector<call_record> find(const std::string& request_id) const;

private:
    mutable std::mutex m_mutex;
    std::deque<call_record> m_records;
};

} // namespace tillerhall
