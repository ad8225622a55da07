/** @file What a target says about itself in the head of a response. */
#pragma once

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string_view>

namespace tillerhall
{

struct wire_names;

/** The fields of a response that concern the target, not the call. */
struct target_notice
{
    /** Requests a second, from all nodes together; unset if not named. */
    std::optional<double> rate_limit;
    /** A rate limit is present but invalid. It neither sets nor ends one. */
    bool has_invalid_limit = false;
    bool is_leaving = false;
};

/** @return the finite decimal number of at least 0 in @p text. */
std::optional<double> parse_rate(std::string_view text);

/** Reads the notice in @p fields. A limit is valid if it is one rate. */
target_notice read_notice(const boost::beast::http::fields& fields,
                          const wire_names& names);

} // namespace tillerhall
