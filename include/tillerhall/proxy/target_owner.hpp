/** @file The only way to the target beside this node. */
#pragma once

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/byte_backlog.hpp"
#include "tillerhall/http/exchange.hpp"
#include "tillerhall/http/link_turns.hpp"
#include "tillerhall/http/stream_pool.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/node/call_admission.hpp"
#include "tillerhall/proxy/owner_answer.hpp"
#include "tillerhall/proxy/recent_runs.hpp"
#include "tillerhall/proxy/run_registry.hpp"
#include "tillerhall/proxy/run_statistics.hpp"
#include "tillerhall/proxy/wire_names.hpp"
#include "tillerhall/routing/answer_sizes.hpp"
#include "tillerhall/routing/body_grants.hpp"
#include "tillerhall/routing/cold_gate.hpp"
#include "tillerhall/routing/failure_shedder.hpp"
#include "tillerhall/routing/run_estimates.hpp"
#include "tillerhall/routing/suspect_calls.hpp"
#include "tillerhall/targets/target_register.hpp"

namespace tillerhall
{

/** From a call's coming to the beginning of its work, by who sent it. */
inline constexpr const char* wait_metric = "tillerhall_call_wait_ms";

/**
 * Runs calls at the target beside this node. Since no other process reaches
 * that target, its slots, its leaving and the word on whether a call ran are
 * decided here without agreement with anyone. For fibers of one worker.
 */
class target_owner
{
public:
    /** Called when there is something that other nodes should know. */
    using change_callback = std::function<void()>;

    target_owner(const wire_names& names,
                 const std::string& service,
                 const std::string& domain,
                 blackboard& board,
                 const target_register& targets,
                 worker& on,
                 const std::string& own_ip);

    void set_news(change_callback action) { m_on_change = std::move(action); }

    /** Large answers go out by these turns, so their backlog is known. */
    void set_link(const link_turns& outgoing, double mbps)
    {
        m_link = &outgoing;
        m_transfer_slots = body_grants(mbps);
    }

    /** An entry wants to send @p bytes here. @return see `body_grants`. */
    duration claim_transfer_slot(std::uint64_t bytes)
    {
        return m_transfer_slots.claim(bytes, steady_clock::now());
    }

    /** Runs one call; the request's body is kept. */
    owner_answer run(const whole_request& request,
                     const owner_call& call,
                     cancel_scope& scope);

    /** Answers a call that another node sent. */
    whole_response answer_peer(received_request& request, cancel_scope& scope);

    /** Takes over facts of the target after a report changed them. */
    void target_changed();

    /** @return whether the target took connections when last tried. */
    bool is_target_up() const noexcept { return m_is_up; }

    /** @return the target's last end while calls ran there, if any. */
    const std::optional<target_end>& last_end() const noexcept
    {
        return m_last_crash;
    }

    /** @return what ran well here though targets had ended under it. */
    const std::vector<good_run>& good_runs() const noexcept
    {
        return m_good_runs;
    }

    const call_admission& places() const noexcept { return m_admission; }

    /** @return what entries choose by: load, places, what is on its way. */
    owner_word current_load() const;

    /** @return the same, and how long runs of @p work take. */
    owner_word current_load_for(const work_class& work) const;

    /**
     * A call that began at this host got no answer; the target may have made
     * it. @param for_want_of_room no target had room for it
     */
    void call_failed(bool no_capacity);

    /** Runs under way at the target. */
    run_registry& runs() noexcept { return m_runs; }

    /** @return how runs of the present target ended, by class of work. */
    const run_statistics& evidence() const noexcept { return m_run_stats; }

    /** Bodies that other nodes are sending to this one. */
    byte_backlog& incoming() noexcept { return m_incoming; }

private:
    /** Counts a trial for as long as it lives. */
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

    owner_answer refuse(const owner_call& call, std::string reason) const;
    /** @return whether @p target 's release gets no calls. */
    bool is_release_closed(const target_report& target) const;
    /** @return whether nothing may be sent to the targets of this failure
     * domain. */
    bool is_domain_drained() const;
    /** @return the calls a second that a cold target bears; 0: no bound. */
    double cold_rate(time_point now) const;
    /** @return how long a call has to wait for a cold target; zero if not. */
    duration cold_wait(time_point now) const;
    owner_answer refuse_cold(const owner_call& call, duration wait) const;
    /** @return why nothing may be sent to the target now; nothing if it may. */
    std::optional<owner_answer> refusal_to_send(const owner_call& call) const;
    /** @return whether a held call may run here now, as a trial. */
    bool may_probe(const owner_call& call, const call_hold& quarantine) const;
    /** Refuses a call that ends its targets. */
    owner_answer refuse_quarantined(const owner_call& call,
                                    const call_hold& quarantine) const;
    owner_answer client_left(const owner_call& call) const;
    bool takes_calls() const;
    whole_response answer_load_query(const whole_request& query);
    /** @return how long the link takes for the answers before a new one. */
    duration link_backlog() const;
    /** @return the bytes to expect of the answer; 0 for small ones. */
    std::uint64_t large_answer(const work_class& work) const;
    /** @return how long the answer would wait for the link, if that is too
     * long to run the call. */
    std::optional<duration> excess_link_wait(const owner_call& call) const;
    duration expected_run(const owner_call& call) const;
    /** @return by when an answer is worth most, for the order of waiting. */
    time_point due(const owner_call& call) const;
    owner_answer send(const whole_request& request,
                      const owner_call& call,
                      const target_report& target,
                      cancel_scope& scope);
    /**
     * Asks after a call got no answer: a target that lost one connection takes
     * another, one whose process ended refuses it. @return whether it ended
     */
    bool has_crashed(const target_report& target);
    /** Tells the others which calls ran at the target when it ended. */
    void record_crash(const target_report& target);
    target_end make_crash_record(const target_report& target);
    /** @p request ran to a good end. @param was_held and was on trial */
    void record_good_run(const whole_request& request, bool was_quarantined);
    /** Clears a call that runs here again and again of targets' ends. */
    void announce_good_run(const whole_request& request);
    owner_answer classify_result(const owner_call& call,
                                 exchange_result result) const;
    whole_request request_to_target(const whole_request& request,
                                    const owner_call& call,
                                    const target_report& target) const;

    const wire_names& m_names;
    const std::string& m_service;
    const std::string& m_domain; ///< failure domain
    blackboard& m_board;
    const target_register& m_targets;
    worker& m_worker;
    call_admission m_admission;
    mutable cold_gate m_cold_limiter{steady_clock::now()};
    stream_pool m_pool;
    change_callback m_on_change;
    byte_backlog m_incoming;
    run_registry m_runs;
    run_statistics m_run_stats;
    run_estimates m_run_times;
    answer_sizes m_answer_sizes;
    byte_backlog m_reserved_answers; ///< by the runs under way
    const link_turns* m_link = nullptr;
    body_grants m_transfer_slots{0};
    bool m_is_up = true;
    time_point m_crashed_at{}; ///< when that was
    std::optional<target_end> m_last_crash;
    std::vector<good_run> m_good_runs;
    recent_runs m_recent_good_runs;
    int m_active_probes = 0; ///< under way; one at a time
    failure_shedder m_shedder;
    random_source m_random{entropy_seed()};
    latency_histogram& m_waits;
};

} // namespace tillerhall
