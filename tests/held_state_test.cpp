// The units that decide what has to be renewed and released, against a model of instances that lose
// and delay prefills, calls for reservations and answers.
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

constexpr double kWithinMs = 300;
constexpr double kLimitMs = 650;  // of the protocol: 300 of the settings, 300 more, and 50
constexpr double kStepMs = 5;
constexpr double kCalledOffMs = 2'500;  // by the module, which releases what is held
constexpr double kUnknownMs = 300;

// A prefill and the reservation that was asked along with it, as they fare on the network.
struct Course {
  bool prefillArrives = true;
  double prefillMs = 100;  // that it takes
  bool prefillAnswerLost = false;
  bool grantsWithoutPrefill = false;  // a decode instance takes the prefill's bytes for the prefill
  double wayMs = 1;                   // of each message
  std::set<int> lostCalls, lostAnswers;  // calls for the reservation, from 0
};

// What the two instances hold, and since when no attempt covers it.
class Instances {
 public:
  explicit Instances(const Course& course) : course_(course) {}

  bool prefillRuns(double nowMs) const {
    return course_.prefillArrives && nowMs < course_.prefillMs;
  }
  bool prefillAnswered(double nowMs) const {
    return course_.prefillArrives && !course_.prefillAnswerLost &&
           nowMs >= course_.prefillMs + course_.wayMs;
  }
  Answer reserve(double nowMs) {
    reserved_ = true;
    sinceMs_ = nowMs;
    const bool known = prefillRuns(nowMs) || (course_.grantsWithoutPrefill &&
                                              (!course_.prefillArrives || prefillRuns(nowMs)));
    return known ? Answer::kGranted : Answer::kUnknown;
  }
  void release() { reserved_ = stateHeld_ = false; }
  void pass(double nowMs) {
    if (course_.prefillArrives && !ended_ && nowMs >= course_.prefillMs) {
      ended_ = stateHeld_ = true;
      sinceMs_ = nowMs;
    }
    const bool uncovered = (reserved_ || stateHeld_) && !prefillRuns(nowMs);
    if (uncovered)
      longestMs_ = std::max(longestMs_, nowMs - sinceMs_);
  }
  double longestMs() const { return longestMs_; }

 private:
  const Course& course_;
  bool reserved_ = false, stateHeld_ = false, ended_ = false;
  double sinceMs_ = 0, longestMs_ = 0;
};

// For how long anything is held at most while no attempt is out, where a router follows the
// lease.
template <typename Lease>
double longestHeldMs(const Course& course) {
  // A call on its way to the instance, or the answer to it.
  struct Message {
    bool underWay = false, isAnswer = false;
    double atMs = 0;
    Answer answer = Answer::kNone;
  };
  Instances instances(course);
  Lease lease(kWithinMs);
  int calls = 0;
  Message message;
  double releaseMs = HUGE_VAL;
  const auto ask = [&](double nowMs) {
    lease.requested(nowMs);
    message = {.underWay = course.lostCalls.count(calls++) == 0, .atMs = nowMs + course.wayMs};
  };
  ask(0);
  for (double now = 0; now < kCalledOffMs && !instances.prefillAnswered(now); now += kStepMs) {
    instances.pass(now);
    if (now >= releaseMs) {
      releaseMs = HUGE_VAL;
      instances.release();
    }
    if (message.underWay && now >= message.atMs) {
      message.underWay = !message.isAnswer && course.lostAnswers.count(calls - 1) == 0;
      if (message.isAnswer) {
        lease.answered(message.answer);
      } else {
        message.isAnswer = true;
        message.answer = instances.reserve(now);
        message.atMs = now + course.wayMs + (message.answer == Answer::kUnknown ? kUnknownMs : 0);
      }
    }
    const Step step = lease.due(now);
    if (step == Step::kRelease) {
      lease.releasing(now);
      releaseMs = now + course.wayMs;
    } else if (step == Step::kRenew) {
      lease.renewing();
      ask(now);
    }
  }
  return instances.longestMs();
}

// Takes a grant for a proof that the prefill is out, as the program did before the lease.
class TrustingLease : public ReservationLease {
 public:
  using ReservationLease::ReservationLease;
  Step due(double nowMs) const {
    const Step step = ReservationLease::due(nowMs);
    return step == Step::kRenew ? Step::kNone : step;
  }
};

std::set<int> drawNumbers() {
  const auto drawn = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  return {drawn.begin(), drawn.end()};
}

Course drawCourse() {
  Course course;
  course.prefillArrives = *rc::gen::arbitrary<bool>();
  course.prefillMs = *rc::gen::inRange(0, 2'000);
  course.prefillAnswerLost = *rc::gen::arbitrary<bool>();
  course.grantsWithoutPrefill = *rc::gen::arbitrary<bool>();
  course.wayMs = *rc::gen::inRange(0, 30);
  course.lostCalls = drawNumbers();
  course.lostAnswers = drawNumbers();
  return course;
}

RC_GTEST_PROP(ReservationLease, HoldsNothingTooLongWhateverIsLost, ()) {
  RC_ASSERT(longestHeldMs<ReservationLease>(drawCourse()) <= kLimitMs);
}

// Guards the property above: a model in which the program of before broke no rule would show
// nothing.
TEST(ReservationLease, ThatIsNeverRenewedBreaksTheRule) {
  Course unread;
  unread.prefillArrives = false;
  unread.grantsWithoutPrefill = true;
  EXPECT_GT(longestHeldMs<TrustingLease>(unread), kLimitMs);
  EXPECT_LE(longestHeldMs<ReservationLease>(unread), kLimitMs);
  Course unanswered;
  unanswered.prefillAnswerLost = true;
  EXPECT_GT(longestHeldMs<TrustingLease>(unanswered), kLimitMs);
  EXPECT_LE(longestHeldMs<ReservationLease>(unanswered), kLimitMs);
}

TEST(ReservationLease, OfAShortPrefillIsAskedForOnce) {
  ReservationLease lease(kWithinMs);
  lease.requested(0);
  lease.answered(Answer::kGranted);
  EXPECT_EQ(lease.due(400), Step::kNone);
  lease.prefillEnded();
  EXPECT_TRUE(lease.over());
  EXPECT_EQ(lease.due(10'000), Step::kNone);
}

TEST(ReservationLease, ThatIsRefusedAtOnceNeedsNoRelease) {
  ReservationLease lease(kWithinMs);
  lease.requested(0);
  lease.answered(Answer::kRefused);
  EXPECT_TRUE(lease.over());
  EXPECT_EQ(lease.due(10'000), Step::kNone);
}

// The instance may have given the old reservation up for the new one, or not.
TEST(ReservationLease, WhoseRenewalIsRefusedIsReleased) {
  ReservationLease lease(kWithinMs);
  lease.requested(0);
  lease.answered(Answer::kGranted);
  ASSERT_EQ(lease.due(*lease.nextMs()), Step::kRenew);
  lease.renewing();
  lease.requested(*lease.nextMs());
  lease.answered(Answer::kRefused);
  EXPECT_EQ(lease.due(0), Step::kRelease);
}

TEST(ReservationLease, ThatIsGrantedLateCoversThePrefillAgain) {
  ReservationLease lease(kWithinMs);
  lease.requested(0);
  ASSERT_EQ(lease.due(kWithinMs), Step::kRelease);
  lease.releasing(kWithinMs);
  EXPECT_EQ(lease.coversUntilMs(), 0);
  lease.answered(Answer::kGranted);
  EXPECT_GT(lease.coversUntilMs(), kWithinMs);
}

// ---- Releases owed to one instance
// -------------------------------------------------------------------

const routing::InstanceId kInstance{"s-1"};

routing::RequestId requestOf(int number) {
  return {"r-" + std::to_string(number)};
}

TEST(OwedReleases, WaitAtASilentInstanceOneAtATime) {
  OwedReleases owed(kWithinMs / 2);
  for (int i = 0; i < 5; ++i)
    owed.owe(kInstance, requestOf(i), 0);
  const auto first = owed.due(0);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_TRUE(owed.due(1'000).empty());
  owed.failed(first.front(), 1'000);
  EXPECT_TRUE(owed.due(1'000).empty());
  EXPECT_EQ(owed.due(1'000 + OwedReleases::kRetryDelayMs).size(), 1U);
}

// An instance that goes on may read the release before the call that it is owed for.
TEST(OwedReleases, AreAcceptedTwiceSomeTimeApart) {
  OwedReleases owed(kWithinMs / 2);
  owed.owe(kInstance, requestOf(1), 0);
  owed.owe(kInstance, requestOf(2), 0);
  const auto waited = owed.due(0);
  owed.accepted(waited.front(), 100);
  const auto other = owed.due(100);
  ASSERT_EQ(other.size(), 1U);
  EXPECT_NE(other.front().request, waited.front().request);
  owed.accepted(other.front(), 110);
  EXPECT_TRUE(owed.due(240).empty());
  const auto again = owed.due(260);
  ASSERT_EQ(again.size(), 2U);
  for (const auto& release : again)
    owed.accepted(release, 261);
  EXPECT_EQ(owed.size(), 0U);
  EXPECT_FALSE(owed.nextMs());
}

TEST(OwedReleases, AreForgottenWithTheirInstanceAndAfterATime) {
  OwedReleases owed(kWithinMs / 2);
  owed.owe(kInstance, requestOf(1), 0);
  owed.forget(kInstance);
  EXPECT_EQ(owed.size(), 0U);
  owed.owe(kInstance, requestOf(2), 0);
  EXPECT_TRUE(owed.due(OwedReleases::kMaxAgeMs + 1).empty());
  EXPECT_EQ(owed.size(), 0U);
}

// Whatever answers and failures come: the table is bounded, an instance gets a bounded number of
// calls at a time, and once it answers nothing stays owed.
RC_GTEST_PROP(OwedReleases, AreBoundedAndEnd, ()) {
  OwedReleases owed(kWithinMs / 2);
  std::vector<OwedReleases::Release> out;
  double now = 0;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
  for (const int step : steps) {
    now += 60;
    if (step == 0)
      owed.owe({"s-" + std::to_string(*rc::gen::inRange(0, 3))},
               requestOf(*rc::gen::inRange(0, 2'000)), now);
    for (auto& release : owed.due(now))
      out.push_back(std::move(release));
    if (!out.empty() && step == 1)
      owed.accepted(out.back(), now);
    if (!out.empty() && step == 2)
      owed.failed(out.back(), now);
    if (!out.empty() && (step == 1 || step == 2))
      out.pop_back();
    RC_ASSERT(owed.size() <= OwedReleases::kMaxOwed);
  }
  for (int rounds = 0; owed.size() > 0 && rounds < 20'000; ++rounds) {
    now += 60;
    for (auto& release : owed.due(now))
      out.push_back(std::move(release));
    for (const auto& release : std::exchange(out, {}))
      owed.accepted(release, now);
  }
  RC_ASSERT(owed.size() == 0U);
}

}  // namespace
}  // namespace inference_router::upstream
