// What operators use: marks and the effective membership, their calls and the door, figures,
// evacuation, and the folder that two processes of one router share.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <set>

#include "app/shared_folder.h"
#include "control/commands.h"
#include "coordination/plan.h"
#include "fleet/membership.h"
#include "net/line_server.h"
#include "router_harness.h"
#include "support/program.h"

namespace inference_router {
namespace {

using namespace inference_router::routing;
using fleet::Exclusions;
using fleet::Membership;

// ---- Exclusions
// -----------------------------------------------------------------------------------------

// Whoever hears what in whatever order and however often: in the end all say the same, and the last
// word counts.
TEST(MarksOfOperators, MergeToTheSameInWhateverOrder) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    std::vector<Exclusions> writers(3);
    std::vector<Exclusions> said;
    for (int step = 0; step < 60; ++step) {
      const std::size_t who = random() % writers.size();
      writers[who].set(numbered("i", static_cast<int>(random() % 5)), random() % 2 == 0, who, step);
      said.push_back(writers[who]);
      if (random() % 3 == 0)
        writers[random() % writers.size()].merge(said[random() % said.size()]);
    }
    Exclusions forwards, backwards;
    for (const Exclusions& exclusions : said)
      forwards.merge(exclusions);
    for (auto it = said.rbegin(); it != said.rend(); ++it)
      backwards.merge(*it);
    EXPECT_EQ(forwards, backwards);
    EXPECT_TRUE(forwards.merge(backwards).empty());
    EXPECT_EQ(Exclusions::parse(forwards.serialize()), forwards);
  }
}

TEST(MarksOfOperators, ADamagedOrForeignTextIsNoMarks) {
  Exclusions exclusions;
  exclusions.set("a", true, 1, 5);
  exclusions.set("b", false, 1, 6);
  const std::string text = exclusions.serialize();
  for (std::size_t cut = 0; cut + 2 < text.size(); ++cut)
    EXPECT_FALSE(Exclusions::parse(text.substr(0, cut)));
  for (const char* other : {"{}", "[]", "null", R"({"form":"dahliastall-marks-2","marks":[]})",
                            R"({"form":"dahliastall-marks-1","marks":[{"id":"a"}]})",
                            R"({"form":"dahliastall-marks-1","marks":{}})"})
    EXPECT_FALSE(Exclusions::parse(other)) << other;
}

TEST(MarksOfOperators, ATableThatIsFullTakesNoMoreAndKeepsWhatItHas) {
  Exclusions exclusions;
  for (std::size_t i = 0; i < Exclusions::kMaxEntries; ++i)
    ASSERT_TRUE(exclusions.set(numbered("i", static_cast<int>(i)), true, 1, 0));
  EXPECT_FALSE(exclusions.set("one more", true, 1, 0));
  EXPECT_TRUE(exclusions.set("i7", false, 1, 0));
  EXPECT_EQ(exclusions.size(), Exclusions::kMaxEntries);
}

// ---- Membership
// ------------------------------------------------------------------------------------

EndpointState presenceIn(const std::optional<EndpointListUpdate>& news, const std::string& id) {
  if (news)
    for (const EndpointRecord& entry : news->entries)
      if (entry.instance.value == id)
        return entry.state;
  ADD_FAILURE() << id << " is not in the news";
  return EndpointState::kRemoved;
}

EndpointListUpdate listOf(EndpointListForm form, std::vector<EndpointRecord> entries) {
  return {1, form, std::move(entries)};
}

TEST(EffectiveMembership, AnExcludedInstanceLeavesWhateverDiscoverySays) {
  Membership members(1);
  members.applyUpdate(
      listOf(EndpointListForm::kFull, {endpoint("a", kPrefill), endpoint("b", kDecode)}), 0);
  const auto out = members.exclude("a", 10);
  EXPECT_EQ(out.result, Membership::Result::kDone);
  EXPECT_EQ(presenceIn(out.update, "a"), EndpointState::kDraining);
  // Restarted, announced anew, listed anew: still out.
  EndpointRecord restarted = endpoint("a", kPrefill);
  restarted.started = core::toModuleTime(50);
  EXPECT_EQ(
      presenceIn(members.applyUpdate(listOf(EndpointListForm::kChanges, {restarted}), 60), "a"),
      EndpointState::kDraining);
  EXPECT_EQ(
      presenceIn(members.applyUpdate(
                     listOf(EndpointListForm::kFull, {restarted, endpoint("b", kDecode)}), 70),
                 "a"),
      EndpointState::kDraining);
  EXPECT_EQ(
      presenceIn(members.applyUpdate(
                     listOf(EndpointListForm::kFull, {restarted, endpoint("b", kDecode)}), 70),
                 "b"),
      EndpointState::kActive);
}

TEST(EffectiveMembership, TwoCallsOutNeedOneCallBackAndItComesBackCold) {
  Membership members(1);
  members.applyUpdate(listOf(EndpointListForm::kFull, {endpoint("a", kPrefill)}), 0);
  members.exclude("a", 10);
  const auto again = members.exclude("a", 20);
  EXPECT_EQ(again.result, Membership::Result::kDone);
  EXPECT_FALSE(again.update);
  const auto back = members.include("a", 30);
  ASSERT_EQ(presenceIn(back.update, "a"), EndpointState::kActive);
  EXPECT_EQ(back.update->entries[0].started, core::toModuleTime(30));
  // Whatever the list says of its start later does not make it warm; a later start counts.
  const auto later =
      members.applyUpdate(listOf(EndpointListForm::kChanges, {endpoint("a", kPrefill)}), 40);
  EXPECT_EQ(later.entries[0].started, core::toModuleTime(30));
  // Included once more, it stays as warm as it has become.
  EXPECT_FALSE(members.include("a", 5000).update);
}

TEST(EffectiveMembership, AnIdThatNobodyHasIsUnknownAndChangesNothing) {
  Membership members(1);
  members.applyUpdate(listOf(EndpointListForm::kFull, {endpoint("a", kPrefill)}), 0);
  for (const std::string& id : {std::string("nobody"), std::string(), std::string(1000, 'x')}) {
    EXPECT_EQ(members.exclude(id, 1).result, Membership::Result::kUnknownInstance);
    EXPECT_EQ(members.include(id, 1).result, Membership::Result::kUnknownInstance);
  }
  EXPECT_EQ(members.exclusions().size(), 0U);
}

TEST(EffectiveMembership, AnInstanceUnderRepairMayBeOffTheListButNotForGood) {
  Membership members(1);
  members.applyUpdate(
      listOf(EndpointListForm::kFull, {endpoint("a", kPrefill), endpoint("b", kPrefill)}), 0);
  members.exclude("a", 0);
  members.applyUpdate(listOf(EndpointListForm::kFull, {endpoint("b", kPrefill)}), 1000);
  EXPECT_EQ(members.exclude("a", 1500).result, Membership::Result::kDone);
  EXPECT_EQ(presenceIn(members.applyUpdate(
                           listOf(EndpointListForm::kChanges, {endpoint("a", kPrefill)}), 2000),
                       "a"),
            EndpointState::kDraining);
  members.applyUpdate(listOf(EndpointListForm::kFull, {endpoint("b", kPrefill)}), 3000);
  for (double now = 3000; now < 3 * 3'600'000; now += 60'000)
    members.prune(now);
  EXPECT_EQ(members.exclusions().size(), 0U);
}

TEST(EffectiveMembership, WhatAnotherProcessWasToldHoldsHereToo) {
  Membership one(1), two(2);
  for (Membership* members : {&one, &two})
    members->applyUpdate(listOf(EndpointListForm::kFull, {endpoint("a", kPrefill)}), 0);
  one.exclude("a", 10);
  EXPECT_EQ(presenceIn(two.merge(one.exclusions()), "a"), EndpointState::kDraining);
  EXPECT_FALSE(two.merge(one.exclusions()));
  const auto back = two.include("a", 20);
  EXPECT_EQ(presenceIn(back.update, "a"), EndpointState::kActive);
  const auto news = one.merge(two.exclusions());
  EXPECT_EQ(presenceIn(news, "a"), EndpointState::kActive);
  EXPECT_EQ(news->entries[0].started, core::toModuleTime(20));
}

// ---- Calls
// -----------------------------------------------------------------------------------------

struct FakeAdminApi : control::AdminApi {
  std::vector<std::string> calls;
  core::RequestMetrics counted;
  std::vector<std::string> names{"ask", "odd \"one\"\\"};
  control::CommandResult note(const std::string& call) {
    calls.push_back(call);
    return {true, {}};
  }
  control::CommandResult ready() override { return note("ready"); }
  control::CommandResult exclude(const std::string& id) override { return note("exclude " + id); }
  control::CommandResult include(const std::string& id) override { return note("include " + id); }
  control::CommandResult evacuate() override { return note("evacuate"); }
  control::CommandResult activate() override { return note("activate"); }
  const core::RequestMetrics& metrics() override { return counted; }
  std::size_t openRequests() override { return 3; }
  control::InstanceCounts instanceCounts() override { return {5, 2}; }
  const std::vector<std::string>& classNames() override { return names; }
  std::string instancesReport() override { return "box a active\n"; }
};

TEST(OperatorsCalls, EachDoesWhatItSays) {
  FakeAdminApi api;
  for (const char* call : {"readyz", "exclude s-1", "  include\ts-1 ", "evacuate", "activate"})
    EXPECT_EQ(control::execute(api, call), "ok\n") << call;
  const std::vector<std::string> expected{"ready", "exclude s-1", "include s-1", "evacuate",
                                          "activate"};
  EXPECT_EQ(api.calls, expected);
}

TEST(OperatorsCalls, WhatIsNotUnderstoodFailsWithAReasonAndChangesNothing) {
  FakeAdminApi api;
  for (const std::string& call :
       {std::string(), std::string("  "), std::string("exclude"), std::string("exclude a b"),
        std::string("EXCLUDE a"), std::string("readyz now"), std::string("reboot"),
        std::string("exclude a\x01"), std::string("exclude \0", 9),
        "exclude " + std::string(2000, 'a')}) {
    const std::string answer = control::execute(api, call);
    EXPECT_EQ(answer.rfind("fail ", 0), 0U) << call;
    EXPECT_EQ(answer.find('\n'), answer.size() - 1);
    EXPECT_GT(answer.size(), 10U);
  }
  EXPECT_TRUE(api.calls.empty());
}

TEST(OperatorsCalls, TelemetryNamesEveryFigureOfEveryClassAndEnds) {
  FakeAdminApi api;
  api.counted.ensureClasses(2);
  for (int i = 0; i < 4; ++i)
    api.counted.requestBegan(0);
  api.counted.requestEnded(0, core::RequestOutcome::kOk);
  api.counted.requestEnded(0, core::RequestOutcome::kShed);
  api.counted.requestEnded(0, core::RequestOutcome::kError);
  api.counted.attemptWritten(0);
  const std::string text = control::execute(api, "telemetry");
  for (const char* line :
       {"app_ok_total{kind=\"ask\"} 1\n", "app_shed_total{kind=\"ask\"} 1\n",
        "app_errors_total{kind=\"ask\"} 1\n", "app_tries_total{kind=\"ask\"} 1\n",
        "app_ok_total{kind=\"odd \\\"one\\\"\\\\\"} 0\n", "app_active 3\n", "app_pool_size 5\n",
        "app_pool_ejected 2\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  EXPECT_EQ(text.substr(text.size() - 5), "\neof\n");
}

// ---- The door
// --------------------------------------------------------------------------------------

struct LineServerStage : NetworkFixture {
  std::vector<std::string> lines;
  net::LineServer door{io,
                       anyPort(),
                       [this](std::string_view line) {
                         lines.emplace_back(line);
                         return "ok " + std::to_string(line.size()) + "\n";
                       },
                       clock,
                       timers,
                       counters,
                       {4, 64, 5'000}};
  std::string answerTo(RawPeer& peer) {
    EXPECT_TRUE(until([&] { return peer.ended(); }));
    return peer.seen;
  }
};

TEST(LineServer, TakesALineThatComesByteByByteOrWithItsEndMissing) {
  for (const std::string& sent :
       {std::string("readyz\n"), std::string("readyz\r\n"), std::string("readyz\nmore\n")}) {
    LineServerStage stage;
    RawPeer peer(stage.io);
    peer.connect(stage.door.address());
    for (const char c : sent) {
      peer.write(std::string(1, c));
      stage.io.poll();
    }
    EXPECT_EQ(stage.answerTo(peer), "ok 6\n");
    EXPECT_EQ(stage.lines, std::vector<std::string>{"readyz"});
  }
}

TEST(LineServer, AnOverlongLineIsHandedOverCutAndNotKeptWaitingFor) {
  LineServerStage stage;
  RawPeer peer(stage.io);
  peer.connect(stage.door.address());
  peer.write(std::string(1000, 'x'));
  EXPECT_EQ(stage.answerTo(peer), "ok 65\n");
}

// A plan over every instance is one line, and its longest answer a line for each: both pass whole.
// No other call may be as long.
TEST(LineServer, CarriesAPlanOverAsManyInstancesAsThereMayBe) {
  struct Planned final : FakeAdminApi {
    std::string instancesReport() override {
      std::string text;
      for (std::size_t i = 0; i < coordination::kMaxFleetInstances; ++i)
        text += "box " + std::string(fleet::Exclusions::kMaxIdBytes, 'i') +
                " draining why=\"maintenance\"\n";
      return text;
    }
    void changeMaintenance(const control::Arguments& arguments, ResultHandler onResult) override {
      onResult({arguments.size() == 3, arguments.back()});
    }
  } planned;
  NetworkFixture stage;
  net::LineServer door(stage.io, anyPort(),
                       net::LineServer::AsyncHandler(
                           [&](std::string_view line, net::LineServer::ReplyCallback reply) {
                             control::executeAsync(planned, line, std::move(reply));
                           }),
                       stage.clock, stage.timers, stage.counters,
                       {32, control::kMaxMaintenanceLineBytes, 10'000});
  const auto answerTo = [&](const std::string& line) {
    RawPeer peer(stage.io);
    peer.connect(door.address());
    for (std::size_t at = 0; at < line.size(); at += 4096) {
      peer.write(line.substr(at, 4096));
      stage.io.poll();
    }
    EXPECT_TRUE(stage.until([&] { return peer.ended(); }));
    return peer.seen;
  };
  std::string names;
  for (std::size_t i = 0; i < coordination::kMaxFleetInstances; ++i)
    names += (i == 0 ? "" : ",") + std::string(coordination::Plan::kMaxNameBytes, 'n');
  EXPECT_EQ(answerTo("maintenance start june " + names + "\n"), "ok " + names + "\n");
  EXPECT_EQ(answerTo("boxes\n"), planned.instancesReport() + "eof\n");
  EXPECT_EQ(answerTo("maintenance start june " + names + names + "\n")
                .rfind("fail a line has at most", 0),
            0U);
  EXPECT_EQ(answerTo("exclude " + names + "\n").rfind("fail a line has at most 1024", 0), 0U);
}

// Callers who never finish cost one place each, the oldest of them first; nobody waits behind them.
TEST(LineServer, SilentCallersHoldUpNobodyAndAreClosedInTime) {
  LineServerStage stage;
  std::vector<std::unique_ptr<RawPeer>> silent;
  for (int i = 0; i < 12; ++i) {
    silent.push_back(std::make_unique<RawPeer>(stage.io));
    silent.back()->connect(stage.door.address());
    if (i % 2 == 0)
      silent.back()->write("read");
  }
  RawPeer caller(stage.io);
  caller.connect(stage.door.address());
  caller.write("readyz\n");
  EXPECT_EQ(stage.answerTo(caller), "ok 6\n");
  EXPECT_LE(stage.door.size(), 4U);
  stage.pass(5'001);
  for (auto& peer : silent)
    EXPECT_TRUE(stage.until([&] { return peer->ended(); }));
  EXPECT_EQ(stage.door.size(), 0U);
}

// ---- Evacuation
// ------------------------------------------------------------------------------------

struct Clients final : NetworkFixture, net::RequestHandler {
  net::Listener listener{io, anyPort(), 10, *this, clock, timers, counters};
  std::vector<std::shared_ptr<net::ClientConnection>> asked;
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&&,
               double) override {
    asked.push_back(connection);
  }
  void disconnected(net::ClientConnection&) override {}
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection&, unsigned, std::string_view) override {}
};

const std::string kAsk = "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";

TEST(Evacuation, ServesWhoStillComesClosesWhoIsIdleAndTakesClientsBack) {
  Clients stage;
  RawPeer idle(stage.io), running(stage.io), late(stage.io);
  for (RawPeer* peer : {&idle, &running}) {
    peer->connect(stage.listener.address());
    peer->write(kAsk);
    const std::size_t before = stage.asked.size();
    ASSERT_TRUE(stage.until([&] { return stage.asked.size() > before; }));
  }
  stage.asked[0]->answer(200, {}, "one");
  stage.asked[1]->beginStream({});
  ASSERT_TRUE(
      stage.until([&] { return stage.asked[0]->state() == net::ClientConnection::State::kIdle; }));
  stage.listener.evacuate();
  stage.listener.evacuate();
  stage.pass(200);
  late.connect(stage.listener.address());
  late.write(kAsk);
  ASSERT_TRUE(stage.until([&] { return stage.asked.size() == 3; }));
  EXPECT_FALSE(idle.ended());
  stage.asked[2]->answer(200, {}, "late");
  ASSERT_TRUE(stage.until([&] { return late.ended(); }));
  EXPECT_NE(late.seen.find("Connection: close"), std::string::npos);
  EXPECT_NE(late.seen.find("late"), std::string::npos);
  stage.pass(250);
  ASSERT_TRUE(stage.until([&] { return idle.ended(); }));
  EXPECT_FALSE(running.ended());
  stage.asked[1]->writeChunk("events");
  stage.asked[1]->endStream();
  ASSERT_TRUE(stage.until([&] { return running.ended() && stage.listener.size() == 0; }));
  EXPECT_NE(running.seen.find("0\r\n\r\n"), std::string::npos);

  stage.listener.activate();
  RawPeer back(stage.io);
  back.connect(stage.listener.address());
  back.write(kAsk);
  ASSERT_TRUE(stage.until([&] { return stage.asked.size() == 4; }));
  stage.asked[3]->answer(200, {}, "back");
  stage.pass(1'000);
  stage.io.poll();
  EXPECT_FALSE(back.ended());
  EXPECT_EQ(back.seen.find("Connection: close"), std::string::npos);
}

// A request that is in the kernel already must be read, not reset by the close of an idle
// connection.
TEST(Evacuation, ARequestThatCrossesTheCloseIsServed) {
  Clients stage;
  RawPeer peer(stage.io);
  peer.connect(stage.listener.address());
  peer.write(kAsk);
  ASSERT_TRUE(stage.until([&] { return stage.asked.size() == 1; }));
  stage.asked[0]->answer(200, {}, "one");
  ASSERT_TRUE(
      stage.until([&] { return stage.asked[0]->state() == net::ClientConnection::State::kIdle; }));
  stage.listener.evacuate();
  peer.write(kAsk);
  stage.pass(401);  // before the loop has read it
  ASSERT_TRUE(stage.until([&] { return stage.asked.size() == 2; }));
  stage.asked[1]->answer(200, {}, "two");
  ASSERT_TRUE(stage.until([&] { return peer.ended(); }));
  EXPECT_NE(peer.seen.find("two"), std::string::npos);
}

// ---- A door that closes for a successor
// --------------------------------------------------------------

TEST(Successor, WhoStandsInTheAcceptQueueIsServedWhenTheDoorCloses) {
  Clients stage;
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int i = 0; i < 5; ++i) {
    peers.push_back(std::make_unique<RawPeer>(stage.io));
    peers.back()->connect(stage.listener.address());  // by the kernel alone: the loop does not run
    peers.back()->write(kAsk);
  }
  bool done = false;
  stage.listener.drain(0, [&] { done = true; });
  ASSERT_TRUE(stage.until([&] { return stage.asked.size() == 5; }));
  for (const auto& connection : stage.asked)
    connection->answer(200, {}, "served");
  for (auto& peer : peers) {
    ASSERT_TRUE(stage.until([&] { return peer->ended(); }));
    EXPECT_NE(peer->seen.find("served"), std::string::npos);
  }
  EXPECT_TRUE(stage.until([&] { return done; }));
}

// A second SIGTERM: the door closes when the first one said, and the end is told once.
TEST(Successor, ADrainThatIsAskedForAgainChangesNothing) {
  Clients stage;
  RawPeer client(stage.io);
  client.connect(stage.listener.address());
  client.write(kAsk);
  ASSERT_TRUE(stage.until([&] { return stage.asked.size() == 1; }));
  int first = 0, second = 0;
  stage.listener.drain(500, [&] { ++first; });
  stage.pass(400);
  stage.listener.drain(0, [&] { ++second; });
  RawPeer late(stage.io);
  late.connect(stage.listener.address());
  late.write(kAsk);
  ASSERT_TRUE(stage.until([&] { return stage.asked.size() == 2; }));
  stage.listener.drain(500, [&] { ++second; });
  stage.pass(101);
  EXPECT_FALSE(stage.listener.isOpen());
  for (const auto& asked : stage.asked)
    asked->answer(200, {}, "");
  ASSERT_TRUE(stage.until([&] { return client.ended() && late.ended() && first == 1; }));
  EXPECT_EQ(second, 0);
}

// Who connected in the last moment may send in pieces: it has the time to.
TEST(Successor, ARequestInPiecesOnAConnectionOfTheLastMomentIsServed) {
  Clients stage;
  RawPeer peer(stage.io);
  peer.connect(stage.listener.address());
  ASSERT_TRUE(stage.until([&] { return stage.listener.size() == 1; }));
  stage.listener.drain(0, [] {});
  peer.write(kAsk.substr(0, 10));
  stage.io.poll();
  stage.pass(300);
  peer.write(kAsk.substr(10));
  ASSERT_TRUE(stage.until([&] { return stage.asked.size() == 1; }));
  stage.asked[0]->answer(200, {}, "served");
  ASSERT_TRUE(stage.until([&] { return peer.ended(); }));
  EXPECT_NE(peer.seen.find("served"), std::string::npos);
}

TEST(Successor, TwoListenersShareAPortAndOneWithoutLeaveIsRefused) {
  Clients stage;
  net::Listener first(stage.io, anyPort(), 10, stage, stage.clock, stage.timers, stage.counters,
                      {.sharedPort = true, .open = true});
  net::Listener second(stage.io, first.address(), 10, stage, stage.clock, stage.timers,
                       stage.counters, {.sharedPort = true, .open = false});
  EXPECT_FALSE(second.isOpen());
  second.open();
  EXPECT_TRUE(second.isOpen());
  EXPECT_THROW(net::Listener(stage.io, first.address(), 10, stage, stage.clock, stage.timers,
                             stage.counters),
               boost::system::system_error);
}

// ---- The shared folder
// -------------------------------------------------------------------------------

TEST(SharedFolder, AKilledProcessIsKnownToBeGoneAndItsFileGoes) {
  TemporaryDirectory folder;
  app::SharedFolder own(folder.path, "n0");
  ASSERT_TRUE(own.join());
  int started[2];
  ASSERT_EQ(::pipe(started), 0);
  const pid_t child = ::fork();
  if (child == 0) {
    app::SharedFolder other(folder.path, "n0");
    const char byte = other.announceServing() ? 'y' : 'n';
    if (::write(started[1], &byte, 1) == 1)
      ::pause();
    ::_exit(0);
  }
  char byte = 0;
  ASSERT_EQ(::read(started[0], &byte, 1), 1);
  EXPECT_EQ(byte, 'y');
  const auto beside = own.otherProcesses();
  ASSERT_TRUE(beside);
  EXPECT_EQ(beside->running, 1U);
  EXPECT_EQ(beside->serving, 1U);
  EXPECT_EQ(beside->receiverName, "dahliastall-n0.receiver." + std::to_string(child));
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
  const auto alone = own.otherProcesses();
  ASSERT_TRUE(alone);
  EXPECT_EQ(alone->running, 0U);
  std::size_t files = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(folder.path))
    ++files;
  EXPECT_EQ(files, 1U);
  ::close(started[0]);
  ::close(started[1]);
}

TEST(SharedFolder, TextsPassWholeAndAreFreshOnce) {
  TemporaryDirectory folder;
  app::SharedFolder one(folder.path, "n0");
  using Status = app::SharedFolder::ReadStatus;
  EXPECT_EQ(one.readExclusions().status, Status::kAbsent);
  ASSERT_TRUE(one.writeExclusions("first"));
  EXPECT_EQ(one.readExclusions().status, Status::kUnchanged);  // its own
  std::ofstream(folder.path + "/dahliastall-n0.marks.tmp") << "second";
  std::filesystem::rename(folder.path + "/dahliastall-n0.marks.tmp",
                          folder.path + "/dahliastall-n0.marks");
  const auto fresh = one.readExclusions();
  EXPECT_EQ(fresh.status, Status::kFresh);
  EXPECT_EQ(fresh.text, "second");
  EXPECT_EQ(one.readExclusions().status, Status::kUnchanged);
  app::SharedFolder nowhere(folder.path + "/missing", "n0");
  EXPECT_FALSE(nowhere.join());
  EXPECT_FALSE(nowhere.otherProcesses());
  EXPECT_FALSE(nowhere.writeExclusions("x"));
}

// ---- Figures
// -----------------------------------------------------------------------------------------

TEST(RequestMetrics, AddUpWhateverHappens) {
  std::mt19937 random(3);
  core::RequestMetrics metrics;
  metrics.ensureClasses(2);
  std::array<int, 2> open{};
  for (int step = 0; step < 5000; ++step) {
    const std::size_t cls = random() % 3;  // also one that is not there
    if (random() % 2 == 0) {
      metrics.requestBegan(cls);
      if (cls < 2)
        ++open[cls];
    } else if (cls >= 2 || open[cls] > 0) {
      metrics.requestEnded(cls, static_cast<core::RequestOutcome>(random() % 4));
      if (cls < 2)
        --open[cls];
    }
    for (std::size_t i = 0; i < 2; ++i) {
      const core::ClassMetrics& f = metrics.byClass()[i];
      ASSERT_EQ(f.received, f.ok + f.shed + f.errors + f.abandoned + f.open);
      ASSERT_EQ(f.open, static_cast<std::uint64_t>(open[i]));
    }
  }
}

}  // namespace
}  // namespace inference_router
