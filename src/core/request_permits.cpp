#include "core/request_permits.h"

#include <algorithm>

namespace inference_router::core {

using routing::Effect;

namespace {

// The share of the drain grace period in which attempts may begin. The rest covers the time between
// the permit and the last byte: connecting, and delays on a busy core.
constexpr double kUsableDrainGraceShare = 0.8;

}  // namespace

const char* nameOf(Permit permit) {
  switch (permit) {
    case Permit::kAllowed:
      return "allowed";
    case Permit::kUnknownInstance:
      return "unknown_instance";
    case Permit::kDrained:
      return "drained";
    case Permit::kRetryWindowOver:
      return "repeat_over";
    case Permit::kClientGone:
      return "client_gone";
    case Permit::kDeadlineOver:
      return "deadline_over";
    case Permit::kAnswered:
      return "answered";
    case Permit::kStreaming:
      return "streaming";
  }
  return "unknown";
}

const char* nameOf(Violation violation) {
  switch (violation) {
    case Violation::kRepeatedEffect:
      return "repeated_effect";
    case Violation::kUnexpectedHedge:
      return "second_copy";
    case Violation::kRejectedAfterEffect:
      return "refused_after_effect";
    case Violation::kRejectedDuringAttempt:
      return "refused_with_attempt";
    case Violation::kSentAfterDeadline:
      return "sent_after_deadline";
    case Violation::kSentToDrained:
      return "sent_to_drained";
    case Violation::kCount:
      break;
  }
  return "unknown";
}

const AttemptHistory* RequestFacts::mayHaveRun() const {
  const auto hasEffect = [](const AttemptHistory& attempt) {
    return !attempt.isPrefill && attempt.mayHaveRun;
  };
  const auto first = std::find_if(attempts.begin(), attempts.end(), hasEffect);
  return first == attempts.end() ? nullptr : &*first;
}

bool RequestFacts::anyInFlight() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const AttemptHistory& attempt) { return attempt.inFlight; });
}

void RequestPermits::configure(double drainGraceMs, bool hedgedRequests) {
  drainGraceMs_ = drainGraceMs;
  hedgedRequests_ = hedgedRequests;
}

Permit RequestPermits::toInstance(const InstanceFacts* instance, double nowMs) const {
  if (instance == nullptr || !instance->listed)
    return Permit::kUnknownInstance;
  if (!instance->drainingSinceMs)
    return Permit::kAllowed;
  const double drainingForMs = nowMs - *instance->drainingSinceMs;
  return drainingForMs < drainGraceMs_ * kUsableDrainGraceShare ? Permit::kAllowed
                                                                : Permit::kDrained;
}

std::vector<Violation> RequestPermits::checkAttempt(const RequestFacts& request) const {
  std::vector<Violation> found;
  if (request.effect == Effect::kAtMostOnce && request.mayHaveRun() != nullptr)
    found.push_back(Violation::kRepeatedEffect);
  if (!hedgedRequests_ && request.anyInFlight())
    found.push_back(Violation::kUnexpectedHedge);
  return found;
}

std::vector<Violation> RequestPermits::checkWritten(const RequestFacts& request,
                                                    const InstanceFacts* instance,
                                                    double nowMs) const {
  std::vector<Violation> found;
  if (nowMs >= request.deadlineMs)
    found.push_back(Violation::kSentAfterDeadline);
  const bool drained = instance == nullptr || (instance->drainingSinceMs &&
                                               nowMs - *instance->drainingSinceMs > drainGraceMs_);
  if (drained)
    found.push_back(Violation::kSentToDrained);
  const AttemptHistory* first = request.mayHaveRun();
  if (request.effect == Effect::kDeduplicated && first != nullptr &&
      nowMs > first->sentMs + request.dedupWindowMs)
    found.push_back(Violation::kRepeatedEffect);
  return found;
}

std::vector<Violation> RequestPermits::checkRejection(const RequestFacts& request) const {
  std::vector<Violation> found;
  const bool repeatable = request.effect == Effect::kIdempotent || request.deduplicatedEverywhere;
  if (!repeatable && request.mayHaveRun() != nullptr)
    found.push_back(Violation::kRejectedAfterEffect);
  if (!repeatable && request.anyInFlight())
    found.push_back(Violation::kRejectedDuringAttempt);
  return found;
}

std::string historyOf(const RequestFacts& request, double nowMs) {
  std::string text;
  for (const AttemptHistory& attempt : request.attempts)
    text += (text.empty() ? "" : ", ") + attempt.instance +
            (attempt.isPrefill ? " (prefill) " : " ") + attempt.outcome + " " +
            std::to_string(static_cast<long>(nowMs - attempt.sentMs)) + " ms ago";
  return text.empty() ? "no attempt" : text;
}

}  // namespace inference_router::core
