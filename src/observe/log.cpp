#include "tillerhall/observe/log.hpp"
#include "tillerhall/core/time.hpp"
#include "tillerhall/observe/build_version.hpp"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace tillerhall
{
namespace
{

struct level_entry
{
    log_level level;
    std::string_view name;
    log4cplus::LogLevel value;
};

constexpr std::array level_table{
    level_entry{log_level::debug, "debug", log4cplus::DEBUG_LOG_LEVEL},
    level_entry{log_level::info, "info", log4cplus::INFO_LOG_LEVEL},
    level_entry{log_level::warn, "warn", log4cplus::WARN_LOG_LEVEL},
    level_entry{log_level::error, "error", log4cplus::ERROR_LOG_LEVEL},
};

const level_entry& entry_of(log_level level)
{
    return *std::ranges::find(level_table, level, &level_entry::level);
}

} // namespace

bool parse_log_level(std::string_view name, log_level& level)
{
    const auto found = std::ranges::find(level_table, name, &level_entry::name);
    if (found == level_table.end())
        return false;
    level = found->level;
    return true;
}

void start_logging(log_level min_level, log_output to)
{
    static log4cplus::Initializer initializer;
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.setLogLevel(entry_of(min_level).value);
    const bool to_stderr = to == log_output::standard_error;
    constexpr bool flush_each = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(to_stderr, flush_each));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    root.addAppender(appender);
}

void log_event(log_level level,
               std::string_view event,
               boost::json::object fields)
{
    const auto& entry = entry_of(level);
    auto root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(entry.value))
        return;
    boost::json::object line{{"time_us", wall_clock_us()},
                             {"level", entry.name},
                             {"event", event},
                             {"build", this_build().commit}};
    for (auto& field : fields)
        line.insert_or_assign(field.key(), std::move(field.value()));
    root.log(entry.value, boost::json::serialize(line));
}

} // namespace tillerhall
