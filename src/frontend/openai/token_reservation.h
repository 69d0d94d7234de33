/// A guard for the tokens that are reserved for one request.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "frontend/openai/token_meter.h"

namespace inference_router::frontend {

/// Reports the outcome of its request to the meter exactly once. If it is destroyed without an
/// outcome, for example because the client disconnected, it reports a failure. May outlive the
/// meter.
class TokenReservation {
 public:
  TokenReservation(const std::shared_ptr<TokenMeter>& meter,
                   std::string tenant,
                   std::string cls,
                   shared::Reservation reservation,
                   std::uint64_t tokens)
      : meter_(meter),
        tenant_(std::move(tenant)),
        cls_(std::move(cls)),
        reservation_(std::move(reservation)),
        tokens_(tokens) {}
  ~TokenReservation() { failed(); }
  TokenReservation(const TokenReservation&) = delete;
  TokenReservation& operator=(const TokenReservation&) = delete;

  void served(std::uint64_t promptTokens, std::uint64_t answerTokens) {
    report({RequestUsage::Outcome::kServed, promptTokens, answerTokens, tokens_});
  }
  void refused() { report({RequestUsage::Outcome::kRefused, 0, 0, tokens_}); }
  void failed() { report({RequestUsage::Outcome::kFailed, 0, 0, tokens_}); }

 private:
  using RequestUsage = shared::SharedNode::RequestUsage;

  void report(const RequestUsage& usage) {
    const auto meter = std::exchange(meter_, {}).lock();
    if (meter)
      meter->settle(tenant_, cls_, reservation_, usage);
  }

  std::weak_ptr<TokenMeter> meter_;
  std::string tenant_;
  std::string cls_;
  shared::Reservation reservation_;
  std::uint64_t tokens_;
};

}  // namespace inference_router::frontend
