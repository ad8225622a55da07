/** @file Runs calls at the local target. */
#pragma once

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/byte_backlog.hpp"
#include "tillerhall/http/exchange.hpp"
#include "tillerhall/http/link_scheduler.hpp"
#include "tillerhall/http/memory_account.hpp"
#include "tillerhall/http/stream_pool.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/node/call_admission.hpp"
#include "tillerhall/observe/refusal_periods.hpp"
#include "tillerhall/proxy/owner_answer.hpp"
#include "tillerhall/proxy/recent_runs.hpp"
#include "tillerhall/proxy/run_registry.hpp"
#include "tillerhall/proxy/run_statistics.hpp"
#include "tillerhall/proxy/target_loads.hpp"
#include "tillerhall/proxy/target_notices.hpp"
#include "tillerhall/proxy/wire_names.hpp"
#include "tillerhall/routing/answer_sizes.hpp"
#include "tillerhall/routing/capacity_message.hpp"
#include "tillerhall/routing/cold_rate_limiter.hpp"
#include "tillerhall/routing/dependency_limiter.hpp"
#include "tillerhall/routing/failure_shedder.hpp"
#include "tillerhall/routing/poison_calls.hpp"
#include "tillerhall/routing/return_schedule.hpp"
#include "tillerhall/routing/run_estimates.hpp"
#include "tillerhall/routing/slot_usage.hpp"
#include "tillerhall/routing/transfer_slots.hpp"
#include "tillerhall/targets/target_registry.hpp"

#include <array>

namespace tillerhall
{

struct queue_wait_terms;

/** Time from the receipt of a call until its work begins, by its sender. */
inline constexpr const char* wait_metric = "tillerhall_call_wait_ms";

/**
 * Runs calls at the target on this host. No other process reaches the target,
 * so its slots, its planned stop and whether a call ran are decided here
 * without agreement between nodes. For fibers of one worker.
 */
class target_owner
{
public:
    /** Called when the state that other nodes need has changed. */
    using change_callback = std::function<void()>;

    target_owner(const wire_names& names,
                 const std::string& service,
                 const std::string& domain,
                 blackboard& board,
                 const target_registry& targets,
                 worker& on,
                 const std::string& own_ip);

    void set_change_callback(change_callback action)
    {
        m_on_change = std::move(action);
    }

    /** Called with the start of a target that says it is going to stop. */
    using leaving_callback = std::function<void(const std::string& start)>;

    void set_leaving_callback(leaving_callback action)
    {
        m_on_leaving = std::move(action);
    }

    /** Sets the scheduler of large answers, whose backlog is reported. */
    void set_link(const link_scheduler& outgoing, double mbps)
    {
        m_link = &outgoing;
        m_transfer_slots = transfer_slots(mbps);
    }

    /** Sets the memory for bodies of responses. */
    void set_memory(memory_account& account) noexcept { m_memory = &account; }

    /** Sets the function that reads the loads which the target reports. */
    void set_load_reader(target_loads::reader read)
    {
        m_loads.set_reader(std::move(read));
    }

    /** Sets whether begun runs are limited by what they call. */
    void limit_dependent_runs(bool is_limited) noexcept
    {
        m_limits_dependent_runs = is_limited;
    }

    /** Claims a transfer slot for a body of @p bytes. @return the wait before
     * the next claim, see `transfer_slots` */
    duration claim_transfer_slot(std::uint64_t bytes)
    {
        return m_transfer_slots.claim(bytes, steady_clock::now());
    }

    /** Runs one call; @p request is not changed. */
    owner_answer run(const whole_request& request,
                     const owner_call& call,
                     cancel_scope& scope);

    /** Answers a call or a load query of another node. */
    whole_response answer_peer(received_request& request, cancel_scope& scope);

    /** @return the response to another node's call whose body does not fit
     * into memory. */
    whole_response refuse_body(const request_head& head,
                               duration retry_after) const;

    /** @return whether the path of the target's health is known. */
    bool can_check_health() const;

    /** Makes a health check. @return whether @p target says that it is healthy
     * and is not going to stop. */
    bool is_healthy(const target_report& target);

    /** Updates the state of the target after its report has changed. */
    void target_changed();

    /** @return whether the last connection to the target succeeded. */
    bool is_target_up() const noexcept { return m_is_up; }

    /** @return the last crash of the target during calls, if any. */
    const std::optional<target_crash>& last_crash() const noexcept
    {
        return m_last_crash;
    }

    /** @return known poison calls that ran well here. */
    const std::vector<good_run>& good_runs() const noexcept
    {
        return m_good_runs;
    }

    const call_admission& admission() const noexcept { return m_admission; }

    /** @return the load by which entries choose an owner. */
    load_report current_load() const;

    /** @return the same, with the run time of @p work. */
    load_report current_load_for(const work_class& work) const;

    /** @return the slots that calls can use; none while it takes no calls. */
    owner_capacity current_capacity() const;

    /**
     * Notes that a call from this host failed; a run of the target may have
     * made it. @param no_capacity no target had capacity for it
     */
    void call_failed(bool no_capacity);

    /**
     * Records the end of a call that an active run of the target made.
     * @param load of the target that answered, if known
     */
    void nested_call_ended(const std::string& service,
                           nested_end end,
                           std::optional<double> load);

    /** Active runs at the target. */
    run_registry& runs() noexcept { return m_runs; }

    /** @return how runs of the current target ended, by class of work. */
    const run_statistics& run_stats() const noexcept { return m_run_stats; }

    /** Bytes of bodies that other nodes are sending to this one. */
    byte_backlog& incoming() noexcept { return m_incoming; }

private:
    /** Counts a probe for the lifetime of the object. */
    class probe_guard
    {
    public:
        probe_guard(int& counted, int probes)
            : m_counted(counted)
            , m_probes(probes)
        {
            m_counted += m_probes;
        }
        ~probe_guard() { m_counted -= m_probes; }

        probe_guard(const probe_guard&) = delete;
        probe_guard& operator=(const probe_guard&) = delete;

    private:
        int& m_counted;
        int m_probes;
    };

    /** A health check of the target. */
    struct health_check
    {
        std::optional<time_point> sent; ///< unset without a connection
        std::optional<whole_response> response;
    };

    /** Returns the tokens of a run that does not begin. */
    class start_permit
    {
    public:
        start_permit(dependency_limiter& from, const work_class& work)
            : m_from(from)
            , m_work(work)
        {
        }
        ~start_permit()
        {
            if (!m_is_used)
                m_from.not_begun(m_work);
        }
        void use() noexcept { m_is_used = true; }

        start_permit(const start_permit&) = delete;
        start_permit& operator=(const start_permit&) = delete;

    private:
        dependency_limiter& m_from;
        work_class m_work;
        bool m_is_used = false;
    };

    /** @return the refusal if the run would fail because a service that it
     * calls is full. */
    std::optional<owner_answer> hold_back(const owner_call& call);
    /** Logs limits that began or ended and sets their gauges. */
    void note_limits(const std::string& service);
    owner_answer refuse(const owner_call& call, std::string reason) const;
    /** @return whether the release of @p target gets no calls. */
    bool is_release_closed(const target_report& target) const;
    /** @return whether this failure domain is drained. */
    bool is_domain_drained() const;
    /** @return the rate limit of a cold target in calls/s; 0: none. */
    double cold_rate(time_point now) const;
    /** @return the wait until a cold target takes a call; zero if it does. */
    duration cold_wait(time_point now) const;
    owner_answer refuse_cold(const owner_call& call, duration wait) const;
    /** Refuses a call that was not admitted to a slot. */
    owner_answer refuse_admission(const owner_call& call,
                                  admission_decision decision);
    /** Books the return of a call for which no slot is free, unless it is
     * handled already. @param refused is given the time */
    void book_return(const owner_call& call,
                     admission_decision decision,
                     owner_answer& refused);
    slotless_call slotless(const owner_call& call) const;
    /** Counts a refusal for lack of slots, and logs the first. */
    void note_full(time_point now);
    /** Logs the end of such refusals, with the next call or load query. */
    void note_no_longer_full(time_point now);
    /** Removes the booking of a call that returns. */
    void take_return(const owner_call& call);
    /** @return the refusal if nothing may be sent to the target now. */
    std::optional<owner_answer> refusal_to_send(const owner_call& call) const;
    /** @return whether a quarantined call may run here now as a probe. */
    bool may_probe(const owner_call& call,
                   const call_quarantine& quarantine) const;
    /** Refuses a quarantined call. */
    owner_answer refuse_quarantined(const owner_call& call,
                                    const call_quarantine& quarantine) const;
    /** Logs when the queue begins or ends to stand. */
    void note_queue();
    owner_answer client_left(const owner_call& call) const;
    bool takes_calls() const;
    whole_response answer_load_query(const whole_request& query);
    /** @return how long the link is busy with the answers already due. */
    duration link_backlog() const;
    /** @return the expected bytes of a large answer; 0 for small ones. */
    std::uint64_t large_answer(const work_class& work) const;
    /** @return how long the answer would wait for the link if that is too long
     * to run the call; nothing if it is not. */
    std::optional<duration> excess_link_wait(const owner_call& call) const;
    duration expected_run(const owner_call& call) const;
    /** @return what the wait of @p call for a slot depends on. */
    queue_wait_terms wait_terms(const owner_call& call) const;
    /** Records what the end of a run says about the target's slots. */
    void record_usage(const owner_answer& answer, bool nested_call_failed);
    /** Reports only as many slots as @p per_s calls a second can fill. */
    void limit_slots(load_report& report, double per_s) const;
    /** Applies what an entry knows of the target. */
    void apply_constraints(const target_constraints& known);
    /** Records that @p start is going to stop. */
    void target_leaves(const std::string& start);
    /** @return what @p start has said, for the entry. */
    std::optional<target_constraints>
    constraints_of(const std::string& start) const;
    /** Admits only as many calls as the target has slots for. */
    void update_slots();
    /** Starts `follow_loads` if it is needed and does not run. */
    void start_following();
    /** Updates the slots until the loads that were reported are outdated. */
    void follow_loads();
    /** Asks the target for its health, since the response reports its load. */
    void check_target();
    health_check check_health(const target_report& target);
    /** @return the slots that calls may use, of @p slots. */
    std::int64_t usable_slots(std::int64_t slots) const;
    /** @return the load of the slots of @p target, with foreign runs. */
    double slot_load(const target_report& target) const;
    /** Counts responses to other requests, skipped in an exchange. */
    void count_skipped(unsigned responses, const char* during);
    /** Applies what the target says about itself in a response. */
    void take_notice(const target_report& target,
                     const whole_response& response,
                     time_point sent);
    /** @return the time by which the queue orders the call. */
    time_point due(const owner_call& call) const;
    /** @return whether @p call returns at the time that an owner booked. */
    static bool is_booked_return(const owner_call& call);
    /** @return whether the call can't be in time, even if it runs at once. */
    bool is_late(const owner_call& call) const;
    owner_answer send(const whole_request& request,
                      const owner_call& call,
                      const target_report& target,
                      cancel_scope& scope);
    /**
     * Tests after a lost answer whether the target has crashed: a live target
     * takes a new connection, a dead process refuses it.
     */
    bool has_crashed(const target_report& target);
    /** @return whether the response to a health check of @p target names
     * another one. */
    bool names_other_target(const target_report& target,
                            const whole_response& check) const;
    /** Stops the use of @p target until its next report: another target
     * answers at its address. */
    void target_replaced(const target_report& target);
    /** Records a crash for the other nodes, with the calls that were active. */
    void record_crash(const target_report& target);
    target_crash make_crash_record(const target_report& target);
    /** Records a good run. @param was_quarantined the run was a probe */
    void record_good_run(const whole_request& request, bool was_quarantined);
    /** Announces a known poison call that runs well here, which clears it. */
    void announce_good_run(const whole_request& request);
    /** @return whether the target refused a call, which is still in flight,
     * with @p status although it has free slots for all that this owner knows.
     */
    bool has_room_after(const target_report& target, unsigned status) const;
    /** Marks a refusal of the target that says nothing of its slots. */
    void note_refusal(const target_report& target,
                      unsigned status,
                      owner_answer& answer);
    owner_answer classify_result(const owner_call& call,
                                 exchange_result result) const;
    outgoing_request request_to_target(const whole_request& request,
                                       const owner_call& call,
                                       const target_report& target) const;

    const wire_names& m_names;
    const std::string& m_service;
    const std::string& m_domain; ///< failure domain
    blackboard& m_board;
    const target_registry& m_targets;
    worker& m_worker;
    call_admission m_admission;
    mutable cold_rate_limiter m_cold_limiter{steady_clock::now()};
    stream_pool m_pool;
    change_callback m_on_change;
    leaving_callback m_on_leaving;
    byte_backlog m_incoming;
    run_registry m_runs;
    run_statistics m_run_stats;
    target_notices m_notices;
    target_loads m_loads;
    bool m_follows_loads = false;
    bool m_checks_target = false;
    bool m_check_failed = false; ///< the last health check was not answered
    time_point m_next_check{};
    std::uint64_t m_created_ms = wall_clock_ms();
    run_estimates m_run_times; ///< at the usual speed of the target
    slot_usage m_usage;
    answer_sizes m_answer_sizes;
    byte_backlog m_reserved_answers; ///< of the active runs
    const link_scheduler* m_link = nullptr;
    memory_account* m_memory = nullptr;
    transfer_slots m_transfer_slots{0};
    bool m_is_up = true;
    bool m_queue_stands = false; ///< as logged
    time_point m_crashed_at{};   ///< time of the last crash
    std::optional<target_crash> m_last_crash;
    std::vector<good_run> m_good_runs;
    recent_runs m_recent_good_runs;
    int m_active_probes = 0; ///< at most one
    failure_shedder m_shedder;
    dependency_limiter m_limiter;
    bool m_limits_dependent_runs = false; ///< instead of `m_shedder`
    /** Refusals of the target while it has free slots. */
    struct refusals_with_room
    {
        int in_a_row = 0;
        bool is_active = false;
        std::int64_t counted = 0; ///< since it became active
        time_point last{};
    };
    refusals_with_room m_refusals;
    /** Times of the last runs without a known end, a ring. With as many in one
     * mean run a target is taken to be full. */
    std::array<time_point, 16> m_runs_given_up{};
    std::size_t m_next_given_up = 0;
    return_schedule m_returns;
    refusal_periods m_full; ///< refusals for lack of slots
    random_source m_random{entropy_seed()};
    latency_histogram& m_waits;
    metric& m_sends;
};

} // namespace tillerhall
