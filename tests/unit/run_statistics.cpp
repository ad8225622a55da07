/** @file The runs that an owner counts for the current start of its target.
 *
 * Guards against runs of an earlier start being counted for a target of a new
 * release, which would roll back a good release. */
#include "tillerhall/proxy/run_statistics.hpp"

#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

const work_class work{1, milliseconds(500), call_kind::repeatable};

owner_answer answered(unsigned status)
{
    owner_answer answer;
    answer.end = call_end::answered;
    answer.response =
        whole_response(static_cast<boost::beast::http::status>(status), 11);
    return answer;
}

} // namespace

TEST_CASE("runs of an earlier start are not counted for the current one")
{
    run_statistics stats;
    stats.run_started("old");
    stats.run_finished("old", work, answered(500), {});
    CHECK(stats.counts().at(work).failed == 1);
    stats.set_target("new");
    CHECK(stats.counts().empty());
    CHECK(stats.started_count() == 0);
    // A run of the earlier start that ends now.
    stats.run_finished("old", work, answered(500), {});
    CHECK(stats.counts().empty());
    stats.run_started("new");
    stats.run_finished("new", work, answered(200), {});
    CHECK(stats.counts().at(work).ended == 1);
    CHECK(stats.counts().at(work).failed == 0);
}
