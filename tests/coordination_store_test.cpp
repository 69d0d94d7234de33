// Both stores of coordination against one description, the SQLite file and the etcd gateway.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <fstream>
#include <thread>

#include "coordination/records.h"
#include "coordination/runner.h"
#include "coordination/setup.h"
#include "coordination/sqlite_store.h"
#include "fleet.h"
#include "support/etcd_stand_in.h"
#include "support/program.h"

namespace inference_router {
namespace {

using namespace coordination;
using nlohmann::json;

LeaseConfig shortConfig(const std::string& task = "maintenance") {
  LeaseConfig config;
  config.task = task;
  config.ttlMs = 2000;
  config.askMs = 300;
  config.longestStepMs = 300;
  config.renewJitter = 0;
  return config;
}

// ---- Both stores
// -----------------------------------------------------------------------------------

struct SqlitePlace {
  Folder folder;
  std::unique_ptr<Store> open(Stage& stage) {
    return std::make_unique<SqliteStore>(stage.io, folder.path + "/shared.db", 5000);
  }
  explicit SqlitePlace(Stage&) {}
};

struct EtcdStandInPlace {
  EtcdStandIn server;
  explicit EtcdStandInPlace(Stage& stage) : server(stage.io, stage.clock, stage.timers) {}
  std::unique_ptr<Store> open(Stage& stage) {
    return std::make_unique<EtcdStore>(stage.io, stage.clock, stage.timers, stage.counters,
                                       EtcdConfig{{server.address()}, "test/", 1000});
  }
};

template <class Place>
class StoreOfAnyKind : public ::testing::Test {
 protected:
  Stage stage;
  Place place{stage};

  LeaseAnswer ask(Store& store, const LeaseAsk& what) {
    std::optional<LeaseAnswer> answer;
    store.ask(what, [&](const LeaseAnswer& told) { answer = told; });
    EXPECT_TRUE(stage.until([&] { return answer.has_value(); }));
    return answer.value_or(LeaseAnswer{});
  }
  CommitAnswer commit(Store& store, const Fence* fence, std::vector<Write> writes) {
    std::optional<CommitAnswer> answer;
    const auto told = [&](CommitAnswer how) { answer = how; };
    if (fence != nullptr)
      store.commit(*fence, std::move(writes), told);
    else
      store.put(writes.front(), told);
    EXPECT_TRUE(stage.until([&] { return answer.has_value(); }));
    return answer.value_or(CommitAnswer{});
  }
  Listing list(Store& store) {
    std::optional<Listing> all;
    store.list([&](const Listing& told) { all = told; });
    EXPECT_TRUE(stage.until([&] { return all.has_value(); }));
    return all.value_or(Listing{});
  }
  // A machine that holds the lease, by the store's own word.
  Lease holder(Store& store, const Holder& who, double nowMs) {
    Lease lease(shortConfig(), who, 1, nowMs);
    lease.answered(ask(store, *lease.tick(nowMs)), nowMs);
    EXPECT_EQ(lease.state(), LeaseState::kHolding);
    return lease;
  }
};

using Places = ::testing::Types<SqlitePlace, EtcdStandInPlace>;
TYPED_TEST_SUITE(StoreOfAnyKind, Places);

TYPED_TEST(StoreOfAnyKind, GivesALeaseToOneAndTellsTheOtherWhoHasIt) {
  const auto one = this->place.open(this->stage), two = this->place.open(this->stage);
  Lease first = this->holder(*one, {"c1", 1}, 0);
  Lease second(shortConfig(), {"c2", 2}, 1, 0);
  const LeaseAnswer answer = this->ask(*two, *second.tick(0));
  EXPECT_EQ(answer.found, Found::kHeld);
  ASSERT_TRUE(answer.record);
  EXPECT_EQ(answer.record->holder.name, "c1");
  EXPECT_GT(answer.leftMs, 0);
  second.answered(answer, 1);
  EXPECT_EQ(second.state(), LeaseState::kCandidate);
  // Renewed, it is the same lease; given back, the next fence is above.
  first.answered(this->ask(*one, *first.tick(first.nextMs())), 700);
  EXPECT_EQ(first.counts().renewed, 1u);
  first.resign(710);
  first.answered(this->ask(*one, *first.tick(710)), 720);
  EXPECT_EQ(first.counts().released, 1u);
  Lease third(shortConfig(), {"c3", 3}, 1, 0);
  third.answered(this->ask(*two, *third.tick(0)), 1);
  EXPECT_EQ(third.state(), LeaseState::kHolding);
  EXPECT_GT(third.fenceNumber(), 1u);
}

// Guards a fleet whose holder has died against waiting a whole lease more than it has left.
TEST(EtcdOfTheStandIn, TellsACandidateHowLongALeaseHasLeft) {
  Stage stage;
  EtcdStandIn server(stage.io, stage.clock, stage.timers);
  const EtcdConfig place{{server.address()}, "test/", 1000};
  EtcdStore one(stage.io, stage.clock, stage.timers, stage.counters, place),
      two(stage.io, stage.clock, stage.timers, stage.counters, place);
  const auto ask = [&](EtcdStore& store, const Holder& who) {
    std::optional<LeaseAnswer> answer;
    store.ask({Verb::kAcquire, "t", who, 1, 0, 5000, 0},
              [&](const LeaseAnswer& told) { answer = told; });
    EXPECT_TRUE(stage.until([&] { return answer.has_value(); }));
    return answer.value_or(LeaseAnswer{});
  };
  EXPECT_EQ(ask(one, {"c1", 1}).found, Found::kGranted);
  stage.clock.advance(3200);
  const LeaseAnswer held = ask(two, {"c2", 2});
  EXPECT_EQ(held.found, Found::kHeld);
  EXPECT_DOUBLE_EQ(held.leftMs, 1500) << "1.8 s, told as 1, and a half on top";
}

// Only what was asked for, and with the same revisions as all of it.
TYPED_TEST(StoreOfAnyKind, ReadsSomeDocumentsWithoutTheOthers) {
  const auto store = this->place.open(this->stage);
  for (const char* key : {"a", "b", "c"})
    ASSERT_EQ(this->commit(*store, nullptr, {{key, 0, std::string("of ") + key}}).how,
              Committed::kDone);
  std::optional<Listing> some;
  store->look({"a", "c", "none"}, [&](const Listing& told) { some = told; });
  ASSERT_TRUE(this->stage.until([&] { return some.has_value(); }));
  ASSERT_TRUE(some->ok) << some->why;
  const Listing all = this->list(*store);
  EXPECT_EQ(some->docs.size(), 2u);
  for (const auto& [key, doc] : some->docs)
    EXPECT_EQ(doc, all.docs.at(key));
  EXPECT_EQ(some->revision, all.revision);
}

TYPED_TEST(StoreOfAnyKind, ChangesDocumentsOnlyFromWhatTheWriterSaw) {
  const auto store = this->place.open(this->stage);
  const auto made = this->commit(*store, nullptr, {{"plan", 0, "one"}});
  ASSERT_EQ(made.how, Committed::kDone);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", 0, "two"}}).how, Committed::kConflict);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", made.revision + 7, "two"}}).how,
            Committed::kConflict);
  const Listing all = this->list(*store);
  ASSERT_TRUE(all.ok) << all.why;
  EXPECT_EQ(all.docs.at("plan"), (Doc{"one", made.revision}));
  const auto changed = this->commit(*store, nullptr, {{"plan", made.revision, "two"}});
  ASSERT_EQ(changed.how, Committed::kDone);
  EXPECT_GT(changed.revision, made.revision);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", changed.revision, std::nullopt}}).how,
            Committed::kDone);
  EXPECT_TRUE(this->list(*store).docs.empty());
  EXPECT_EQ(this->commit(*store, nullptr, {{"", 0, "x"}}).how, Committed::kRefused);
  EXPECT_EQ(this->commit(*store, nullptr, {{"k", 0, std::string(kMostValueBytes + 1, 'x')}}).how,
            Committed::kRefused);
}

TYPED_TEST(StoreOfAnyKind, RefusesAnEffectOnceAnotherHoldsTheLease) {
  const auto one = this->place.open(this->stage), two = this->place.open(this->stage);
  Lease first = this->holder(*one, {"c1", 1}, 0);
  const auto fence = first.beginStep(1);
  ASSERT_TRUE(fence);
  EXPECT_EQ(this->commit(*one, &*fence, {{"a", 0, "by c1"}}).how, Committed::kDone);
  // It is stopped here, and its lease goes to another.
  first.stepEnded(true, 2);
  const auto late = first.beginStep(2);
  first.stepEnded(false, 3);
  first.resign(3);
  first.answered(this->ask(*one, *first.tick(3)), 4);
  EXPECT_EQ(this->commit(*one, &*late, {{"b", 0, "by c1"}}).how, Committed::kStaleFence)
      << "given back";
  Lease second = this->holder(*two, {"c2", 2}, 0);
  EXPECT_EQ(this->commit(*one, &*late, {{"b", 0, "by c1"}}).how, Committed::kStaleFence)
      << "held by another";
  const auto now = second.beginStep(5);
  EXPECT_EQ(this->commit(*two, &*now, {{"b", 0, "by c2"}, {"a", 0, "x"}}).how, Committed::kConflict)
      << "all or nothing";
  EXPECT_EQ(this->list(*two).docs.count("b"), 0u);
  EXPECT_EQ(this->commit(*two, &*now, {{"b", 0, "by c2"}}).how, Committed::kDone);
}

// ---- SQLite
// ----------------------------------------------------------------------------------------

MachineTime timeOf(double& now, std::string boot = "boot-1") {
  return {[&now] { return now; }, [] { return 0.0; }, std::move(boot)};
}

TEST(SqliteFileOfOneMachine, LetsALeaseLapseByTheMachinesClockAndKeepsItsFenceOverABoot) {
  const Folder folder;
  double now = 1000;
  std::uint64_t fence = 0;
  {
    SqliteFile file(folder.path + "/a.db", timeOf(now), 100);
    const LeaseAsk mine{Verb::kAcquire, "t", {"c1", 1}, 1, 0, 500, 0},
        other{Verb::kAcquire, "t", {"c2", 2}, 1, 0, 500, 0};
    EXPECT_EQ(file.ask(mine).found, Found::kGranted);
    EXPECT_EQ(file.ask(other).found, Found::kHeld);
    now += 499;
    EXPECT_EQ(file.ask(other).found, Found::kHeld);
    now += 1;
    const LeaseAnswer taken = file.ask(other);
    EXPECT_EQ(taken.found, Found::kGranted);
    fence = taken.fence;
  }
  // The machine starts anew: its clock too, and nobody of before lives.
  now = 3;
  SqliteFile file(folder.path + "/a.db", timeOf(now, "boot-2"), 100);
  const LeaseAnswer after = file.ask({Verb::kAcquire, "t", {"c3", 3}, 1, 0, 500, 0});
  EXPECT_EQ(after.found, Found::kGranted);
  EXPECT_GT(after.fence, fence);
}

TEST(SqliteFileOfOneMachine, IsNotTakenIfItIsForeignDamagedOrOfALaterForm) {
  const Folder folder;
  double now = 0;
  const std::string text = folder.path + "/text.db", foreign = folder.path + "/foreign.db",
                    later = folder.path + "/later.db";
  std::ofstream(text) << std::string(5000, 'x');
  EXPECT_THROW(SqliteFile(text, timeOf(now), 100), SqliteFault);
  const auto run = [](const std::string& path, const char* sql) {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open(path.c_str(), &db), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(db, sql, nullptr, nullptr, nullptr), SQLITE_OK);
    sqlite3_close(db);
  };
  run(foreign, "CREATE TABLE members(name TEXT)");
  EXPECT_THROW(SqliteFile(foreign, timeOf(now), 100), SqliteFault);
  { SqliteFile made(later, timeOf(now), 100); }
  run(later, "PRAGMA user_version=2");
  EXPECT_THROW(SqliteFile(later, timeOf(now), 100), SqliteFault);
  run(later,
      "PRAGMA user_version=1; INSERT INTO lease VALUES('t','{\"form\":\"other\"}','boot-1')");
  SqliteFile damaged(later, timeOf(now), 100);
  EXPECT_THROW(damaged.ask({Verb::kAcquire, "t", {"c1", 1}, 1, 0, 500, 0}), SqliteFault)
      << "a fence is not guessed";
}

// A disk that stalls holds up the storage thread alone; what finds no room is told so at once.
TEST(StorageThreadOfTheStore, NeverHoldsUpWhoAsks) {
  StorageThread thread;
  std::mutex gate;
  gate.lock();
  ASSERT_TRUE(thread.post([&] { const std::lock_guard wait(gate); }));
  std::size_t taken = 0;
  while (thread.post([] {}) && taken < 10 * StorageThread::kMostJobs)
    ++taken;
  EXPECT_GE(taken, StorageThread::kMostJobs - 1);
  EXPECT_LE(taken, StorageThread::kMostJobs + 1);
  gate.unlock();
}

// ---- etcd
// ------------------------------------------------------------------------------------------

struct OnEtcd : ::testing::Test {
  Stage stage;
  EtcdStandIn server{stage.io, stage.clock, stage.timers};
  EtcdStore store{stage.io,
                  stage.clock,
                  stage.timers,
                  stage.counters,
                  {{server.address()}, "test/", 1000}};

  LeaseAnswer ask(Lease& lease) {
    std::optional<LeaseAnswer> answer;
    const auto what = lease.tick(stage.clock.nowMs());
    EXPECT_TRUE(what);
    store.ask(*what, [&](const LeaseAnswer& told) { answer = told; });
    EXPECT_TRUE(stage.until([&] { return answer.has_value(); }));
    lease.answered(*answer, stage.clock.nowMs());
    return *answer;
  }
};

TEST_F(OnEtcd, ALeaseLapsesAndTheNextFenceLiesAbove) {
  Lease first(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  EXPECT_EQ(ask(first).found, Found::kGranted);
  stage.pass(2001);
  Lease second(shortConfig(), {"c2", 2}, 1, stage.clock.nowMs());
  const LeaseAnswer taken = ask(second);
  EXPECT_EQ(taken.found, Found::kGranted);
  EXPECT_EQ(taken.fence, 2u);
  EXPECT_EQ(server.value("test/fence/maintenance"), "2");
}

TEST_F(OnEtcd, AnAnswerThatIsLostAfterItTookEffectCostsNoMoreThanAnotherAsk) {
  Lease lease(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  server.loseAnswer = [](const json& body) { return body.contains("compare"); };
  EXPECT_EQ(ask(lease).found, Found::kUnavailable);
  EXPECT_TRUE(server.value("test/lease/maintenance"));
  server.loseAnswer = nullptr;
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(lease).found, Found::kGranted);
  EXPECT_EQ(lease.fenceNumber(), 2u);
}

TEST_F(OnEtcd, WithoutALeaderNothingIsKnownAndAfterItNothingIsLost) {
  Lease lease(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  ask(lease);
  server.noLeader = true;
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(lease).found, Found::kUnavailable);
  EXPECT_EQ(lease.state(), LeaseState::kDoubtful);
  server.newLeader();
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(lease).found, Found::kGranted);
  EXPECT_EQ(lease.state(), LeaseState::kHolding);
}

// Put back to an older copy: the holder is told, and whoever has seen a fence gets one above it.
TEST_F(OnEtcd, AStoreThatWasPutBackGivesNoFenceTwiceToWhoHasSeenIt) {
  const auto older = server.copy();
  Lease first(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  ask(first);
  Lease second(shortConfig(), {"c2", 2}, 1, stage.clock.nowMs());
  EXPECT_EQ(ask(second).found, Found::kHeld);
  server.putBack(*older);
  stage.pass(first.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(first).found, Found::kLost);
  EXPECT_EQ(first.state(), LeaseState::kLapsed);
  stage.pass(second.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(second).found, Found::kGranted);
  EXPECT_EQ(second.fenceNumber(), 2u);
}

TEST_F(OnEtcd, AForeignValueUnderItsKeyIsNotTakenForAFreeLease) {
  const auto put = [&](const std::string& text) {
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::encoded_size(text.size()), '\0');
    out.resize(base64::encode(out.data(), text.data(), text.size()));
    return out;
  };
  net::ConnectionPool pool(stage.io, stage.clock, stage.timers, stage.counters, {1, 1000, 1000});
  const auto reply = std::make_shared<Reply>();
  const auto body = std::make_shared<const std::string>(
      json{{"success",
            {{{"request_put", {{"key", put("test/lease/maintenance")}, {"value", put("mine")}}}}}}}
          .dump());
  pool.call(
      server.address(),
      net::headText("POST /v3/kv/txn HTTP/1.1", {{"Content-Length", std::to_string(body->size())}}),
      body, reply);
  ASSERT_TRUE(stage.until([&] { return reply->over; }));
  Lease lease(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  EXPECT_EQ(ask(lease).found, Found::kHeld);
  EXPECT_EQ(stage.counters["coordination.foreign"], 1u);
}

}  // namespace
}  // namespace inference_router
