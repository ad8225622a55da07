/** @file What a target has said that restricts the calls to it. */
#pragma once

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>

namespace tillerhall
{

/**
 * What one start of a target has said of itself. An owner sends it with its
 * answers; an entry sends it back with later calls, so that the owner keeps to
 * it if it has restarted since.
 */
struct target_constraints
{
    std::string start;                ///< see `target_report::start`
    std::optional<double> rate_limit; ///< requests a second
    bool is_leaving = false;

    friend bool operator==(const target_constraints&,
                           const target_constraints&) = default;
};

/** Sets the fields for @p constraints; removes those of other ones. */
void write_constraints(boost::beast::http::fields& fields,
                       const std::optional<target_constraints>& constraints);

/** Reads and removes the fields. @return nothing if there are none */
std::optional<target_constraints>
take_constraints(boost::beast::http::fields& fields);

} // namespace tillerhall
