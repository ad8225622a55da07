/** @file The last updates that a node applied, for peers that pull. */
#pragma once

#include "tillerhall/distribution/table_update.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace tillerhall
{

/** A bounded sequence of consecutive deltas up to the current version. */
class update_log
{
public:
    static constexpr std::size_t max_kept = 256;

    /** Appends a delta; a gap in the versions discards the earlier ones. */
    void add(const table_update& update);

    /** Discards all deltas, after a whole table was applied. */
    void clear() { m_updates.clear(); }

    /** Returns the deltas after @p version, or nothing if some are not kept or
     * there are none. */
    std::optional<std::vector<table_update>> since(std::uint64_t version) const;

private:
    std::deque<table_update> m_updates;
};

} // namespace tillerhall
