#include "tillerhall/proxy/owner_answer.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::array call_fields{
    hop_field::service,        hop_field::kind,
    hop_field::rank,           hop_field::origin,
    hop_field::time_left_ms,   hop_field::objective_ms,
    hop_field::nested,         hop_field::elapsed_ms,
    hop_field::probe,          hop_field::account_rank,
    hop_field::account_name,   hop_field::has_accounts,
    hop_field::queue_rank,     hop_field::parent_left_ms,
    hop_field::other_domain,   hop_field::repeat,
    hop_field::account_weight, hop_field::return_handled};
constexpr std::array answer_fields{
    hop_field::saturated,       hop_field::end,
    hop_field::reached,         hop_field::load,
    hop_field::run_ms,          hop_field::slots,
    hop_field::link_backlog_ms, hop_field::reason,
    hop_field::retry_after_ms,  hop_field::others_refuse,
    hop_field::target_crashed,  hop_field::with_room,
    hop_field::slowness,        hop_field::return_handled,
    hop_field::incoming,        hop_field::proof,
    hop_field::sent_to,         hop_field::connection,
    hop_field::place,           hop_field::skipped};

/** Name of a field that the receiver removes, since it is in @p list; another
 * name does not compile. */
template <const auto& list>
class listed_field
{
public:
    // NOLINTNEXTLINE(google-explicit-constructor): used as an argument
    consteval listed_field(const char* name)
        : m_name(name)
    {
        if (std::ranges::find(list, std::string_view(name),
                              [](const char* each)
                              { return std::string_view(each); }) == list.end())
            throw "the field is missing in the list";
    }

    const char* name() const noexcept { return m_name; }

private:
    const char* m_name;
};

void set_field(request_head& request,
               listed_field<call_fields> field,
               std::string_view value)
{
    request.set(field.name(), value);
}

void set_field(whole_response& response,
               listed_field<answer_fields> field,
               std::string_view value)
{
    response.set(field.name(), value);
}

void remove_answer_fields(whole_response& response)
{
    for (const auto* name : answer_fields)
        response.erase(name);
}

constexpr unsigned refusal_status = 503;

template <class Number>
std::optional<Number> number_in(std::string_view text)
{
    Number number{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

void write_last_send(whole_response& response, const last_send& sent)
{
    set_field(response, hop_field::sent_to, sent.target);
    set_field(response, hop_field::connection, std::to_string(sent.connection));
    set_field(response, hop_field::place, std::to_string(sent.place));
    if (sent.skipped > 0)
        set_field(response, hop_field::skipped, std::to_string(sent.skipped));
}

std::optional<last_send> last_send_in(const whole_response& response)
{
    if (response.count(hop_field::sent_to) == 0)
        return std::nullopt;
    return last_send{
        std::string(response[hop_field::sent_to]),
        number_in<std::uint64_t>(response[hop_field::connection]).value_or(0),
        number_in<std::size_t>(response[hop_field::place]).value_or(0),
        number_in<unsigned>(response[hop_field::skipped]).value_or(0)};
}

std::string tenths(double number)
{
    constexpr double ten = 10;
    return std::to_string(static_cast<std::int64_t>(number * ten));
}

double from_tenths(std::string_view text)
{
    constexpr double ten = 10;
    return static_cast<double>(number_in<std::int64_t>(text).value_or(0)) / ten;
}

constexpr double thousand = 1'000;

std::string thousandths(double number)
{
    return std::to_string(std::llround(number * thousand));
}

/** @return 1 if @p text is no positive number. */
double from_thousandths(std::string_view text)
{
    const auto number = number_in<std::uint32_t>(text).value_or(0);
    return number == 0 ? 1 : static_cast<double>(number) / thousand;
}

std::string percent(double share)
{
    constexpr double hundred = 100;
    return std::to_string(static_cast<std::int64_t>(share * hundred));
}

} // namespace

call_outcome outcome_of(exchange_end end) noexcept
{
    constexpr std::array outcomes{
        call_outcome(call_end::answered),
        call_outcome::not_run(not_run_proof::not_written),
        call_outcome::not_run(not_run_proof::discarded),
        call_outcome(call_end::unknown),
        call_outcome(call_end::timed_out),
        call_outcome(call_end::cancelled)};
    return outcomes[static_cast<std::size_t>(end)];
}

bool is_handed_over(exchange_end end) noexcept
{
    return end != exchange_end::not_written && end != exchange_end::discarded;
}

bool limit_deadline(owner_call& call, time_point calls_end)
{
    const bool is_limited = calls_end < call.deadline;
    call.deadline = std::min(call.deadline, calls_end);
    return is_limited;
}

void ended_early(owner_answer& answer)
{
    if (answer.end != call_end::timed_out)
        return;
    answer.end = call_end::unknown;
    answer.reason = ended_with_node;
}

whole_request load_query(const std::string& id_field)
{
    whole_request query(http::verb::get, "/", 11);
    query.set(http::field::host, load_query_id); // required by HTTP/1.1
    query.set(id_field, load_query_id);
    query.set(hop_field::query, "load");
    query.keep_alive(true);
    return query;
}

whole_request transfer_slot_claim(const std::string& id_field,
                                  std::uint64_t bytes)
{
    auto query = load_query(id_field);
    query.set(hop_field::claim, std::to_string(bytes));
    return query;
}

std::optional<std::uint64_t> claimed_bytes(const whole_request& query)
{
    return number_in<std::uint64_t>(query[hop_field::claim]);
}

bool is_load_query(const whole_request& request)
{
    return request.count(hop_field::query) != 0;
}

void write_hop_fields(request_head& request,
                      const owner_call& call,
                      time_point now)
{
    // Optional fields are not always set; a client may have sent its own.
    for (const auto* name : call_fields)
        request.erase(name);
    set_field(request, hop_field::service, call.service);
    set_field(request, hop_field::origin, call.origin);
    set_field(request, hop_field::kind,
              std::to_string(static_cast<unsigned>(call.kind)));
    set_field(request, hop_field::rank, std::to_string(call.rank));
    set_field(
        request, hop_field::time_left_ms,
        std::to_string(std::max<std::int64_t>(0, to_ms(call.deadline - now))));
    set_field(request, hop_field::objective_ms,
              std::to_string(to_ms(call.objective)));
    if (call.elapsed > duration::zero())
        set_field(request, hop_field::elapsed_ms,
                  std::to_string(to_ms(call.elapsed)));
    if (call.nested)
        set_field(request, hop_field::nested, "1");
    if (call.parent_rank)
        set_field(request, hop_field::queue_rank,
                  std::to_string(*call.parent_rank));
    if (call.parent_left)
        set_field(request, hop_field::parent_left_ms,
                  std::to_string(to_ms(*call.parent_left)));
    if (call.account)
    {
        set_field(request, hop_field::has_accounts, "1");
        set_field(request, hop_field::account_name, *call.account);
        set_field(request, hop_field::account_rank,
                  std::to_string(call.account_rank));
        if (call.account_weight != 1)
            set_field(request, hop_field::account_weight,
                      thousandths(call.account_weight));
    }
    if (call.is_probe)
        set_field(request, hop_field::probe, "1");
    if (call.from_other_domain)
        set_field(request, hop_field::other_domain, "1");
    if (call.is_repeat)
        set_field(request, hop_field::repeat, "1");
    if (call.return_handled)
        set_field(request, hop_field::return_handled, "1");
    write_constraints(request, call.constraints);
}

duration peer_time_left(const request_head& head)
{
    return milliseconds(
        number_in<std::int64_t>(head[hop_field::time_left_ms]).value_or(0));
}

std::optional<owner_call> take_hop_fields(received_request& request,
                                          const std::string& id_field)
{
    auto& message = request.message;
    owner_call call;
    call.request_id = std::string(message[id_field]);
    call.service = std::string(message[hop_field::service]);
    call.origin = std::string(message[hop_field::origin]);
    const auto kind = number_in<unsigned>(message[hop_field::kind]);
    const auto rank = number_in<std::uint32_t>(message[hop_field::rank]);
    const auto left = number_in<std::int64_t>(message[hop_field::time_left_ms]);
    const auto objective =
        number_in<std::int64_t>(message[hop_field::objective_ms]);
    constexpr auto last_kind = static_cast<unsigned>(call_kind::last);
    if (call.request_id.empty() || call.service.empty() || !kind ||
        *kind > last_kind || !rank || !left || !objective)
        return std::nullopt;
    call.kind = static_cast<call_kind>(*kind);
    call.rank = *rank;
    call.deadline = request.received + milliseconds(*left);
    call.objective = milliseconds(*objective);
    call.elapsed = milliseconds(
        number_in<std::int64_t>(message[hop_field::elapsed_ms]).value_or(0));
    call.nested = message.count(hop_field::nested) != 0;
    call.parent_rank = number_in<std::uint32_t>(message[hop_field::queue_rank]);
    if (const auto parent_left =
            number_in<std::int64_t>(message[hop_field::parent_left_ms]))
        call.parent_left = milliseconds(*parent_left);
    if (message.count(hop_field::has_accounts) != 0)
    {
        call.account = std::string(message[hop_field::account_name]);
        call.account_rank =
            number_in<std::uint32_t>(message[hop_field::account_rank])
                .value_or(0);
        call.account_weight =
            from_thousandths(message[hop_field::account_weight]);
    }
    call.is_probe = message.count(hop_field::probe) != 0;
    call.from_other_domain = message.count(hop_field::other_domain) != 0;
    call.is_repeat = message.count(hop_field::repeat) != 0;
    call.return_handled = message.count(hop_field::return_handled) != 0;
    call.constraints = take_constraints(message);
    for (const auto* name : call_fields)
        message.erase(name);
    return call;
}

whole_response to_hop_response(owner_answer answer,
                               const owner_call& call,
                               const std::string& id_field)
{
    whole_response response =
        answer.response
            ? std::move(*answer.response)
            : whole_response(static_cast<http::status>(refusal_status), 11);
    // A target may have sent such fields.
    response.erase(hop_field::goaway);
    remove_answer_fields(response);
    response.set(id_field, call.request_id);
    set_field(response, hop_field::end, name_of(answer.end));
    if (answer.end == call_end::not_run)
        set_field(response, hop_field::proof, name_of(answer.end.proof()));
    if (answer.sent)
        write_last_send(response, *answer.sent);
    set_field(response, hop_field::reached, answer.reached ? "1" : "0");
    if (answer.report.load)
        set_field(response, hop_field::load, percent(*answer.report.load));
    set_field(response, hop_field::run_ms, tenths(answer.report.run_ms));
    set_field(response, hop_field::slots, tenths(answer.report.slots));
    if (answer.report.slowness != 1)
        set_field(response, hop_field::slowness,
                  percent(answer.report.slowness));
    if (answer.report.incoming_bytes > 0)
        set_field(response, hop_field::incoming,
                  std::to_string(answer.report.incoming_bytes));
    if (answer.report.link_backlog > milliseconds::zero())
        set_field(response, hop_field::link_backlog_ms,
                  std::to_string(answer.report.link_backlog.count()));
    if (answer.report.is_saturated)
        set_field(response, hop_field::saturated, "1");
    if (answer.others_would_refuse)
        set_field(response, hop_field::others_refuse, "1");
    if (answer.target_crashed)
        set_field(response, hop_field::target_crashed, "1");
    if (answer.refused_with_room)
        set_field(response, hop_field::with_room, "1");
    if (answer.return_handled)
        set_field(response, hop_field::return_handled, "1");
    write_constraints(response, answer.constraints);
    if (!answer.reason.empty())
        set_field(response, hop_field::reason, answer.reason);
    if (answer.retry_after > duration::zero())
        set_field(response, hop_field::retry_after_ms,
                  std::to_string(to_ms(answer.retry_after)));
    frame_by_length(response);
    return response;
}

whole_response goaway_response()
{
    whole_response response(static_cast<http::status>(refusal_status), 11);
    response.set(hop_field::goaway, "1");
    response.keep_alive(false);
    response.prepare_payload();
    return response;
}

owner_answer from_hop_response(whole_response response)
{
    owner_answer answer;
    answer.reached = response[hop_field::reached] != "0";
    if (response.count(hop_field::end) == 0)
    {
        answer.reason = "the node's answer does not say how the call ended";
        return answer;
    }
    answer.end = call_outcome::from_names(response[hop_field::end],
                                          response[hop_field::proof]);
    answer.others_would_refuse = response.count(hop_field::others_refuse) != 0;
    answer.return_handled = response.count(hop_field::return_handled) != 0;
    answer.target_crashed = response.count(hop_field::target_crashed) != 0;
    answer.refused_with_room = response.count(hop_field::with_room) != 0;
    answer.reason = std::string(response[hop_field::reason]);
    answer.retry_after = milliseconds(
        number_in<std::int64_t>(response[hop_field::retry_after_ms])
            .value_or(0));
    constexpr double hundred = 100;
    if (const auto load = number_in<std::int64_t>(response[hop_field::load]))
        answer.report.load = static_cast<double>(*load) / hundred;
    answer.report.run_ms = from_tenths(response[hop_field::run_ms]);
    answer.report.slots = from_tenths(response[hop_field::slots]);
    if (const auto slowness =
            number_in<std::int64_t>(response[hop_field::slowness]);
        slowness && *slowness > 0)
        answer.report.slowness = static_cast<double>(*slowness) / hundred;
    answer.report.incoming_bytes =
        number_in<std::uint64_t>(response[hop_field::incoming]).value_or(0);
    answer.report.link_backlog = milliseconds(
        number_in<std::int64_t>(response[hop_field::link_backlog_ms])
            .value_or(0));
    answer.report.is_saturated = response.count(hop_field::saturated) != 0;
    answer.constraints = take_constraints(response);
    if (answer.end != call_end::answered)
    {
        answer.sent = last_send_in(response);
        return answer;
    }
    remove_answer_fields(response);
    answer.response = std::move(response);
    return answer;
}

} // namespace tillerhall
