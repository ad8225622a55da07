#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>
#include <map>
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

bool is_reader(const member_list& members, std::size_t per_domain)
{
    return reader_rank(members) < per_domain;
}

} // namespace tillerhall
