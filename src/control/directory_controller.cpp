#include "tillerhall/control/directory_controller.hpp"

#include "tillerhall/core/await.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds min_wait(150);
constexpr milliseconds max_wait(1'000);
// A lost feed may be detected late, since nodes also exchange changes directly.
constexpr milliseconds feed_wait(8'000);
constexpr milliseconds reader_check_interval(1'000);
// A peer's answer adds state that is not in the rows (which targets take work).
// The wait is short, because after a power loss peers are starting too and this
// node would refuse calls meanwhile.
constexpr milliseconds join_wait(60);
// Changes come in bursts (start of all nodes, a release), so one read covers
// many. Nodes exchange changes directly; the rows are the fallback.
constexpr milliseconds pause_after_change(2'000);

/** Returns true if @p row has all persistent fields of @p self. */
bool has_persistent_fields(const member& row, const member& self)
{
    return row.rpc == self.rpc && row.peer == self.peer &&
           row.caller == self.caller && row.operators == self.operators &&
           row.place == self.place && row.service == self.service &&
           row.link_mbps == self.link_mbps &&
           row.target_crashes == self.target_crashes &&
           row.good_runs == self.good_runs &&
           std::ranges::all_of(self.departed_targets,
                               [&](const std::string& id)
                               {
                                   return std::ranges::find(
                                              row.departed_targets, id) !=
                                          row.departed_targets.end();
                               });
}

} // namespace

directory_controller::directory_controller(mesh_state& mesh,
                                           membership_controller& membership,
                                           row_store& store,
                                           directory_settings config)
    : m_mesh(mesh)
    , m_membership(membership)
    , m_store(store)
    , m_config(std::move(config))
    , m_waits(min_wait, max_wait)
    , m_write_waits(min_wait, max_wait)
    , m_pace(static_cast<double>(mesh.config.part_writes_per_s))
    , m_write_wait(mesh.on.io())
{
}

row_name directory_controller::own_row() const
{
    return {m_config.table, "", m_mesh.members.self().rpc.text()};
}

bool directory_controller::own_record_stored() const
{
    return m_stored && has_persistent_fields(*m_stored, m_mesh.members.self());
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
    backoff waits(min_wait, max_wait);
    while (!load_rows())
    {
        if (!m_loaded && ask_peers())
            set_loaded("peer");
        sleep_for(m_mesh.on.io(), waits.next(m_mesh.random));
    }
    m_rows_read = true;
    own_record_changed();
    if (!m_loaded)
    {
        m_mesh.on.spawn(
            [this]
            {
                ask_peers();
                set_loaded("store");
            });
        sleep_for(m_mesh.on.io(), join_wait);
        set_loaded("store");
    }
    follow_loop();
}

bool directory_controller::ask_peers()
{
    std::vector<address> peers;
    for (const auto& each : m_mesh.members.all())
        if (each.rpc != m_mesh.members.self().rpc)
            peers.push_back(each.rpc);
    // Random order spreads the requests when all nodes start together.
    std::ranges::shuffle(peers, m_mesh.random);
    // One answer is enough once the rows are read; answers carry all records
    // and are costly for both sides.
    return !peers.empty() &&
           m_membership.join_through(
               peers, m_rows_read ? 1 : membership_controller::peers_asked);
}

bool directory_controller::load_rows()
{
    // Following from the first page's revision repeats later changes.
    std::optional<std::uint64_t> first_revision;
    std::string from;
    while (true)
    {
        const auto page = m_store.read(m_config.table, "", from);
        if (!page)
        {
            m_mesh.board.decisions.note("members_not_read", "store",
                                        page.reason().message());
            return false;
        }
        if (!first_revision)
            first_revision = page->revision;
        merge_rows(page->rows);
        if (!page->more || page->rows.empty())
            break;
        from = page->rows.back().name.key + ' '; // the smallest key after it
    }
    m_revision = *first_revision;
    return true;
}

void directory_controller::merge_rows(const std::vector<stored_row>& rows)
{
    std::vector<member> records;
    const auto own = own_row();
    for (const auto& each : rows)
    {
        if (each.removed)
            continue;
        boost::system::error_code failed;
        const auto value = json::parse(each.value, failed);
        const auto read =
            failed
                ? result<member>(error(error_code::bad_syntax, each.name.key))
                : member_from_json(value);
        if (!read)
            m_mesh.board.decisions.note("member_row_refused", each.name.key,
                                        read.reason().message());
        else if (each.name == own)
            merge_own_row(each, *read);
        else
            records.push_back(*read);
    }
    m_membership.merge_stored(records);
}

void directory_controller::merge_own_row(const stored_row& row,
                                         const member& record)
{
    if (row.revision < m_own_revision)
        return; // older than this boot's own write
    m_own_revision = row.revision;
    m_stored = record;
    // Adopts the departure records of earlier boots and raises the incarnation
    // above theirs.
    m_membership.merge_stored({record});
}

bool directory_controller::should_follow() const
{
    return m_config.is_reader();
}

void directory_controller::follow_loop()
{
    while (true)
    {
        if (!should_follow())
        {
            sleep_for(m_mesh.on.io(), reader_check_interval);
            continue;
        }
        const auto page = m_store.follow(m_config.table, m_revision, feed_wait);
        if (page)
        {
            m_waits.reset();
            m_revision = std::max(m_revision, page->revision);
            merge_rows(page->rows);
            if (!page->rows.empty())
                sleep_for(m_mesh.on.io(), pause_after_change);
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

void directory_controller::write_now()
{
    m_is_urgent = true;
    m_write_wait.cancel();
    own_record_changed();
}

void directory_controller::wait_before_write(duration span)
{
    if (m_is_urgent)
        span = std::min<duration>(span, min_wait);
    m_write_wait.expires_after(span);
    boost::system::error_code woken;
    m_write_wait.async_wait(await{woken});
}

duration directory_controller::retry_wait(const error& failed)
{
    return failed.code() == error_code::retry_later
               ? m_pace.delay_after_refusal(m_mesh.members.live_count(),
                                            m_mesh.random)
               : m_write_waits.next(m_mesh.random);
}

void directory_controller::write_loop()
{
    // A node that knows no peers is found by its row only, so it writes at
    // once.
    const auto known = m_mesh.members.live_count();
    if (!m_has_written && !own_record_stored() && known > 1)
        wait_before_write(m_pace.initial_delay(known, m_mesh.random));
    m_has_written = true;
    while (!own_record_stored() && !write_once())
        ;
    m_writing = false;
    m_is_urgent = false;
    // The record changed while the last write was in progress.
    if (!own_record_stored())
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
        wait_before_write(retry_wait(outcome.reason()));
        return false;
    }
    m_pace.accepted();
    const bool is_new = m_own_revision == 0;
    m_own_revision = outcome->revision;
    if (!outcome->written)
    {
        // An earlier write was applied late; retry with its revision.
        wait_before_write(m_write_waits.next(m_mesh.random));
        return false;
    }
    m_write_waits.reset();
    m_stored = self;
    if (is_new)
        m_mesh.on.spawn([this] { reread_until_done(); });
    return true;
}

void directory_controller::reread_until_done()
{
    backoff waits(min_wait, max_wait);
    while (!read_changes())
        sleep_for(m_mesh.on.io(), waits.next(m_mesh.random));
}

bool directory_controller::read_changes()
{
    const auto page =
        m_store.follow(m_config.table, m_revision, duration::zero());
    if (!page)
        return page.reason().code() == error_code::history_lost && load_rows();
    if (page->more)
        return load_rows();
    m_revision = std::max(m_revision, page->revision);
    merge_rows(page->rows);
    return true;
}

} // namespace tillerhall
