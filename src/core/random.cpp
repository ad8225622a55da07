#include "tillerhall/core/random.hpp"

#include <random>

namespace tillerhall
{
namespace
{
constexpr std::uint64_t increment = 0x9e3779b97f4a7c15ULL;
}

std::uint64_t mix_bits(std::uint64_t value) noexcept
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

random_source::result_type random_source::operator()() noexcept
{
    m_state += increment;
    return mix_bits(m_state);
}

std::uint64_t random_source::below(std::uint64_t bound) noexcept
{
    return bound == 0 ? 0 : (*this)() % bound;
}

double random_source::unit() noexcept
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>((*this)() >> 11) * scale;
}

std::uint64_t entropy_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

} // namespace tillerhall
