#include "harness/caller.hpp"

#include <boost/json.hpp>

namespace tillerhall::harness
{
namespace
{

std::string text_in(const boost::json::value& body, const char* name)
{
    const auto* members = body.if_object();
    const auto* found = members ? members->if_contains(name) : nullptr;
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

} // namespace

call_outcome caller::call(const call_request& made)
{
    auto fields = made.fields;
    if (!made.id.empty())
        fields["X-Request-Id"] = made.id;
    const auto begin = steady_clock::now();
    const auto response = m_client.send(
        {made.method, made.target, made.body, "", made.service, fields},
        made.timeout);
    call_outcome outcome;
    outcome.took = steady_clock::now() - begin;
    if (!response)
        return outcome;
    outcome.answered = true;
    outcome.status = response->status;
    outcome.body = response->body;
    if (const auto word = response->fields.find("Tillerhall-Outcome");
        word != response->fields.end())
        outcome.outcome = word->second;
    boost::system::error_code failed;
    const auto body = boost::json::parse(response->body, failed);
    if (!failed)
    {
        outcome.target = text_in(body, "target");
        outcome.id = text_in(body, "id");
    }
    return outcome;
}

} // namespace tillerhall::harness
