/// Decides what may happen now for a request, by the facts that the core has, each answer with its
/// reason; and checks what does happen against the rules of the protocol. All sends, reservations
/// and final answers of the core pass here. No I/O.
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
  kUnknownInstance,  ///< the list does not name it
  kDrained,          ///< the list told so long ago that it drains or is gone
  kRepeatOver,       ///< the window in which this request may be repeated has passed
  kClientGone,
  kDeadlineOver,
  kAnswered,  ///< its final answer is given
  kStreaming,
};
const char* nameOf(Permit permit);

/// A rule of the protocol that something broke although it was let through: a fault of this
/// program.
enum class Violation {
  kRepeatedEffect,      ///< an attempt, though an earlier one may have run and its class forbids a
                        ///< repeat
  kSecondCopy,          ///< an attempt, though another one is out and no second copies are allowed
  kRefusedAfterEffect,  ///< a refusal, though an attempt may have run and its class forbids a
                        ///< repeat
  kRefusedWithAttempt,  ///< a refusal, though an attempt is out
  kSentAfterDeadline,
  kSentToDrained,
  kCount,
};
const char* nameOf(Violation violation);

/// What the core knows of an instance.
struct InstanceFacts {
  bool listed = false;
  bool reads = false;               ///< a prefill instance: what is tried there has no effect
  std::optional<double> toldOffMs;  ///< when the list said that it drains or is gone
};

/// One attempt of a request, for its rules and for the log.
struct AttemptHistory {
  std::string instance;
  bool reads = false;
  double sentMs = 0;
  bool out = true;
  const char* outcome = "out";
  bool mayHaveRun = true;  ///< no outcome has proved that it never ran
};

/// What the core knows of a request.
struct RequestFacts {
  routing::Effect effect = routing::Effect::kIdempotent;
  bool repeatsFindFirst =
      false;  ///< wherever a repeat of a keyed class goes, the first one is known there
  double repeatWindowMs = 0;  ///< of a keyed class
  bool answered = false;      ///< its final answer is given, or its client is known to have gone
  bool streaming = false;
  double deadlineMs = 0;
  std::vector<AttemptHistory> attempts;

  /// The first attempt with an effect that may have run.
  const AttemptHistory* mayHaveRun() const;
  bool anyOut() const;
};

class RequestPermits {
 public:
  void configure(double drainGraceMs, bool hedgedRequests);

  /// Whether an attempt or a reservation may go to an instance.
  Permit toInstance(const InstanceFacts* instance, double nowMs) const;
  /// Whether an attempt may go out for the request: beforeMs ends the time for repeats. Whether its
  /// client is there is asked of its connection, and only if nothing else forbids the attempt.
  template <typename ClientPresent>
  Permit attempt(const RequestFacts& request,
                 const InstanceFacts* instance,
                 double beforeMs,
                 double nowMs,
                 const ClientPresent& clientPresent) const {
    if (const Permit there = toInstance(instance, nowMs); there != Permit::kAllowed)
      return there;
    if (nowMs >= beforeMs)
      return Permit::kRepeatOver;
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
  /// The rules that a refusal breaks, which says that the request has not run.
  std::vector<Violation> checkRefusal(const RequestFacts& request) const;

 private:
  double drainGraceMs_ = 0;
  bool secondCopies_ = false;
};

/// A request's attempts in one line, for the log.
std::string historyOf(const RequestFacts& request, double nowMs);

}  // namespace inference_router::core
