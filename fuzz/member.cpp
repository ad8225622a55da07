/** @file Fuzzes control messages and member records. */
#include "tillerhall/node/messages.hpp"

#include <boost/json.hpp>

namespace
{

template <class Read>
void decode(Read read)
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
    decode([&] { heartbeat_from_json(members); });
    decode([&] { join_answer_from_json(members); });
    decode([&] { sync_answer_from_json(members); });
    decode([&] { announce_from_json(members); });
    decode([&] { push_from_json(members); });
    decode([&] { pull_answer_from_json(members); });
    decode([&] { watch_report_from_json(members); });
    decode([&] { buckets_from_json(members); });
    return 0;
}
