#include "harness/cluster.hpp"

#include "tillerhall/table/csv.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <unistd.h>

namespace tillerhall::harness
{
namespace
{

namespace json = boost::json;

constexpr milliseconds poll_interval(10);
constexpr std::size_t seed_count = 3;

std::vector<placement> repeat(const std::vector<placement>& pattern,
                              std::size_t count)
{
    std::vector<placement> placed;
    for (std::size_t i = 0; i < count; ++i)
        placed.push_back(pattern[i % pattern.size()]);
    return placed;
}

/** @return placements of six targets of the first service, four of the second
 * and three of the third, spread over @p domains . */
std::vector<placement>
deployment_layout(const std::vector<std::string>& services,
                  const std::vector<std::string>& domains)
{
    const std::vector<std::size_t> counts{6, 4, 3};
    std::vector<placement> placed;
    // Services alternate, so that a truncated layout still has all of them.
    for (std::size_t i = 0; i < counts.front(); ++i)
        for (std::size_t service = 0; service < services.size(); ++service)
            if (i < counts[service])
                placed.push_back(
                    {services[service], domains[i % domains.size()]});
    return placed;
}

std::string make_folder()
{
    std::string pattern =
        std::filesystem::temp_directory_path() / "tillerhall-XXXXXX";
    return ::mkdtemp(pattern.data());
}

address listening_address(const json::object& line, const char* name)
{
    return *address::parse(line.at(name).as_string().c_str());
}

} // namespace

cluster_options akkerbond(std::size_t nodes)
{
    cluster_options options;
    options.placements =
        repeat(deployment_layout({"perceel", "oogstbeurs", "schuur"},
                                 {"polder-a", "polder-b", "polder-c"}),
               nodes);
    options.region = "nl-west";
    options.settings = {{"mesh.heartbeat_ms", "500"},
                        {"distribution.poll_ms", "1000"},
                        {"target.slots", "12"}};
    options.behaviour = R"({"slots":12})";
    return options;
}

cluster_options blue_mahoe(std::size_t nodes)
{
    cluster_options options;
    options.placements =
        repeat(deployment_layout({"preview-desk", "job-ledger", "model-intake"},
                                 {"hall-a", "hall-b", "hall-c"}),
               nodes);
    options.region = "kingston";
    options.settings = {{"mesh.heartbeat_ms", "1000"},
                        {"distribution.poll_ms", "3000"},
                        {"target.slots", "18"}};
    options.behaviour = R"({"slots":18})";
    return options;
}

cluster_options profile(const std::string& name, std::size_t nodes)
{
    return name == "blue-mahoe" ? blue_mahoe(nodes) : akkerbond(nodes);
}

cluster::cluster(worker& on, cluster_options options)
    : m_worker(on)
    , m_options(std::move(options))
    , m_folder(make_folder())
{
}

cluster::~cluster()
{
    m_nodes.clear();
    m_targets.clear();
    m_platform.kill();
    m_faultproxy.kill();
    if (std::getenv("TILLERHALL_KEEP") == nullptr)
        std::filesystem::remove_all(m_folder);
}

std::string cluster::ip_of(const std::string& domain)
{
    auto found = std::ranges::find(m_domains, domain);
    if (found == m_domains.end())
    {
        m_domains.push_back(domain);
        found = std::prev(m_domains.end());
    }
    // A network per failure domain, so that proxy rules can partition it.
    const auto number = std::distance(m_domains.begin(), found) + 1;
    return "127.0." + std::to_string(number) + ".1";
}

result<void> cluster::start()
{
    if (auto started = start_platform(); !started)
        return started;
    for (const auto& each : m_options.placements)
        add_node(each);
    if (auto started = start_targets(); !started)
        return started;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        if (auto started = start_node(i, false); !started)
            return started;
    register_hosts();
    const bool ready = wait_until(
        [this]
        {
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                if (!is_ready(i) || !knows_all_targets(i))
                    return false;
            return true;
        },
        std::chrono::seconds(120));
    if (!ready)
        return error(error_code::not_ready, "not every node became ready",
                     "see the logs in " + m_folder);
    return {};
}

result<void> cluster::start_platform()
{
    const auto programs = program_folder();
    if (auto started = m_platform.start({programs + "/standin-platform"},
                                        m_folder + "/platform.log");
        !started)
        return started;
    auto line = m_platform.read_listening();
    if (!line)
        return line.reason();
    m_platform_address = listening_address(*line, "address");
    if (!m_options.with_faultproxy)
        return {};
    if (auto started = m_faultproxy.start({programs + "/faultproxy"},
                                          m_folder + "/faultproxy.log");
        !started)
        return started;
    line = m_faultproxy.read_listening();
    if (!line)
        return line.reason();
    m_faultproxy_address = listening_address(*line, "address");
    return {};
}

result<void> cluster::start_targets()
{
    std::map<std::string, std::size_t> shared;
    for (auto& node : m_nodes)
    {
        const auto known = shared.find(node.place.service);
        if (m_options.share_targets && known != shared.end())
        {
            node.target = m_target_addresses[known->second];
            continue;
        }
        shared[node.place.service] = m_targets.size();
        process target;
        const auto log =
            m_folder + "/target-" + std::to_string(m_targets.size()) + ".log";
        if (auto started = target.start({program_folder() + "/standin-target",
                                         "--behave", m_options.behaviour},
                                        log);
            !started)
            return started;
        const auto line = target.read_listening();
        if (!line)
            return line.reason();
        node.target = listening_address(*line, "address");
        m_target_addresses.push_back(node.target);
        m_targets.push_back(std::move(target));
    }
    return {};
}

result<void> cluster::restart_target(std::size_t index)
{
    auto& target = m_targets[index];
    target.kill();
    if (auto started = target.start(
            {program_folder() + "/standin-target", "--listen",
             m_target_addresses[index].text(), "--behave", m_options.behaviour},
            m_folder + "/target-" + std::to_string(index) + ".log");
        !started)
        return started;
    const auto line = target.read_listening();
    return line ? result<void>{} : result<void>(line.reason());
}

std::size_t cluster::add_node(const placement& place)
{
    node_process node;
    node.place = place;
    node.ip = ip_of(place.domain);
    node.rpc = node.peer = node.caller = node.operators = {node.ip, 0};
    node.platform = m_platform_address;
    // A node added later shares the target of its service.
    for (const auto& each : m_nodes)
        if (each.place.service == place.service)
            node.target = each.target;
    m_nodes.push_back(std::move(node));
    return m_nodes.size() - 1;
}

result<address> cluster::add_link(const address& to, const std::string& ip)
{
    const auto added = post(m_faultproxy_address, "/links",
                            {{"to", to.text()}, {"listen", ip + ":0"}});
    if (!added)
        return added.reason();
    return listening_address(*added, "listen");
}

result<void> cluster::add_links(node_process& node)
{
    const auto rpc = add_link(node.rpc, node.ip);
    const auto peer = add_link(node.peer, node.ip);
    const auto platform = add_link(m_platform_address, node.ip);
    for (const auto* each : {&rpc, &peer, &platform})
        if (!*each)
            return each->reason();
    node.advertise_rpc = *rpc;
    node.advertise_peer = *peer;
    node.platform = *platform;
    return {};
}

void cluster::write_settings(std::size_t index)
{
    auto& node = m_nodes[index];
    std::map<std::string, std::string> all{
        {"node.rpc", node.rpc.text()},
        {"node.peer", node.peer.text()},
        {"node.caller", node.caller.text()},
        {"node.operators", node.operators.text()},
        {"node.region", m_options.region},
        {"node.domain", node.place.domain},
        {"target.service", node.place.service},
        {"target.address", node.target.text()},
        {"platform.tables", node.platform.text()},
        {"platform.objects", node.platform.text()},
        {"platform.hosts", node.platform.text()}};
    if (node.advertise_rpc.port != 0)
    {
        all["node.advertise_rpc"] = node.advertise_rpc.text();
        all["node.advertise_peer"] = node.advertise_peer.text();
    }
    std::string seeds;
    // The first start, which only allocates the ports, must not join the mesh.
    const bool joins_mesh =
        !m_options.with_faultproxy || node.advertise_rpc.port != 0;
    for (std::size_t i = 0; i < std::min(seed_count + 1, m_nodes.size()); ++i)
        if (joins_mesh && i != index && m_nodes[i].advertise_rpc.port != 0)
            seeds +=
                (seeds.empty() ? "" : ", ") + m_nodes[i].advertise_rpc.text();
    all["mesh.seeds"] = "[" + seeds + "]";
    for (const auto& [path, value] : m_options.settings)
        all[path] = value;
    std::map<std::string, std::string> sections;
    for (const auto& [path, value] : all)
    {
        const auto dot = path.find('.');
        sections[path.substr(0, dot)] +=
            "  " + path.substr(dot + 1) + ": " + value + "\n";
    }
    std::ofstream file(m_folder + "/node-" + std::to_string(index) + ".yaml");
    for (const auto& [name, lines] : sections)
        file << name << ":\n" << lines;
}

result<void> cluster::start_node(std::size_t index, bool is_restart)
{
    auto& node = m_nodes[index];
    // The proxy needs the node's ports before the node advertises its
    // addresses, so a first short run allocates them.
    const bool needs_ports = m_options.with_faultproxy && !is_restart;
    write_settings(index);
    const auto base = m_folder + "/node-" + std::to_string(index);
    const auto launch = [&]() -> result<void>
    {
        if (auto started = node.runs.start(
                {program_folder() + "/tillerd", "--config", base + ".yaml"},
                base + ".log", {{"TILLER_TOKEN", m_token}});
            !started)
            return started;
        const auto line = node.runs.read_listening();
        if (!line)
            return line.reason();
        node.rpc = listening_address(*line, "rpc");
        node.peer = listening_address(*line, "peer");
        node.caller = listening_address(*line, "caller");
        node.operators = listening_address(*line, "operators");
        return {};
    };
    if (auto launched = launch(); !launched)
        return launched;
    if (needs_ports)
    {
        node.runs.kill();
        if (auto linked = add_links(node); !linked)
            return linked;
        write_settings(index);
        if (auto launched = launch(); !launched)
            return launched;
    }
    else if (!m_options.with_faultproxy)
    {
        node.advertise_rpc = node.rpc;
        node.advertise_peer = node.peer;
    }
    return {};
}

result<void> cluster::restart(std::size_t index)
{
    m_nodes[index].runs.kill();
    const bool is_restart = m_nodes[index].rpc.port != 0;
    return start_node(index, is_restart);
}

void cluster::register_hosts()
{
    json::array hosts;
    for (const auto& each : m_nodes)
        hosts.push_back(json::object{{"node", each.advertise_rpc.text()},
                                     {"state", "live"}});
    post(m_platform_address, "/admin/hosts", {{"hosts", std::move(hosts)}});
}

bool cluster::is_ready(std::size_t index)
{
    const auto answer = get(m_nodes[index].operators, "/ready");
    return answer && answer->at("http_status").to_number<int>() == 200;
}

bool cluster::knows_all_targets(std::size_t index)
{
    const auto shown = status(index);
    const auto running = std::ranges::count_if(
        m_nodes, [](node_process& each) { return each.runs.is_running(); });
    return !shown.empty() &&
           shown.at("targets_serving").to_number<long>() == running;
}

bool cluster::wait_until(const std::function<bool()>& holds, duration limit)
{
    const auto last = steady_clock::now() + limit;
    while (steady_clock::now() < last)
    {
        if (holds())
            return true;
        sleep_for(m_worker.io(), poll_interval);
    }
    return holds();
}

bool cluster::wait_for_version(std::int64_t wanted, duration limit)
{
    return wait_until(
        [&]
        {
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                if (m_nodes[i].runs.is_running() && version(i) < wanted)
                    return false;
            return true;
        },
        limit);
}

std::string cluster::default_table() const
{
    std::vector<row> rows;
    for (const auto& each : m_nodes)
    {
        row added;
        added.key = {each.place.service, each.place.domain};
        rows.push_back(added);
    }
    return write_csv(config_table(std::move(rows)));
}

} // namespace tillerhall::harness
