/** @file The stacks of a thread's fibers. */
#pragma once

#include <boost/context/stack_context.hpp>
#include <cstddef>
#include <memory>

namespace tillerhall
{

/**
 * Allocates the stacks of fibers; a StackAllocator of Boost.Context. Copies
 * share their free stacks. For fibers of one thread.
 *
 * A stack keeps the memory that its fibers have used, so only a few free ones
 * are kept; the memory of a crowd of fibers is returned to the system.
 */
class fiber_stacks
{
public:
    /** Free stacks that are kept. */
    static constexpr std::size_t max_kept = 128;

    /** @param bytes size of a stack, a multiple of the page size */
    explicit fiber_stacks(std::size_t bytes);

    boost::context::stack_context allocate();
    void deallocate(boost::context::stack_context& stack) noexcept;

private:
    class free_list;

    std::size_t m_bytes;
    std::shared_ptr<free_list> m_free;
};

} // namespace tillerhall
