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
// Interval per entry of the domain, so that a ledger on a host with a tenth of
// a core keeps up: 250 ms up to 62 entries, 2.4 s with 600.
constexpr milliseconds interval_per_entry(4);
constexpr milliseconds call_timeout(300);
constexpr milliseconds describe_timeout(2'000);

/** @return a message with counts. */
json::object message_of(const std::vector<quota_counts>& counts)
{
    json::object message{{"c", to_json(counts)}};
    auto refused = refusals_to_json(counts);
    if (!refused.as_array().empty())
        message["r"] = std::move(refused);
    return message;
}

std::vector<quota_counts> counts_of(const json::object& message)
{
    auto counts = quota_counts_from_json(message.at("c"));
    if (const auto* refused = message.if_contains("r"))
        add_refusals(counts, *refused);
    return counts;
}

json::object to_json(const account_usage_row& row)
{
    json::object made{{"account", row.account},
                      {"spent", row.spent},
                      {"refused", row.refused}};
    if (row.quota.is_limited())
    {
        made["per_s"] = row.quota.per_s;
        made["burst"] = row.quota.burst;
    }
    return made;
}

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
    server.add(method::quota_accounts, traffic_kind::other,
               [this](const json::object& p) { return on_accounts(p); });
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
        note_ledger_state();
    }
}

void quota_controller::note_ledger_state()
{
    const bool is_cut_off = m_gate.is_cut_off(steady_clock::now());
    if (is_cut_off == m_is_cut_off)
        return;
    m_is_cut_off = is_cut_off;
    m_mesh.board.decisions.note(
        is_cut_off ? "quota_ledgers_lost" : "quota_ledger_reached",
        m_mesh.members.self().rpc.text(),
        is_cut_off ? "no ledger answers; most calls of accounts with a quota "
                     "are refused"
                   : "a ledger answers again");
}

void quota_controller::report(const std::vector<quota_counts>& counts)
{
    for (const auto& ledger : ledgers())
    {
        if (ledger == m_mesh.members.self().rpc)
            return m_gate.set_limits(add_counts(counts));
        const auto answer =
            m_mesh.pool.call({ledger, traffic_kind::watch, method::quota_counts,
                              message_of(counts), call_timeout});
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
    const auto accounts = routes->accounts() == nullptr
                              ? std::vector<client_account>()
                              : routes->accounts()->all();
    m_ledger.set_accounts(accounts, steady_clock::now());
    m_usage.set_accounts(accounts);
}

void quota_controller::note_refusals(const std::vector<quota_counts>& counts,
                                     time_point now)
{
    for (const auto& each : counts)
        if (each.refused > 0 &&
            m_refusals.refused(each.account, each.refused, now))
            m_mesh.board.decisions.note(
                "account_refused", each.account,
                "it asks for more than its quota over all nodes",
                {{"domain", m_mesh.members.self().place.domain},
                 {"refused", each.refused},
                 {"accounts_refused", m_refusals.size()}});
    m_mesh.board.metrics.get("tillerhall_accounts_refused")
        .set(static_cast<std::int64_t>(m_refusals.size()));
}

void quota_controller::note_ended_refusals()
{
    const auto now = steady_clock::now();
    const auto ended = m_refusals.take_ended(now);
    for (const auto& each : ended)
        m_mesh.board.decisions.note(
            "account_served", each.subject, "its calls are within its quota",
            {{"domain", m_mesh.members.self().place.domain},
             {"refused", each.refused},
             {"for_ms", to_ms(each.last - each.began)}});
    if (!ended.empty())
        m_mesh.board.metrics.get("tillerhall_accounts_refused")
            .set(static_cast<std::int64_t>(m_refusals.size()));
}

result<json::object>
quota_controller::describe_accounts(std::size_t limit, const std::string& name)
{
    const json::object params{{"limit", limit}, {"account", name}};
    for (const auto& ledger : ledgers())
    {
        if (ledger == m_mesh.members.self().rpc)
            return on_accounts(params);
        auto answer = m_mesh.pool.call({ledger, traffic_kind::other,
                                        method::quota_accounts, params,
                                        describe_timeout});
        if (answer)
            return answer;
    }
    return error(error_code::unavailable, "no ledger of quotas answers",
                 "check that nodes of some failure domain are ready");
}

json::object quota_controller::on_accounts(const json::object& params)
{
    refresh_accounts();
    const auto rows =
        m_usage.rows(json::value_to<std::size_t>(params.at("limit")),
                     json::value_to<std::string>(params.at("account")));
    json::array list;
    for (const auto& each : rows)
        list.push_back(to_json(each));
    const auto now = steady_clock::now();
    return {{"ledger", m_mesh.members.self().rpc.text()},
            {"domain", m_mesh.members.self().place.domain},
            {"version", m_version},
            {"counted_ms", to_ms(now - m_counts_since.value_or(now))},
            {"total", m_usage.size()},
            {"accounts", std::move(list)}};
}

std::vector<quota_limit>
quota_controller::add_counts(const std::vector<quota_counts>& counts)
{
    refresh_accounts();
    const auto now = steady_clock::now();
    m_ledger.add(counts, now);
    m_usage.add(counts);
    if (!m_counts_since)
        m_counts_since = now;
    note_refusals(counts, now);
    for (const auto& each : counts)
    {
        auto& total = m_unsent_totals[each.account];
        total.account = each.account;
        total.asked += each.asked;
        total.admitted += each.admitted;
        total.refused += each.refused;
    }
    broadcast_limits();
    return m_ledger.limits(now);
}

json::object quota_controller::on_counts(const json::object& params)
{
    return {{"l", to_json(add_counts(counts_of(params)))}};
}

json::object quota_controller::on_totals(const json::object& params)
{
    refresh_accounts();
    const auto counts = counts_of(params);
    m_ledger.add(counts, steady_clock::now());
    m_usage.add(counts);
    broadcast_limits();
    return {};
}

void quota_controller::exchange_loop()
{
    while (true)
    {
        sleep_for(m_mesh.on.io(), min_interval);
        note_ended_refusals();
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
    const auto params = message_of(totals);
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
