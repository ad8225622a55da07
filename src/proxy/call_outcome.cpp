#include "tillerhall/proxy/call_outcome.hpp"

#include <algorithm>
#include <array>

namespace tillerhall
{
namespace
{

constexpr std::array<std::string_view, 5> end_names{
    "answered", "not_run", "unknown", "timed_out", "cancelled"};
constexpr std::array<std::string_view, 6> proof_names{
    "none",      "not_sent",       "not_written",
    "discarded", "target_refusal", "unnamed"};

} // namespace

std::string_view name_of(call_end end) noexcept
{
    return end_names[static_cast<std::size_t>(end)];
}

std::string_view name_of(not_run_proof proof) noexcept
{
    return proof_names[static_cast<std::size_t>(proof)];
}

call_outcome call_outcome::from_names(std::string_view end,
                                      std::string_view proof) noexcept
{
    call_outcome made(call_end::unknown);
    const auto found = std::ranges::find(end_names, end);
    if (found == end_names.end())
        return made;
    made.m_end = static_cast<call_end>(found - end_names.begin());
    if (made.m_end != call_end::not_run)
        return made;
    const auto named = std::ranges::find(proof_names, proof);
    const auto index = named - proof_names.begin();
    made.m_proof = named == proof_names.end() || index == 0
                       ? not_run_proof::unnamed
                       : static_cast<not_run_proof>(index);
    return made;
}

} // namespace tillerhall
