#include "harness/caller.hpp"

#include <boost/json.hpp>

namespace tillerhall::harness
{
namespace
{

std::string string_member(const boost::json::value& body, const char* name)
{
    const auto* members = body.if_object();
    const auto* found = members ? members->if_contains(name) : nullptr;
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

} // namespace

call_outcome caller::call(const call_request& request)
{
    auto fields = request.fields;
    if (!request.id.empty())
        fields["X-Request-Id"] = request.id;
    const auto begin = steady_clock::now();
    const auto response =
        m_client.send({request.method, request.target, request.body, "",
                       request.service, fields},
                      request.timeout);
    call_outcome outcome;
    outcome.took = steady_clock::now() - begin;
    if (!response)
        return outcome;
    outcome.answered = true;
    outcome.status = response->status;
    outcome.body = response->body;
    if (const auto header = response->fields.find("Tillerhall-Outcome");
        header != response->fields.end())
        outcome.outcome = header->second;
    boost::system::error_code failed;
    const auto body = boost::json::parse(response->body, failed);
    if (!failed)
    {
        outcome.target = string_member(body, "target");
        outcome.id = string_member(body, "id");
    }
    return outcome;
}

} // namespace tillerhall::harness
