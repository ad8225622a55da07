#include "tillerhall/proxy/owner_answer.hpp"
#include "tillerhall/http/fields.hpp"
#include "tillerhall/proxy/run_registry.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <catch2/catch.hpp>

using namespace tillerhall;
namespace http = boost::beast::http;

namespace
{

constexpr const char* id_field = "X-Request-Id";

owner_call sample_call(time_point now)
{
    owner_call call;
    call.request_id = "id-1";
    call.service = "s";
    call.origin = "from";
    call.kind = call_kind::large_once;
    call.rank = 3;
    call.deadline = now + milliseconds(700);
    call.objective = milliseconds(120);
    call.nested = true;
    call.account = "shop";
    call.account_weight = 2.5;
    call.parent_rank = 257;
    call.parent_left = milliseconds(-30);
    call.is_repeat = true;
    call.elapsed = milliseconds(450);
    call.from_other_domain = true;
    call.return_handled = true;
    return call;
}

} // namespace

TEST_CASE("an owner parses a call as its entry wrote it, and removes the "
          "fields between nodes")
{
    const auto now = steady_clock::now();
    received_request request{{http::verb::post, "/x?q=1", 11}, now};
    request.message.set(id_field, "id-1");
    request.message.set("X-Own", "kept");
    write_hop_fields(request.message, sample_call(now), now);
    const auto read = take_hop_fields(request, id_field);
    REQUIRE(read);
    CHECK(read->request_id == "id-1");
    CHECK(read->service == "s");
    CHECK(read->origin == "from");
    CHECK(read->kind == call_kind::large_once);
    CHECK(read->rank == 3);
    CHECK(read->objective == milliseconds(120));
    CHECK(read->nested);
    CHECK(read->from_other_domain);
    CHECK(read->account == "shop");
    CHECK(read->account_weight == 2.5);
    CHECK(read->parent_rank == 257U);
    CHECK(read->queue_rank() == 257);
    CHECK(read->parent_left == duration(milliseconds(-30)));
    CHECK(read->is_repeat);
    CHECK(read->elapsed == milliseconds(450));
    CHECK(to_ms(read->deadline - now) == 700);
    CHECK(read->return_handled);
    CHECK(request.message["X-Own"] == "kept");
    CHECK(request.message.count(hop_field::return_handled) == 0);
    CHECK(request.message.count(hop_field::service) == 0);
    CHECK(request.message.count(hop_field::origin) == 0);
    CHECK(request.message.count(hop_field::nested) == 0);
    CHECK(request.message.count(hop_field::other_domain) == 0);
    CHECK(request.message.count(hop_field::queue_rank) == 0);
    CHECK(request.message.count(hop_field::repeat) == 0);
}

TEST_CASE("a forwarded call with a missing or malformed field is rejected")
{
    const auto now = steady_clock::now();
    for (const auto* spoiled :
         {id_field, hop_field::service, hop_field::kind, hop_field::rank,
          hop_field::time_left_ms, hop_field::objective_ms})
    {
        received_request request{{http::verb::get, "/", 11}, now};
        request.message.set(id_field, "id-1");
        write_hop_fields(request.message, sample_call(now), now);
        request.message.erase(spoiled);
        INFO(spoiled);
        CHECK_FALSE(take_hop_fields(request, id_field));
    }
    received_request request{{http::verb::get, "/", 11}, now};
    request.message.set(id_field, "id-1");
    write_hop_fields(request.message, sample_call(now), now);
    request.message.set(hop_field::kind, "9");
    CHECK_FALSE(take_hop_fields(request, id_field));
}

TEST_CASE("an entry parses an answer as its owner wrote it")
{
    const auto call = sample_call(steady_clock::now());
    for (const call_outcome end :
         {call_outcome::not_run(not_run_proof::target_refusal),
          call_outcome(call_end::unknown), call_outcome(call_end::timed_out),
          call_outcome(call_end::cancelled)})
    {
        owner_answer given;
        given.end = end;
        given.reason = "why";
        given.reached = end != call_end::not_run;
        given.retry_after = milliseconds(80);
        given.others_would_refuse = end == call_end::not_run;
        given.refused_with_room = end == call_end::not_run;
        given.return_handled = end == call_end::not_run;
        given.sent = {"i-1@5", 7, 2, 3};
        given.report = {1.25, 42.5, 12};
        const auto read =
            from_hop_response(to_hop_response(given, call, id_field));
        CHECK(read.end == end);
        CHECK(read.end.proof() == end.proof());
        REQUIRE(read.sent);
        CHECK(read.sent->target == "i-1@5");
        CHECK(read.sent->connection == 7);
        CHECK(read.sent->place == 2);
        CHECK(read.sent->skipped == 3);
        CHECK(read.reason == "why");
        CHECK(read.reached == given.reached);
        CHECK(read.retry_after == milliseconds(80));
        CHECK(read.others_would_refuse == given.others_would_refuse);
        CHECK(read.refused_with_room == given.refused_with_room);
        CHECK(read.return_handled == given.return_handled);
        CHECK(read.report.load == 1.25);
        CHECK(read.report.run_ms == 42.5);
        CHECK(read.report.slots == 12);
        CHECK_FALSE(read.response);
    }
    owner_answer given;
    given.end = call_end::answered;
    given.reached = true;
    given.response.emplace(http::status::not_found, 11);
    given.response->body() = "body";
    given.report.slowness = 2.5;
    const auto read = from_hop_response(to_hop_response(given, call, id_field));
    REQUIRE(read.response);
    CHECK(read.response->result() == http::status::not_found);
    CHECK(read.response->body() == "body");
    CHECK(read.response->count(hop_field::end) == 0);
    CHECK(read.response->count(hop_field::load) == 0);
    CHECK(read.response->count(hop_field::slowness) == 0);
}

TEST_CASE("a load query is a valid request, and its answer carries the load")
{
    const auto query = load_query(id_field);
    CHECK(framing_fault(query.base()).empty());
    CHECK(is_load_query(query));
    CHECK_FALSE(is_load_query({http::verb::get, "/", 11}));
    owner_answer answer;
    answer.end = call_outcome::not_run(not_run_proof::not_sent);
    answer.report.load = 0.75;
    answer.report.slots = 12;
    answer.report.slowness = 2.5;
    answer.report.incoming_bytes = 60'000;
    answer.report.link_backlog = milliseconds(340);
    owner_call asked;
    asked.request_id = load_query_id;
    auto response = to_hop_response(std::move(answer), asked, id_field);
    CHECK(response[id_field] == load_query_id);
    const auto read = from_hop_response(std::move(response)).report;
    CHECK(read.load == 0.75);
    CHECK(read.slots == 12);
    CHECK(read.slowness == 2.5);
    CHECK(read.incoming_bytes == 60'000);
    CHECK(read.link_backlog == milliseconds(340));
}

TEST_CASE("the answer to HEAD keeps the target's Content-Length")
{
    owner_answer given;
    given.end = call_end::answered;
    given.response.emplace(http::status::ok, 11);
    given.response->content_length(1234);
    const auto read = from_hop_response(
        to_hop_response(given, sample_call(steady_clock::now()), id_field));
    REQUIRE(read.response);
    CHECK((*read.response)[http::field::content_length] == "1234");
}

TEST_CASE("an answer that is no owner's leaves the outcome unknown")
{
    const auto read = from_hop_response(
        whole_response(http::status::service_unavailable, 11));
    CHECK(read.end == call_end::unknown);
    CHECK(read.reached);
}

TEST_CASE("a refusal keeps its proof only if that is known")
{
    whole_response response(http::status::service_unavailable, 11);
    response.set(hop_field::end, "not_run");
    CHECK(from_hop_response(response).end.proof() == not_run_proof::unnamed);
    for (const auto* proof : {"none", "", "another"})
    {
        response.set(hop_field::proof, proof);
        const auto read = from_hop_response(response);
        CHECK(read.end == call_end::not_run);
        CHECK(read.end.proof() == not_run_proof::unnamed);
    }
    response.set(hop_field::end, "answered too");
    response.set(hop_field::proof, "target_refusal");
    CHECK(from_hop_response(response).end == call_end::unknown);
}

// Guards against a target's field that makes an entry send an answered call
// again.
TEST_CASE("a target's response carries no fields of owners to the entry")
{
    owner_answer given;
    given.end = call_end::answered;
    given.reached = true;
    given.response.emplace(http::status::ok, 11);
    for (const auto* field :
         {hop_field::with_room, hop_field::target_crashed,
          hop_field::others_refuse, hop_field::return_handled,
          hop_field::saturated, hop_field::goaway, hop_field::sent_to,
          hop_field::target_start, hop_field::target_leaving})
        given.response->set(field, "1");
    const auto response =
        to_hop_response(given, sample_call(steady_clock::now()), id_field);
    CHECK(response.count(hop_field::goaway) == 0);
    const auto read = from_hop_response(response);
    CHECK(read.end == call_end::answered);
    CHECK_FALSE(read.refused_with_room);
    CHECK_FALSE(read.target_crashed);
    CHECK_FALSE(read.others_would_refuse);
    CHECK_FALSE(read.return_handled);
    CHECK_FALSE(read.report.is_saturated);
    CHECK_FALSE(read.sent);
    CHECK_FALSE(read.constraints);
}

TEST_CASE("the id of a nested call finds its run while that is active")
{
    run_registry runs;
    const whole_request request;
    const work_class reads{2, milliseconds(200), call_kind::repeatable};
    const work_class bookings{1, milliseconds(250), call_kind::once};
    CHECK_FALSE(runs.parent_of("a.1"));
    CHECK_FALSE(runs.ids_name_parents());
    {
        const run_registry::run first(runs, "a", reads, request,
                                      run_terms{.queue_rank = 5});
        const run_registry::run second(runs, "ab", bookings, request);
        CHECK(runs.parent_of("a.1") == reads);
        CHECK(runs.parent_of("a.1.7") == reads);
        CHECK(runs.parent_of("ab.1") == bookings);
        REQUIRE(runs.parent_terms("a.1"));
        CHECK(runs.parent_terms("a.1")->queue_rank == 5);
        CHECK_FALSE(runs.parent_terms("ab.1"));
        CHECK_FALSE(runs.parent_of("a")); // a run is not its own parent
        CHECK_FALSE(runs.parent_of("abc"));
    }
    CHECK_FALSE(runs.parent_of("a.1"));
    CHECK(runs.ids_name_parents());
}

TEST_CASE("no field between nodes remains in an answer for the caller")
{
    // Guards against load reports and other internals that reach callers.
    owner_answer answer;
    answer.end = call_end::answered;
    answer.reached = true;
    answer.reason = "r";
    answer.retry_after = milliseconds(5);
    answer.others_would_refuse = true;
    answer.target_crashed = true;
    answer.refused_with_room = true;
    answer.return_handled = true;
    answer.report = {.load = 0.5,
                     .run_ms = 3,
                     .slots = 4,
                     .incoming_bytes = 50'000,
                     .link_backlog = milliseconds(7),
                     .is_saturated = true,
                     .slowness = 2};
    answer.constraints = target_constraints{
        .start = "i-1", .rate_limit = 2.5, .is_leaving = true};
    answer.response.emplace(http::status::ok, 11);
    answer.response->set("X-Own", "kept");
    const auto received = from_hop_response(to_hop_response(
        std::move(answer), sample_call(steady_clock::now()), id_field));
    REQUIRE(received.response);
    CHECK(received.report.incoming_bytes == 50'000);
    CHECK((*received.response)["X-Own"] == "kept");
    for (const auto& each : *received.response)
    {
        INFO(each.name_string());
        CHECK_FALSE(each.name_string().starts_with("Tillerhall-"));
    }
}
