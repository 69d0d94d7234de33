#include <map>
#include <set>

#include "fleet.h"

namespace inference_router::routing {
namespace {

std::vector<ListEntry> twoCells() {
  return {engine("r0", kReader, 0), engine("w0", kWriter, 0), engine("v0", kWriter, 0),
          engine("r1", kReader, 1), engine("w1", kWriter, 1), engine("v1", kWriter, 1)};
}

char cellOf(const std::string& id) {
  return id.empty() ? '?' : id[1];
}

ListEntry coldOne(const std::string& id, std::uint32_t kind, Time started) {
  ListEntry entry = engine(id, kind);
  entry.started = started;
  return entry;
}

ListEntry withPresence(ListEntry entry, Presence presence) {
  entry.presence = presence;
  return entry;
}

// ---- The ordinary path

TEST(OrdinaryPath, AsksAPlaceInTheReadersCellTogetherWithTheRead) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a");
  ASSERT_EQ(fleet.sentTo()[0], 'r');
  EXPECT_EQ(cellOf(fleet.placeAt()), cellOf(fleet.sentTo()));
}

TEST(OrdinaryPath, SendsToTheHeldPlaceAsSoonAsTheReadEnds) {
  Fleet fleet;
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  const std::string place = fleet.placeAt();
  fleet.give(PlaceNote{{"a"}, 0, {place}, true});
  EXPECT_EQ(fleet.end("a", reader, Outcome::kRead).sentTo(), place);
}

TEST(OrdinaryPath, SendsToAWriterOfTheCellWhenThePlaceIsNotHeld) {
  Fleet fleet;
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  fleet.give(PlaceNote{{"a"}, 0, {fleet.placeAt()}, false});
  EXPECT_EQ(cellOf(fleet.end("a", reader, Outcome::kRead).sentTo()), cellOf(reader));
}

TEST(OrdinaryPath, LeavesTheCellOnlyWhenItHasNoFitWriter) {
  Fleet fleet;
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  std::vector<ListEntry> gone;
  for (ListEntry entry : twoCells()) {
    if (cellOf(entry.engine.value) == cellOf(reader) && entry.kind.value == kWriter) {
      gone.push_back(withPresence(entry, Presence::kGone));
    }
  }
  fleet.list(gone, ListForm::kChanges);
  const std::string writer = fleet.end("a", reader, Outcome::kRead).sentTo();
  ASSERT_NE(writer, "");
  EXPECT_NE(cellOf(writer), cellOf(reader));
}

TEST(OrdinaryPath, AMixedEngineReadsAndAnswersItsShare) {
  Fleet fleet;
  fleet.list({engine("m0", kMixed)}).arrive("a");
  EXPECT_EQ(fleet.sentTo(), "m0");
  EXPECT_FALSE(fleet.any<HoldPlace>());
}

TEST(ReaderChoice, OnePrefixIsReadAtOneReaderFromEveryNode) {
  Fleet one(plainSettings(), 1), other(plainSettings(), 2);
  one.list(twoCells());
  other.list(twoCells());
  std::set<std::string> readers;
  for (int i = 0; i < 6; ++i) {
    for (int j = 0; j < 6; ++j)
      one.serve(numbered("x", 6 * i + j), numbered("p", j));
    for (int j = 0; j < 6; ++j)
      other.serve(numbered("x", 6 * i + j), numbered("p", j));
    readers.insert(one.serve(numbered("a", i), "prefix"));
    readers.insert(other.serve(numbered("a", i), "prefix"));
  }
  EXPECT_EQ(readers.size(), 1U);
}

// Guards against one reader taking all of a text that everybody asks for, and against nodes that
// disagree where a session's own text is kept.
TEST(ReaderChoice, APopularPrefixIsSharedOutBySessionAlikeAtEveryNode) {
  Fleet one(plainSettings(), 1), other(plainSettings(), 2);
  one.list(twoCells());
  other.list(twoCells());
  for (int i = 0; i < 12; ++i)
    one.serve(numbered("warm", i), "prefix");
  for (int i = 0; i < 12; ++i)
    other.serve(numbered("warm", i), "prefix");
  std::set<std::string> readers;
  for (int i = 0; i < 12; ++i) {
    const std::string reader = one.serve(numbered("a", i), "prefix");
    EXPECT_EQ(reader, other.serve(numbered("a", i), "prefix"));
    readers.insert(reader);
  }
  EXPECT_EQ(readers.size(), 2U);
}

// Guards against a rare text being read anew at many readers, as nodes that see few requests take
// the first one of a key for a large share of the traffic.
TEST(ReaderChoice, APrefixSeenOnceHasOneHomeAtNodesThatSeeFewRequests) {
  constexpr int kReaders = 40, kNodes = 20;
  std::vector<ListEntry> entries = {engine("w0", kWriter), engine("v0", kWriter)};
  for (int i = 0; i < kReaders; ++i)
    entries.push_back(engine(numbered("r", i), kReader));
  std::set<std::string> readers;
  for (int i = 0; i < kNodes; ++i) {
    Fleet node(plainSettings(), static_cast<std::uint64_t>(i));
    readers.insert(node.list(entries).arrive(numbered("a", i), "prefix").sentTo());
  }
  EXPECT_EQ(readers.size(), 1U);
}

// Guards against racks without writers being left idle, and against their neighbours drowning.
TEST(ReaderChoice, ReadersOfACellWithoutWritersTakePartAndAnswersCross) {
  Fleet fleet;
  fleet.list({engine("r0", kReader, 0), engine("w0", kWriter, 0), engine("v0", kWriter, 0),
              engine("r1", kReader, 1)});
  int away = 0;
  for (int i = 0; i < 40; ++i) {
    if (fleet.arrive(numbered("a", i), numbered("p", i)).sentTo() == "r1") {
      ++away;
      EXPECT_EQ(fleet.placeAt()[1], '0');
    }
  }
  EXPECT_GT(away, 4);
  EXPECT_LT(away, 25);
}

// Guards against a jam that nobody hears of, as nothing is read there in time.
TEST(ReaderChoice, AReadThatTimesOutShowsTheWaitThere) {
  Fleet fleet;
  fleet.list(twoCells());
  for (int i = 0; i < 6; ++i)
    fleet.serve(numbered("warm", i), numbered("q", i));
  const std::string home = fleet.arrive("a", "p").sentTo();
  fleet.wait(900ms).end("a", home, Outcome::kTimeout, 900ms);
  EXPECT_NE(fleet.arrive("b", "p").sentTo(), home);
}

TEST(ReaderChoice, ASuddenSharedTextSpreadsByTheBound) {
  Fleet fleet;
  fleet.list(twoCells());
  for (int i = 0; i < 8; ++i)
    fleet.serve(numbered("warm", i), numbered("p", i));
  std::set<std::string> readers;
  for (int i = 0; i < 12; ++i)
    readers.insert(fleet.arrive(numbered("hot", i), "hot", 6s, 6000).sentTo());
  EXPECT_EQ(readers.count("r0") + readers.count("r1"), 2U);
}

TEST(ReaderChoice, ALongPromptAloneDoesNotMoveItsKey) {
  Fleet fleet;
  fleet.list(twoCells());
  const std::string home = fleet.serve("first", "prefix");
  for (int i = 0; i < 4; ++i)
    fleet.serve(numbered("warm", i), numbered("p", i));
  EXPECT_EQ(fleet.arrive("long", "prefix", 6s, 9000).sentTo(), home);
}

TEST(WriterChoice, TakesTheWriterWithFewestOwnStreams) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter), engine("v0", kWriter)});
  const std::string first = fleet.arrive("a").placeAt();
  EXPECT_NE(fleet.arrive("b").placeAt(), first);
}

// ---- Rule one

TEST(Endings, AFailureWithNothingElseToTryIsRefusedOnce) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter)}).arrive("a");
  fleet.end("a", "r0", Outcome::kError).wait(7s);
  EXPECT_EQ(fleet.all<Refuse>().size(), 1U);
}

TEST(Endings, WithoutAnyEngineTheAnswerComesBeforeTheDeadline) {
  Fleet fleet;
  fleet.arrive("a", "", 300ms).wait(300ms);
  EXPECT_EQ(fleet.all<Refuse>().size(), 1U);
}

TEST(Endings, NothingGoesOutAfterTheClientLeft) {
  Fleet fleet;
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  fleet.give(Lapsed{{"a"}});
  EXPECT_TRUE(fleet.any<Release>());
  EXPECT_TRUE(fleet.any<Cancel>());
  fleet.end("a", reader, Outcome::kRead);
  EXPECT_FALSE(fleet.any<Send>());
  EXPECT_TRUE(fleet.any<Release>());
}

TEST(Endings, APromptLargerThanAnyMemoryIsRefusedAtOnce) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a", "", 6s, 1e6);
  EXPECT_TRUE(fleet.any<Refuse>());
  EXPECT_FALSE(fleet.any<Send>());
}

TEST(Endings, UnusableSettingsFailEveryArrivalAndSaySo) {
  Fleet fleet{Settings{}};
  fleet.arrive("a");
  EXPECT_TRUE(fleet.any<Fail>());
  EXPECT_TRUE(fleet.any<Log>());
  EXPECT_TRUE(problemWith(Settings{}).has_value());
}

TEST(Endings, AnUnknownClassIsFailedAtOnce) {
  Fleet fleet;
  Arrival arrival = Fleet::arrival("a");
  arrival.cls = {9};
  fleet.list(twoCells()).give(arrival);
  EXPECT_EQ(fleet.all<Fail>().size(), 1U);
}

// ---- Rule two

Settings withEffect(Effect effect, Group group) {
  Settings s = plainSettings();
  s.classes[0].effect = effect;
  s.classes[0].group = group;
  return s;
}

std::string writeStarted(Fleet& fleet) {
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  return fleet.wait(20ms).end("a", reader, Outcome::kRead).sentTo();
}

TEST(Effects, AnUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused) {
  Fleet fleet(withEffect(Effect::kUnsafe, Group::kAll));
  const std::string writer = writeStarted(fleet);
  fleet.end("a", writer, Outcome::kConnectionLost);
  EXPECT_FALSE(fleet.any<Send>());
  EXPECT_FALSE(fleet.any<Refuse>());
  EXPECT_TRUE(fleet.any<Fail>());
}

TEST(Effects, AnUnsafeRequestThatNeverRanIsTriedAgain) {
  Fleet fleet(withEffect(Effect::kUnsafe, Group::kAll));
  const std::string writer = writeStarted(fleet);
  EXPECT_TRUE(fleet.end("a", writer, Outcome::kNoConnection).any<Send>());
}

TEST(Effects, AFailedReadOfAnUnsafeRequestIsRepeated) {
  Fleet fleet(withEffect(Effect::kUnsafe, Group::kAll));
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  EXPECT_TRUE(fleet.end("a", reader, Outcome::kConnectionLost).any<Send>());
}

TEST(Effects, AKeyedRequestStaysInTheCellThatDropsItsRepeats) {
  Fleet fleet(withEffect(Effect::kKeyed, Group::kCell));
  const std::string writer = writeStarted(fleet);
  const std::string next = fleet.end("a", writer, Outcome::kError).sentTo();
  ASSERT_NE(next, "");
  EXPECT_EQ(cellOf(next), cellOf(writer));
}

TEST(Effects, AKeyedRequestIsNotResentPastItsWindow) {
  Settings s = withEffect(Effect::kKeyed, Group::kAll);
  s.classes[0].dedupWindow = 100ms;
  Fleet fleet(s);
  const std::string writer = writeStarted(fleet);
  fleet.wait(150ms).end("a", writer, Outcome::kError);
  EXPECT_FALSE(fleet.any<Send>());
}

TEST(Effects, NoSecondAttemptGoesOutBesideTheFirst) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a").wait(2s);
  EXPECT_FALSE(fleet.any<Send>());
}

// ---- Rule three

TEST(Drains, ADrainingEngineGetsNothingNew) {
  Fleet fleet;
  fleet.list(
      {engine("r0", kReader), engine("r1", kReader), engine("w0", kWriter), engine("v0", kWriter)});
  fleet.list({withPresence(engine("r0", kReader), Presence::kLeaving),
              withPresence(engine("w0", kWriter), Presence::kLeaving)},
             ListForm::kChanges);
  fleet.arrive("a");
  EXPECT_EQ(fleet.sentTo(), "r1");
  EXPECT_EQ(fleet.placeAt(), "v0");
}

TEST(Drains, AWholeListWithoutAnEngineMeansItIsGone) {
  Fleet fleet;
  fleet.list(twoCells()).list({engine("r0", kReader), engine("w0", kWriter)});
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(fleet.arrive(numbered("a", i)).sentTo(), "r0");
}

TEST(Drains, AHeldPlaceOnADrainingWriterIsUsedEarlyInTheGrace) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter)}).arrive("a");
  fleet.give(PlaceNote{{"a"}, 0, {"w0"}, true});
  fleet.list({withPresence(engine("w0", kWriter), Presence::kLeaving)}, ListForm::kChanges);
  EXPECT_EQ(fleet.end("a", "r0", Outcome::kRead).sentTo(), "w0");
}

TEST(Drains, AHeldPlaceOnADrainingWriterIsLeftLateInTheGrace) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter), engine("v0", kWriter)});
  const std::string place = fleet.arrive("a").placeAt();
  fleet.give(PlaceNote{{"a"}, 0, {place}, true});
  fleet.list({withPresence(engine(place, kWriter), Presence::kLeaving)}, ListForm::kChanges);
  const std::string writer = fleet.wait(700ms).end("a", "r0", Outcome::kRead).sentTo();
  EXPECT_NE(writer, place);
  EXPECT_NE(writer, "");
}

TEST(Lists, AskingSitesAreSubscribedToAndAskedAgainAfterAFailure) {
  Settings s = plainSettings();
  s.discovery = Discovery::kAsk;
  Fleet fleet(s);
  EXPECT_TRUE(fleet.list(twoCells(), ListForm::kCached).any<Subscribe>());
  fleet.list({}, ListForm::kFailed);
  EXPECT_TRUE(fleet.wait(3s).any<Subscribe>());
}

TEST(Lists, AnEntryOfAnUnknownKindIsLeftOut) {
  Fleet fleet;
  fleet.list({engine("x0", 9)}).arrive("a", "", 200ms);
  EXPECT_FALSE(fleet.any<Send>());
}

// ---- Rule four

// Guards against a large fleet that leaves a restarted engine idle, or that sends it a request from
// each node.
TEST(ColdEngines, ManyNodesTogetherKeepTheBudgetOfAColdEngine) {
  for (const int nodes : {2, 20, 200}) {
    Settings s = plainSettings();
    s.nodes = nodes;
    std::vector<Fleet> fleets;
    for (int n = 0; n < nodes; ++n)
      fleets.emplace_back(s, 100 + n);
    for (Fleet& fleet : fleets) {
      fleet.list({engine("r0", kReader), engine("w0", kWriter)});
      for (int i = 0; i < 800 / nodes; ++i)
        fleet.wait(Duration(25'000) * nodes).serve(numbered("warm", i));
      fleet.list({coldOne("v0", kWriter, fleet.now())}, ListForm::kChanges);
    }
    int cold = 0;
    for (int i = 0; i < 120; ++i) {  // three seconds, one window: 40 requests a second to all
      Fleet& fleet = fleets[static_cast<std::size_t>(i % nodes)];
      fleet.wait(Duration(25'000) * std::min(i < nodes ? i + 1 : nodes, nodes))
          .arrive(numbered("b", i));
      cold += fleet.placeAt() == "v0" ? 1 : 0;
    }
    EXPECT_GT(cold, 1) << nodes << " nodes";
    EXPECT_LE(cold, 60) << nodes
                        << " nodes";  // half the writers' rate, times 3 at 0.3 of its capacity
  }
}

TEST(ColdEngines, AFreshWriterGetsFewerPlacesThanItsWarmPeer) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter)});
  for (int i = 0; i < 30; ++i)
    fleet.serve(numbered("warm", i));
  fleet.list({coldOne("v0", kWriter, fleet.now())}, ListForm::kChanges);
  int cold = 0;
  for (int i = 0; i < 20; ++i) {
    fleet.arrive(numbered("b", i));
    cold += fleet.placeAt() == "v0" ? 1 : 0;
  }
  EXPECT_LE(cold, 3);
}

// A node that has just started has seen little, not little a second: at an upgrade all are as young
// as that.
TEST(ColdEngines, AYoungNodeUsesAColdEngineAsMuchAsAnOldOne) {
  int used[2] = {};
  for (const int old : {0, 1}) {
    Fleet fleet;
    fleet.list({engine("r0", kReader), engine("w0", kWriter)});
    for (int i = 0; i < (old != 0 ? 400 : 12); ++i)
      fleet.serve(numbered("warm", i));  // 4 a second
    fleet.list({coldOne("v0", kWriter, fleet.now())}, ListForm::kChanges);
    for (int i = 0; i < 24; ++i) {
      fleet.wait(250ms).arrive(numbered("b", i));
      used[old] += fleet.placeAt() == "v0" ? 1 : 0;
    }
  }
  EXPECT_GE(used[0], used[1] - 2);
  EXPECT_GT(used[1], 4);
}

// ---- Rule five

TEST(Pinned, AStateThatNoWriterTakesIsLetGoWithinTheLimit) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter)}).arrive("a");
  fleet.list({withPresence(engine("w0", kWriter), Presence::kGone)}, ListForm::kChanges);
  fleet.end("a", "r0", Outcome::kRead);
  EXPECT_FALSE(fleet.any<Send>());
  EXPECT_TRUE(fleet.wait(499ms).any<Release>());
}

TEST(Pinned, ALateReadOfAnEndedRequestIsLetGo) {
  Fleet fleet;
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  fleet.give(Lapsed{{"a"}}).end("a", reader, Outcome::kRead);
  EXPECT_TRUE(fleet.any<Release>());
}

TEST(Pinned, AStateThatAWriteWaitedForIsLetGoOnceTheWriteIsCalledOff) {
  Fleet fleet;
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  const std::string writer = fleet.end("a", reader, Outcome::kRead).sentTo();
  fleet.give(Lapsed{{"a"}}).end("a", writer, Outcome::kCancelled, 20ms, true);
  EXPECT_TRUE(fleet.any<Release>());
}

// ---- Health and further attempts

TEST(Health, AnEngineThatFailsFastIsPassedOver) {
  Fleet fleet;
  fleet.list(twoCells());
  const std::string home = fleet.arrive("x", "p").sentTo();
  fleet.end("x", home, Outcome::kError);
  for (int i = 0; i < 6; ++i) {
    fleet.arrive(numbered("a", i), "p");
    if (fleet.sentTo() == home)
      fleet.end(numbered("a", i), home, Outcome::kError);
  }
  EXPECT_NE(fleet.arrive("last", "p").sentTo(), home);
}

TEST(Health, AnUnreachableEngineIsTriedAgainAfterItsPause) {
  Fleet fleet;
  fleet.list(twoCells());
  const std::string home = fleet.arrive("x", "p").sentTo();
  fleet.end("x", home, Outcome::kNoConnection);
  EXPECT_NE(fleet.arrive("soon", "p").sentTo(), home);
  fleet.wait(50ms).end("soon", cellOf(home) == '0' ? "r1" : "r0", Outcome::kRead);
  EXPECT_EQ(fleet.wait(1200ms).arrive("later", "p").sentTo(), home);
}

// A few that fail most of what they get take most of the sends: they must not become the measure of
// failure.
TEST(Health, TwoOfThreeReadersThatMostlyFailAreBothPassedOver) {
  Fleet fleet;
  fleet.list(
      {engine("r0", kReader), engine("r1", kReader), engine("r2", kReader), engine("w0", kWriter)});
  for (int i = 0; i < 30; ++i)
    fleet.serve(numbered("warm", i), numbered("p", i));
  std::map<std::string, int> tries;
  int failed = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = numbered("a", i);
    std::string at = fleet.arrive(id, numbered("p", i % 30)).sentTo();
    while (!at.empty() && at != "r2" && ++tries[at] % 4 != 0) {
      ++failed;
      at = fleet.end(id, at, Outcome::kError, 1ms).sentTo();
    }
    if (at.empty())
      continue;
    const std::string writer = fleet.wait(5ms).end(id, at, Outcome::kRead, 5ms).sentTo();
    fleet.open(id, writer).end(id, writer, Outcome::kServed, 10ms, true);
  }
  EXPECT_LE(failed, 12);
}

void serveFrom(Fleet& fleet, const std::string& id, const std::string& reader) {
  const std::string writer = fleet.wait(2ms).end(id, reader, Outcome::kRead, 2ms).sentTo();
  fleet.open(id, writer).end(id, writer, Outcome::kServed, 5ms, true);
}

// Sends requests until one goes to this engine, and serves the others; empty if none does.
std::string arriveAt(Fleet& fleet, const std::string& stem, const std::string& engine) {
  for (int i = 0; i < 40; ++i) {
    const std::string id = numbered(stem.c_str(), i), at = fleet.arrive(id).sentTo();
    if (at == engine)
      return id;
    serveFrom(fleet, id, at);
  }
  return "";
}

TEST(Health, AnEngineThatFailedSomeIsTrustedAfterSeveralTrials) {
  Fleet fleet;
  fleet.list(twoCells());
  for (std::string id; !(id = arriveAt(fleet, "f" + id, "r0")).empty();)
    serveFrom(fleet, id, fleet.end(id, "r0", Outcome::kError, 1ms).sentTo());
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

TEST(Health, OneBrokenConnectionIsNoReasonToPassAnEngineOver) {
  Fleet fleet;
  fleet.list(twoCells());
  fleet.end(arriveAt(fleet, "x", "r0"), "r0", Outcome::kConnectionLost, 1ms);
  EXPECT_NE(arriveAt(fleet, "next", "r0"), "");
}

// It answers the rest, so it is never silent.
TEST(Health, AReadThatOthersOvertakeIsCalledOffAndSentElsewhere) {
  Fleet fleet;
  fleet.list(twoCells());
  const std::string swallowed = arriveAt(fleet, "s", "r0");
  bool calledOff = false;
  for (int i = 0; i < 5 && !calledOff; ++i) {
    const std::string later = arriveAt(fleet, numbered("a", i), "r0");
    ASSERT_NE(later, "");
    fleet.wait(50ms).end(later, "r0", Outcome::kRead, 2ms);
    for (const Cancel& cancel : fleet.all<Cancel>())
      calledOff |= cancel.request.value == swallowed;
  }
  ASSERT_TRUE(calledOff);
  fleet.end(swallowed, "r0", Outcome::kCancelled, 250ms);
  EXPECT_EQ(fleet.sentTo(), "r1");
}

TEST(Health, AReadOfAnUnsafeRequestLeavesTimeForAnother) {
  Settings settings = plainSettings();
  settings.classes[0].effect = Effect::kUnsafe;
  Fleet fleet(settings);
  fleet.list(twoCells()).arrive("a");
  EXPECT_LT(fleet.all<Send>().back().until, fleet.now() + 5s);
  const std::string reader = fleet.sentTo();
  EXPECT_EQ(fleet.end("a", reader, Outcome::kRead).all<Send>().back().until, fleet.now() + 6s);
}

TEST(Health, WorkAtASilentEngineIsCalledOffAndSentElsewhere) {
  Fleet fleet;
  fleet.list(twoCells());
  for (int i = 0; i < 4; ++i)
    fleet.serve(numbered("warm", i));
  const std::string silent = fleet.arrive("x").sentTo();
  fleet.wait(700ms);
  ASSERT_TRUE(fleet.any<Cancel>());
  fleet.end("x", silent, Outcome::kCancelled);
  EXPECT_NE(fleet.sentTo(), "");
  EXPECT_NE(fleet.sentTo(), silent);
}

TEST(FurtherAttempts, AFailedWriterIsReplacedWithoutReadingAgain) {
  Fleet fleet;
  const std::string writer = writeStarted(fleet);
  const std::string next = fleet.end("a", writer, Outcome::kError).sentTo();
  EXPECT_EQ(cellOf(next), cellOf(writer));
  EXPECT_NE(next[0], 'r');
}

TEST(FurtherAttempts, AStateThatIsGoneIsReadAgain) {
  Fleet fleet;
  const std::string writer = writeStarted(fleet);
  fleet.end("a", writer, Outcome::kFull, 1ms, false, true);
  EXPECT_EQ(fleet.sentTo()[0], 'r');
}

// Hundreds of nodes, each with a burst of its own, would turn a jam into a flood.
TEST(FurtherAttempts, ANodeThatSeesFewRequestsSparesFewRetries) {
  Fleet fleet;
  std::vector<ListEntry> boxes{engine("w0", kWriter)};
  for (int i = 0; i < 8; ++i)
    boxes.push_back(engine(numbered("r", i), kReader));
  fleet.list(boxes);
  int sends = 0;
  for (int i = 0; i < 4; ++i) {
    const std::string id = numbered("q", i);
    for (std::string at = fleet.wait(500ms).arrive(id).sentTo(); !at.empty();
         at = fleet.end(id, at, Outcome::kError).sentTo())
      ++sends;
  }
  EXPECT_GT(sends, 4);
  EXPECT_LE(sends, 4 + 3);
}

TEST(FurtherAttempts, StopAtTheLimit) {
  Settings s = plainSettings();
  s.limits.maxAttempts = 1;
  Fleet fleet(s);
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  EXPECT_FALSE(fleet.end("a", reader, Outcome::kError).any<Send>());
}

TEST(Admission, AJamSeenLongAgoDoesNotRefuseForEver) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter)});
  for (int i = 0; i < 10; ++i) {
    const std::string id = numbered("slow", i);
    fleet.arrive(id).wait(3s).end(id, "r0", Outcome::kRead, 3s);
    fleet.wait(10ms).open(id, "w0").end(id, "w0", Outcome::kServed, 20ms, true);
  }
  EXPECT_TRUE(fleet.wait(5s).arrive("later").any<Send>());
}

// Guards against asking nowhere else while the read goes on, with room beside it.
TEST(WriterChoice, ARefusedPlaceIsAskedAtTheNextWriter) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a");
  const std::string first = fleet.placeAt();
  const std::string next = fleet.give(PlaceNote{{"a"}, 0, {first}, false}).placeAt();
  ASSERT_NE(next, "");
  EXPECT_NE(next, first);
  EXPECT_EQ(cellOf(next), cellOf(first));
}

// Guards against states that wait while a mixed engine has room.
TEST(WriterChoice, AMixedEngineTakesWhatTheCellsWritersHaveNoRoomFor) {
  Fleet fleet;
  const ListEntry mixed = engine("m1", kMixed, 1);
  fleet.list({engine("r0", kReader, 0), engine("w0", kWriter, 0), mixed});
  std::string id;
  for (int i = 0; id.empty() && i < 20; ++i)
    if (fleet.arrive(numbered("a", i), numbered("p", i)).sentTo() == "r0")
      id = numbered("a", i);
  ASSERT_EQ(fleet.placeAt(), "w0");
  EXPECT_EQ(fleet.give(PlaceNote{{id}, 0, {"w0"}, false}).placeAt(), "m1");
}

TEST(WriterChoice, PlacesAreAskedThreeTimesAtMost) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a");
  int asked = 1;
  for (std::string at = fleet.placeAt(); !at.empty(); at = fleet.placeAt()) {
    fleet.give(PlaceNote{{"a"}, 0, {at}, false});
    asked += fleet.any<HoldPlace>() ? 1 : 0;
  }
  EXPECT_EQ(asked, 3);
}

// Guards against sending again to a writer that has just failed the request, place or not.
TEST(WriterChoice, AHeldPlaceThatFailedIsNotTakenAgain) {
  Fleet fleet;
  const std::string reader = fleet.list(twoCells()).arrive("a").sentTo();
  const std::string place = fleet.placeAt();
  fleet.give(PlaceNote{{"a"}, 0, {place}, true}).end("a", reader, Outcome::kRead);
  const std::string next = fleet.end("a", place, Outcome::kError).sentTo();
  EXPECT_NE(next, place);
  EXPECT_NE(next, "");
}

// Its first token came in time long ago; refused, all that was written for it would be lost.
TEST(Admission, WhoeverAsksForTheRestOfAStreamIsNotRefusedForBeingLate) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter)});
  fleet.arrive("slow", "", 6s, 1000);
  fleet.wait(900ms).end("slow", "r0", Outcome::kRead, 900ms);  // reads take most of an aim of 1 s
  ASSERT_TRUE(fleet.arrive("fresh", "", 6s, 4000).any<Refuse>());
  Arrival rest = Fleet::arrival("rest", "", 6s, 4000);
  rest.resumed = true;
  EXPECT_EQ(fleet.give(rest).sentTo(), "r0");
}

// A reader with a queue of 0.75 s, beside a writer that holds the prompts of so many open streams.
Fleet& jammedReader(Fleet& fleet, ListEntry writer, int streams) {
  fleet.list({engine("r0", kReader), std::move(writer)});
  for (int i = 0; i < streams; ++i) {
    const std::string id = numbered("stream", i);
    fleet.arrive(id, "", 6s, 10'000).wait(500ms).end(id, "r0", Outcome::kRead, 500ms);
    fleet.wait(20ms).open(id, "w0");
  }
  for (int i = 0; i < 3; ++i)
    fleet.arrive(numbered("long", i), "", 6s, 5000);
  return fleet;
}

// Guards what a read left behind: connections that never come up are no use of it, and its time
// goes on over all of them. The standing test's split day found states held for 750 ms over three
// such writers.
TEST(Release, WhatWaitsWhileConnectionsDoNotComeUpIsLetGoOfInTime) {
  Settings s = plainSettings();
  s.limits.dialTimeout = 100ms;
  Fleet fleet(s);
  fleet.list({engine("r0", kReader), engine("r1", kReader), engine("w0", kWriter),
              engine("w1", kWriter), engine("w2", kWriter), engine("w3", kWriter)});
  fleet.arrive("a");
  const std::string first = fleet.wait(50ms).end("a", fleet.sentTo(), Outcome::kRead).sentTo();
  const std::string second =
      fleet.wait(100ms).end("a", first, Outcome::kNoConnection, 100ms).sentTo();
  EXPECT_EQ(second.substr(0, 1), "w") << "there is time for another";
  EXPECT_NE(second, first);
  EXPECT_FALSE(fleet.any<Release>());
  fleet.wait(100ms).end("a", second, Outcome::kNoConnection, 100ms);
  EXPECT_TRUE(fleet.any<Release>()) << "a third that does not come up would end with the limit";
  EXPECT_NE(fleet.sentTo().substr(0, 1), "w") << "it is read anew";
}

// A dial that fails takes nearly the whole limit here: two of them and the way of the release would
// exceed it.
TEST(Release, NoSecondDialIsTriedThatWouldNotFitTheTimeOfWhatIsHeld) {
  for (const Outcome outcome : {Outcome::kNoConnection, Outcome::kNotSent}) {
    Fleet fleet;
    fleet.list({engine("r0", kReader), engine("r1", kReader), engine("w0", kWriter),
                engine("w1", kWriter)});
    fleet.arrive("a");
    const std::string first = fleet.wait(50ms).end("a", fleet.sentTo(), Outcome::kRead).sentTo();
    ASSERT_EQ(first.substr(0, 1), "w");
    fleet.wait(250ms).end("a", first, outcome, 250ms);
    EXPECT_TRUE(fleet.any<Release>());
    EXPECT_NE(fleet.sentTo().substr(0, 1), "w");
  }
}

// A refusal says that nothing is under way: the read is called off and what is held for it is let
// go of before.
TEST(Release, GoesBeforeTheRefusalOfARequestWhosePlaceIsHeld) {
  Settings s = plainSettings();
  s.resume = true;
  Fleet fleet(s);
  fleet.list({engine("r0", kReader), engine("w0", kWriter)}).arrive("a");
  ASSERT_EQ(fleet.placeAt(), "w0");
  fleet.give(PlaceNote{{"a"}, 0, {"w0"}, true}).give(Stopping{1s}).wait(1s);
  std::vector<std::string> order;
  for (const Action& action : fleet.actions()) {
    if (std::holds_alternative<Cancel>(action))
      order.emplace_back("cancel");
    if (std::holds_alternative<Release>(action))
      order.emplace_back("release");
    if (std::holds_alternative<Refuse>(action))
      order.emplace_back("refuse");
  }
  EXPECT_EQ(order, (std::vector<std::string>{"cancel", "release", "refuse"}));
}

// A writer that refused was reached: the state's time begins again with its answer.
TEST(Release, AnAnswerOfAWriterBeginsTheTimeOfAStateAnew) {
  Settings s = plainSettings();
  s.limits.dialTimeout = 100ms;
  Fleet fleet(s);
  fleet.list(
      {engine("r0", kReader), engine("w0", kWriter), engine("w1", kWriter), engine("w2", kWriter)});
  for (int i = 0; i < 10; ++i)
    fleet.serve(numbered("before", i));  // earns further attempts
  fleet.arrive("a");
  const std::string first = fleet.wait(50ms).end("a", "r0", Outcome::kRead).sentTo();
  const std::string second = fleet.wait(400ms).end("a", first, Outcome::kFull, 400ms).sentTo();
  const std::string third =
      fleet.wait(100ms).end("a", second, Outcome::kNoConnection, 100ms).sentTo();
  EXPECT_EQ(third.substr(0, 1), "w");
  EXPECT_FALSE(fleet.any<Release>());
}

// Guards a burst against being refused for want of readers while the writers have little to do.
TEST(Admission, AWriterWithRoomReadsWhatAReaderCannotReadInTime) {
  Settings s = plainSettings();
  s.writersRead = true;
  Fleet fleet(s);
  jammedReader(fleet, engine("w0", kWriter), 1).arrive("late", "", 6s, 6000);
  EXPECT_EQ(fleet.sentTo(), "w0");
  EXPECT_FALSE(fleet.any<HoldPlace>());
  fleet.wait(100ms).open("late", "w0").wait(100ms).end("late", "w0", Outcome::kServed, 200ms, true);
  for (const std::string id : {"long0", "long1"})
    fleet.end(id, "r0", Outcome::kRead, 250ms);
  EXPECT_EQ(fleet.wait(3s).arrive("calm").sentTo(), "r0");  // the ordinary path stays
}

// Guards against answers that come late because a reader's queue is long, though not too long to
// try.
TEST(Admission, AWriterWithRoomReadsWhatWouldTakeAReaderMostOfTheAim) {
  Settings s = plainSettings();
  Fleet unable(s);
  EXPECT_EQ(jammedReader(unable, engine("w0", kWriter), 1).arrive("next", "", 6s, 2000).sentTo(),
            "r0");
  s.writersRead = true;
  Fleet fleet(s);
  EXPECT_EQ(jammedReader(fleet, engine("w0", kWriter), 1).arrive("next", "", 6s, 4000).sentTo(),
            "w0");
}

// Guards the streams of writers: reading comes between their steps, and a cold one may fall over.
TEST(Admission, AWriterThatIsColdOrHoldsMuchOrCannotReadIsSparedThePrompt) {
  Settings s = plainSettings();
  Fleet unable(s);
  EXPECT_TRUE(
      jammedReader(unable, engine("w0", kWriter), 1).arrive("late", "", 6s, 6000).any<Refuse>());
  s.writersRead = true;
  Fleet laden(s);
  EXPECT_TRUE(
      jammedReader(laden, engine("w0", kWriter), 5).arrive("late", "", 6s, 6000).any<Refuse>());
  Fleet cold(s);
  EXPECT_TRUE(jammedReader(cold, coldOne("w0", kWriter, cold.now()), 1)
                  .arrive("late", "", 6s, 6000)
                  .any<Refuse>());
}

TEST(Admission, RequestsWaitBeforeTheReadWhileEveryWriterIsFull) {
  Fleet fleet;
  fleet.list({engine("r0", kReader), engine("w0", kWriter)}).arrive("a");
  fleet.give(PlaceNote{{"a"}, 0, {"w0"}, false});
  EXPECT_FALSE(fleet.arrive("b").any<Send>());
  EXPECT_TRUE(fleet.wait(200ms).any<Send>());
}

TEST(Admission, WhatWaitsPastItsUseIsRefused) {
  Fleet fleet;
  fleet.arrive("a").wait(1200ms);
  EXPECT_TRUE(fleet.any<Refuse>());
}

// ---- The end of a node

// So many streams, opened one after the other.
Fleet streaming(int count, bool resume) {
  Settings settings = plainSettings();
  settings.resume = resume;
  Fleet fleet(settings);
  fleet.list(twoCells());
  for (int i = 0; i < count; ++i) {
    const std::string id = numbered("s", i);
    const std::string reader = fleet.arrive(id).sentTo();
    const std::string writer = fleet.end(id, reader, Outcome::kRead).sentTo();
    fleet.open(id, writer).wait(10ms);
  }
  return fleet;
}

TEST(Stopping, StreamsAreHandedOverSpreadOverTheEndOfTheGraceTheYoungestFirst) {
  Fleet fleet = streaming(10, true);
  EXPECT_FALSE(fleet.give(Stopping{3700ms}).any<MoveStream>());
  EXPECT_FALSE(fleet.wait(2200ms).any<MoveStream>());
  std::vector<MoveStream> moved = fleet.wait(600ms).all<MoveStream>();
  ASSERT_GE(moved.size(), 4U);
  ASSERT_LE(moved.size(), 7U);
  EXPECT_EQ(moved.front().request.value, "s9");
  const std::size_t first = moved.size();
  moved = fleet.wait(600ms).all<MoveStream>();
  EXPECT_EQ(first + moved.size(), 10U);  // none twice, none left
}

TEST(Stopping, AMovedStreamIsNoFaultOfItsEngine) {
  Fleet fleet = streaming(1, true);
  fleet.give(Stopping{1s}).wait(990ms);
  ASSERT_TRUE(fleet.any<MoveStream>());
  fleet.end("s0", "w0", Outcome::kConnectionLost, 1s, true);
  for (const Log& log : fleet.all<Log>())
    EXPECT_EQ(log.text.find("passing over"), std::string::npos);
}

TEST(Stopping, NothingIsCutWhereClientsDoNotAskForTheRest) {
  Fleet fleet = streaming(3, false);
  EXPECT_FALSE(fleet.give(Stopping{1s}).any<MoveStream>());
  EXPECT_FALSE(fleet.wait(2s).any<MoveStream>());
}

TEST(Stopping, WhatHasNoStreamAtTheLastCallGetsItsAnswer) {
  Fleet fleet;
  fleet.list(twoCells()).arrive("a");
  fleet.give(Stopping{1s});
  EXPECT_FALSE(fleet.wait(900ms).any<Refuse>());
  EXPECT_EQ(fleet.wait(60ms).all<Refuse>().size(), 1U);
}

// ---- A fleet of many nodes: what is harmless at each and too much in sum
// ---------------------------

Settings manyNodes(int nodes) {
  Settings s = plainSettings();
  s.nodes = nodes;
  return s;
}

std::vector<Fleet> nodesOf(const Settings& settings, const std::vector<ListEntry>& list) {
  std::vector<Fleet> nodes;
  for (int i = 0; i < settings.nodes; ++i)
    nodes.emplace_back(settings, static_cast<std::uint64_t>(i));
  for (Fleet& node : nodes)
    node.list(list);
  return nodes;
}

std::vector<ListEntry> readersAndWriters(int each) {
  std::vector<ListEntry> list;
  for (int i = 0; i < each; ++i)
    list.push_back(engine(numbered("r", i), kReader));
  for (int i = 0; i < each; ++i)
    list.push_back(engine(numbered("w", i), kWriter));
  return list;
}

// One request; whether it was read, in a fleet whose readers all have their queues full, or none.
bool readOnce(Fleet& node, const std::string& id, bool jam) {
  std::string at = node.wait(400ms).arrive(id, id).sentTo();
  const bool tried = !at.empty();
  while (!at.empty() && jam)
    at = node.end(id, at, Outcome::kFull, 1ms).sentTo();
  if (at.empty())
    return tried;
  const std::string writer = node.wait(20ms).end(id, at, Outcome::kRead, 20ms).sentTo();
  node.wait(10ms).open(id, writer).wait(10ms).end(id, writer, Outcome::kServed, 20ms, true);
  return true;
}

// Guards against many nodes that keep readers jammed together, and against one that never sees the
// end of it.
TEST(ManyNodes, ReadLittleWhereNothingIsReadInTimeAndAllAgainAfterwards) {
  int tried = 0, after = 0;
  for (Fleet& node : nodesOf(manyNodes(100), readersAndWriters(12))) {
    for (int i = 0; i < 20; ++i)
      tried += readOnce(node, numbered("a", i), true) ? 1 : 0;
    for (int i = 0; i < 40; ++i)
      after += readOnce(node, numbered("b", i), false) && i >= 20 ? 1 : 0;
  }
  EXPECT_LT(tried, 100 * 20 / 2);
  EXPECT_GT(tried, 100);
  EXPECT_GT(after, 100 * 20 * 0.95);
}

TEST(ManyNodes, AFewThatKnowEachReaderGoByThat) {
  for (Fleet& node : nodesOf(manyNodes(2), readersAndWriters(2)))
    for (int i = 0; i < 20; ++i)
      EXPECT_TRUE(readOnce(node, numbered("a", i), true)) << i;
}

// Guards cold engines on both sides: a node that comes by seldom must not wait for its whole part
// of the budget, and the nodes together must not send all at once.
TEST(ManyNodes, SomeOfThemSendToAColdEngineAtOnce) {
  int cold = 0, key = 0;
  for (Fleet& node : nodesOf(manyNodes(300), readersAndWriters(2))) {
    node.list({coldOne("rc", kReader, node.now())}, ListForm::kChanges);
    for (int i = 0; i < 6; ++i, ++key)
      cold += node.wait(10ms).arrive(numbered("a", i), numbered("p", key)).sentTo() == "rc" ? 1 : 0;
  }
  EXPECT_GT(cold, 15);
  EXPECT_LT(cold, 300 * 0.35);
}

// Guards the writers: each of many nodes sees them idle and would have them read all that readers
// cannot. A few nodes see for themselves what is read there.
TEST(ManyNodes, HaveWritersReadForAPartOfTheirTimeAlone) {
  const auto readAtWriters = [](int nodes) {
    Settings s = manyNodes(nodes);
    s.writersRead = true;
    s.kinds[kWriter].memoryTokens = 1e9;  // so that it is not room that they lack
    int reads = 0;
    Fleet node(s);
    jammedReader(node, engine("w0", kWriter), 1)
        .end("stream0", "w0", Outcome::kServed, 600ms, true);
    for (int i = 0; i < 10; ++i) {
      const std::string id = numbered("late", i);
      if (node.arrive(id, "", 6s, 6000).sentTo() != "w0")
        continue;
      ++reads;
      node.wait(10ms).open(id, "w0").wait(10ms).end(id, "w0", Outcome::kServed, 20ms, true);
    }
    return reads;
  };
  EXPECT_EQ(readAtWriters(2), 10);
  EXPECT_LE(readAtWriters(100), 1);
}

TEST(OddInput, EventsForWhatIsNotHeldArePassedOver) {
  Fleet fleet;
  fleet.list(twoCells());
  fleet.give(StreamOpened{{"nobody"}, 3, {"r0"}, 1ms});
  EXPECT_TRUE(fleet.actions().empty());
  fleet.give(PlaceNote{{"nobody"}, 0, {"w0"}, true});
  EXPECT_TRUE(fleet.actions().empty());
  fleet.give(Lapsed{{"nobody"}}).give(AlarmRang{999}).give(PeerMessage{0, "\x01zz"});
  EXPECT_FALSE(fleet.any<Send>());
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  auto play = [] {
    Fleet fleet;
    fleet.list(twoCells());
    std::string trace;
    for (int i = 0; i < 20; ++i)
      trace += fleet.arrive(numbered("a", i)).sentTo() + fleet.placeAt() + ' ';
    return trace;
  };
  EXPECT_EQ(play(), play());
}

// A moment without connections fails whatever is out at once: one failure, not one for each that
// doubles the pause again.
TEST(Failures, DialsThatAreOutTogetherLeaveAnEngineOutForOnePause) {
  Settings s = plainSettings();
  s.limits.maxAttempts = 2;
  Fleet fleet(s);
  fleet.list({engine("r", kReader), engine("w", kWriter)});
  const std::vector<std::string> ids{"a", "b", "c", "d"};
  for (const std::string& id : ids)
    EXPECT_EQ(fleet.arrive(id).wait(5ms).end(id, "r", Outcome::kRead).sentTo(), "w");
  fleet.wait(250ms);
  for (const std::string& id : ids)
    EXPECT_TRUE(fleet.end(id, "w", Outcome::kNoConnection).any<Refuse>());
  EXPECT_FALSE(
      fleet.wait(900ms).arrive("next").wait(5ms).end("next", "r", Outcome::kRead).any<Send>());
  EXPECT_EQ(fleet.wait(200ms).sentTo(), "w")
      << "the pause of a second is over, and was not doubled";
}

}  // namespace
}  // namespace inference_router::routing
