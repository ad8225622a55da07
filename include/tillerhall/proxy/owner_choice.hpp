/** @file Chooses the owner that a call is sent to. */
#pragma once

#include "tillerhall/routing/target_board.hpp"

#include <functional>

namespace tillerhall
{

class target_owner;
struct entry_settings;

/**
 * Chooses by what is known of the owners; for a large body it asks a few of
 * them first how much is on its way to them, since a body that is sent to a
 * full link delays all calls there. For fibers of one worker.
 */
class owner_choice
{
public:
    /** Asks an owner for its word. @return nothing if it does not answer. */
    using asker = std::function<std::optional<owner_word>(const address&)>;

    owner_choice(const entry_settings& config,
                 target_board& targets,
                 const target_owner& local,
                 asker ask);

    /**
     * @param candidates owners of the service's targets
     * @param avoid those that were tried for this call
     * @param bytes of the call's body
     * @return the owner, null if none is left.
     */
    member_ptr choose(const std::vector<member_ptr>& candidates,
                      const std::vector<address>& avoid,
                      std::size_t bytes);

private:
    std::vector<member_ptr> ask_some(const std::vector<member_ptr>& candidates,
                                     std::vector<address> avoid,
                                     const call_origin& from);
    void ask_one(const address& owner);

    const entry_settings& m_config;
    target_board& m_targets;
    const target_owner& m_local;
    asker m_ask;
};

} // namespace tillerhall
