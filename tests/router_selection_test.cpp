// Tests of the selection of prefill and decode instances.
#include <set>

#include "router_scenarios.h"

namespace inference_router::routing {
namespace {

TEST(DispatchPath, ReservesInTheCellOfThePrefillTogetherWithIt) {
  RouterHarness router;
  router.updateEndpoints(twoCells()).arrive("a");
  ASSERT_EQ(router.sentTo()[0], 'r');
  EXPECT_EQ(cellOf(router.reservedAt()), cellOf(router.sentTo()));
}

TEST(DispatchPath, DecodesAtTheReservationAsSoonAsThePrefillEnds) {
  RouterHarness router;
  const std::string prefillInstance = router.updateEndpoints(twoCells()).arrive("a").sentTo();
  const std::string reserved = router.reservedAt();
  router.handle(ReservationResult{{"a"}, 0, {reserved}, true});
  EXPECT_EQ(router.endAttempt("a", prefillInstance, AttemptOutcome::kPrefilled).sentTo(), reserved);
}

TEST(DispatchPath, DecodesInTheCellWhenTheReservationIsRejected) {
  RouterHarness router;
  const std::string prefillInstance = router.updateEndpoints(twoCells()).arrive("a").sentTo();
  router.handle(ReservationResult{{"a"}, 0, {router.reservedAt()}, false});
  EXPECT_EQ(cellOf(router.endAttempt("a", prefillInstance, AttemptOutcome::kPrefilled).sentTo()),
            cellOf(prefillInstance));
}

TEST(DispatchPath, LeavesTheCellOnlyIfItHasNoUsableDecodeInstance) {
  RouterHarness router;
  const std::string prefillInstance = router.updateEndpoints(twoCells()).arrive("a").sentTo();
  std::vector<EndpointRecord> removed;
  for (EndpointRecord entry : twoCells()) {
    if (cellOf(entry.instance.value) == cellOf(prefillInstance) && entry.kind.value == kDecode) {
      removed.push_back(withState(entry, EndpointState::kRemoved));
    }
  }
  router.updateEndpoints(removed, EndpointListForm::kChanges);
  const std::string decodeInstance =
      router.endAttempt("a", prefillInstance, AttemptOutcome::kPrefilled).sentTo();
  ASSERT_NE(decodeInstance, "");
  EXPECT_NE(cellOf(decodeInstance), cellOf(prefillInstance));
}

TEST(DispatchPath, MixedInstancePrefillsAndDecodes) {
  RouterHarness router;
  router.updateEndpoints({endpoint("m0", kMixed)}).arrive("a");
  EXPECT_EQ(router.sentTo(), "m0");
  EXPECT_FALSE(router.hasAction<ReserveDecode>());
}

TEST(PrefillSelection, AllNodesPrefillAPrefixAtTheSameInstance) {
  RouterHarness firstNode(plainSettings(), 1), secondNode(plainSettings(), 2);
  firstNode.updateEndpoints(twoCells());
  secondNode.updateEndpoints(twoCells());
  std::set<std::string> prefillInstances;
  for (int i = 0; i < 6; ++i) {
    for (int j = 0; j < 6; ++j)
      firstNode.serve(numbered("x", 6 * i + j), numbered("p", j));
    for (int j = 0; j < 6; ++j)
      secondNode.serve(numbered("x", 6 * i + j), numbered("p", j));
    prefillInstances.insert(firstNode.serve(numbered("a", i), "prefix"));
    prefillInstances.insert(secondNode.serve(numbered("a", i), "prefix"));
  }
  EXPECT_EQ(prefillInstances.size(), 1U);
}

// A popular prefix must not overload one prefill instance, and all nodes must agree on where a
// session is cached.
TEST(PrefillSelection, PopularPrefixIsSpreadBySessionEquallyAtEveryNode) {
  RouterHarness firstNode(plainSettings(), 1), secondNode(plainSettings(), 2);
  firstNode.updateEndpoints(twoCells());
  secondNode.updateEndpoints(twoCells());
  for (int i = 0; i < 12; ++i)
    firstNode.serve(numbered("warm", i), "prefix");
  for (int i = 0; i < 12; ++i)
    secondNode.serve(numbered("warm", i), "prefix");
  std::set<std::string> prefillInstances;
  for (int i = 0; i < 12; ++i) {
    const std::string prefillInstance = firstNode.serve(numbered("a", i), "prefix");
    EXPECT_EQ(prefillInstance, secondNode.serve(numbered("a", i), "prefix"));
    prefillInstances.insert(prefillInstance);
  }
  EXPECT_EQ(prefillInstances.size(), 2U);
}

// A rare prefix would be prefilled at many instances if nodes with few requests took the first
// request of a key for a large share of the traffic.
TEST(PrefillSelection, RarePrefixHasOneInstanceAtNodesWithFewRequests) {
  constexpr int kPrefillInstances = 40, kNodes = 20;
  std::vector<EndpointRecord> entries = {endpoint("w0", kDecode), endpoint("v0", kDecode)};
  for (int i = 0; i < kPrefillInstances; ++i)
    entries.push_back(endpoint(numbered("r", i), kPrefill));
  std::set<std::string> prefillInstances;
  for (int i = 0; i < kNodes; ++i) {
    RouterHarness node(plainSettings(), static_cast<std::uint64_t>(i));
    prefillInstances.insert(
        node.updateEndpoints(entries).arrive(numbered("a", i), "prefix").sentTo());
  }
  EXPECT_EQ(prefillInstances.size(), 1U);
}

// Prefill instances of cells without decode instances must not be idle, and the decode instances of
// other cells not be overloaded.
TEST(PrefillSelection, PrefillInstancesOfACellWithoutDecodeInstancesAreUsed) {
  RouterHarness router;
  router.updateEndpoints({endpoint("r0", kPrefill, 0), endpoint("w0", kDecode, 0),
                          endpoint("v0", kDecode, 0), endpoint("r1", kPrefill, 1)});
  int prefillsInOtherCell = 0;
  for (int i = 0; i < 40; ++i) {
    if (router.arrive(numbered("a", i), numbered("p", i)).sentTo() == "r1") {
      ++prefillsInOtherCell;
      EXPECT_EQ(router.reservedAt()[1], '0');
    }
  }
  EXPECT_GT(prefillsInOtherCell, 4);
  EXPECT_LT(prefillsInOtherCell, 25);
}

// Congestion must be detected even if no prefill ends in time.
TEST(PrefillSelection, PrefillTimeoutIsASampleOfTheQueueingDelay) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  for (int i = 0; i < 6; ++i)
    router.serve(numbered("warm", i), numbered("q", i));
  const std::string affinityInstance = router.arrive("a", "p").sentTo();
  router.advance(900ms).endAttempt("a", affinityInstance, AttemptOutcome::kTimeout, 900ms);
  EXPECT_NE(router.arrive("b", "p").sentTo(), affinityInstance);
}

TEST(PrefillSelection, SuddenlyPopularPrefixIsSpreadByTheQueueingBound) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  for (int i = 0; i < 8; ++i)
    router.serve(numbered("warm", i), numbered("p", i));
  std::set<std::string> prefillInstances;
  for (int i = 0; i < 12; ++i)
    prefillInstances.insert(router.arrive(numbered("hot", i), "hot", 6s, 6000).sentTo());
  EXPECT_EQ(prefillInstances.count("r0") + prefillInstances.count("r1"), 2U);
}

TEST(PrefillSelection, LongPromptAloneDoesNotMoveItsKey) {
  RouterHarness router;
  router.updateEndpoints(twoCells());
  const std::string affinityInstance = router.serve("first", "prefix");
  for (int i = 0; i < 4; ++i)
    router.serve(numbered("warm", i), numbered("p", i));
  EXPECT_EQ(router.arrive("long", "prefix", 6s, 9000).sentTo(), affinityInstance);
}

TEST(DecodeSelection, SelectsTheInstanceWithFewestOwnStreams) {
  RouterHarness router;
  router.updateEndpoints(
      {endpoint("r0", kPrefill), endpoint("w0", kDecode), endpoint("v0", kDecode)});
  const std::string first = router.arrive("a").reservedAt();
  EXPECT_NE(router.arrive("b").reservedAt(), first);
}

// The next reservation is requested while the prefill is in flight.
TEST(DecodeSelection, RejectedReservationIsRequestedAtTheNextInstance) {
  RouterHarness router;
  router.updateEndpoints(twoCells()).arrive("a");
  const std::string first = router.reservedAt();
  const std::string next = router.handle(ReservationResult{{"a"}, 0, {first}, false}).reservedAt();
  ASSERT_NE(next, "");
  EXPECT_NE(next, first);
  EXPECT_EQ(cellOf(next), cellOf(first));
}

// A KV cache must not wait while a mixed instance has capacity.
TEST(DecodeSelection, MixedInstanceIsUsedIfTheCellHasNoCapacity) {
  RouterHarness router;
  const EndpointRecord mixed = endpoint("m1", kMixed, 1);
  router.updateEndpoints({endpoint("r0", kPrefill, 0), endpoint("w0", kDecode, 0), mixed});
  std::string id;
  for (int i = 0; id.empty() && i < 20; ++i)
    if (router.arrive(numbered("a", i), numbered("p", i)).sentTo() == "r0")
      id = numbered("a", i);
  ASSERT_EQ(router.reservedAt(), "w0");
  EXPECT_EQ(router.handle(ReservationResult{{id}, 0, {"w0"}, false}).reservedAt(), "m1");
}

TEST(DecodeSelection, RequestsAtMostThreeReservations) {
  RouterHarness router;
  router.updateEndpoints(twoCells()).arrive("a");
  int reservations = 1;
  for (std::string at = router.reservedAt(); !at.empty(); at = router.reservedAt()) {
    router.handle(ReservationResult{{"a"}, 0, {at}, false});
    reservations += router.hasAction<ReserveDecode>() ? 1 : 0;
  }
  EXPECT_EQ(reservations, 3);
}

// A decode instance at which an attempt failed is excluded for the request, even with a
// reservation.
TEST(DecodeSelection, ReservationAtAFailedInstanceIsNotUsedAgain) {
  RouterHarness router;
  const std::string prefillInstance = router.updateEndpoints(twoCells()).arrive("a").sentTo();
  const std::string reserved = router.reservedAt();
  router.handle(ReservationResult{{"a"}, 0, {reserved}, true})
      .endAttempt("a", prefillInstance, AttemptOutcome::kPrefilled);
  const std::string next = router.endAttempt("a", reserved, AttemptOutcome::kError).sentTo();
  EXPECT_NE(next, reserved);
  EXPECT_NE(next, "");
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  auto runOnce = [] {
    RouterHarness router;
    router.updateEndpoints(twoCells());
    std::string trace;
    for (int i = 0; i < 20; ++i)
      trace += router.arrive(numbered("a", i)).sentTo() + router.reservedAt() + ' ';
    return trace;
  };
  EXPECT_EQ(runOnce(), runOnce());
}

}  // namespace
}  // namespace inference_router::routing
