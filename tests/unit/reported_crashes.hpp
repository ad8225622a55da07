/** @file Members that report crashes of their targets, for tests. */
#pragma once

#include "tillerhall/routing/poison_calls.hpp"

namespace tillerhall
{

inline constexpr std::uint64_t now_ms = 1'700'000'000'000;
inline constexpr std::uint64_t minute_ms = 60'000;

inline member owner_at(std::uint16_t port)
{
    member made;
    made.rpc = {"127.0.0.1", port};
    made.peer = made.caller = made.operators = made.target = made.rpc;
    made.service = "s";
    made.incarnation = 1;
    return made;
}

inline target_crash crash_of(const std::vector<std::string>& calls,
                             std::uint64_t at_ms = now_ms)
{
    return {"t-" + std::to_string(at_ms), at_ms, calls};
}

/**
 * A member list in which each owner reports the crashes and runs it is given.
 */
struct reported_crashes
{
    explicit reported_crashes(std::uint16_t owners)
        : members(owner_at(1))
    {
        for (std::uint16_t port = 2; port <= owners; ++port)
            members.merge(owner_at(port));
    }

    void report(std::uint16_t port, const target_crash& end)
    {
        auto changed = *members.find({"127.0.0.1", port});
        add_target_crashes(changed, {end});
        take(changed);
    }

    void report(std::uint16_t port, const good_run& run)
    {
        auto changed = *members.find({"127.0.0.1", port});
        add_good_runs(changed, {run});
        take(changed);
    }

    void take(member changed)
    {
        ++changed.incarnation;
        if (changed.rpc == members.self().rpc)
            members.replace_self(changed);
        else
            members.merge(changed);
    }

    poison_calls view() const { return poison_calls(members); }

    member_list members;
};

} // namespace tillerhall
