// A lease on a task that one router does for the whole fleet, as one candidate sees it: a state
// machine that is told the time and what the store answered, and says what to ask the store next.
// It proves nothing by time alone: whoever acts carries a fence, and the place where the act takes
// effect refuses an older one. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <tuple>

namespace inference_router::coordination {

// One process: a router's name, and a number that is new with each start.
struct Holder {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Holder&) const = default;
};

// ---- What passes between a candidate and the store
// --------------------------------------------------

enum class Verb { kAcquire, kRenew, kRelease };

struct LeaseAsk {
  Verb verb = Verb::kAcquire;
  std::string task;
  Holder who;
  std::uint64_t number =
      0;  // of all asks of this process; a store passes over an acquire older than one granted
  std::uint64_t fence =
      0;             // acquire: the highest seen, what is granted lies above; else the own one
  double ttlMs = 0;  // by the store's clock, from when it carries this out
  std::uint64_t progress = 0;  // steps done so far, for whoever looks
};

// As the store keeps it.
struct LeaseRecord {
  Holder holder;
  std::uint64_t fence = 0, number = 0, progress = 0;
  double sinceMs = 0;  // Unix time at the holder's grant, for people only
  bool operator==(const LeaseRecord&) const = default;
};

enum class Found {
  kGranted,      // acquired, or renewed
  kHeld,         // by another; leftMs says for how long at most, if nothing renews it
  kLost,         // renew, release: it is not this holder's with this fence
  kReleased,     // it was, and is free now
  kUnavailable,  // the store could not be reached, did not answer or could not be used: nothing is
                 // known
};

struct LeaseAnswer {
  std::uint64_t number = 0;  // of the ask
  Found found = Found::kUnavailable;
  std::uint64_t fence = 0;  // granted: the new one; held or lost: the one in force, 0 if none
  double leftMs = 0;
  std::optional<LeaseRecord> record;  // as found, if there is one
};

// ---- The candidate
// ----------------------------------------------------------------------------------

struct LeaseConfig {
  std::string task;
  double ttlMs = 5'000;
  double drift = 0.01;           // no clock gains or loses more than this share against another
  double longestStepMs = 1'000;  // of the task, from its check to the effect's answer
  double askMs = 1'000;          // an ask that is not answered by then counts as lost
  double workMs = 30'000;        // a holder that shows no progress for so long gives way
  double spreadMs = 100;         // by which each further candidate spreads the asks of all
  std::size_t candidates = 1;    // how many there are, as far as known
  double renewJitter = 0.1;      // of the time to a renewal, drawn
};

// Plain words on why these terms cannot be used; nothing if they can.
std::optional<std::string> problemWith(const LeaseConfig& config);

// How long a holder counts itself as one, from before it asked: the store lets go after ttlMs of
// its own clock, and neither clock is off by more than the drift.
double validitySpan(const LeaseConfig& config);

enum class LeaseState {
  kCandidate,
  kAsking,
  kHolding,
  kDoubtful,
  kLapsed,
  kReleasing,
  kBackingOff
};
const char* nameOf(LeaseState state);
// Whether the one may follow the other directly.
bool mayFollow(LeaseState from, LeaseState to);

// Proof that its bearer held the lease when it looked. Only a lease makes one, so an effect that is
// to be carried out for the fleet cannot be written without.
class Fence {
 public:
  const std::string& task() const { return task_; }
  const Holder& holder() const { return holder_; }
  std::uint64_t number() const { return number_; }

 private:
  friend class Lease;
  Fence(std::string task, Holder holder, std::uint64_t number)
      : task_(std::move(task)), holder_(std::move(holder)), number_(number) {}
  std::string task_;
  Holder holder_;
  std::uint64_t number_;
};

// Guards that tests take away one by one, to see that what they guard against is then found.
struct LeaseGuards {
  bool driftMargin = true;
  bool fromBeforeAsking = true;
};

class Lease {
 public:
  struct Counts {
    std::uint64_t acquired = 0, renewed = 0, lost = 0, gaveWay = 0, released = 0, wentBack = 0;
    double doubtfulMs = 0;
  };

  Lease(LeaseConfig config, Holder who, std::uint64_t seed, double nowMs, LeaseGuards guards = {});

  // Call at least whenever nextMs() has come. At most one ask comes of each call.
  std::optional<LeaseAsk> tick(double nowMs);
  void answered(const LeaseAnswer& answer, double nowMs);
  double nextMs() const;  // when tick() has something to do

  // A step that takes up to longestStepMs may begin now; nothing if it may not. A step under way
  // puts a release off, until stepEnded().
  std::optional<Fence> beginStep(double nowMs);
  void stepEnded(bool progress, double nowMs);
  // The task has nothing to do, which is as good as progress.
  void idle(double nowMs) { workedMs_ = nowMs; }
  // An effect was refused for its fence: somebody else holds the lease, or the store went back.
  void refused(double nowMs);

  // Gives the lease away in order, and asks for it no more until again() is called.
  void resign(double nowMs);
  void again(double nowMs);
  void candidates(std::size_t count) { config_.candidates = std::max<std::size_t>(1, count); }

  LeaseState state() const { return state_; }
  bool withinValidity(double nowMs) const { return holds() && nowMs < validUntilMs_; }
  bool resigned() const { return resigned_; }
  bool out() const {
    return !holds() && state_ != LeaseState::kReleasing;
  }  // nothing is held or being let go
  std::uint64_t fenceNumber() const { return fence_; }
  std::uint64_t seenFence() const { return seenFence_; }
  double sinceMs() const { return sinceMs_; }
  double validUntilMs() const { return validUntilMs_; }
  double nextRenewalMs() const { return nextAskMs_; }
  const std::string& why() const { return why_; }
  const std::optional<LeaseRecord>& seen() const { return seen_; }  // who holds it, as last heard
  const Counts& counts() const { return counts_; }
  const LeaseConfig& config() const { return config_; }
  const Holder& who() const { return who_; }

  // All that decides what comes next, times relative to now: two machines with the same key go on
  // alike.
  using Key = std::tuple<int,
                         std::uint64_t,
                         std::uint64_t,
                         std::uint64_t,
                         double,
                         double,
                         double,
                         double,
                         bool,
                         bool,
                         bool,
                         std::array<std::tuple<std::uint64_t, int, double>, 2>>;
  Key key(double nowMs) const;

 private:
  // Asks under way, the latest first: an answer that comes late still says what was true when it
  // was asked.
  struct Asked {
    std::uint64_t number = 0;
    Verb verb = Verb::kAcquire;
    double sentMs = 0;
  };

  bool holds() const { return state_ == LeaseState::kHolding || state_ == LeaseState::kDoubtful; }
  void enter(LeaseState state, double nowMs, std::string why);
  void backOff(double nowMs, double pauseMs, std::string why);
  LeaseAsk ask(Verb verb, double nowMs);
  void onAcquire(const Asked& asked, const LeaseAnswer& answer, double nowMs);
  void onRenewal(const Asked& asked, const LeaseAnswer& answer, double nowMs);
  std::optional<LeaseAsk> whileHolding(double nowMs);
  bool unanswered(double nowMs) const {
    return waiting_ && nowMs - asked_[0].sentMs >= config_.askMs;
  }
  double draw(double least, double most);
  double spread() const;

  LeaseConfig config_;
  Holder who_;
  LeaseGuards guards_;
  std::minstd_rand random_;
  LeaseState state_ = LeaseState::kCandidate;
  std::uint64_t number_ = 0, fence_ = 0, seenFence_ = 0, progress_ = 0;
  double nextAskMs_ = 0;  // candidate: to acquire; holding: to renew; backing off: the end of that
  double validUntilMs_ = 0, workedMs_ = 0, sinceMs_ = 0;
  bool waiting_ = false;  // for the answer to the latest ask
  bool resigned_ = false, stepping_ = false, giveWay_ = false;
  std::array<Asked, 2> asked_{};
  std::optional<LeaseRecord> seen_;
  std::string why_ = "started";
  Counts counts_;
};

}  // namespace inference_router::coordination
