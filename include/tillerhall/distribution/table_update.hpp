/** @file A version on its way: a delta from its parent, or the whole table. */
#pragma once

#include "tillerhall/table/delta.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace tillerhall
{

/** One version as it travels between nodes. */
struct table_update
{
    std::uint64_t version = 0;
    std::string digest;        ///< of the resulting table
    std::string parent_digest; ///< of version - 1, when a delta
    std::int64_t accepted_us = 0;
    std::optional<table_delta> changes;
    std::optional<std::string> whole; ///< canonical CSV
};

/** @return the compact JSON form. */
boost::json::object to_json(const table_update& sent);

/** Reads the compact JSON form. */
result<table_update> update_from_json(const boost::json::object& members);

} // namespace tillerhall
