#include "tillerhall/targets/report_check.hpp"

#include <catch2/catch.hpp>

using namespace tillerhall;

TEST_CASE("only a report with the node's own service and address is of its "
          "target")
{
    // Guards against a server of another service that is taken for the target.
    const expected_target expected{"perceel", {"10.0.0.1", 8080}};
    target_report report;
    report.id = "t";
    report.service = expected.service;
    report.where = expected.where;
    const auto mismatch = [&] { return find_mismatch(report, expected); };
    using enum report_state;
    for (const auto state : {ready, draining, leaving})
    {
        report.state = state;
        CHECK(mismatch() == report_mismatch::none);
        report.service = "oogstbeurs";
        CHECK(mismatch() == report_mismatch::other_service);
        report.service = expected.service;
        report.where.port = 8081;
        CHECK(mismatch() == report_mismatch::other_address);
        report.where = expected.where;
    }
    // The last report may have no body; no other may.
    report.service.clear();
    report.where = {};
    CHECK(mismatch() == report_mismatch::none);
    report.state = ready;
    CHECK(mismatch() == report_mismatch::other_service);
    report.state = draining;
    CHECK(mismatch() == report_mismatch::other_service);
}
