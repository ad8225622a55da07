/** @file Remembers calls that recently ran well at a target. */
#pragma once

#include "tillerhall/http/whole_message.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace tillerhall
{

/**
 * Keeps frequent calls from being blamed for a target's crash: such a call is
 * active at nearly every moment, and so during any crash. A call that has run
 * well since the last crash during which it was active is not reported.
 *
 * A direct-mapped table of hashes; on a collision the newer entry stays. It
 * takes 32 KB and holds about 40 s of 100 runs a second.
 */
class recent_runs
{
public:
    /** Adds @p request after a good run. */
    void ran(const whole_request& request)
    {
        const auto hash = hash_of(request);
        m_slots[hash % m_slots.size()] = hash;
    }

    /** @return whether it ran well recently; false if it was overwritten. */
    bool contain(const whole_request& request) const
    {
        const auto hash = hash_of(request);
        return m_slots[hash % m_slots.size()] == hash;
    }

    /** Removes @p request: the target crashed while it ran. */
    void forget(const whole_request& request)
    {
        const auto hash = hash_of(request);
        auto& slot = m_slots[hash % m_slots.size()];
        slot = slot == hash ? 0 : slot;
    }

private:
    static std::uint64_t hash_of(const whole_request& request)
    {
        constexpr std::uint64_t factor = 0x9e3779b97f4a7c15; // 2^64 / phi
        const std::hash<std::string_view> hash;
        std::uint64_t mixed = hash(request.target());
        mixed = mixed * factor + hash(request[boost::beast::http::field::host]);
        mixed = mixed * factor + hash(request.method_string());
        return mixed * factor + hash(request.body());
    }

    std::array<std::uint64_t, 4096> m_slots{};
};

} // namespace tillerhall
