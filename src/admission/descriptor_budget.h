// Every descriptor that the process holds, by what it is for. Whoever opens one takes it here first.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace dahliastall::admission {

// Own: log, loop, listeners, the spare one. Refusals: clients that read why they were turned away.
enum class Account { kClients, kBoxes, kDiscovery, kControl, kTelemetry, kOwn, kRefusals };
enum class Level { kNormal, kTight, kExhausted };

const char* nameOf(Account account);
const char* nameOf(Level level);

class DescriptorBudget {
 public:
  static constexpr std::size_t kAccounts = 7;

  struct Shares {  // what an account may hold; the sum is within the limit, so none can starve another
    std::size_t limit = 0;
    std::array<std::size_t, kAccounts> most{};
  };

  // For a process that may have so many descriptors. Half of what the fixed accounts leave is for links to
  // boxes, so that whatever was accepted can be sent on.
  static Shares sharesOf(std::size_t limit);

  explicit DescriptorBudget(const Shares& shares) : shares_(shares) {}

  bool may(Account account) const {
    return held(account) < shares_.most[at(account)] && total_ < shares_.limit;
  }
  bool take(Account account);
  void force(Account account);  // what is open already, whatever the shares say
  void give(Account account);
  std::size_t held(Account account) const { return held_[at(account)]; }
  std::size_t total() const { return total_; }
  const Shares& shares() const { return shares_; }
  std::uint64_t refused(Account account) const { return refused_[at(account)]; }

  // The system had none left although this ledger thought so: somebody lowered the limit.
  void ranOut(double nowMs);
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

}  // namespace dahliastall::admission
