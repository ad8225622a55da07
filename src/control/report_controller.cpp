#include "tillerhall/control/report_controller.hpp"

#include "tillerhall/core/backoff.hpp"
#include "tillerhall/targets/report_check.hpp"

#include <algorithm>
#include <utility>

namespace tillerhall
{
namespace
{

// An acknowledgement must reach the target within one second.
constexpr milliseconds persist_limit(800);
// After this without an answer of the store peers are asked as well.
constexpr milliseconds store_only_for(250);
constexpr milliseconds persist_poll(4);
constexpr unsigned peers_needed = 2;
// Waits between the health checks of a target that awaits confirmation.
constexpr milliseconds min_check_wait(50);
constexpr milliseconds max_check_wait(1'000);
constexpr std::size_t peers_asked = 5;
// A name from another writer may be of any length.
constexpr std::size_t max_logged_name = 100;

target_state state_of(const target_registry& targets, bool is_up)
{
    if (targets.in_use() == nullptr)
        return target_state::draining;
    return is_up ? target_state::serving : target_state::down;
}

} // namespace

report_controller::report_controller(mesh_state& mesh,
                                     membership_controller& membership,
                                     directory_controller& directory,
                                     target_registry& targets,
                                     target_owner& owner)
    : m_mesh(mesh)
    , m_membership(membership)
    , m_directory(directory)
    , m_targets(targets)
    , m_owner(owner)
{
}

void report_controller::apply_departures()
{
    for (const auto& id : m_mesh.members.self().departed_targets)
        m_targets.record_departure(id);
}

void report_controller::departures_loaded()
{
    apply_departures();
    m_targets.set_departures_known();
    target_changed();
}

void report_controller::target_changed()
{
    m_owner.target_changed();
    announce();
}

void report_controller::start_confirming(const target_report& report)
{
    if (std::exchange(m_is_confirming, true))
        return;
    m_mesh.board.decisions.note("target_unconfirmed", report.start(),
                                "its report may be older than its departure");
    m_mesh.on.spawn([this] { confirm_target(); });
}

void report_controller::confirm_target()
{
    backoff waits(min_check_wait, max_check_wait);
    while (const auto* waiting = m_targets.unconfirmed(steady_clock::now()))
    {
        const target_report target(*waiting);
        if (is_confirmed(target) &&
            m_targets.confirm(target.start(), steady_clock::now()) !=
                report_result::stale)
            target_changed();
        else
            sleep_for(m_mesh.on.io(), waits.next(m_mesh.random));
    }
    m_is_confirming = false;
}

bool report_controller::is_confirmed(const target_report& target)
{
    if (m_mesh.board.call_map.get()->version() == 0)
        return false; // the path of its health is not known yet
    return !m_owner.can_check_health() || m_owner.is_healthy(target);
}

void report_controller::announce()
{
    auto self = m_mesh.members.self();
    self.target_is = state_of(m_targets, m_owner.is_target_up());
    self.departed_targets = m_targets.departed();
    if (const auto& end = m_owner.last_crash())
        add_target_crashes(self, {*end});
    add_good_runs(self, m_owner.good_runs());
    forget_crash_evidence(self, wall_clock_ms() - to_ms(crash_evidence_kept));
    if (const auto* target = m_targets.in_use())
    {
        self.target_id = target->start();
        self.release = target->release;
        self.target = target->where;
    }
    if (self == m_mesh.members.self())
        return;
    m_mesh.board.decisions.note("target_changed", self.target_id,
                                std::string(name_of(self.target_is)),
                                {{"left", self.departed_targets.size()},
                                 {"ends", self.target_crashes.size()},
                                 {"good_runs", self.good_runs.size()}});
    m_membership.announce_self(self);
    m_directory.own_record_changed();
}

void report_controller::announce_changes()
{
    m_mesh.on.spawn([this] { announce(); });
}

void report_controller::note_refused(const target_report& report,
                                     std::string_view reason)
{
    m_mesh.board.metrics
        .get("tillerhall_refused_report_total",
             "reason=\"" + std::string(reason) + "\"")
        .add();
    m_mesh.board.call_lines.write(
        log_level::info, "report_refused",
        {{"target", report.start()},
         {"reason", reason},
         {"service", report.service.substr(0, max_logged_name)},
         {"address", report.where.text()},
         {"sequence", report.sequence},
         {"left", m_targets.has_departed(report.start())}});
}

report_reply report_controller::take(const target_report& report)
{
    const auto& config = m_mesh.config;
    if (const auto mismatch =
            find_mismatch(report, {config.service, config.target});
        mismatch != report_mismatch::none)
    {
        note_refused(report, name_of(mismatch));
        return report_reply::misdirected;
    }
    apply_departures(); // a peer may have sent those of earlier boots
    const auto result = m_targets.take(report, steady_clock::now());
    if (result == report_result::stale)
    {
        note_refused(report, name_of(result));
        return report.state == report_state::ready ? report_reply::acknowledged
                                                   : report_reply::retry;
    }
    if (result == report_result::unconfirmed)
        start_confirming(report);
    if (report.state == report_state::ready)
        m_owner.target_changed();
    announce();
    return report.state == report_state::ready || persist_departure()
               ? report_reply::acknowledged
               : report_reply::retry;
}

void report_controller::departure_told(const std::string& start)
{
    m_targets.record_departure(start);
    m_mesh.on.spawn(
        [this]
        {
            announce();
            persist_departure();
        });
}

bool report_controller::persist_departure()
{
    m_directory.write_now();
    const auto begin = steady_clock::now();
    const auto copies = std::make_shared<unsigned>(0);
    bool asked = false;
    while (steady_clock::now() < begin + persist_limit)
    {
        const bool kept_by_peers =
            *copies >= peers_needed && m_owner.can_check_health();
        if (m_directory.own_record_stored() || kept_by_peers)
            return true;
        if (!asked && steady_clock::now() >= begin + store_only_for)
        {
            replicate_to_peers(copies);
            asked = true;
        }
        sleep_for(m_mesh.on.io(), persist_poll);
    }
    m_mesh.board.decisions.note(
        "leaving_not_kept", m_mesh.members.self().rpc.text(),
        "not in the store, nor with enough peers", {{"peers", *copies}});
    return false;
}

void report_controller::replicate_to_peers(
    const std::shared_ptr<unsigned>& copies)
{
    const auto own = m_mesh.members.self();
    auto peers = m_mesh.members.all();
    std::erase_if(peers, [&](const member& each)
                  { return each.rpc == own.rpc || !is_live(each); });
    std::ranges::shuffle(peers, m_mesh.random);
    // Other failure domains first: neighbours may fail together with this host.
    std::ranges::stable_partition(peers, [&](const member& each)
                                  { return each.place != own.place; });
    peers.resize(std::min(peers.size(), peers_asked));
    for (const auto& each : peers)
        m_mesh.on.spawn(
            [this, copies, peer = each.rpc]
            { *copies += m_membership.send_self_record(peer) ? 1 : 0; });
}

} // namespace tillerhall
