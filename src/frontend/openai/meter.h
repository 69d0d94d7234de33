// What the front asks of whoever counts tokens: leave to take a request, and to be told how each
// ended.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "shared/node.h"

namespace inference_router::frontend {

struct BudgetDenied {
  std::string why;
  double retryAfterMs = 0;
};

class TokenMeter {
 public:
  virtual ~TokenMeter() = default;
  // Of one request: the most tokens that it may come to. Throws nothing; a denial is counted by the
  // meter.
  virtual std::optional<BudgetDenied> reserve(const std::string& tenant,
                                              const std::string& cls,
                                              std::uint64_t tokens,
                                              shared::Reservation& to) = 0;
  virtual void ended(const std::string& tenant,
                     const std::string& cls,
                     const shared::Reservation& reservation,
                     const shared::SharedNode::Ended& how) = 0;
};

// One request's account: said once how it ended; if nobody says so, as when its client has gone, it
// failed. May outlive its meter.
class Bill {
 public:
  using Ended = shared::SharedNode::Ended;

  Bill(const std::shared_ptr<TokenMeter>& meter,
       std::string tenant,
       std::string cls,
       shared::Reservation reservation,
       std::uint64_t asked)
      : meter_(meter),
        tenant_(std::move(tenant)),
        cls_(std::move(cls)),
        reservation_(std::move(reservation)),
        asked_(asked) {}
  ~Bill() { say({Ended::How::kFailed, 0, 0, asked_}); }
  Bill(const Bill&) = delete;
  Bill& operator=(const Bill&) = delete;

  void served(std::uint64_t promptTokens, std::uint64_t answerTokens) {
    say({Ended::How::kServed, promptTokens, answerTokens, asked_});
  }
  void refused() { say({Ended::How::kRefused, 0, 0, asked_}); }
  void failed() { say({Ended::How::kFailed, 0, 0, asked_}); }

 private:
  void say(const Ended& how) {
    const auto meter = std::exchange(meter_, {}).lock();
    if (meter)
      meter->ended(tenant_, cls_, reservation_, how);
  }

  std::weak_ptr<TokenMeter> meter_;
  std::string tenant_, cls_;
  shared::Reservation reservation_;
  std::uint64_t asked_;
};

}  // namespace inference_router::frontend
