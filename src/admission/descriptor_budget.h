/// The budget of file descriptors of the process, split into accounts by purpose. A descriptor is
/// counted in its account before it is opened. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace inference_router::admission {

/// The purpose of a descriptor. kOwn: log, event loop, listeners and the spare descriptor.
/// kRefusals: connections on which a refused client is sent the reason.
enum class Account { kClients, kInstances, kDiscovery, kControl, kTelemetry, kOwn, kRefusals };
/// How scarce descriptors are.
enum class Level { kNormal, kTight, kExhausted };

/// The names that reports contain.
const char* nameOf(Account account);
const char* nameOf(Level level);

/// Counts the open descriptors per account. Not thread-safe.
class DescriptorBudget {
 public:
  static constexpr std::size_t kAccounts = 7;

  /// The cap of each account. The sum of the caps does not exceed the limit, so that no account can
  /// starve another.
  struct Shares {
    std::size_t limit = 0;
    std::array<std::size_t, kAccounts> max{};
  };

  /// Returns the caps for a process with `limit` descriptors. Half of the descriptors that are not
  /// assigned to the fixed accounts are for connections to instances, so that every accepted
  /// request can be dispatched.
  static Shares sharesOf(std::size_t limit);

  explicit DescriptorBudget(const Shares& shares) : shares_(shares) {}

  /// Returns whether take() would succeed.
  bool may(Account account) const {
    return held(account) < shares_.max[at(account)] && total_ < shares_.limit;
  }
  /// Takes one descriptor; returns false, and counts a refusal, if the account or the process is
  /// full.
  bool take(Account account);
  /// Counts a descriptor that is already open, regardless of the caps.
  void force(Account account);
  /// Returns one descriptor to the account; ignored if none is counted there.
  void give(Account account);
  std::size_t held(Account account) const { return held_[at(account)]; }
  std::size_t total() const { return total_; }
  const Shares& shares() const { return shares_; }
  std::uint64_t refused(Account account) const { return refused_[at(account)]; }

  /// Reports that the system refused a descriptor although the budget was not used up, as happens
  /// after the process's limit was lowered.
  void ranOut(double nowMs);
  /// Returns the level of the process or of the clients' account, whichever uses the larger share,
  /// with hysteresis.
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
