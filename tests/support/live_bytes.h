// Counts the heap memory that a test process allocates by operator new. Include it in only one
// source file of a binary, since it replaces the global operators.
#pragma once

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace inference_router {

inline std::size_t liveBytes = 0, peakLiveBytes = 0;

// Additional heap memory after an action, and its maximum during the action.
struct HeapUse {
  std::size_t retainedBytes, peakBytes;
};
template <class Action>
HeapUse measureHeapUse(const Action& action) {
  const std::size_t before = peakLiveBytes = liveBytes;
  action();
  return {liveBytes > before ? liveBytes - before : 0, peakLiveBytes - before};
}

}  // namespace inference_router

// Not inlined: GCC would take free() for a mismatched deallocation of what operator new returned.
[[gnu::noinline]] void* operator new(std::size_t size) {
  void* pointer = std::malloc(size == 0 ? 1 : size);
  if (pointer == nullptr)
    throw std::bad_alloc();
  inference_router::liveBytes += malloc_usable_size(pointer);
  inference_router::peakLiveBytes =
      std::max(inference_router::peakLiveBytes, inference_router::liveBytes);
  return pointer;
}
[[gnu::noinline]] void operator delete(void* pointer) noexcept {
  if (pointer != nullptr)
    inference_router::liveBytes -= malloc_usable_size(pointer);
  std::free(pointer);
}
void operator delete(void* pointer, std::size_t) noexcept {
  operator delete(pointer);
}
