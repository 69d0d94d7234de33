// Both stores of coordination against one description, the SQLite file and the etcd gateway.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <fstream>
#include <thread>

#include "coordination/etcd_store.h"
#include "coordination/lease_encoding.h"
#include "coordination/runner.h"
#include "coordination/setup.h"
#include "coordination/sqlite_store.h"
#include "router_harness.h"
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
  config.requestTimeoutMs = 300;
  config.maxStepMs = 300;
  config.renewJitter = 0;
  return config;
}

// ---- Both stores
// -----------------------------------------------------------------------------------

struct SqlitePlace {
  TemporaryDirectory folder;
  std::unique_ptr<Store> open(NetworkFixture& stage) {
    return std::make_unique<SqliteStore>(stage.io, folder.path + "/shared.db", 5000);
  }
  explicit SqlitePlace(NetworkFixture&) {}
};

struct EtcdStandInPlace {
  EtcdStandIn server;
  explicit EtcdStandInPlace(NetworkFixture& stage) : server(stage.io, stage.clock, stage.timers) {}
  std::unique_ptr<Store> open(NetworkFixture& stage) {
    return std::make_unique<EtcdStore>(stage.io, stage.clock, stage.timers, stage.counters,
                                       EtcdConfig{{server.address()}, "test/", 1000});
  }
};

template <class Place>
class StoreOfAnyKind : public ::testing::Test {
 protected:
  NetworkFixture stage;
  Place place{stage};

  LeaseResponse ask(Store& store, const LeaseRequest& what) {
    std::optional<LeaseResponse> answer;
    store.requestLease(what, [&](const LeaseResponse& told) { answer = told; });
    EXPECT_TRUE(stage.until([&] { return answer.has_value(); }));
    return answer.value_or(LeaseResponse{});
  }
  CommitResponse commit(Store& store, const Fence* fence, std::vector<Write> writes) {
    std::optional<CommitResponse> answer;
    const auto told = [&](CommitResponse how) { answer = how; };
    if (fence != nullptr)
      store.commit(*fence, std::move(writes), told);
    else
      store.write(writes.front(), told);
    EXPECT_TRUE(stage.until([&] { return answer.has_value(); }));
    return answer.value_or(CommitResponse{});
  }
  ReadResponse list(Store& store) {
    std::optional<ReadResponse> all;
    store.readAll([&](const ReadResponse& told) { all = told; });
    EXPECT_TRUE(stage.until([&] { return all.has_value(); }));
    return all.value_or(ReadResponse{});
  }
  // A machine that holds the lease, by the store's own word.
  Lease holder(Store& store, const Holder& who, double nowMs) {
    Lease lease(shortConfig(), who, 1, nowMs);
    lease.onResponse(ask(store, *lease.tick(nowMs)), nowMs);
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
  const LeaseResponse answer = this->ask(*two, *second.tick(0));
  EXPECT_EQ(answer.result, LeaseResult::kHeld);
  ASSERT_TRUE(answer.record);
  EXPECT_EQ(answer.record->holder.name, "c1");
  EXPECT_GT(answer.remainingMs, 0);
  second.onResponse(answer, 1);
  EXPECT_EQ(second.state(), LeaseState::kCandidate);
  // Renewed, it is the same lease; given back, the next fence is above.
  first.onResponse(this->ask(*one, *first.tick(first.nextMs())), 700);
  EXPECT_EQ(first.counts().renewed, 1u);
  first.resign(710);
  first.onResponse(this->ask(*one, *first.tick(710)), 720);
  EXPECT_EQ(first.counts().released, 1u);
  Lease third(shortConfig(), {"c3", 3}, 1, 0);
  third.onResponse(this->ask(*two, *third.tick(0)), 1);
  EXPECT_EQ(third.state(), LeaseState::kHolding);
  EXPECT_GT(third.fence(), 1u);
}

// Guards a fleet whose holder has died against waiting a whole lease more than it has left.
TEST(EtcdOfTheStandIn, TellsACandidateHowLongALeaseHasLeft) {
  NetworkFixture stage;
  EtcdStandIn server(stage.io, stage.clock, stage.timers);
  const EtcdConfig place{{server.address()}, "test/", 1000};
  EtcdStore one(stage.io, stage.clock, stage.timers, stage.counters, place),
      two(stage.io, stage.clock, stage.timers, stage.counters, place);
  const auto ask = [&](EtcdStore& store, const Holder& who) {
    std::optional<LeaseResponse> answer;
    store.requestLease({LeaseOperation::kAcquire, "t", who, 1, 0, 5000, 0},
                       [&](const LeaseResponse& told) { answer = told; });
    EXPECT_TRUE(stage.until([&] { return answer.has_value(); }));
    return answer.value_or(LeaseResponse{});
  };
  EXPECT_EQ(ask(one, {"c1", 1}).result, LeaseResult::kGranted);
  stage.clock.advance(3200);
  const LeaseResponse held = ask(two, {"c2", 2});
  EXPECT_EQ(held.result, LeaseResult::kHeld);
  EXPECT_DOUBLE_EQ(held.remainingMs, 1500) << "1.8 s, told as 1, and a half on top";
}

// Only what was asked for, and with the same revisions as all of it.
TYPED_TEST(StoreOfAnyKind, ReadsSomeDocumentsWithoutTheOthers) {
  const auto store = this->place.open(this->stage);
  for (const char* key : {"a", "b", "c"})
    ASSERT_EQ(this->commit(*store, nullptr, {{key, 0, std::string("of ") + key}}).status,
              CommitStatus::kDone);
  std::optional<ReadResponse> some;
  store->read({"a", "c", "none"}, [&](const ReadResponse& told) { some = told; });
  ASSERT_TRUE(this->stage.until([&] { return some.has_value(); }));
  ASSERT_TRUE(some->ok) << some->error;
  const ReadResponse all = this->list(*store);
  EXPECT_EQ(some->documents.size(), 2u);
  for (const auto& [key, document] : some->documents)
    EXPECT_EQ(document, all.documents.at(key));
  EXPECT_EQ(some->revision, all.revision);
}

TYPED_TEST(StoreOfAnyKind, ChangesDocumentsOnlyFromWhatTheWriterSaw) {
  const auto store = this->place.open(this->stage);
  const auto made = this->commit(*store, nullptr, {{"plan", 0, "one"}});
  ASSERT_EQ(made.status, CommitStatus::kDone);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", 0, "two"}}).status, CommitStatus::kConflict);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", made.revision + 7, "two"}}).status,
            CommitStatus::kConflict);
  const ReadResponse all = this->list(*store);
  ASSERT_TRUE(all.ok) << all.error;
  EXPECT_EQ(all.documents.at("plan"), (Document{"one", made.revision}));
  const auto changed = this->commit(*store, nullptr, {{"plan", made.revision, "two"}});
  ASSERT_EQ(changed.status, CommitStatus::kDone);
  EXPECT_GT(changed.revision, made.revision);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", changed.revision, std::nullopt}}).status,
            CommitStatus::kDone);
  EXPECT_TRUE(this->list(*store).documents.empty());
  EXPECT_EQ(this->commit(*store, nullptr, {{"", 0, "x"}}).status, CommitStatus::kRefused);
  EXPECT_EQ(this->commit(*store, nullptr, {{"k", 0, std::string(kMaxValueBytes + 1, 'x')}}).status,
            CommitStatus::kRefused);
}

TYPED_TEST(StoreOfAnyKind, RefusesAnEffectOnceAnotherHoldsTheLease) {
  const auto one = this->place.open(this->stage), two = this->place.open(this->stage);
  Lease first = this->holder(*one, {"c1", 1}, 0);
  const auto fence = first.beginStep(1);
  ASSERT_TRUE(fence);
  EXPECT_EQ(this->commit(*one, &*fence, {{"a", 0, "by c1"}}).status, CommitStatus::kDone);
  // It is stopped here, and its lease goes to another.
  first.endStep(true, 2);
  const auto late = first.beginStep(2);
  first.endStep(false, 3);
  first.resign(3);
  first.onResponse(this->ask(*one, *first.tick(3)), 4);
  EXPECT_EQ(this->commit(*one, &*late, {{"b", 0, "by c1"}}).status, CommitStatus::kStaleFence)
      << "given back";
  Lease second = this->holder(*two, {"c2", 2}, 0);
  EXPECT_EQ(this->commit(*one, &*late, {{"b", 0, "by c1"}}).status, CommitStatus::kStaleFence)
      << "held by another";
  const auto now = second.beginStep(5);
  EXPECT_EQ(this->commit(*two, &*now, {{"b", 0, "by c2"}, {"a", 0, "x"}}).status,
            CommitStatus::kConflict)
      << "all or nothing";
  EXPECT_EQ(this->list(*two).documents.count("b"), 0u);
  EXPECT_EQ(this->commit(*two, &*now, {{"b", 0, "by c2"}}).status, CommitStatus::kDone);
}

// ---- SQLite
// ----------------------------------------------------------------------------------------

MachineClock clockOf(double& now, std::string boot = "boot-1") {
  return {[&now] { return now; }, [] { return 0.0; }, std::move(boot)};
}

TEST(SqliteFileOfOneMachine, LetsALeaseLapseByTheMachinesClockAndKeepsItsFenceOverABoot) {
  const TemporaryDirectory folder;
  double now = 1000;
  std::uint64_t fence = 0;
  {
    SqliteFile file(folder.path + "/a.db", clockOf(now), 100);
    const LeaseRequest mine{LeaseOperation::kAcquire, "t", {"c1", 1}, 1, 0, 500, 0},
        other{LeaseOperation::kAcquire, "t", {"c2", 2}, 1, 0, 500, 0};
    EXPECT_EQ(file.requestLease(mine).result, LeaseResult::kGranted);
    EXPECT_EQ(file.requestLease(other).result, LeaseResult::kHeld);
    now += 499;
    EXPECT_EQ(file.requestLease(other).result, LeaseResult::kHeld);
    now += 1;
    const LeaseResponse taken = file.requestLease(other);
    EXPECT_EQ(taken.result, LeaseResult::kGranted);
    fence = taken.fence;
  }
  // The machine starts anew: its clock too, and nobody of before lives.
  now = 3;
  SqliteFile file(folder.path + "/a.db", clockOf(now, "boot-2"), 100);
  const LeaseResponse after =
      file.requestLease({LeaseOperation::kAcquire, "t", {"c3", 3}, 1, 0, 500, 0});
  EXPECT_EQ(after.result, LeaseResult::kGranted);
  EXPECT_GT(after.fence, fence);
}

TEST(SqliteFileOfOneMachine, IsNotTakenIfItIsForeignDamagedOrOfALaterForm) {
  const TemporaryDirectory folder;
  double now = 0;
  const std::string text = folder.path + "/text.db", foreign = folder.path + "/foreign.db",
                    later = folder.path + "/later.db";
  std::ofstream(text) << std::string(5000, 'x');
  EXPECT_THROW(SqliteFile(text, clockOf(now), 100), SqliteError);
  const auto run = [](const std::string& path, const char* sql) {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open(path.c_str(), &db), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(db, sql, nullptr, nullptr, nullptr), SQLITE_OK);
    sqlite3_close(db);
  };
  run(foreign, "CREATE TABLE members(name TEXT)");
  EXPECT_THROW(SqliteFile(foreign, clockOf(now), 100), SqliteError);
  { SqliteFile made(later, clockOf(now), 100); }
  run(later, "PRAGMA user_version=2");
  EXPECT_THROW(SqliteFile(later, clockOf(now), 100), SqliteError);
  run(later,
      "PRAGMA user_version=1; INSERT INTO lease VALUES('t','{\"form\":\"other\"}','boot-1')");
  SqliteFile damaged(later, clockOf(now), 100);
  EXPECT_THROW(damaged.requestLease({LeaseOperation::kAcquire, "t", {"c1", 1}, 1, 0, 500, 0}),
               SqliteError)
      << "a fence is not guessed";
}

// A disk that stalls holds up the storage thread alone; what finds no room is told so at once.
TEST(StorageThreadOfTheStore, NeverHoldsUpWhoAsks) {
  StorageThread thread;
  std::mutex gate;
  gate.lock();
  ASSERT_TRUE(thread.post([&] { const std::lock_guard wait(gate); }));
  std::size_t taken = 0;
  while (thread.post([] {}) && taken < 10 * StorageThread::kMaxJobs)
    ++taken;
  EXPECT_GE(taken, StorageThread::kMaxJobs - 1);
  EXPECT_LE(taken, StorageThread::kMaxJobs + 1);
  gate.unlock();
}

// ---- etcd
// ------------------------------------------------------------------------------------------

struct OnEtcd : ::testing::Test {
  NetworkFixture stage;
  EtcdStandIn server{stage.io, stage.clock, stage.timers};
  EtcdStore store{stage.io,
                  stage.clock,
                  stage.timers,
                  stage.counters,
                  {{server.address()}, "test/", 1000}};

  LeaseResponse ask(Lease& lease) {
    std::optional<LeaseResponse> answer;
    const auto what = lease.tick(stage.clock.nowMs());
    EXPECT_TRUE(what);
    store.requestLease(*what, [&](const LeaseResponse& told) { answer = told; });
    EXPECT_TRUE(stage.until([&] { return answer.has_value(); }));
    lease.onResponse(*answer, stage.clock.nowMs());
    return *answer;
  }
};

TEST_F(OnEtcd, ALeaseLapsesAndTheNextFenceLiesAbove) {
  Lease first(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  EXPECT_EQ(ask(first).result, LeaseResult::kGranted);
  stage.pass(2001);
  Lease second(shortConfig(), {"c2", 2}, 1, stage.clock.nowMs());
  const LeaseResponse taken = ask(second);
  EXPECT_EQ(taken.result, LeaseResult::kGranted);
  EXPECT_EQ(taken.fence, 2u);
  EXPECT_EQ(server.value("test/fence/maintenance"), "2");
}

TEST_F(OnEtcd, AnAnswerThatIsLostAfterItTookEffectCostsNoMoreThanAnotherAsk) {
  Lease lease(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  server.loseAnswer = [](const json& body) { return body.contains("compare"); };
  EXPECT_EQ(ask(lease).result, LeaseResult::kUnavailable);
  EXPECT_TRUE(server.value("test/lease/maintenance"));
  server.loseAnswer = nullptr;
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(lease).result, LeaseResult::kGranted);
  EXPECT_EQ(lease.fence(), 2u);
}

TEST_F(OnEtcd, WithoutALeaderNothingIsKnownAndAfterItNothingIsLost) {
  Lease lease(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  ask(lease);
  server.noLeader = true;
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(lease).result, LeaseResult::kUnavailable);
  EXPECT_EQ(lease.state(), LeaseState::kDoubtful);
  server.newLeader();
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(lease).result, LeaseResult::kGranted);
  EXPECT_EQ(lease.state(), LeaseState::kHolding);
}

// Put back to an older copy: the holder is told, and whoever has seen a fence gets one above it.
TEST_F(OnEtcd, AStoreThatWasPutBackGivesNoFenceTwiceToWhoHasSeenIt) {
  const auto older = server.copy();
  Lease first(shortConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  ask(first);
  Lease second(shortConfig(), {"c2", 2}, 1, stage.clock.nowMs());
  EXPECT_EQ(ask(second).result, LeaseResult::kHeld);
  server.putBack(*older);
  stage.pass(first.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(first).result, LeaseResult::kLost);
  EXPECT_EQ(first.state(), LeaseState::kExpired);
  stage.pass(second.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(ask(second).result, LeaseResult::kGranted);
  EXPECT_EQ(second.fence(), 2u);
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
  EXPECT_EQ(ask(lease).result, LeaseResult::kHeld);
  EXPECT_EQ(stage.counters["coordination.foreign"], 1u);
}

}  // namespace
}  // namespace inference_router
