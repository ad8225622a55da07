/** @file How large the answers to each class of work are. */
#pragma once

#include "tillerhall/routing/work_class.hpp"

#include <cstddef>
#include <map>

namespace tillerhall
{

/** Decaying means of the bodies of answers by class of work, in bytes. Pure. */
class answer_sizes
{
public:
    /** Weight of the newest answer; some ten count. */
    static constexpr double newest_share = 0.1;

    void answered(const work_class& work, std::size_t bytes)
    {
        const auto size = static_cast<double>(bytes);
        auto& mean = m_means.try_emplace(work, size).first->second;
        mean += (size - mean) * newest_share;
    }

    /** @return the mean size of answers to @p work, or @p unknown. */
    double of(const work_class& work, double unknown) const
    {
        const auto found = m_means.find(work);
        return found == m_means.end() ? unknown : found->second;
    }

private:
    std::map<work_class, double> m_means;
};

} // namespace tillerhall
