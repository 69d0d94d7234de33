/// Whoever counts tokens against the tenants' budgets: gives leave to take a request, and is told
/// how each ended.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "shared/node.h"

namespace inference_router::frontend {

struct BudgetDenied {
  std::string why;  ///< for the client
  double retryAfterMs = 0;
};

class TokenMeter {
 public:
  virtual ~TokenMeter() = default;
  /// tokens: the most that the request may come to. Fills `to` if it is granted. Throws nothing; a
  /// denial is counted by the meter.
  virtual std::optional<BudgetDenied> reserve(const std::string& tenant,
                                              const std::string& cls,
                                              std::uint64_t tokens,
                                              shared::Reservation& to) = 0;
  /// Called once for each reservation.
  virtual void settle(const std::string& tenant,
                      const std::string& cls,
                      const shared::Reservation& reservation,
                      const shared::SharedNode::RequestUsage& usage) = 0;
};

}  // namespace inference_router::frontend
