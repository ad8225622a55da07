/** @file A call that ran well although a target had crashed under it. */
#pragma once

#include <cstdint>
#include <string>

namespace tillerhall
{

/** An owner's report that a call runs repeatedly at its target without a
 * crash. */
struct good_run
{
    std::string call;        ///< fingerprint
    std::uint64_t at_ms = 0; ///< Unix time on the owner's host

    bool operator==(const good_run&) const = default;
};

} // namespace tillerhall
