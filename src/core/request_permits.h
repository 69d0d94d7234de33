/// Decides whether an attempt or a reservation may be sent for a request and gives the reason if
/// not; and checks attempts and rejections against the rules of the protocol. All attempts,
/// reservations and rejections of the core are checked here. No I/O; all times are of core::Clock,
/// in milliseconds.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "inference_router/router.h"

namespace inference_router::core {

/// Whether a message may be sent now, or why not.
enum class Permit {
  kAllowed,
  kUnknownInstance,  ///< the instance is not in the endpoint list
  kDrained,          ///< the drain grace period of the instance has almost passed
  kRetryWindowOver,  ///< the window in which the request may be repeated has passed
  kClientGone,
  kDeadlineOver,
  kAnswered,  ///< the final answer was given
  kStreaming,
};
/// The name that is used in counters.
const char* nameOf(Permit permit);

/// A violated rule of the protocol. The permits should have prevented it, so it is a fault of this
/// program.
enum class Violation {
  kRepeatedEffect,       ///< an attempt although an earlier one may have run and the class forbids
                         ///< repeats
  kUnexpectedHedge,      ///< an attempt although another one is in flight and hedged requests are
                         ///< not allowed
  kRejectedAfterEffect,  ///< a rejection although an attempt may have run and the class forbids
                         ///< repeats
  kRejectedDuringAttempt,  ///< a rejection although an attempt is in flight
  kSentAfterDeadline,
  kSentToDrained,
  kCount,
};
/// The name that is used in counters and log lines.
const char* nameOf(Violation violation);

/// The state of an instance according to the endpoint list.
struct InstanceFacts {
  bool listed = false;
  bool isPrefill = false;                 ///< attempts at a prefill instance have no effect
  std::optional<double> drainingSinceMs;  ///< when first listed as draining or removed
};

/// One attempt of a request, as needed by the rules and for the log.
struct AttemptHistory {
  std::string instance;
  bool isPrefill = false;
  double sentMs = 0;
  bool inFlight = true;
  const char* outcome = "out";
  bool mayHaveRun = true;  ///< false once its outcome proves that it never ran
};

/// What the core knows of a request.
struct RequestFacts {
  routing::Effect effect = routing::Effect::kIdempotent;
  bool deduplicatedEverywhere = false;  ///< every instance recognises a repeat of this request
  double dedupWindowMs = 0;             ///< of a deduplicated class
  bool answered =
      false;  ///< the final answer was given, or the client is known to have disconnected
  bool streaming = false;
  double deadlineMs = 0;
  std::vector<AttemptHistory> attempts;

  /// Whether it may have run, so that a request with the same id must neither run nor be rejected.
  bool mayNotRunAgain() const {
    return effect != routing::Effect::kIdempotent && mayHaveRun() != nullptr;
  }
  /// The first attempt with an effect that may have run.
  const AttemptHistory* mayHaveRun() const;
  /// Whether an attempt is in flight.
  bool anyInFlight() const;
};

/// The rules, with the limits of the settings.
class RequestPermits {
 public:
  /// Has to be called before any other function, and again when the settings change.
  void configure(double drainGraceMs, bool hedgedRequests);

  /// Whether an attempt or a reservation may be sent to an instance.
  Permit toInstance(const InstanceFacts* instance, double nowMs) const;
  /// Whether an attempt may be sent for the request. Repeats are allowed until retryWindowEndMs.
  /// clientPresent() checks the client's connection and is called only if nothing else forbids the
  /// attempt.
  template <typename ClientPresent>
  Permit attempt(const RequestFacts& request,
                 const InstanceFacts* instance,
                 double retryWindowEndMs,
                 double nowMs,
                 const ClientPresent& clientPresent) const {
    const Permit instancePermit = toInstance(instance, nowMs);
    if (instancePermit != Permit::kAllowed)
      return instancePermit;
    if (nowMs >= retryWindowEndMs)
      return Permit::kRetryWindowOver;
    if (request.answered)
      return Permit::kAnswered;
    if (request.streaming)
      return Permit::kStreaming;
    if (nowMs >= request.deadlineMs)
      return Permit::kDeadlineOver;
    return clientPresent() ? Permit::kAllowed : Permit::kClientGone;
  }

  /// The rules that the start of a new attempt violates. The request's history must not contain the
  /// attempt yet.
  std::vector<Violation> checkAttempt(const RequestFacts& request) const;
  /// The rules that an attempt violates whose last byte was written at nowMs.
  std::vector<Violation> checkWritten(const RequestFacts& request,
                                      const InstanceFacts* instance,
                                      double nowMs) const;
  /// The rules that a rejection violates, as it states that the request has not run.
  std::vector<Violation> checkRejection(const RequestFacts& request) const;

 private:
  double drainGraceMs_ = 0;
  bool hedgedRequests_ = false;
};

/// A request's attempts in one line, for the log.
std::string historyOf(const RequestFacts& request, double nowMs);

}  // namespace inference_router::core
