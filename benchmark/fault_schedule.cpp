#include "fault_schedule.hpp"

#include "experiment.hpp"

#include "tillerhall/node/messages.hpp"
#include "tillerhall/rpc/client_pool.hpp"
#include "tillerhall/table/csv.hpp"

#include <boost/json.hpp>
#include <csignal>

namespace tillerhall::bench
{
namespace
{

namespace json = boost::json;

// Probability that a step heals all faults instead of injecting one.
constexpr std::uint64_t heal_percent = 35;
constexpr std::size_t domains = 3;

json::object rule(const std::string& from, const std::string& to)
{
    return {{"from", from}, {"to", to}, {"cut", true}};
}

std::string network(std::uint64_t domain)
{
    return "127.0." + std::to_string(domain + 1) + ".";
}

} // namespace

std::span<const fault_schedule::fault_kind> fault_schedule::fault_kinds()
{
    static constexpr std::array table{
        fault_kind{"kill", &fault_schedule::kill_some},
        fault_kind{"pause", &fault_schedule::pause_one},
        fault_kind{"cut_domain", &fault_schedule::cut_domain},
        fault_kind{"cut_one_way", &fault_schedule::cut_one_way},
        fault_kind{"slow_links", &fault_schedule::slow_links},
        fault_kind{"source_down", &fault_schedule::source_down},
        fault_kind{"source_slow", &fault_schedule::source_slow},
        fault_kind{"lose_answers", &fault_schedule::source_loses_answers},
        fault_kind{"fail_writes", &fault_schedule::source_fails_writes},
        fault_kind{"corrupt_update", &fault_schedule::send_corrupt_update},
        fault_kind{"replay", &fault_schedule::replay_old_version},
        fault_kind{"drain_target", &fault_schedule::drain_target},
    };
    return table;
}

void fault_schedule::step()
{
    if (m_random.below(100) < heal_percent)
        return heal_all();
    const auto& chosen = fault_kinds()[m_random.below(fault_kinds().size())];
    print_progress("  fault: " + std::string(chosen.name));
    (this->*chosen.inject)();
    ++m_injected;
}

std::size_t fault_schedule::random_node()
{
    return m_random.below(m_system.nodes().size());
}

void fault_schedule::kill_some()
{
    const auto count = 1 + m_random.below(m_system.nodes().size() / 2);
    for (std::uint64_t i = 0; i < count; ++i)
    {
        const auto node = random_node();
        m_system.nodes()[node].runs.kill();
        m_killed.push_back(node);
    }
}

void fault_schedule::pause_one()
{
    const auto node = random_node();
    m_system.nodes()[node].runs.send(SIGSTOP);
    m_paused.push_back(node);
}

void fault_schedule::cut_domain()
{
    const auto domain = m_random.below(domains);
    json::array rules;
    for (std::uint64_t other = 0; other < domains; ++other)
        if (other != domain)
        {
            rules.push_back(rule(network(domain), network(other)));
            rules.push_back(rule(network(other), network(domain)));
        }
    // In half of the cases the source is cut off as well.
    if (m_random.below(2) == 0)
        rules.push_back(rule(network(domain), "127.0.0."));
    m_system.set_rules(rules);
}

void fault_schedule::cut_one_way()
{
    const auto from = m_random.below(domains);
    const auto to = m_random.below(domains);
    m_system.set_rules({json::object{
        {"from", network(from)}, {"to", network(to)}, {"lose_answers", true}}});
}

void fault_schedule::slow_links()
{
    m_system.set_rules({json::object{
        {"from", "127."}, {"to", "127."}, {"delay_ms", 5}, {"jitter_ms", 60}}});
}

void fault_schedule::source_down()
{
    m_system.set_platform({{"down", true}});
}

void fault_schedule::source_slow()
{
    m_system.set_platform({{"delay_ms", 300}});
}

void fault_schedule::source_loses_answers()
{
    m_system.set_platform({{"lose_answers", 2}});
}

void fault_schedule::source_fails_writes()
{
    m_system.set_platform({{"fail_every", 2}});
}

void fault_schedule::push(std::size_t node, const json::object& params)
{
    traffic_counters ignored;
    rpc_client_pool pool(m_system.on().io(), ignored, 0, "");
    (void)pool.call({m_system.nodes()[node].rpc, traffic_kind::other,
                     method::push, params, milliseconds(500)});
}

void fault_schedule::send_corrupt_update()
{
    const auto node = random_node();
    const auto version = m_system.version(node);
    if (version < 0)
        return;
    table_update update;
    update.version = static_cast<std::uint64_t>(version) + 1;
    update.digest = "0123";
    update.whole = m_system.default_table();
    push(node, to_json(push_message{"127.0.0.1:1", update, {}}));
}

void fault_schedule::replay_old_version()
{
    const auto table = m_system.get(m_system.nodes()[random_node()].operators,
                                    "/v1/table?version=1");
    if (!table || !table->contains("csv"))
        return;
    table_update update;
    update.version = 1;
    update.digest = table->at("digest").as_string().c_str();
    update.whole = table->at("csv").as_string().c_str();
    push(random_node(), to_json(push_message{"127.0.0.1:1", update, {}}));
}

void fault_schedule::drain_target()
{
    const auto node = random_node();
    m_system.set_target(node, {{"drain", 1}});
    m_drained.push_back(node);
}

void fault_schedule::heal_all()
{
    for (const auto node : m_paused)
        m_system.nodes()[node].runs.send(SIGCONT);
    m_paused.clear();
    m_system.set_rules({});
    m_system.set_platform({{"down", false},
                           {"delay_ms", 0},
                           {"lose_answers", 0},
                           {"fail_every", 0}});
    for (const auto node : m_drained)
        m_system.set_target(node, {{"drain", 0}});
    m_drained.clear();
    for (const auto node : m_killed)
        if (!m_system.nodes()[node].runs.is_running())
            if (const auto restarted = m_system.restart(node); !restarted)
                print_progress(restarted.reason().message());
    m_killed.clear();
}

} // namespace tillerhall::bench
