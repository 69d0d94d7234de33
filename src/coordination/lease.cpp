#include "coordination/lease.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace inference_router::coordination {

namespace {

constexpr double kRenewShare =
    1.0 / 3;  // of the validity, after which it is renewed: two tries more are left
constexpr double kRetryShare = 0.1;  // of the validity, between tries to renew that fail at once
constexpr double kGiveWayTimes = 3;  // times the lease that a holder without progress stays away
constexpr double kMostDrift = 0.2;
constexpr std::size_t kLongestName = 128;

using S = LeaseState;

}  // namespace

std::optional<std::string> problemWith(const LeaseConfig& config) {
  if (config.task.empty() || config.task.size() > kLongestName)
    return "a task has a name of 1 to 128 bytes";
  if (!(config.drift >= 0 && config.drift <= kMostDrift))
    return "drift is a share from 0 to 0.2";
  if (!(config.ttlMs > 0 && std::isfinite(config.ttlMs)))
    return "the lease is no time above 0";
  if (!(config.askMs > 0 && config.longestStepMs > 0 && config.workMs > 0 && config.spreadMs >= 0))
    return "times are above 0";
  // A holder that has just renewed in time must be able to do its longest step before the next
  // renewal is lost.
  const double left =
      validitySpan(config) * (1 - kRenewShare * (1 + config.renewJitter)) - config.askMs;
  if (left < config.longestStepMs)
    return "the lease is too short: what is left of it at its renewal, less the drift and " +
           std::to_string(std::lround(config.askMs)) +
           " ms for an answer, is under the longest step of " +
           std::to_string(std::lround(config.longestStepMs)) + " ms";
  return std::nullopt;
}

double validitySpan(const LeaseConfig& config) {
  return config.ttlMs * (1 - config.drift) / (1 + config.drift);
}

const char* nameOf(LeaseState state) {
  constexpr std::array<const char*, 7> kNames{"candidate", "asking",    "holding",    "doubtful",
                                              "lapsed",    "releasing", "backing_off"};
  return kNames[static_cast<std::size_t>(state)];
}

bool mayFollow(LeaseState from, LeaseState to) {
  switch (from) {
    case S::kCandidate:
      return to == S::kAsking || to == S::kBackingOff;
    case S::kAsking:
      return to == S::kHolding || to == S::kLapsed || to == S::kCandidate || to == S::kBackingOff;
    case S::kHolding:
      return to == S::kDoubtful || to == S::kLapsed || to == S::kReleasing;
    case S::kDoubtful:
      return to == S::kHolding || to == S::kLapsed || to == S::kReleasing;
    case S::kLapsed:
    case S::kReleasing:
      return to == S::kBackingOff;
    case S::kBackingOff:
      return to == S::kCandidate;
  }
  return false;
}

Lease::Lease(LeaseConfig config, Holder who, std::uint64_t seed, double nowMs, LeaseGuards guards)
    : config_(std::move(config)),
      who_(std::move(who)),
      guards_(guards),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))),
      sinceMs_(nowMs) {
  // A wave of restarts must not ask all at once.
  nextAskMs_ = nowMs + draw(0, spread());
}

double Lease::draw(double least, double most) {
  return most > least ? std::uniform_real_distribution<>(least, most)(random_) : least;
}

double Lease::spread() const {
  return config_.spreadMs * static_cast<double>(config_.candidates - 1);
}

void Lease::enter(LeaseState state, double nowMs, std::string why) {
  if (state_ == S::kDoubtful)
    counts_.doubtfulMs += nowMs - sinceMs_;
  state_ = state;
  sinceMs_ = nowMs;
  why_ = std::move(why);
}

void Lease::backOff(double nowMs, double pauseMs, std::string why) {
  waiting_ = stepping_ = false;
  fence_ = 0;
  enter(S::kBackingOff, nowMs, std::move(why));
  nextAskMs_ = nowMs + pauseMs + draw(0, spread());
}

LeaseAsk Lease::ask(Verb verb, double nowMs) {
  asked_[1] = asked_[0];
  asked_[0] = {++number_, verb, nowMs};
  waiting_ = true;
  return {verb,          config_.task, who_, number_, verb == Verb::kAcquire ? seenFence_ : fence_,
          config_.ttlMs, progress_};
}

std::optional<LeaseAsk> Lease::tick(double nowMs) {
  switch (state_) {
    case S::kBackingOff:
      if (nowMs < nextAskMs_)
        return std::nullopt;
      enter(S::kCandidate, nowMs, "waited");
      [[fallthrough]];
    case S::kCandidate:
      if (resigned_ || nowMs < nextAskMs_)
        return std::nullopt;
      enter(S::kAsking, nowMs, "its turn to ask");
      return ask(Verb::kAcquire, nowMs);
    case S::kAsking:
      // It may have been granted all the same; the next ask of this process gets it then, with a
      // fence above.
      if (unanswered(nowMs))
        backOff(nowMs, config_.askMs, "the store did not answer");
      return std::nullopt;
    case S::kHolding:
    case S::kDoubtful:
      return whileHolding(nowMs);
    case S::kLapsed:
      backOff(nowMs, config_.askMs, why_);
      return std::nullopt;
    case S::kReleasing:
      // Unanswered, it is let lapse by the store: whoever is next waits a little longer, no more.
      if (unanswered(nowMs))
        backOff(nowMs, config_.ttlMs, "released, not confirmed");
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<LeaseAsk> Lease::whileHolding(double nowMs) {
  if (nowMs >= validUntilMs_) {
    ++counts_.lost;
    enter(S::kLapsed, nowMs, "could not be renewed in time");
    return std::nullopt;
  }
  if (!stepping_ && !resigned_ && nowMs - workedMs_ >= config_.workMs) {
    ++counts_.gaveWay;
    giveWay_ = true;
  }
  if ((resigned_ || giveWay_) && !stepping_) {
    enter(S::kReleasing, nowMs, resigned_ ? "resigned" : "gave way: no progress");
    return ask(Verb::kRelease, nowMs);
  }
  if (unanswered(nowMs)) {
    waiting_ = false;
    if (state_ == S::kHolding)
      enter(S::kDoubtful, nowMs, "a renewal is not answered");
  }
  if (waiting_ || nowMs < nextAskMs_)
    return std::nullopt;
  nextAskMs_ = nowMs + validitySpan(config_) * kRetryShare;
  return ask(Verb::kRenew, nowMs);
}

double Lease::nextMs() const {
  const double lost = waiting_ ? asked_[0].sentMs + config_.askMs : HUGE_VAL;
  switch (state_) {
    case S::kCandidate:
      return resigned_ ? HUGE_VAL : nextAskMs_;
    case S::kBackingOff:
      return nextAskMs_;
    case S::kAsking:
    case S::kReleasing:
      return lost;
    case S::kLapsed:
      return sinceMs_;
    case S::kHolding:
    case S::kDoubtful:
      if ((resigned_ || giveWay_) && !stepping_)
        return sinceMs_;
      return std::min({validUntilMs_, waiting_ ? lost : nextAskMs_,
                       stepping_ || resigned_ ? HUGE_VAL : workedMs_ + config_.workMs});
  }
  return HUGE_VAL;
}

void Lease::answered(const LeaseAnswer& answer, double nowMs) {
  const auto asked = std::find_if(asked_.begin(), asked_.end(), [&](const Asked& one) {
    return one.number != 0 && one.number == answer.number;
  });
  if (asked == asked_.end())
    return;  // answered before, or too old to mean anything
  const Asked what = *asked;
  *asked = {};
  const bool latest = what.number == number_;
  if (latest)
    waiting_ = false;
  if (answer.record)
    seen_ = answer.record;
  else if (answer.found == Found::kReleased || answer.found == Found::kLost)
    seen_.reset();
  if (answer.fence != 0 && answer.fence < seenFence_)
    ++counts_.wentBack;
  if (what.verb == Verb::kAcquire)
    return latest ? onAcquire(what, answer, nowMs) : void();
  if (what.verb == Verb::kRenew)
    return onRenewal(what, answer, nowMs);
  if (state_ != S::kReleasing)
    return;
  ++counts_.released;
  // Fair: whoever had it stays behind those who wait.
  backOff(nowMs, giveWay_ ? config_.ttlMs * kGiveWayTimes : config_.ttlMs, why_);
  giveWay_ = false;
}

void Lease::onAcquire(const Asked& asked, const LeaseAnswer& answer, double nowMs) {
  if (state_ != S::kAsking)
    return;
  if (answer.found == Found::kHeld) {
    seenFence_ = std::max(seenFence_, answer.fence);
    enter(S::kCandidate, nowMs, "held by another");
    nextAskMs_ = nowMs + std::clamp(answer.leftMs, 0.0, config_.ttlMs) + draw(0, spread());
    return;
  }
  if (answer.found != Found::kGranted)
    return backOff(nowMs, config_.askMs, "the store cannot be used");
  // A store that has forgotten fences would let two act under one number.
  if (answer.fence <= seenFence_)
    return backOff(nowMs, config_.ttlMs, "the fence would go down");
  seenFence_ = fence_ = answer.fence;
  ++counts_.acquired;
  workedMs_ = nowMs;
  const double from = guards_.fromBeforeAsking ? asked.sentMs : nowMs;
  validUntilMs_ = from + (guards_.driftMargin ? validitySpan(config_) : config_.ttlMs);
  if (nowMs >= validUntilMs_)
    return enter(S::kLapsed, nowMs, "granted too late");
  enter(S::kHolding, nowMs, "acquired");
  nextAskMs_ = asked.sentMs + validitySpan(config_) * kRenewShare *
                                  draw(1 - config_.renewJitter, 1 + config_.renewJitter);
}

void Lease::onRenewal(const Asked& asked, const LeaseAnswer& answer, double nowMs) {
  if (!holds())
    return;
  if (answer.found == Found::kLost || answer.found == Found::kHeld) {
    seenFence_ = std::max(seenFence_, answer.fence);
    ++counts_.lost;
    return enter(S::kLapsed, nowMs, "the store says that it is lost");
  }
  if (answer.found != Found::kGranted || answer.fence != fence_) {
    if (state_ == S::kHolding)
      enter(S::kDoubtful, nowMs, "the store cannot be reached");
    return;
  }
  ++counts_.renewed;
  const double from = guards_.fromBeforeAsking ? asked.sentMs : nowMs;
  validUntilMs_ =
      std::max(validUntilMs_, from + (guards_.driftMargin ? validitySpan(config_) : config_.ttlMs));
  if (nowMs >= validUntilMs_)
    return;  // tick() says so
  // One that was answered late has little left: the next one goes out at once.
  nextAskMs_ = asked.sentMs + validitySpan(config_) * kRenewShare *
                                  draw(1 - config_.renewJitter, 1 + config_.renewJitter);
  if (state_ == S::kDoubtful && nowMs < nextAskMs_)
    enter(S::kHolding, nowMs, "renewed");
}

std::optional<Fence> Lease::beginStep(double nowMs) {
  if (!withinValidity(nowMs) || stepping_ || resigned_ || giveWay_)
    return std::nullopt;
  if (nowMs + config_.longestStepMs > validUntilMs_)
    return std::nullopt;
  stepping_ = true;
  return Fence(config_.task, who_, fence_);
}

void Lease::stepEnded(bool progress, double nowMs) {
  stepping_ = false;
  if (!progress)
    return;
  ++progress_;
  workedMs_ = nowMs;
}

void Lease::refused(double nowMs) {
  stepping_ = false;
  if (!holds())
    return;
  ++counts_.lost;
  enter(S::kLapsed, nowMs, "an effect was refused for its fence");
}

void Lease::resign(double nowMs) {
  resigned_ = true;
  // Not asked for yet: what is under way is answered, and then let lapse.
  if (state_ == S::kAsking)
    backOff(nowMs, 0, "resigned");
}

void Lease::again(double nowMs) {
  resigned_ = false;
  if (state_ == S::kCandidate)
    nextAskMs_ = std::max(nextAskMs_, nowMs + draw(0, spread()));
}

Lease::Key Lease::key(double nowMs) const {
  const auto left = [nowMs](double at) { return at == HUGE_VAL ? at : std::max(-1.0, at - nowMs); };
  std::array<std::tuple<std::uint64_t, int, double>, 2> asked;
  for (std::size_t i = 0; i < asked.size(); ++i)
    asked[i] = {asked_[i].number, static_cast<int>(asked_[i].verb),
                asked_[i].number == 0 ? 0.0 : nowMs - asked_[i].sentMs};
  const bool holding = holds();
  return {static_cast<int>(state_),
          number_,
          fence_,
          seenFence_,
          left(nextAskMs_),
          holding ? left(validUntilMs_) : 0,
          holding ? nowMs - workedMs_ : 0,
          0.0,
          waiting_,
          resigned_,
          stepping_ || giveWay_,
          asked};
}

}  // namespace inference_router::coordination
