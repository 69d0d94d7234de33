// Tests with instances that drain, start, fail or stop responding.
#include <map>
#include <numeric>

#include "router_scenarios.h"

namespace inference_router::routing {
namespace {

void serveFrom(RouterHarness& router, const std::string& id, const std::string& prefillInstance) {
  const std::string decodeInstance =
      router.advance(2ms).endAttempt(id, prefillInstance, AttemptOutcome::kPrefilled, 2ms).sentTo();
  router.openStream(id, decodeInstance)
      .endAttempt(id, decodeInstance, AttemptOutcome::kServed, 5ms, true);
}

// Sends requests until one goes to the instance, and serves the others. Returns its id, or an empty
// string if none does.
std::string arriveAt(RouterHarness& router, const std::string& stem, const std::string& instance) {
  for (int i = 0; i < 40; ++i) {
    const std::string id = numbered(stem.c_str(), i), at = router.arrive(id).sentTo();
    if (at == instance)
      return id;
    serveFrom(router, id, at);
  }
  return "";
}

TEST(Draining, DrainingInstanceGetsNoNewRequests) {
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill), endpoint("r1", kPrefill),
                          endpoint("w0", kDecode), endpoint("v0", kDecode)});
  router.updateEndpoints({withState(endpoint("r0", kPrefill), EndpointState::kDraining),
                          withState(endpoint("w0", kDecode), EndpointState::kDraining)},
                         EndpointListForm::kChanges);
  router.arrive("a");
  EXPECT_EQ(router.sentTo(), "r1");
  EXPECT_EQ(router.reservedAt(), "v0");
}

TEST(Draining, CompleteListWithoutAnInstanceRemovesIt) {
  RouterHarness router;
  router.updateEndpoints(twoCells())
      .updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(router.arrive(numbered("a", i)).sentTo(), "r0");
}

TEST(Draining, ReservationAtADrainingInstanceIsUsedEarlyInTheGracePeriod) {
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)}).arrive("a");
  router.handle(ReservationResult{{"a"}, 0, {"w0"}, true});
  router.updateEndpoints({withState(endpoint("w0", kDecode), EndpointState::kDraining)},
                         EndpointListForm::kChanges);
  EXPECT_EQ(router.endAttempt("a", "r0", AttemptOutcome::kPrefilled).sentTo(), "w0");
}

TEST(Draining, ReservationAtADrainingInstanceIsNotUsedLateInTheGracePeriod) {
  RouterHarness router;
  router.updateEndpoints(
      {endpoint("r0", kPrefill), endpoint("w0", kDecode), endpoint("v0", kDecode)});
  const std::string reserved = router.arrive("a").reservedAt();
  router.handle(ReservationResult{{"a"}, 0, {reserved}, true});
  router.updateEndpoints({withState(endpoint(reserved, kDecode), EndpointState::kDraining)},
                         EndpointListForm::kChanges);
  const std::string decodeInstance =
      router.advance(700ms).endAttempt("a", "r0", AttemptOutcome::kPrefilled).sentTo();
  EXPECT_NE(decodeInstance, reserved);
  EXPECT_NE(decodeInstance, "");
}

// Guards against sends to an instance whose drain was reported late, after discovery was lost.
TEST(Draining, ReservationIsNotUsedIfTheDrainMayHaveBegunBeforeItWasReported) {
  RouterHarness router;
  router.updateEndpoints(
      {endpoint("r0", kPrefill), endpoint("w0", kDecode), endpoint("v0", kDecode)});
  const std::string reserved = router.arrive("a").reservedAt();
  router.handle(ReservationResult{{"a"}, 0, {reserved}, true});
  const Time lost = router.now();
  router.advance(700ms).handle(
      EndpointListUpdate{2,
                         EndpointListForm::kChanges,
                         {withState(endpoint(reserved, kDecode), EndpointState::kDraining)},
                         lost});
  const std::string decodeInstance =
      router.endAttempt("a", "r0", AttemptOutcome::kPrefilled).sentTo();
  EXPECT_NE(decodeInstance, reserved);
  EXPECT_NE(decodeInstance, "");
}

TEST(EndpointList, IsRequestedWhenPolledAndAgainAfterAFailure) {
  Settings settings = plainSettings();
  settings.discovery = Discovery::kPoll;
  RouterHarness router(settings);
  EXPECT_TRUE(router.updateEndpoints(twoCells(), EndpointListForm::kCached)
                  .hasAction<SubscribeEndpoints>());
  router.updateEndpoints({}, EndpointListForm::kFailed);
  EXPECT_TRUE(router.advance(3s).hasAction<SubscribeEndpoints>());
}

TEST(EndpointList, EntryOfAnUnknownKindIsIgnored) {
  RouterHarness router;
  router.updateEndpoints({endpoint("x0", 9)}).arrive("a", "", 200ms);
  EXPECT_FALSE(router.hasAction<DispatchAttempt>());
}

// With many nodes, a restarted instance must neither stay idle nor get a request from every node.
TEST(SlowStart, ManyNodesTogetherStayWithinTheBudgetOfAnInstance) {
  for (const int nodes : {2, 20, 200}) {
    Settings settings = plainSettings();
    settings.nodes = nodes;
    std::vector<RouterHarness> routers;
    for (int n = 0; n < nodes; ++n)
      routers.emplace_back(settings, 100 + n);
    for (RouterHarness& router : routers) {
      router.updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
      for (int i = 0; i < 800 / nodes; ++i)
        router.advance(Duration(25'000) * nodes).serve(numbered("warm", i));
      router.updateEndpoints({slowStarting("v0", kDecode, router.now())},
                             EndpointListForm::kChanges);
    }
    int sentToNew = 0;
    for (int i = 0; i < 120; ++i) {  // three seconds, one window: 40 requests a second to all
      RouterHarness& router = routers[static_cast<std::size_t>(i % nodes)];
      router.advance(Duration(25'000) * std::min(i < nodes ? i + 1 : nodes, nodes))
          .arrive(numbered("b", i));
      sentToNew += router.reservedAt() == "v0" ? 1 : 0;
    }
    EXPECT_GT(sentToNew, 1) << nodes << " nodes";
    EXPECT_LE(sentToNew, 60)
        << nodes << " nodes";  // half the decode instances' rate, times 3 at 0.3 of its capacity
  }
}

std::vector<std::string> logOf(const RouterHarness& router) {
  std::vector<std::string> texts;
  for (const LogMessage& message : router.actionsOf<LogMessage>())
    texts.push_back(message.text);
  return texts;
}

// Guards against an overload whose logs do not tell what was sent to the instance, and by which
// news.
TEST(SlowStart, IsLoggedWithItsNewsAndWhatWasSentAndDenied) {
  const std::string budget = ", budget here: 1.000000 requests per window";
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill), slowStarting("w0", kDecode, router.now())});
  EXPECT_EQ(logOf(router),
            std::vector<std::string>{"slow start of w0: started 0 ms ago, known by: first list" +
                                     budget});
  router.advance(1s).updateEndpoints({slowStarting("v0", kDecode, router.now())},
                                     EndpointListForm::kChanges);
  EXPECT_EQ(logOf(router), std::vector<std::string>{
                               "slow start of v0: started 0 ms ago, known by: added" + budget});
  router.advance(1s).updateEndpoints({slowStarting("v0", kDecode, router.now())},
                                     EndpointListForm::kChanges);
  EXPECT_EQ(logOf(router), std::vector<std::string>{
                               "slow start of v0: started 0 ms ago, known by: restarted" + budget});
  for (int i = 0; i < 40; ++i)
    router.advance(100ms).arrive(numbered("a", i));
  const SlowStartTotals totals = router.slowStartTotals();
  EXPECT_GT(totals.sent, 0U);
  EXPECT_GT(std::accumulate(totals.denied.begin(), totals.denied.end(), std::uint64_t{0}), 0U);
  const std::vector<std::string> logged = logOf(router.advance(60s));
  EXPECT_EQ(std::count_if(logged.begin(), logged.end(),
                          [](const std::string& text) {
                            return text.find(" over: sent ") != std::string::npos;
                          }),
            2);
}

// Guards against many nodes that send to an instance as to a warm one, as it has restarted and the
// news has not come yet.
TEST(SlowStart, InstanceThatCouldNotBeReachedIsLimitedUntilNewsOfARestartMustHaveCome) {
  constexpr int kNodes = 100;
  Settings settings = plainSettings();
  settings.nodes = kNodes;
  int sentSoon = 0, sentLater = 0;
  for (int n = 0; n < kNodes; ++n) {
    RouterHarness router(settings, 100 + static_cast<std::uint64_t>(n));
    router.updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
    for (int i = 0; i < 4; ++i)
      router.advance(15s).serve(numbered("warm", i));
    for (int i = 0; i < 2; ++i) {
      const std::string id = numbered("down", i);
      ASSERT_EQ(router.advance(1100ms).arrive(id).sentTo(), "r0");
      router.advance(10ms).endAttempt(id, "r0", AttemptOutcome::kConnectFailed);
    }
    router.advance(2100ms);
    if (router.arrive("soon").sentTo() == "r0") {
      ++sentSoon;
      continue;
    }
    const bool sentMeanwhile = router.advance(4s).sentTo() == "r0";
    sentLater += sentMeanwhile || router.arrive("later").sentTo() == "r0" ? 1 : 0;
  }
  EXPECT_LT(sentSoon, kNodes / 4);
  EXPECT_EQ(sentSoon + sentLater, kNodes);
}

TEST(SlowStart, NewDecodeInstanceGetsFewerReservationsThanItsWarmPeer) {
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
  for (int i = 0; i < 30; ++i)
    router.serve(numbered("warm", i));
  router.updateEndpoints({slowStarting("v0", kDecode, router.now())}, EndpointListForm::kChanges);
  int sentToNew = 0;
  for (int i = 0; i < 20; ++i) {
    router.arrive(numbered("b", i));
    sentToNew += router.reservedAt() == "v0" ? 1 : 0;
  }
  EXPECT_LE(sentToNew, 3);
}

// A recently started node has counted few requests, which must not be taken for a low rate: during
// an upgrade all nodes have recently started.
TEST(SlowStart, NewNodeUsesANewInstanceAsMuchAsAnOldNode) {
  int used[2] = {};
  for (const int old : {0, 1}) {
    RouterHarness router;
    router.updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
    for (int i = 0; i < (old != 0 ? 400 : 12); ++i)
      router.serve(numbered("warm", i));  // 4 a second
    router.updateEndpoints({slowStarting("v0", kDecode, router.now())}, EndpointListForm::kChanges);
    for (int i = 0; i < 24; ++i) {
      router.advance(250ms).arrive(numbered("b", i));
      used[old] += router.reservedAt() == "v0" ? 1 : 0;
    }
  }
  EXPECT_GE(used[0], used[1] - 2);
  EXPECT_GT(used[1], 4);
}

TEST(OutlierDetection, EjectsAnInstanceThatReturnsErrors) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  const std::string affinityInstance = router.arrive("x", "p").sentTo();
  router.endAttempt("x", affinityInstance, AttemptOutcome::kError);
  for (int i = 0; i < 6; ++i) {
    router.arrive(numbered("a", i), "p");
    if (router.sentTo() == affinityInstance)
      router.endAttempt(numbered("a", i), affinityInstance, AttemptOutcome::kError);
  }
  EXPECT_NE(router.arrive("last", "p").sentTo(), affinityInstance);
}

TEST(OutlierDetection, TriesAnUnreachableInstanceAgainAfterItsBackoff) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  const std::string affinityInstance = router.arrive("x", "p").sentTo();
  router.endAttempt("x", affinityInstance, AttemptOutcome::kConnectFailed);
  EXPECT_NE(router.arrive("soon", "p").sentTo(), affinityInstance);
  router.advance(50ms).endAttempt("soon", cellOf(affinityInstance) == '0' ? "r1" : "r0",
                                  AttemptOutcome::kPrefilled);
  EXPECT_EQ(router.advance(1200ms).arrive("later", "p").sentTo(), affinityInstance);
}

// The ejection lasts 8 s at most, however long the instance could not be reached.
TEST(OutlierDetection, TriesAnInstanceWithin8SecondsOfItsReturnFromALongOutage) {
  constexpr int kOutageTenths = 600, kLimitTenths = 81;
  RouterHarness router;
  router.updateEndpoints(twoCells());
  const std::string affinityInstance = router.arrive("x", "p").sentTo();
  router.endAttempt("x", affinityInstance, AttemptOutcome::kConnectFailed);
  for (int i = 0; i < kOutageTenths; ++i) {
    const std::string id = numbered("out", i);
    std::string at = router.advance(100ms).arrive(id, "p").sentTo();
    if (at == affinityInstance)
      at = router.endAttempt(id, at, AttemptOutcome::kConnectFailed).sentTo();
    serveFrom(router, id, at);
  }
  int tenths = 0;
  for (; tenths < kLimitTenths; ++tenths) {
    const std::string id = numbered("back", tenths);
    const std::string at = router.advance(100ms).arrive(id, "p").sentTo();
    if (at == affinityInstance)
      break;
    serveFrom(router, id, at);
  }
  EXPECT_LT(tenths, kLimitTenths);
}

// Instances that fail fast get most of the requests; their failure rate must not become the
// reference for the other instances.
TEST(OutlierDetection, EjectsTwoOfThreeInstancesThatMostlyFail) {
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill), endpoint("r1", kPrefill),
                          endpoint("r2", kPrefill), endpoint("w0", kDecode)});
  for (int i = 0; i < 30; ++i)
    router.serve(numbered("warm", i), numbered("p", i));
  std::map<std::string, int> attempts;
  int failed = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = numbered("a", i);
    std::string at = router.arrive(id, numbered("p", i % 30)).sentTo();
    while (!at.empty() && at != "r2" && ++attempts[at] % 4 != 0) {
      ++failed;
      at = router.endAttempt(id, at, AttemptOutcome::kError, 1ms).sentTo();
    }
    if (at.empty())
      continue;
    const std::string decodeInstance =
        router.advance(5ms).endAttempt(id, at, AttemptOutcome::kPrefilled, 5ms).sentTo();
    router.openStream(id, decodeInstance)
        .endAttempt(id, decodeInstance, AttemptOutcome::kServed, 10ms, true);
  }
  EXPECT_LE(failed, 12);
}

TEST(OutlierDetection, ReinstatesAFailingInstanceAfterSeveralTrials) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  for (std::string id; !(id = arriveAt(router, "f" + id, "r0")).empty();)
    serveFrom(router, id, router.endAttempt(id, "r0", AttemptOutcome::kError, 1ms).sentTo());
  ASSERT_EQ(arriveAt(router, "out", "r0"), "");
  router.advance(1100ms);
  for (int i = 0; i < 3; ++i) {
    const std::string trial = arriveAt(router, numbered("t", i), "r0");
    ASSERT_NE(trial, "");
    EXPECT_EQ(arriveAt(router, numbered("b", i), "r0"), "");  // one at a time
    serveFrom(router, trial, "r0");
  }
  ASSERT_NE(arriveAt(router, "again", "r0"), "");
  EXPECT_NE(arriveAt(router, "beside", "r0"), "");
}

TEST(OutlierDetection, DoesNotEjectForOneLostConnection) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  router.endAttempt(arriveAt(router, "x", "r0"), "r0", AttemptOutcome::kConnectionLost, 1ms);
  EXPECT_NE(arriveAt(router, "next", "r0"), "");
}

// A short network outage fails all connects in flight at once. They count as one failure: each must
// not double the backoff again.
TEST(OutlierDetection, ConcurrentConnectFailuresEjectForOneBackoff) {
  Settings settings = plainSettings();
  settings.limits.maxAttempts = 2;
  RouterHarness router(settings);
  router.updateEndpoints({endpoint("r", kPrefill), endpoint("w", kDecode)});
  const std::vector<std::string> ids{"a", "b", "c", "d"};
  for (const std::string& id : ids)
    EXPECT_EQ(
        router.arrive(id).advance(5ms).endAttempt(id, "r", AttemptOutcome::kPrefilled).sentTo(),
        "w");
  router.advance(250ms);
  for (const std::string& id : ids)
    EXPECT_TRUE(
        router.endAttempt(id, "w", AttemptOutcome::kConnectFailed).hasAction<RejectRequest>());
  EXPECT_FALSE(router.advance(900ms)
                   .arrive("next")
                   .advance(5ms)
                   .endAttempt("next", "r", AttemptOutcome::kPrefilled)
                   .hasAction<DispatchAttempt>());
  EXPECT_EQ(router.advance(200ms).sentTo(), "w")
      << "the backoff of one second is over and was not doubled";
}

// The instance answers all other attempts, so it is never silent.
TEST(Stragglers, OvertakenPrefillIsCancelledAndRetriedElsewhere) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  const std::string lost = arriveAt(router, "s", "r0");
  bool cancelled = false;
  for (int i = 0; i < 5 && !cancelled; ++i) {
    const std::string later = arriveAt(router, numbered("a", i), "r0");
    ASSERT_NE(later, "");
    router.advance(50ms).endAttempt(later, "r0", AttemptOutcome::kPrefilled, 2ms);
    for (const CancelAttempt& cancel : router.actionsOf<CancelAttempt>())
      cancelled |= cancel.request.value == lost;
  }
  ASSERT_TRUE(cancelled);
  router.endAttempt(lost, "r0", AttemptOutcome::kCancelled, 250ms);
  EXPECT_EQ(router.sentTo(), "r1");
}

TEST(Stragglers, AttemptsAtASilentInstanceAreCancelledAndRetriedElsewhere) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  for (int i = 0; i < 4; ++i)
    router.serve(numbered("warm", i));
  const std::string silent = router.arrive("x").sentTo();
  router.advance(700ms);
  ASSERT_TRUE(router.hasAction<CancelAttempt>());
  router.endAttempt("x", silent, AttemptOutcome::kCancelled);
  EXPECT_NE(router.sentTo(), "");
  EXPECT_NE(router.sentTo(), silent);
}

}  // namespace
}  // namespace inference_router::routing
