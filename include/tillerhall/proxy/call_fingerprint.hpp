/** @file Names a call by what its target reads of it. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/http/whole_message.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

struct call_hold;
class suspect_calls;

/**
 * A name that all tries of one call share, whoever sends them and wherever
 * they come in: each try has an id of its own. It covers method, host, path,
 * query and body. Who calls is left out: the same call may begin at hosts of
 * several services, and what ends a target from one ends it from the others.
 */
struct call_fingerprint
{
    std::string head; ///< of all but the body
    std::string body; ///< empty where there is none

    /** @return both in one text, for logs and for other nodes. */
    std::string text() const { return body.empty() ? head : head + '.' + body; }
};

/** @return the part that needs no look at the body. */
std::string head_fingerprint(const whole_request& request);

/** @return the name of @p request; reads the whole body. */
call_fingerprint fingerprint_of(const whole_request& request);

/**
 * @return how @p request is held, see `suspect_calls::hold_of`.
 * Nothing is digested while no end of a target is known; then 0.6 us a call,
 * and 0.8 us for each KB of body where the head is a suspect's.
 */
std::optional<call_hold> hold_of(const suspect_calls& known,
                                 const whole_request& request,
                                 const std::vector<address>& crashed_at = {});

} // namespace tillerhall
