/** @file A small seedable random number generator. */
#pragma once

#include <cstdint>
#include <limits>

namespace tillerhall
{

/** SplitMix64 (Steele et al., OOPSLA 2014); equal seeds give equal sequences.
 */
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) noexcept
        : m_state(seed)
    {
    }

    static constexpr result_type min() noexcept { return 0; }
    static constexpr result_type max() noexcept
    {
        return std::numeric_limits<result_type>::max();
    }

    result_type operator()() noexcept;

    /** @return a number in [0, bound); 0 for a bound of 0. */
    std::uint64_t below(std::uint64_t bound) noexcept;

    /** @return a number in [0, 1). */
    double unit() noexcept;

private:
    std::uint64_t m_state;
};

/** @return the SplitMix64 finalizer of @p value. */
std::uint64_t mix_bits(std::uint64_t value) noexcept;

/** @return a seed that differs from process to process. */
std::uint64_t entropy_seed();

} // namespace tillerhall
