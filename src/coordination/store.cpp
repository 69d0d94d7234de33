#include "coordination/store.h"

#include <array>

namespace inference_router::coordination {

const char* nameOf(CommitStatus status) {
  constexpr std::array<const char*, 5> kNames{"done", "stale_fence", "conflict", "refused",
                                              "unavailable"};
  return kNames[static_cast<std::size_t>(status)];
}

bool withinLimits(const std::vector<Write>& writes) {
  if (writes.empty() || writes.size() > kMaxWritesPerCommit)
    return false;
  std::size_t bytes = 0;
  for (const Write& write : writes) {
    if (write.key.empty() || write.key.size() > kMaxKeyBytes)
      return false;
    if (write.value && write.value->size() > kMaxValueBytes)
      return false;
    bytes += 2 * write.key.size() + (write.value ? write.value->size() : 0);
  }
  return bytes <= kMaxCommitBytes;
}

}  // namespace inference_router::coordination
