/** @file Checks that a report is of the target that belongs to this node. */
#pragma once

#include "tillerhall/targets/target_report.hpp"

#include <string_view>

namespace tillerhall
{

/** What the settings of a node say of its target. */
struct expected_target
{
    std::string service;
    address where;
};

/** How a report differs from the settings of the node that receives it. */
enum class report_mismatch
{
    none,
    other_service,
    other_address
};

std::string_view name_of(report_mismatch mismatch) noexcept;

/**
 * Another server can be started at the address of a target that has ended, and
 * reports can be sent to the wrong node. A report that names another service or
 * address says nothing about the target of this node, neither that it takes
 * work nor that it leaves. The last report of a target may name neither; the id
 * alone identifies the target then.
 */
report_mismatch find_mismatch(const target_report& report,
                              const expected_target& expected) noexcept;

} // namespace tillerhall
