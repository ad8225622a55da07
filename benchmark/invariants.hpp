/** @file Invariants checked on a running system. */
#pragma once

#include "harness/cluster.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tillerhall::bench
{

/**
 * Records the table versions that nodes report and the violations: a ready
 * node that goes back to an older version, a version with two contents, a
 * route without its service or target, a lost accepted version.
 */
class invariant_checker
{
public:
    explicit invariant_checker(harness::cluster& system);

    /** Checks every node that answers. */
    void check_nodes();

    /** Records a successful accept. */
    void accepted(std::uint64_t version, const std::string& digest);

    /** Checks, after all faults are healed, that every accepted version is in
     * the history and that all nodes have the newest one. */
    void check_final_state();

    std::int64_t checks() const noexcept { return m_checks; }
    const std::vector<std::string>& violations() const noexcept
    {
        return m_violations;
    }
    std::uint64_t highest_accepted() const noexcept;

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
