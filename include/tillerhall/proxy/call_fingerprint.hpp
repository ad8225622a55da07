/** @file Identifies equal calls by the parts that a target reads. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/http/whole_message.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

struct call_quarantine;
class poison_calls;

/**
 * An identifier shared by all tries of one call, whichever client sends them
 * and whichever entry receives them; request ids differ for each try. Covers
 * method, host, path, query and body. The caller is left out because a call
 * that crashes a target for one caller does so for all.
 */
struct call_fingerprint
{
    std::string head; ///< digest of method, host, path and query
    std::string body; ///< digest of the body; empty without a body

    /** @return both parts as one text, for logs and for other nodes. */
    std::string text() const { return body.empty() ? head : head + '.' + body; }
};

/** @return the part of the fingerprint that does not need the body. */
std::string head_fingerprint(const whole_request& request);

/** @return the fingerprint of @p request; reads the whole body. */
call_fingerprint fingerprint_of(const whole_request& request);

/**
 * @return the quarantine of @p request, see `poison_calls::quarantine_of`.
 * Computes no digest while no crash is known, and none of the body unless the
 * head matches a known poison call: then 0.6 us a call, and 0.8 us for each KB
 * of the body.
 * @param crashed_at owners whose target crashed while it ran @p request
 */
std::optional<call_quarantine>
quarantine_of(const poison_calls& known,
              const whole_request& request,
              const std::vector<address>& crashed_at = {});

} // namespace tillerhall
