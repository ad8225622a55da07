#include "tillerhall/routing/share_sequence.hpp"

#include <cmath>
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

} // namespace tillerhall
