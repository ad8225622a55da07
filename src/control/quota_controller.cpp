#include "tillerhall/control/quota_controller.hpp"

#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/node/messages.hpp"
#include "tillerhall/node/range_send.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds min_interval(250);
// Interval per entry of the domain, so that a ledger on a slow host keeps up.
constexpr milliseconds interval_per_entry(4);
constexpr milliseconds call_timeout(300);

} // namespace

quota_controller::quota_controller(mesh_state& mesh, quota_gate& gate)
    : m_mesh(mesh)
    , m_gate(gate)
    , m_ledger({mesh.config.quota_overage, mesh.config.quota_extra})
{
}

void quota_controller::add_methods()
{
    auto& server = m_mesh.server;
    server.add(method::quota_counts, traffic_kind::watch,
               [this](const json::object& p) { return on_counts(p); });
    server.add(method::quota_totals, traffic_kind::watch,
               [this](const json::object& p) { return on_totals(p); });
    server.add(method::quota_limits, traffic_kind::delta,
               [this](const json::object& p) { return on_limits(p); });
}

void quota_controller::start()
{
    m_mesh.on.spawn([this] { report_loop(); });
    m_mesh.on.spawn([this] { exchange_loop(); });
}

duration quota_controller::report_interval() const
{
    const auto& own = m_mesh.members.self().place;
    const auto entries = std::ranges::count_if(
        m_mesh.members.ordered(), [&](const keyed_member& kept)
        { return kept.record->place == own && is_live(*kept.record); });
    return std::max(min_interval, interval_per_entry * entries);
}

std::vector<address> quota_controller::ledgers() const
{
    auto all = best_readers(m_mesh.members);
    const auto& own = m_mesh.members.self().place;
    std::ranges::stable_partition(
        all,
        [&](const address& each)
        {
            const auto* known = m_mesh.members.find(each);
            return known != nullptr && known->place == own;
        });
    return all;
}

void quota_controller::report_loop()
{
    while (true)
    {
        sleep_for(m_mesh.on.io(), report_interval());
        if (m_mesh.board.call_map.get()->accounts() == nullptr)
            continue;
        if (const auto counts = m_gate.take_due_counts())
            report(*counts);
    }
}

void quota_controller::report(const std::vector<quota_counts>& counts)
{
    for (const auto& ledger : ledgers())
    {
        if (ledger == m_mesh.members.self().rpc)
            return m_gate.set_limits(add_counts(counts));
        const auto answer = m_mesh.pool.call(
            {ledger, traffic_kind::watch, method::quota_counts,
             json::object{{"c", to_json(counts)}}, call_timeout});
        if (!answer)
            continue;
        try
        {
            return m_gate.set_limits(quota_limits_from_json(answer->at("l")));
        }
        catch (const std::exception&)
        {
            m_mesh.board.metrics.get("tillerhall_rpc_bad_message_total").add();
        }
    }
    m_gate.restore(counts);
    m_gate.note_unanswered(steady_clock::now());
}

void quota_controller::refresh_accounts()
{
    const auto routes = m_mesh.board.call_map.get();
    if (routes->version() == m_version)
        return;
    m_version = routes->version();
    m_ledger.set_accounts(routes->accounts() == nullptr
                              ? std::vector<client_account>()
                              : routes->accounts()->all(),
                          steady_clock::now());
}

std::vector<quota_limit>
quota_controller::add_counts(const std::vector<quota_counts>& counts)
{
    refresh_accounts();
    const auto now = steady_clock::now();
    m_ledger.add(counts, now);
    for (const auto& each : counts)
    {
        auto& total = m_unsent_totals[each.account];
        total.account = each.account;
        total.asked += each.asked;
        total.admitted += each.admitted;
    }
    broadcast_limits();
    return m_ledger.limits(now);
}

json::object quota_controller::on_counts(const json::object& params)
{
    return {{"l", to_json(add_counts(quota_counts_from_json(params.at("c"))))}};
}

json::object quota_controller::on_totals(const json::object& params)
{
    refresh_accounts();
    m_ledger.add(quota_counts_from_json(params.at("c")), steady_clock::now());
    broadcast_limits();
    return {};
}

void quota_controller::exchange_loop()
{
    while (true)
    {
        sleep_for(m_mesh.on.io(), min_interval);
        if (!m_unsent_totals.empty())
            exchange();
    }
}

void quota_controller::exchange()
{
    const auto now = steady_clock::now();
    std::vector<quota_counts> totals;
    for (auto& [name, each] : m_unsent_totals)
    {
        each.level = m_ledger.level(name, now);
        if (each.level)
            totals.push_back(each);
    }
    m_unsent_totals.clear();
    if (totals.empty())
        return;
    const auto params = json::object{{"c", to_json(totals)}};
    for (const auto& ledger : ledgers())
        if (ledger != m_mesh.members.self().rpc)
            m_mesh.on.spawn(
                [this, ledger, params]
                {
                    m_mesh.pool.call({ledger, traffic_kind::watch,
                                      method::quota_totals, params,
                                      call_timeout});
                });
}

void quota_controller::broadcast_limits()
{
    const auto now = steady_clock::now();
    const auto limits = m_ledger.limits(now);
    if (!m_limit_changes.take(limits, now))
        return;
    m_gate.set_limits(limits);
    send_limits(limits, domain_range(m_mesh.members.self()));
}

void quota_controller::send_limits(const std::vector<quota_limit>& limits,
                                   const key_range& range)
{
    send_to_range(m_mesh,
                  {method::quota_limits, traffic_kind::delta, call_timeout,
                   [limits](const key_range& part)
                   {
                       json::object sent{{"l", to_json(limits)}};
                       put_range(sent, part);
                       return sent;
                   }},
                  range);
}

json::object quota_controller::on_limits(const json::object& params)
{
    const auto limits = quota_limits_from_json(params.at("l"));
    const auto range = range_from_json(params);
    if (!is_meant_for(m_mesh.members.self(), range))
        return {{"e", name_of(error_code::invalid_argument)},
                {"d", "not this node's range"}};
    send_limits(limits, range);
    m_gate.set_limits(limits);
    return {};
}

} // namespace tillerhall
