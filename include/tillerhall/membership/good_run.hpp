/** @file A successful run of a call that was listed in a crash. */
#pragma once

#include <cstdint>
#include <string>

namespace tillerhall
{

/** An owner's report that a call which was listed in a crash has run at its
 * target without one. */
struct good_run
{
    std::string call;        ///< fingerprint
    std::uint64_t at_ms = 0; ///< Unix time on the owner's host

    bool operator==(const good_run&) const = default;
};

} // namespace tillerhall
