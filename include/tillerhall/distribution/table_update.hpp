/** @file A version in transit: a delta from its parent, or the whole table. */
#pragma once

#include "tillerhall/table/delta.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace tillerhall
{

/** A version as it is sent between nodes. */
struct table_update
{
    std::uint64_t version = 0;
    std::string digest;           ///< of the resulting table
    std::string parent_digest;    ///< of version - 1, for a delta
    std::int64_t accepted_us = 0; ///< wall clock at the accept
    std::optional<table_delta> changes;
    std::optional<std::string> whole; ///< canonical CSV
};

boost::json::object to_json(const table_update& sent);

/** Returns the update, or protocol_error if it is malformed. */
result<table_update> update_from_json(const boost::json::object& members);

} // namespace tillerhall
