/** @file Which build of the program runs. */
#pragma once

#include <string_view>

namespace tillerhall
{

class metrics_registry;

/** Version and commit of the sources that a program was built from. */
struct build_version
{
    std::string_view version; ///< such as "0.1.0"
    /** Abbreviated hash, with "-changed" if sources had uncommitted changes;
     * "unknown" if built without Git. */
    std::string_view commit;
};

build_version this_build() noexcept;

/** Logs the line `started` and sets the gauge `tillerhall_build_info`, both
 * with the version and the commit of this program. */
void announce_build(metrics_registry& metrics);

} // namespace tillerhall
