#include "tillerhall/node/operator_api.hpp"
#include "tillerhall/node/operator_json.hpp"
#include "tillerhall/node/operator_token.hpp"
#include "tillerhall/table/csv.hpp"
#include "tillerhall/table/version_number.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr std::size_t default_history = 20;
constexpr std::size_t max_history = 1000;

json::object parse_body(const http_request& request, std::string& failed)
{
    boost::system::error_code code;
    auto value = json::parse(request.body, code);
    if (code || !value.is_object())
    {
        failed = code ? code.message() : "not an object";
        return {};
    }
    return std::move(value.as_object());
}

std::string text_of(const json::object& body, const char* name)
{
    const auto* found = body.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

/** Returns the version number, 0 if absent, or nullopt if malformed. */
std::optional<std::uint64_t> version_param(const http_request& request)
{
    const auto version = parse_version(request.param("version", "0"));
    return version ? std::optional(*version) : std::nullopt;
}

error bad_version(const http_request& request)
{
    return error(error_code::bad_syntax,
                 "version \"" + request.param("version") + "\" is not a number",
                 "give a number from `tiller history`");
}

} // namespace

operator_api::operator_api(mesh_state& mesh,
                           distribution_controller& tables,
                           accept_controller& accepts,
                           burn_controller& burn,
                           std::string token)
    : m_mesh(mesh)
    , m_tables(tables)
    , m_accepts(accepts)
    , m_burn(burn)
    , m_token(std::move(token))
{
}

std::span<const operator_api::route> operator_api::routes()
{
    constexpr bool needs_token = true;
    constexpr bool open = false;
    static const std::array table{
        route{"GET", "/ready", &operator_api::ready, open},
        route{"GET", "/health", &operator_api::health, open},
        route{"GET", "/metrics", &operator_api::metrics, open},
        route{"GET", "/v1/status", &operator_api::status, open},
        route{"GET", "/v1/table", &operator_api::table, open},
        route{"GET", "/v1/history", &operator_api::history, open},
        route{"POST", "/v1/check", &operator_api::check, open},
        route{"POST", "/v1/accept", &operator_api::accept, needs_token},
        route{"GET", "/v1/watch", &operator_api::watch, open},
        route{"GET", "/v1/members", &operator_api::members, open},
        route{"GET", "/v1/journal", &operator_api::journal_entries, open},
        route{"GET", "/v1/burn", &operator_api::burn_report, open},
        route{"GET", "/v1/call", &operator_api::call_records, open},
    };
    return table;
}

http_response operator_api::answer(const http_request& request)
{
    const auto known = std::ranges::find_if(
        routes(), [&](const route& each)
        { return each.method == request.method && each.path == request.path; });
    if (known == routes().end())
        return respond(error(error_code::not_found,
                             request.method + " " + request.path,
                             "docs/OPERATORS.md lists what there is"));
    if (known->needs_token && !is_authorized(request))
        return respond(error(error_code::unauthorized,
                             request.path + " needs the operator token"));
    try
    {
        return (this->*known->handle)(request);
    }
    catch (const std::exception& failed)
    {
        m_mesh.board.metrics.get("tillerhall_api_errors_total").add();
        return respond(error(error_code::internal_error,
                             request.path + ": " + failed.what()));
    }
}

bool operator_api::is_authorized(const http_request& request) const
{
    return has_valid_token(request, m_token);
}

http_response operator_api::ready(const http_request&)
{
    const auto phase = m_mesh.board.phase.load();
    return respond(phase == node_phase::ready ? 200 : 503,
                   json::object{{"phase", name_of(phase)}});
}

http_response operator_api::health(const http_request&)
{
    return respond(200,
                   json::object{{"phase", name_of(m_mesh.board.phase.load())}});
}

void operator_api::refresh_gauges()
{
    auto& board = m_mesh.board;
    for (std::size_t i = 0; i < traffic_kind_count; ++i)
    {
        const auto kind = static_cast<traffic_kind>(i);
        const auto label = "kind=\"" + std::string(name_of(kind)) + "\"";
        const auto set = [&](const char* direction, std::uint64_t bytes)
        {
            board.metrics
                .get("tillerhall_control_bytes_total",
                     label + ",direction=\"" + direction + "\"")
                .set(static_cast<std::int64_t>(bytes));
        };
        set("in", board.traffic.bytes_in(kind));
        set("out", board.traffic.bytes_out(kind));
    }
    board.metrics.get("tillerhall_members_live")
        .set(static_cast<std::int64_t>(m_mesh.members.live_count()));
}

http_response operator_api::metrics(const http_request&)
{
    refresh_gauges();
    http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = m_mesh.board.metrics.text();
    return response;
}

http_response operator_api::status(const http_request&)
{
    const auto& board = m_mesh.board;
    const auto& self = m_mesh.members.self();
    const auto& view = *m_tables.current();
    return respond(
        200, json::object{{"node", self.rpc.text()},
                          {"region", self.place.region},
                          {"domain", self.place.domain},
                          {"service", self.service},
                          {"phase", name_of(board.phase.load())},
                          {"target", name_of(self.target_is)},
                          {"version", view.version()},
                          {"digest", view.digest()},
                          {"greatest_seen", m_tables.greatest_seen()},
                          {"accepted_us", board.accepted_us.load()},
                          {"applied_us", board.applied_us.load()},
                          {"members", m_mesh.members.live_count()},
                          {"orphan_routes",
                           orphan_routes(*board.routes.get(), m_mesh.members)},
                          {"targets_serving", serving_targets(m_mesh.members)},
                          {"members_digest", m_mesh.members.digest()},
                          {"strategy", m_tables.strategy().name()},
                          {"control_bytes", board.traffic.total()},
                          {"traffic", to_json(board.traffic)}});
}

http_response operator_api::table(const http_request& request)
{
    const auto version = version_param(request);
    if (!version)
        return respond(bad_version(request));
    const auto& view = m_tables.current();
    if (*version == 0 || *version == view->version())
        return respond(200, json::object{{"version", view->version()},
                                         {"digest", view->digest()},
                                         {"csv", write_csv(view->table())}});
    const auto record = m_accepts.store().read_version(*version);
    if (!record)
        return respond(record.reason());
    const auto read = m_accepts.store().read_table(record->digest);
    if (!read)
        return respond(read.reason());
    return respond(200, json::object{{"version", *version},
                                     {"digest", record->digest},
                                     {"csv", write_csv(*read)}});
}

http_response operator_api::history(const http_request& request)
{
    std::size_t limit = default_history;
    const auto text = request.param("limit");
    if (!text.empty() && text.size() < 6 &&
        std::ranges::all_of(text, [](unsigned char c)
                            { return std::isdigit(c) != 0; }))
        limit = std::clamp<std::size_t>(std::stoul(text), 1, max_history);
    const auto records = m_accepts.store().read_history(limit);
    if (!records)
        return respond(records.reason());
    json::array list;
    for (const auto& each : *records)
        list.push_back(to_json(each));
    return respond(200, json::object{{"versions", std::move(list)}});
}

http_response operator_api::check(const http_request& request)
{
    auto outcome = read_csv(request.body);
    auto problems = std::move(outcome.problems);
    if (problems.empty())
        problems = m_accepts.check(outcome.parsed.table);
    return respond(200,
                   json::object{{"problems", to_json(problems)},
                                {"rows", outcome.parsed.table.rows().size()}});
}

http_response operator_api::accept(const http_request& request)
{
    std::string failed;
    const auto body = parse_body(request, failed);
    if (!failed.empty())
        return respond(error(error_code::bad_syntax, "the body: " + failed,
                             "send a JSON object with csv and accept_id"));
    auto outcome = read_csv(text_of(body, "csv"));
    accept_request wanted;
    wanted.accept_id = text_of(body, "accept_id");
    wanted.author = text_of(body, "author");
    if (wanted.accept_id.empty() || wanted.accept_id.size() > 128)
        return respond(error(error_code::invalid_argument,
                             "accept_id is missing or longer than 128",
                             "give a fresh random accept_id"));
    if (const auto* rebase = body.if_contains("rebase"))
        wanted.rebase = rebase->is_bool() && rebase->as_bool();
    boost::system::error_code code;
    if (const auto* base = body.if_contains("base"))
        wanted.base = base->to_number<std::uint64_t>(code);
    else if (outcome.parsed.base)
        wanted.base = *outcome.parsed.base;
    else
        code = boost::system::errc::make_error_code(
            boost::system::errc::invalid_argument);
    if (code)
        return respond(error(error_code::invalid_argument,
                             "the draft names no base version",
                             "keep the first line that `tiller show` wrote, "
                             "or give --base"));
    if (!outcome.problems.empty())
    {
        accept_outcome refused;
        refused.refused =
            error(error_code::invalid_argument, "the draft cannot be read");
        refused.problems = std::move(outcome.problems);
        return respond(refused);
    }
    wanted.table = std::move(outcome.parsed.table);
    return respond(m_accepts.accept(std::move(wanted)));
}

http_response operator_api::watch(const http_request& request)
{
    auto version = version_param(request);
    if (!version)
        return respond(bad_version(request));
    const bool follows_newest = *version == 0;
    if (follows_newest)
        version = m_tables.current()->version();
    auto report = m_tables.watch(*version);
    if (follows_newest && report.greatest_version > *version)
    {
        // Other nodes have a newer version: watch that one.
        version = report.greatest_version;
        report = m_tables.watch(*version);
    }
    const auto live = m_mesh.members.live_count();
    // False while any live member lags or was not counted.
    const bool in_force =
        report.at() == report.total() && report.total() >= live;
    json::object domains;
    for (const auto& [domain, counted] : report.domains)
        domains[domain] =
            json::object{{"at", counted.at}, {"total", counted.total}};
    return respond(
        200, json::object{{"version", *version},
                          {"in_force", in_force},
                          {"at", report.at()},
                          {"total", report.total()},
                          {"live", live},
                          {"greatest_seen", report.greatest_version},
                          {"domains", std::move(domains)},
                          {"laggards", json::value_from(report.laggards)}});
}

http_response operator_api::members(const http_request&)
{
    json::array list;
    for (const auto& each : m_mesh.members.all())
        list.push_back(to_operator_json(each));
    return respond(200, json::object{{"members", std::move(list)}});
}

http_response operator_api::journal_entries(const http_request& request)
{
    json::array list;
    for (const auto& each :
         m_mesh.board.decisions.about(request.param("subject")))
        list.push_back(to_json(each));
    return respond(200, json::object{{"entries", std::move(list)}});
}

http_response operator_api::burn_report(const http_request&)
{
    return respond(200, m_burn.report());
}

http_response operator_api::call_records(const http_request& request)
{
    json::array list;
    for (const auto& each : m_mesh.board.calls.find(request.param("id")))
        list.push_back(to_json(each));
    return respond(200, json::object{{"calls", std::move(list)}});
}

} // namespace tillerhall
