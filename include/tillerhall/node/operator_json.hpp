/** @file How the operator API shows things as JSON. */
#pragma once

#include "tillerhall/http/message.hpp"
#include "tillerhall/node/accept_controller.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/node/call_log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace tillerhall
{

/** @return the HTTP status for a failure of this kind. */
unsigned status_of(error_code code);

boost::json::object to_json(const error& shown);
boost::json::array to_json(const std::vector<error>& problems);
boost::json::object to_json(const version_record& record);
boost::json::object to_json(const merge_conflict& conflict);
boost::json::object to_json(const call_record& account);
boost::json::object to_json(const journal_entry& entry);

/** Shows a member as operators know it, not as it travels. */
boost::json::object to_operator_json(const member& shown);

/** @return control bytes in and out, by kind. */
boost::json::object to_json(const traffic_counters& traffic);

/** @return a response with @p body, or one that tells of a failure. */
http_response respond(unsigned status, const boost::json::value& body);
http_response respond(const error& failed);
http_response respond(const accept_outcome& outcome);

/** @return routes in force that name a service or target not known here. */
std::int64_t orphan_routes(const route_view& routes,
                           const member_list& members);

/** @return targets that take calls. */
std::int64_t serving_targets(const member_list& members);

} // namespace tillerhall
