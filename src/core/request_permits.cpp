#include "core/request_permits.h"

#include <algorithm>

namespace inference_router::core {

using routing::Effect;

namespace {

// A drain is kept with this share of its grace to spare: connecting and a busy core take time.
constexpr double kDrainShare = 0.8;

}  // namespace

const char* nameOf(Permit permit) {
  switch (permit) {
    case Permit::kAllowed:
      return "allowed";
    case Permit::kUnknownInstance:
      return "unknown_instance";
    case Permit::kDrained:
      return "drained";
    case Permit::kRepeatOver:
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
    case Violation::kSecondCopy:
      return "second_copy";
    case Violation::kRefusedAfterEffect:
      return "refused_after_effect";
    case Violation::kRefusedWithAttempt:
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
  const auto it = std::find_if(attempts.begin(), attempts.end(), [](const AttemptHistory& attempt) {
    return !attempt.reads && attempt.mayHaveRun;
  });
  return it == attempts.end() ? nullptr : &*it;
}

bool RequestFacts::anyOut() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const AttemptHistory& attempt) { return attempt.out; });
}

void RequestPermits::configure(double drainGraceMs, bool hedgedRequests) {
  drainGraceMs_ = drainGraceMs;
  secondCopies_ = hedgedRequests;
}

Permit RequestPermits::toInstance(const InstanceFacts* instance, double nowMs) const {
  if (instance == nullptr || !instance->listed)
    return Permit::kUnknownInstance;
  const bool kept =
      !instance->toldOffMs || nowMs - *instance->toldOffMs < drainGraceMs_ * kDrainShare;
  return kept ? Permit::kAllowed : Permit::kDrained;
}

std::vector<Violation> RequestPermits::checkAttempt(const RequestFacts& request) const {
  std::vector<Violation> found;
  if (request.effect == Effect::kAtMostOnce && request.mayHaveRun() != nullptr)
    found.push_back(Violation::kRepeatedEffect);
  if (!secondCopies_ && request.anyOut())
    found.push_back(Violation::kSecondCopy);
  return found;
}

std::vector<Violation> RequestPermits::checkWritten(const RequestFacts& request,
                                                    const InstanceFacts* instance,
                                                    double nowMs) const {
  std::vector<Violation> found;
  if (nowMs >= request.deadlineMs)
    found.push_back(Violation::kSentAfterDeadline);
  const bool drained =
      instance == nullptr || (instance->toldOffMs && nowMs - *instance->toldOffMs > drainGraceMs_);
  if (drained)
    found.push_back(Violation::kSentToDrained);
  const AttemptHistory* first = request.mayHaveRun();
  if (request.effect == Effect::kDeduplicated && first != nullptr &&
      nowMs > first->sentMs + request.repeatWindowMs)
    found.push_back(Violation::kRepeatedEffect);
  return found;
}

std::vector<Violation> RequestPermits::checkRefusal(const RequestFacts& request) const {
  std::vector<Violation> found;
  const bool repeatsFreely = request.effect == Effect::kIdempotent || request.repeatsFindFirst;
  if (!repeatsFreely && request.mayHaveRun() != nullptr)
    found.push_back(Violation::kRefusedAfterEffect);
  if (!repeatsFreely && request.anyOut())
    found.push_back(Violation::kRefusedWithAttempt);
  return found;
}

std::string historyOf(const RequestFacts& request, double nowMs) {
  std::string text;
  for (const AttemptHistory& attempt : request.attempts)
    text += (text.empty() ? "" : ", ") + attempt.instance + (attempt.reads ? " (prefill) " : " ") +
            attempt.outcome + " " + std::to_string(static_cast<long>(nowMs - attempt.sentMs)) +
            " ms ago";
  return text.empty() ? "no attempt" : text;
}

}  // namespace inference_router::core
