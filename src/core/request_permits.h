/// Decides what may happen now for a request, by the facts that the core has, each answer with its
/// reason; and checks what does happen against the rules of the protocol. All attempts,
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

/// Whether something may happen now, or why not.
enum class Permit {
  kAllowed,
  kUnknownInstance,  ///< the endpoint list does not name it
  kDrained,          ///< its drain grace has almost passed
  kRetryWindowOver,  ///< the window in which this request may be repeated has passed
  kClientGone,
  kDeadlineOver,
  kAnswered,  ///< its final answer is given
  kStreaming,
};
/// The name that counters carry.
const char* nameOf(Permit permit);

/// A rule of the protocol that was broken although the permits allowed it: a fault of this program.
enum class Violation {
  kRepeatedEffect,         ///< an attempt, though an earlier one may have run and its class
                           ///< forbids a repeat
  kUnexpectedHedge,        ///< an attempt, though another one is in flight and hedged requests are
                           ///< not allowed
  kRejectedAfterEffect,    ///< a rejection, though an attempt may have run and its class forbids a
                           ///< repeat
  kRejectedDuringAttempt,  ///< a rejection, though an attempt is in flight
  kSentAfterDeadline,
  kSentToDrained,
  kCount,
};
/// The name that counters and log lines carry.
const char* nameOf(Violation violation);

/// What the endpoint list last said of an instance.
struct InstanceFacts {
  bool listed = false;
  bool isPrefill = false;                 ///< attempts there have no effect
  std::optional<double> drainingSinceMs;  ///< when the list first said that it drains or is removed
};

/// One attempt of a request, for its rules and for the log.
struct AttemptHistory {
  std::string instance;
  bool isPrefill = false;
  double sentMs = 0;
  bool inFlight = true;
  const char* outcome = "out";
  bool mayHaveRun = true;  ///< no outcome has proved that it never ran
};

/// What the core knows of a request.
struct RequestFacts {
  routing::Effect effect = routing::Effect::kIdempotent;
  bool deduplicatedEverywhere = false;  ///< every instance recognises a repeat of this request
  double dedupWindowMs = 0;             ///< of a deduplicated class
  bool answered =
      false;  ///< its final answer is given, or its client is known to have disconnected
  bool streaming = false;
  double deadlineMs = 0;
  std::vector<AttemptHistory> attempts;

  /// The first attempt with an effect that may have run.
  const AttemptHistory* mayHaveRun() const;
  /// Whether an attempt is in flight.
  bool anyInFlight() const;
};

/// The rules, under the site's settings.
class RequestPermits {
 public:
  /// To be called before all else, and again with later settings.
  void configure(double drainGraceMs, bool hedgedRequests);

  /// Whether an attempt or a reservation may go to an instance.
  Permit toInstance(const InstanceFacts* instance, double nowMs) const;
  /// Whether an attempt may go out for the request: retryWindowEndMs ends the time for
  /// repeats. Whether its
  /// client is there is asked of its connection, and only if nothing else forbids the attempt.
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

  /// The rules that an attempt breaks which begins now; the request's history does not hold it yet.
  std::vector<Violation> checkAttempt(const RequestFacts& request) const;
  /// The rules that an attempt breaks whose last byte has gone out now.
  std::vector<Violation> checkWritten(const RequestFacts& request,
                                      const InstanceFacts* instance,
                                      double nowMs) const;
  /// The rules that a rejection breaks, which says that the request has not run.
  std::vector<Violation> checkRejection(const RequestFacts& request) const;

 private:
  double drainGraceMs_ = 0;
  bool hedgedRequests_ = false;
};

/// A request's attempts in one line, for the log.
std::string historyOf(const RequestFacts& request, double nowMs);

}  // namespace inference_router::core
