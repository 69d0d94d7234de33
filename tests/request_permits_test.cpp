// What may happen for a request and why not, and the rules that are checked as it happens.
#include "core/request_permits.h"

#include <gtest/gtest.h>

namespace inference_router::core {
namespace {

using routing::Effect;

constexpr double kNow = 10'000, kGraceMs = 1'000;

struct Case {
  Case() {
    permits.configure(kGraceMs, /*hedgedRequests=*/false);
    request.deadlineMs = kNow + 1'000;
    instance.listed = true;
  }
  Permit attempt() const {
    return permits.attempt(request, &instance, retryWindowEndMs, kNow,
                           [this] { return clientPresent; });
  }
  AttemptHistory& earlier(bool mayHaveRun, bool inFlight = false) {
    request.attempts.push_back({.instance = "i",
                                .sentMs = kNow - 100,
                                .inFlight = inFlight,
                                .outcome = "reset",
                                .mayHaveRun = mayHaveRun});
    return request.attempts.back();
  }
  RequestPermits permits;
  RequestFacts request;
  InstanceFacts instance;
  double retryWindowEndMs = kNow + 1;
  bool clientPresent = true;
};

TEST(Permits, EachReasonForbidsAnAttemptByItself) {
  EXPECT_EQ(Case().attempt(), Permit::kAllowed);
  Case one;
  one.instance.listed = false;
  EXPECT_EQ(one.attempt(), Permit::kUnknownInstance);
  Case drained;
  drained.instance.drainingSinceMs = kNow - kGraceMs;
  EXPECT_EQ(drained.attempt(), Permit::kDrained);
  drained.instance.drainingSinceMs = kNow - kGraceMs / 2;
  EXPECT_EQ(drained.attempt(), Permit::kAllowed);
  Case late;
  late.retryWindowEndMs = kNow;
  EXPECT_EQ(late.attempt(), Permit::kRetryWindowOver);
  Case answered;
  answered.request.answered = true;
  EXPECT_EQ(answered.attempt(), Permit::kAnswered);
  Case streaming;
  streaming.request.streaming = true;
  EXPECT_EQ(streaming.attempt(), Permit::kStreaming);
  Case over;
  over.request.deadlineMs = kNow;
  EXPECT_EQ(over.attempt(), Permit::kDeadlineOver);
  Case gone;
  gone.clientPresent = false;
  EXPECT_EQ(gone.attempt(), Permit::kClientGone);
}

TEST(Invariants, AnEffectIsNotRepeatedOrRejectedWhereItMayHaveRun) {
  for (const Effect effect : {Effect::kIdempotent, Effect::kDeduplicated, Effect::kAtMostOnce}) {
    SCOPED_TRACE(static_cast<int>(effect));
    for (const bool mayHaveRun : {false, true}) {
      Case one;
      one.request.effect = effect;
      one.request.dedupWindowMs = 50;
      one.earlier(mayHaveRun);
      EXPECT_EQ(one.permits.checkAttempt(one.request).empty(),
                !(mayHaveRun && effect == Effect::kAtMostOnce));
      EXPECT_EQ(one.permits.checkRejection(one.request).empty(),
                !(mayHaveRun && effect != Effect::kIdempotent));
      EXPECT_EQ(one.permits.checkWritten(one.request, &one.instance, kNow).empty(),
                !(mayHaveRun && effect == Effect::kDeduplicated));
    }
  }
  Case prefill;
  prefill.request.effect = Effect::kAtMostOnce;
  prefill.earlier(true).isPrefill = true;
  EXPECT_TRUE(prefill.permits.checkAttempt(prefill.request).empty());
}

TEST(Invariants, AHedgeADrainAndADeadlineAreDetected) {
  Case one;
  one.earlier(false, /*inFlight=*/true);
  EXPECT_EQ(one.permits.checkAttempt(one.request), std::vector{Violation::kUnexpectedHedge});
  one.request.effect = Effect::kAtMostOnce;
  EXPECT_EQ(one.permits.checkRejection(one.request),
            std::vector{Violation::kRejectedDuringAttempt});
  Case late;
  late.request.deadlineMs = kNow - 1;
  EXPECT_EQ(late.permits.checkWritten(late.request, &late.instance, kNow),
            std::vector{Violation::kSentAfterDeadline});
  Case drained;
  drained.instance.drainingSinceMs = kNow - kGraceMs - 1;
  EXPECT_EQ(drained.permits.checkWritten(drained.request, &drained.instance, kNow),
            std::vector{Violation::kSentToDrained});
  EXPECT_EQ(drained.permits.checkWritten(drained.request, nullptr, kNow),
            std::vector{Violation::kSentToDrained});
}

}  // namespace
}  // namespace inference_router::core
