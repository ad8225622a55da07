#include "tillerhall/node/source_controller.hpp"
#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/table/csv.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

constexpr milliseconds min_join_wait(100);
constexpr milliseconds max_join_wait(5000);
// A reader waits this long for a push before it reads a new version itself.
constexpr milliseconds push_grace(300);
// A node that isn't a reader reads the source itself after this many polls
// without a read by any node.
constexpr int polls_before_reading = 5;
// Up to this many versions behind, version records are read instead of the
// table.
constexpr std::uint64_t max_records_read = 4;
// The host list changes rarely, so only one in this many reads of the head also
// reads it.
constexpr unsigned reads_per_host_list = 30;

} // namespace

source_controller::source_controller(mesh_state& mesh,
                                     distribution_controller& tables,
                                     membership_controller& membership,
                                     table_store& store,
                                     host_list& hosts)
    : m_mesh(mesh)
    , m_tables(tables)
    , m_membership(membership)
    , m_store(store)
    , m_hosts(hosts)
    , m_rate_limiter(static_cast<double>(mesh.config.source_reads_per_s),
                     static_cast<double>(mesh.config.source_reads_per_s))
{
}

void source_controller::start()
{
    m_mesh.on.spawn([this] { join_loop(); });
}

bool source_controller::is_caught_up() const
{
    const auto version = m_tables.current()->version();
    if (version < m_tables.greatest_seen())
        return false;
    return version > 0 || m_source_is_empty;
}

void source_controller::join_loop()
{
    backoff waits(min_join_wait, max_join_wait);
    while (!try_join())
        sleep_for(m_mesh.on.io(), waits.next(m_mesh.random));
    auto joining = node_phase::joining;
    m_mesh.board.phase.compare_exchange_strong(joining, node_phase::ready);
    m_mesh.board.decisions.note("ready", m_mesh.members.self().rpc.text(),
                                "has the newest table",
                                {{"version", m_tables.current()->version()},
                                 {"members", m_mesh.members.live_count()}});
    read_loop();
}

bool source_controller::try_join()
{
    auto peers = m_mesh.config.seeds;
    for (const auto& each : m_mesh.members.all())
        if (each.rpc != m_mesh.members.self().rpc)
            peers.push_back(each.rpc);
    std::ranges::shuffle(peers, m_mesh.random);
    const bool joined = m_membership.join_through(peers);
    if (joined && m_tables.current()->version() > 0)
        return is_caught_up();
    if (joined && is_recently_read())
        m_source_is_empty = true; // else the peers would have a table
    else
    {
        // No peer has a table, so it is read from the source, rate limited.
        if (!joined)
            read_hosts();
        read_source();
    }
    return is_caught_up();
}

bool source_controller::is_recently_read()
{
    const auto age = m_membership.freshness().age_ms(steady_clock::now());
    return age >= 0 && age <= polls_before_reading * m_mesh.config.poll_ms;
}

bool source_controller::may_read()
{
    const auto now = steady_clock::now();
    return m_breaker.allows(now) && m_rate_limiter.take(now);
}

void source_controller::note_outcome(const error* failed)
{
    auto& metrics = m_mesh.board.metrics;
    metrics
        .get("tillerhall_source_reads_total",
             failed == nullptr ? "outcome=\"ok\"" : "outcome=\"failed\"")
        .add();
    if (failed == nullptr)
    {
        if (m_breaker.succeeded())
            m_mesh.board.decisions.note("breaker_closed", "source",
                                        "the source answers again");
        m_membership.freshness().note_read(steady_clock::now());
    }
    else if (m_breaker.failed(steady_clock::now(), m_mesh.random))
        m_mesh.board.decisions.note("breaker_opened", "source",
                                    failed->detail());
    metrics.get("tillerhall_source_breaker_open")
        .set(m_breaker.is_open() ? 1 : 0);
}

void source_controller::read_hosts()
{
    if (!may_read())
        return;
    const auto hosts = m_hosts.read();
    if (!hosts)
        return note_outcome(&hosts.reason());
    std::vector<address> nodes;
    for (const auto& each : *hosts)
        if (!each.leaving && each.node != m_mesh.members.self().rpc)
            nodes.push_back(each.node);
    std::ranges::shuffle(nodes, m_mesh.random);
    m_membership.contact_unknown(nodes);
    if (m_mesh.board.phase == node_phase::joining)
        m_membership.join_through(nodes);
}

bool source_controller::should_read()
{
    if (m_tables.strategy().polling() != source_polling::none)
        return true;
    const auto per_domain =
        static_cast<std::size_t>(m_mesh.config.readers_per_domain);
    if (is_reader(m_mesh.members, per_domain))
        return true;
    // The jitter lets one node read first, so that the others learn of its read
    // before they start reading, too.
    const auto poll = m_mesh.config.poll_ms;
    const auto jitter = static_cast<std::int64_t>(
        m_mesh.random.below(static_cast<std::uint64_t>(20 * poll)));
    const auto age = m_membership.freshness().age_ms(steady_clock::now());
    return age > polls_before_reading * poll + jitter;
}

void source_controller::read_loop()
{
    while (true)
    {
        const auto poll = m_mesh.config.poll_ms;
        const auto jitter =
            m_mesh.random.below(static_cast<std::uint64_t>(poll / 5 + 1));
        sleep_for(
            m_mesh.on.io(),
            milliseconds(poll - poll / 10 + static_cast<std::int64_t>(jitter)));
        const bool reads = should_read();
        if (reads != m_is_reader)
            m_mesh.board.decisions.note(reads ? "became_reader"
                                              : "stopped_reading",
                                        "source", "chosen by rendezvous hash");
        m_is_reader = reads;
        if (!reads)
            continue;
        read_source();
        if (m_tables.strategy().polling() == source_polling::none &&
            ++m_reads_since_hosts % reads_per_host_list == 0)
            read_hosts();
    }
}

void source_controller::read_source()
{
    if (!may_read())
        return;
    const auto head = m_store.read_head();
    note_outcome(head ? nullptr : &head.reason());
    if (!head)
        return;
    m_source_is_empty = head->version == 0;
    m_tables.note_version(head->version);
    const bool reads_whole_table =
        m_tables.strategy().polling() == source_polling::whole_each_node;
    if (reads_whole_table && head->version > 0)
        return read_table(*head);
    if (head->version > m_tables.current()->version())
        read_new_versions(*head);
}

void source_controller::read_new_versions(const table_head& head)
{
    const bool pushed = m_tables.strategy().polling() == source_polling::none;
    const auto before_wait = m_tables.current()->version();
    if (pushed && before_wait > 0)
        sleep_for(m_mesh.on.io(), push_grace);
    const auto current = m_tables.current()->version();
    if (head.version <= current)
        return;
    if (head.version - current > max_records_read || current == 0)
        return read_table(head);
    for (auto version = current + 1; version <= head.version; ++version)
    {
        const auto record = m_store.read_version(version);
        note_outcome(record ? nullptr : &record.reason());
        if (!record)
            return;
        deliver({record->version, record->digest, record->parent_digest,
                 record->accepted_us, record->changes, std::nullopt});
    }
}

void source_controller::read_table(const table_head& head)
{
    const auto table = m_store.read_table(head.digest);
    note_outcome(table ? nullptr : &table.reason());
    if (!table)
        return;
    std::int64_t accepted_us = 0;
    if (head.version > m_tables.current()->version())
        if (const auto record = m_store.read_version(head.version))
            accepted_us = record->accepted_us;
    deliver({head.version, head.digest, "", accepted_us, std::nullopt,
             write_csv(*table)});
}

void source_controller::deliver(const table_update& update)
{
    // The strategy decides to whom the version is sent.
    if (update.version > m_tables.current()->version())
        m_tables.distribute(update);
}

} // namespace tillerhall
