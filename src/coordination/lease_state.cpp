#include "coordination/lease_state.h"

#include <array>
#include <cstddef>

namespace inference_router::coordination {

namespace {

using S = LeaseState;

}  // namespace

const char* nameOf(LeaseState state) {
  constexpr std::array<const char*, 7> kNames{"candidate", "asking",    "holding",    "doubtful",
                                              "lapsed",    "releasing", "backing_off"};
  return kNames[static_cast<std::size_t>(state)];
}

bool canTransition(LeaseState from, LeaseState to) {
  switch (from) {
    case S::kCandidate:
      return to == S::kAcquiring || to == S::kBackingOff;
    case S::kAcquiring:
      return to == S::kHolding || to == S::kExpired || to == S::kCandidate || to == S::kBackingOff;
    case S::kHolding:
      return to == S::kDoubtful || to == S::kExpired || to == S::kReleasing;
    case S::kDoubtful:
      return to == S::kHolding || to == S::kExpired || to == S::kReleasing;
    case S::kExpired:
    case S::kReleasing:
      return to == S::kBackingOff;
    case S::kBackingOff:
      return to == S::kCandidate;
  }
  return false;
}

}  // namespace inference_router::coordination
