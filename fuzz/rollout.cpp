/** @file Fuzzes the messages between nodes about roll-outs. */
#include "tillerhall/node/messages.hpp"
#include "tillerhall/rollout/owner_report.hpp"
#include "tillerhall/rollout/rollout_judge.hpp"

#include <boost/json.hpp>

namespace
{

using namespace tillerhall;

const time_point now{std::chrono::hours(1'000'000)};

void merge_records(const boost::json::object& members)
{
    const auto message = rollouts_message_from_json(members);
    if (message.records.empty())
        return;
    auto known = message.records.front();
    for (const auto& each : message.records)
        merge(known, each);
    rollout_record_from_json(to_json(known, now), now);
}

void judge_report(const boost::json::object& members)
{
    const auto report = owner_report_from_json(members);
    rollout_judge judge("v1", "v2");
    judge.take(report, now);
    judge.take(report, now + std::chrono::seconds(5));
    judge.is_bad(3, now);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    boost::system::error_code failed;
    const auto value = boost::json::parse(
        std::string_view(reinterpret_cast<const char*>(data), size), failed);
    if (failed || !value.is_object())
        return 0;
    for (const auto read : {merge_records, judge_report})
        try
        {
            read(value.as_object());
        }
        catch (const std::exception&)
        {
            // Decoders reject a malformed message by throwing.
        }
    return 0;
}
