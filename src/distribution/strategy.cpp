#include "tillerhall/distribution/strategy.hpp"

#include <algorithm>
#include <array>

namespace tillerhall
{
namespace
{

using parts = std::vector<range_part>;

/** Pushes along a tree over the key ranges of the members. */
class tree_strategy : public distribution_strategy
{
public:
    std::string_view name() const noexcept override { return "tree"; }
    std::string_view description() const noexcept override
    {
        return "push along a tree of key ranges, each node reached once";
    }
    source_polling polling() const noexcept override
    {
        return source_polling::none;
    }
    bool pulls_from_peers() const noexcept override { return true; }
    parts deliveries(const key_range& range,
                     const member_list& members,
                     std::size_t fanout,
                     random_source& random) const override
    {
        return split_range(range, members, fanout, random);
    }
};

/** Pushes to random members on first receipt (Demers et al., PODC 1987). */
class epidemic_strategy : public distribution_strategy
{
public:
    std::string_view name() const noexcept override { return "epidemic"; }
    std::string_view description() const noexcept override
    {
        return "push to random members on first hearing";
    }
    source_polling polling() const noexcept override
    {
        return source_polling::none;
    }
    bool pulls_from_peers() const noexcept override { return true; }
    parts deliveries(const key_range&,
                     const member_list& members,
                     std::size_t fanout,
                     random_source& random) const override
    {
        std::vector<member_ptr> others;
        for (const auto& each : members.ordered())
            if (is_live(*each.record) && each.record->rpc != members.self().rpc)
                others.push_back(each.record);
        std::ranges::shuffle(others, random);
        others.resize(std::min(fanout, others.size()));
        parts chosen;
        for (const auto& each : others)
            chosen.push_back({key_range{}, {each->rpc}, 1});
        return chosen;
    }
};

/** Pushes nothing; versions come from the source or from peers. */
class pull_strategy : public distribution_strategy
{
public:
    pull_strategy(std::string_view name,
                  std::string_view description,
                  source_polling polling,
                  bool from_peers)
        : m_name(name)
        , m_description(description)
        , m_polling(polling)
        , m_from_peers(from_peers)
    {
    }

    std::string_view name() const noexcept override { return m_name; }
    std::string_view description() const noexcept override
    {
        return m_description;
    }
    source_polling polling() const noexcept override { return m_polling; }
    bool pulls_from_peers() const noexcept override { return m_from_peers; }
    parts deliveries(const key_range&,
                     const member_list&,
                     std::size_t,
                     random_source&) const override
    {
        return {};
    }

private:
    std::string_view m_name;
    std::string_view m_description;
    source_polling m_polling;
    bool m_from_peers;
};

const tree_strategy tree;
const epidemic_strategy epidemic;
const pull_strategy readers("readers",
                            "readers poll, others pull after heartbeats",
                            source_polling::none,
                            true);
const pull_strategy poll("poll",
                         "every node takes the whole table from the source",
                         source_polling::whole_each_node,
                         false);
const pull_strategy poll_head("poll_head",
                              "every node polls the head, the table on change",
                              source_polling::head_each_node,
                              false);

constexpr std::array<const distribution_strategy*, 5> strategy_list{
    &tree, &epidemic, &readers, &poll, &poll_head};

} // namespace

std::span<const distribution_strategy* const> strategies() noexcept
{
    return strategy_list;
}

result<const distribution_strategy*> find_strategy(std::string_view name)
{
    const auto found =
        std::ranges::find(strategy_list, name, &distribution_strategy::name);
    if (found != strategy_list.end())
        return *found;
    std::string known = "choose one of:";
    for (const auto* each : strategy_list)
        known += " " + std::string(each->name());
    return error(error_code::unknown_name,
                 "unknown strategy \"" + std::string(name) + "\"", known);
}

} // namespace tillerhall
