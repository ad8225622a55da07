#include "tillerhall/routing/share_sequence.hpp"
#include "tillerhall/core/random.hpp"

#include <cmath>
#include <functional>
#include <numeric>

namespace tillerhall
{
namespace
{
constexpr double golden_step = 0.6180339887498949; // 1 / golden ratio
}

const std::string& share_sequence::next(const call_route& route)
{
    if (route.shares.size() == 1)
        return route.shares.front().service;
    auto& point = m_points.try_emplace(route.name, m_start).first->second;
    point = std::fmod(point + golden_step, 1.0);
    const double total =
        std::accumulate(route.shares.begin(), route.shares.end(), 0.0,
                        [](double sum, const service_share& each)
                        { return sum + each.weight; });
    double left = point * total;
    for (const auto& each : route.shares)
    {
        left -= each.weight;
        if (left < 0)
            return each.service;
    }
    return route.shares.back().service;
}

double share_start(const address& own)
{
    constexpr double two_pow_64 = 18446744073709551616.0; // 2^64
    return static_cast<double>(mix_bits(std::hash<std::string>{}(own.text()))) /
           two_pow_64;
}

} // namespace tillerhall
