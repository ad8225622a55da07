/** @file Tests of account quotas over all nodes, simulated without a network.
 *
 * In any window of 5 s an account's calls that reach targets must exceed what
 * its rate and burst allow by at most a tenth plus twenty calls; below its
 * quota calls should not be refused. */
#include "tillerhall/core/random.hpp"
#include "tillerhall/quota/quota_gate.hpp"
#include "tillerhall/quota/quota_ledger.hpp"
#include "tillerhall/quota/quota_limit_changes.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>

using namespace tillerhall;

namespace
{

const time_point start{std::chrono::hours(1)};
constexpr milliseconds step_length{10};
constexpr double steps_per_s = 100;
constexpr int report_steps = 25;   // between reports of an entry
constexpr int exchange_steps = 25; // between exchanges of ledgers
constexpr int transit_steps = 1;   // of a message
constexpr int window_steps = 500;

client_account account_of(double per_s, double burst)
{
    client_account made;
    made.name = "bakkerij";
    made.quota = {per_s, burst};
    return made;
}

/** Entries in four failure domains with a ledger each. */
class simulated_mesh
{
public:
    simulated_mesh(std::uint64_t seed,
                   std::size_t entries,
                   const client_account& account)
        : m_random(seed)
        , m_account(account)
    {
        for (std::size_t i = 0; i < entries; ++i)
            m_entries.push_back(
                {quota_gate({}, m_random()), m_random.below(25)});
        for (std::size_t i = 0; i < domains; ++i)
            restart_ledger(i);
    }

    /** Simulates calls at @p per_s over all entries; the first entry gets
     * @p skew times the share of the others. */
    void run(int steps, double per_s, double skew = 1)
    {
        for (int i = 0; i < steps; ++i, ++m_step)
        {
            m_admitted.push_back(0);
            const double total_share =
                skew + static_cast<double>(m_entries.size()) - 1;
            for (std::size_t e = 0; e < m_entries.size(); ++e)
                call(e,
                     per_s / steps_per_s * (e == 0 ? skew : 1) / total_share);
            for (std::size_t e = 0; e < m_entries.size(); ++e)
                if ((m_step + m_entries[e].offset) % report_steps == 0)
                    report(e);
            if (m_step % exchange_steps == 0)
                exchange();
            deliver();
        }
    }

    /** Replaces the ledger of a domain by one without counts. */
    void restart_ledger(std::size_t domain)
    {
        m_ledgers.resize(domains);
        m_ledgers[domain] = ledger_state();
        m_ledgers[domain].ledger.set_accounts({m_account}, now());
    }

    void change_quota(const client_account& account)
    {
        m_account = account;
        for (auto& each : m_ledgers)
            each.ledger.set_accounts({account}, now());
    }

    void cut_off(std::size_t index) { m_entries[index].is_cut_off = true; }

    /** @return the most calls admitted in a window, from step @p first on. */
    double max_admitted(int first = 0) const
    {
        double greatest = 0;
        double sum = 0;
        for (std::size_t i = static_cast<std::size_t>(first);
             i < m_admitted.size(); ++i)
        {
            sum += m_admitted[i];
            if (i >= static_cast<std::size_t>(first + window_steps))
                sum -= m_admitted[i - window_steps];
            greatest = std::max(greatest, sum);
        }
        return greatest;
    }

    int steps() const { return m_step; }
    double requested() const { return m_requested; }
    double admitted_calls() const
    {
        double sum = 0;
        for (const auto each : m_admitted)
            sum += each;
        return sum;
    }

    static double limit_of(const client_account& account)
    {
        const auto& quota = account.quota;
        return (quota.per_s * 5 + quota.burst) * 1.1 + 20;
    }

private:
    static constexpr std::size_t domains = 4;

    struct entry
    {
        quota_gate gate;
        std::uint64_t offset = 0;
        bool is_cut_off = false;
    };
    struct ledger_state
    {
        quota_ledger ledger;
        quota_limit_changes changes;
        std::int64_t asked = 0;
        std::int64_t admitted = 0;
    };
    struct limits_message
    {
        int due = 0;
        std::vector<quota_limit> limits;
        std::size_t entry = 0;
    };

    time_point now() const { return start + step_length * m_step; }

    void call(std::size_t index, double expected)
    {
        auto calls = static_cast<int>(expected);
        if (m_random.unit() < expected - calls)
            ++calls;
        for (; calls > 0; --calls)
        {
            ++m_requested;
            if (!m_entries[index].gate.admit(m_account, m_entries.size(),
                                             now()))
                m_admitted.back() += 1;
        }
    }

    void report(std::size_t index)
    {
        auto& from = m_entries[index];
        const auto due = from.gate.take_due_counts();
        if (!due)
            return;
        const auto& counts = *due;
        if (from.is_cut_off)
        {
            from.gate.restore(counts);
            from.gate.note_unanswered(now());
            return;
        }
        auto& to = m_ledgers[index % domains];
        to.ledger.add(counts, now());
        for (const auto& each : counts)
        {
            to.asked += each.asked;
            to.admitted += each.admitted;
        }
        m_messages.push_back(
            {m_step + transit_steps, to.ledger.limits(now()), index});
        announce(index % domains);
    }

    /** Sends limits to all entries of a domain if they must be announced. */
    void announce(std::size_t domain)
    {
        auto& from = m_ledgers[domain];
        const auto limits = from.ledger.limits(now());
        if (!from.changes.take(limits, now()))
            return;
        for (std::size_t i = domain; i < m_entries.size(); i += domains)
            if (!m_entries[i].is_cut_off)
                m_messages.push_back({m_step + transit_steps, limits, i});
    }

    void exchange()
    {
        for (std::size_t from = 0; from < domains; ++from)
        {
            auto& own = m_ledgers[from];
            quota_counts sums{m_account.name, own.asked, own.admitted,
                              own.ledger.level(m_account.name, now())};
            own.asked = own.admitted = 0;
            for (std::size_t to = 0; to < domains; ++to)
                if (to != from && sums.asked != 0)
                {
                    m_ledgers[to].ledger.add({sums}, now());
                    announce(to);
                }
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.front().due <= m_step)
        {
            m_entries[m_messages.front().entry].gate.set_limits(
                m_messages.front().limits);
            m_messages.pop_front();
        }
    }

    random_source m_random;
    client_account m_account;
    std::vector<entry> m_entries;
    std::vector<ledger_state> m_ledgers;
    std::deque<limits_message> m_messages;
    std::vector<double> m_admitted; ///< by step
    double m_requested = 0;
    int m_step = 0;
};

} // namespace

TEST_CASE("an account far above its quota is limited to it")
{
    for (const std::size_t entries : {3U, 75U, 1'000U})
        for (const double rate : {4.0, 60.0, 600.0})
            for (std::uint64_t seed = 1; seed <= 6; ++seed)
            {
                const auto account = account_of(rate, rate);
                simulated_mesh mesh(seed, entries, account);
                const double skew = seed % 2 == 0 ? 20 : 1;
                mesh.run(600, rate * 0.6, skew);
                mesh.run(1'500, rate * 6, skew);
                mesh.run(600, rate * 0.6, skew);
                CAPTURE(entries, rate, seed);
                CHECK(mesh.max_admitted() <= simulated_mesh::limit_of(account));
                // At least nine tenths of the quota are used meanwhile.
                CHECK(mesh.admitted_calls() >= rate * 0.9 * 15);
            }
}

TEST_CASE("an account below its quota is not refused")
{
    for (const std::size_t entries : {3U, 75U, 1'000U})
        for (const double rate : {4.0, 60.0, 600.0})
        {
            simulated_mesh mesh(7, entries, account_of(rate, rate));
            mesh.run(3'000, rate * 0.62);
            CAPTURE(entries, rate);
            CHECK(mesh.admitted_calls() >= mesh.requested() * 0.999);
        }
}

TEST_CASE("the overage holds when a ledger restarts during a surge")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        const auto account = account_of(100, 100);
        simulated_mesh mesh(seed, 75, account);
        mesh.run(300, 60);
        mesh.run(400, 600);
        mesh.restart_ledger(seed % 4);
        mesh.run(800, 600);
        CHECK(mesh.max_admitted() <= simulated_mesh::limit_of(account));
    }
}

TEST_CASE("the overage holds while entries reach no ledger")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        const auto account = account_of(100, 100);
        simulated_mesh mesh(seed, 75, account);
        mesh.run(300, 60);
        for (std::size_t i = 0; i < 12; ++i)
            mesh.cut_off(i);
        mesh.run(300, 60);
        mesh.run(1'200, 600);
        CHECK(mesh.max_admitted() <= simulated_mesh::limit_of(account));
    }
}

TEST_CASE("a lower quota takes effect within a window")
{
    simulated_mesh mesh(3, 75, account_of(200, 200));
    mesh.run(1'000, 800);
    const auto lower = account_of(50, 50);
    mesh.change_quota(lower);
    mesh.run(1'500, 800);
    CHECK(mesh.max_admitted(1'000 + window_steps) <=
          simulated_mesh::limit_of(lower));
}

TEST_CASE("calls that did not run are not counted as admitted")
{
    quota_gate gate({}, 1);
    const auto account = account_of(10, 10);
    CHECK_FALSE(gate.admit(account, 3, start));
    gate.give_back(account);
    const auto counts = gate.take_counts();
    REQUIRE(counts.size() == 1);
    CHECK(counts.front().asked == 1);
    CHECK(counts.front().admitted == 0);
}

TEST_CASE("retries of refused calls wait for tokens and are spread")
{
    quota_gate gate({}, 1);
    gate.set_limits({{"bakkerij", 0, std::chrono::seconds(1), 3}});
    std::vector<duration> delays;
    for (int i = 0; i < 200; ++i)
        delays.push_back(*gate.admit(account_of(10, 10), 3, start));
    CHECK(*std::ranges::min_element(delays) >= std::chrono::seconds(1));
    CHECK(*std::ranges::max_element(delays) > std::chrono::milliseconds(3'500));
    CHECK(*std::ranges::max_element(delays) <= std::chrono::seconds(5));
}
