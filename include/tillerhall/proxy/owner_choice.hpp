/** @file Chooses the owner that a call is sent to. */
#pragma once

#include "tillerhall/routing/target_board.hpp"

#include <functional>
#include <map>

namespace tillerhall
{

class target_owner;
class worker;
struct entry_settings;

/** The owner for a call, or why there is none. */
struct chosen_owner
{
    member_ptr owner; ///< null if none is left or all links are full
    /** How long the links of the owners are full; zero if they are not. */
    duration links_full_for{};
    /** When to come back if all have just refused such calls, else zero. */
    duration owners_full_for{};
};

/**
 * Chooses by what is known of the owners, and asks a few of them before where
 * that is too little: who has room in a large service, see `load_inquiry`; and
 * whose link is free for a large body or a large answer. How long the answer
 * to a question takes tells how much waits on the link there, and a body that
 * is sent to a full link delays all calls there. For fibers of one worker.
 */
class owner_choice
{
public:
    /** Asks an owner for its word. @return nothing if it does not answer. */
    using load_query_fn =
        std::function<std::optional<owner_word>(const member&)>;
    /** Claims a turn for a body on an owner's link. @return how long to wait
     * before asking again, zero if it may be sent; nothing if none answers. */
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
     * @param avoid those that were tried for this call
     * @param bytes of the call's body
     * @param work its objective counts: a body that would be on its way for
     * more than a part of it is not sent
     */
    chosen_owner choose(const std::vector<member_ptr>& candidates,
                        const std::vector<address>& avoid,
                        std::size_t bytes,
                        const work_class& work);

private:
    struct pending_queries;
    struct wait_limits;

    /** @return the best owner of @p answered whose link takes the body now. */
    chosen_owner claim_transfer_slot(const std::vector<member_ptr>& answered,
                                     const call_origin& from);
    /** @return the one to send a small call with a small answer to. */
    member_ptr choose_small(const std::vector<member_ptr>& candidates,
                            const std::vector<address>& avoid,
                            const call_origin& from);
    std::vector<owner_outlook>
    outlooks_of(const std::vector<member_ptr>& candidates,
                const std::vector<address>& avoid,
                const call_origin& from) const;
    /** @return those that were asked and answered. */
    std::vector<member_ptr>
    query_for_room(const std::vector<member_ptr>& candidates,
                   const std::vector<owner_outlook>& outlooks,
                   const member_ptr& preferred,
                   const call_origin& from);
    bool is_unresponsive(const address& owner, time_point now) const;
    void mark_unresponsive(const address& owner, time_point now);
    std::vector<member_ptr>
    choose_owners_to_query(const std::vector<member_ptr>& candidates,
                           std::vector<address> avoid,
                           const call_origin& from);
    /** @return those that answered within the time given. */
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
    /** Owners that did not answer, until when they are not asked again. */
    std::map<address, time_point> m_unresponsive_until;
};

} // namespace tillerhall
