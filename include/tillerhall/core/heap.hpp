/** @file How the process's heap grows. */
#pragma once

namespace tillerhall
{

/**
 * Keeps large buffers (a version of the routes, a page of rows, a body) out of
 * the heap that small objects share. Without a fixed limit the allocator takes
 * them from there once one was freed, and what small objects then leave between
 * them stays with the process. To be called before the first worker starts.
 */
void keep_large_buffers_apart();

} // namespace tillerhall
