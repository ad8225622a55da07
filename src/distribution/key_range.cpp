#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <span>

namespace tillerhall
{
namespace
{

// Members to which a part is offered before it is given up.
constexpr std::size_t max_candidates = 3;

/** Returns the live members in @p range without this node, ordered by key. */
std::vector<const keyed_member*> members_in(const key_range& range,
                                            const member_list& members)
{
    const auto& all = members.ordered();
    const auto& self = members.self().rpc;
    std::vector<const keyed_member*> inside;
    auto each =
        std::ranges::lower_bound(all, range.min_key, {}, &keyed_member::key);
    for (; each != all.end() && each->key <= range.max_key; ++each)
        if (is_live(*each->record) && each->record->rpc != self)
            inside.push_back(&*each);
    return inside;
}

/** Returns random candidates of the group, this node's domain first. */
std::vector<address>
choose_candidates(std::span<const keyed_member* const> group,
                  const member& self,
                  random_source& random)
{
    std::vector<std::size_t> order(group.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::ranges::shuffle(order, random);
    std::ranges::stable_partition(
        order,
        [&](std::size_t i) { return group[i]->record->place == self.place; });
    std::vector<address> chosen;
    for (std::size_t i = 0; i < std::min(max_candidates, order.size()); ++i)
        chosen.push_back(group[order[i]]->record->rpc);
    return chosen;
}

using member_group = std::span<const keyed_member* const>;

std::uint64_t key_at(const keyed_member* each)
{
    return each->key;
}

/** Splits @p inside into groups of equal size, and a group that surrounds
 * @p own_key once more at that key. */
std::vector<member_group>
group(member_group inside, std::size_t fanout, std::uint64_t own_key)
{
    const auto count = std::min(fanout, inside.size());
    std::vector<member_group> groups;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto first = inside.size() * i / count;
        const auto last = inside.size() * (i + 1) / count;
        const auto whole = inside.subspan(first, last - first);
        const auto above = std::ranges::upper_bound(whole, own_key, {}, key_at);
        const auto below = static_cast<std::size_t>(above - whole.begin());
        if (below != 0)
            groups.push_back(whole.first(below));
        if (below != whole.size())
            groups.push_back(whole.subspan(below));
    }
    return groups;
}

/** Removes @p own_key from @p range; all members of @p kept are on one side of
 * that key. */
void exclude(std::uint64_t own_key, member_group kept, key_range& range)
{
    if (!range.contains(own_key))
        return;
    if (kept.front()->key > own_key)
        range.min_key = own_key + 1;
    else
        range.max_key = own_key - 1;
}

std::string to_hex(std::uint64_t number)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), number, 16);
    return {digits.begin(), end.ptr};
}

std::uint64_t from_hex(const boost::json::value& hex)
{
    const std::string_view text = hex.as_string();
    std::uint64_t number = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (parsed.ec != std::errc())
        throw std::invalid_argument("a range is not hexadecimal");
    return number;
}

} // namespace

std::vector<range_part> split_range(const key_range& range,
                                    const member_list& members,
                                    std::size_t fanout,
                                    random_source& random)
{
    const auto own_key = key_of(members.self());
    const auto inside = members_in(range, members);
    const auto groups = group(inside, fanout, own_key);
    std::vector<range_part> parts;
    auto min_key = range.min_key;
    for (std::size_t i = 0; i < groups.size(); ++i)
    {
        const bool is_last = i + 1 == groups.size();
        range_part part;
        part.range.min_key = min_key;
        part.range.max_key =
            is_last ? range.max_key : groups[i + 1].front()->key - 1;
        min_key = part.range.max_key + 1;
        exclude(own_key, groups[i], part.range);
        part.live_members = groups[i].size();
        part.candidates = choose_candidates(groups[i], members.self(), random);
        parts.push_back(std::move(part));
    }
    return parts;
}

key_range domain_range(const member& of)
{
    constexpr auto node_part = (std::uint64_t{1} << key_node_bits) - 1;
    const auto key = key_of(of);
    return {key & ~node_part, key | node_part};
}

bool is_meant_for(const member& self, const key_range& range)
{
    return range.contains(key_of(self));
}

void put_range(boost::json::object& into, const key_range& range)
{
    if (range == key_range{})
        return;
    into["lo"] = to_hex(range.min_key);
    into["hi"] = to_hex(range.max_key);
}

key_range range_from_json(const boost::json::object& members)
{
    key_range range;
    if (const auto* low = members.if_contains("lo"))
        range.min_key = from_hex(*low);
    if (const auto* high = members.if_contains("hi"))
        range.max_key = from_hex(*high);
    return range;
}

} // namespace tillerhall
