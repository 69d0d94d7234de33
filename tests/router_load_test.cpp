// Load: early rejection, prefills at decode instances, many nodes, and the end of a node.
#include "router_scenarios.h"

namespace inference_router::routing {
namespace {

// So many streams, opened one after the other.
Fleet fleetWithStreams(int count, bool resume) {
  Settings settings = plainSettings();
  settings.streamResumption = resume;
  Fleet fleet(settings);
  fleet.list(twoCells());
  for (int i = 0; i < count; ++i) {
    const std::string id = numbered("s", i);
    const std::string prefillInstance = fleet.arrive(id).sentTo();
    const std::string decodeInstance =
        fleet.end(id, prefillInstance, AttemptOutcome::kPrefilled).sentTo();
    fleet.open(id, decodeInstance).wait(10ms);
  }
  return fleet;
}

Settings manyNodes(int nodes) {
  Settings settings = plainSettings();
  settings.nodes = nodes;
  return settings;
}

std::vector<Fleet> nodesOf(const Settings& settings, const std::vector<EndpointRecord>& list) {
  std::vector<Fleet> nodes;
  for (int i = 0; i < settings.nodes; ++i)
    nodes.emplace_back(settings, static_cast<std::uint64_t>(i));
  for (Fleet& node : nodes)
    node.list(list);
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

// Sends one request to a fleet whose prefill instances all have full queues, or none has; returns
// whether a prefill was tried.
bool prefillOnce(Fleet& node, const std::string& id, bool congested) {
  std::string at = node.wait(400ms).arrive(id, id).sentTo();
  const bool tried = !at.empty();
  while (!at.empty() && congested)
    at = node.end(id, at, AttemptOutcome::kRejected, 1ms).sentTo();
  if (at.empty())
    return tried;
  const std::string decodeInstance =
      node.wait(20ms).end(id, at, AttemptOutcome::kPrefilled, 20ms).sentTo();
  node.wait(10ms)
      .open(id, decodeInstance)
      .wait(10ms)
      .end(id, decodeInstance, AttemptOutcome::kServed, 20ms, true);
  return true;
}

TEST(LoadShedding, CongestionSeenLongAgoDoesNotRejectForEver) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
  for (int i = 0; i < 10; ++i) {
    const std::string id = numbered("slow", i);
    fleet.arrive(id).wait(3s).end(id, "r0", AttemptOutcome::kPrefilled, 3s);
    fleet.wait(10ms).open(id, "w0").end(id, "w0", AttemptOutcome::kServed, 20ms, true);
  }
  EXPECT_TRUE(fleet.wait(5s).arrive("later").any<DispatchAttempt>());
}

// Its first token came in time long ago; a rejection would lose all that was decoded for it.
TEST(LoadShedding, AResumedRequestIsNotRejectedForBeingLate) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)});
  fleet.arrive("slow", "", 6s, 1000);
  fleet.wait(900ms).end("slow", "r0", AttemptOutcome::kPrefilled,
                        900ms);  // prefills take most of the objective of 1 s
  ASSERT_TRUE(fleet.arrive("fresh", "", 6s, 4000).any<RejectRequest>());
  Arrival rest = Fleet::arrival("rest", "", 6s, 4000);
  rest.resumed = true;
  EXPECT_EQ(fleet.give(rest).sentTo(), "r0");
}

TEST(LoadShedding, RequestsWaitBeforeThePrefillWhileEveryDecodeInstanceIsFull) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)}).arrive("a");
  fleet.give(ReservationResult{{"a"}, 0, {"w0"}, false});
  EXPECT_FALSE(fleet.arrive("b").any<DispatchAttempt>());
  EXPECT_TRUE(fleet.wait(200ms).any<DispatchAttempt>());
}

TEST(LoadShedding, WhatWaitsPastItsObjectiveIsRejected) {
  Fleet fleet;
  fleet.arrive("a").wait(1200ms);
  EXPECT_TRUE(fleet.any<RejectRequest>());
}

// A burst must not be rejected for want of prefill instances while the decode instances have little
// to do.
TEST(DecodePrefill, TakesWhatAPrefillInstanceCannotPrefillInTime) {
  Settings settings = plainSettings();
  settings.decodeCanPrefill = true;
  Fleet fleet(settings);
  congestPrefillInstance(fleet, endpoint("w0", kDecode), 1).arrive("late", "", 6s, 6000);
  EXPECT_EQ(fleet.sentTo(), "w0");
  EXPECT_FALSE(fleet.any<ReserveDecode>());
  fleet.wait(100ms)
      .open("late", "w0")
      .wait(100ms)
      .end("late", "w0", AttemptOutcome::kServed, 200ms, true);
  for (const std::string id : {"long0", "long1"})
    fleet.end(id, "r0", AttemptOutcome::kPrefilled, 250ms);
  EXPECT_EQ(fleet.wait(3s).arrive("calm").sentTo(), "r0");  // the usual path stays
}

// Answers must not come late because the queue of a prefill instance is long, though not too long
// to try.
TEST(DecodePrefill, TakesWhatWouldTakeAPrefillInstanceMostOfTheObjective) {
  Settings settings = plainSettings();
  Fleet withoutPrefill(settings);
  EXPECT_EQ(congestPrefillInstance(withoutPrefill, endpoint("w0", kDecode), 1)
                .arrive("next", "", 6s, 2000)
                .sentTo(),
            "r0");
  settings.decodeCanPrefill = true;
  Fleet fleet(settings);
  EXPECT_EQ(congestPrefillInstance(fleet, endpoint("w0", kDecode), 1)
                .arrive("next", "", 6s, 4000)
                .sentTo(),
            "w0");
}

// Protects the streams of decode instances: a prefill comes between their steps, and one in slow
// start may be overloaded.
TEST(DecodePrefill, IsNotAskedOfInstancesInSlowStartOrWithMuchInMemoryOrUnableToPrefill) {
  Settings settings = plainSettings();
  Fleet withoutPrefill(settings);
  EXPECT_TRUE(congestPrefillInstance(withoutPrefill, endpoint("w0", kDecode), 1)
                  .arrive("late", "", 6s, 6000)
                  .any<RejectRequest>());
  settings.decodeCanPrefill = true;
  Fleet fullMemory(settings);
  EXPECT_TRUE(congestPrefillInstance(fullMemory, endpoint("w0", kDecode), 5)
                  .arrive("late", "", 6s, 6000)
                  .any<RejectRequest>());
  Fleet startingInstance(settings);
  EXPECT_TRUE(congestPrefillInstance(startingInstance,
                                     slowStarting("w0", kDecode, startingInstance.now()), 1)
                  .arrive("late", "", 6s, 6000)
                  .any<RejectRequest>());
}

// Many nodes must not keep up the congestion of prefill instances together, and each has to see its
// end.
TEST(ManyNodes, PrefillLittleWhereNothingIsInTimeAndAllAgainAfterwards) {
  int tried = 0, after = 0;
  for (Fleet& node : nodesOf(manyNodes(100), prefillAndDecodeInstances(12))) {
    for (int i = 0; i < 20; ++i)
      tried += prefillOnce(node, numbered("a", i), true) ? 1 : 0;
    for (int i = 0; i < 40; ++i)
      after += prefillOnce(node, numbered("b", i), false) && i >= 20 ? 1 : 0;
  }
  EXPECT_LT(tried, 100 * 20 / 2);
  EXPECT_GT(tried, 100);
  EXPECT_GT(after, 100 * 20 * 0.95);
}

TEST(ManyNodes, AFewThatKnowEachPrefillInstanceAreNotThrottled) {
  for (Fleet& node : nodesOf(manyNodes(2), prefillAndDecodeInstances(2)))
    for (int i = 0; i < 20; ++i)
      EXPECT_TRUE(prefillOnce(node, numbered("a", i), true)) << i;
}

// A node that sees few requests must not wait for its whole part of the budget, and the nodes
// together must not send all at once.
TEST(ManyNodes, SomeOfThemSendToAnInstanceInSlowStartAtOnce) {
  int toNew = 0, key = 0;
  for (Fleet& node : nodesOf(manyNodes(300), prefillAndDecodeInstances(2))) {
    node.list({slowStarting("rc", kPrefill, node.now())}, EndpointListForm::kChanges);
    for (int i = 0; i < 6; ++i, ++key)
      toNew +=
          node.wait(10ms).arrive(numbered("a", i), numbered("p", key)).sentTo() == "rc" ? 1 : 0;
  }
  EXPECT_GT(toNew, 15);
  EXPECT_LT(toNew, 300 * 0.35);
}

// Each of many nodes sees the decode instances idle and would have them prefill all that prefill
// instances cannot. A few nodes see for themselves what is prefilled there.
TEST(ManyNodes, HaveDecodeInstancesPrefillForAPartOfTheirTimeAlone) {
  const auto prefillsAtDecodeInstance = [](int nodes) {
    Settings settings = manyNodes(nodes);
    settings.decodeCanPrefill = true;
    settings.kinds[kDecode].memoryTokens = 1e9;  // so that capacity is not what they lack
    int prefills = 0;
    Fleet node(settings);
    congestPrefillInstance(node, endpoint("w0", kDecode), 1)
        .end("stream0", "w0", AttemptOutcome::kServed, 600ms, true);
    for (int i = 0; i < 10; ++i) {
      const std::string id = numbered("late", i);
      if (node.arrive(id, "", 6s, 6000).sentTo() != "w0")
        continue;
      ++prefills;
      node.wait(10ms).open(id, "w0").wait(10ms).end(id, "w0", AttemptOutcome::kServed, 20ms, true);
    }
    return prefills;
  };
  EXPECT_EQ(prefillsAtDecodeInstance(2), 10);
  EXPECT_LE(prefillsAtDecodeInstance(100), 1);
}

TEST(GracefulShutdown, StreamsAreMigratedOverTheEndOfTheGraceTheYoungestFirst) {
  Fleet fleet = fleetWithStreams(10, true);
  EXPECT_FALSE(fleet.give(ShutdownStarted{3700ms}).any<MigrateStream>());
  EXPECT_FALSE(fleet.wait(2200ms).any<MigrateStream>());
  std::vector<MigrateStream> migrated = fleet.wait(600ms).all<MigrateStream>();
  ASSERT_GE(migrated.size(), 4U);
  ASSERT_LE(migrated.size(), 7U);
  EXPECT_EQ(migrated.front().request.value, "s9");
  const std::size_t first = migrated.size();
  migrated = fleet.wait(600ms).all<MigrateStream>();
  EXPECT_EQ(first + migrated.size(), 10U);  // none twice, none left
}

TEST(GracefulShutdown, AMigratedStreamDoesNotCountAgainstItsInstance) {
  Fleet fleet = fleetWithStreams(1, true);
  fleet.give(ShutdownStarted{1s}).wait(990ms);
  ASSERT_TRUE(fleet.any<MigrateStream>());
  fleet.end("s0", "w0", AttemptOutcome::kConnectionLost, 1s, true);
  for (const LogMessage& log : fleet.all<LogMessage>())
    EXPECT_EQ(log.text.find("passing over"), std::string::npos);
}

TEST(GracefulShutdown, NothingIsMigratedWhereClientsDoNotResume) {
  Fleet fleet = fleetWithStreams(3, false);
  EXPECT_FALSE(fleet.give(ShutdownStarted{1s}).any<MigrateStream>());
  EXPECT_FALSE(fleet.wait(2s).any<MigrateStream>());
}

TEST(GracefulShutdown, WhatHasNoStreamNearTheEndGetsItsFinalAnswer) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a");
  fleet.give(ShutdownStarted{1s});
  EXPECT_FALSE(fleet.wait(900ms).any<RejectRequest>());
  EXPECT_EQ(fleet.wait(60ms).all<RejectRequest>().size(), 1U);
}

}  // namespace
}  // namespace inference_router::routing
