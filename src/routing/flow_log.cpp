#include "tillerhall/routing/flow_log.hpp"

namespace tillerhall
{
namespace
{

// Slots. Smaller flows come and go with chance.
constexpr double min_flow = 1;
// Longer than the spans in which demand varies by chance.
constexpr std::chrono::seconds ended_after(5);

} // namespace

void flow_log::update(const capacity_view& view,
                      const member_place& own,
                      time_point now,
                      const note_fn& note)
{
    for (const auto& [service, domains] : view.services)
        for (const auto& each : domains)
        {
            if (each.place != own)
                continue;
            update_one("domain_borrows", service, each.planned * each.demand,
                       each, now, note);
            update_one("domain_lends", service, each.promised, each, now, note);
        }
}

void flow_log::update_one(const char* decision,
                          const std::string& service,
                          double slots,
                          const domain_capacity& figures,
                          time_point now,
                          const note_fn& note)
{
    const auto found = m_active.find({decision, service});
    if (slots >= min_flow)
    {
        if (found == m_active.end())
            note(decision, service, true, figures);
        m_active[{decision, service}] = now;
    }
    else if (found != m_active.end() && now > found->second + ended_after)
    {
        m_active.erase(found);
        note(decision, service, false, figures);
    }
}

} // namespace tillerhall
