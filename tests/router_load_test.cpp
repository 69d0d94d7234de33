// Tests of load shedding, prefills at decode instances, many nodes and graceful shutdown.
#include "router_scenarios.h"

namespace inference_router::routing {
namespace {

// A router with that many streams, opened one after the other.
RouterHarness fleetWithStreams(int count, bool resume) {
  Settings settings = plainSettings();
  settings.streamResumption = resume;
  RouterHarness router(settings);
  router.updateEndpoints(twoCells());
  for (int i = 0; i < count; ++i) {
    const std::string id = numbered("s", i);
    const std::string prefillInstance = router.arrive(id).sentTo();
    const std::string decodeInstance =
        router.endAttempt(id, prefillInstance, AttemptOutcome::kPrefilled).sentTo();
    router.openStream(id, decodeInstance).advance(10ms);
  }
  return router;
}

Settings manyNodes(int nodes) {
  Settings settings = plainSettings();
  settings.nodes = nodes;
  return settings;
}

std::vector<RouterHarness> nodesOf(const Settings& settings,
                                   const std::vector<EndpointRecord>& list) {
  std::vector<RouterHarness> nodes;
  for (int i = 0; i < settings.nodes; ++i)
    nodes.emplace_back(settings, static_cast<std::uint64_t>(i));
  for (RouterHarness& node : nodes)
    node.updateEndpoints(list);
  return nodes;
}

std::vector<EndpointRecord> prefillAndDecodeInstances(int each) {
  std::vector<EndpointRecord> list;
  for (int i = 0; i < each; ++i)
    list.push_back(endpoint(numbered("r", i), kPrefill));
  for (int i = 0; i < each; ++i)
    list.push_back(endpoint(numbered("w", i), kDecode));
  return list;
}

// Sends one request. If `congested`, all prefill instances have full queues and reject it. Returns
// whether a prefill was tried.
bool prefillOnce(RouterHarness& node, const std::string& id, bool congested) {
  std::string at = node.advance(400ms).arrive(id, id).sentTo();
  const bool tried = !at.empty();
  while (!at.empty() && congested)
    at = node.endAttempt(id, at, AttemptOutcome::kRejected, 1ms).sentTo();
  if (at.empty())
    return tried;
  const std::string decodeInstance =
      node.advance(20ms).endAttempt(id, at, AttemptOutcome::kPrefilled, 20ms).sentTo();
  node.advance(10ms)
      .openStream(id, decodeInstance)
      .advance(10ms)
      .endAttempt(id, decodeInstance, AttemptOutcome::kServed, 20ms, true);
  return true;
}

TEST(LoadShedding, PastCongestionDoesNotCauseRejectionsForever) {
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
  for (int i = 0; i < 10; ++i) {
    const std::string id = numbered("slow", i);
    router.arrive(id).advance(3s).endAttempt(id, "r0", AttemptOutcome::kPrefilled, 3s);
    router.advance(10ms).openStream(id, "w0").endAttempt(id, "w0", AttemptOutcome::kServed, 20ms,
                                                         true);
  }
  EXPECT_TRUE(router.advance(5s).arrive("later").hasAction<DispatchAttempt>());
}

// The first token of a resumed request came in time; a rejection would discard all decoded tokens.
TEST(LoadShedding, ResumedRequestIsNotRejectedForBeingLate) {
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
  router.arrive("slow", "", 6s, 1000);
  router.advance(900ms).endAttempt("slow", "r0", AttemptOutcome::kPrefilled,
                                   900ms);  // prefills take most of the objective of 1 s
  ASSERT_TRUE(router.arrive("fresh", "", 6s, 4000).hasAction<RejectRequest>());
  Arrival resumedArrival = RouterHarness::arrival("rest", "", 6s, 4000);
  resumedArrival.resumed = true;
  EXPECT_EQ(router.handle(resumedArrival).sentTo(), "r0");
}

TEST(LoadShedding, RequestsWaitBeforeThePrefillWhileEveryDecodeInstanceIsFull) {
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill), endpoint("w0", kDecode)}).arrive("a");
  router.handle(ReservationResult{{"a"}, 0, {"w0"}, false});
  EXPECT_FALSE(router.arrive("b").hasAction<DispatchAttempt>());
  EXPECT_TRUE(router.advance(200ms).hasAction<DispatchAttempt>());
}

TEST(LoadShedding, RequestQueuedPastItsObjectiveIsRejected) {
  RouterHarness router;
  router.arrive("a").advance(1200ms);
  EXPECT_TRUE(router.hasAction<RejectRequest>());
}

// A burst must not be rejected for lack of prefill capacity while decode instances have spare time.
TEST(DecodePrefill, IsUsedIfAPrefillInstanceWouldMissTheObjective) {
  Settings settings = plainSettings();
  settings.decodeCanPrefill = true;
  RouterHarness router(settings);
  congestPrefillInstance(router, endpoint("w0", kDecode), 1).arrive("late", "", 6s, 6000);
  EXPECT_EQ(router.sentTo(), "w0");
  EXPECT_FALSE(router.hasAction<ReserveDecode>());
  router.advance(100ms)
      .openStream("late", "w0")
      .advance(100ms)
      .endAttempt("late", "w0", AttemptOutcome::kServed, 200ms, true);
  for (const std::string id : {"long0", "long1"})
    router.endAttempt(id, "r0", AttemptOutcome::kPrefilled, 250ms);
  EXPECT_EQ(router.advance(3s).arrive("calm").sentTo(),
            "r0");  // the prefill instance is preferred again
}

// A decode instance must also be used when the queue of a prefill instance would make the answer
// almost late.
TEST(DecodePrefill, IsUsedIfAPrefillInstanceWouldTakeMostOfTheObjective) {
  Settings settings = plainSettings();
  RouterHarness withoutPrefill(settings);
  EXPECT_EQ(congestPrefillInstance(withoutPrefill, endpoint("w0", kDecode), 1)
                .arrive("next", "", 6s, 2000)
                .sentTo(),
            "r0");
  settings.decodeCanPrefill = true;
  RouterHarness router(settings);
  EXPECT_EQ(congestPrefillInstance(router, endpoint("w0", kDecode), 1)
                .arrive("next", "", 6s, 4000)
                .sentTo(),
            "w0");
}

// Protects the streams of decode instances: a prefill delays their decode steps, and could overload
// an instance in slow start.
TEST(DecodePrefill, IsNotUsedInSlowStartOrWithMuchMemoryInUseOrWithoutSupport) {
  Settings settings = plainSettings();
  RouterHarness withoutPrefill(settings);
  EXPECT_TRUE(congestPrefillInstance(withoutPrefill, endpoint("w0", kDecode), 1)
                  .arrive("late", "", 6s, 6000)
                  .hasAction<RejectRequest>());
  settings.decodeCanPrefill = true;
  RouterHarness fullMemory(settings);
  EXPECT_TRUE(congestPrefillInstance(fullMemory, endpoint("w0", kDecode), 5)
                  .arrive("late", "", 6s, 6000)
                  .hasAction<RejectRequest>());
  RouterHarness startingInstance(settings);
  EXPECT_TRUE(congestPrefillInstance(startingInstance,
                                     slowStarting("w0", kDecode, startingInstance.now()), 1)
                  .arrive("late", "", 6s, 6000)
                  .hasAction<RejectRequest>());
}

// Many nodes together must not sustain the congestion of prefill instances, and each must detect
// its end.
TEST(ManyNodes, ThrottlePrefillsDuringCongestionAndRecoverAfterwards) {
  int tried = 0, after = 0;
  for (RouterHarness& node : nodesOf(manyNodes(100), prefillAndDecodeInstances(12))) {
    for (int i = 0; i < 20; ++i)
      tried += prefillOnce(node, numbered("a", i), true) ? 1 : 0;
    for (int i = 0; i < 40; ++i)
      after += prefillOnce(node, numbered("b", i), false) && i >= 20 ? 1 : 0;
  }
  EXPECT_LT(tried, 100 * 20 / 2);
  EXPECT_GT(tried, 100);
  EXPECT_GT(after, 100 * 20 * 0.95);
}

TEST(ManyNodes, FewNodesThatKnowEachPrefillInstanceAreNotThrottled) {
  for (RouterHarness& node : nodesOf(manyNodes(2), prefillAndDecodeInstances(2)))
    for (int i = 0; i < 20; ++i)
      EXPECT_TRUE(prefillOnce(node, numbered("a", i), true)) << i;
}

// A node with few requests must not wait until its part of the budget has accumulated, and the
// nodes together must not all send at once.
TEST(ManyNodes, SomeSendToAnInstanceInSlowStartImmediately) {
  int sentToNew = 0, key = 0;
  for (RouterHarness& node : nodesOf(manyNodes(300), prefillAndDecodeInstances(2))) {
    node.updateEndpoints({slowStarting("rc", kPrefill, node.now())}, EndpointListForm::kChanges);
    for (int i = 0; i < 6; ++i, ++key)
      sentToNew +=
          node.advance(10ms).arrive(numbered("a", i), numbered("p", key)).sentTo() == "rc" ? 1 : 0;
  }
  EXPECT_GT(sentToNew, 15);
  EXPECT_LT(sentToNew, 300 * 0.35);
}

// To each of many nodes the decode instances look idle, so it would send them every prefill that
// the prefill instances cannot do. A few nodes know most of the load themselves.
TEST(ManyNodes, UseOnlyAShareOfDecodeInstancesTimeForPrefills) {
  const auto prefillsAtDecodeInstance = [](int nodes) {
    Settings settings = manyNodes(nodes);
    settings.decodeCanPrefill = true;
    settings.kinds[kDecode].memoryTokens = 1e9;  // so that memory is not the limit
    int prefills = 0;
    RouterHarness node(settings);
    congestPrefillInstance(node, endpoint("w0", kDecode), 1)
        .endAttempt("stream0", "w0", AttemptOutcome::kServed, 600ms, true);
    for (int i = 0; i < 10; ++i) {
      const std::string id = numbered("late", i);
      if (node.arrive(id, "", 6s, 6000).sentTo() != "w0")
        continue;
      ++prefills;
      node.advance(10ms).openStream(id, "w0").advance(10ms).endAttempt(
          id, "w0", AttemptOutcome::kServed, 20ms, true);
    }
    return prefills;
  };
  EXPECT_EQ(prefillsAtDecodeInstance(2), 10);
  EXPECT_LE(prefillsAtDecodeInstance(100), 1);
}

TEST(GracefulShutdown, StreamsAreMigratedLateInTheGracePeriodNewestFirst) {
  RouterHarness router = fleetWithStreams(10, true);
  EXPECT_FALSE(router.handle(ShutdownStarted{3700ms}).hasAction<MigrateStream>());
  EXPECT_FALSE(router.advance(2200ms).hasAction<MigrateStream>());
  std::vector<MigrateStream> migrated = router.advance(600ms).actionsOf<MigrateStream>();
  ASSERT_GE(migrated.size(), 4U);
  ASSERT_LE(migrated.size(), 7U);
  EXPECT_EQ(migrated.front().request.value, "s9");
  const std::size_t first = migrated.size();
  migrated = router.advance(600ms).actionsOf<MigrateStream>();
  EXPECT_EQ(first + migrated.size(), 10U);  // each exactly once
}

TEST(GracefulShutdown, MigratedStreamIsNoFailureOfItsInstance) {
  RouterHarness router = fleetWithStreams(1, true);
  router.handle(ShutdownStarted{1s}).advance(990ms);
  ASSERT_TRUE(router.hasAction<MigrateStream>());
  router.endAttempt("s0", "w0", AttemptOutcome::kConnectionLost, 1s, true);
  for (const LogMessage& log : router.actionsOf<LogMessage>())
    EXPECT_EQ(log.text.find("passing over"), std::string::npos);
}

TEST(GracefulShutdown, NoStreamIsMigratedIfClientsDoNotResume) {
  RouterHarness router = fleetWithStreams(3, false);
  EXPECT_FALSE(router.handle(ShutdownStarted{1s}).hasAction<MigrateStream>());
  EXPECT_FALSE(router.advance(2s).hasAction<MigrateStream>());
}

TEST(GracefulShutdown, RequestWithoutStreamGetsItsFinalAnswerBeforeTheEnd) {
  RouterHarness router;
  router.updateEndpoints(twoCells()).arrive("a");
  router.handle(ShutdownStarted{1s});
  EXPECT_FALSE(router.advance(900ms).hasAction<RejectRequest>());
  EXPECT_EQ(router.advance(60ms).actionsOf<RejectRequest>().size(), 1U);
}

}  // namespace
}  // namespace inference_router::routing
