/** @file Error codes with their names and remedies, and the error value. */
#pragma once

#include <string>
#include <string_view>

namespace tillerhall
{

/** The kinds of failure that the library reports. */
enum class error_code
{
    none,
    invalid_argument,
    bad_syntax,
    out_of_range,
    unknown_name,
    duplicate,
    not_found,
    conflict,
    unavailable,
    timed_out,
    connection_failed,
    connection_lost,
    too_large,
    protocol_error,
    unauthorized,
    not_ready,
    retry_later,
    outcome_unknown,
    corrupt,
    history_lost,
    internal_error
};

/** @return the name of @p code in JSON and logs; it does not change. */
std::string_view name_of(error_code code) noexcept;

/** @return the standard advice to an operator for @p code. */
std::string_view remedy_of(error_code code) noexcept;

/** @return the code called @p name, or internal_error for an unknown name. */
error_code error_code_named(std::string_view name) noexcept;

/** A failure: its code, a detail with its causes, and a remedy. */
class error
{
public:
    error() = default;

    /**
     * @param detail what failed, with the offending value
     * @param remedy what the operator can do; if empty, the standard remedy of
     * @p code
     */
    error(error_code code, std::string detail, std::string remedy = {});

    /** @return this error with @p cause appended to its detail. */
    error caused_by(const error& cause) &&;

    error_code code() const noexcept { return m_code; }
    const std::string& detail() const noexcept { return m_detail; }
    const std::string& remedy() const noexcept { return m_remedy; }

    /** @return "name: detail (cause: ...). Remedy: ..." on one line. */
    std::string message() const;

private:
    error_code m_code = error_code::none;
    std::string m_detail;
    std::string m_remedy;
};

} // namespace tillerhall
