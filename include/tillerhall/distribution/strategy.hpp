/** @file The ways a new version can reach every node, to choose from. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** How a node asks the source by itself. */
enum class source_polling
{
    none,           ///< only as a chosen reader
    head_each_node, ///< every node reads the head, the table on change
    whole_each_node ///< every node reads the whole table each time
};

/** One way of distribution. Stateless; one object of each kind exists. */
class distribution_strategy
{
public:
    virtual ~distribution_strategy() = default;

    virtual std::string_view name() const noexcept = 0;
    virtual std::string_view description() const noexcept = 0;

    /** @return how every node polls the source. */
    virtual source_polling polling() const noexcept = 0;

    /** @return whether nodes pull when a heartbeat shows a newer version. */
    virtual bool pulls_from_peers() const noexcept = 0;

    /**
     * @param range what this node is in charge of
     * @return whom to send a version that is new here, and their ranges.
     */
    virtual std::vector<range_part> deliveries(const key_range& range,
                                               const member_list& members,
                                               std::size_t fanout,
                                               random_source& random) const = 0;
};

/** @return every strategy; the first is the default. */
std::span<const distribution_strategy* const> strategies() noexcept;

/** @return the strategy called @p name, or unknown_name listing all. */
result<const distribution_strategy*> find_strategy(std::string_view name);

} // namespace tillerhall
