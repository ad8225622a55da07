#include "tillerhall/core/error.hpp"

#include <algorithm>
#include <array>

namespace tillerhall
{
namespace
{

struct code_entry
{
    error_code code;
    std::string_view name;
    std::string_view remedy;
};

constexpr std::array code_table{
    code_entry{error_code::none, "none", "nothing to do"},
    code_entry{error_code::invalid_argument, "invalid_argument",
               "correct the value named and try again"},
    code_entry{error_code::bad_syntax, "bad_syntax",
               "correct the text at the place named"},
    code_entry{error_code::out_of_range, "out_of_range",
               "choose a value inside the range named"},
    code_entry{error_code::unknown_name, "unknown_name",
               "use one of the names listed"},
    code_entry{error_code::duplicate, "duplicate",
               "keep one of the two and remove the other"},
    code_entry{error_code::not_found, "not_found",
               "check the name; `tiller history` lists versions"},
    code_entry{error_code::conflict, "conflict",
               "take the newer version into the draft (accept --rebase)"},
    code_entry{error_code::unavailable, "unavailable",
               "retry when the platform is available again"},
    code_entry{error_code::timed_out, "timed_out",
               "retry later; check load and network"},
    code_entry{error_code::connection_failed, "connection_failed",
               "check that the process at that address runs"},
    code_entry{error_code::connection_lost, "connection_lost",
               "retry; the connection closed before the response ended"},
    code_entry{error_code::too_large, "too_large", "send a smaller message"},
    code_entry{error_code::protocol_error, "protocol_error",
               "check that both sides speak the documented format"},
    code_entry{error_code::unauthorized, "unauthorized",
               "give the operator token by --token-file or TILLER_TOKEN"},
    code_entry{error_code::not_ready, "not_ready",
               "wait until GET /ready on the operator port answers 200"},
    code_entry{error_code::retry_later, "retry_later",
               "retry after the given time"},
    code_entry{error_code::outcome_unknown, "outcome_unknown",
               "repeat with the same accept id to learn the outcome"},
    code_entry{error_code::corrupt, "corrupt",
               "fetch the value again from another copy"},
    code_entry{error_code::history_lost, "history_lost",
               "read all rows again, then continue with the change feed"},
    code_entry{error_code::internal_error, "internal_error",
               "report this with the logs of that time"},
};

const code_entry& entry_of(error_code code) noexcept
{
    const auto found = std::ranges::find(code_table, code, &code_entry::code);
    return found == code_table.end() ? code_table.back() : *found;
}

} // namespace

std::string_view name_of(error_code code) noexcept
{
    return entry_of(code).name;
}

std::string_view remedy_of(error_code code) noexcept
{
    return entry_of(code).remedy;
}

error_code error_code_named(std::string_view name) noexcept
{
    const auto found = std::ranges::find(code_table, name, &code_entry::name);
    return found == code_table.end() ? error_code::internal_error : found->code;
}

error::error(error_code code, std::string detail, std::string remedy)
    : m_code(code)
    , m_detail(std::move(detail))
    , m_remedy(std::move(remedy))
{
    if (m_remedy.empty())
        m_remedy = remedy_of(code);
}

error error::caused_by(const error& cause) &&
{
    m_detail += " (cause: ";
    m_detail += name_of(cause.code());
    m_detail += ": " + cause.detail() + ")";
    return std::move(*this);
}

std::string error::message() const
{
    std::string text(name_of(m_code));
    text += ": " + m_detail + ". Remedy: " + m_remedy;
    return text;
}

} // namespace tillerhall
