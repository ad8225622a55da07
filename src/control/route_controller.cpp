#include "tillerhall/control/route_controller.hpp"
#include "tillerhall/core/packing.hpp"
#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/node/messages.hpp"
#include "tillerhall/node/range_send.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <ranges>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

// Short enough that a feed with a lost answer is detected before the 3 s after
// which a host must be in contact with a returned store.
constexpr milliseconds poller_feed_wait(1'500);
// A reader announces after each answer, so this is the interval of routes
// updates; see `store_role_choice::staleness_limit`.
constexpr milliseconds reader_feed_wait(600);
// The row holds the newest version only, so after a change a node pauses before
// it reads again and skips versions outdated meanwhile. Readers pause less,
// because their updates still have to be forwarded. Both keep within the 2 s in
// which a change must be in force.
constexpr milliseconds poller_pause(800);
constexpr milliseconds reader_pause(500);
constexpr milliseconds min_wait(100);
constexpr milliseconds max_wait(800);
// Peers of other domains may have a version this much earlier: the reader of
// this domain pauses and reads, and its update takes two or three hops.
constexpr milliseconds peer_grace(700);
constexpr milliseconds pull_timeout(1'000);
// A slower member is skipped, since the next update is due by then.
constexpr milliseconds update_timeout(600);
// Lower bound of the interval at which a listening node checks its role.
constexpr milliseconds min_listen_wait(20);

// When all nodes start together a node's member list is empty at first and it
// would rank itself best. By this time it knows the other members.
constexpr milliseconds membership_grace(700);

// Versions that come closer than this are a burst. Its changes are not asked
// for one by one: the feed would send each version whole.
constexpr std::chrono::seconds burst_interval(3);

// An answer of the store that takes longer than this, besides the wait of the
// feed, is announced before it is complete.
constexpr milliseconds receiving_notice_delay(300);

// Added to the wait for the latest time of an answer, so that a delay of this
// process does not make the answer seem newer.
constexpr milliseconds answer_margin(100);
constexpr milliseconds age_check_interval(200);

// Names in logs and metrics.
constexpr std::array<std::string_view, 3> role_names{"rely", "follow", "speak"};

} // namespace

route_controller::route_controller(mesh_state& mesh,
                                   row_store& store,
                                   route_source source)
    : m_mesh(mesh)
    , m_store(store)
    , m_source(std::move(source))
    , m_waits(min_wait, max_wait)
{
}

void route_controller::add_methods()
{
    m_mesh.server.add(method::routes, traffic_kind::snapshot,
                      [this](const json::object& p) { return on_routes(p); });
    m_mesh.server.add(method::routes_update, traffic_kind::delta,
                      [this](const json::object& p) { return on_update(p); });
    m_mesh.on_routes_version =
        [this](std::uint64_t version, const address& peer)
    { on_newer_version(version, peer, peer_grace); };
}

void route_controller::start()
{
    m_started = steady_clock::now();
    m_mesh.on.spawn([this] { follow_loop(); });
    m_mesh.on.spawn([this] { watch_age(); });
}

void route_controller::confirm(time_point at, const std::string& source)
{
    m_confirmed.confirm(at, source);
    m_mesh.board.routes_confirmed = m_confirmed.at();
}

void route_controller::watch_age()
{
    auto& gauge = m_mesh.board.metrics.get("tillerhall_routes_age_ms");
    while (true)
    {
        sleep_for(m_mesh.on.io(), age_check_interval);
        if (!known())
            continue;
        const auto now = steady_clock::now();
        const auto age_ms = to_ms(now - m_confirmed.at());
        gauge.set(age_ms);
        const bool may_be_stale =
            confirmed_copy::may_be_stale(m_confirmed.at(), now);
        if (may_be_stale == m_may_be_stale)
            continue;
        m_may_be_stale = may_be_stale;
        m_mesh.board.decisions.note(
            may_be_stale ? "routes_unconfirmed" : "routes_confirmed",
            m_confirmed.source(),
            may_be_stale ? "a newer version may be in the store"
                         : "no newer version is in the store",
            {{"age_ms", age_ms},
             {"version", m_mesh.board.call_map.get()->version()},
             {"duty", role_names[static_cast<std::size_t>(m_last_role)]}});
    }
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

void route_controller::note_role(store_role now)
{
    if (now == m_last_role)
        return;
    const auto name = [](store_role role)
    { return role_names[static_cast<std::size_t>(role)]; };
    const auto gauge = [&](store_role role) -> auto&
    {
        return m_mesh.board.metrics.get("tillerhall_store_duty",
                                        "duty=\"" + std::string(name(role)) +
                                            "\"");
    };
    gauge(m_last_role).set(0);
    gauge(now).set(1);
    m_mesh.board.decisions.note(
        "store_duty", m_mesh.members.self().rpc.text(), std::string(name(now)),
        {{"before", name(m_last_role)},
         {"age_ms", to_ms(steady_clock::now() - m_confirmed.at())},
         {"source", m_confirmed.source()},
         {"rank", reader_rank(m_mesh.members)},
         {"members", m_mesh.members.live_count()}});
    m_last_role = now;
}

store_role route_controller::role() const
{
    const auto now = steady_clock::now();
    const auto rank = now < m_started + membership_grace
                          ? store_role_choice::candidates
                          : reader_rank(m_mesh.members);
    return m_role.at(rank, now);
}

void route_controller::follow_loop()
{
    auto next = step::read;
    while (true)
    {
        const auto now = role();
        note_role(now);
        const bool is_listening = now == store_role::listen && known();
        next = is_listening ? listen() : ask_store(next);
    }
}

route_controller::step route_controller::listen()
{
    const auto left = m_role.listens_until() - steady_clock::now();
    sleep_for(m_mesh.on.io(), std::max<duration>(left, min_listen_wait));
    const bool in_burst = steady_clock::now() < m_applied + burst_interval;
    return in_burst ? step::read : step::follow;
}

route_controller::step route_controller::ask_store(step how)
{
    switch (how == step::read ? read_row() : follow_once())
    {
    case outcome::failed:
        sleep_for(m_mesh.on.io(), m_waits.next(m_mesh.random));
        return step::read;
    case outcome::changed:
        // A feed would deliver each version of a burst; the row holds the
        // newest only, so it is read after a pause.
        m_waits.reset();
        sleep_for(m_mesh.on.io(),
                  role() == store_role::announce ? reader_pause : poller_pause);
        return step::read;
    case outcome::unchanged:
        m_waits.reset();
        return step::follow;
    }
    return step::read;
}

void route_controller::note_answer(std::uint64_t revision,
                                   time_point earliest,
                                   time_point latest)
{
    confirm(earliest, "store");
    m_answered = std::min(steady_clock::now(), latest);
    m_answer_span = std::max<duration>(duration::zero(), m_answered - earliest);
    // Makes nodes that start together wait for a reader's update instead of
    // each polling the store.
    if (!m_has_received_update)
        m_role.store_answered(m_answered);
    m_revision = std::max(m_revision, revision);
}

route_controller::outcome route_controller::read_row()
{
    const auto begin = steady_clock::now();
    m_next_notice = begin + receiving_notice_delay;
    const auto page =
        m_store.read(m_source.row.table, m_source.row.part, m_source.row.key,
                     [this] { announce_receiving(); });
    note_store(page ? nullptr : &page.reason());
    if (!page)
        return outcome::failed;
    const auto applied = apply_last(*page, !page->more);
    note_answer(page->revision, begin, begin + row_store::answer_timeout);
    announce();
    return applied;
}

route_controller::outcome route_controller::follow_once()
{
    const duration wait =
        role() == store_role::announce ? reader_feed_wait : poller_feed_wait;
    const auto begin = steady_clock::now();
    m_next_notice = begin + wait + receiving_notice_delay;
    const auto page = m_store.follow(m_source.row.table, m_revision, wait,
                                     [this] { announce_receiving(); });
    if (!page && page.reason().code() == error_code::history_lost)
        return read_row();
    note_store(page ? nullptr : &page.reason());
    if (!page)
        return outcome::failed;
    const auto applied = apply_last(*page, false);
    // Without changes the store has waited before it answered.
    const bool has_waited =
        page->rows.empty() && steady_clock::now() >= begin + wait;
    note_answer(page->revision, has_waited ? begin + wait : begin,
                begin + wait + answer_margin);
    announce();
    return applied;
}

route_controller::outcome route_controller::apply_last(const row_page& page,
                                                       bool is_whole)
{
    if (m_on_rows)
        m_on_rows(page, is_whole);
    // Pages hold changes in order; only the last one matters.
    const auto changes = page.rows | std::views::reverse;
    const auto last =
        std::ranges::find(changes, m_source.row, &stored_row::name);
    if (last == changes.end() || last->removed ||
        last->revision == m_applied_revision)
        return outcome::unchanged;
    m_applied_revision = last->revision;
    apply(last->value, "store");
    return outcome::changed;
}

void route_controller::apply(const std::string& value, const char* from)
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
    m_packed = pack_text(value);
    m_applied = steady_clock::now();
    board.call_map.set(*routes);
    board.metrics.get("tillerhall_routes_version")
        .set(static_cast<std::int64_t>(version));
    board.decisions.note("routes_applied", from, "a higher version",
                         {{"before", before},
                          {"version", version},
                          {"routes", (*routes)->routes().size()},
                          {"bytes", value.size()}});
}

void route_controller::on_newer_version(std::uint64_t version,
                                        const address& peer,
                                        duration grace)
{
    if (m_pulling || version <= m_mesh.board.call_map.get()->version())
        return;
    m_pulling = true;
    m_mesh.on.spawn(
        [this, version, peer, grace]
        {
            if (known() && grace > duration::zero())
                sleep_for(m_mesh.on.io(), grace);
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
    const auto* packed = answer->if_contains("c");
    if (packed != nullptr && packed->is_string())
        apply_packed(std::string(packed->as_string()), "peer");
    return true;
}

void route_controller::apply_packed(const std::string& packed, const char* from)
{
    const auto value = unpack_text(packed);
    if (value)
        return apply(*value, from);
    m_mesh.board.decisions.note("routes_refused", from,
                                value.reason().message(),
                                {{"bytes", packed.size()}});
}

json::object route_controller::on_routes(const json::object& params)
{
    const auto theirs = json::value_to<std::uint64_t>(params.at("v"));
    if (theirs >= m_mesh.board.call_map.get()->version())
        return {};
    return {{"c", m_packed}};
}

void route_controller::announce()
{
    if (!known() || role() != store_role::announce)
        return;
    auto update = make_update();
    if (update.version != m_announced_version)
        update.packed = m_packed;
    m_announced_version = update.version;
    forward(update, steady_clock::now());
}

routes_update route_controller::make_update() const
{
    routes_update update;
    update.reader = m_mesh.members.self().rpc.text();
    update.rank = reader_rank(m_mesh.members);
    update.version = m_mesh.board.call_map.get()->version();
    update.revision = m_revision;
    const auto now = steady_clock::now();
    update.store_age_ms = to_ms(now - m_answered);
    update.answer_ms = to_ms(m_answer_span);
    update.sent_ms = to_ms(now.time_since_epoch());
    update.drained = m_mesh.board.drains.get()->domains();
    update.range = domain_range(m_mesh.members.self());
    return update;
}

void route_controller::announce_receiving()
{
    const auto now = steady_clock::now();
    if (now < m_next_notice || !known() || role() != store_role::announce)
        return;
    m_next_notice = now + reader_feed_wait;
    auto update = make_update();
    update.is_receiving = true;
    forward(update, now);
}

void route_controller::forward(const routes_update& update, time_point received)
{
    send_to_range(m_mesh,
                  {method::routes_update, traffic_kind::delta, update_timeout,
                   [update, received](const key_range& part)
                   {
                       auto sent = update;
                       const auto held = to_ms(steady_clock::now() - received);
                       sent.store_age_ms += held;
                       sent.relayed_ms += held;
                       sent.range = part;
                       return to_json(sent);
                   }},
                  update.range);
}

time_point route_controller::answered_at(const routes_update& update,
                                         time_point received)
{
    const auto under_way =
        update.sent_ms == 0
            ? duration::zero()
            : m_transit.excess(update.reader, update.sent_ms, received);
    const milliseconds relayed(update.relayed_ms);
    return received - milliseconds(update.store_age_ms) -
           std::max<duration>(duration::zero(), under_way - relayed);
}

json::object route_controller::on_update(const json::object& params)
{
    const auto received = m_mesh.on.earliest_arrival();
    const auto update = routes_update_from_json(params);
    const auto reader = address::parse(update.reader);
    if (!reader)
        return {{"e", name_of(reader.reason().code())},
                {"d", reader.reason().detail()}};
    if (!is_meant_for(m_mesh.members.self(), update.range))
        return {{"e", name_of(error_code::invalid_argument)},
                {"d", "not this node's range"}};
    forward(update, received);
    if (m_on_drained)
        m_on_drained(update.drained, update.revision);
    const auto in_force = m_mesh.board.call_map.get()->version();
    if (update.version > in_force && !update.packed.empty())
        apply_packed(update.packed, "reader");
    if (m_mesh.board.call_map.get()->version() < update.version)
    {
        // The routes came with an earlier update, which was lost in transit.
        on_newer_version(update.version, *reader, duration::zero());
        return {};
    }
    m_has_received_update = true;
    if (update.is_receiving)
        m_role.reader_receives(update.rank, reader_rank(m_mesh.members),
                               steady_clock::now());
    // This node now knows what the reader has read of the store.
    m_revision = std::max(m_revision, update.revision);
    const auto answered = answered_at(update, received);
    const auto now = steady_clock::now();
    confirm(answered - milliseconds(update.answer_ms), update.reader);
    // The trust in a reader does not count the time of its answer: on a full
    // link all nodes would ask while it arrives.
    m_role.update_received(update.rank, reader_rank(m_mesh.members),
                           now - answered, now);
    return {};
}

} // namespace tillerhall
