/** @file Fuzzes control messages and member records. */
#include "tillerhall/node/messages.hpp"

#include <boost/json.hpp>

namespace
{

template <class Read>
void try_to(Read read)
{
    try
    {
        read();
    }
    catch (const std::exception&)
    {
        // Decoders reject a malformed message by throwing.
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    using namespace tillerhall;
    boost::system::error_code failed;
    const auto value = boost::json::parse(
        std::string_view(reinterpret_cast<const char*>(data), size), failed);
    if (failed || !value.is_object())
        return 0;
    const auto& members = value.as_object();
    try_to([&] { heartbeat_from_json(members); });
    try_to([&] { join_answer_from_json(members); });
    try_to([&] { sync_answer_from_json(members); });
    try_to([&] { announce_from_json(members); });
    try_to([&] { push_from_json(members); });
    try_to([&] { pull_answer_from_json(members); });
    try_to([&] { watch_report_from_json(members); });
    try_to([&] { buckets_from_json(members); });
    return 0;
}
