#include "tillerhall/control/rollout_store_sync.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

// Soon enough after a store outage, at a small share of the calls to the store.
constexpr milliseconds sync_interval(300);

rollout_record record_of(const rollout_order& order)
{
    rollout_record made;
    made.order = order;
    made.begun = steady_clock::now();
    return made;
}

} // namespace

rollout_store_sync::rollout_store_sync(mesh_state& mesh,
                                       rollout_registry& registry,
                                       row_store& store,
                                       rollout_source source,
                                       std::function<bool()> reads_for_others)
    : m_mesh(mesh)
    , m_registry(registry)
    , m_store(store)
    , m_source(std::move(source))
    , m_reads_for_others(std::move(reads_for_others))
{
}

void rollout_store_sync::start()
{
    m_mesh.on.spawn([this] { sync_loop(); });
}

void rollout_store_sync::apply_rows(const std::vector<stored_row>& rows)
{
    if (!m_source.decode_order)
        return;
    for (const auto& row : rows)
    {
        if (row.removed)
            continue;
        const auto order = m_source.decode_order(row);
        if (!order)
            continue;
        if (*order)
            apply_order(**order);
        else if (m_refused.insert(row.name.key + row.value).second)
            m_mesh.board.decisions.note("rollout_refused", row.name.key,
                                        order->reason().message());
    }
}

void rollout_store_sync::apply_order(const rollout_order& order)
{
    auto& seen = m_orders[order.service];
    if (order.revision <= seen)
        return;
    seen = order.revision;
    const auto* known = m_registry.find(order.service);
    if (known == nullptr || known->order.revision < order.revision)
        merge_stored(record_of(order));
    m_mesh.on.spawn([this, service = order.service] { sync(service); });
}

void rollout_store_sync::sync_loop()
{
    while (true)
    {
        sleep_for(m_mesh.on.io(), sync_interval);
        std::set<std::string> due;
        for (const auto& [service, record] : m_registry.records())
            if (may_write(service) || (record.state == rollout_state::unread &&
                                       m_orders.contains(service)))
                due.insert(service);
        for (const auto& service : due)
            sync(service);
    }
}

bool rollout_store_sync::may_write(const std::string& service) const
{
    return m_decided_here.contains(service) || m_reads_for_others();
}

void rollout_store_sync::sync(const std::string& service)
{
    const auto* record = m_registry.find(service);
    if (record == nullptr)
        return;
    const auto revision = record->order.revision;
    const auto stored = m_stored.find(service);
    const bool is_read =
        stored != m_stored.end() && (stored->second.revision > revision ||
                                     record->state != rollout_state::unread);
    if (!is_read && !read_state(service))
        return;
    record = m_registry.find(service); // may have changed during the read
    if (record == nullptr || record->order.revision != revision ||
        record->state == rollout_state::unread)
        return;
    if (!may_write(service))
        return;
    const auto& last = m_stored.at(service);
    const bool is_stored = last.revision > revision &&
                           last.release == record->order.release &&
                           last.state >= record->state;
    if (!is_stored && record->state != rollout_state::completed)
        write(*record, record->state);
}

bool rollout_store_sync::read_state(const std::string& service)
{
    const auto name = m_source.state_row(service);
    const auto page = m_store.read(name.table, name.part, name.key);
    if (!page)
        return false;
    const auto* known = m_registry.find(service);
    if (known == nullptr)
        return false;
    const auto row = std::ranges::find(page->rows, name, &stored_row::name);
    stored_rollout_state read;
    if (row != page->rows.end() && !row->removed)
    {
        const auto decoded = m_source.decode_state(*row);
        if (decoded)
            read = *decoded;
        else
            m_mesh.board.decisions.note("rollout_state_unreadable", service,
                                        decoded.reason().message());
        read.revision = row->revision;
    }
    m_stored[service] = read;
    apply_state(*known, read);
    return true;
}

void rollout_store_sync::apply_state(const rollout_record& known,
                                     const stored_rollout_state& read)
{
    auto next = known;
    // A state written before the order belongs to an earlier order.
    const bool is_of_order = read.revision > known.order.revision &&
                             read.release == known.order.release;
    next.state = std::max(known.state,
                          is_of_order ? read.state : rollout_state::running);
    if (is_of_order && read.started_at_ms > 0)
    {
        const auto age = milliseconds(static_cast<std::int64_t>(
            std::max(wall_clock_ms(), read.started_at_ms) -
            read.started_at_ms));
        // Host clocks differ, so the age is limited to the order's time.
        next.begun = std::min(known.begun,
                              steady_clock::now() -
                                  std::min<duration>(age, known.order.time));
    }
    if (is_of_order && is_ended(read.state))
        next.reason = "by the store";
    merge_stored(next);
}

void rollout_store_sync::merge_stored(const rollout_record& read)
{
    if (may_write(read.order.service))
        m_registry.merge_and_broadcast(read, "store");
    else
        m_registry.merge_records({read});
}

bool rollout_store_sync::write(const rollout_record& record,
                               rollout_state state)
{
    const auto& service = record.order.service;
    const auto age = steady_clock::now() - record.begun;
    stored_rollout_state stored_state;
    stored_state.release = record.order.release;
    stored_state.state = state;
    stored_state.started_at_ms =
        wall_clock_ms() - static_cast<std::uint64_t>(to_ms(age));
    const auto expected = m_stored[service].revision;
    const auto outcome =
        m_store.write({m_source.state_row(service), expected,
                       m_source.encode_state(service, stored_state)});
    if (outcome && outcome->written)
    {
        stored_state.revision = outcome->revision;
        m_stored[service] = stored_state;
        return true;
    }
    m_mesh.board.decisions.note("rollout_not_written", service,
                                outcome ? "another node wrote it"
                                        : outcome.reason().message(),
                                {{"state", name_of(state)}});
    // This or another write may have been applied: read the row.
    if (outcome || outcome.reason().code() == error_code::outcome_unknown)
        read_state(service);
    return false;
}

result<std::uint64_t>
rollout_store_sync::store_order(const rollout_order& order)
{
    const auto name = m_source.order_row(order.service);
    const auto page = m_store.read(name.table, name.part, name.key);
    if (!page)
        return page.reason();
    const auto row = std::ranges::find(page->rows, name, &stored_row::name);
    const bool is_there = row != page->rows.end() && !row->removed;
    const auto outcome = m_store.write(
        {name, is_there ? row->revision : 0, m_source.encode_order(order)});
    if (!outcome)
        return outcome.reason();
    if (!outcome->written)
        return error(error_code::conflict,
                     "another order for \"" + order.service + "\" came first",
                     "look at it, then order again");
    auto taken = order;
    taken.revision = outcome->revision;
    apply_order(taken);
    return taken.revision;
}

bool rollout_store_sync::complete(const rollout_record& record)
{
    const auto& service = record.order.service;
    if (!m_stored.contains(service) && !read_state(service))
        return false;
    const auto* known = m_registry.find(service);
    if (known == nullptr || known->order.revision != record.order.revision ||
        known->state != rollout_state::running)
        return known != nullptr && known->state == rollout_state::completed;
    auto next = *known;
    if (!write(next, rollout_state::completed))
        return false;
    next.state = rollout_state::completed;
    next.reason = "nothing runs at the release before it";
    m_registry.merge_and_broadcast(next, "decided here");
    return true;
}

} // namespace tillerhall
