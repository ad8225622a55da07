/** @file The roll-outs of all services, as calls are led by them. */
#pragma once

#include "tillerhall/rollout/rollout_plan.hpp"
#include "tillerhall/rollout/rollout_record.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string>

namespace tillerhall
{

/** What calls of a service may go to targets of one release. */
enum class release_standing
{
    settled, ///< has the calls
    trial,   ///< gets what the stage of its roll-out gives
    guest,   ///< nobody ordered it: gets the least share
    closed   ///< gets none
};

/** An immutable view of what is known of roll-outs. */
class rollout_view : public boost::intrusive_ref_counter<rollout_view>
{
public:
    using by_service = std::map<std::string, rollout_record>;
    using releases = std::map<std::string, std::string>;

    /** Without orders, and with every release as good as the other. */
    rollout_view() = default;

    /**
     * @param settled release that each service had when all its targets had
     * the same, for services without an order
     * @param exposure see `terms_of`
     */
    rollout_view(by_service records, releases settled, double exposure)
        : m_records(std::move(records))
        , m_settled(std::move(settled))
        , m_exposure(exposure)
    {
    }

    /** @return null if nothing was ordered for @p service. */
    const rollout_record* find(const std::string& service) const;

    const by_service& records() const noexcept { return m_records; }

    /** @return the release that has the calls of @p service; empty if that is
     * not known. */
    std::string settled(const std::string& service) const;

    /** @param settled of the service, as it was found out for the view */
    release_standing standing(const std::string& service,
                              const std::string& release,
                              const std::string& settled) const;

    /** @return whether @p release of @p service gets no calls. */
    bool is_closed(const std::string& service,
                   const std::string& release) const;

    /** @return what releases on trial get, with so many settled targets. */
    stage_terms terms(const std::string& service,
                      std::size_t settled_targets) const;

private:
    by_service m_records;
    releases m_settled;
    double m_exposure = usual_exposure;
};

using rollout_view_ptr = boost::intrusive_ptr<const rollout_view>;

} // namespace tillerhall
