// Counts what a test's process holds by new: for the one source file of a binary that includes
// this.
#pragma once

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace inference_router {

inline std::size_t liveBytes = 0, peakLiveBytes = 0;

// How much more is held at the end of what is done, and at the most meanwhile.
struct HeapUse {
  std::size_t retainedBytes, peakBytes;
};
template <class Do>
HeapUse measureHeapUse(const Do& what) {
  const std::size_t before = peakLiveBytes = liveBytes;
  what();
  return {liveBytes > before ? liveBytes - before : 0, peakLiveBytes - before};
}

}  // namespace inference_router

void* operator new(std::size_t size) {
  void* at = std::malloc(size == 0 ? 1 : size);
  if (at == nullptr)
    throw std::bad_alloc();
  inference_router::liveBytes += malloc_usable_size(at);
  inference_router::peakLiveBytes =
      std::max(inference_router::peakLiveBytes, inference_router::liveBytes);
  return at;
}
void operator delete(void* at) noexcept {
  if (at != nullptr)
    inference_router::liveBytes -= malloc_usable_size(at);
  std::free(at);
}
void operator delete(void* at, std::size_t) noexcept {
  operator delete(at);
}
