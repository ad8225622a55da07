#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>
#include <map>
#include <span>
#include <utility>

namespace tillerhall
{
namespace
{

std::pair<std::uint32_t, std::uint64_t> weight_of(const member& weighed)
{
    return {weighed.link_mbps, stable_hash("reader/" + weighed.rpc.text())};
}

} // namespace

std::size_t reader_rank(const member_list& members)
{
    const auto& self = members.self();
    const auto own = weight_of(self);
    const auto is_better = [&](const keyed_member& kept)
    {
        const auto& each = *kept.record;
        return each.place == self.place && each.state == member_state::alive &&
               weight_of(each) > own;
    };
    return static_cast<std::size_t>(
        std::ranges::count_if(members.ordered(), is_better));
}

std::vector<address> best_readers(const member_list& members)
{
    std::map<member_place, const member*> best;
    for (const auto& kept : members.ordered())
    {
        const auto& each = *kept.record;
        if (each.state != member_state::alive)
            continue;
        auto& known = best[each.place];
        if (known == nullptr || weight_of(each) > weight_of(*known))
            known = &each;
    }
    std::vector<address> readers;
    for (const auto& [place, each] : best)
        readers.push_back(each->rpc);
    return readers;
}

std::map<member_place, std::vector<address>>
readers_by_domain(const member_list& members, std::size_t per_domain)
{
    std::map<member_place, std::vector<const member*>> alive;
    for (const auto& kept : members.ordered())
        if (kept.record->state == member_state::alive)
            alive[kept.record->place].push_back(kept.record.get());
    std::map<member_place, std::vector<address>> readers;
    for (auto& [place, nodes] : alive)
    {
        const auto count = std::min(per_domain, nodes.size());
        std::ranges::partial_sort(
            nodes, nodes.begin() + static_cast<std::ptrdiff_t>(count),
            std::ranges::greater(),
            [](const member* each) { return weight_of(*each); });
        for (const auto* each : std::span(nodes).first(count))
            readers[place].push_back(each->rpc);
    }
    return readers;
}

bool is_reader(const member_list& members, std::size_t per_domain)
{
    return reader_rank(members) < per_domain;
}

} // namespace tillerhall
