#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{
std::uint64_t weight_of(const member& weighed)
{
    return stable_hash("reader/" + weighed.rpc.text());
}
} // namespace

bool is_reader(const member_list& members, std::size_t per_domain)
{
    const auto& self = members.self();
    const auto own = weight_of(self);
    const auto& all = members.ordered();
    const auto greater =
        std::ranges::count_if(all,
                              [&](const keyed_member& kept)
                              {
                                  const auto& each = *kept.record;
                                  return each.place == self.place &&
                                         each.state == member_state::alive &&
                                         weight_of(each) > own;
                              });
    return static_cast<std::size_t>(greater) < per_domain;
}

} // namespace tillerhall
