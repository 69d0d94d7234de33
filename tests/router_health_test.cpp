// Instances that drain, start, fail or fall silent.
#include <map>

#include "router_scenarios.h"

namespace inference_router::routing {
namespace {

void serveFrom(Fleet& fleet, const std::string& id, const std::string& prefillInstance) {
  const std::string decodeInstance =
      fleet.wait(2ms).end(id, prefillInstance, AttemptOutcome::kPrefilled, 2ms).sentTo();
  fleet.open(id, decodeInstance).end(id, decodeInstance, AttemptOutcome::kServed, 5ms, true);
}

// Sends requests until one goes to this instance, and serves the others; returns its id, empty if
// none does.
std::string arriveAt(Fleet& fleet, const std::string& stem, const std::string& instance) {
  for (int i = 0; i < 40; ++i) {
    const std::string id = numbered(stem.c_str(), i), at = fleet.arrive(id).sentTo();
    if (at == instance)
      return id;
    serveFrom(fleet, id, at);
  }
  return "";
}

TEST(Draining, ADrainingInstanceGetsNothingNew) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("r1", kPrefill), endpoint("w0", kDecode),
              endpoint("v0", kDecode)});
  fleet.list({withState(endpoint("r0", kPrefill), EndpointState::kDraining),
              withState(endpoint("w0", kDecode), EndpointState::kDraining)},
             EndpointListForm::kChanges);
  fleet.arrive("a");
  EXPECT_EQ(fleet.sentTo(), "r1");
  EXPECT_EQ(fleet.reservedAt(), "v0");
}

TEST(Draining, ACompleteListWithoutAnInstanceRemovesIt) {
  Fleet fleet;
  fleet.list(twoCells()).list({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(fleet.arrive(numbered("a", i)).sentTo(), "r0");
}

TEST(Draining, AReservationOnADrainingInstanceIsUsedEarlyInTheGrace) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)}).arrive("a");
  fleet.give(ReservationResult{{"a"}, 0, {"w0"}, true});
  fleet.list({withState(endpoint("w0", kDecode), EndpointState::kDraining)},
             EndpointListForm::kChanges);
  EXPECT_EQ(fleet.end("a", "r0", AttemptOutcome::kPrefilled).sentTo(), "w0");
}

TEST(Draining, AReservationOnADrainingInstanceIsLeftLateInTheGrace) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode), endpoint("v0", kDecode)});
  const std::string reserved = fleet.arrive("a").reservedAt();
  fleet.give(ReservationResult{{"a"}, 0, {reserved}, true});
  fleet.list({withState(endpoint(reserved, kDecode), EndpointState::kDraining)},
             EndpointListForm::kChanges);
  const std::string decodeInstance =
      fleet.wait(700ms).end("a", "r0", AttemptOutcome::kPrefilled).sentTo();
  EXPECT_NE(decodeInstance, reserved);
  EXPECT_NE(decodeInstance, "");
}

TEST(EndpointList, IsSubscribedToWhereItIsPolledAndAgainAfterAFailure) {
  Settings settings = plainSettings();
  settings.discovery = Discovery::kPoll;
  Fleet fleet(settings);
  EXPECT_TRUE(fleet.list(twoCells(), EndpointListForm::kCached).any<SubscribeEndpoints>());
  fleet.list({}, EndpointListForm::kFailed);
  EXPECT_TRUE(fleet.wait(3s).any<SubscribeEndpoints>());
}

TEST(EndpointList, AnEntryOfAnUnknownKindIsLeftOut) {
  Fleet fleet;
  fleet.list({endpoint("x0", 9)}).arrive("a", "", 200ms);
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
}

// A large fleet must neither leave a restarted instance idle nor send it a request from each node.
TEST(SlowStart, ManyNodesTogetherKeepTheBudgetOfAnInstance) {
  for (const int nodes : {2, 20, 200}) {
    Settings settings = plainSettings();
    settings.nodes = nodes;
    std::vector<Fleet> fleets;
    for (int n = 0; n < nodes; ++n)
      fleets.emplace_back(settings, 100 + n);
    for (Fleet& fleet : fleets) {
      fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
      for (int i = 0; i < 800 / nodes; ++i)
        fleet.wait(Duration(25'000) * nodes).serve(numbered("warm", i));
      fleet.list({slowStarting("v0", kDecode, fleet.now())}, EndpointListForm::kChanges);
    }
    int toNew = 0;
    for (int i = 0; i < 120; ++i) {  // three seconds, one window: 40 requests a second to all
      Fleet& fleet = fleets[static_cast<std::size_t>(i % nodes)];
      fleet.wait(Duration(25'000) * std::min(i < nodes ? i + 1 : nodes, nodes))
          .arrive(numbered("b", i));
      toNew += fleet.reservedAt() == "v0" ? 1 : 0;
    }
    EXPECT_GT(toNew, 1) << nodes << " nodes";
    EXPECT_LE(toNew, 60)
        << nodes << " nodes";  // half the decode instances' rate, times 3 at 0.3 of its capacity
  }
}

TEST(SlowStart, ANewDecodeInstanceGetsFewerReservationsThanItsWarmPeer) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
  for (int i = 0; i < 30; ++i)
    fleet.serve(numbered("warm", i));
  fleet.list({slowStarting("v0", kDecode, fleet.now())}, EndpointListForm::kChanges);
  int toNew = 0;
  for (int i = 0; i < 20; ++i) {
    fleet.arrive(numbered("b", i));
    toNew += fleet.reservedAt() == "v0" ? 1 : 0;
  }
  EXPECT_LE(toNew, 3);
}

// A node that has just started has seen little, not little a second: at an upgrade all are as young
// as that.
TEST(SlowStart, ANewNodeUsesANewInstanceAsMuchAsAnOldOne) {
  int used[2] = {};
  for (const int old : {0, 1}) {
    Fleet fleet;
    fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
    for (int i = 0; i < (old != 0 ? 400 : 12); ++i)
      fleet.serve(numbered("warm", i));  // 4 a second
    fleet.list({slowStarting("v0", kDecode, fleet.now())}, EndpointListForm::kChanges);
    for (int i = 0; i < 24; ++i) {
      fleet.wait(250ms).arrive(numbered("b", i));
      used[old] += fleet.reservedAt() == "v0" ? 1 : 0;
    }
  }
  EXPECT_GE(used[0], used[1] - 2);
  EXPECT_GT(used[1], 4);
}

TEST(OutlierDetection, EjectsAnInstanceThatFailsFast) {
  Fleet fleet;
  fleet.list(twoCells());
  const std::string affinityInstance = fleet.arrive("x", "p").sentTo();
  fleet.end("x", affinityInstance, AttemptOutcome::kError);
  for (int i = 0; i < 6; ++i) {
    fleet.arrive(numbered("a", i), "p");
    if (fleet.sentTo() == affinityInstance)
      fleet.end(numbered("a", i), affinityInstance, AttemptOutcome::kError);
  }
  EXPECT_NE(fleet.arrive("last", "p").sentTo(), affinityInstance);
}

TEST(OutlierDetection, TriesAnUnreachableInstanceAgainAfterItsBackoff) {
  Fleet fleet;
  fleet.list(twoCells());
  const std::string affinityInstance = fleet.arrive("x", "p").sentTo();
  fleet.end("x", affinityInstance, AttemptOutcome::kConnectFailed);
  EXPECT_NE(fleet.arrive("soon", "p").sentTo(), affinityInstance);
  fleet.wait(50ms).end("soon", cellOf(affinityInstance) == '0' ? "r1" : "r0",
                       AttemptOutcome::kPrefilled);
  EXPECT_EQ(fleet.wait(1200ms).arrive("later", "p").sentTo(), affinityInstance);
}

// Instances that fail fast get most of the requests: they must not become the measure of failure.
TEST(OutlierDetection, EjectsBothOfTwoOfThreeInstancesThatMostlyFail) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("r1", kPrefill), endpoint("r2", kPrefill),
              endpoint("w0", kDecode)});
  for (int i = 0; i < 30; ++i)
    fleet.serve(numbered("warm", i), numbered("p", i));
  std::map<std::string, int> attempts;
  int failed = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = numbered("a", i);
    std::string at = fleet.arrive(id, numbered("p", i % 30)).sentTo();
    while (!at.empty() && at != "r2" && ++attempts[at] % 4 != 0) {
      ++failed;
      at = fleet.end(id, at, AttemptOutcome::kError, 1ms).sentTo();
    }
    if (at.empty())
      continue;
    const std::string decodeInstance =
        fleet.wait(5ms).end(id, at, AttemptOutcome::kPrefilled, 5ms).sentTo();
    fleet.open(id, decodeInstance).end(id, decodeInstance, AttemptOutcome::kServed, 10ms, true);
  }
  EXPECT_LE(failed, 12);
}

TEST(OutlierDetection, ReinstatesAnInstanceThatFailedSomeAfterSeveralTrials) {
  Fleet fleet;
  fleet.list(twoCells());
  for (std::string id; !(id = arriveAt(fleet, "f" + id, "r0")).empty();)
    serveFrom(fleet, id, fleet.end(id, "r0", AttemptOutcome::kError, 1ms).sentTo());
  ASSERT_EQ(arriveAt(fleet, "out", "r0"), "");
  fleet.wait(1100ms);
  for (int i = 0; i < 3; ++i) {
    const std::string trial = arriveAt(fleet, numbered("t", i), "r0");
    ASSERT_NE(trial, "");
    EXPECT_EQ(arriveAt(fleet, numbered("b", i), "r0"), "");  // one at a time
    serveFrom(fleet, trial, "r0");
  }
  ASSERT_NE(arriveAt(fleet, "again", "r0"), "");
  EXPECT_NE(arriveAt(fleet, "beside", "r0"), "");
}

TEST(OutlierDetection, DoesNotEjectForOneBrokenConnection) {
  Fleet fleet;
  fleet.list(twoCells());
  fleet.end(arriveAt(fleet, "x", "r0"), "r0", AttemptOutcome::kConnectionLost, 1ms);
  EXPECT_NE(arriveAt(fleet, "next", "r0"), "");
}

// A moment without connections fails whatever is out at once: one failure, not one for each that
// doubles the backoff again.
TEST(OutlierDetection, ConnectsThatFailTogetherEjectForOneBackoff) {
  Settings settings = plainSettings();
  settings.limits.maxAttempts = 2;
  Fleet fleet(settings);
  fleet.list({endpoint("r", kPrefill), endpoint("w", kDecode)});
  const std::vector<std::string> ids{"a", "b", "c", "d"};
  for (const std::string& id : ids)
    EXPECT_EQ(fleet.arrive(id).wait(5ms).end(id, "r", AttemptOutcome::kPrefilled).sentTo(), "w");
  fleet.wait(250ms);
  for (const std::string& id : ids)
    EXPECT_TRUE(fleet.end(id, "w", AttemptOutcome::kConnectFailed).any<RejectRequest>());
  EXPECT_FALSE(fleet.wait(900ms)
                   .arrive("next")
                   .wait(5ms)
                   .end("next", "r", AttemptOutcome::kPrefilled)
                   .any<DispatchAttempt>());
  EXPECT_EQ(fleet.wait(200ms).sentTo(), "w")
      << "the pause of a second is over, and was not doubled";
}

// The instance answers the rest, so it is never silent.
TEST(Stragglers, APrefillThatOthersOvertakeIsCancelledAndRetriedElsewhere) {
  Fleet fleet;
  fleet.list(twoCells());
  const std::string lost = arriveAt(fleet, "s", "r0");
  bool cancelled = false;
  for (int i = 0; i < 5 && !cancelled; ++i) {
    const std::string later = arriveAt(fleet, numbered("a", i), "r0");
    ASSERT_NE(later, "");
    fleet.wait(50ms).end(later, "r0", AttemptOutcome::kPrefilled, 2ms);
    for (const CancelAttempt& cancel : fleet.all<CancelAttempt>())
      cancelled |= cancel.request.value == lost;
  }
  ASSERT_TRUE(cancelled);
  fleet.end(lost, "r0", AttemptOutcome::kCancelled, 250ms);
  EXPECT_EQ(fleet.sentTo(), "r1");
}

TEST(Stragglers, AttemptsAtASilentInstanceAreCancelledAndRetriedElsewhere) {
  Fleet fleet;
  fleet.list(twoCells());
  for (int i = 0; i < 4; ++i)
    fleet.serve(numbered("warm", i));
  const std::string silent = fleet.arrive("x").sentTo();
  fleet.wait(700ms);
  ASSERT_TRUE(fleet.any<CancelAttempt>());
  fleet.end("x", silent, AttemptOutcome::kCancelled);
  EXPECT_NE(fleet.sentTo(), "");
  EXPECT_NE(fleet.sentTo(), silent);
}

}  // namespace
}  // namespace inference_router::routing
