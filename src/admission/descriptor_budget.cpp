#include "admission/descriptor_budget.h"

#include <algorithm>

namespace inference_router::admission {

namespace {

constexpr std::size_t kFixed = 64;  // of all accounts but clients and instances
// Apart from clients, or a flood of refusals would use up the clients' account.
constexpr std::size_t kRefusals = 16;
constexpr std::size_t kDiscovery = 4, kControl = 40, kTelemetry = 2;
constexpr double kTightFrom = 0.9, kTightUntil = 0.8;
constexpr double kExhaustedFrom = 0.98, kExhaustedUntil = 0.9;
constexpr double kExhaustedHoldMs = 1'000;  // after ranOut(); descriptors are returned meanwhile

}  // namespace

const char* nameOf(Account account) {
  constexpr std::array<const char*, DescriptorBudget::kAccounts> kNames{
      "clients", "boxes", "discovery", "control", "telemetry", "own", "refusals"};
  return kNames[static_cast<std::size_t>(account)];
}

const char* nameOf(Level level) {
  return level == Level::kNormal ? "normal" : level == Level::kTight ? "tight" : "exhausted";
}

DescriptorBudget::Shares DescriptorBudget::sharesOf(std::size_t limit) {
  const std::size_t rest = limit > kFixed ? limit - kFixed : 0;
  Shares shares;
  shares.limit = limit;
  const std::size_t refusals = std::min(kRefusals, rest / 4);
  shares.most = {rest / 2 - refusals,
                 rest - rest / 2,
                 kDiscovery,
                 kControl,
                 kTelemetry,
                 kFixed - kDiscovery - kControl - kTelemetry,
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
  const auto part = [](std::size_t held, std::size_t most) {
    return most == 0 ? 1.0 : static_cast<double>(held) / static_cast<double>(most);
  };
  const double full = std::max(part(total_, shares_.limit),
                               part(held(Account::kClients), shares_.most[at(Account::kClients)]));
  const bool exhausted = nowMs < exhaustedUntilMs_ ||
                         full >= (level_ == Level::kExhausted ? kExhaustedUntil : kExhaustedFrom);
  const bool tight = full >= (level_ == Level::kNormal ? kTightFrom : kTightUntil);
  level_ = exhausted ? Level::kExhausted : tight ? Level::kTight : Level::kNormal;
  return level_;
}

}  // namespace inference_router::admission
