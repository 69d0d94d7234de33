// ReservationLease and OwedReleases against a model in which prefills, reservation requests and
// answers are lost or delayed.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>
#include <vector>

#include "upstream/owed_releases.h"
#include "upstream/reservation_lease.h"

namespace inference_router::upstream {
namespace {

using Answer = ReservationLease::Answer;
using Step = ReservationLease::Step;

constexpr double kReleaseLimitMs = 300;
// The protocol's limit: the release limit of the settings, 300 ms more, and 50 ms of tolerance.
constexpr double kMaxHeldMs = 650;
constexpr double kStepMs = 5;
constexpr double kCancelledMs = 2'500;  // when the decision module cancels and releases everything
constexpr double kUnknownAnswerDelayMs = 300;

// What happens on the network to a prefill and to the reservation that is requested with it.
struct Scenario {
  bool prefillArrives = true;
  double prefillMs = 100;  // duration
  bool prefillAnswerLost = false;
  // The decode instance also grants a reservation if the prefill never arrives.
  bool grantsWithoutPrefill = false;
  double latencyMs = 1;                  // of each message
  std::set<int> lostCalls, lostAnswers;  // indices of reservation requests
};

// What the two instances hold, and for how long without an attempt in flight.
class Instances {
 public:
  explicit Instances(const Scenario& scenario) : scenario_(scenario) {}

  bool prefillRuns(double nowMs) const {
    return scenario_.prefillArrives && nowMs < scenario_.prefillMs;
  }
  bool prefillAnswered(double nowMs) const {
    return scenario_.prefillArrives && !scenario_.prefillAnswerLost &&
           nowMs >= scenario_.prefillMs + scenario_.latencyMs;
  }
  Answer reserve(double nowMs) {
    reserved_ = true;
    heldSinceMs_ = nowMs;
    const bool known = prefillRuns(nowMs) || (scenario_.grantsWithoutPrefill &&
                                              (!scenario_.prefillArrives || prefillRuns(nowMs)));
    return known ? Answer::kGranted : Answer::kUnknown;
  }
  void release() { reserved_ = kvCacheHeld_ = false; }
  void advance(double nowMs) {
    if (scenario_.prefillArrives && !prefillEnded_ && nowMs >= scenario_.prefillMs) {
      prefillEnded_ = kvCacheHeld_ = true;
      heldSinceMs_ = nowMs;
    }
    const bool withoutAttempt = (reserved_ || kvCacheHeld_) && !prefillRuns(nowMs);
    if (withoutAttempt)
      maxHeldMs_ = std::max(maxHeldMs_, nowMs - heldSinceMs_);
  }
  double maxHeldMs() const { return maxHeldMs_; }

 private:
  const Scenario& scenario_;
  bool reserved_ = false, kvCacheHeld_ = false, prefillEnded_ = false;
  double heldSinceMs_ = 0, maxHeldMs_ = 0;
};

// The longest time for which anything is held without an attempt in flight, if the router follows
// the lease.
template <typename Lease>
double simulateMaxHeldMs(const Scenario& scenario) {
  // A reservation request in flight to the instance, or the answer to it.
  struct Message {
    bool inFlight = false, isAnswer = false;
    double atMs = 0;
    Answer answer = Answer::kNone;
  };
  Instances instances(scenario);
  Lease lease(kReleaseLimitMs);
  int calls = 0;
  Message message;
  double releaseMs = HUGE_VAL;
  const auto requestReservation = [&](double nowMs) {
    lease.requested(nowMs);
    message = {.inFlight = scenario.lostCalls.count(calls++) == 0,
               .atMs = nowMs + scenario.latencyMs};
  };
  requestReservation(0);
  for (double nowMs = 0; nowMs < kCancelledMs && !instances.prefillAnswered(nowMs);
       nowMs += kStepMs) {
    instances.advance(nowMs);
    if (nowMs >= releaseMs) {
      releaseMs = HUGE_VAL;
      instances.release();
    }
    if (message.inFlight && nowMs >= message.atMs) {
      message.inFlight = !message.isAnswer && scenario.lostAnswers.count(calls - 1) == 0;
      if (message.isAnswer) {
        lease.answered(message.answer);
      } else {
        message.isAnswer = true;
        message.answer = instances.reserve(nowMs);
        message.atMs = nowMs + scenario.latencyMs +
                       (message.answer == Answer::kUnknown ? kUnknownAnswerDelayMs : 0);
      }
    }
    const Step step = lease.due(nowMs);
    if (step == Step::kRelease) {
      lease.releasing(nowMs);
      releaseMs = nowMs + scenario.latencyMs;
    } else if (step == Step::kRenew) {
      lease.renewing();
      requestReservation(nowMs);
    }
  }
  return instances.maxHeldMs();
}

// Treats a grant as a proof that the prefill is running, and so never renews it.
class NeverRenewedLease : public ReservationLease {
 public:
  using ReservationLease::ReservationLease;
  Step due(double nowMs) const {
    const Step step = ReservationLease::due(nowMs);
    return step == Step::kRenew ? Step::kNone : step;
  }
};

std::set<int> drawIndices() {
  const auto drawn = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  return {drawn.begin(), drawn.end()};
}

Scenario drawScenario() {
  Scenario scenario;
  scenario.prefillArrives = *rc::gen::arbitrary<bool>();
  scenario.prefillMs = *rc::gen::inRange(0, 2'000);
  scenario.prefillAnswerLost = *rc::gen::arbitrary<bool>();
  scenario.grantsWithoutPrefill = *rc::gen::arbitrary<bool>();
  scenario.latencyMs = *rc::gen::inRange(0, 30);
  scenario.lostCalls = drawIndices();
  scenario.lostAnswers = drawIndices();
  return scenario;
}

RC_GTEST_PROP(ReservationLease, NothingIsHeldTooLongWhateverIsLost, ()) {
  RC_ASSERT(simulateMaxHeldMs<ReservationLease>(drawScenario()) <= kMaxHeldMs);
}

// Checks that the model of the property above detects the fault: without renewals, state is held
// too long.
TEST(ReservationLease, WithoutRenewalStateIsHeldTooLong) {
  Scenario lostPrefill;
  lostPrefill.prefillArrives = false;
  lostPrefill.grantsWithoutPrefill = true;
  EXPECT_GT(simulateMaxHeldMs<NeverRenewedLease>(lostPrefill), kMaxHeldMs);
  EXPECT_LE(simulateMaxHeldMs<ReservationLease>(lostPrefill), kMaxHeldMs);
  Scenario lostAnswer;
  lostAnswer.prefillAnswerLost = true;
  EXPECT_GT(simulateMaxHeldMs<NeverRenewedLease>(lostAnswer), kMaxHeldMs);
  EXPECT_LE(simulateMaxHeldMs<ReservationLease>(lostAnswer), kMaxHeldMs);
}

TEST(ReservationLease, IsNotRenewedForShortPrefill) {
  ReservationLease lease(kReleaseLimitMs);
  lease.requested(0);
  lease.answered(Answer::kGranted);
  EXPECT_EQ(lease.due(400), Step::kNone);
  lease.prefillEnded();
  EXPECT_TRUE(lease.over());
  EXPECT_EQ(lease.due(10'000), Step::kNone);
}

TEST(ReservationLease, NeedsNoReleaseIfRefusedAtOnce) {
  ReservationLease lease(kReleaseLimitMs);
  lease.requested(0);
  lease.answered(Answer::kRefused);
  EXPECT_TRUE(lease.over());
  EXPECT_EQ(lease.due(10'000), Step::kNone);
}

// When an instance refuses a renewal, it may or may not have dropped the old reservation.
TEST(ReservationLease, IsReleasedIfRenewalIsRefused) {
  ReservationLease lease(kReleaseLimitMs);
  lease.requested(0);
  lease.answered(Answer::kGranted);
  ASSERT_EQ(lease.due(*lease.nextMs()), Step::kRenew);
  lease.renewing();
  lease.requested(*lease.nextMs());
  lease.answered(Answer::kRefused);
  EXPECT_EQ(lease.due(0), Step::kRelease);
}

TEST(ReservationLease, CoversPrefillAgainAfterLateGrant) {
  ReservationLease lease(kReleaseLimitMs);
  lease.requested(0);
  ASSERT_EQ(lease.due(kReleaseLimitMs), Step::kRelease);
  lease.releasing(kReleaseLimitMs);
  EXPECT_EQ(lease.coversUntilMs(), 0);
  lease.answered(Answer::kGranted);
  EXPECT_GT(lease.coversUntilMs(), kReleaseLimitMs);
}

// ---- Releases owed to one instance

const routing::InstanceId kInstance{"s-1"};

routing::RequestId requestOf(int number) {
  return {"r-" + std::to_string(number)};
}

TEST(OwedReleases, AreSentOneAtATimeToSilentInstance) {
  OwedReleases owed(kReleaseLimitMs / 2);
  for (int i = 0; i < 5; ++i)
    owed.owe(kInstance, requestOf(i), 0);
  const auto first = owed.due(0);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_TRUE(owed.due(1'000).empty());
  owed.failed(first.front(), 1'000);
  EXPECT_TRUE(owed.due(1'000).empty());
  EXPECT_EQ(owed.due(1'000 + OwedReleases::kRetryDelayMs).size(), 1U);
}

// An instance that resumes may read the release before the call for which the release is owed.
TEST(OwedReleases, EndAfterTwoAcceptancesSomeTimeApart) {
  OwedReleases owed(kReleaseLimitMs / 2);
  owed.owe(kInstance, requestOf(1), 0);
  owed.owe(kInstance, requestOf(2), 0);
  const auto first = owed.due(0);
  owed.accepted(first.front(), 100);
  const auto second = owed.due(100);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second.front().request, first.front().request);
  owed.accepted(second.front(), 110);
  EXPECT_TRUE(owed.due(240).empty());
  const auto repeated = owed.due(260);
  ASSERT_EQ(repeated.size(), 2U);
  for (const auto& release : repeated)
    owed.accepted(release, 261);
  EXPECT_EQ(owed.size(), 0U);
  EXPECT_FALSE(owed.nextMs());
}

TEST(OwedReleases, AreDroppedWithTheirInstanceAndAtMaxAge) {
  OwedReleases owed(kReleaseLimitMs / 2);
  owed.owe(kInstance, requestOf(1), 0);
  owed.forget(kInstance);
  EXPECT_EQ(owed.size(), 0U);
  owed.owe(kInstance, requestOf(2), 0);
  EXPECT_TRUE(owed.due(OwedReleases::kMaxAgeMs + 1).empty());
  EXPECT_EQ(owed.size(), 0U);
}

// Under any sequence of acceptances and failures the table is bounded, and once the instances
// answer nothing stays owed.
RC_GTEST_PROP(OwedReleases, AreBoundedAndEndOnceInstancesAnswer, ()) {
  OwedReleases owed(kReleaseLimitMs / 2);
  std::vector<OwedReleases::Release> inFlight;
  double nowMs = 0;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
  for (const int step : steps) {
    nowMs += 60;
    if (step == 0)
      owed.owe({"s-" + std::to_string(*rc::gen::inRange(0, 3))},
               requestOf(*rc::gen::inRange(0, 2'000)), nowMs);
    for (auto& release : owed.due(nowMs))
      inFlight.push_back(std::move(release));
    if (!inFlight.empty() && step == 1)
      owed.accepted(inFlight.back(), nowMs);
    if (!inFlight.empty() && step == 2)
      owed.failed(inFlight.back(), nowMs);
    if (!inFlight.empty() && (step == 1 || step == 2))
      inFlight.pop_back();
    RC_ASSERT(owed.size() <= OwedReleases::kMaxOwed);
  }
  for (int round = 0; owed.size() > 0 && round < 20'000; ++round) {
    nowMs += 60;
    for (auto& release : owed.due(nowMs))
      inFlight.push_back(std::move(release));
    for (const auto& release : std::exchange(inFlight, {}))
      owed.accepted(release, nowMs);
  }
  RC_ASSERT(owed.size() == 0U);
}

}  // namespace
}  // namespace inference_router::upstream
