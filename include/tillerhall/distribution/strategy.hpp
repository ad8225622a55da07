/** @file Strategies by which a new version reaches every node. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** How every node polls the source. */
enum class source_polling
{
    none,           ///< only the readers poll
    head_each_node, ///< polls the head, reads the table on change
    whole_each_node ///< reads the whole table each time
};

/** A distribution strategy. Stateless; one object of each kind exists. */
class distribution_strategy
{
public:
    virtual ~distribution_strategy() = default;

    virtual std::string_view name() const noexcept = 0;
    virtual std::string_view description() const noexcept = 0;

    virtual source_polling polling() const noexcept = 0;

    /** Returns true if nodes pull when a heartbeat shows a newer version. */
    virtual bool pulls_from_peers() const noexcept = 0;

    /**
     * Returns the members to which a version that is new here is sent, and
     * their ranges.
     * @param range the range that this node is responsible for
     */
    virtual std::vector<range_part> deliveries(const key_range& range,
                                               const member_list& members,
                                               std::size_t fanout,
                                               random_source& random) const = 0;
};

/** Returns all strategies; the first is the default. */
std::span<const distribution_strategy* const> strategies() noexcept;

/** Returns the strategy called @p name, or unknown_name with all names. */
result<const distribution_strategy*> find_strategy(std::string_view name);

} // namespace tillerhall
