/** @file The last updates a node applied, kept to serve them to peers. */
#pragma once

#include "tillerhall/distribution/table_update.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace tillerhall
{

/** A bounded run of consecutive deltas up to the current version. */
class update_log
{
public:
    static constexpr std::size_t most_kept = 256;

    /** Adds the delta that led to its version; a gap starts a new run. */
    void add(const table_update& update);

    /** Forgets everything, after a jump by a whole table. */
    void clear() { m_updates.clear(); }

    /** @return the deltas from @p version + 1 up, if all are still kept. */
    std::optional<std::vector<table_update>> since(std::uint64_t version) const;

private:
    std::deque<table_update> m_updates;
};

} // namespace tillerhall
