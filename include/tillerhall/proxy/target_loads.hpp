/** @file The loads that the local target reports in its responses. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/http/exchange_observer.hpp"
#include "tillerhall/http/stream.hpp"
#include "tillerhall/proxy/bounded_state_log.hpp"
#include "tillerhall/routing/foreign_runs.hpp"
#include "tillerhall/routing/missing_calls.hpp"
#include "tillerhall/routing/slowness_tracker.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <optional>
#include <string>

namespace tillerhall
{

class metric;
class worker;
struct blackboard;

/** Gauge of the target's slowness in percent; 100 is the usual. */
inline constexpr const char* slowness_metric =
    "tillerhall_target_slowness_percent";

/** Gauge of the calls at the target that are not the owner's. */
inline constexpr const char* foreign_runs_metric =
    "tillerhall_target_foreign_runs";

/** Calls that the target had left unanswered when the owner gave them up. */
inline constexpr const char* unanswered_metric =
    "tillerhall_unanswered_calls_total";

/** Loads of the target's current start; for fibers of one worker. */
class target_loads
{
public:
    /** Reads the load in the head of a response; nothing if it has none. */
    using reader = std::function<std::optional<result<target_load>>(
        const boost::beast::http::fields&)>;

    /** A call to the target without a complete answer. */
    class sent_call final
        : public exchange_observer,
          public boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
    public:
        /** @param start of the target that gets the call
         * @param stream closed if the target does not have the call
         * @param run expected run time */
        sent_call(target_loads& in,
                  const std::string& start,
                  tcp_stream& stream,
                  time_point begun,
                  duration run);
        ~sent_call();
        sent_call(const sent_call&) = delete;
        sent_call& operator=(const sent_call&) = delete;

        time_point begun() const noexcept { return m_begun; }
        time_point overdue_from() const noexcept { return m_overdue_from; }
        bool is_given_up() const noexcept { return m_is_given_up; }

        /** @return whether no byte of its answer has arrived; also notes an
         * answer that a busy worker has not read. */
        bool is_silent();

        /** @return whether its request was sent until @p until to the current
         * start of the target, and no answer to it is known. */
        bool was_sent(time_point until) const noexcept;

        /** Another start of the target is in use. */
        void start_ended() noexcept { m_is_at_current_start = false; }

        bool is_answering() const noexcept { return m_is_answering; }

        /** Ends the exchange, with an unknown outcome. */
        void give_up();

        void request_sent() override;
        void response_began() override;

    private:
        target_loads& m_in;
        tcp_stream& m_stream;
        time_point m_begun;
        time_point m_overdue_from;
        /** When the whole request was sent; unset before. */
        std::optional<time_point> m_sent;
        bool m_is_at_current_start;
        bool m_is_answering = false;
        bool m_is_given_up = false;
    };

    target_loads(blackboard& board, const worker& on);

    /** Sets the function that reads loads; null if targets report none. */
    void set_reader(reader read) { m_read = std::move(read); }

    /** Sets the current start of the target.
     * @param is_older it may have been there before this process */
    void set_target(const std::string& start, bool is_older, time_point now);

    /**
     * Takes the head of a response of @p start to a call that is no longer
     * among the sent ones; ignores other starts.
     * @param ran the response is that of a run, not a refusal or a health check
     * @param sent when the request of the response was sent
     */
    void take(const std::string& start,
              const boost::beast::http::fields& head,
              bool ran,
              time_point sent,
              time_point received);

    /** Gives up overdue calls that the target certainly lacks; updates
     * gauges and log lines of states that end without a report. */
    void update(time_point now);

    /** @return whether a state holds that may end without a report. */
    bool has_state(time_point now) const;

    /** @return whether a call is overdue and the reports do not show that the
     * target has it. @param recent age of reports that count */
    bool needs_report(duration recent, time_point now) const;

    /** @return whether the last report had fewer calls than were sent. */
    bool suspects_missing() const noexcept { return m_suspects_missing; }

    const slowness_tracker& speed() const noexcept { return m_speed; }
    const foreign_runs& foreign() const noexcept { return m_foreign; }

private:
    void take_round_trip(duration trip, time_point received);
    void take_missing(std::int64_t calls, time_point sent, time_point received);
    void give_up_missing(time_point now);
    void give_up(sent_call& call, time_point now);
    /** Logs the first load of a start that cannot be read. */
    void log_invalid(const error& reason);

    blackboard& m_board;
    const worker& m_worker;
    reader m_read;
    std::string m_start;
    slowness_tracker m_speed;
    foreign_runs m_foreign;
    missing_calls m_missing;
    time_point m_last_report{};        ///< of this start; unset without one
    std::int64_t m_reported_calls = 0; ///< in that report
    bool m_suspects_missing = false;   ///< by that report
    /** The longer one of the last two health checks and refusals. */
    duration m_round_trip{};
    duration m_last_trip{};
    time_point m_round_trip_at{};
    bounded_state_log m_slow_log;
    bounded_state_log m_foreign_log;
    /** The oldest first. */
    boost::intrusive::list<sent_call,
                           boost::intrusive::constant_time_size<false>>
        m_sent_calls;
    metric& m_slowness;
    metric& m_foreign_runs;
    bool m_logged_invalid = false;
};

} // namespace tillerhall
