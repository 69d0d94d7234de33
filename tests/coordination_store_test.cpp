// Tests of the coordination stores: behaviour that the SQLite file and etcd have in common, and
// what is specific to each.
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

LeaseConfig shortLeaseConfig(const std::string& task = "maintenance") {
  LeaseConfig config;
  config.task = task;
  config.ttlMs = 2000;
  config.requestTimeoutMs = 300;
  config.maxStepMs = 300;
  config.renewJitter = 0;
  return config;
}

// ---- Both stores

struct SqliteEnvironment {
  TemporaryDirectory folder;
  std::unique_ptr<Store> open(NetworkFixture& stage) {
    return std::make_unique<SqliteStore>(stage.io, folder.path + "/shared.db", 5000);
  }
  explicit SqliteEnvironment(NetworkFixture&) {}
};

struct EtcdEnvironment {
  EtcdStandIn server;
  explicit EtcdEnvironment(NetworkFixture& stage) : server(stage.io, stage.clock, stage.timers) {}
  std::unique_ptr<Store> open(NetworkFixture& stage) {
    return std::make_unique<EtcdStore>(stage.io, stage.clock, stage.timers, stage.counters,
                                       EtcdConfig{{server.address()}, "test/", 1000});
  }
};

template <class Environment>
class CoordinationStore : public ::testing::Test {
 protected:
  NetworkFixture stage;
  Environment environment{stage};

  LeaseResponse requestLease(Store& store, const LeaseRequest& request) {
    std::optional<LeaseResponse> response;
    store.requestLease(request, [&](const LeaseResponse& received) { response = received; });
    EXPECT_TRUE(stage.until([&] { return response.has_value(); }));
    return response.value_or(LeaseResponse{});
  }
  CommitResponse commit(Store& store, const Fence* fence, std::vector<Write> writes) {
    std::optional<CommitResponse> response;
    const auto onCommitted = [&](CommitResponse received) { response = received; };
    if (fence != nullptr)
      store.commit(*fence, std::move(writes), onCommitted);
    else
      store.write(writes.front(), onCommitted);
    EXPECT_TRUE(stage.until([&] { return response.has_value(); }));
    return response.value_or(CommitResponse{});
  }
  ReadResponse readAll(Store& store) {
    std::optional<ReadResponse> response;
    store.readAll([&](const ReadResponse& received) { response = received; });
    EXPECT_TRUE(stage.until([&] { return response.has_value(); }));
    return response.value_or(ReadResponse{});
  }
  // A state machine that has acquired the lease from the store.
  Lease acquireLease(Store& store, const Holder& holder, double nowMs) {
    Lease lease(shortLeaseConfig(), holder, 1, nowMs);
    lease.onResponse(requestLease(store, *lease.tick(nowMs)), nowMs);
    EXPECT_EQ(lease.state(), LeaseState::kHolding);
    return lease;
  }
};

using Environments = ::testing::Types<SqliteEnvironment, EtcdEnvironment>;
TYPED_TEST_SUITE(CoordinationStore, Environments);

TYPED_TEST(CoordinationStore, GrantsALeaseToOneCandidateAndReportsTheHolderToOthers) {
  const auto firstStore = this->environment.open(this->stage),
             secondStore = this->environment.open(this->stage);
  Lease first = this->acquireLease(*firstStore, {"c1", 1}, 0);
  Lease second(shortLeaseConfig(), {"c2", 2}, 1, 0);
  const LeaseResponse response = this->requestLease(*secondStore, *second.tick(0));
  EXPECT_EQ(response.result, LeaseResult::kHeld);
  ASSERT_TRUE(response.record);
  EXPECT_EQ(response.record->holder.name, "c1");
  EXPECT_GT(response.remainingMs, 0);
  second.onResponse(response, 1);
  EXPECT_EQ(second.state(), LeaseState::kCandidate);
  // A renewal keeps the lease; after a release the next holder gets a higher fence.
  first.onResponse(this->requestLease(*firstStore, *first.tick(first.nextMs())), 700);
  EXPECT_EQ(first.counts().renewed, 1u);
  first.resign(710);
  first.onResponse(this->requestLease(*firstStore, *first.tick(710)), 720);
  EXPECT_EQ(first.counts().released, 1u);
  Lease third(shortLeaseConfig(), {"c3", 3}, 1, 0);
  third.onResponse(this->requestLease(*secondStore, *third.tick(0)), 1);
  EXPECT_EQ(third.state(), LeaseState::kHolding);
  EXPECT_GT(third.fence(), 1u);
}

// After a holder has died, candidates must not wait for a whole lease duration instead of the
// lease's remaining time.
TEST(EtcdLeaseTimeToLive, IsReportedToACandidate) {
  NetworkFixture stage;
  EtcdStandIn server(stage.io, stage.clock, stage.timers);
  const EtcdConfig config{{server.address()}, "test/", 1000};
  EtcdStore firstStore(stage.io, stage.clock, stage.timers, stage.counters, config),
      secondStore(stage.io, stage.clock, stage.timers, stage.counters, config);
  const auto acquire = [&](EtcdStore& store, const Holder& holder) {
    std::optional<LeaseResponse> response;
    store.requestLease({LeaseOperation::kAcquire, "t", holder, 1, 0, 5000, 0},
                       [&](const LeaseResponse& received) { response = received; });
    EXPECT_TRUE(stage.until([&] { return response.has_value(); }));
    return response.value_or(LeaseResponse{});
  };
  EXPECT_EQ(acquire(firstStore, {"c1", 1}).result, LeaseResult::kGranted);
  stage.clock.advance(3200);
  const LeaseResponse held = acquire(secondStore, {"c2", 2});
  EXPECT_EQ(held.result, LeaseResult::kHeld);
  EXPECT_DOUBLE_EQ(held.remainingMs, 1500) << "1.8 s, reported as 1 s, plus 0.5 s for the rounding";
}

// The result contains only the requested documents, with the same revisions as in a full read.
TYPED_TEST(CoordinationStore, ReadsOnlyTheRequestedDocuments) {
  const auto store = this->environment.open(this->stage);
  for (const char* key : {"a", "b", "c"})
    ASSERT_EQ(this->commit(*store, nullptr, {{key, 0, std::string("of ") + key}}).status,
              CommitStatus::kDone);
  std::optional<ReadResponse> selected;
  store->read({"a", "c", "none"}, [&](const ReadResponse& received) { selected = received; });
  ASSERT_TRUE(this->stage.until([&] { return selected.has_value(); }));
  ASSERT_TRUE(selected->ok) << selected->error;
  const ReadResponse all = this->readAll(*store);
  EXPECT_EQ(selected->documents.size(), 2u);
  for (const auto& [key, document] : selected->documents)
    EXPECT_EQ(document, all.documents.at(key));
  EXPECT_EQ(selected->revision, all.revision);
}

TYPED_TEST(CoordinationStore, WritesDocumentsOnlyAtTheExpectedRevision) {
  const auto store = this->environment.open(this->stage);
  const auto created = this->commit(*store, nullptr, {{"plan", 0, "one"}});
  ASSERT_EQ(created.status, CommitStatus::kDone);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", 0, "two"}}).status, CommitStatus::kConflict);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", created.revision + 7, "two"}}).status,
            CommitStatus::kConflict);
  const ReadResponse all = this->readAll(*store);
  ASSERT_TRUE(all.ok) << all.error;
  EXPECT_EQ(all.documents.at("plan"), (Document{"one", created.revision}));
  const auto changed = this->commit(*store, nullptr, {{"plan", created.revision, "two"}});
  ASSERT_EQ(changed.status, CommitStatus::kDone);
  EXPECT_GT(changed.revision, created.revision);
  EXPECT_EQ(this->commit(*store, nullptr, {{"plan", changed.revision, std::nullopt}}).status,
            CommitStatus::kDone);
  EXPECT_TRUE(this->readAll(*store).documents.empty());
  EXPECT_EQ(this->commit(*store, nullptr, {{"", 0, "x"}}).status, CommitStatus::kRefused);
  EXPECT_EQ(this->commit(*store, nullptr, {{"k", 0, std::string(kMaxValueBytes + 1, 'x')}}).status,
            CommitStatus::kRefused);
}

TYPED_TEST(CoordinationStore, RefusesACommitWithAStaleFence) {
  const auto firstStore = this->environment.open(this->stage),
             secondStore = this->environment.open(this->stage);
  Lease first = this->acquireLease(*firstStore, {"c1", 1}, 0);
  const auto fence = first.beginStep(1);
  ASSERT_TRUE(fence);
  EXPECT_EQ(this->commit(*firstStore, &*fence, {{"a", 0, "by c1"}}).status, CommitStatus::kDone);
  // The holder has a late step; its lease is released and acquired by another.
  first.endStep(true, 2);
  const auto lateFence = first.beginStep(2);
  first.endStep(false, 3);
  first.resign(3);
  first.onResponse(this->requestLease(*firstStore, *first.tick(3)), 4);
  EXPECT_EQ(this->commit(*firstStore, &*lateFence, {{"b", 0, "by c1"}}).status,
            CommitStatus::kStaleFence)
      << "released";
  Lease second = this->acquireLease(*secondStore, {"c2", 2}, 0);
  EXPECT_EQ(this->commit(*firstStore, &*lateFence, {{"b", 0, "by c1"}}).status,
            CommitStatus::kStaleFence)
      << "held by another";
  const auto secondFence = second.beginStep(5);
  EXPECT_EQ(this->commit(*secondStore, &*secondFence, {{"b", 0, "by c2"}, {"a", 0, "x"}}).status,
            CommitStatus::kConflict)
      << "all or nothing";
  EXPECT_EQ(this->readAll(*secondStore).documents.count("b"), 0u);
  EXPECT_EQ(this->commit(*secondStore, &*secondFence, {{"b", 0, "by c2"}}).status,
            CommitStatus::kDone);
}

// ---- SQLite

MachineClock clockOf(double& now, std::string bootId = "boot-1") {
  return {[&now] { return now; }, [] { return 0.0; }, std::move(bootId)};
}

TEST(SqliteFileLeases, ExpireByTheMachineClockAndKeepTheirFenceAcrossAReboot) {
  const TemporaryDirectory folder;
  double now = 1000;
  std::uint64_t fence = 0;
  {
    SqliteFile file(folder.path + "/a.db", clockOf(now), 100);
    const LeaseRequest firstRequest{LeaseOperation::kAcquire, "t", {"c1", 1}, 1, 0, 500, 0},
        otherRequest{LeaseOperation::kAcquire, "t", {"c2", 2}, 1, 0, 500, 0};
    EXPECT_EQ(file.requestLease(firstRequest).result, LeaseResult::kGranted);
    EXPECT_EQ(file.requestLease(otherRequest).result, LeaseResult::kHeld);
    now += 499;
    EXPECT_EQ(file.requestLease(otherRequest).result, LeaseResult::kHeld);
    now += 1;
    const LeaseResponse granted = file.requestLease(otherRequest);
    EXPECT_EQ(granted.result, LeaseResult::kGranted);
    fence = granted.fence;
  }
  // After a reboot the clock restarts, and no earlier process exists any more.
  now = 3;
  SqliteFile file(folder.path + "/a.db", clockOf(now, "boot-2"), 100);
  const LeaseResponse afterReboot =
      file.requestLease({LeaseOperation::kAcquire, "t", {"c3", 3}, 1, 0, 500, 0});
  EXPECT_EQ(afterReboot.result, LeaseResult::kGranted);
  EXPECT_GT(afterReboot.fence, fence);
}

TEST(SqliteFileFormat, RejectsForeignDamagedAndNewerFiles) {
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
  { SqliteFile created(later, clockOf(now), 100); }
  run(later, "PRAGMA user_version=2");
  EXPECT_THROW(SqliteFile(later, clockOf(now), 100), SqliteError);
  run(later,
      "PRAGMA user_version=1; INSERT INTO lease VALUES('t','{\"form\":\"other\"}','boot-1')");
  SqliteFile damaged(later, clockOf(now), 100);
  EXPECT_THROW(damaged.requestLease({LeaseOperation::kAcquire, "t", {"c1", 1}, 1, 0, 500, 0}),
               SqliteError)
      << "a damaged fence is not replaced by a guess";
}

// A stalled disk blocks the storage thread only; a job that does not fit into the queue is rejected
// at once.
TEST(StorageThreadQueue, RejectsJobsWithoutBlockingWhenFull) {
  StorageThread thread;
  std::mutex gate;
  gate.lock();
  ASSERT_TRUE(thread.post([&] { const std::lock_guard waitForGate(gate); }));
  std::size_t queued = 0;
  while (thread.post([] {}) && queued < 10 * StorageThread::kMaxJobs)
    ++queued;
  EXPECT_GE(queued, StorageThread::kMaxJobs - 1);
  EXPECT_LE(queued, StorageThread::kMaxJobs + 1);
  gate.unlock();
}

// ---- etcd

struct EtcdStoreTest : ::testing::Test {
  NetworkFixture stage;
  EtcdStandIn server{stage.io, stage.clock, stage.timers};
  EtcdStore store{stage.io,
                  stage.clock,
                  stage.timers,
                  stage.counters,
                  {{server.address()}, "test/", 1000}};

  LeaseResponse requestLease(Lease& lease) {
    std::optional<LeaseResponse> response;
    const auto request = lease.tick(stage.clock.nowMs());
    EXPECT_TRUE(request);
    store.requestLease(*request, [&](const LeaseResponse& received) { response = received; });
    EXPECT_TRUE(stage.until([&] { return response.has_value(); }));
    lease.onResponse(*response, stage.clock.nowMs());
    return *response;
  }
};

// Guards against a caller that waits forever for a response that cannot be read.
TEST(EtcdStoreResponses, OfAnUnexpectedFormAnswerEachCallbackOnce) {
  for (const char* text :
       {R"({"responses":5,"succeeded":"x","kvs":[5]})",
        R"({"responses":[{"response_range":{"kvs":[7]}}],"kvs":{"key":1},"succeeded":3})",
        R"({"responses":[[]],"kvs":[{"key":5}],"succeeded":[]})"}) {
    NetworkFixture stage;
    StandInInstance server(stage.io, stage.clock, stage.timers);
    server.script = [text](StandInInstance&, StandInInstance::ReceivedRequest& request) {
      request.connection->answer(200, {{"Content-Type", "application/json"}}, text);
    };
    EtcdStore store(stage.io, stage.clock, stage.timers, stage.counters,
                    {{server.address()}, "test/", 1000});
    int leases = 0, reads = 0, writes = 0;
    Lease lease(shortLeaseConfig(), {"c1", 1}, 1, stage.clock.nowMs());
    store.requestLease(*lease.tick(stage.clock.nowMs()), [&](const LeaseResponse& response) {
      ++leases;
      EXPECT_EQ(response.result, LeaseResult::kUnavailable);
    });
    store.write({.key = "k", .value = "v"}, [&](CommitResponse response) {
      ++writes;
      EXPECT_EQ(response.status, CommitStatus::kUnavailable);
    });
    const auto onRead = [&](const ReadResponse& response) {
      ++reads;
      EXPECT_FALSE(response.ok);
    };
    store.readAll(onRead);
    store.read({"k"}, onRead);
    EXPECT_TRUE(stage.until([&] { return leases > 0 && writes > 0 && reads > 1; }))
        << text << leases << writes << reads;
    EXPECT_EQ(leases, 1);
    EXPECT_EQ(writes, 1);
    EXPECT_EQ(reads, 2);
  }
}

TEST_F(EtcdStoreTest, ExpiredLeaseIsGrantedWithAHigherFence) {
  Lease first(shortLeaseConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  EXPECT_EQ(requestLease(first).result, LeaseResult::kGranted);
  stage.pass(2001);
  Lease second(shortLeaseConfig(), {"c2", 2}, 1, stage.clock.nowMs());
  const LeaseResponse granted = requestLease(second);
  EXPECT_EQ(granted.result, LeaseResult::kGranted);
  EXPECT_EQ(granted.fence, 2u);
  EXPECT_EQ(server.value("test/fence/maintenance"), "2");
}

TEST_F(EtcdStoreTest, LeaseIsAcquiredByARetryAfterALostResponse) {
  Lease lease(shortLeaseConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  server.loseResponse = [](const json& body) { return body.contains("compare"); };
  EXPECT_EQ(requestLease(lease).result, LeaseResult::kUnavailable);
  EXPECT_TRUE(server.value("test/lease/maintenance"));
  server.loseResponse = nullptr;
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(requestLease(lease).result, LeaseResult::kGranted);
  EXPECT_EQ(lease.fence(), 2u);
}

TEST_F(EtcdStoreTest, LeaseIsDoubtfulWithoutALeaderAndRenewedAfterwards) {
  Lease lease(shortLeaseConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  requestLease(lease);
  server.noLeader = true;
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(requestLease(lease).result, LeaseResult::kUnavailable);
  EXPECT_EQ(lease.state(), LeaseState::kDoubtful);
  server.newLeader();
  stage.pass(lease.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(requestLease(lease).result, LeaseResult::kGranted);
  EXPECT_EQ(lease.state(), LeaseState::kHolding);
}

// After a restore from an older backup the holder learns that its lease is lost, and a candidate
// that has seen a fence gets a higher firstStore.
TEST_F(EtcdStoreTest, RestoredStoreGrantsAHigherFenceThanTheCandidateHasSeen) {
  const auto backup = server.makeBackup();
  Lease first(shortLeaseConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  requestLease(first);
  Lease second(shortLeaseConfig(), {"c2", 2}, 1, stage.clock.nowMs());
  EXPECT_EQ(requestLease(second).result, LeaseResult::kHeld);
  server.restore(*backup);
  stage.pass(first.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(requestLease(first).result, LeaseResult::kLost);
  EXPECT_EQ(first.state(), LeaseState::kExpired);
  stage.pass(second.nextMs() - stage.clock.nowMs());
  EXPECT_EQ(requestLease(second).result, LeaseResult::kGranted);
  EXPECT_EQ(second.fence(), 2u);
}

TEST_F(EtcdStoreTest, LeaseKeyWithAForeignValueCountsAsHeld) {
  const auto encode = [&](const std::string& text) {
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::encoded_size(text.size()), '\0');
    out.resize(base64::encode(out.data(), text.data(), text.size()));
    return out;
  };
  net::ConnectionPool pool(stage.io, stage.clock, stage.timers, stage.counters, {1, 1000, 1000});
  const auto reply = std::make_shared<Reply>();
  const auto body = std::make_shared<const std::string>(json{
      {"success",
       {{{"request_put", {{"key", encode("test/lease/maintenance")}, {"value", encode("mine")}}}}}}}
                                                            .dump());
  pool.call(
      server.address(),
      net::headText("POST /v3/kv/txn HTTP/1.1", {{"Content-Length", std::to_string(body->size())}}),
      body, reply);
  ASSERT_TRUE(stage.until([&] { return reply->over; }));
  Lease lease(shortLeaseConfig(), {"c1", 1}, 1, stage.clock.nowMs());
  EXPECT_EQ(requestLease(lease).result, LeaseResult::kHeld);
  EXPECT_EQ(stage.counters["coordination.foreign"], 1u);
}

}  // namespace
}  // namespace inference_router
