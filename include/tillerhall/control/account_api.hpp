/** @file HTTP API for operators: accounts, their quotas and what they spent. */
#pragma once

#include "tillerhall/control/quota_controller.hpp"
#include "tillerhall/http/message.hpp"

#include <optional>

namespace tillerhall
{

/**
 * Serves GET /v1/accounts?limit=N&account=NAME at the operators' address. Any
 * node answers with the figures of a ledger, that of its failure domain first.
 */
class account_api
{
public:
    explicit account_api(quota_controller& quotas)
        : m_quotas(quotas)
    {
    }

    /** Returns nothing if @p request is for another path or method. */
    std::optional<http_response> answer(const http_request& request) const;

private:
    quota_controller& m_quotas;
};

} // namespace tillerhall
