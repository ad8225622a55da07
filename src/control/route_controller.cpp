#include "tillerhall/control/route_controller.hpp"
#include "tillerhall/node/messages.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <ranges>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

// A feed whose answer was lost says nothing more. A wait of this length and
// the client's margin find that out within the 3 s after which a host counts
// as in touch with the store again.
constexpr milliseconds feed_wait(2'000);
// The row holds the newest version only: in a storm of changes each is
// outdated by the next, so a follower rests before it asks again. This
// leaves more than half of the 2 s that a change may take.
constexpr milliseconds rest_after_change(800);
constexpr milliseconds least_wait(100);
constexpr milliseconds most_wait(800);
// The feed brings a version to this node about when it does to its peers.
constexpr milliseconds peer_grace(300);
constexpr milliseconds pull_timeout(1'000);

} // namespace

route_controller::route_controller(mesh_state& mesh,
                                   row_store& store,
                                   route_source source)
    : m_mesh(mesh)
    , m_store(store)
    , m_source(std::move(source))
    , m_waits(least_wait, most_wait)
{
}

void route_controller::add_methods()
{
    m_mesh.server.add(method::routes, traffic_kind::snapshot,
                      [this](const json::object& p) { return on_routes(p); });
    m_mesh.routes_heard = [this](std::uint64_t version, const address& peer)
    { heard_of(version, peer); };
}

void route_controller::start()
{
    m_mesh.on.spawn([this] { follow_loop(); });
}

void route_controller::note_store(const error* failed)
{
    const bool lost = failed != nullptr;
    if (lost == m_store_lost)
        return;
    m_store_lost = lost;
    m_mesh.board.decisions.note(
        lost ? "store_lost" : "store_regained", "routes",
        lost ? failed->message() : "the store answers again",
        {{"version", m_mesh.board.call_map.get()->version()}});
}

void route_controller::follow_loop()
{
    auto next = step::read;
    while (true)
    {
        switch (next == step::read ? read_row() : follow_once())
        {
        case outcome::failed:
            next = step::read;
            sleep_for(m_mesh.on.io(), m_waits.next(m_mesh.random));
            break;
        case outcome::changed:
            // The row holds the newest version; a feed would bring each one
            // of a storm, so after a rest the row is read instead.
            next = step::read;
            m_waits.reset();
            sleep_for(m_mesh.on.io(), rest_after_change);
            break;
        case outcome::unchanged:
            next = step::follow;
            m_waits.reset();
            break;
        }
    }
}

route_controller::outcome route_controller::read_row()
{
    const auto page =
        m_store.read(m_source.row.table, m_source.row.part, m_source.row.key);
    note_store(page ? nullptr : &page.reason());
    if (!page)
        return outcome::failed;
    m_revision = page->revision;
    return take_last(*page);
}

route_controller::outcome route_controller::follow_once()
{
    const auto page = m_store.follow(m_source.row.table, m_revision, feed_wait);
    if (!page && page.reason().code() == error_code::history_lost)
        return read_row();
    note_store(page ? nullptr : &page.reason());
    if (!page)
        return outcome::failed;
    m_revision = std::max(m_revision, page->revision);
    return take_last(*page);
}

route_controller::outcome route_controller::take_last(const row_page& page)
{
    // A feed brings every change in its order; only the last one counts.
    const auto changes = page.rows | std::views::reverse;
    const auto last =
        std::ranges::find(changes, m_source.row, &stored_row::name);
    if (last == changes.end() || last->removed ||
        last->revision == m_taken_revision)
        return outcome::unchanged;
    m_taken_revision = last->revision;
    take(last->value, "store");
    return outcome::changed;
}

void route_controller::take(const std::string& value, const char* from)
{
    const auto routes = m_source.decode(value);
    auto& board = m_mesh.board;
    const auto before = board.call_map.get()->version();
    if (!routes)
    {
        board.decisions.note("routes_refused", from, routes.reason().message(),
                             {{"in_force", before}, {"bytes", value.size()}});
        return;
    }
    const auto version = (*routes)->version();
    if (version <= before)
    {
        if (version < before)
            board.decisions.note("routes_refused", from, "an older version",
                                 {{"in_force", before}, {"offered", version}});
        return;
    }
    m_value = value;
    board.call_map.set(*routes);
    board.metrics.get("tillerhall_routes_version")
        .set(static_cast<std::int64_t>(version));
    board.decisions.note("routes_applied", from, "a higher version",
                         {{"before", before},
                          {"version", version},
                          {"routes", (*routes)->routes().size()}});
}

void route_controller::heard_of(std::uint64_t version, const address& peer)
{
    if (m_pulling || version <= m_mesh.board.call_map.get()->version())
        return;
    m_pulling = true;
    m_mesh.on.spawn(
        [this, version, peer]
        {
            if (known())
                sleep_for(m_mesh.on.io(), peer_grace);
            if (version > m_mesh.board.call_map.get()->version())
                pull(peer);
            m_pulling = false;
        });
}

bool route_controller::pull(const address& peer)
{
    const auto version = m_mesh.board.call_map.get()->version();
    const auto answer = m_mesh.pool.call({peer,
                                          traffic_kind::snapshot,
                                          method::routes,
                                          {{"v", version}},
                                          pull_timeout});
    if (!answer)
        return false;
    const auto* value = answer->if_contains("c");
    if (value != nullptr && value->is_string())
        take(std::string(value->as_string()), "peer");
    return true;
}

json::object route_controller::on_routes(const json::object& params)
{
    const auto theirs = json::value_to<std::uint64_t>(params.at("v"));
    if (theirs >= m_mesh.board.call_map.get()->version())
        return {};
    return {{"c", m_value}};
}

} // namespace tillerhall
