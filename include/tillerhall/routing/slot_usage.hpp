/** @file The slots of a target that an owner reports as usable. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstdint>

namespace tillerhall
{

/**
 * Runs at one target by origin, and the share of them that the target refused
 * for want of slots or failed. A target that reports slots which it does not
 * have, or that fails, would otherwise attract calls of other failure domains.
 * Does no I/O.
 */
class slot_usage
{
public:
    /** Counts a run for its lifetime. */
    class running
    {
    public:
        running(slot_usage& counted, bool from_other_domain)
            : m_counted(from_other_domain ? counted.m_lent : counted.m_own)
        {
            ++m_counted;
        }
        ~running() { --m_counted; }

        running(const running&) = delete;
        running& operator=(const running&) = delete;

    private:
        std::int64_t& m_counted;
    };

    std::int64_t own() const noexcept { return m_own; }
    std::int64_t lent() const noexcept { return m_lent; }

    /** Records a run that ended well. */
    void served(time_point now) { record(0, now); }

    /** Records a run that failed. */
    void failed(time_point now) { record(1, now); }

    /** Records a run that the target refused. While most of its slots are
     * free, it did so for another reason, which says nothing of them. */
    void refused(double slots, time_point now)
    {
        if (static_cast<double>(m_own + m_lent) > slots * busy_share)
            record(1, now);
    }

    /** @return the part of @p slots that serves calls. */
    double usable(double slots, time_point now) const;

private:
    static constexpr double busy_share = 0.5;

    void record(double bad, time_point now);

    std::int64_t m_own = 0;
    std::int64_t m_lent = 0;
    double m_bad = 0; ///< decaying share, as of `m_recorded_at`
    time_point m_recorded_at{};
};

} // namespace tillerhall
