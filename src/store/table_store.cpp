#include "tillerhall/store/table_store.hpp"
#include "tillerhall/core/digest.hpp"
#include "tillerhall/table/csv.hpp"

#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr const char* head_key = "head";
constexpr const char* version_prefix = "version/";
constexpr const char* accept_prefix = "accept/";
constexpr int version_digits = 12; // zero-padded: key order is version order

std::string version_key(std::uint64_t version)
{
    std::ostringstream key;
    key << version_prefix << std::setw(version_digits) << std::setfill('0')
        << version;
    return key.str();
}

error malformed(const std::string& key, const std::exception& failed)
{
    return error(error_code::corrupt,
                 "item " + key + " is malformed: " + failed.what(),
                 "restore the item from the platform's backup");
}

std::string to_text(const version_record& record)
{
    return json::serialize(
        json::object{{"version", record.version},
                     {"digest", record.digest},
                     {"parent_digest", record.parent_digest},
                     {"accept_id", record.accept_id},
                     {"author", record.author},
                     {"accepted_us", record.accepted_us},
                     {"changes", to_history_json(record.changes)}});
}

result<version_record> record_from(const table_item& item)
{
    try
    {
        const auto value = json::parse(item.value);
        const auto& members = value.as_object();
        const auto text = [&](const char* name)
        { return json::value_to<std::string>(members.at(name)); };
        version_record record;
        record.version = json::value_to<std::uint64_t>(members.at("version"));
        record.digest = text("digest");
        record.parent_digest = text("parent_digest");
        record.accept_id = text("accept_id");
        record.author = text("author");
        record.accepted_us =
            json::value_to<std::int64_t>(members.at("accepted_us"));
        auto changes = delta_from_json(members.at("changes"));
        if (!changes)
            return changes.reason();
        record.changes = std::move(*changes);
        return record;
    }
    catch (const std::exception& failed)
    {
        return malformed(item.key, failed);
    }
}

} // namespace

result<table_head> table_store::read_head()
{
    const auto item = m_tables.get(head_key);
    if (!item)
        return item.reason();
    table_head head;
    if (!item->has_value())
        return head;
    try
    {
        const auto value = json::parse((*item)->value);
        head.version = json::value_to<std::uint64_t>(value.at("version"));
        head.digest = json::value_to<std::string>(value.at("digest"));
        head.revision = (*item)->revision;
        return head;
    }
    catch (const std::exception& failed)
    {
        return malformed(head_key, failed);
    }
}

result<version_record> table_store::read_version(std::uint64_t version)
{
    const auto item = m_tables.get(version_key(version));
    if (!item)
        return item.reason();
    if (!item->has_value())
        return error(error_code::not_found,
                     "version " + std::to_string(version));
    return record_from(**item);
}

result<std::vector<version_record>> table_store::read_history(std::size_t limit)
{
    const auto items = m_tables.list_last(version_prefix, limit);
    if (!items)
        return items.reason();
    std::vector<version_record> records;
    for (const auto& item : *items)
    {
        auto record = record_from(item);
        if (!record)
            return record.reason();
        records.push_back(std::move(*record));
    }
    return records;
}

result<config_table> table_store::read_table(const std::string& digest)
{
    const auto content = m_objects.get(digest);
    if (!content)
        return content.reason();
    if (digest_of(*content) != digest)
        return error(error_code::corrupt,
                     "object " + digest + " does not match its digest");
    auto outcome = read_csv(*content);
    if (!outcome.problems.empty())
        return outcome.problems.front();
    return std::move(outcome.parsed.table);
}

result<std::optional<std::uint64_t>>
table_store::find_accept(const std::string& accept_id)
{
    const auto item = m_tables.get(accept_prefix + accept_id);
    if (!item)
        return item.reason();
    if (!item->has_value())
        return std::optional<std::uint64_t>{};
    try
    {
        return std::optional<std::uint64_t>(std::stoull((*item)->value));
    }
    catch (const std::exception& failed)
    {
        return malformed(accept_prefix + accept_id, failed);
    }
}

result<bool> table_store::commit(const table_head& expected,
                                 const version_record& record,
                                 const config_table& table)
{
    // The content is stored first, so that a head always refers to an object
    // that exists.
    if (const auto put = m_objects.put(record.digest, write_csv(table)); !put)
        return put.reason();
    const json::object head{{"version", record.version},
                            {"digest", record.digest}};
    table_transaction transaction;
    transaction.conditions = {{head_key, expected.revision},
                              {accept_prefix + record.accept_id, 0}};
    transaction.writes = {
        {head_key, json::serialize(head), 0},
        {version_key(record.version), to_text(record), 0},
        {accept_prefix + record.accept_id, std::to_string(record.version), 0}};
    const auto outcome = m_tables.transact(transaction);
    if (!outcome)
        return outcome.reason();
    return outcome->committed;
}

} // namespace tillerhall
