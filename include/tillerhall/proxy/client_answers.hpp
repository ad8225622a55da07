/** @file Builds the responses of an entry to its clients. */
#pragma once

#include "tillerhall/proxy/owner_answer.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <string>

namespace tillerhall
{

struct request_fault;

/** Builds responses that do not come from a target. */
class client_answers
{
public:
    explicit client_answers(const wire_names& names)
        : m_names(names)
    {
    }

    /** The request could not be parsed. */
    whole_response refused(const request_fault& fault) const;

    /** No route matches the call @p id. */
    whole_response not_found(const std::string& id) const;

    /** The call @p id carries no key, or one of no account. */
    whole_response unauthorized(const std::string& id) const;

    /** The account of the call @p id has no quota left.
     * @param retry_after time until it has */
    whole_response over_quota(const std::string& id,
                              duration retry_after) const;

    /** This node takes no calls now; another one may. */
    whole_response unavailable(const std::string& id, const char* why) const;

    /**
     * The final response to the call @p id.
     * @param may_have_run an earlier try has an unknown outcome, so the
     * response must not say that the call did not run
     */
    whole_response response_to(const std::string& id,
                               bool may_have_run,
                               owner_answer answer) const;

private:
    whole_response problem(unsigned status,
                           const std::string& title,
                           const std::string& detail,
                           const std::string& id) const;

    const wire_names& m_names;
};

} // namespace tillerhall
