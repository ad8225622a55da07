#include "invariants.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall::bench
{

namespace json = boost::json;

invariant_checker::invariant_checker(harness::cluster& system)
    : m_system(system)
    , m_last(system.nodes().size(), 0)
{
}

void invariant_checker::check(bool holds, const std::string& what)
{
    ++m_checks;
    if (!holds)
        m_violations.push_back(what);
}

std::uint64_t invariant_checker::highest_accepted() const noexcept
{
    return m_accepted.empty() ? 0 : m_accepted.rbegin()->first;
}

void invariant_checker::accepted(std::uint64_t version,
                                 const std::string& digest)
{
    const auto known = m_accepted.try_emplace(version, digest).first;
    check(known->second == digest,
          "version " + std::to_string(version) + " was accepted twice");
}

void invariant_checker::check_nodes()
{
    for (std::size_t i = 0; i < m_last.size(); ++i)
    {
        // The short timeout keeps a paused node from delaying the checks.
        auto& node = m_system.nodes()[i];
        if (!node.runs.is_running())
            continue;
        api_client client(m_system.on().io(), node.operators);
        const auto answer =
            client.call("GET", "/v1/status", "", milliseconds(150));
        boost::system::error_code failed;
        const auto parsed =
            answer ? json::parse(answer->body, failed) : json::value{};
        if (!answer || failed || !parsed.is_object())
            continue;
        const auto& status = parsed.as_object();
        const auto version = status.at("version").to_number<std::uint64_t>();
        const std::string digest = status.at("digest").as_string().c_str();
        const auto name = "node " + node.rpc.text();
        if (version > 0)
        {
            const auto known = m_digests.try_emplace(version, digest).first;
            check(known->second == digest,
                  name + " shows other contents of version " +
                      std::to_string(version));
        }
        check(status.at("orphan_routes").to_number<int>() == 0,
              name + " has a route without its service or target");
        if (status.at("phase").as_string() != "ready")
            continue;
        check(version >= m_last[i], name + " went from version " +
                                        std::to_string(m_last[i]) +
                                        " back to " + std::to_string(version));
        m_last[i] = std::max(m_last[i], version);
    }
}

void invariant_checker::check_final_state()
{
    const auto head = static_cast<std::int64_t>(highest_accepted());
    const bool reached = m_system.wait_until(
        [&]
        {
            for (std::size_t i = 0; i < m_last.size(); ++i)
                if (m_system.version(i) < head)
                    return false;
            return true;
        },
        std::chrono::seconds(40));
    std::string behind;
    for (std::size_t i = 0; i < m_last.size() && !reached; ++i)
        if (m_system.version(i) < head)
            behind += " " + std::to_string(i) + " at " +
                      std::to_string(m_system.version(i));
    check(reached, "not every node reached version " + std::to_string(head) +
                       ":" + behind);
    check_nodes();
    const auto history =
        m_system.get(m_system.nodes()[0].operators, "/v1/history?limit=1000");
    check(history.has_value(), "the history cannot be read");
    if (!history)
        return;
    std::map<std::uint64_t, std::string> kept;
    for (const auto& each : history->at("versions").as_array())
        kept[each.at("version").to_number<std::uint64_t>()] =
            each.at("digest").as_string().c_str();
    for (const auto& [version, digest] : m_accepted)
        check(kept.contains(version) && kept[version] == digest,
              "accepted version " + std::to_string(version) +
                  " is not in the history as it was accepted");
    for (const auto& [version, digest] : m_digests)
        check(kept.contains(version) && kept[version] == digest,
              "a node showed version " + std::to_string(version) +
                  " with contents that were never accepted");
}

} // namespace tillerhall::bench
