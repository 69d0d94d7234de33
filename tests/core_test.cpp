// The core alone: tables, deadlines, and the router between a real module and instances that the
// test plays.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>

#include "core/config_reader.h"
#include "core/request_dispatcher.h"
#include "fleet.h"

namespace inference_router::core {
namespace {

using namespace inference_router::routing;

TEST(SlotTable, AKeyThatWasKeptTooLongFindsNothing) {
  SlotTable<int> slots;
  const SlotKey first = slots.add(1);
  ASSERT_TRUE(slots.remove(first));
  const SlotKey second = slots.add(2);
  EXPECT_EQ(first.slot, second.slot);
  EXPECT_EQ(slots.find(first), nullptr);
  EXPECT_EQ(*slots.find(second), 2);
  EXPECT_FALSE(slots.remove(first));
}

TEST(TimerQueue, RunsInOrderWhatIsDueAgainstAModel) {
  std::mt19937 random(11);
  TimerQueue timers;
  std::map<std::pair<double, int>, Timer> model;  // by time, then order of addition
  std::vector<int> ran, expected;
  double now = 0;
  for (int step = 0; step < 3000; ++step) {
    if (random() % 3 != 0) {
      const double dueMs = now + static_cast<double>(random() % 50);
      model[{dueMs, step}] = timers.schedule(dueMs, [&ran, step] { ran.push_back(step); });
    } else if (random() % 2 == 0 && !model.empty()) {
      const auto cancelled = std::next(model.begin(), random() % model.size());
      cancelled->second.cancel();
      model.erase(cancelled);
    } else {
      now += random() % 20;
      timers.runDue(now);
      while (!model.empty() && model.begin()->first.first <= now) {
        EXPECT_FALSE(model.begin()->second.armed());
        expected.push_back(model.begin()->first.second);
        model.erase(model.begin());
      }
    }
    ASSERT_EQ(ran, expected);
    ASSERT_EQ(timers.next().has_value(), !model.empty());
  }
}

TEST(TimerQueue, WhatIsAddedWhileItRunsWaitsForTheNextRun) {
  TimerQueue timers;
  int ran = 0;
  std::function<void()> reschedule = [&] {
    ++ran;
    timers.runAt(0, reschedule);
  };
  timers.runAt(0, reschedule);
  timers.runDue(1);
  EXPECT_EQ(ran, 1);
}

TEST(Timer, RunsItsTaskOnceAndIsDisarmedFromTheMomentItBegins) {
  TimerQueue timers;
  int ran = 0;
  bool armedWithin = true;
  Timer timer;
  EXPECT_FALSE(timer.armed());
  timer = timers.schedule(10, [&] {
    ++ran;
    armedWithin = timer.armed();
  });
  EXPECT_TRUE(timer.armed());
  timers.runDue(9);
  EXPECT_EQ(ran, 0);
  timers.runDue(10);
  timers.runDue(11);
  EXPECT_EQ(ran, 1);
  EXPECT_FALSE(armedWithin);
  EXPECT_FALSE(timer.armed());
}

TEST(Timer, CancelsAsItIsDestroyedAssignedToOrCancelled) {
  TimerQueue timers;
  std::string ran;
  {
    const Timer destroyed = timers.schedule(1, [&] { ran += "destroyed "; });
  }
  Timer assigned = timers.schedule(1, [&] { ran += "replaced "; });
  assigned = timers.schedule(1, [&] { ran += "last"; });
  Timer cancelled = timers.schedule(1, [&] { ran += "cancelled "; });
  cancelled.cancel();
  cancelled.cancel();
  EXPECT_FALSE(cancelled.armed());
  timers.runDue(1);
  EXPECT_EQ(ran, "last");
  EXPECT_FALSE(timers.next().has_value());
}

TEST(Timer, PassesItsTaskOnAsItIsMoved) {
  TimerQueue timers;
  int ran = 0;
  Timer second;
  {
    Timer first = timers.schedule(1, [&] { ++ran; });
    second = std::move(first);
  }
  Timer third(std::move(second));
  EXPECT_TRUE(third.armed());
  timers.runDue(1);
  EXPECT_EQ(ran, 1);
  EXPECT_FALSE(third.armed());
}

TEST(Timer, MayOutliveItsQueue) {
  int ran = 0;
  Timer timer;
  {
    TimerQueue timers;
    timer = timers.schedule(1, [&] { ++ran; });
  }
  EXPECT_FALSE(timer.armed());
  timer.cancel();
  EXPECT_EQ(ran, 0);
}

TEST(ConfigReader, ErrorsNameThePathAndTheReason) {
  const nlohmann::json file = {{"store", {{"path", 5}, {"ports", {1, -2}}}}};
  const ConfigReader store = ConfigReader(file).at("store");
  const auto errorOf = [](const auto& read) {
    try {
      read();
    } catch (const ConfigError& error) {
      return error.path() + "|" + error.reason() + "|" + error.what();
    }
    return std::string("no error");
  };
  EXPECT_EQ(errorOf([&] { store.at("kind"); }), "store.kind|is missing|store.kind is missing");
  EXPECT_EQ(errorOf([&] { store.at("path").as<std::string>(); }),
            "store.path|is not a text|store.path is not a text");
  EXPECT_EQ(errorOf([&] { store.at("ports").list().at(1).as<unsigned>(); }),
            "store.ports[1]|is not a whole number of 0 or more|"
            "store.ports[1] is not a whole number of 0 or more");
  EXPECT_EQ(errorOf([&] { store.only({"path"}); }),
            "store.ports|is not known here|store.ports is not known here");
  EXPECT_EQ(errorOf([&] { ConfigReader(file).list(); }), "|is not a list|the file is not a list");
}

struct Client final : ResponseWriter {
  int refused = 0, failed = 0, ended = 0, broke = 0;
  bool late = false;
  std::string text;
  void refuse(const Refusal& refusal) override {
    ++refused;
    late = refusal.pastDeadline;
  }
  void fail(const Failure& failure) override {
    ++failed;
    late = failure.pastDeadline;
  }
  bool pass(std::string_view part) override {
    text += part;
    return true;
  }
  void end() override { ++ended; }
  void broken() override { ++broke; }
  int finals() const { return refused + failed + ended + broke; }
};

struct PlayedInstances final : InstanceClient {
  std::vector<Dispatch> out;
  int started = 0, abandoned = 0, places = 0;
  std::vector<RequestId> released;
  void start(const Dispatch& dispatch) override {
    ++started;
    out.push_back(dispatch);
  }
  void abandon(AttemptKey key) override { abandoned += drop(key); }
  void resume(AttemptKey) override {}
  bool more = false;  // of an answer has come than was passed on
  bool hasUnreadResponse(AttemptKey) const override { return more; }
  void reserve(const RequestId&, AttemptKey, const InstanceId&) override { ++places; }
  void release(const RequestId& request) override { released.push_back(request); }
  void checkHealth(const InstanceId&) override {}
  int drop(AttemptKey key) {
    return static_cast<int>(
        std::erase_if(out, [&](const Dispatch& d) { return d.attempt == key; }));
  }
};

struct Play {
  explicit Play(Settings settings = plainSettings())
      : dispatcher(settings, 7, clock, timers, counters) {
    dispatcher.connect(instances);
    dispatcher.onAction(
        [this](const Action& action) { sends += std::holds_alternative<DispatchAttempt>(action); });
  }
  void list(EndpointState writer = EndpointState::kActive) {
    EndpointRecord two = endpoint("writer", kDecode);
    two.state = writer;
    dispatcher.list({++version, EndpointListForm::kFull, {endpoint("reader", kPrefill), two}});
  }
  std::shared_ptr<Client> take(const std::string& id) {
    const auto client = std::make_shared<Client>();
    const auto key = dispatcher.submit(Fleet::arrival(id), std::make_shared<Payload>(), client);
    if (!key)
      return nullptr;
    keys[id] = *key;
    return client;
  }
  void end(AttemptOutcome outcome) {
    const Dispatch dispatch = instances.out.back();
    instances.drop(dispatch.attempt);
    dispatcher.attemptEnded(dispatch.attempt, {outcome});
  }
  void pass(double ms) {
    clock.advance(ms);
    timers.runDue(clock.nowMs());
  }

  ManualClock clock;
  TimerQueue timers;
  Counters counters;
  PlayedInstances instances;
  RequestDispatcher dispatcher;
  std::map<std::string, RequestKey> keys;
  std::uint64_t version = 0;
  int sends = 0;
};

TEST(RequestDispatcher, ServesThroughReaderAndWriterWithOneFinalAnswer) {
  Play play;
  play.list();
  const auto client = play.take("a");
  ASSERT_EQ(play.instances.out.back().instance.value, "reader");
  EXPECT_EQ(play.instances.places, 1);
  play.end(AttemptOutcome::kPrefilled);
  ASSERT_EQ(play.instances.out.back().instance.value, "writer");
  play.dispatcher.responseReceived(play.instances.out.back().attempt, "one");
  play.dispatcher.responseReceived(play.instances.out.back().attempt, "two");
  EXPECT_EQ(client->text, "onetwo");
  play.end(AttemptOutcome::kServed);
  EXPECT_EQ(client->ended, 1);
  EXPECT_EQ(client->finals(), 1);
  EXPECT_EQ(play.dispatcher.open(), 0U);
}

TEST(RequestDispatcher, AStreamThatBreaksEndsTheRequestAndIsNotSentAgain) {
  Play play;
  play.list();
  const auto client = play.take("a");
  play.end(AttemptOutcome::kPrefilled);
  play.dispatcher.responseReceived(play.instances.out.back().attempt, "one");
  play.end(AttemptOutcome::kConnectionLost);
  EXPECT_EQ(client->broke, 1);
  play.pass(10'000);
  EXPECT_EQ(client->finals(), 1);
  EXPECT_EQ(play.sends, 2);
}

// A stream that opens when all others have been handed over moves too, but not before its first
// event is out.
TEST(RequestDispatcher, AStreamThatMovesAtOnceHasPassedItsFirstEvent) {
  Settings settings = plainSettings();
  settings.streamResumption = true;
  Play play(settings);
  play.list();
  const auto client = play.take("a");
  play.end(AttemptOutcome::kPrefilled);
  play.dispatcher.stopping(1000);
  play.clock.advance(910);  // late in the grace, and no alarm has rung yet
  play.dispatcher.responseReceived(play.instances.out.back().attempt, "one");
  EXPECT_EQ(client->text, "one");
  EXPECT_EQ(client->broke, 1);
  EXPECT_EQ(client->finals(), 1);
}

// A stream whose end has come already, and is not passed on yet as it is to move, is passed on to
// its end. One whose client does not read holds up the move for a tenth of a second and no longer.
TEST(RequestDispatcher, AStreamThatIsToMovePassesOnFirstWhatHasCome) {
  for (const bool finishes : {true, false}) {
    Settings settings = plainSettings();
    settings.streamResumption = true;
    Play play(settings);
    play.list();
    const auto client = play.take("a");
    play.end(AttemptOutcome::kPrefilled);
    play.instances.more = true;
    play.dispatcher.stopping(1000);
    play.clock.advance(910);
    play.dispatcher.responseReceived(play.instances.out.back().attempt, "one");
    play.pass(6);
    EXPECT_EQ(client->finals(), 0);
    if (finishes) {
      play.dispatcher.responseReceived(play.instances.out.back().attempt, "two");
      play.end(AttemptOutcome::kServed);
    }
    for (int i = 0; i < 20; ++i)
      play.pass(6);
    EXPECT_EQ(client->ended, finishes ? 1 : 0);
    EXPECT_EQ(client->broke, finishes ? 0 : 1);
  }
}

TEST(RequestDispatcher, AClientThatGoesTakesItsAttemptsAndWhatIsHeldWithIt) {
  Play play;
  play.list();
  const auto client = play.take("a");
  play.dispatcher.clientDisconnected(play.keys["a"]);
  EXPECT_TRUE(play.instances.out.empty());
  EXPECT_FALSE(play.instances.released.empty());
  EXPECT_EQ(client->finals(), 0);
  EXPECT_EQ(play.dispatcher.open(), 0U);
}

TEST(RequestDispatcher, AnIdThatIsUnderWayIsNotTakenTwice) {
  Play play;
  play.list();
  ASSERT_NE(play.take("a"), nullptr);
  EXPECT_EQ(play.take("a"), nullptr);
  EXPECT_EQ(play.dispatcher.open(), 1U);
}

TEST(RequestDispatcher, ASendThatWaitedIsCheckedForDrainAndDeadline) {
  Settings settings = plainSettings();
  settings.limits.cancel = false;
  Play play(settings);
  play.list();
  play.take("a");
  play.end(AttemptOutcome::kPrefilled);
  const AttemptKey key = play.instances.out.back().attempt;
  EXPECT_TRUE(play.dispatcher.maySend(key));
  play.list(EndpointState::kDraining);
  play.clock.advance(790);
  EXPECT_TRUE(play.dispatcher.maySend(key));
  EXPECT_TRUE(play.dispatcher.mayReserve({"writer"}));
  play.clock.advance(20);
  EXPECT_FALSE(play.dispatcher.maySend(key));
  EXPECT_FALSE(play.dispatcher.mayReserve({"writer"}));
  play.list();
  EXPECT_TRUE(play.dispatcher.maySend(key));
  play.clock.advance(6000);
  EXPECT_FALSE(play.dispatcher.maySend(key));
}

TEST(RequestDispatcher, AnAttemptPastItsTimeIsAbandonedAndTheClientToldThatItWasLate) {
  Settings settings = plainSettings();
  settings.classes[0].effect = Effect::kAtMostOnce;
  Play play(settings);
  play.list();
  const auto client = play.take("a");
  play.end(AttemptOutcome::kPrefilled);
  play.pass(6000);
  EXPECT_EQ(client->failed, 1);
  EXPECT_TRUE(client->late);
  EXPECT_EQ(play.instances.abandoned, 1);
}

// Whatever comes in whatever order: one final answer for each client that stays, none for one that
// is gone, and one end for every send. A request that must not run twice, under every order of
// outcomes and troubles up to four: what its instances saw is held against what its client is told.
// An attempt at a decode instance that ended without a proof may have run, and so may one that was
// let go of while it was out.
struct AtMostOnce final : InstanceClient {
  std::map<std::uint32_t, Dispatch> out;
  std::string broken;
  bool mayHaveRun = false;
  int started = 0;

  static bool writes(const Dispatch& dispatch) { return dispatch.instance.value[0] == 'w'; }
  void start(const Dispatch& dispatch) override {
    ++started;
    if (mayHaveRun)
      broken += "sent after an attempt that may have run; ";
    if (!out.empty())
      broken += "a second copy; ";
    out[dispatch.attempt.slot] = dispatch;
  }
  void abandon(AttemptKey key) override {
    const auto it = out.find(key.slot);
    if (it == out.end() || it->second.attempt != key)
      return;
    mayHaveRun = mayHaveRun || writes(it->second);
    out.erase(it);
  }
  void ends(RequestDispatcher& dispatcher, AttemptOutcome outcome) {
    if (out.empty())
      return;
    const Dispatch dispatch = out.begin()->second;
    const bool proof = outcome == AttemptOutcome::kRejected ||
                       outcome == AttemptOutcome::kConnectFailed ||
                       outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kPrefilled;
    mayHaveRun = mayHaveRun || (writes(dispatch) && !proof);
    out.erase(out.begin());
    dispatcher.attemptEnded(dispatch.attempt, {outcome});
  }
  void resume(AttemptKey) override {}
  bool hasUnreadResponse(AttemptKey) const override { return false; }
  void reserve(const RequestId&, AttemptKey, const InstanceId&) override {}
  void release(const RequestId&) override {}
  void checkHealth(const InstanceId&) override {}
};

TEST(ARequestThatMustNotRunTwice, IsNeitherRefusedNorSentAgainOnceItMayHaveRun) {
  constexpr std::array kOutcomes{AttemptOutcome::kPrefilled,     AttemptOutcome::kError,
                                 AttemptOutcome::kRejected,      AttemptOutcome::kTimeout,
                                 AttemptOutcome::kConnectFailed, AttemptOutcome::kConnectionLost,
                                 AttemptOutcome::kNotSent};
  constexpr std::size_t kOthers = 7, kLetters = kOutcomes.size() + kOthers, kLength = 4;
  std::size_t words = 1, refused = 0, failed = 0;
  for (std::size_t i = 0; i < kLength; ++i)
    words *= kLetters;
  for (std::size_t word = 0; word < words; ++word) {
    Settings settings = plainSettings();
    settings.classes[0].effect = Effect::kAtMostOnce;
    settings.decodeCanPrefill = word % 2 == 0;
    settings.streamResumption = true;
    ManualClock clock;
    TimerQueue timers;
    Counters counters;
    AtMostOnce instances;
    RequestDispatcher dispatcher(settings, 7, clock, timers, counters);
    dispatcher.connect(instances);
    std::uint64_t version = 0;
    const auto list = [&](EndpointListForm form, std::vector<EndpointRecord> entries) {
      dispatcher.list({++version, form, std::move(entries)});
    };
    list(EndpointListForm::kFull, {endpoint("r1", kPrefill), endpoint("r2", kPrefill),
                                   endpoint("w1", kDecode), endpoint("w2", kDecode)});
    const auto client = std::make_shared<Client>();
    Arrival told = Fleet::arrival("a");
    told.resumed = word % 3 == 0;
    const auto key = dispatcher.submit(told, std::make_shared<Payload>(), client);
    std::string course;
    bool refusedInOrder = true;
    std::size_t rest = word;
    for (std::size_t i = 0; i < kLength; ++i, rest /= kLetters) {
      const std::size_t letter = rest % kLetters;
      course += std::to_string(letter) + " ";
      const bool ranBefore = instances.mayHaveRun;
      const int refusedBefore = client->refused;
      const auto pass = [&](double ms) {
        clock.advance(ms);
        timers.runDue(clock.nowMs());
      };
      if (letter < kOutcomes.size())
        instances.ends(dispatcher, kOutcomes[letter]);
      else if (letter == kOutcomes.size())
        pass(20);
      else if (letter == kOutcomes.size() + 1)
        pass(2500);
      else if (letter == kOutcomes.size() + 2)
        dispatcher.stopping(100);
      else if (letter == kOutcomes.size() + 3)
        dispatcher.clientDisconnected(*key);
      else if (letter == kOutcomes.size() + 4) {
        if (!instances.out.empty())
          dispatcher.responseReceived(instances.out.begin()->second.attempt, "event");
      } else {
        EndpointRecord gone = endpoint(letter == kOutcomes.size() + 5 ? "w1" : "r1",
                                       letter == kOutcomes.size() + 5 ? kDecode : kPrefill);
        gone.state = EndpointState::kDraining;
        list(EndpointListForm::kChanges, {gone});
      }
      // Refused by what came before this step, or by the step itself.
      if (client->refused > refusedBefore && (ranBefore || instances.mayHaveRun))
        refusedInOrder = false;
    }
    ASSERT_EQ(instances.broken, "") << course;
    ASSERT_TRUE(refusedInOrder) << course;
    ASSERT_LE(client->finals(), 1) << course;
    refused += client->refused > 0;
    failed += client->failed > 0;
  }
  EXPECT_GT(refused, 0U);
  EXPECT_GT(failed, 0U);
}

// Operators see of each refusal what was known of its last attempt, and whether that was at an
// instance that only reads.
TEST(RequestDispatcher, CountsRefusalsByWhatWasKnownOfTheLastAttempt) {
  Play play;
  const auto none = play.take("nothing sent");  // no instance at all
  play.pass(10'000);
  play.list();
  const auto read = play.take("read");
  while (read->finals() == 0 && !play.instances.out.empty())
    play.end(AttemptOutcome::kError);
  play.pass(10'000);
  ASSERT_EQ(read->refused, 1);
  std::uint64_t sum = 0;
  for (const auto& [name, value] : play.counters.all())
    if (name.rfind("requests.refused_after.", 0) == 0)
      sum += value;
  EXPECT_EQ(sum, play.counters["requests.refused"]);
  EXPECT_EQ(play.counters["requests.refused_after.error_reading"], 1U);
}

TEST(RequestDispatcher, KeepsItsInvariantsWhateverHappens) {
  constexpr AttemptOutcome kOutcomes[] = {
      AttemptOutcome::kServed,        AttemptOutcome::kError,     AttemptOutcome::kRejected,
      AttemptOutcome::kConnectFailed, AttemptOutcome::kPrefilled, AttemptOutcome::kConnectionLost,
      AttemptOutcome::kPrefilled,     AttemptOutcome::kPrefilled};
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    Settings settings = plainSettings();
    if (seed % 2 == 0)
      settings.classes[0].effect = Effect::kAtMostOnce;
    Play play(settings);
    play.list();
    std::map<std::string, std::shared_ptr<Client>> clients;
    std::map<std::string, int> goneWith;
    for (int step = 0; step < 400; ++step) {
      const unsigned what = random() % 10;
      if (what < 2) {
        const std::string id = "r" + std::to_string(step);
        clients[id] = play.take(id);
      } else if (what == 2 && !clients.empty()) {
        const auto& [id, client] = *std::next(clients.begin(), random() % clients.size());
        if (goneWith.count(id) == 0) {
          goneWith[id] = client->finals();
          play.dispatcher.clientDisconnected(play.keys[id]);
        }
      } else if (what == 3) {
        play.list(random() % 4 == 0 ? EndpointState::kDraining : EndpointState::kActive);
      } else if (what < 6) {
        play.pass(static_cast<double>(random() % 400));
      } else if (!play.instances.out.empty()) {
        const Dispatch dispatch = play.instances.out[random() % play.instances.out.size()];
        const bool writes = dispatch.instance.value == "writer";
        if (writes && random() % 2 == 0) {
          play.dispatcher.responseReceived(dispatch.attempt, "x");
        } else {
          AttemptOutcome outcome = kOutcomes[random() % std::size(kOutcomes)];
          if (writes == (outcome == AttemptOutcome::kPrefilled))
            outcome = writes ? AttemptOutcome::kServed : AttemptOutcome::kPrefilled;
          play.instances.drop(dispatch.attempt);
          play.dispatcher.attemptEnded(dispatch.attempt, {outcome});
          play.dispatcher.attemptEnded(dispatch.attempt,
                                       {outcome});  // a second end must change nothing
        }
      }
      for (const auto& [id, client] : clients)
        ASSERT_LE(client->finals(), 1) << id;
    }
    while (!play.instances.out.empty())
      play.end(AttemptOutcome::kConnectionLost);
    for (int i = 0; i < 900; ++i)
      play.pass(10);
    while (!play.instances.out.empty())
      play.end(AttemptOutcome::kConnectionLost);
    std::uint64_t ends = 0;
    for (const auto& [name, value] : play.counters.all())
      if (name.rfind("attempts.", 0) == 0 && name != "attempts.sent")
        ends += value;
    EXPECT_EQ(ends, play.counters["attempts.sent"]);
    EXPECT_EQ(play.dispatcher.open(), 0U);
    const ClassMetrics& metrics = play.dispatcher.metrics().byClass()[0];
    EXPECT_EQ(metrics.taken, clients.size());
    EXPECT_EQ(metrics.taken, metrics.ok + metrics.shed + metrics.errors + metrics.abandoned);
    EXPECT_EQ(metrics.ok, play.counters["requests.served"]);
    EXPECT_EQ(metrics.shed, play.counters["requests.refused"]);
    EXPECT_EQ(metrics.abandoned, play.counters["requests.client_gone"]);
    for (const auto& [id, client] : clients) {
      const auto gone = goneWith.find(id);
      EXPECT_EQ(client->finals(), gone == goneWith.end() ? 1 : gone->second) << id;
    }
  }
}

}  // namespace
}  // namespace inference_router::core
