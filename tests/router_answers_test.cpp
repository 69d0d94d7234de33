// Final answers, retries and what is released: what every request is owed, whatever fails.
#include "router_scenarios.h"

namespace inference_router::routing {
namespace {

Settings withEffect(Effect effect, DedupScope dedupScope) {
  Settings settings = plainSettings();
  settings.classes[0].effect = effect;
  settings.classes[0].dedupScope = dedupScope;
  return settings;
}

TEST(FinalAnswers, AFailureWithNothingElseToTryIsRejectedOnce) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)}).arrive("a");
  fleet.end("a", "r0", AttemptOutcome::kError).wait(7s);
  EXPECT_EQ(fleet.all<RejectRequest>().size(), 1U);
}

TEST(FinalAnswers, ComeBeforeTheDeadlineWithoutAnyInstance) {
  Fleet fleet;
  fleet.arrive("a", "", 300ms).wait(300ms);
  EXPECT_EQ(fleet.all<RejectRequest>().size(), 1U);
}

TEST(FinalAnswers, NothingGoesOutAfterTheClientLeft) {
  Fleet fleet;
  const std::string prefillInstance = fleet.list(twoCells()).arrive("a").sentTo();
  fleet.give(RequestAbandoned{{"a"}});
  EXPECT_TRUE(fleet.any<ReleaseState>());
  EXPECT_TRUE(fleet.any<CancelAttempt>());
  fleet.end("a", prefillInstance, AttemptOutcome::kPrefilled);
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
  EXPECT_TRUE(fleet.any<ReleaseState>());
}

TEST(FinalAnswers, APromptLargerThanAnyMemoryIsRejectedAtOnce) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a", "", 6s, 1e6);
  EXPECT_TRUE(fleet.any<RejectRequest>());
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
}

TEST(FinalAnswers, UnusableSettingsFailEveryArrivalAndAreLogged) {
  Fleet fleet{Settings{}};
  fleet.arrive("a");
  EXPECT_TRUE(fleet.any<FailRequest>());
  EXPECT_TRUE(fleet.any<LogMessage>());
  EXPECT_TRUE(problemWith(Settings{}).has_value());
}

TEST(FinalAnswers, AnUnknownClassIsFailedAtOnce) {
  Fleet fleet;
  Arrival arrival = Fleet::arrival("a");
  arrival.cls = {9};
  fleet.list(twoCells()).give(arrival);
  EXPECT_EQ(fleet.all<FailRequest>().size(), 1U);
}

TEST(Idempotency, AnAtMostOnceRequestThatMayHaveRunIsNeitherRepeatedNorRejected) {
  Fleet fleet(withEffect(Effect::kAtMostOnce, DedupScope::kAll));
  const std::string decodeInstance = startDecode(fleet);
  fleet.end("a", decodeInstance, AttemptOutcome::kConnectionLost);
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
  EXPECT_FALSE(fleet.any<RejectRequest>());
  EXPECT_TRUE(fleet.any<FailRequest>());
}

TEST(Idempotency, AnAtMostOnceRequestThatNeverRanIsRetried) {
  Fleet fleet(withEffect(Effect::kAtMostOnce, DedupScope::kAll));
  const std::string decodeInstance = startDecode(fleet);
  EXPECT_TRUE(
      fleet.end("a", decodeInstance, AttemptOutcome::kConnectFailed).any<DispatchAttempt>());
}

TEST(Idempotency, AFailedPrefillOfAnAtMostOnceRequestIsRetried) {
  Fleet fleet(withEffect(Effect::kAtMostOnce, DedupScope::kAll));
  const std::string prefillInstance = fleet.list(twoCells()).arrive("a").sentTo();
  EXPECT_TRUE(
      fleet.end("a", prefillInstance, AttemptOutcome::kConnectionLost).any<DispatchAttempt>());
}

TEST(Idempotency, ADeduplicatedRequestStaysInTheCellThatDropsItsRepeats) {
  Fleet fleet(withEffect(Effect::kDeduplicated, DedupScope::kCell));
  const std::string decodeInstance = startDecode(fleet);
  const std::string next = fleet.end("a", decodeInstance, AttemptOutcome::kError).sentTo();
  ASSERT_NE(next, "");
  EXPECT_EQ(cellOf(next), cellOf(decodeInstance));
}

TEST(Idempotency, ADeduplicatedRequestIsNotRetriedPastItsWindow) {
  Settings settings = withEffect(Effect::kDeduplicated, DedupScope::kAll);
  settings.classes[0].dedupWindow = 100ms;
  Fleet fleet(settings);
  const std::string decodeInstance = startDecode(fleet);
  fleet.wait(150ms).end("a", decodeInstance, AttemptOutcome::kError);
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
}

TEST(Idempotency, NoSecondAttemptGoesOutBesideTheFirst) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a").wait(2s);
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
}

TEST(Retries, APrefillOfAnAtMostOnceRequestLeavesTimeForAnother) {
  Settings settings = plainSettings();
  settings.classes[0].effect = Effect::kAtMostOnce;
  Fleet fleet(settings);
  fleet.list(twoCells()).arrive("a");
  EXPECT_LT(fleet.all<DispatchAttempt>().back().until, fleet.now() + 5s);
  const std::string prefillInstance = fleet.sentTo();
  EXPECT_EQ(fleet.end("a", prefillInstance, AttemptOutcome::kPrefilled)
                .all<DispatchAttempt>()
                .back()
                .until,
            fleet.now() + 6s);
}

TEST(Retries, AFailedDecodeIsRetriedWithoutAnotherPrefill) {
  Fleet fleet;
  const std::string decodeInstance = startDecode(fleet);
  const std::string next = fleet.end("a", decodeInstance, AttemptOutcome::kError).sentTo();
  EXPECT_EQ(cellOf(next), cellOf(decodeInstance));
  EXPECT_NE(next[0], 'r');
}

TEST(Retries, AKvCacheThatIsLostIsPrefilledAgain) {
  Fleet fleet;
  const std::string decodeInstance = startDecode(fleet);
  fleet.end("a", decodeInstance, AttemptOutcome::kRejected, 1ms, false, true);
  EXPECT_EQ(fleet.sentTo()[0], 'r');
}

// Hundreds of nodes, each with a burst of retries, would turn congestion into overload.
TEST(Retries, ANodeThatSeesFewRequestsSavesUpFew) {
  Fleet fleet;
  std::vector<EndpointRecord> instances{endpoint("w0", kDecode)};
  for (int i = 0; i < 8; ++i)
    instances.push_back(endpoint(numbered("r", i), kPrefill));
  fleet.list(instances);
  int dispatches = 0;
  for (int i = 0; i < 4; ++i) {
    const std::string id = numbered("q", i);
    for (std::string at = fleet.wait(500ms).arrive(id).sentTo(); !at.empty();
         at = fleet.end(id, at, AttemptOutcome::kError).sentTo())
      ++dispatches;
  }
  EXPECT_GT(dispatches, 4);
  EXPECT_LE(dispatches, 4 + 3);
}

TEST(Retries, StopAtTheLimit) {
  Settings settings = plainSettings();
  settings.limits.maxAttempts = 1;
  Fleet fleet(settings);
  const std::string prefillInstance = fleet.list(twoCells()).arrive("a").sentTo();
  EXPECT_FALSE(fleet.end("a", prefillInstance, AttemptOutcome::kError).any<DispatchAttempt>());
}

TEST(RemoteState, AKvCacheThatNoInstanceDecodesIsReleasedWithinTheLimit) {
  Fleet fleet;
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)}).arrive("a");
  fleet.list({withState(endpoint("w0", kDecode), EndpointState::kRemoved)},
             EndpointListForm::kChanges);
  fleet.end("a", "r0", AttemptOutcome::kPrefilled);
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
  EXPECT_TRUE(fleet.wait(499ms).any<ReleaseState>());
}

TEST(RemoteState, ALatePrefillOfAnEndedRequestIsReleased) {
  Fleet fleet;
  const std::string prefillInstance = fleet.list(twoCells()).arrive("a").sentTo();
  fleet.give(RequestAbandoned{{"a"}}).end("a", prefillInstance, AttemptOutcome::kPrefilled);
  EXPECT_TRUE(fleet.any<ReleaseState>());
}

TEST(RemoteState, AKvCacheIsReleasedOnceTheDecodeThatWaitedForItIsCancelled) {
  Fleet fleet;
  const std::string prefillInstance = fleet.list(twoCells()).arrive("a").sentTo();
  const std::string decodeInstance =
      fleet.end("a", prefillInstance, AttemptOutcome::kPrefilled).sentTo();
  fleet.give(RequestAbandoned{{"a"}})
      .end("a", decodeInstance, AttemptOutcome::kCancelled, 20ms, true);
  EXPECT_TRUE(fleet.any<ReleaseState>());
}

// The time of a KV cache goes on while connections do not come up. A long-running test found KV
// caches kept for 750 ms over three such decode instances.
TEST(RemoteState, AKvCacheIsReleasedInTimeWhileConnectionsDoNotComeUp) {
  Settings settings = plainSettings();
  settings.limits.connectTimeout = 100ms;
  Fleet fleet(settings);
  fleet.list({endpoint("r0", kPrefill), endpoint("r1", kPrefill), endpoint("w0", kDecode),
              endpoint("w1", kDecode), endpoint("w2", kDecode), endpoint("w3", kDecode)});
  fleet.arrive("a");
  const std::string first =
      fleet.wait(50ms).end("a", fleet.sentTo(), AttemptOutcome::kPrefilled).sentTo();
  const std::string second =
      fleet.wait(100ms).end("a", first, AttemptOutcome::kConnectFailed, 100ms).sentTo();
  EXPECT_EQ(second.substr(0, 1), "w") << "there is time for another";
  EXPECT_NE(second, first);
  EXPECT_FALSE(fleet.any<ReleaseState>());
  fleet.wait(100ms).end("a", second, AttemptOutcome::kConnectFailed, 100ms);
  EXPECT_TRUE(fleet.any<ReleaseState>())
      << "a third that does not come up would end with the limit";
  EXPECT_NE(fleet.sentTo().substr(0, 1), "w") << "it is read anew";
}

// A connect that fails takes nearly the whole limit here: two of them and the release would exceed
// it.
TEST(RemoteState, NoSecondConnectIsTriedThatWouldExceedTheTimeOfAKvCache) {
  for (const AttemptOutcome outcome : {AttemptOutcome::kConnectFailed, AttemptOutcome::kNotSent}) {
    Fleet fleet;
    fleet.list({endpoint("r0", kPrefill), endpoint("r1", kPrefill), endpoint("w0", kDecode),
                endpoint("w1", kDecode)});
    fleet.arrive("a");
    const std::string first =
        fleet.wait(50ms).end("a", fleet.sentTo(), AttemptOutcome::kPrefilled).sentTo();
    ASSERT_EQ(first.substr(0, 1), "w");
    fleet.wait(250ms).end("a", first, outcome, 250ms);
    EXPECT_TRUE(fleet.any<ReleaseState>());
    EXPECT_NE(fleet.sentTo().substr(0, 1), "w");
  }
}

// A rejection says that nothing is under way: the prefill is cancelled and its state released
// before.
TEST(RemoteState, IsReleasedBeforeTheRejectionOfARequestWithAReservation) {
  Settings settings = plainSettings();
  settings.streamResumption = true;
  Fleet fleet(settings);
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode)}).arrive("a");
  ASSERT_EQ(fleet.reservedAt(), "w0");
  fleet.give(ReservationResult{{"a"}, 0, {"w0"}, true}).give(ShutdownStarted{1s}).wait(1s);
  std::vector<std::string> order;
  for (const Action& action : fleet.actions()) {
    if (std::holds_alternative<CancelAttempt>(action))
      order.emplace_back("cancel");
    if (std::holds_alternative<ReleaseState>(action))
      order.emplace_back("release");
    if (std::holds_alternative<RejectRequest>(action))
      order.emplace_back("refuse");
  }
  EXPECT_EQ(order, (std::vector<std::string>{"cancel", "release", "refuse"}));
}

// A decode instance that rejected the request was reached: the time of the KV cache restarts.
TEST(RemoteState, AnAnswerOfADecodeInstanceRestartsTheTimeOfAKvCache) {
  Settings settings = plainSettings();
  settings.limits.connectTimeout = 100ms;
  Fleet fleet(settings);
  fleet.list({endpoint("r0", kPrefill), endpoint("w0", kDecode), endpoint("w1", kDecode),
              endpoint("w2", kDecode)});
  for (int i = 0; i < 10; ++i)
    fleet.serve(numbered("before", i));  // earns retries
  fleet.arrive("a");
  const std::string first = fleet.wait(50ms).end("a", "r0", AttemptOutcome::kPrefilled).sentTo();
  const std::string second =
      fleet.wait(400ms).end("a", first, AttemptOutcome::kRejected, 400ms).sentTo();
  const std::string third =
      fleet.wait(100ms).end("a", second, AttemptOutcome::kConnectFailed, 100ms).sentTo();
  EXPECT_EQ(third.substr(0, 1), "w");
  EXPECT_FALSE(fleet.any<ReleaseState>());
}

TEST(Input, EventsForUnknownRequestsAreIgnored) {
  Fleet fleet;
  fleet.list(twoCells());
  fleet.give(StreamOpened{{"nobody"}, 3, {"r0"}, 1ms});
  EXPECT_TRUE(fleet.actions().empty());
  fleet.give(ReservationResult{{"nobody"}, 0, {"w0"}, true});
  EXPECT_TRUE(fleet.actions().empty());
  fleet.give(RequestAbandoned{{"nobody"}}).give(TimerFired{999}).give(PeerMessage{0, "\x01zz"});
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
}

}  // namespace
}  // namespace inference_router::routing
