// The ages, the lifecycle and the drains of instances, and the backoff of the watch on discovery.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "fleet/discovery_backoff.h"
#include "fleet/drains.h"
#include "fleet/instance_ages.h"
#include "fleet/lifecycle.h"

namespace inference_router::fleet {
namespace {

// ---- InstanceAges -------------------------------------------------------------------------------

// Discovery reports starts with some delay, by a clock with an arbitrary offset.
RC_GTEST_PROP(InstanceAges, NeverOverestimatesTheAge, ()) {
  core::ManualClock clock;
  InstanceAges ages(clock);
  const double offsetMs = *rc::gen::inRange(-4'000'000, 4'000'000) + 1e12;
  const int starts = *rc::gen::inRange(1, 20);
  for (int i = 0; i < starts; ++i) {
    clock.advance(*rc::gen::inRange(0, 30'000));
    if (*rc::gen::arbitrary<bool>())
      ages.onContact();
    const double startedMs = clock.nowMs() - *rc::gen::inRange(0, 6'000);
    ages.observeStart(startedMs + offsetMs);
    const auto estimate = ages.startTime(std::to_string(i % 5), startedMs + offsetMs);
    RC_ASSERT(estimate.has_value());
    RC_ASSERT(*estimate >= startedMs - 1e-3);
    RC_ASSERT(*estimate <= clock.nowMs());
  }
}

TEST(InstanceAges, AreExactOnceOneInstanceWasReportedAtItsStart) {
  core::ManualClock clock;
  InstanceAges ages(clock);
  const double offsetMs = 3'600'000;
  const double startedMs = clock.nowMs();
  ages.observeStart(startedMs + offsetMs);
  EXPECT_EQ(ages.startTime("at once", startedMs + offsetMs), startedMs);
  ages.onContact();
  clock.advance(5'000);
  ages.observeStart(startedMs + 2'000 + offsetMs);
  EXPECT_EQ(ages.startTime("late", startedMs + 2'000 + offsetMs), startedMs + 2'000);
  clock.advance(5'000);
  EXPECT_EQ(ages.startTime("late", startedMs + 2'000 + offsetMs), startedMs + 2'000)
      << "the same start time is reported again";
  EXPECT_EQ(ages.startTime("long ago", 0), std::nullopt);
}

// The clock of the machine from which discovery takes its times is set back.
TEST(InstanceAges, StartReportedBeforeTheLastContactIsReplacedByThatContact) {
  core::ManualClock clock;
  InstanceAges ages(clock);
  const double upSinceMs = 1e12;
  ages.observeStart(upSinceMs);
  ages.startTime("a", upSinceMs);
  ages.onContact();
  const double lastContactMs = clock.nowMs();
  clock.advance(2'000);
  ages.observeStart(upSinceMs - 3'600'000);
  EXPECT_EQ(ages.startTime("b", upSinceMs - 3'600'000), lastContactMs);
  EXPECT_EQ(ages.startTime("a", upSinceMs - 3'600'000), lastContactMs)
      << "a different start time means a restart";
}

// ---- DiscoveryBackoff ---------------------------------------------------------------------------

constexpr double kDrainGraceMs = 1'000;

// Calls of all nodes in each tenth of a second, if all are answered with an error from the same
// moment on.
std::map<int, int> callsPerTenthAfterErrors(int nodes, double durationMs) {
  std::map<int, int> calls;
  for (int node = 0; node < nodes; ++node) {
    DiscoveryBackoff backoff(nodes, kDrainGraceMs, static_cast<std::uint64_t>(node));
    for (double atMs = backoff.nextErrorDelayMs(); atMs < durationMs;
         atMs += backoff.nextErrorDelayMs())
      ++calls[static_cast<int>(atMs / 100)];
  }
  return calls;
}

// Guards against a fleet whose retries keep discovery overloaded: with a delay of a tenth of a
// second, a hundred nodes made 860 calls a second, and most of them got no list for the rest of a
// simulated day.
TEST(DiscoveryBackoff, LargeFleetRetriesRarelyAndSpreadOutAfterErrors) {
  for (const int nodes : {100, 300}) {
    int callsAfter20S = 0;
    for (const auto& [tenth, count] : callsPerTenthAfterErrors(nodes, 60'000)) {
      EXPECT_LE(count, 3 * nodes / 10)
          << nodes << " nodes, " << tenth << " tenths of a second after the loss";
      if (tenth >= 200)
        callsAfter20S += count;
    }
    // Calls a second over 40 s: as rare as the delivery limit of 6 s allows, and no rarer.
    EXPECT_LE(callsAfter20S / 40.0, nodes / 1.7);
    EXPECT_GE(callsAfter20S / 40.0, nodes / 2.0);
  }
}

// All watches are lost at one moment, and no call is answered. The fleet's calls are spread out,
// also by the time of discovery's return.
TEST(DiscoveryBackoff, CallsOfALargeFleetAreSpreadOutDuringAnOutage) {
  constexpr int kNodes = 300;
  std::map<int, int> calls;
  for (int node = 0; node < kNodes; ++node) {
    DiscoveryBackoff backoff(kNodes, kDrainGraceMs, static_cast<std::uint64_t>(node));
    for (double atMs = backoff.nextRetryDelayMs(); atMs < 10'000; atMs += backoff.nextGapMs())
      ++calls[static_cast<int>(atMs / 100)];
  }
  for (const auto& [tenth, count] : calls)
    EXPECT_LE(count, 4 * kNodes / 10) << tenth << " tenths of a second after the loss";
}

// No delay may reach the grace period of a drain, of which a router may be held up for 0.15 s,
// however long an outage lasts and whatever the calls come to, but for errors and calls that wait
// in a fleet of more than 15, and for long errors.
TEST(DiscoveryBackoff, NextCallBeginsWithinTheDrainGracePeriod) {
  for (const double drainGraceMs : {700.0, 1'000.0, 2'000.0})
    for (const int nodes : {1, 3, 15, 300, 900}) {
      DiscoveryBackoff backoff(nodes, drainGraceMs, 11), errors(nodes, drainGraceMs, 11);
      EXPECT_LE(backoff.maxGapMs(), drainGraceMs - 150);
      for (int i = 0; i < 1'000; ++i) {
        EXPECT_LE(backoff.nextGapMs(), backoff.maxGapMs());
        EXPECT_LE(backoff.nextRetryDelayMs(), backoff.maxGapMs());
        EXPECT_LE(backoff.nextGapBesideWaitingMs(), nodes <= 15 ? backoff.maxGapMs() : 1'800);
        const double errorDelayMs = errors.nextErrorDelayMs();
        EXPECT_LE(errorDelayMs + backoff.maxGapMs(),
                  DiscoveryBackoff::kDeliveryLimitMs - DiscoveryBackoff::kMarginMs);
        if (nodes <= 15 && i < DiscoveryBackoff::kDenseErrors) {
          EXPECT_LE(errorDelayMs, drainGraceMs - 150);
        }
      }
    }
}

// Guards against a small fleet that keeps an overloaded discovery down for good: 24 routers at a
// discovery that answers 15 calls a second, and refuses as many as come above that.
TEST(DiscoveryBackoff, FleetOfAnySizeLetsAnOverloadedDiscoveryRecover) {
  constexpr int kNodes = 24;
  constexpr double kFromMs = 25'000, kUntilMs = 55'000, kServedPerS = 15;
  const auto calls = callsPerTenthAfterErrors(kNodes, kUntilMs);
  int late = 0;
  for (const auto& [tenth, count] : calls)
    if (tenth >= kFromMs / 100)
      late += count;
  EXPECT_LE(late / ((kUntilMs - kFromMs) / 1'000), kServedPerS);
}

// Guards against a small fleet that keeps a discovery overloaded by calling all at once at its
// return.
TEST(DiscoveryBackoff, ErrorsAfterCallsWithoutAResponseSlowAnyFleetDown) {
  DiscoveryBackoff backoff(24, kDrainGraceMs, 11);
  for (int i = 0; i < 10; ++i)
    backoff.nextRetryDelayMs();
  double sumMs = 0;
  constexpr int kEarly = 5, kLate = 20;
  for (int i = 0; i < kEarly + kLate; ++i) {
    const double delayMs = backoff.nextErrorDelayMs();
    EXPECT_LE(delayMs, DiscoveryBackoff::kMaxErrorMeanMs * 1.5);
    if (i >= kEarly)
      sumMs += delayMs;
  }
  EXPECT_GE(sumMs / kLate, 1'200) << "calls of 24 routers come to over 20 a second";
}

TEST(DiscoveryBackoff, SettingsWithoutAGracePeriodDoNotMakeCallsWithoutEnd) {
  for (const double drainGraceMs : {0.0, 1.0, 1e9}) {
    DiscoveryBackoff backoff(3, drainGraceMs, 11);
    for (int i = 0; i < 100; ++i) {
      EXPECT_GE(backoff.nextGapMs(), 100);
      EXPECT_GE(backoff.nextRetryDelayMs(), 50);
      EXPECT_LE(backoff.nextGapMs() + DiscoveryBackoff::kWatchTimeoutMs,
                DiscoveryBackoff::kDeliveryLimitMs);
    }
  }
}

TEST(DiscoveryBackoff, SmallFleetRetriesSoonAndOften) {
  DiscoveryBackoff backoff(2, kDrainGraceMs, 7);
  EXPECT_LE(backoff.nextRetryDelayMs(), 150);
  for (int i = 0; i < 50; ++i)
    EXPECT_LE(backoff.nextRetryDelayMs(), backoff.maxGapMs());
  backoff.reset();
  EXPECT_LE(backoff.nextRetryDelayMs(), 150);
}

// ---- InstanceLifecycle --------------------------------------------------------------------------

InstanceFacts listed(bool warm = true) {
  InstanceFacts facts;
  facts.listed = true;
  facts.warm = warm;
  return facts;
}

TEST(InstanceLifecycle, PassesFromWarmingToDrainedAndReturnsWarming) {
  InstanceLifecycle lifecycle(/*cold=*/true, 0);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kWarming);
  reconcile(lifecycle, listed(), 10);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kActive);
  InstanceFacts facts = listed();
  facts.drainedBy = "maria";
  facts.openRequests = 2;
  reconcile(lifecycle, facts, 20);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kDraining);
  EXPECT_EQ(lifecycle.by(), "maria");
  EXPECT_EQ(lifecycle.sinceMs(), 20);
  facts.openRequests = 0;
  reconcile(lifecycle, facts, 30);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kDrained);
  reconcile(lifecycle, listed(/*warm=*/false), 40);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kWarming);
}

TEST(InstanceLifecycle, DrainOutlastsFailuresAndEndsWhenTheInstanceIsDelisted) {
  InstanceLifecycle lifecycle(true, 0);
  InstanceFacts facts = listed(false);
  facts.drainedBy = "list";
  facts.openRequests = 1;
  reconcile(lifecycle, facts, 5);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kDraining);
  facts.reachable = false;  // failures do not end a drain
  facts.ejected = true;
  reconcile(lifecycle, facts, 6);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kDraining);
  facts.listed = false;
  reconcile(lifecycle, facts, 7);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kRemoved);
  EXPECT_EQ(lifecycle.by(), "list");
  reconcile(lifecycle, listed(false), 8);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kWarming);
}

TEST(InstanceLifecycle, ReturnsToThePreviousStateAfterFailures) {
  InstanceLifecycle lifecycle(true, 0);
  InstanceFacts facts = listed(false);
  facts.ejected = true;
  reconcile(lifecycle, facts, 1);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kEjected);
  facts.reachable = false;
  reconcile(lifecycle, facts, 2);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kUnreachable);
  reconcile(lifecycle, listed(false), 3);
  EXPECT_EQ(lifecycle.state(), LifecycleState::kWarming);
}

TEST(InstanceLifecycle, RejectsInvalidEventsWithoutAChange) {
  InstanceLifecycle lifecycle(false, 0);
  for (const LifecycleEvent event :
       {LifecycleEvent::kListed, LifecycleEvent::kWarm, LifecycleEvent::kIdle,
        LifecycleEvent::kUndrained, LifecycleEvent::kReinstated, LifecycleEvent::kReconnected}) {
    const auto outcome = lifecycle.apply(event, 9);
    EXPECT_FALSE(outcome.applied);
    EXPECT_NE(outcome.message.find("active"), std::string::npos);
  }
  EXPECT_EQ(lifecycle.state(), LifecycleState::kActive);
  EXPECT_EQ(lifecycle.revision(), 1U);
  EXPECT_EQ(lifecycle.sinceMs(), 0);
}

// For any sequence of facts, the state is the one that they imply, and each change of it raises the
// revision.
TEST(InstanceLifecycle, MatchesTheFactsForAnySequence) {
  rc::check([](const std::vector<unsigned char>& steps) {
    InstanceLifecycle lifecycle(true, 0);
    double now = 0;
    for (const unsigned char step : steps) {
      now += 1;
      InstanceFacts facts;
      facts.listed = step % 8 != 0;
      facts.warm = (step & 1) != 0;
      facts.drainedBy = (step & 6) == 6 ? "maria" : "";
      facts.ejected = (step & 8) != 0;
      facts.reachable = (step & 48) != 48;
      facts.openRequests = step >> 6;
      const LifecycleState before = lifecycle.state();
      const std::uint64_t revision = lifecycle.revision();
      reconcile(lifecycle, facts, now);
      RC_ASSERT((lifecycle.state() == before) <= (lifecycle.revision() >= revision));
      if (lifecycle.state() != before)
        RC_ASSERT(lifecycle.revision() > revision);
      if (!facts.listed) {
        RC_ASSERT(lifecycle.state() == LifecycleState::kRemoved);
      } else if (!facts.drainedBy.empty()) {
        RC_ASSERT(lifecycle.state() == LifecycleState::kDraining ||
                  lifecycle.state() == LifecycleState::kDrained);
        if (facts.openRequests == 0)
          RC_ASSERT(lifecycle.state() == LifecycleState::kDrained);
      } else if (!facts.reachable) {
        RC_ASSERT(lifecycle.state() == LifecycleState::kUnreachable);
      } else if (facts.ejected) {
        RC_ASSERT(lifecycle.state() == LifecycleState::kEjected);
      } else {
        RC_ASSERT(lifecycle.state() == LifecycleState::kWarming ||
                  lifecycle.state() == LifecycleState::kActive);
      }
      const std::uint64_t after = lifecycle.revision();
      reconcile(lifecycle, facts, now + 0.5);  // the same facts again change nothing
      RC_ASSERT(lifecycle.revision() == after);
    }
  });
}

// ---- Drains -------------------------------------------------------------------------------------

Drains::Target instance(std::size_t others = 1) {
  return {true, others, "write", 3};
}

DrainCommand command(const std::string& id,
                     const std::string& sender,
                     bool drain,
                     std::uint64_t revision) {
  return {id, sender, "box-1", drain, revision, std::nullopt, false};
}

TEST(Drains, OneOfTwoConflictingCommandsSucceedsAndTheOtherGetsTheState) {
  Drains drains;
  ASSERT_EQ(drains.handle(command("1", "maria", true, 0), instance(), 10).code, DrainCode::kDone);
  // Both have seen revision 1.
  const auto first = drains.handle(command("2", "nikos", false, 1), instance(), 20);
  const auto second = drains.handle(command("2", "maria", true, 1), instance(), 21);
  EXPECT_EQ(first.code, DrainCode::kDone);
  EXPECT_EQ(second.code, DrainCode::kConflict);
  EXPECT_EQ(second.state.setBy, "nikos");
  EXPECT_FALSE(second.state.drained);
  EXPECT_EQ(drains.stateOf("box-1").revision, 2U);
}

TEST(Drains, RepeatedCommandGetsTheFirstResponse) {
  Drains drains;
  const auto first = drains.handle(command("1", "maria", true, 0), instance(), 10);
  drains.handle(command("1", "nikos", false, 1), instance(), 20);
  EXPECT_EQ(drains.handle(command("1", "maria", true, 0), instance(), 30), first);
  EXPECT_FALSE(drains.stateOf("box-1").drained);
}

TEST(Drains, LastInstanceOfARoleIsDrainedOnlyByForce) {
  Drains drains;
  const auto rejected = drains.handle(command("1", "maria", true, 0), instance(0), 10);
  EXPECT_EQ(rejected.code, DrainCode::kLastOfRole);
  EXPECT_NE(rejected.error.find("3 requests"), std::string::npos);
  DrainCommand forced = command("2", "maria", true, 0);
  forced.force = true;
  EXPECT_EQ(drains.handle(forced, instance(0), 11).code, DrainCode::kDone);
}

TEST(Drains, InvalidCommandsAreRejectedWithoutAChange) {
  Drains drains;
  DrainCommand pastDeadline = command("1", "maria", true, 0);
  pastDeadline.deadlineMs = 5;
  EXPECT_EQ(drains.handle(pastDeadline, instance(), 10).code, DrainCode::kBadCommand);
  DrainCommand undrainWithDeadline = command("2", "maria", false, 0);
  undrainWithDeadline.deadlineMs = 50;
  EXPECT_EQ(drains.handle(undrainWithDeadline, instance(), 10).code, DrainCode::kBadCommand);
  EXPECT_EQ(drains.handle(command("", "maria", true, 0), instance(), 10).code,
            DrainCode::kBadCommand);
  EXPECT_EQ(drains.handle(command("3", "maria", true, 0), {}, 10).code,
            DrainCode::kUnknownInstance);
  EXPECT_EQ(drains.handle(command("4", "maria", true, 7), instance(), 10).code,
            DrainCode::kConflict);
  EXPECT_EQ(drains.stateOf("box-1"), DrainState{});
}

TEST(Drains, MissedDeadlineIsOnlyReported) {
  Drains drains;
  DrainCommand timed = command("1", "maria", true, 0);
  timed.deadlineMs = 100;
  ASSERT_EQ(drains.handle(timed, instance(), 10).code, DrainCode::kDone);
  EXPECT_FALSE(drains.overdue("box-1", 2, 99));
  EXPECT_TRUE(drains.overdue("box-1", 2, 101));
  EXPECT_FALSE(drains.overdue("box-1", 0, 101));
}

// Two senders and three instances, in any interleaving: the state equals a map to which the
// executed commands are applied.
TEST(Drains, MatchesASimpleModelInAnyInterleaving) {
  rc::check([](const std::vector<std::tuple<unsigned char, unsigned char>>& steps) {
    Drains drains;
    std::map<std::string, std::pair<bool, std::uint64_t>> model;       // drained, revision
    std::map<std::string, std::map<std::string, std::uint64_t>> seen;  // by sender and instance
    std::map<std::string, std::pair<DrainCommand, DrainResponse>> responses;
    double now = 0;
    int ids = 0;
    for (const auto& [action, choice] : steps) {
      now += 1;
      const std::string sender = (action & 1) != 0 ? "maria" : "nikos";
      const std::string name = "box-" + std::to_string(choice % 3);
      if (action % 5 == 0) {  // this sender reads the state
        seen[sender][name] = drains.stateOf(name).revision;
        continue;
      }
      if (action % 7 == 0 && !responses.empty()) {  // a command is repeated
        const auto& [command, response] =
            std::next(responses.begin(), choice % responses.size())->second;
        RC_ASSERT(drains.handle(command, instance(), now) == response);
        continue;
      }
      const DrainCommand command{std::to_string(++ids), sender,       name, (action & 2) != 0,
                                 seen[sender][name],    std::nullopt, false};
      const DrainResponse response = drains.handle(command, instance(), now);
      auto& [drained, revision] = model[name];
      if (command.expectedRevision != revision) {
        RC_ASSERT(response.code == DrainCode::kConflict);
      } else {
        RC_ASSERT(response.code == DrainCode::kDone);
        if (drained != command.drain) {
          drained = command.drain;
          ++revision;
        }
      }
      RC_ASSERT(response.state.drained == drained);
      RC_ASSERT(response.state.revision == revision);
      RC_ASSERT(drains.stateOf(name).revision == revision);
      if (ids < 900)
        responses[sender + command.id] = {command, response};
    }
  });
}

}  // namespace
}  // namespace inference_router::fleet
