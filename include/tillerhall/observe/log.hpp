/** @file Structured log: one JSON line per event. */
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

/** Sets @p level to the one called @p name. @return false if there is none. */
bool parse_log_level(std::string_view name, log_level& level);

/** The stream that log lines are written to. */
enum class log_output
{
    standard_error,
    standard_output
};

/** Writes log lines of @p min_level and above to @p to. */
void start_logging(log_level min_level,
                   log_output to = log_output::standard_error);

/**
 * Writes one line with time, level, @p event, commit of the build and
 * @p fields.
 * For changes of state; events of single calls are counted in metrics.
 */
void log_event(log_level level,
               std::string_view event,
               boost::json::object fields = {});

} // namespace tillerhall
