/** @file Chooses the owner that a call is sent to. */
#pragma once

#include "tillerhall/routing/target_board.hpp"

#include <functional>

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
    duration links_full{};
};

/**
 * Chooses by what is known of the owners. For a large body it asks a few of
 * them first: what they tell is fresh, and how long the answer takes tells
 * how much waits on the link to them. A body that is sent to a full link
 * delays all calls there. For fibers of one worker.
 */
class owner_choice
{
public:
    /** Asks an owner for its word. @return nothing if it does not answer. */
    using asker = std::function<std::optional<owner_word>(const address&)>;

    owner_choice(const entry_settings& config,
                 target_board& targets,
                 const target_owner& local,
                 worker& on,
                 asker ask);

    /**
     * @param candidates owners of the service's targets
     * @param avoid those that were tried for this call
     * @param bytes of the call's body
     * @param objective of the call; a body that would be on its way for more
     * than a part of it is not sent
     */
    chosen_owner choose(const std::vector<member_ptr>& candidates,
                        const std::vector<address>& avoid,
                        std::size_t bytes,
                        const work_class& work);

private:
    struct inquiry;

    std::vector<member_ptr>
    whom_to_ask(const std::vector<member_ptr>& candidates,
                std::vector<address> avoid,
                const call_origin& from);
    std::vector<member_ptr> ask(const std::vector<member_ptr>& owners);
    void ask_one(const member_ptr& owner, inquiry& all);

    const entry_settings& m_config;
    target_board& m_targets;
    const target_owner& m_local;
    worker& m_worker;
    asker m_ask;
    random_source m_random;
};

} // namespace tillerhall
