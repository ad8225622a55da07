/** @file How the end of a call reads to its client. */
#pragma once

#include "tillerhall/proxy/owner_answer.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <string>

namespace tillerhall
{

struct request_fault;

/** Makes the responses of an entry that are not a target's own. */
class client_answers
{
public:
    explicit client_answers(const wire_names& names)
        : m_names(names)
    {
    }

    /** A request that was not understood. */
    whole_response refused(const request_fault& fault) const;

    /** No route leads where the call @p id wants to go. */
    whole_response not_found(const std::string& id) const;

    /** The call @p id carries no key, or one that nobody holds. */
    whole_response unauthorized(const std::string& id) const;

    /** The account of the call @p id has spent its quota. @param back when
     * its next tokens are there */
    whole_response over_quota(const std::string& id,
                              duration retry_after) const;

    /** This node takes no calls now; another one may. */
    whole_response unavailable(const std::string& id, const char* why) const;

    /**
     * What became of the call @p id. @param may_have_run in an earlier try, so
     * that a refusal would promise too much
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
