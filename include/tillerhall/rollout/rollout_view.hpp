/** @file The roll-outs of all services, for the routing of calls. */
#pragma once

#include "tillerhall/rollout/rollout_plan.hpp"
#include "tillerhall/rollout/rollout_record.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string>

namespace tillerhall
{

/** Which of a service's calls targets of one release may get. */
enum class release_status
{
    stable,    ///< all that a canary does not get
    canary,    ///< what the stage of its roll-out allows
    unordered, ///< the least share: no order names the release
    closed     ///< none
};

/** An immutable snapshot of all roll-outs. */
class rollout_view : public boost::intrusive_ref_counter<rollout_view>
{
public:
    using by_service = std::map<std::string, rollout_record>;
    using releases = std::map<std::string, std::string>;

    /** A view without orders and stable releases. */
    rollout_view() = default;

    /**
     * @param stable stable releases of services without an order: the last
     * release that all targets of the service had
     * @param exposure see `allowance_of`
     */
    rollout_view(by_service records, releases stable, double exposure)
        : m_records(std::move(records))
        , m_stable(std::move(stable))
        , m_exposure(exposure)
    {
    }

    /** @return the record of @p service; null if nothing was ordered. */
    const rollout_record* find(const std::string& service) const;

    const by_service& records() const noexcept { return m_records; }

    /** @return the stable release of @p service; empty if not known. */
    std::string stable(const std::string& service) const;

    /** @param stable stable release of the service, as the caller decided */
    release_status status_of(const std::string& service,
                             const std::string& release,
                             const std::string& stable) const;

    /** @return whether @p release of @p service gets no calls. */
    bool is_closed(const std::string& service,
                   const std::string& release) const;

    /** @return what canary targets are allowed beside so many stable ones. */
    stage_allowance allowance(const std::string& service,
                              std::size_t stable_targets) const;

private:
    by_service m_records;
    releases m_stable;
    double m_exposure = default_exposure;
};

using rollout_view_ptr = boost::intrusive_ptr<const rollout_view>;

} // namespace tillerhall
