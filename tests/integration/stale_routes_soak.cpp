/** @file Versions of the routes beside faults of nodes, of their links and of
 * the store, judged by calls at each node.
 *
 * Guards against nodes in touch that lead calls by a version that had to be
 * replaced, and against nodes that return to an older version. */
#include "node_faults.hpp"
#include "route_versions.hpp"

#include <deque>
#include <iostream>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::chrono::seconds span(24);
// At the end no fault affects all nodes, so that some are in touch.
constexpr std::chrono::seconds last_span(7);
// After a fault a node has to be in touch again.
constexpr std::chrono::seconds contact(3);
// Calls that cross on their way may be led by either version.
constexpr std::chrono::seconds downgrade_slack(1);
// So that calls of a node that does not answer end.
constexpr int time_left_ms = 1'000;

std::vector<std::string> services_of(std::size_t hosts)
{
    std::vector<std::string> made;
    for (std::size_t i = 0; i < hosts; ++i)
        made.emplace_back(i % 2 == 0 ? "beurs" : "schuur");
    return made;
}

/** A system under faults, with clients at each node. */
class soak
{
public:
    soak(worker& on, std::uint64_t seed)
        : m_system(on, services_of(host_count(12)))
        , m_random(seed)
        , m_versions(m_system)
        , m_faults(m_system, m_random)
    {
        m_system.use_deployed_heartbeats();
        m_system.link_stores();
        m_system.link_rpc();
        m_system.link_peers();
        m_versions.put();
        m_system.start();
        m_until = steady_clock::now() + span;
    }

    void play()
    {
        m_open = 1 + 2 * m_system.hosts().size();
        m_system.on().spawn([this] { put_versions(); });
        for (std::size_t i = 0; i < m_system.hosts().size(); ++i)
            for (const bool keeps_connection : {true, false})
                m_system.on().spawn([this, i, keeps_connection]
                                    { make_calls(i, keeps_connection); });
        int reporting = 1;
        m_system.on().spawn(
            [this, &reporting]
            { m_faults.send_target_reports(m_until, reporting); });
        while (steady_clock::now() < m_until)
        {
            inject();
            pause(0, 1'400);
        }
        REQUIRE(m_system.wait_until(
            [&] { return m_open == 0 && reporting + m_faults.active() == 0; }));
    }

    std::size_t calls() const { return m_calls.size(); }

    /** @return the calls at nodes in touch that show which version led them. */
    std::size_t judged() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_calls, [this](const versioned_call& each)
                                  { return is_judged(each); }));
    }

    std::vector<std::string> stale() const
    {
        std::vector<std::string> found;
        for (const auto& each : m_calls)
            if (is_judged(each) && m_versions.is_stale(each))
                found.push_back(m_versions.text_of(each));
        return found;
    }

    /** @return calls that show that a node went back to an older version. */
    std::vector<std::string> downgraded() const
    {
        struct known_version
        {
            int version = 0;
            time_point since{};
        };
        std::vector<std::string> found;
        std::vector<known_version> known(m_hosts);
        for (const auto& each : m_calls)
        {
            if (!each.tells_version())
                continue;
            const auto versions = route_versions::possible(
                each, 1, m_versions.newest_at(each.ended));
            if (versions.empty())
                continue;
            auto& newest = known[each.host];
            if (m_faults.was_started(each.host, newest.since - contact,
                                     each.ended))
                newest = {};
            if (versions.back() < newest.version &&
                each.sent > newest.since + downgrade_slack)
                found.push_back(m_versions.text_of(each) + " after " +
                                std::to_string(newest.version));
            if (versions.front() > newest.version)
                newest = {versions.front(), each.ended};
        }
        return found;
    }

private:
    void pause(std::uint64_t min_ms, std::uint64_t span_ms)
    {
        sleep_for(m_system.on().io(),
                  milliseconds(min_ms + m_random.below(span_ms)));
    }

    void put_versions()
    {
        while (steady_clock::now() < m_until)
        {
            // Mostly single changes, sometimes a burst.
            if (m_random.below(6) == 0)
                pause(100, 300);
            else
                pause(1'000, 4'000);
            m_versions.put();
        }
        --m_open;
    }

    void make_calls(std::size_t host, bool keeps_connection)
    {
        const auto entry = m_system.hosts()[host].at["caller"];
        api_client kept(m_system.on().io(), entry);
        while (steady_clock::now() < m_until)
        {
            const auto kind = static_cast<int>(m_random.below(4));
            const int added_by = kind == 3 ? 0 : m_versions.newest() - kind;
            api_client fresh(m_system.on().io(), entry);
            m_calls.push_back(m_versions.call(keeps_connection ? kept : fresh,
                                              host, std::max(0, added_by),
                                              time_left_ms));
            pause(20, 100);
        }
        --m_open;
    }

    static void reload(mesh_host& host)
    {
        if (host.node.is_running())
            host.node.send(SIGHUP);
    }

    void inject()
    {
        const bool may_affect_all = steady_clock::now() < m_until - last_span;
        const auto drawn = m_random.below(20);
        if (!may_affect_all && drawn < 11)
            reload(m_system.hosts()[m_random.below(m_system.hosts().size())]);
        else if (drawn < 4)
            silence_connections();
        else if (drawn == 4)
            m_faults.disturb_store(milliseconds(300 + m_random.below(1'200)));
        else if (drawn == 5)
            reload(m_system.hosts()[m_random.below(m_system.hosts().size())]);
        else if (drawn < 11)
            m_faults.inject_random();
        else
            m_faults.inject_link_fault();
    }

    /** Also writes a version that is due when nodes are in touch again. */
    void silence_connections()
    {
        m_faults.silence_connections();
        pause(0, 1'000);
        m_versions.put();
    }

    bool is_judged(const versioned_call& seen) const
    {
        return seen.tells_version() &&
               m_faults.in_touch(seen.host, seen.sent, contact) &&
               m_faults.in_touch(seen.host, seen.ended, contact);
    }

    mesh_system m_system;
    std::size_t m_hosts = m_system.hosts().size();
    random_source m_random;
    route_versions m_versions;
    node_faults m_faults;
    time_point m_until;
    std::deque<versioned_call> m_calls; ///< in the order of their answers
    std::size_t m_open = 0;
};

} // namespace

TEST_CASE("nodes in touch lead calls by versions that may be in force")
{
    for_each_seed(2,
                  [](worker& on, std::uint64_t seed)
                  {
                      soak run(on, seed);
                      run.play();
                      const auto stale = run.stale();
                      const auto downgraded = run.downgraded();
                      std::cout << "seed " << seed << ": " << run.calls()
                                << " calls, " << run.judged() << " judged, "
                                << stale.size() << " by an old version, "
                                << downgraded.size() << " after a newer one"
                                << std::endl;
                      INFO("seed " << seed);
                      CHECK(stale == std::vector<std::string>());
                      CHECK(downgraded == std::vector<std::string>());
                      CHECK(run.judged() > 0);
                  });
}
