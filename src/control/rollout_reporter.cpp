#include "tillerhall/control/rollout_reporter.hpp"

#include "tillerhall/core/digest.hpp"
#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/node/messages.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

// Short, so that a failing release is detected after few failed calls.
constexpr milliseconds report_interval(150);
// Ticks between the reports of a target: of each target in late stages, when
// many canary targets report, and of the sampled stable targets before that.
constexpr unsigned ticks_many_canaries = 2;
constexpr unsigned ticks_stable = 4;
constexpr milliseconds report_timeout(400);
// Limits the stable targets that report, so that the load on the deciding nodes
// does not grow with the mesh.
constexpr std::size_t max_reporting = 24;

/** Returns true if this node's target is among those of its release that
 * report; the sample is chosen by hash. */
bool is_sampled(const member_list& members, const member& self)
{
    const auto sample_key = [](const member& of)
    { return stable_hash(of.target_id); };
    const auto preceding =
        std::ranges::count_if(members.ordered(),
                              [&](const keyed_member& kept)
                              {
                                  const auto& each = *kept.record;
                                  return takes_calls(each) &&
                                         each.service == self.service &&
                                         each.release == self.release &&
                                         sample_key(each) < sample_key(self);
                              });
    return static_cast<std::size_t>(preceding) < max_reporting;
}

} // namespace

rollout_reporter::rollout_reporter(mesh_state& mesh,
                                   rollout_registry& registry,
                                   rollout_decider& decider,
                                   const target_registry& targets,
                                   const target_owner& owner)
    : m_mesh(mesh)
    , m_registry(registry)
    , m_decider(decider)
    , m_targets(targets)
    , m_owner(owner)
{
}

void rollout_reporter::start()
{
    m_mesh.on.spawn([this] { report_loop(); });
}

void rollout_reporter::report_loop()
{
    while (true)
    {
        sleep_for(m_mesh.on.io(), report_interval);
        const auto* record = m_registry.find(m_mesh.members.self().service);
        const auto* target = m_targets.in_use();
        if (record == nullptr || target == nullptr ||
            record->state != rollout_state::running)
            continue;
        ++m_tick;
        if (is_due(*record, *target))
            send(report_of(*target));
    }
}

bool rollout_reporter::is_due(const rollout_record& record,
                              const target_report& target)
{
    const bool is_last_stage = record.stage == rollout_stage::all;
    const bool is_early_stage = record.stage <= rollout_stage::loaded;
    if (target.release == record.order.release)
        return (is_early_stage || m_tick % ticks_many_canaries == 0) &&
               (m_reported_target != target.start() ||
                m_reported_taken != m_owner.run_stats().started_count());
    if (target.release != record.stable)
        return false;
    if (is_last_stage)
        return m_tick % ticks_many_canaries == 0;
    return m_tick % ticks_stable == 0 &&
           is_sampled(m_mesh.members, m_mesh.members.self());
}

owner_report rollout_reporter::report_of(const target_report& target) const
{
    owner_report report;
    report.owner = m_mesh.members.self().rpc;
    report.service = m_mesh.members.self().service;
    report.boot = m_boot;
    report.target_id = target.start();
    report.release = target.release;
    report.running =
        static_cast<std::uint32_t>(m_owner.admission().in_flight());
    report.taken = m_owner.run_stats().started_count();
    report.counts = m_owner.run_stats().counts();
    return report;
}

void rollout_reporter::send(const owner_report& report)
{
    m_reported_target = report.target_id;
    m_reported_taken = report.taken;
    const auto params = to_json(report);
    for (const auto& reader : best_readers(m_mesh.members))
        if (reader == report.owner)
            m_decider.add_report(report);
        else
            m_mesh.on.spawn(
                [this, reader, params]
                {
                    m_mesh.pool.call({reader, traffic_kind::watch,
                                      method::owner_report, params,
                                      report_timeout});
                });
}

} // namespace tillerhall
