/// The budget of file descriptors of the process, split into accounts by purpose. Whoever opens a
/// descriptor takes it from an account first. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace inference_router::admission {

/// The purpose of a descriptor. kOwn: log, event loop, listeners, the spare one. kRefusals: clients
/// that are sent the reason of their refusal.
enum class Account { kClients, kInstances, kDiscovery, kControl, kTelemetry, kOwn, kRefusals };
/// How scarce descriptors are.
enum class Level { kNormal, kTight, kExhausted };

/// The names in reports.
const char* nameOf(Account account);
const char* nameOf(Level level);

/// Counts the descriptors that are held per account. Not thread-safe.
class DescriptorBudget {
 public:
  static constexpr std::size_t kAccounts = 7;

  /// The cap of each account. Their sum is within the limit, so that none can starve another.
  struct Shares {
    std::size_t limit = 0;
    std::array<std::size_t, kAccounts> max{};
  };

  /// The caps for a process with `limit` descriptors. Half of what the fixed accounts leave is for
  /// connections to instances, so that every accepted request can be dispatched.
  static Shares sharesOf(std::size_t limit);

  explicit DescriptorBudget(const Shares& shares) : shares_(shares) {}

  /// Whether take() would succeed.
  bool may(Account account) const {
    return held(account) < shares_.max[at(account)] && total_ < shares_.limit;
  }
  /// Takes one descriptor; returns false, and counts a refusal, if the account or the process is
  /// full.
  bool take(Account account);
  /// Counts one that is open already, regardless of the caps.
  void force(Account account);
  /// Returns one; ignored if the account holds none.
  void give(Account account);
  std::size_t held(Account account) const { return held_[at(account)]; }
  std::size_t total() const { return total_; }
  const Shares& shares() const { return shares_; }
  std::uint64_t refused(Account account) const { return refused_[at(account)]; }

  /// The system ran out although the budget was not used up, as when the process's limit was
  /// lowered.
  void ranOut(double nowMs);
  /// By the fuller of the process and the clients' account, with hysteresis.
  Level level(double nowMs);

 private:
  static std::size_t at(Account account) { return static_cast<std::size_t>(account); }

  Shares shares_;
  std::array<std::size_t, kAccounts> held_{};
  std::array<std::uint64_t, kAccounts> refused_{};
  std::size_t total_ = 0;
  Level level_ = Level::kNormal;
  double exhaustedUntilMs_ = 0;
};

}  // namespace inference_router::admission
