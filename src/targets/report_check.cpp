#include "tillerhall/targets/report_check.hpp"

#include <array>

namespace tillerhall
{
namespace
{
constexpr std::array<std::string_view, 3> mismatch_names{
    "none", "other_service", "other_address"};
} // namespace

std::string_view name_of(report_mismatch mismatch) noexcept
{
    return mismatch_names[static_cast<std::size_t>(mismatch)];
}

report_mismatch find_mismatch(const target_report& report,
                              const expected_target& expected) noexcept
{
    const bool may_lack_names = report.state == report_state::leaving;
    if (report.service != expected.service &&
        !(may_lack_names && report.service.empty()))
        return report_mismatch::other_service;
    if (report.where != expected.where &&
        !(may_lack_names && report.where == address{}))
        return report_mismatch::other_address;
    return report_mismatch::none;
}

} // namespace tillerhall
