// What this node knows and did about one instance in slow start, for the log.
#pragma once

#include <cstdint>

#include "inference_router/slow_start_totals.h"

namespace inference_router::routing {

/// By which news this node learned that the instance has started.
enum class SlowStartNews {
  kFirstList,  ///< it was in the first endpoint list of this process
  kAdded,      ///< a later list named it for the first time
  kRestarted   ///< a later list named another start time
};

/// The name that is used in log lines.
inline const char* nameOf(SlowStartNews news) {
  switch (news) {
    case SlowStartNews::kFirstList:
      return "first list";
    case SlowStartNews::kAdded:
      return "added";
    case SlowStartNews::kRestarted:
      return "restarted";
  }
  return "";
}

/// One slow start of one instance. Stored in the instance.
struct SlowStartRecord {
  SlowStartNews news = SlowStartNews::kFirstList;
  bool reported = false;      ///< its beginning was logged, and its end was not
  std::uint64_t sent = 0;     ///< attempts and reservations
  SlowStartDenials denied{};  ///< by reason
};

}  // namespace inference_router::routing
