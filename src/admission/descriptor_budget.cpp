#include "admission/descriptor_budget.h"

#include <algorithm>

namespace inference_router::admission {

namespace {

constexpr std::size_t kFixedDescriptors = 64;  // discovery, control, telemetry and own accounts
// A separate account; otherwise a flood of refusals would use up the clients' account.
constexpr std::size_t kRefusalDescriptors = 16;
constexpr std::size_t kDiscoveryDescriptors = 4;
constexpr std::size_t kControlDescriptors = 40;
constexpr std::size_t kTelemetryDescriptors = 2;
// Used shares at which a level is entered and left.
constexpr double kTightEnterShare = 0.9;
constexpr double kTightLeaveShare = 0.8;
constexpr double kExhaustedEnterShare = 0.98;
constexpr double kExhaustedLeaveShare = 0.9;
// Time for open descriptors to be returned.
constexpr double kExhaustedHoldMs = 1'000;  // level stays exhausted after ranOut()

double usedShare(std::size_t held, std::size_t max) {
  return max == 0 ? 1.0 : static_cast<double>(held) / static_cast<double>(max);
}

}  // namespace

const char* nameOf(Account account) {
  constexpr std::array<const char*, DescriptorBudget::kAccounts> kNames{
      "clients", "boxes", "discovery", "control", "telemetry", "own", "refusals"};
  return kNames[static_cast<std::size_t>(account)];
}

const char* nameOf(Level level) {
  switch (level) {
    case Level::kNormal:
      return "normal";
    case Level::kTight:
      return "tight";
    case Level::kExhausted:
      break;
  }
  return "exhausted";
}

DescriptorBudget::Shares DescriptorBudget::sharesOf(std::size_t limit) {
  const std::size_t remaining = limit > kFixedDescriptors ? limit - kFixedDescriptors : 0;
  Shares shares;
  shares.limit = limit;
  const std::size_t refusals = std::min(kRefusalDescriptors, remaining / 4);
  shares.max = {
      remaining / 2 - refusals,
      remaining - remaining / 2,
      kDiscoveryDescriptors,
      kControlDescriptors,
      kTelemetryDescriptors,
      kFixedDescriptors - kDiscoveryDescriptors - kControlDescriptors - kTelemetryDescriptors,
      refusals};
  return shares;
}

bool DescriptorBudget::take(Account account) {
  if (!may(account)) {
    ++refused_[at(account)];
    return false;
  }
  force(account);
  return true;
}

void DescriptorBudget::force(Account account) {
  ++held_[at(account)];
  ++total_;
}

void DescriptorBudget::give(Account account) {
  if (held_[at(account)] == 0)
    return;
  --held_[at(account)];
  --total_;
}

void DescriptorBudget::ranOut(double nowMs) {
  exhaustedUntilMs_ = nowMs + kExhaustedHoldMs;
}

Level DescriptorBudget::level(double nowMs) {
  const double used =
      std::max(usedShare(total_, shares_.limit),
               usedShare(held(Account::kClients), shares_.max[at(Account::kClients)]));
  const double exhaustedThreshold =
      level_ == Level::kExhausted ? kExhaustedLeaveShare : kExhaustedEnterShare;
  const double tightThreshold = level_ == Level::kNormal ? kTightEnterShare : kTightLeaveShare;
  if (nowMs < exhaustedUntilMs_ || used >= exhaustedThreshold)
    level_ = Level::kExhausted;
  else
    level_ = used >= tightThreshold ? Level::kTight : Level::kNormal;
  return level_;
}

}  // namespace inference_router::admission
