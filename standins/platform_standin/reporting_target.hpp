/** @file Stand-in for a target on the users' platform, used by tests. */
#pragma once

#include "platform_standin/port_reservation.hpp"
#include "tillerhall/core/random.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/api_client.hpp"
#include "tillerhall/http/inbound_call.hpp"
#include "tillerhall/http/listener.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tillerhall
{

/** Bytes without end that a target sends in the place of a response. */
enum class endless_response
{
    none,
    head,         ///< fields of a head
    body,         ///< a body without a length
    foreign_body, ///< as `body`, without the id of the request
    chunks,       ///< a body in chunks
    chunk_head,   ///< extensions of one chunk
    interim       ///< responses with the status 100
};

/** Injected behaviour. A count applies to so many of the next requests. */
struct target_faults
{
    milliseconds work{2};           ///< duration of one run
    unsigned duplicate_answers = 0; ///< sends the response twice
    unsigned late_copies = 0;   ///< sends it again before the connection's next
    unsigned reset_answers = 0; ///< runs, then resets the connection
    unsigned truncated_answers = 0;   ///< closes in the middle of the body
    unsigned unsealed_answers = 0;    ///< omits the X-Response-Seal header
    unsigned shed = 0;                ///< answers 503 with X-Not-Executed
    unsigned fail = 0;                ///< runs, then answers 500
    unsigned early_answers = 0;       ///< answers before reading the body
    std::string crash_path;           ///< path whose run crashes the target
    double failing = 0;               ///< share of runs that answer 500
    std::string failing_prefix;       ///< only paths with this prefix fail
    unsigned failing_concurrency = 0; ///< at least so many concurrent runs
    time_point failing_from{};        ///< no run fails before this time
    std::string rate_limit;           ///< Server-Limit in answers, if not empty
    bool leaving = false;             ///< Server-Leaving in answers
    bool reports_load = false;        ///< X-Backend-Load in answers
    unsigned load_percent = 100;      ///< its last figure
    bool load_includes_run = false;   ///< it counts the run that it answers
    std::size_t body_bytes = 0;       ///< least size of the body of an answer
    unsigned unanswered = 0;          ///< takes the call and does nothing
    endless_response endless = endless_response::none; ///< kind of the next
    double endless_share = 0; ///< share of runs that get endless bytes
    double shed_share = 0;    ///< share of calls answered as by `shed`
    bool sheds_early = false; ///< answers so before it reads the body
    double copy_share = 0;    ///< share of answers repeated as `late_copies`
    /** Called in each run with its request id; it fails if this is false. */
    std::function<bool(const std::string&)> on_run;
};

/** One recorded run. */
struct target_run
{
    std::string id;
    std::string caller;
    std::string path;
    std::string body;
    std::string time_left;
    time_point begun{};
    std::string account; ///< client account, from X-Tenant
    std::string key;     ///< Authorization header, if forwarded
    time_point ended{};  ///< of its work; unset while it runs
};

/** One request that arrived, whether it ran or not. */
struct target_arrival
{
    std::string id;
    std::string target_id; ///< the start at which it arrived
    time_point at{};
    std::uint64_t started_ms = 0; ///< start time of that, 0 if not set
};

/** One endless response. */
struct endless_record
{
    std::string id;
    std::size_t bytes = 0; ///< sent until the caller closed the connection
    duration took{};
};

/** A target that reports to a node and seals its responses. */
class reporting_target
{
public:
    reporting_target(worker& on, std::string id, std::string service);

    const address& where() const noexcept { return m_where; }
    /** Sets another address for its reports, of a link before it. */
    void set_reported_address(const address& link) { m_reported_at = link; }
    const address& reported_address() const noexcept { return m_reported_at; }
    const std::string& id() const noexcept { return m_id; }
    /** Sets the service in its reports. */
    void set_service(std::string service) { m_service = std::move(service); }
    /** Sets the software version in its reports. */
    void set_release(std::string release) { m_release = std::move(release); }
    /** Sets the slots in its reports. */
    void set_slots(std::int64_t slots) { m_slots = slots; }
    /** Sets the remaining cold time in its reports. */
    void set_cold_for(milliseconds span) { m_cold_for = span; }
    /** Sets the start time in its reports, Unix milliseconds; 0 omits it. */
    void set_start_time_ms(std::uint64_t at) { m_start_time_ms = at; }
    std::uint64_t start_time_ms() const noexcept { return m_start_time_ms; }
    target_faults& faults() noexcept { return m_faults; }
    const std::vector<target_run>& runs() const noexcept { return m_runs; }
    /** Requests that named this target as the expected one. */
    const std::vector<target_arrival>& arrivals() const noexcept
    {
        return m_arrivals;
    }

    /** Number of requests that named another target. */
    unsigned misdirected() const noexcept { return m_misdirected; }

    /** Endless responses that have ended. */
    const std::vector<endless_record>& endless_records() const noexcept
    {
        return m_endless_records;
    }

    /** Restarts with a new instance id at the same address. */
    void restart(std::string id);

    /** Simulates a crash: resets all connections and closes the listener. */
    void crash();

    /** Number of crashes, and whether it is down since the last one. */
    unsigned crash_count() const noexcept { return m_crash_count; }
    bool has_crashed() const noexcept { return m_has_crashed; }

    /** Reports "ready" or "draining"; health checks are answered 503 from a
     * "draining" on, and after `leave`. @return HTTP status, 0 if unanswered.
     */
    unsigned report(const address& to, const std::string& state);

    /** As above, with a given sequence number. */
    unsigned
    report(const address& to, const std::string& state, std::uint64_t sequence);

    /** Sends the report of another start than the present one, which is late.
     * @return HTTP status, 0 if unanswered. */
    unsigned report_late(const address& to,
                         const std::string& id,
                         std::uint64_t started_ms,
                         std::uint64_t sequence);

    /** Deregisters from the node. @return HTTP status, 0 if unanswered. */
    unsigned leave(const address& to);

private:
    unsigned send_report(const address& to,
                         const std::string& id,
                         std::uint64_t started_ms,
                         const std::string& state,
                         std::uint64_t sequence);
    void serve(tcp_stream& stream);
    void serve_calls(tcp_stream& stream);
    bool serve_one(inbound_call& call);
    /** Sends the late copy that is due on @p stream, if any. */
    bool send_late_copy(tcp_stream& stream);
    /** @return false once the peer has closed @p stream. */
    bool wait_for_close(tcp_stream& stream) const;
    bool send(inbound_call& call, unsigned status, bool not_run);
    static bool consume(unsigned& remaining);
    /** As `consume`, or drawn with the chance @p share. */
    bool draw(unsigned& remaining, double share);
    /** Sends bytes until the caller closes the connection. @return false */
    bool send_endless(inbound_call& call);
    /** @return true if the next run of @p path must fail. */
    bool must_fail(std::string_view path);

    worker& m_worker;
    std::unique_ptr<listener> m_listener;
    address m_where;
    port_reservation m_reservation;
    address m_reported_at;
    std::string m_id;
    std::string m_service;
    std::string m_release = "v1";
    std::int64_t m_slots = 4;
    milliseconds m_cold_for{0};
    std::uint64_t m_start_time_ms = 0;
    unsigned m_running = 0;
    double m_failure_carry = 0; ///< fraction of a failure, for the next run
    double m_endless_carry = 0; ///< the same of an endless response
    target_faults m_faults;
    random_source m_random;
    std::vector<target_run> m_runs;
    std::vector<target_arrival> m_arrivals;
    std::vector<endless_record> m_endless_records;
    std::uint64_t m_sequence = 0;
    std::set<tcp_stream*> m_streams;                  ///< open connections
    std::map<tcp_stream*, std::string> m_late_copies; ///< not yet sent
    std::vector<std::unique_ptr<listener>> m_closed_listeners;
    unsigned m_misdirected = 0;
    unsigned m_crash_count = 0;
    bool m_has_crashed = false;
    bool m_is_leaving = false; ///< it has said so in a report
};

} // namespace tillerhall
