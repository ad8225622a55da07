#include "tillerhall/control/rollout_api.hpp"

#include "tillerhall/node/operator_json.hpp"
#include "tillerhall/node/operator_token.hpp"

#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr const char* path = "/v1/rollouts";
constexpr double ms_per_s = 1000;
// Time limits of a roll-out; a comparison needs at least some seconds of calls.
constexpr double min_s = 5;
constexpr double max_s = 7 * 86'400;

result<rollout_order> parse_order(const std::string& body)
{
    const error bad(
        error_code::invalid_argument, "not an order: " + body,
        R"(send {"service": S, "release": R, "time_s": 5 or more})");
    boost::system::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object())
        return bad;
    const auto& members = parsed.as_object();
    rollout_order order;
    for (const auto& [name, text] : {std::pair{"service", &order.service},
                                     std::pair{"release", &order.release}})
    {
        const auto* given = members.if_contains(name);
        if (given == nullptr || !given->is_string() ||
            given->as_string().empty())
            return bad;
        *text = std::string(given->as_string());
    }
    const auto* time = members.if_contains("time_s");
    const double seconds =
        time == nullptr ? 0 : time->to_number<double>(failed);
    if (failed || !(seconds >= min_s && seconds <= max_s))
        return bad;
    order.time = milliseconds(static_cast<std::int64_t>(seconds * ms_per_s));
    return order;
}

} // namespace

rollout_api::rollout_api(rollout_registry& registry,
                         rollout_decider& decider,
                         rollout_store_sync& store_sync,
                         std::string token)
    : m_registry(registry)
    , m_decider(decider)
    , m_store_sync(store_sync)
    , m_token(std::move(token))
{
}

std::optional<http_response> rollout_api::answer(const http_request& request)
{
    if (request.path != path)
        return std::nullopt;
    if (request.method == "GET")
        return respond(200, json::object{{"rollouts", m_decider.describe()}});
    if (!has_valid_token(request, m_token))
        return respond(error(error_code::unauthorized,
                             "a change of roll-outs needs the token"));
    if (request.method == "POST")
        return post_order(request);
    if (request.method == "DELETE")
        return revert(request);
    return std::nullopt;
}

http_response rollout_api::post_order(const http_request& request)
{
    const auto wanted = parse_order(request.body);
    return wanted ? submit(*wanted) : respond(wanted.reason());
}

http_response rollout_api::revert(const http_request& request)
{
    const auto service = request.param("service");
    const auto* known = m_registry.find(service);
    if (known == nullptr || known->state != rollout_state::running ||
        known->stable.empty())
        return respond(error(error_code::conflict,
                             "no roll-out of \"" + service +
                                 "\" runs that could be taken back",
                             "see tiller rollout"));
    auto back = known->order;
    back.release = known->stable;
    return submit(back);
}

http_response rollout_api::submit(const rollout_order& wanted)
{
    const auto given = m_store_sync.store_order(wanted);
    if (!given)
        return respond(given.reason());
    return respond(200, json::object{{"service", wanted.service},
                                     {"release", wanted.release},
                                     {"revision", *given}});
}

} // namespace tillerhall
