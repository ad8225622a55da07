/** @file Which runs an owner counts for the start of its target in use.
 *
 * The story: a target was replaced by one of a newer release, and its owner
 * told the runs of the old start with the id of the new one until the first
 * call came. Three owners did so within 150 ms of an order, and a good release
 * was sent back for "3 of the last 4 runs" that another release had failed. */
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

TEST_CASE("a start of a target is not told the runs of an earlier one")
{
    run_statistics stats;
    stats.run_started("old");
    stats.run_finished("old", work, answered(500), {});
    CHECK(stats.counts().at(work).failed == 1);
    stats.set_target("new");
    CHECK(stats.counts().empty());
    CHECK(stats.taken_count() == 0);
    // A run that began at the earlier start and ends now.
    stats.run_finished("old", work, answered(500), {});
    CHECK(stats.counts().empty());
    stats.run_started("new");
    stats.run_finished("new", work, answered(200), {});
    CHECK(stats.counts().at(work).ended == 1);
    CHECK(stats.counts().at(work).failed == 0);
}
