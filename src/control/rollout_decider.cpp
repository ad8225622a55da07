#include "tillerhall/control/rollout_decider.hpp"

#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/node/messages.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

// A report of a regression is acted on at once; this interval applies to the
// other decisions, such as the end of a stage.
constexpr milliseconds decide_interval(200);
// A node that received no report for this long does not decide.
constexpr milliseconds report_staleness_limit(2'000);
constexpr milliseconds describe_timeout(1'000);

/** Appends one entry for each class of work that ran at @p release. */
void add_evidence(json::array& to,
                  const std::string& release,
                  const counts_by_class& counts)
{
    for (const auto& [work, each] : counts)
        to.push_back(json::object{{"release", release},
                                  {"rank", work.rank},
                                  {"objective_ms", work.objective.count()},
                                  {"kind", name_of(work.kind)},
                                  {"runs", each.ended},
                                  {"failed", each.failed}});
}

} // namespace

rollout_decider::evaluation::evaluation(const rollout_record& record,
                                        time_point now)
    : revision(record.order.revision)
    , stage(record.stage)
    , stage_begun(now)
    , judge(record.stable, record.order.release)
{
}

rollout_decider::rollout_decider(mesh_state& mesh,
                                 rollout_registry& registry,
                                 rollout_store_sync& store_sync,
                                 std::function<bool()> is_reader)
    : m_mesh(mesh)
    , m_registry(registry)
    , m_store_sync(store_sync)
    , m_is_reader(std::move(is_reader))
{
}

void rollout_decider::add_methods()
{
    m_mesh.server.add(method::owner_report, traffic_kind::watch,
                      [this](const json::object& params) -> json::object
                      {
                          add_report(owner_report_from_json(params));
                          return {};
                      });
    m_mesh.server.add(method::rollout_account, traffic_kind::watch,
                      [this](const json::object&) -> json::object {
                          return {{"r", describe_own()}};
                      });
}

void rollout_decider::start()
{
    m_mesh.on.spawn([this] { decide_loop(); });
}

rollout_decider::evaluation&
rollout_decider::evaluation_of(const rollout_record& record)
{
    const auto now = steady_clock::now();
    const auto& service = record.order.service;
    auto found = m_evaluations.find(service);
    if (found != m_evaluations.end() &&
        found->second.revision != record.order.revision)
    {
        m_evaluations.erase(found);
        found = m_evaluations.end();
    }
    if (found == m_evaluations.end())
        found = m_evaluations.emplace(service, evaluation(record, now)).first;
    auto& current = found->second;
    if (current.stage != record.stage)
    {
        current.stage = record.stage;
        current.stage_begun = now;
        current.judge.begin_stage();
    }
    for (const auto& each : record.regressed_targets)
        current.judge.add_regressed(each);
    return current;
}

std::vector<address>
rollout_decider::owners_of(const std::string& service,
                           const std::string& release) const
{
    std::vector<address> owners;
    for (const auto& kept : m_mesh.members.ordered())
        if (kept.record->service == service &&
            kept.record->release == release && is_live(*kept.record) &&
            kept.record->target_is == target_state::serving)
            owners.push_back(kept.record->rpc);
    return owners;
}

std::string rollout_decider::rollback_reason(const evaluation& current) const
{
    std::string why = std::to_string(current.judge.regressed_targets().size()) +
                      " of its targets do worse than those before";
    for (const auto& each : current.judge.regressed_targets())
        if (const auto reason = current.judge.reason_of(each); !reason.empty())
            return why + "; " + each + ": " + reason;
    return why;
}

void rollout_decider::add_report(const owner_report& report)
{
    const auto* record = m_registry.find(report.service);
    if (record == nullptr || record->state != rollout_state::running ||
        record->stable.empty())
        return;
    auto& current = evaluation_of(*record);
    current.last_report = steady_clock::now();
    if (!current.judge.take(report, current.last_report))
        return;
    m_mesh.board.decisions.note(
        "rollout_suspect", report.service,
        current.judge.reason_of(report.target_id),
        {{"target", report.target_id}, {"owner", report.owner.text()}});
    auto next = *record;
    next.regressed_targets.push_back(report.target_id);
    m_registry.merge_and_broadcast(next, "decided here");
    decide(*m_registry.find(report.service));
}

void rollout_decider::decide_loop()
{
    while (true)
    {
        sleep_for(m_mesh.on.io(), decide_interval);
        const auto records =
            m_registry.records(); // a copy: deciding changes them
        for (const auto& [service, record] : records)
            if (record.state == rollout_state::running)
                decide(record);
    }
}

void rollout_decider::decide(const rollout_record& record)
{
    if (record.state != rollout_state::running)
        return;
    auto& current = evaluation_of(record);
    const auto now = steady_clock::now();
    if (!m_is_reader() && now > current.last_report + report_staleness_limit)
        return;
    const auto canary_targets =
        owners_of(record.order.service, record.order.release).size();
    if (current.judge.is_bad(canary_targets, now))
        return roll_back(record, rollback_reason(current));
    advance(record, current);
}

void rollout_decider::advance(const rollout_record& record, evaluation& current)
{
    const auto now = steady_clock::now();
    const auto& service = record.order.service;
    const auto stable_owners = owners_of(service, record.stable);
    const auto canary_owners = owners_of(service, record.order.release);
    if (record.stable == record.order.release && !canary_owners.empty())
    {
        m_store_sync.complete(record); // the release is stable already
        return;
    }
    const rollout_progress progress{
        .stage_begun = current.stage_begun,
        .evidence = current.judge.evidence(),
        .stable_is_idle = current.judge.is_idle(stable_owners, now),
        .stable_targets = stable_owners.size(),
        .live_canary_targets = canary_owners.size()};
    switch (next_move(record, progress, now))
    {
    case rollout_move::wait:
        return;
    case rollout_move::next_stage:
    {
        log_stage_end(record, current.judge);
        auto next = record;
        next.stage =
            static_cast<rollout_stage>(static_cast<int>(record.stage) + 1);
        m_registry.merge_and_broadcast(next, "decided here");
        return;
    }
    case rollout_move::complete:
        m_store_sync.complete(record);
        return;
    case rollout_move::give_up:
        roll_back(record, canary_owners.empty()
                              ? "no target of the release takes work"
                              : "too little ran at it to know that it is good");
    }
}

void rollout_decider::log_stage_end(const rollout_record& record,
                                    const rollout_judge& judge)
{
    json::array classes;
    for (const auto& each : judge.compared())
        classes.push_back(json::object{
            {"kind", name_of(each.work.kind)},
            {"rank", each.work.rank},
            {"runs", each.canary.ended},
            {"failed", each.canary.failed},
            {"timed", each.canary.timed()},
            {"slow", each.canary.longer_than(each.thresholds.slow)},
            {"in_tail", each.canary.longer_than(each.thresholds.tail)},
            {"old_timed", each.baseline.timed()},
            {"old_slow", each.baseline.longer_than(each.thresholds.slow)},
            {"old_in_tail", each.baseline.longer_than(each.thresholds.tail)},
            {"took", json::value_from(each.canary.took)},
            {"old_took", json::value_from(each.baseline.took)}});
    m_mesh.board.decisions.note(
        "rollout_step", record.order.service,
        std::string(name_of(record.stage)),
        {{"release", record.order.release}, {"classes", std::move(classes)}});
}

void rollout_decider::roll_back(const rollout_record& record,
                                std::string reason)
{
    auto next = record;
    next.state = rollout_state::rolled_back;
    next.reason = std::move(reason);
    m_store_sync.mark_decided_here(record.order.service);
    m_registry.merge_and_broadcast(next, "decided here");
}

bool rollout_decider::has_recent_reports() const
{
    return std::ranges::all_of(
        m_registry.records(),
        [this](const auto& each)
        {
            const auto& [service, record] = each;
            const auto found = m_evaluations.find(service);
            return record.state != rollout_state::running ||
                   (found != m_evaluations.end() &&
                    steady_clock::now() <
                        found->second.last_report + report_staleness_limit);
        });
}

json::array rollout_decider::describe()
{
    if (has_recent_reports())
        return describe_own();
    for (const auto& reader : best_readers(m_mesh.members))
    {
        if (reader == m_mesh.members.self().rpc)
            continue;
        const auto answer = m_mesh.pool.call(
            {reader, traffic_kind::watch, method::rollout_account,
             json::object(), describe_timeout});
        const auto* described = answer ? answer->if_contains("r") : nullptr;
        if (described != nullptr && described->is_array())
            return described->as_array();
    }
    return describe_own();
}

json::array rollout_decider::describe_own() const
{
    json::array list;
    for (const auto& [service, record] : m_registry.records())
    {
        json::object described{
            {"service", service},
            {"release", record.order.release},
            {"before", record.stable},
            {"state", name_of(record.state)},
            {"stage", name_of(record.stage)},
            {"reason", record.reason},
            {"age_ms", to_ms(steady_clock::now() - record.begun)},
            {"time_ms", record.order.time.count()},
            {"suspects", json::value_from(record.regressed_targets)},
            {"closed", json::value_from(record.closed)}};
        const auto found = m_evaluations.find(service);
        json::array evidence;
        if (found != m_evaluations.end() &&
            found->second.revision == record.order.revision)
        {
            const auto& judge = found->second.judge;
            const auto before = judge.baseline();
            add_evidence(evidence, record.stable, before.counts());
            add_evidence(evidence, record.order.release, judge.stage_counts());
        }
        described["evidence"] = std::move(evidence);
        list.push_back(std::move(described));
    }
    return list;
}

} // namespace tillerhall
