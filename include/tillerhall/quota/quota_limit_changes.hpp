/** @file Which changes of limits a ledger announces at once. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/quota/quota_message.hpp"

#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * The limits that the entries of a failure domain last received. A limit that
 * is new or much lower is announced to all at once: entries with few calls send
 * counts rarely, and many of them would each admit a call before they receive
 * the limit. Smaller changes go with the answers to counts. Does no I/O.
 */
class quota_limit_changes
{
public:
    /** @return whether @p limits must be announced now. Stores them, unless an
     * announcement is due but too soon after the last. */
    bool take(const std::vector<quota_limit>& limits, time_point now);

private:
    std::map<std::string, double> m_announced; ///< admitted shares, by account
    time_point m_announced_at{};
};

} // namespace tillerhall
