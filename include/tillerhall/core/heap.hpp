/** @file Settings of malloc for this process. */
#pragma once

namespace tillerhall
{

/**
 * Fixes glibc's mmap threshold, so that large buffers (a version of the routes,
 * a page of rows, a body) are mapped and go back to the system when they are
 * freed. By default the threshold grows with each freed buffer, and large
 * buffers then fragment the heap. Call it before the first worker starts.
 */
void set_malloc_thresholds();

} // namespace tillerhall
