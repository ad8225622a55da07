#include "tillerhall/core/heap.hpp"

#include <malloc.h>

namespace tillerhall
{
namespace
{

// Bodies of calls are mostly smaller and come by the hundred a second: mapping
// each would cost more than it saves. Routes and rows of a large mesh are
// larger.
constexpr int large_buffer_bytes = 96 * 1024;
// Free space at the end of the heap is given back from here on.
constexpr int kept_at_end_bytes = 256 * 1024;

} // namespace

void keep_large_buffers_apart()
{
    mallopt(M_MMAP_THRESHOLD, large_buffer_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_at_end_bytes);
}

} // namespace tillerhall
