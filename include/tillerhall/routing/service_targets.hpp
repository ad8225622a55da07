/** @file The members whose targets take calls, by service. */
#pragma once

#include "tillerhall/membership/member_list.hpp"
#include "tillerhall/rollout/rollout_view.hpp"
#include "tillerhall/routing/domain_drains.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/** Canary targets and the share of a service's calls that they may get. */
struct canary_targets
{
    std::vector<member_ptr> members;
    double share = 0; ///< of the calls to the service
};

/** An immutable view of one state of the member list. */
class service_targets : public boost::intrusive_ref_counter<service_targets>
{
public:
    service_targets() = default;

    /**
     * @param rollouts traffic shares of releases; by default all are alike
     * @param drains failure domains whose targets get no calls
     */
    explicit service_targets(const member_list& members,
                             const rollout_view& rollouts = {},
                             const domain_drains& drains = {});

    /**
     * @return the members that serve @p service with its stable release; empty
     * if none is known.
     */
    const std::vector<member_ptr>& of(const std::string& service) const;

    /**
     * @return the canary targets of @p service; empty unless a roll-out is
     * under way.
     */
    const canary_targets& canaries_of(const std::string& service) const;

    /**
     * @return the members in a planned stop whose targets still serve
     * @p service; used when no other has a free slot.
     */
    const std::vector<member_ptr>& leaving(const std::string& service) const;

    /** @return the number of live members, this node included. */
    std::size_t live_members() const noexcept { return m_live; }

private:
    using by_service = std::map<std::string, std::vector<member_ptr>>;

    /**
     * Takes the members out of the lists whose releases may not get all calls.
     */
    void split_by_release(const std::string& service,
                          std::vector<member_ptr>& members,
                          const rollout_view& rollouts);
    void add_canaries(const std::string& service,
                      std::vector<member_ptr> canaries,
                      std::size_t stable_targets,
                      const rollout_view& rollouts);

    static const std::vector<member_ptr>& find(const by_service& in,
                                               const std::string& service);

    by_service m_by_service;
    by_service m_leaving;
    std::map<std::string, canary_targets> m_canaries;
    std::size_t m_live = 1;
};

/**
 * @return whether the capacity of a service with the targets of @p owners is
 * balanced between failure domains: there are several domains, and more than
 * `load_inquiry::small_service` targets.
 */
bool is_balanced(const std::vector<member_ptr>& owners);

using service_targets_ptr = boost::intrusive_ptr<const service_targets>;

} // namespace tillerhall
