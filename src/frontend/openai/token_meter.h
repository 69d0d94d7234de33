/// The interface through which requests reserve tokens from the tenants' budgets and report their
/// usage.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "shared/node.h"

namespace inference_router::frontend {

/// A reservation that was denied.
struct BudgetDenied {
  std::string why;  ///< sent to the client
  double retryAfterMs = 0;
};

/// Counts tokens against the tenants' budgets.
class TokenMeter {
 public:
  virtual ~TokenMeter() = default;
  /// Reserves tokens for a request. tokens: the maximum that the request can use. Fills `to` and
  /// returns nothing if granted. Does not throw; the meter counts denials.
  virtual std::optional<BudgetDenied> reserve(const std::string& tenant,
                                              const std::string& cls,
                                              std::uint64_t tokens,
                                              shared::Reservation& to) = 0;
  /// Replaces the reservation by the actual usage. Called exactly once for each reservation.
  virtual void settle(const std::string& tenant,
                      const std::string& cls,
                      const shared::Reservation& reservation,
                      const shared::SharedNode::RequestUsage& usage) = 0;
};

}  // namespace inference_router::frontend
