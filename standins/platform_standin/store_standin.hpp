/** @file Stand-in for the store of the users' platform, used by tests. */
#pragma once

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/listener.hpp"
#include "tillerhall/http/message.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tillerhall
{

/** Injected faults; can be changed at run time. */
struct store_faults
{
    bool down = false;            ///< answers every call with 503
    bool silent = false;          ///< answers no call
    unsigned lose_answers = 0;    ///< next writes applied but not answered
    milliseconds answer_delay{0}; ///< of every answer
    /** Write rate over all parts. Excess writes are delayed, and refused with
     * 429 if they would wait for more than a second. 0: unlimited. */
    double writes_per_s = 0;
};

/**
 * Rows in tables and parts, conditional transactions and a change feed whose
 * history can be dropped. Runs on a worker of the test.
 */
class store_standin
{
public:
    explicit store_standin(worker& on);

    const address& where() const { return m_listener->local(); }
    store_faults& faults() noexcept { return m_faults; }

    /** Writes a row directly, as operators or an earlier process do. */
    void put(const std::string& table,
             const std::string& part,
             const std::string& key,
             const std::string& value);

    /** Deletes a row directly, as operators do. */
    void remove(const std::string& table,
                const std::string& part,
                const std::string& key);

    /** Drops the change history: feeds from older revisions get 410. */
    void drop_history() { m_oldest_feed_revision = m_revision; }

    /** @return the values of a table by key, over all parts. */
    std::map<std::string, std::string> values(const std::string& table) const;

    std::uint64_t calls() const noexcept { return m_calls; }

    /** @return the number of calls that read, polled or wrote @p table. */
    std::uint64_t calls_on(const std::string& table) const;

private:
    struct row_key
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const row_key&) const = default;
    };
    struct row
    {
        std::string value; ///< base64
        std::uint64_t revision = 0;
    };
    struct change
    {
        row_key key;
        row now;
        bool removed = false;
    };

    http_response answer(const http_request& request);
    /** Delays a write to the write rate. @return false if it is refused. */
    bool await_write_slot();
    http_response transact(const http_request& request);
    http_response read(const http_request& request);
    http_response read_feed(const http_request& request);
    std::vector<change> changes_since(const std::string& table,
                                      std::uint64_t revision) const;
    static boost::json::object to_json(const row_key& key, const row& shown);
    static row_key key_from(const boost::json::object& from);

    worker& m_worker;
    std::unique_ptr<listener> m_listener;
    store_faults m_faults;
    std::map<row_key, row> m_rows;
    std::vector<change> m_changes;
    std::uint64_t m_revision = 0;
    std::uint64_t m_oldest_feed_revision = 0; ///< older feeds get 410
    std::uint64_t m_calls = 0;
    std::map<std::string, std::uint64_t> m_calls_by_table;
    time_point m_write_backlog_end{}; ///< end of the last delayed write
};

} // namespace tillerhall
