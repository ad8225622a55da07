#include "tillerhall/core/fiber_stacks.hpp"

#include <new>
#include <sys/mman.h>
#include <vector>

namespace tillerhall
{

/** Free stacks by their lowest addresses. */
class fiber_stacks::free_list
{
public:
    explicit free_list(std::size_t bytes)
        : m_bytes(bytes)
    {
        m_stacks.reserve(max_kept);
    }
    ~free_list()
    {
        for (void* each : m_stacks)
            ::munmap(each, m_bytes);
    }
    free_list(const free_list&) = delete;
    free_list& operator=(const free_list&) = delete;

    void* take()
    {
        if (m_stacks.empty())
        {
            void* const made = ::mmap(nullptr, m_bytes, PROT_READ | PROT_WRITE,
                                      MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
            if (made == MAP_FAILED)
                throw std::bad_alloc();
            return made;
        }
        void* const taken = m_stacks.back();
        m_stacks.pop_back();
        return taken;
    }

    void give_back(void* stack) noexcept
    {
        if (m_stacks.size() < max_kept)
            m_stacks.push_back(stack);
        else
            ::munmap(stack, m_bytes);
    }

private:
    std::size_t m_bytes;
    std::vector<void*> m_stacks;
};

fiber_stacks::fiber_stacks(std::size_t bytes)
    : m_bytes(bytes)
    , m_free(std::make_shared<free_list>(bytes))
{
}

boost::context::stack_context fiber_stacks::allocate()
{
    boost::context::stack_context stack;
    stack.size = m_bytes;
    stack.sp = static_cast<char*>(m_free->take()) + m_bytes; // grows downwards
    return stack;
}

void fiber_stacks::deallocate(boost::context::stack_context& stack) noexcept
{
    m_free->give_back(static_cast<char*>(stack.sp) - stack.size);
}

} // namespace tillerhall
