/** @file State and injected faults of the stand-in for the platform. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/http/message.hpp"

#include <boost/json/object.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace tillerhall
{

/** Faults that can be set at run time through POST /admin/faults. */
struct platform_faults
{
    bool down = false;             ///< closes connections without a response
    std::int64_t delay_ms = 0;     ///< delay before each response
    std::int64_t lose_answers = 0; ///< next writes applied but not answered
    std::int64_t fail_every = 0;   ///< each k-th write fails with 503; 0: none
    std::int64_t host_lag_ms = 0;  ///< age of the host list that is returned
};

/** Counts since the last POST /admin/reset. */
struct platform_counts
{
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t bytes_out = 0;
    std::int64_t peak_reads_s = 0; ///< most reads within one second
};

/** In-memory table service, object store and host list. */
class platform_state
{
public:
    /** Suspends the calling fiber. */
    using sleeper = std::function<void(duration)>;

    explicit platform_state(sleeper sleep)
        : m_sleep(std::move(sleep))
    {
    }

    http_response answer(const http_request& request);

private:
    struct stored_item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    struct host_snapshot
    {
        time_point at;
        std::string body;
    };

    http_response answer_service(const http_request& request);
    http_response answer_admin(const http_request& request);
    http_response get_item(const std::string& key);
    http_response list_items(const std::string& prefix, std::size_t limit);
    http_response transact(const boost::json::object& body);
    http_response put_object(const std::string& name, const std::string& body);
    http_response get_object(const std::string& name);
    http_response get_hosts();
    http_response set_faults(const boost::json::object& body);
    http_response show_counts();
    void set_hosts(const std::string& body);
    void count_read();
    bool conditions_hold(const boost::json::object& body) const;
    bool write_fails();

    sleeper m_sleep;
    platform_faults m_faults;
    platform_counts m_counts;
    std::map<std::string, stored_item> m_items;
    std::map<std::string, std::string> m_objects;
    std::deque<host_snapshot> m_hosts;
    std::uint64_t m_revision = 0;
    std::int64_t m_writes_seen = 0;
    std::int64_t m_second = 0;
    std::int64_t m_reads_this_second = 0;
};

} // namespace tillerhall
