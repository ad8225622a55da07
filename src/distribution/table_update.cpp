#include "tillerhall/distribution/table_update.hpp"

#include <boost/json.hpp>

namespace tillerhall
{

namespace json = boost::json;

json::object to_json(const table_update& sent)
{
    json::object members{
        {"v", sent.version}, {"d", sent.digest}, {"t", sent.accepted_us}};
    if (sent.changes)
    {
        members["p"] = sent.parent_digest;
        members["c"] = to_json(*sent.changes);
    }
    if (sent.whole)
        members["w"] = *sent.whole;
    return members;
}

result<table_update> update_from_json(const json::object& members)
{
    try
    {
        table_update update;
        update.version = json::value_to<std::uint64_t>(members.at("v"));
        update.digest = json::value_to<std::string>(members.at("d"));
        update.accepted_us = json::value_to<std::int64_t>(members.at("t"));
        if (const auto* whole = members.if_contains("w"))
            update.whole = json::value_to<std::string>(*whole);
        if (const auto* changes = members.if_contains("c"))
        {
            update.parent_digest = json::value_to<std::string>(members.at("p"));
            auto read = delta_from_json(*changes);
            if (!read)
                return read.reason();
            update.changes = std::move(*read);
        }
        if (!update.whole && !update.changes)
            return error(error_code::protocol_error, "an update of nothing");
        return update;
    }
    catch (const std::exception& failed)
    {
        return error(error_code::protocol_error,
                     std::string("not an update: ") + failed.what());
    }
}

} // namespace tillerhall
