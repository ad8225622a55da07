/** @file Structured logs: one JSON line for each change of state. */
#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace tillerhall
{

enum class log_level
{
    debug,
    info,
    warn,
    error
};

/** @return whether @p name is a level; if so @p level holds it. */
bool parse_log_level(std::string_view name, log_level& level);

/** Where log lines go. */
enum class log_output
{
    standard_error,
    standard_output
};

/** Sends all log lines of @p least and above to @p to. */
void start_logging(log_level least, log_output to = log_output::standard_error);

/**
 * Writes one line: time, level, @p event and @p fields.
 * For changes of state only; whatever happens per call is a counter.
 */
void log_event(log_level level,
               std::string_view event,
               boost::json::object fields = {});

} // namespace tillerhall
