// The permits for attempts with their reasons, and the checks of the protocol's rules.
#include "core/request_permits.h"

#include <gtest/gtest.h>

namespace inference_router::core {
namespace {

using routing::Effect;

constexpr double kNowMs = 10'000, kGraceMs = 1'000;

// One request and one instance, for which every permit is given.
struct PermitCase {
  PermitCase() {
    permits.configure(kGraceMs, /*hedgedRequests=*/false);
    request.deadlineMs = kNowMs + 1'000;
    instance.listed = true;
  }
  Permit attempt() const {
    return permits.attempt(request, &instance, retryWindowEndMs, kNowMs,
                           [this] { return clientPresent; });
  }
  AttemptHistory& addEarlierAttempt(bool mayHaveRun, bool inFlight = false) {
    request.attempts.push_back({.instance = "i",
                                .sentMs = kNowMs - 100,
                                .inFlight = inFlight,
                                .outcome = "reset",
                                .mayHaveRun = mayHaveRun});
    return request.attempts.back();
  }
  RequestPermits permits;
  RequestFacts request;
  InstanceFacts instance;
  double retryWindowEndMs = kNowMs + 1;
  bool clientPresent = true;
};

TEST(RequestPermits, EachReasonAloneForbidsAnAttempt) {
  EXPECT_EQ(PermitCase().attempt(), Permit::kAllowed);
  PermitCase unlisted;
  unlisted.instance.listed = false;
  EXPECT_EQ(unlisted.attempt(), Permit::kUnknownInstance);
  PermitCase drained;
  drained.instance.drainingSinceMs = kNowMs - kGraceMs;
  EXPECT_EQ(drained.attempt(), Permit::kDrained);
  drained.instance.drainingSinceMs = kNowMs - kGraceMs / 2;
  EXPECT_EQ(drained.attempt(), Permit::kAllowed);
  PermitCase windowOver;
  windowOver.retryWindowEndMs = kNowMs;
  EXPECT_EQ(windowOver.attempt(), Permit::kRetryWindowOver);
  PermitCase answered;
  answered.request.answered = true;
  EXPECT_EQ(answered.attempt(), Permit::kAnswered);
  PermitCase streaming;
  streaming.request.streaming = true;
  EXPECT_EQ(streaming.attempt(), Permit::kStreaming);
  PermitCase pastDeadline;
  pastDeadline.request.deadlineMs = kNowMs;
  EXPECT_EQ(pastDeadline.attempt(), Permit::kDeadlineOver);
  PermitCase disconnected;
  disconnected.clientPresent = false;
  EXPECT_EQ(disconnected.attempt(), Permit::kClientGone);
}

TEST(RequestPermits, DetectsRepeatOrRejectionAfterRequestMayHaveRun) {
  for (const Effect effect : {Effect::kIdempotent, Effect::kDeduplicated, Effect::kAtMostOnce}) {
    SCOPED_TRACE(static_cast<int>(effect));
    for (const bool mayHaveRun : {false, true}) {
      PermitCase repeat;
      repeat.request.effect = effect;
      repeat.request.dedupWindowMs = 50;
      repeat.addEarlierAttempt(mayHaveRun);
      EXPECT_EQ(repeat.permits.checkAttempt(repeat.request).empty(),
                !(mayHaveRun && effect == Effect::kAtMostOnce));
      EXPECT_EQ(repeat.permits.checkRejection(repeat.request).empty(),
                !(mayHaveRun && effect != Effect::kIdempotent));
      EXPECT_EQ(repeat.permits.checkWritten(repeat.request, &repeat.instance, kNowMs).empty(),
                !(mayHaveRun && effect == Effect::kDeduplicated));
    }
  }
  PermitCase prefill;
  prefill.request.effect = Effect::kAtMostOnce;
  prefill.addEarlierAttempt(true).isPrefill = true;
  EXPECT_TRUE(prefill.permits.checkAttempt(prefill.request).empty());
}

TEST(RequestPermits, DetectsHedgeDrainedInstanceAndPassedDeadline) {
  PermitCase hedged;
  hedged.addEarlierAttempt(false, /*inFlight=*/true);
  EXPECT_EQ(hedged.permits.checkAttempt(hedged.request), std::vector{Violation::kUnexpectedHedge});
  hedged.request.effect = Effect::kAtMostOnce;
  EXPECT_EQ(hedged.permits.checkRejection(hedged.request),
            std::vector{Violation::kRejectedDuringAttempt});
  PermitCase pastDeadline;
  pastDeadline.request.deadlineMs = kNowMs - 1;
  EXPECT_EQ(pastDeadline.permits.checkWritten(pastDeadline.request, &pastDeadline.instance, kNowMs),
            std::vector{Violation::kSentAfterDeadline});
  PermitCase drained;
  drained.instance.drainingSinceMs = kNowMs - kGraceMs - 1;
  EXPECT_EQ(drained.permits.checkWritten(drained.request, &drained.instance, kNowMs),
            std::vector{Violation::kSentToDrained});
  EXPECT_EQ(drained.permits.checkWritten(drained.request, nullptr, kNowMs),
            std::vector{Violation::kSentToDrained});
}

}  // namespace
}  // namespace inference_router::core
