#include "tillerhall/control/directory_controller.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds least_wait(150);
constexpr milliseconds most_wait(1'000);
// Peers hear of changes by heartbeat, too, so a feed that went silent may be
// found out late here.
constexpr milliseconds feed_wait(8'000);
// Changes come in bursts (a start of all, a release): one read for many. The
// nodes tell each other of a change at once; the rows are the net below that.
constexpr milliseconds rest_after_change(2'000);

} // namespace

directory_controller::directory_controller(mesh_state& mesh,
                                           membership_controller& membership,
                                           row_store& store,
                                           directory_settings config)
    : m_mesh(mesh)
    , m_membership(membership)
    , m_store(store)
    , m_config(std::move(config))
    , m_waits(least_wait, most_wait)
{
}

std::string directory_controller::part_of(const address& node) const
{
    return std::to_string(stable_hash(node.text()) % m_config.parts);
}

row_name directory_controller::own_row() const
{
    const auto& self = m_mesh.members.self().rpc;
    return {m_config.table, part_of(self), self.text()};
}

void directory_controller::start(std::function<void()> loaded)
{
    m_on_loaded = std::move(loaded);
    m_mesh.on.spawn([this] { load_loop(); });
}

void directory_controller::set_loaded(const char* from)
{
    if (m_loaded)
        return;
    m_loaded = true;
    m_mesh.board.decisions.note("members_known", from, "first read",
                                {{"members", m_mesh.members.live_count()}});
    m_on_loaded();
}

void directory_controller::load_loop()
{
    backoff waits(least_wait, most_wait);
    while (!load_rows())
    {
        if (!m_loaded && ask_peers())
            set_loaded("peer");
        sleep_for(m_mesh.on.io(), waits.next(m_mesh.random));
    }
    m_rows_read = true;
    set_loaded("store");
    own_record_changed();
    follow_loop();
}

bool directory_controller::ask_peers()
{
    std::vector<address> peers;
    for (const auto& each : m_mesh.members.all())
        if (each.rpc != m_mesh.members.self().rpc)
            peers.push_back(each.rpc);
    return !peers.empty() && m_membership.join_through(peers);
}

bool directory_controller::load_rows()
{
    auto oldest = UINT64_MAX;
    for (std::size_t part = 0; part < m_config.parts; ++part)
        if (!load_part(std::to_string(part), oldest))
            return false;
    // Changes since the oldest of the reads come again with the feed.
    m_revision = oldest;
    return true;
}

bool directory_controller::load_part(const std::string& part,
                                     std::uint64_t& oldest)
{
    std::string from;
    while (true)
    {
        const auto page = m_store.read(m_config.table, part, from);
        if (!page)
        {
            m_mesh.board.decisions.note("members_not_read", "store",
                                        page.reason().message());
            return false;
        }
        oldest = std::min(oldest, page->revision);
        take(page->rows);
        if (!page->more || page->rows.empty())
            return true;
        from = page->rows.back().name.key + ' '; // the least key behind it
    }
}

void directory_controller::take(const std::vector<stored_row>& rows)
{
    std::vector<member> records;
    const auto own = own_row();
    for (const auto& each : rows)
    {
        if (each.name == own)
            m_own_revision = std::max(m_own_revision, each.revision);
        if (each.removed)
            continue;
        boost::system::error_code failed;
        const auto value = json::parse(each.value, failed);
        const auto read =
            failed
                ? result<member>(error(error_code::bad_syntax, each.name.key))
                : member_from_json(value);
        if (read)
            records.push_back(*read);
        else
            m_mesh.board.decisions.note("member_row_refused", each.name.key,
                                        read.reason().message());
    }
    // Merging a row of an earlier boot raises this boot's incarnation and
    // keeps its marks. Once this boot has written, the row is its own.
    if (m_written != 0)
        std::erase_if(records, [&](const member& each)
                      { return each.rpc == m_mesh.members.self().rpc; });
    m_membership.learn(records);
}

void directory_controller::follow_loop()
{
    while (true)
    {
        const auto page = m_store.follow(m_config.table, m_revision, feed_wait);
        if (page)
        {
            m_waits.reset();
            m_revision = std::max(m_revision, page->revision);
            take(page->rows);
            if (!page->rows.empty())
                sleep_for(m_mesh.on.io(), rest_after_change);
            continue;
        }
        if (page.reason().code() == error_code::history_lost && load_rows())
            continue;
        sleep_for(m_mesh.on.io(), m_waits.next(m_mesh.random));
    }
}

void directory_controller::own_record_changed()
{
    if (m_writing || !m_rows_read)
        return;
    m_writing = true;
    m_mesh.on.spawn([this] { write_loop(); });
}

void directory_controller::write_loop()
{
    backoff waits(least_wait, most_wait);
    while (m_written != m_mesh.members.self().incarnation && !write_once())
        sleep_for(m_mesh.on.io(), waits.next(m_mesh.random));
    m_writing = false;
    // A change that came while the last write was on its way.
    if (m_written != m_mesh.members.self().incarnation)
        own_record_changed();
}

bool directory_controller::write_once()
{
    const auto self = m_mesh.members.self();
    const auto outcome = m_store.write(
        {own_row(), m_own_revision, json::serialize(to_json(self))});
    if (!outcome)
    {
        m_mesh.board.decisions.note("own_row_not_written", "store",
                                    outcome.reason().message());
        return false;
    }
    m_own_revision = outcome->revision;
    if (!outcome->written)
        return false; // an earlier write was done late; try on top of it
    m_written = self.incarnation;
    return true;
}

} // namespace tillerhall
