/** @file Determines the client account of a call from its key. */
#pragma once

#include "tillerhall/http/whole_message.hpp"
#include "tillerhall/routing/call_routes.hpp"

namespace tillerhall
{

/** Result of the check of a caller. */
enum class caller_status
{
    anonymous,      ///< no account is required and none is given
    account,        ///< the key belongs to an account
    target,         ///< made by a run of the local target; uses no account
    unverified,     ///< no key, and perhaps made by a run that is not known
    unauthenticated ///< no key, a malformed one or one without an account
};

/** The caller of a call. */
struct caller_identity
{
    caller_status status = caller_status::anonymous;
    const client_account* account = nullptr; ///< owned by the routes

    bool may_call() const noexcept
    {
        return status != caller_status::unverified &&
               status != caller_status::unauthenticated;
    }
};

/** What the request id shows about the origin of a call. */
struct caller_evidence
{
    bool made_by_run = false;  ///< it names an active run of the local target
    bool looks_nested = false; ///< it has the form of an id made by a run
};

/**
 * Checks the key of a call. A key is required if the version has accounts and
 * the route is not open; an unknown key is refused on open routes too. A call
 * without a key is accepted as the target's own only if its id names an active
 * run here. If the id merely looks nested, perhaps because this process has
 * restarted since, the result is `unverified`, not `unauthenticated`. Does
 * no I/O.
 */
caller_identity identify_caller(const whole_request& request,
                                const call_routes& routes,
                                const call_route& route,
                                const caller_evidence& evidence);

} // namespace tillerhall
