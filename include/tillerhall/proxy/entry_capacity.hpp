/** @file What an entry contributes to and gets from the capacity exchange. */
#pragma once

#include "tillerhall/routing/crossing_plan.hpp"
#include "tillerhall/routing/service_demand.hpp"

#include <map>
#include <string>
#include <utility>

namespace tillerhall
{

/** Demand and plan of an entry; for fibers of one worker. */
struct entry_capacity
{
    entry_capacity(member_place own, double start)
        : plan(std::move(own), start)
    {
    }

    /** Counts a call that runs in another domain while the object lives. */
    class borrowed_call
    {
    public:
        /** @param counted null if the call runs in the own domain */
        explicit borrowed_call(std::int64_t* counted)
            : m_counted(counted)
        {
            if (m_counted != nullptr)
                ++*m_counted;
        }
        ~borrowed_call()
        {
            if (m_counted != nullptr)
                --*m_counted;
        }

        borrowed_call(const borrowed_call&) = delete;
        borrowed_call& operator=(const borrowed_call&) = delete;

    private:
        std::int64_t* m_counted;
    };

    service_demand demand;
    crossing_plan plan;
    std::map<std::string, std::int64_t> borrowed; ///< by service
};

} // namespace tillerhall
