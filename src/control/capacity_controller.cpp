#include "tillerhall/control/capacity_controller.hpp"

#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/node/messages.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds min_interval(250);
// Interval per node of the domain, so that a reader on a slow host keeps up.
constexpr milliseconds interval_per_node(4);
// Interval per service of the sums, so that they stay small on slow links.
constexpr milliseconds interval_per_service(4);
constexpr milliseconds max_exchange_interval(1'000);
// A slow link is treated as no answer.
constexpr milliseconds call_timeout(300);
// The best reader of a domain, and the one that takes its place.
constexpr std::size_t readers_per_domain = 2;
// With less of the other domains known, no plan is made.
constexpr double min_known_domains = 0.5;

} // namespace

capacity_controller::capacity_controller(mesh_state& mesh,
                                         const target_owner& owner,
                                         entry_capacity& entry)
    : m_mesh(mesh)
    , m_owner(owner)
    , m_entry(entry)
    , m_ledger(mesh.members.self().place, mesh.members.self().rpc)
    // Grows over restarts of the process.
    , m_sequence(wall_clock_ms())
{
}

void capacity_controller::add_methods()
{
    auto& server = m_mesh.server;
    server.add(method::capacity, traffic_kind::watch,
               [this](const json::object& p) { return on_report(p); });
    server.add(method::capacity_sums, traffic_kind::watch,
               [this](const json::object& p) { return on_sums(p); });
}

void capacity_controller::start()
{
    m_mesh.on.spawn([this] { report_loop(); });
    m_mesh.on.spawn([this] { exchange_loop(); });
}

void capacity_controller::refresh_members()
{
    if (m_member_changes == m_mesh.members.change_count())
        return;
    m_member_changes = m_mesh.members.change_count();
    m_readers = readers_by_domain(m_mesh.members, readers_per_domain);
    std::map<std::string, std::vector<member_ptr>> owners;
    const auto& own = m_mesh.members.self().place;
    m_own_nodes = 0;
    for (const auto& kept : m_mesh.members.ordered())
    {
        if (takes_calls(*kept.record))
            owners[kept.record->service].push_back(kept.record);
        if (kept.record->place == own && is_live(*kept.record))
            ++m_own_nodes;
    }
    m_balanced.clear();
    m_places.clear();
    for (const auto& [service, each] : owners)
    {
        if (!is_balanced(each))
            continue;
        m_balanced.insert(service);
        for (const auto& owner : each)
            m_places.insert(owner->place);
    }
    m_ledger.set_report_age(
        std::max<duration>(capacity_ledger::max_age, 2 * report_interval()));
}

bool capacity_controller::is_service_balanced(const std::string& service) const
{
    return m_balanced.contains(service);
}

duration capacity_controller::report_interval() const
{
    return std::max<duration>(min_interval, interval_per_node * m_own_nodes);
}

duration capacity_controller::exchange_interval(std::size_t services) const
{
    return std::clamp<duration>(interval_per_service *
                                    static_cast<std::int64_t>(services),
                                min_interval, max_exchange_interval);
}

std::vector<address> capacity_controller::own_readers() const
{
    const auto found = m_readers.find(m_mesh.members.self().place);
    return found == m_readers.end() ? std::vector<address>() : found->second;
}

void capacity_controller::report_loop()
{
    m_reported_at = steady_clock::now();
    while (true)
    {
        sleep_for(m_mesh.on.io(), report_interval());
        refresh_members();
        report();
    }
}

capacity_report capacity_controller::make_report()
{
    capacity_report made;
    made.node = m_mesh.members.self().rpc;
    made.sequence = ++m_sequence;
    const auto& service = m_mesh.members.self().service;
    if (is_service_balanced(service))
        made.owner = m_owner.current_capacity();
    const auto now = steady_clock::now();
    m_entry.demand.update(now - std::exchange(m_reported_at, now));
    for (const auto& [called, need] : m_entry.demand.needs())
        if (is_service_balanced(called))
            made.demands.push_back(
                {called, need.slots,
                 static_cast<double>(m_entry.borrowed[called])});
    return made;
}

void capacity_controller::report()
{
    const auto sent = make_report();
    if (!sent.owner && sent.demands.empty())
        return;
    for (const auto& reader : own_readers())
        if (report_to(reader, sent))
            return;
    m_mesh.board.metrics.get("tillerhall_capacity_unanswered_total").add();
}

bool capacity_controller::report_to(const address& reader,
                                    const capacity_report& sent)
{
    if (reader == sent.node)
    {
        use_answer(take_report(sent));
        return true;
    }
    const auto answer =
        m_mesh.pool.call({reader, traffic_kind::watch, method::capacity,
                          to_json(sent), call_timeout});
    if (!answer)
        return false;
    try
    {
        std::size_t ignored = 0;
        use_answer(capacity_answer_from_json(*answer, ignored));
        note_ignored(ignored, reader);
        return true;
    }
    catch (const std::exception&)
    {
        m_mesh.board.metrics.get("tillerhall_rpc_bad_message_total").add();
        return false;
    }
}

void capacity_controller::use_answer(const capacity_answer& answer)
{
    if (answer.domains.empty())
        return;
    const auto now = steady_clock::now();
    m_entry.plan.update(
        answer, m_entry.demand.needs(), now,
        std::max<duration>(capacity_ledger::max_age, 2 * report_interval()));
    if (!m_is_reading)
        m_mesh.board.capacity.set(m_entry.plan.view());
}

bool capacity_controller::has_sums(
    const std::vector<domain_sums>& domains) const
{
    const auto& own = m_mesh.members.self().place;
    const auto others = m_places.size() - m_places.count(own);
    const auto known = std::ranges::count_if(
        domains, [&](const domain_sums& each) { return each.place != own; });
    return static_cast<double>(known) >=
           std::max(1.0, static_cast<double>(others) * min_known_domains);
}

capacity_answer capacity_controller::take_report(capacity_report report)
{
    const auto now = steady_clock::now();
    auto answer = m_ledger.take_report(report, now)
                      ? m_ledger.answer(report, now)
                      : capacity_answer{};
    if (!has_sums(answer.domains))
        return {};
    return answer;
}

bool capacity_controller::is_from(const address& node,
                                  const member_place& place)
{
    // A node that has just started is unknown for a moment.
    const auto* found = m_mesh.members.find(node);
    if (found == nullptr)
        return false;
    note_ignored(found->place == place ? 0 : 1, node);
    return found->place == place;
}

void capacity_controller::note_ignored(std::size_t count, const address& from)
{
    if (count == 0)
        return;
    m_mesh.board.metrics.get("tillerhall_capacity_ignored_total")
        .add(static_cast<std::int64_t>(count));
    if (!std::exchange(m_has_noted_ignored, true))
        m_mesh.board.decisions.note(
            "capacity_ignored", from.text(),
            "a node sent figures of no deployment, or of no known service or "
            "domain; further ones are only counted");
}

json::object capacity_controller::on_report(const json::object& params)
{
    refresh_members();
    std::size_t ignored = 0;
    auto report = capacity_report_from_json(params, ignored);
    const auto& services = m_mesh.members.services();
    const auto is_strange = [&](const auto& each)
    { return !services.contains(each.service); };
    if (!is_from(report.node, m_mesh.members.self().place))
    {
        note_ignored(ignored, report.node);
        return {{"e", name_of(error_code::invalid_argument)},
                {"d", "not a node of this domain"}};
    }
    ignored +=
        static_cast<std::size_t>(std::erase_if(report.demands, is_strange));
    if (report.owner && is_strange(*report.owner))
    {
        report.owner.reset();
        ++ignored;
    }
    note_ignored(ignored, report.node);
    return to_json(take_report(std::move(report)));
}

json::object capacity_controller::on_sums(const json::object& params)
{
    refresh_members();
    std::size_t ignored = 0;
    auto sums = domain_sums_from_json(params, ignored);
    const auto& services = m_mesh.members.services();
    ignored += static_cast<std::size_t>(
        std::erase_if(sums.services, [&](const service_sum& each)
                      { return !services.contains(each.service); }));
    const auto from = sums.reader;
    if (is_from(from, sums.place) &&
        !m_ledger.take_sums(std::move(sums), steady_clock::now()))
        ++ignored;
    note_ignored(ignored, from);
    return {};
}

void capacity_controller::exchange_loop()
{
    auto interval = duration(min_interval);
    while (true)
    {
        sleep_for(m_mesh.on.io(), interval);
        refresh_members();
        const auto now = steady_clock::now();
        m_is_reading = m_ledger.has_reports(now);
        if (!m_is_reading)
            continue;
        exchange();
        interval = exchange_interval(m_balanced.size());
    }
}

void capacity_controller::exchange()
{
    const auto now = steady_clock::now();
    auto sums = m_ledger.own_sums(now);
    sums.sequence = ++m_sequence;
    const auto sent = to_json(sums);
    for (const auto& [place, readers] : m_readers)
        if (place != sums.place)
            m_mesh.on.spawn([this, readers = readers, sent]
                            { send_sums(readers, sent); });
    const auto domains = m_ledger.all(now);
    const auto view = has_sums(domains) ? make_capacity_view(domains, now)
                                        : capacity_view_ptr(new capacity_view);
    m_mesh.board.capacity.set(view);
    log_flows(*view);
}

void capacity_controller::send_sums(const std::vector<address>& readers,
                                    const json::object& sent)
{
    for (const auto& reader : readers)
        if (m_mesh.pool.call({reader, traffic_kind::watch,
                              method::capacity_sums, sent, call_timeout}))
            return;
}

void capacity_controller::log_flows(const capacity_view& view)
{
    m_flows.update(view, m_mesh.members.self().place, steady_clock::now(),
                   [this](const char* decision, const std::string& service,
                          bool begins, const domain_capacity& figures)
                   {
                       m_mesh.board.decisions.note(
                           decision, service, begins ? "begins" : "ends",
                           {{"domain", figures.place.domain},
                            {"slots", figures.slots},
                            {"demand", figures.demand},
                            {"planned", figures.planned},
                            {"promised", figures.promised},
                            {"lent", figures.lent},
                            {"borrowed", figures.borrowed}});
                   });
}

} // namespace tillerhall
