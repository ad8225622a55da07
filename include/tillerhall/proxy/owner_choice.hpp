/** @file Chooses the owner that a call is sent to. */
#pragma once

#include "tillerhall/routing/target_board.hpp"

#include <functional>
#include <map>

namespace tillerhall
{

class target_owner;
struct entry_capacity;
class worker;
struct entry_settings;

/** The owner for a call, or why there is none. */
struct chosen_owner
{
    member_ptr owner; ///< null if none is left or no link takes the call
    /** How long all links stay full; zero if one is free. */
    duration links_full_for{};
    /** Retry-After if the plan gives the call no more owners, else zero. */
    duration domain_full_for{};
    /** Retry-After if all owners refused such calls just now, else zero. */
    duration owners_full_for{};
};

/**
 * Chooses by the load that owners have reported, and queries a few owners first
 * if that is not recent enough: in a large service for owners that have room,
 * see `load_inquiry`; for a large body or a large answer for a free link. The
 * round trip of a query shows the backlog of the link, and a body sent to a
 * full link would delay all calls there. For fibers of one worker.
 */
class owner_choice
{
public:
    /** Queries an owner's load. @return nothing if it does not answer */
    using load_query_fn =
        std::function<std::optional<load_report>(const member&)>;
    /** Claims a transfer slot for a body on an owner's link. @return the wait
     * before the next claim, zero if granted; nothing if there is no answer */
    using slot_claim_fn =
        std::function<std::optional<duration>(const member&, std::uint64_t)>;

    owner_choice(const entry_settings& config,
                 target_board& targets,
                 const target_owner& local,
                 worker& on,
                 load_query_fn query_load,
                 slot_claim_fn claim_slot);

    /**
     * @param candidates owners of the service's targets
     * @param avoid owners that have been tried for this call
     * @param bytes size of the call's body
     * @param work class of the call; a body whose transfer would take too
     * large a part of the objective is not sent
     */
    chosen_owner choose(const std::vector<member_ptr>& candidates,
                        const std::vector<address>& avoid,
                        std::size_t bytes,
                        const work_class& work);

    /** Sets the plan of calls between failure domains. */
    void set_capacity(entry_capacity& capacity) { m_capacity = &capacity; }

    /**
     * The same by the plan of calls between failure domains, where there is a
     * valid one for @p service and the call is small.
     * @param avoid owners that refuse such calls
     * @param tried owners that have been tried for this call
     */
    chosen_owner choose_by_plan(const std::string& service,
                                const std::vector<member_ptr>& candidates,
                                const std::vector<address>& avoid,
                                const std::vector<address>& tried,
                                std::size_t bytes,
                                const work_class& work);

private:
    struct pending_queries;
    struct planned_call;
    struct wait_limits;

    /** @return the best owner of @p answered that grants a slot in time. */
    chosen_owner claim_transfer_slot(const std::vector<member_ptr>& answered,
                                     const call_origin& from);
    /** @return the owner for a call with a small body and a small answer. */
    member_ptr choose_small(const std::vector<member_ptr>& candidates,
                            const std::vector<address>& avoid,
                            const call_origin& from);
    /** @return the best of @p candidates by what is known of their load.
     * @param may_query whether their load may be queried */
    member_ptr choose_known(const std::vector<member_ptr>& candidates,
                            const std::vector<address>& avoid,
                            const call_origin& from,
                            bool may_query);
    /** @return whether the body or the answer of such a call is large. */
    bool is_large(std::size_t bytes, const work_class& work);
    bool has_plan(const std::string& service,
                  const std::vector<member_ptr>& candidates) const;
    member_ptr choose_first(const planned_call& call);
    member_ptr choose_further(const planned_call& call);
    /** @return the part of @p owners that calls do not fail at. */
    double able_part(const std::vector<member_ptr>& owners);
    std::vector<owner_estimate>
    estimates_of(const std::vector<member_ptr>& candidates,
                 const std::vector<address>& avoid,
                 const call_origin& from) const;
    /** @return the owners that were queried and answered. */
    std::vector<member_ptr>
    query_for_room(const std::vector<member_ptr>& candidates,
                   const std::vector<owner_estimate>& estimates,
                   const member_ptr& preferred,
                   const call_origin& from);
    bool is_unresponsive(const address& owner, time_point now) const;
    void mark_unresponsive(const address& owner, time_point now);
    std::vector<member_ptr>
    choose_owners_to_query(const std::vector<member_ptr>& candidates,
                           std::vector<address> avoid,
                           const call_origin& from);
    /** @return the owners that answered within the limits. */
    std::vector<member_ptr> query_loads(const std::vector<member_ptr>& owners,
                                        const wait_limits& waits);
    void query_one(const member_ptr& owner, pending_queries& queries);

    const entry_settings& m_config;
    target_board& m_targets;
    const target_owner& m_local;
    worker& m_worker;
    load_query_fn m_query_load;
    slot_claim_fn m_claim_slot;
    random_source m_random;
    load_inquiry m_load_inquiry;
    entry_capacity* m_capacity = nullptr;
    /** Owners that did not answer, and until when each is not queried. */
    std::map<address, time_point> m_unresponsive_until;
};

} // namespace tillerhall
