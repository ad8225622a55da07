/** @file Mean answer size of each class of work. */
#pragma once

#include "tillerhall/routing/work_class.hpp"

#include <cstddef>
#include <map>

namespace tillerhall
{

/**
 * Decaying means of answer body sizes by class of work, in bytes. Does no I/O.
 */
class answer_sizes
{
public:
    /** Weight of the newest answer in the mean. */
    static constexpr double newest_share = 0.1;

    void answered(const work_class& work, std::size_t bytes)
    {
        const auto size = static_cast<double>(bytes);
        auto& mean = m_means.try_emplace(work, size).first->second;
        mean += (size - mean) * newest_share;
    }

    /**
     * @return the mean answer size of @p work in bytes, or @p unknown if there
     * has been no answer.
     */
    double of(const work_class& work, double unknown) const
    {
        const auto found = m_means.find(work);
        return found == m_means.end() ? unknown : found->second;
    }

private:
    std::map<work_class, double> m_means;
};

} // namespace tillerhall
