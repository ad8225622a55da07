#include "tillerhall/core/heap.hpp"

#include <malloc.h>

namespace tillerhall
{
namespace
{

// Above the size of most call bodies, for which a system call each would cost
// too much, and below that of the routes and row pages of a large mesh.
constexpr int mmap_threshold_bytes = 96 * 1024;
// Free space at the top of the heap above this is returned to the system.
constexpr int trim_threshold_bytes = 256 * 1024;

} // namespace

void set_malloc_thresholds()
{
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
}

} // namespace tillerhall
