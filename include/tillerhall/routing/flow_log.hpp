/** @file When the flows between failure domains begin and end. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/capacity_view.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace tillerhall
{

/**
 * Finds the beginnings and ends of lending and borrowing by one failure domain,
 * for one log line each. A flow has ended when none was planned for a while,
 * so that a flow around the threshold is one state. Does no I/O.
 */
class flow_log
{
public:
    /** Called with "domain_borrows" or "domain_lends", the service, whether it
     * begins, and the figures of the domain. */
    using note_fn = std::function<void(
        const char*, const std::string&, bool, const domain_capacity&)>;

    /** Compares @p view with the known state of the domain @p own. */
    void update(const capacity_view& view,
                const member_place& own,
                time_point now,
                const note_fn& note);

private:
    void update_one(const char* decision,
                    const std::string& service,
                    double slots,
                    const domain_capacity& figures,
                    time_point now,
                    const note_fn& note);

    /** Time of the last flow, while there is one. */
    std::map<std::pair<std::string, std::string>, time_point> m_active;
};

} // namespace tillerhall
