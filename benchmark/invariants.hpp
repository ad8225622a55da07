/** @file What must always hold, checked on a running system. */
#pragma once

#include "harness/cluster.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tillerhall::bench
{

/**
 * Remembers what every node showed and counts what may not be: an address
 * that goes back while it takes calls, a version with two contents, a route
 * without its service or target, an accepted version that is lost.
 */
class invariant_watch
{
public:
    explicit invariant_watch(harness::cluster& system);

    /** Looks at every node that answers. */
    void look();

    /** Notes that an accept was answered with success. */
    void accepted(std::uint64_t version, const std::string& digest);

    /** After all is healed: everything accepted is there and in force. */
    void check_end();

    std::int64_t checks() const noexcept { return m_checks; }
    const std::vector<std::string>& violations() const noexcept
    {
        return m_violations;
    }
    std::uint64_t greatest_accepted() const noexcept;

private:
    void check(bool holds, const std::string& what);

    harness::cluster& m_system;
    std::vector<std::uint64_t> m_last;
    std::map<std::uint64_t, std::string> m_digests;
    std::map<std::uint64_t, std::string> m_accepted;
    std::vector<std::string> m_violations;
    std::int64_t m_checks = 0;
};

} // namespace tillerhall::bench
