#include "tillerhall/proxy/client_answers.hpp"
#include "tillerhall/http/call_session.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cstdio>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

// By then new connections no longer go to a node that starts or stops.
constexpr milliseconds retry_elsewhere_after(200);
// A client that retries sooner meets the same queue.
constexpr milliseconds min_retry_after(20);

std::string seconds_text(duration span)
{
    std::array<char, 32> text{};
    const std::chrono::duration<double> seconds = span;
    std::snprintf(text.data(), text.size(), "%.3f", seconds.count());
    return text.data();
}

} // namespace

whole_response client_answers::problem(unsigned status,
                                       const std::string& title,
                                       const std::string& detail,
                                       const std::string& id) const
{
    whole_response response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/problem+json");
    if (!id.empty())
        response.set(m_names.request_id, id);
    response.body() = boost::json::serialize(boost::json::object{
        {"title", title}, {"status", status}, {"detail", detail}});
    response.prepare_payload();
    response.keep_alive(!is_server_error(status));
    return response;
}

whole_response client_answers::refused(const request_fault& fault) const
{
    return problem(fault.status, "the request was refused", fault.detail, "");
}

whole_response client_answers::unavailable(const std::string& id,
                                           const char* why) const
{
    auto response = problem(503, "the call did not run", why, id);
    response.set(http::field::retry_after, seconds_text(retry_elsewhere_after));
    return response;
}

whole_response client_answers::unauthorized(const std::string& id) const
{
    auto response = problem(401, "no account holds this key",
                            "send one key: Authorization: Bearer KEY", id);
    response.set(http::field::www_authenticate, "Bearer");
    return response;
}

whole_response client_answers::over_quota(const std::string& id,
                                          duration retry_after) const
{
    auto response = problem(429, "the call did not run",
                            "the account has spent its quota", id);
    response.set(http::field::retry_after, seconds_text(retry_after));
    return response;
}

whole_response client_answers::not_found(const std::string& id) const
{
    return problem(404, "no route leads there",
                   "no route of this version has that host and path", id);
}

whole_response client_answers::response_to(const std::string& id,
                                           bool may_have_run,
                                           owner_answer answer) const
{
    if (answer.end == call_end::answered)
    {
        auto response = std::move(*answer.response);
        remove_hop_fields(response);
        frame_by_length(response);
        response.keep_alive(!is_server_error(response.result_int()));
        return response;
    }
    if (answer.end == call_end::not_run && !may_have_run)
    {
        auto response = problem(503, "the call did not run", answer.reason, id);
        response.set(http::field::retry_after,
                     seconds_text(std::max<duration>(answer.retry_after,
                                                     min_retry_after)));
        return response;
    }
    if (answer.end == call_end::timed_out)
        return problem(504, "no answer in time", answer.reason, id);
    return problem(502, "the answer was lost", answer.reason, id);
}

} // namespace tillerhall
