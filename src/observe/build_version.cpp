#include "tillerhall/observe/build_version.hpp"
#include "tillerhall/observe/log.hpp"
#include "tillerhall/observe/metrics.hpp"

#include "tillerhall_build_version.hpp"

namespace tillerhall
{

build_version this_build() noexcept
{
    return {TILLERHALL_VERSION, TILLERHALL_COMMIT};
}

void announce_build(metrics_registry& metrics)
{
    const auto [version, commit] = this_build();
    log_event(log_level::info, "started",
              {{"version", version}, {"commit", commit}});
    metrics
        .get("tillerhall_build_info", "version=\"" + std::string(version) +
                                          "\",commit=\"" + std::string(commit) +
                                          "\"")
        .set(1);
}

} // namespace tillerhall
