/**
 * @file What targets say about themselves in their responses.
 *
 * Guards against a rate limit that is misread, booked to another start of the
 * target, or forgotten because responses overlap.
 */
#include "tillerhall/proxy/target_notice.hpp"
#include "tillerhall/proxy/constraint_memory.hpp"
#include "tillerhall/proxy/wire_names.hpp"
#include "tillerhall/routing/named_rate_limit.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace tillerhall;

namespace
{

const wire_names names;

target_notice notice_with(const std::string& limit)
{
    boost::beast::http::fields head;
    head.set(names.rate_limit, limit);
    return read_notice(head, names);
}

} // namespace

TEST_CASE("a rate limit is one finite decimal number of at least 0")
{
    CHECK(notice_with("17.4").rate_limit == 17.4);
    CHECK(notice_with("0.25").rate_limit == 0.25);
    CHECK(notice_with("0").rate_limit == 0.0);
    CHECK(notice_with("1e3").rate_limit == 1000.0);
    for (const auto& invalid :
         {std::string("-1"), std::string("nan"), std::string("inf"),
          std::string(), std::string("12 13"), std::string("1,5"),
          std::string("12/s"), std::string(400, '9')})
    {
        INFO(invalid);
        CHECK_FALSE(notice_with(invalid).rate_limit);
        CHECK(notice_with(invalid).has_invalid_limit);
    }
}

TEST_CASE("two rate limit fields are invalid, none is no limit")
{
    boost::beast::http::fields head;
    CHECK_FALSE(read_notice(head, names).rate_limit);
    CHECK_FALSE(read_notice(head, names).has_invalid_limit);
    head.insert(names.rate_limit, "12");
    head.insert(names.rate_limit, "12");
    CHECK_FALSE(read_notice(head, names).rate_limit);
    CHECK(read_notice(head, names).has_invalid_limit);
}

TEST_CASE("a target is leaving only if it says 1")
{
    boost::beast::http::fields head;
    CHECK_FALSE(read_notice(head, names).is_leaving);
    head.set(names.leaving, "0");
    CHECK_FALSE(read_notice(head, names).is_leaving);
    head.set(names.leaving, "1");
    CHECK(read_notice(head, names).is_leaving);
}

TEST_CASE("a response that was requested before a limit was named ends nothing")
{
    const time_point start{std::chrono::hours(1)};
    const auto at = [&](int ms) { return start + milliseconds(ms); };
    named_rate_limit limit;
    limit.set_target("i-1");
    CHECK_FALSE(limit.take(std::nullopt, at(0), at(20)));
    CHECK(limit.take(10.0, at(10), at(30)));
    CHECK_FALSE(limit.take(std::nullopt, at(25), at(40)));
    CHECK_FALSE(limit.take(20.0, at(25), at(40)));
    CHECK(limit.per_s() == 10.0);
    CHECK(limit.take(5.0, at(25), at(45)));
    CHECK(limit.take(20.0, at(50), at(70)));
    CHECK(limit.per_s() == 20.0);
    CHECK(limit.take(std::nullopt, at(75), at(95)));
    CHECK_FALSE(limit.per_s());
}

TEST_CASE("a new start of a target has no rate limit")
{
    const time_point start{std::chrono::hours(1)};
    named_rate_limit limit;
    limit.set_target("i-1");
    CHECK(limit.take(10.0, start, start));
    limit.set_target("i-1");
    CHECK(limit.per_s() == 10.0);
    limit.set_target("i-2");
    CHECK_FALSE(limit.per_s());
}

TEST_CASE("a limit told by an entry counts until the target's first response")
{
    const time_point start{std::chrono::hours(1)};
    const auto at = [&](int ms) { return start + milliseconds(ms); };
    named_rate_limit limit;
    limit.set_target("i-1");
    CHECK(limit.adopt(10.0, at(0)));
    CHECK(limit.adopt(8.0, at(1)));
    CHECK_FALSE(limit.adopt(12.0, at(2)));
    CHECK(limit.per_s() == 8.0);
    CHECK(limit.take(std::nullopt, at(5), at(20)));
    CHECK_FALSE(limit.adopt(10.0, at(30)));
    CHECK_FALSE(limit.per_s());
}

TEST_CASE("constraints of a target are the same after a hop")
{
    boost::beast::http::fields fields;
    const target_constraints limited{"i-1@17", 17.4, false};
    const target_constraints leaving{"i-2", std::nullopt, true};
    for (const auto& each : {limited, leaving})
    {
        write_constraints(fields, each);
        CHECK(take_constraints(fields) == each);
        CHECK(fields.begin() == fields.end());
    }
    write_constraints(fields, limited);
    write_constraints(fields, std::nullopt);
    CHECK_FALSE(take_constraints(fields));
}

TEST_CASE("an entry forgets constraints only when the target has answered")
{
    const address owner{"127.0.0.1", 1};
    constraint_memory memory;
    owner_answer answer;
    answer.end = call_end::answered;
    answer.constraints = target_constraints{"i-1", 5.0, false};
    memory.answered(owner, answer);
    answer.constraints.reset();
    for (const call_outcome end :
         {call_outcome::not_run(not_run_proof::not_sent),
          call_outcome(call_end::unknown), call_outcome(call_end::timed_out),
          call_outcome(call_end::cancelled)})
    {
        answer.end = end;
        memory.answered(owner, answer);
        CHECK(memory.of(owner)->rate_limit == 5.0);
    }
    answer.end = call_end::answered;
    memory.answered(owner, answer);
    CHECK_FALSE(memory.of(owner));
}
