/** @file How orders of roll-outs and their states stand in the store. */
#pragma once

#include "tillerhall/rollout/rollout_record.hpp"
#include "tillerhall/rollout/stored_verdict.hpp"
#include "tillerhall/store/row_store.hpp"

#include <functional>
#include <optional>

namespace tillerhall
{

/** What an adapter knows of the rows of roll-outs. */
struct rollout_source
{
    /** Reads a row of the table that holds the routes. @return nothing if it
     * is no order; else the order, or why it is refused. */
    std::function<std::optional<result<rollout_order>>(const stored_row&)>
        decode_order;

    /** @return the row that holds the order for a service, and its text. */
    std::function<row_name(const std::string& service)> order_row;
    std::function<std::string(const rollout_order&)> encode_order;

    /** @return the row that tells how the roll-out of a service stands. */
    std::function<row_name(const std::string& service)> verdict_row;

    std::function<result<stored_verdict>(const stored_row&)> decode_verdict;
    std::function<std::string(const std::string& service,
                              const stored_verdict&)>
        encode_verdict;
};

} // namespace tillerhall
