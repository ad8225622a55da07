/** @file Counts events in sliding windows. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>
#include <vector>

namespace tillerhall
{

/** @return the largest number of @p times, in order, within @p window. */
inline std::size_t max_in_window(const std::vector<time_point>& times,
                                 duration window)
{
    std::size_t max_count = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last)
    {
        while (times[first] + window <= times[last])
            ++first;
        max_count = std::max(max_count, last - first + 1);
    }
    return max_count;
}

} // namespace tillerhall
