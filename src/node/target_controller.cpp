#include "tillerhall/node/target_controller.hpp"

#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

constexpr milliseconds check_timeout(1000);
// A single failed check may be transient.
constexpr unsigned failures_to_down = 2;
constexpr unsigned draining_status = 503;

} // namespace

target_controller::target_controller(mesh_state& mesh,
                                     membership_controller& membership)
    : m_mesh(mesh)
    , m_membership(membership)
    , m_client(mesh.on.io(), mesh.config.target)
{
}

void target_controller::check_first()
{
    m_mesh.members.update_self(m_mesh.members.self().state, check_once());
}

void target_controller::start()
{
    m_mesh.on.spawn([this] { check_loop(); });
}

void target_controller::check_loop()
{
    while (true)
    {
        const auto before = m_mesh.members.self();
        const auto found = check_once();
        if (is_stopping(m_mesh.board.phase))
            return;
        if (found != before.target_is)
        {
            m_mesh.board.decisions.note(
                "target_changed", m_mesh.config.service,
                std::string(name_of(found)),
                {{"before", name_of(before.target_is)}});
            m_membership.announce_self(m_mesh.members.self().state, found);
        }
        sleep_for(m_mesh.on.io(), milliseconds(m_mesh.config.target_health_ms));
    }
}

void target_controller::announce(const target_crash& crash)
{
    m_mesh.board.decisions.note(
        "target_ended", crash.target_id,
        "it lost its calls and refuses connections",
        {{"calls", boost::json::value_from(crash.calls)}});
    auto changed = m_mesh.members.self();
    add_target_crashes(changed, {crash});
    m_membership.announce_self(changed);
}

void target_controller::announce(const good_run& run)
{
    m_mesh.board.decisions.note("call_cleared", run.call, "it runs well here");
    auto changed = m_mesh.members.self();
    add_good_runs(changed, {run});
    m_membership.announce_self(changed);
}

target_state target_controller::check_once()
{
    const auto response = m_client.call("GET", m_mesh.config.target_health_path,
                                        "", check_timeout);
    const bool healthy = response && response->status < 300;
    m_consecutive_failures = healthy ? 0 : m_consecutive_failures + 1;
    if (healthy)
        return target_state::serving;
    // A target that answers 503 asks for no more work.
    if (response && response->status == draining_status)
        return target_state::draining;
    if (m_consecutive_failures >= failures_to_down)
        return target_state::down;
    return m_mesh.members.self().target_is;
}

} // namespace tillerhall
