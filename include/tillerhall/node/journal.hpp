/** @file A bounded log of a node's own decisions. */
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace tillerhall
{

/** A decision with its reason and the values that led to it. */
struct journal_entry
{
    std::int64_t time_us = 0; ///< Unix time
    std::string decision;     ///< such as "applied", "became_reader"
    std::string reason;
    std::string subject; ///< a service, a node or a version
    boost::json::object figures;
};

/** Keeps the latest decisions. Thread-safe; its lock is a leaf in the lock
 * order. */
class journal
{
public:
    static constexpr std::size_t max_kept = 512;

    /** Adds an entry with the current time and logs it. */
    void note(std::string decision,
              std::string subject,
              std::string reason,
              boost::json::object figures = {});

    /** @return entries about @p subject, or all if it is empty; oldest first.
     */
    std::vector<journal_entry> about(const std::string& subject) const;

private:
    mutable std::mutex m_mutex;
    std::deque<journal_entry> m_entries;
};

} // namespace tillerhall
