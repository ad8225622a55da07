/** @file How roll-out orders and states are stored. */
#pragma once

#include "tillerhall/rollout/rollout_record.hpp"
#include "tillerhall/rollout/stored_rollout_state.hpp"
#include "tillerhall/store/row_store.hpp"

#include <functional>
#include <optional>

namespace tillerhall
{

/** Mapping between roll-outs and rows, supplied by a platform adapter. */
struct rollout_source
{
    /** Decodes a row of the table that holds the routes. Returns nothing if the
     * row is not an order, else the order or why it is refused. */
    std::function<std::optional<result<rollout_order>>(const stored_row&)>
        decode_order;

    /** Returns the row of a service's order. */
    std::function<row_name(const std::string& service)> order_row;
    /** Returns the value of the row. */
    std::function<std::string(const rollout_order&)> encode_order;

    /** Returns the row of the state of a service's roll-out. */
    std::function<row_name(const std::string& service)> state_row;

    std::function<result<stored_rollout_state>(const stored_row&)> decode_state;
    std::function<std::string(const std::string& service,
                              const stored_rollout_state&)>
        encode_state;
};

} // namespace tillerhall
