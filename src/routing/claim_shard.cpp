#include "tillerhall/routing/claim_shard.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 4> state_names{"running", "done",
                                                      "unknown", "released"};

json::value to_json(const claim& kept)
{
    return json::array{kept.key, kept.body, kept.nonce,
                       static_cast<int>(kept.state)};
}

claim claim_from(const json::array& cells)
{
    claim read;
    read.key = json::value_to<std::string>(cells.at(0));
    read.body = json::value_to<std::string>(cells.at(1));
    read.nonce = json::value_to<std::uint64_t>(cells.at(2));
    const auto state = json::value_to<std::size_t>(cells.at(3));
    if (state >= state_names.size())
        throw std::out_of_range("unknown claim state");
    read.state = static_cast<claim_state>(state);
    return read;
}

std::string two_digits(std::size_t number)
{
    return (number < 10 ? "0" : "") + std::to_string(number);
}

} // namespace

std::string_view name_of(claim_state state) noexcept
{
    return state_names[static_cast<std::size_t>(state)];
}

std::string claim_shard::prefix() const
{
    return "claims/" + two_digits(m_number) + "/";
}

std::string claim_shard::item_key(std::size_t index) const
{
    return prefix() + two_digits(index);
}

result<void> claim_shard::load(const std::vector<table_item>& items)
{
    m_ring = {};
    for (const auto& stored : items)
    {
        try
        {
            const auto index = std::stoul(stored.key.substr(prefix().size()));
            auto& item = m_ring.at(index);
            const auto value = json::parse(stored.value);
            item.revision = stored.revision;
            item.minute = json::value_to<std::int64_t>(value.at("m"));
            for (const auto& each : value.at("c").as_array())
            {
                auto read = claim_from(each.as_array());
                item.claims[read.key] = read;
            }
        }
        catch (const std::exception& failed)
        {
            return error(error_code::corrupt,
                         "claims in " + stored.key + ": " + failed.what(),
                         "restore the item from the platform's own backup");
        }
    }
    return {};
}

bool claim_shard::is_live(const ring_item& item, std::int64_t minute) const
{
    return item.minute >= 0 && minute - item.minute <= kept_minutes;
}

const claim* claim_shard::find(const std::string& key,
                               std::int64_t minute) const
{
    for (const auto& item : m_ring)
    {
        if (!is_live(item, minute))
            continue;
        const auto found = item.claims.find(key);
        if (found != item.claims.end() &&
            found->second.state != claim_state::released)
            return &found->second;
    }
    return nullptr;
}

claim_shard::ring_item& claim_shard::item_for(std::int64_t minute)
{
    auto& item = m_ring[static_cast<std::size_t>(minute % ring_size)];
    if (item.minute < minute)
    {
        item.minute = minute; // its old claims have expired
        item.claims.clear();
    }
    return item;
}

void claim_shard::put(const claim& added, std::int64_t minute)
{
    // A change stays in the item of its claim's own minute.
    for (auto& item : m_ring)
        if (const auto found = item.claims.find(added.key);
            found != item.claims.end() && is_live(item, minute))
        {
            found->second = added;
            item.changed = true;
            return;
        }
    auto& item = item_for(minute);
    item.claims[added.key] = added;
    item.changed = true;
}

void claim_shard::add_to(table_transaction& transaction) const
{
    for (std::size_t i = 0; i < m_ring.size(); ++i)
    {
        const auto& item = m_ring[i];
        transaction.conditions.push_back({item_key(i), item.revision});
        if (!item.changed)
            continue;
        json::array claims;
        for (const auto& each : item.claims)
            claims.push_back(to_json(each.second));
        transaction.writes.push_back(
            {item_key(i),
             json::serialize(
                 json::object{{"m", item.minute}, {"c", std::move(claims)}}),
             0});
    }
}

void claim_shard::stored(std::uint64_t revision)
{
    for (auto& item : m_ring)
    {
        if (!item.changed)
            continue;
        item.changed = false;
        item.revision = revision;
    }
}

bool claim_shard::is_changed() const noexcept
{
    return std::ranges::any_of(m_ring, &ring_item::changed);
}

} // namespace tillerhall
