// Totals over the instances in slow start, for counters.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace inference_router::routing {

/// Why a request was not sent to an instance in slow start.
enum class SlowStartDenial {
  kBudgetUsed,      ///< this node has used its part of the instance's budget
  kNodeStarted,     ///< an earlier process of this node may have used it
  kReservationOld,  ///< the reservation was made too long ago, and the budget is used
  kCount
};

/// The name of a reason that is used in counters and log lines.
const char* nameOf(SlowStartDenial denial);

/// Number of denials by reason.
using SlowStartDenials =
    std::array<std::uint64_t, static_cast<std::size_t>(SlowStartDenial::kCount)>;

/// What one node sent to instances in slow start since it started.
struct SlowStartTotals {
  std::uint64_t sent = 0;     ///< attempts, and reservations whose attempts are not counted again
  SlowStartDenials denied{};  ///< offers of requests that were denied; one request may be offered
                              ///< again and again

  bool operator==(const SlowStartTotals&) const = default;
};

}  // namespace inference_router::routing
