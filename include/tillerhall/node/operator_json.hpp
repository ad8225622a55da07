/** @file JSON representations of the operator API. */
#pragma once

#include "tillerhall/http/message.hpp"
#include "tillerhall/node/accept_controller.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/node/call_log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace tillerhall
{

/** Returns the HTTP status for @p code. */
unsigned status_of(error_code code);

boost::json::object to_json(const error& value);
boost::json::array to_json(const std::vector<error>& problems);
boost::json::object to_json(const version_record& record);
boost::json::object to_json(const merge_conflict& conflict);
boost::json::object to_json(const call_record& record);
boost::json::object to_json(const journal_entry& entry);

/** Returns a member as shown to operators, unlike the wire format. */
boost::json::object to_operator_json(const member& value);

/** Returns the control bytes received and sent, by kind. */
boost::json::object to_json(const traffic_counters& traffic);

/** Returns a response with the body @p body, or with the details of an error.
 */
http_response respond(unsigned status, const boost::json::value& body);
http_response respond(const error& failed);
http_response respond(const accept_outcome& outcome);

/** Returns the number of routes whose service or target is unknown. */
std::int64_t orphan_routes(const route_view& routes,
                           const member_list& members);

/** Returns the number of targets that take calls. */
std::int64_t serving_targets(const member_list& members);

} // namespace tillerhall
