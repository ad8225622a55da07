/** @file Decides which calls of an entry go to other failure domains. */
#pragma once

#include "tillerhall/core/token_bucket.hpp"
#include "tillerhall/routing/capacity_message.hpp"
#include "tillerhall/routing/capacity_view.hpp"
#include "tillerhall/routing/service_demand.hpp"

#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * The load it answers: the entries of a domain that is full would all take the
 * same spare of another. Each entry gets a planned share of its calls that
 * cross at once, which a golden-ratio sequence keeps also over few calls, and
 * tokens for further calls that owners of its own domain refuse. Does no I/O.
 */
class crossing_plan
{
public:
    /** With a smaller part of its own targets able to serve, a domain's calls
     * cross without waiting for a new plan. */
    static constexpr double min_able = 0.5;

    /** @param start in [0, 1); differs between entries, see `share_sequence` */
    crossing_plan(member_place own, double start)
        : m_own(std::move(own))
        , m_start(start)
    {
    }

    /**
     * Replaces the plan.
     * @param valid how long it applies
     */
    void update(const capacity_answer& answer,
                const std::map<std::string, service_demand::need>& needs,
                time_point now,
                duration valid);

    /** @return whether there is a valid plan for @p service. */
    bool has_plan(const std::string& service, time_point now) const;

    /** @return whether the callers of this domain need more than its slots. */
    bool is_own_full(const std::string& service) const;

    /** @return whether calls that cross are not to yield to calls of the domain
     * that runs them, see `domain_flows::is_short`. */
    bool is_short(const std::string& service, time_point now) const;

    /**
     * @return the domain for the first attempt of the next call. Needs a plan.
     * @param able part of the own domain's targets that are not set aside as
     * failing. If most are, calls cross in proportion to the others' capacity
     * without waiting for a new plan.
     */
    const member_place& first_domain(const std::string& service, double able);

    /** Takes a token for a call that owners of this domain refused. @return the
     * domain to send it to, or null. Needs a plan. */
    const member_place* grant(const std::string& service, time_point now);

    /** Records whether an owner of @p place refused a call that crossed. */
    void crossed(const std::string& service,
                 const member_place& place,
                 bool was_refused);

    /** @return the state of the plan. */
    capacity_view_ptr view() const { return m_view; }

private:
    struct other_domain
    {
        member_place place;
        double capacity = 0;
        double planned = 0; ///< share of the entry's calls
        token_bucket further{0, 0};
        double refused = 0; ///< decaying share of the calls that crossed
    };

    struct service_plan
    {
        std::vector<other_domain> others;
        double own_capacity = 0;
        double own_demand = 0;
        bool is_short = false;
        time_point valid_until{};
        double point = 0; ///< of the sequence
    };

    /** @return the plan of @p service; null if there has been none. */
    service_plan* find(const std::string& service);
    const service_plan* find(const std::string& service) const;
    static double weight_of(const other_domain& other);

    member_place m_own;
    double m_start;
    std::map<std::string, service_plan> m_plans;
    capacity_view_ptr m_view{new capacity_view};
};

} // namespace tillerhall
