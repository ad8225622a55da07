/** @file Error codes, their table of names and remedies, and the error value.
 */
#pragma once

#include <string>
#include <string_view>

namespace tillerhall
{

/** Every kind of failure the library reports. */
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

/** @return the stable name of @p code, as used in JSON and logs. */
std::string_view name_of(error_code code) noexcept;

/** @return what an operator can do about @p code. */
std::string_view remedy_of(error_code code) noexcept;

/** @return the code called @p name, or internal_error for an unknown name. */
error_code error_code_named(std::string_view name) noexcept;

/** A failure: its code, what exactly failed, and the causes below it. */
class error
{
public:
    error() = default;

    /**
     * @param code the kind
     * @param detail what failed, with the offending value
     * @param remedy empty takes the code's standard remedy
     */
    error(error_code code, std::string detail, std::string remedy = {});

    /** @return this error with @p cause written behind it. */
    error caused_by(const error& cause) &&;

    error_code code() const noexcept { return m_code; }
    const std::string& detail() const noexcept { return m_detail; }
    const std::string& remedy() const noexcept { return m_remedy; }

    /** @return "name: detail (cause; ...). Remedy: ..." in one line. */
    std::string message() const;

private:
    error_code m_code = error_code::none;
    std::string m_detail;
    std::string m_remedy;
};

} // namespace tillerhall
