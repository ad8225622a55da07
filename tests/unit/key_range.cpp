#include "tillerhall/distribution/key_range.hpp"
#include "generators.hpp"

#include <boost/json.hpp>
#include <deque>
#include <map>

using namespace tillerhall;

namespace
{

member make_member(std::uint16_t port)
{
    member made;
    made.rpc = {"127.0.0.1", port};
    made.peer = made.caller = made.operators = made.target = made.rpc;
    made.place = {"r" + std::to_string(port % 2),
                  "d" + std::to_string(port % 5)};
    made.incarnation = 1;
    return made;
}

member_list list_of(std::uint16_t self, std::uint16_t count)
{
    member_list list(make_member(self));
    for (std::uint16_t port = 1; port <= count; ++port)
        list.merge(make_member(port));
    return list;
}

/** Returns how often each node received a broadcast of node 1.
 * @param depth set to the depth of the tree */
std::map<address, int>
broadcast(std::uint16_t count, std::size_t fanout, int& depth)
{
    struct delivery
    {
        address to;
        key_range range;
        int depth;
    };
    random_source random(3);
    std::map<address, int> received;
    std::deque<delivery> going{{make_member(1).rpc, key_range{}, 0}};
    while (!going.empty())
    {
        const auto next = going.front();
        going.pop_front();
        ++received[next.to];
        depth = std::max(depth, next.depth);
        const auto view = list_of(next.to.port, count);
        for (const auto& part : split_range(next.range, view, fanout, random))
            going.push_back(
                {part.candidates.front(), part.range, next.depth + 1});
    }
    return received;
}

} // namespace

TEST_CASE("a broadcast reaches every member exactly once, in few hops")
{
    for (const std::size_t fanout : {2U, 4U, 8U})
    {
        int depth = 0;
        const auto received = broadcast(120, fanout, depth);
        CHECK(received.size() == 120);
        for (const auto& [node, times] : received)
            CHECK(times == 1);
        CHECK(depth <= (fanout == 2 ? 8 : fanout == 4 ? 5 : 4));
    }
}

TEST_CASE("parts are disjoint and cover all live members but this node")
{
    rc::prop(
        "cover",
        [](const std::vector<member>& members, std::uint64_t key)
        {
            member_list list(make_member(200));
            for (const auto& each : members)
                list.merge(each);
            random_source random(1);
            const auto parts = split_range(key_range{}, list, 4, random);
            const auto own = key_of(list.self());
            RC_PRE(!parts.empty());
            const auto holding =
                std::ranges::count_if(parts, [&](const range_part& each)
                                      { return each.range.contains(key); });
            RC_ASSERT(holding <= 1);
            for (const auto& each : list.all())
            {
                const auto holds = std::ranges::count_if(
                    parts, [&](const range_part& part)
                    { return part.range.contains(key_of(each)); });
                RC_ASSERT(!is_live(each) || key_of(each) == own || holds == 1);
            }
        });
}

TEST_CASE("a range survives a round trip through JSON")
{
    rc::prop("round trip",
             [](std::uint64_t first, std::uint64_t second)
             {
                 const key_range sent{std::min(first, second),
                                      std::max(first, second)};
                 boost::json::object members;
                 put_range(members, sent);
                 RC_ASSERT(range_from_json(members) == sent);
             });
    CHECK_THROWS(range_from_json({{"lo", "x"}}));
}

TEST_CASE("a range without the key of this node is not meant for it")
{
    const auto self = make_member(1);
    const auto key = key_of(self);
    CHECK(is_meant_for(self, key_range{}));
    CHECK(is_meant_for(self, key_range{key, key}));
    CHECK_FALSE(is_meant_for(self, key_range{key + 1, UINT64_MAX}));
}
