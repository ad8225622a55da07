/** @file A crash of a target and the calls that ran there. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace tillerhall
{

/** A crash as seen by the owner, with the calls that may have caused it. */
struct target_crash
{
    /** Limit of calls listed in one record; about the most that a target runs
     * at once. */
    static constexpr std::size_t max_calls = 32;

    std::string target_id;          ///< the start that crashed
    std::uint64_t at_ms = 0;        ///< Unix time on the target's host
    std::vector<std::string> calls; ///< fingerprints of calls that ran

    bool operator==(const target_crash&) const = default;
};

} // namespace tillerhall
