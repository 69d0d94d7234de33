// The watch on discovery: which lists are applied, when it is reopened, and at which address.
#include <algorithm>
#include <map>
#include <utility>

#include "support/discovery_fixture.h"
#include "support/live_bytes.h"

namespace inference_router {
namespace {

using nlohmann::json;

TEST(DiscoveryWatch, KeepsTheListWhenTheWatchBreaksAndReopensAtTheSameRevision) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io);
  fixture.discovery.loadCached(json::parse(listOf(41, true, "active")));
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("GET /api/targets?watch=1&after=41 "), std::string::npos);
  const std::string line = listOf(43, false, "leaving");
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(line.substr(0, 30)));
  agent.write(net::encodeChunk(line.substr(30) + "\n"));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  agent.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  ASSERT_NE(fixture.directory.find({"a"}), nullptr);
  fixture.pass(150);
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=43 "), std::string::npos);
}

// A reload may move discovery to another address. Updates must continue without a gap meanwhile,
// and the move must not depend on the old address.
TEST(DiscoveryWatch, MovesWithoutAGapAndRetriesASilentAddress) {
  DiscoveryFixture fixture;
  RawPeer before(fixture.io), silent(fixture.io), after(fixture.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto acceptWatch = [&](RawPeer& agent) {
    agent.accept();
    EXPECT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
    return agent.readSome();
  };
  fixture.discovery.watch(before.address());
  acceptWatch(before);
  before.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
  fixture.discovery.watch(silent.address());
  acceptWatch(silent);
  fixture.discovery.watch(after.address());  // changed again before the first has sent anything
  EXPECT_NE(acceptWatch(after).find("after=0 "),
            std::string::npos);  // revisions of addresses are not comparable
  ASSERT_TRUE(fixture.until([&] { return silent.ended(); }));
  before.write(net::encodeChunk(listOf(42, false, "leaving")));  // the old watch is still in use
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_FALSE(before.ended());
  fixture.pass(1001);  // no first byte: retried, well before 4 s
  fixture.pass(151);
  acceptWatch(after);
  after.write(head + net::encodeChunk(listOf(7, true, "active")));
  ASSERT_TRUE(
      fixture.until([&] { return fixture.counters["discovery.lists"] == 3 && before.ended(); }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kActive);
  fixture.pass(151);
  EXPECT_EQ(fixture.counters["discovery.watches"], 4U);  // the end of the old watch opens no other
}

// The agent of a test: answers the watch of a fixture.
struct Agent : RawPeer {
  explicit Agent(DiscoveryFixture& discovery) : RawPeer(discovery.io), fixture(discovery) {}
  // Accepts the next call, and returns its request.
  std::string acceptCall() {
    accept();
    EXPECT_TRUE(fixture.until([&] { return hasBytes(); }));
    return readSome();
  }
  void beginWatch(const std::string& firstDocument) {
    write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
          net::encodeChunk(firstDocument));
  }
  DiscoveryFixture& fixture;
};

// Guards against an empty line that is taken for the list of an address that has not sent one.
TEST(DiscoveryWatch, EmptyLineFromANewAddressDoesNotReplaceTheOldWatch) {
  DiscoveryFixture fixture;
  Agent before(fixture), after(fixture);
  fixture.discovery.watch(before.address());
  before.acceptCall();
  before.beginWatch(listOf(41, true, "active"));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
  fixture.discovery.watch(after.address());
  after.acceptCall();
  after.beginWatch("\n");
  before.write(net::encodeChunk(listOf(42, false, "leaving")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
  EXPECT_FALSE(before.ended());
  EXPECT_FALSE(fixture.discovery.status().list.confirmed());
  after.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  fixture.pass(151);
  EXPECT_NE(after.acceptCall().find("after=0 "), std::string::npos);
  after.beginWatch(listOf(7, true, "active"));
  ASSERT_TRUE(fixture.until([&] { return before.ended(); }));
  EXPECT_TRUE(fixture.discovery.status().list.confirmed());
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kActive);
}

TEST(DiscoveryWatch, WatchThatSendsKeepAlivesAndNoListIsReplaced) {
  DiscoveryFixture fixture;
  Agent agent(fixture);
  fixture.discovery.watch(agent.address());
  agent.acceptCall();
  agent.beginWatch("\n");
  double passedMs = 0;
  for (; fixture.counters["discovery.ended.silent"] < 1; passedMs += 100) {
    ASSERT_LT(passedMs, fleet::DiscoveryBackoff::kDeliveryLimitMs);
    agent.write(net::encodeChunk("\n"));
    for (int i = 0; i < 5; ++i) {
      fixture.io.restart();
      fixture.io.run_one_for(std::chrono::milliseconds(1));
    }
    fixture.pass(100);
    if (passedMs >= fixture.maxGapMs()) {
      ASSERT_GE(fixture.counters["discovery.watches"], 2U) << "no call beside the one without list";
    }
  }
  EXPECT_FALSE(fixture.discovery.hasWatch());
  EXPECT_TRUE(agent.ended());
  EXPECT_NE(agent.acceptCall().find("after=0 "), std::string::npos);
}

// An error response that never ends must not keep the router from calling again.
TEST(DiscoveryWatch, ErrorResponseWithAnEndlessBodyIsAFailedCall) {
  DiscoveryFixture fixture;
  Agent agent(fixture);
  fixture.discovery.watch(agent.address());
  agent.acceptCall();
  agent.write("HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk("\n"));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  fixture.pass(151);
  agent.acceptCall();
  agent.beginWatch(listOf(41, true, "active"));
  ASSERT_TRUE(fixture.until([&] { return fixture.discovery.hasWatch(); }));
}

// Guards against sends to an instance whose drain is reported late: discovery counts it as known
// while the watch is lost.
TEST(DiscoveryWatch, DrainReportedAfterALostWatchCountsFromTheLossOn) {
  for (const bool lost : {false, true}) {
    DiscoveryFixture fixture;
    Agent agent(fixture);
    fixture.discovery.watch(agent.address());
    agent.acceptCall();
    agent.beginWatch(listOf(41, true, "active"));
    ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
    const std::string change = listOf(42, false, "leaving");
    if (lost) {
      agent.reset();
      ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
      fixture.pass(151);
      agent.acceptCall();
      fixture.pass(700);
      agent.beginWatch(change);
    } else {
      fixture.pass(851);
      agent.write(net::encodeChunk(change));
    }
    ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
    EXPECT_EQ(fixture.dispatcher.mayReserve({"a"}), !lost);
  }
}

// A silent watch may have missed a drain since its last line.
TEST(DiscoveryWatch, DrainReportedAfterASilentWatchCountsFromItsLastLineOn) {
  DiscoveryFixture fixture;
  Agent agent(fixture);
  fixture.discovery.watch(agent.address());
  agent.acceptCall();
  agent.beginWatch(listOf(41, true, "active"));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
  const double lastLineMs = fixture.clock.nowMs();
  fixture.pass(2'601);
  EXPECT_EQ(fixture.discovery.status().list.sinceMs(), lastLineMs);
  agent.write(net::encodeChunk(listOf(42, false, "leaving")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
  EXPECT_FALSE(fixture.dispatcher.mayReserve({"a"}));
}

// What becomes of the calls of a test while discovery is out of reach.
enum class Outage { kRefused, kUnanswered, kClosed, kKeepAliveOnly, kErrors };

// An agent that is out of reach in one way, and counts the calls that it accepts.
class AgentOutOfReach final : public net::RequestHandler {
 public:
  AgentOutOfReach(DiscoveryFixture& fixture, Outage outage)
      : outage_(outage),
        listener_(fixture.io,
                  anyPort(),
                  1'000,
                  *this,
                  fixture.clock,
                  fixture.timers,
                  fixture.counters,
                  {.open = outage != Outage::kRefused}) {}
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&&,
               double) override {
    if (outage_ == Outage::kErrors)
      return connection->answer(503, {}, "");
    if (outage_ == Outage::kClosed)
      return connection->abortResponse();
    if (outage_ == Outage::kUnanswered)
      return;
    connection->beginStream({});
    connection->writeChunk("\n");
  }
  void disconnected(net::ClientConnection&) override {}
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection&, unsigned, std::string_view) override {}
  net::Endpoint address() const { return listener_.address(); }
  std::size_t connections() const { return listener_.size(); }

 private:
  Outage outage_;
  net::Listener listener_;
};

// Guards against retry delays that grow with an outage: what discovery has at its return counts as
// known at once, so a call has to begin well within the drain grace period of any moment. Errors
// tell of a discovery that can be reached, which a fleet lets recover in the end.
TEST(DiscoveryWatch, CallsOftenThroughoutAnOutageOfAnyLength) {
  constexpr double kStepMs = 10, kHeldUpMs = 150;
  for (const Outage outage : {Outage::kRefused, Outage::kUnanswered, Outage::kClosed,
                              Outage::kKeepAliveOnly, Outage::kErrors}) {
    for (const double drainGraceMs : {700.0, 1'000.0, 2'000.0}) {
      const double outageMs = outage == Outage::kErrors ? 10'000 : 80'000;
      DiscoveryFixture fixture(drainGraceMs);
      AgentOutOfReach agent(fixture, outage);
      fixture.discovery.watch(agent.address());
      double sinceCallMs = 0, longestMs = 0;
      auto calls = fixture.counters["discovery.watches"];
      for (double passedMs = 0; passedMs < outageMs; passedMs += kStepMs) {
        fixture.run(kStepMs);
        sinceCallMs += kStepMs;
        longestMs = std::max(longestMs, sinceCallMs);
        if (std::exchange(calls, fixture.counters["discovery.watches"]) != calls)
          sinceCallMs = 0;
        ASSERT_LE(agent.connections(), 3U);
      }
      EXPECT_LE(longestMs, drainGraceMs - kHeldUpMs)
          << "outage " << static_cast<int>(outage) << ", grace " << drainGraceMs;
      EXPECT_GE(longestMs, drainGraceMs / 2) << "calls more often than it has to";
    }
  }
}

// A discovery that is slow answers the call that has waited longest, so that one is not given up
// for newer ones.
TEST(DiscoveryWatch, ASlowAnswerIsWaitedForBesideNewerCalls) {
  DiscoveryFixture fixture;
  Agent agent(fixture);
  fixture.discovery.watch(agent.address());
  agent.acceptCall();
  fixture.run(2'500);
  EXPECT_GE(fixture.counters["discovery.watches"], 3U);
  EXPECT_GE(fixture.counters["discovery.replaced"], 1U);
  agent.beginWatch(listOf(41, true, "active"));
  ASSERT_TRUE(fixture.until([&] { return fixture.discovery.hasWatch(); }));
  EXPECT_EQ(fixture.counters["discovery.lists"], 1U);
  const auto calls = fixture.counters["discovery.watches"];
  fixture.run(2'000);
  EXPECT_EQ(fixture.counters["discovery.watches"], calls);
  EXPECT_FALSE(agent.ended());
}

// A call that waits, and will never be answered, must not keep newer ones from being answered.
TEST(DiscoveryWatch, ANewerCallIsAnsweredWhileAnOlderOneHangs) {
  DiscoveryFixture fixture;
  Agent agent(fixture), hanging(fixture);
  fixture.discovery.watch(hanging.address());
  hanging.acceptCall();
  hanging.beginWatch(listOf(41, true, "active"));
  ASSERT_TRUE(fixture.until([&] { return fixture.discovery.hasWatch(); }));
  fixture.discovery.watch(agent.address());
  RawPeer first(fixture.io);
  first.take(agent);  // the call hangs from now on
  fixture.run(fixture.maxGapMs());
  agent.acceptCall();
  agent.beginWatch(listOf(7, true, "leaving"));
  ASSERT_TRUE(fixture.until([&] { return hanging.ended(); }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_TRUE(fixture.until([&] { return first.ended(); }));
  EXPECT_TRUE(fixture.discovery.status().list.confirmed());
}

// Two addresses in turn: each is called as often as a single one.
TEST(DiscoveryWatch, EachOfTwoAddressesIsCalledOftenDuringAnOutage) {
  DiscoveryFixture fixture;
  AgentOutOfReach gone(fixture, Outage::kRefused), silent(fixture, Outage::kUnanswered);
  fixture.discovery.watch(gone.address());
  fixture.discovery.setFallback(silent.address());
  std::map<net::Endpoint, double> sinceCallMs, longestMs;
  auto calls = fixture.counters["discovery.watches"];
  for (int step = 0; step < 1'000; ++step) {
    fixture.run(10);
    for (const net::Endpoint& address : {gone.address(), silent.address()}) {
      sinceCallMs[address] += 10;
      longestMs[address] = std::max(longestMs[address], sinceCallMs[address]);
    }
    if (std::exchange(calls, fixture.counters["discovery.watches"]) != calls)
      sinceCallMs[fixture.discovery.status().address] = 0;
  }
  EXPECT_LE(longestMs[gone.address()], 850);
  EXPECT_LE(longestMs[silent.address()], 850);
}

// A file that names the address of the environment is no reason to call it twice as often.
TEST(DiscoveryWatch, FallbackToTheSameAddressChangesNothing) {
  std::map<bool, std::uint64_t> calls;
  for (const bool hasFallback : {false, true}) {
    DiscoveryFixture fixture;
    AgentOutOfReach agent(fixture, Outage::kRefused);
    fixture.discovery.watch(agent.address());
    if (hasFallback)
      fixture.discovery.setFallback(agent.address());
    fixture.run(10'000);
    calls[hasFallback] = fixture.counters["discovery.watches"];
  }
  EXPECT_EQ(calls[true], calls[false]);
}

// The environment of a process may name an address that discovery has left, and its file the new
// one.
TEST(DiscoveryWatch, AddressesTakeTurnsUntilOneSendsAList) {
  DiscoveryFixture fixture;
  Agent gone(fixture), present(fixture);
  const net::Endpoint goneAddress = gone.address();
  gone.stopListening();
  fixture.discovery.loadCached(json::parse(listOf(41, true, "active")));
  fixture.discovery.watch(goneAddress);
  fixture.discovery.setFallback(present.address());
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  fixture.pass(151);
  EXPECT_NE(present.acceptCall().find("after=0 "), std::string::npos);
  present.beginWatch(listOf(7, true, "leaving"));
  ASSERT_TRUE(fixture.until([&] { return fixture.discovery.hasWatch(); }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  present.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 2; }));
  fixture.pass(151);
  EXPECT_NE(present.acceptCall().find("after=7 "), std::string::npos);  // not the fallback
}

// A configuration that moved discovery without a signal is found once the old address is lost.
TEST(DiscoveryWatch, RetryMayChangeTheAddress) {
  DiscoveryFixture fixture;
  Agent before(fixture), after(fixture);
  int retries = 0;
  fixture.discovery.onRetry([&] {
    ++retries;
    fixture.discovery.watch(after.address());
  });
  fixture.discovery.watch(before.address());
  before.acceptCall();
  before.beginWatch(listOf(41, true, "active"));
  ASSERT_TRUE(fixture.until([&] { return fixture.discovery.hasWatch(); }));
  before.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  fixture.pass(151);
  EXPECT_EQ(retries, 1);
  EXPECT_NE(after.acceptCall().find("after=0 "), std::string::npos);
  after.beginWatch(listOf(7, true, "leaving"));
  ASSERT_TRUE(fixture.until([&] { return fixture.discovery.hasWatch(); }));
  EXPECT_EQ(fixture.counters["discovery.watches"], 2U);
}

TEST(DiscoveryWatch, TellsSinceWhenAndWhyTheListIsUnconfirmed) {
  using fleet::ListDoubt;
  DiscoveryFixture fixture;
  Agent before(fixture), after(fixture);
  std::vector<std::optional<ListDoubt>> reasons;
  fixture.discovery.onStatus([&](const frontend::DiscoveryStatus& status) {
    if (reasons.empty() || reasons.back() != status.list.reason())
      reasons.push_back(status.list.reason());
  });
  const double startedMs = fixture.clock.nowMs();
  fixture.discovery.watch(before.address());
  fixture.pass(100);
  EXPECT_EQ(fixture.discovery.status().list.sinceMs(), startedMs);
  before.acceptCall();
  before.beginWatch(listOf(41, true, "active"));
  ASSERT_TRUE(fixture.until([&] { return fixture.discovery.hasWatch(); }));
  fixture.pass(2'601);
  before.write(net::encodeChunk("\n"));
  ASSERT_TRUE(fixture.until([&] { return fixture.discovery.status().list.confirmed(); }));
  fixture.pass(500);
  const double endedMs = fixture.clock.nowMs();
  before.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  EXPECT_TRUE(fixture.discovery.status().nextCallMs);
  EXPECT_EQ(fixture.discovery.status().list.sinceMs(), endedMs);
  fixture.discovery.watch(after.address());
  EXPECT_EQ(fixture.discovery.status().address, after.address());
  EXPECT_EQ(reasons, (std::vector<std::optional<ListDoubt>>{
                         ListDoubt::kNotListed, std::nullopt, ListDoubt::kWatchSilent, std::nullopt,
                         ListDoubt::kWatchEnded, ListDoubt::kMoved}));
}

// If discovery is down for all clients, a watch that is closed and reopened loses its position in
// discovery's queue and is served last.
TEST(DiscoveryWatch, KeepsASilentWatchWhileTryingAnotherInParallel) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io), other(fixture.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto lists = [&](int count) {
    return fixture.until(
        [&] { return fixture.counters["discovery.lists"] == static_cast<unsigned>(count); });
  };
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(lists(1));
  fixture.pass(2601);
  fixture.pass(151);  // the next watch is being opened and is not accepted
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.watches"] == 2; }));
  EXPECT_FALSE(agent.ended());
  agent.write(net::encodeChunk(listOf(42, false, "leaving")));
  ASSERT_TRUE(lists(2));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  fixture.pass(1001);  // the parallel watch was dropped when the first continued
  fixture.pass(501);
  EXPECT_EQ(fixture.counters["discovery.watches"], 2U);
  EXPECT_FALSE(agent.ended());
}

// An agent may send its lists indented over many lines and in small pieces. A drain in such a list
// must not be missed.
TEST(DiscoveryWatch, AcceptsListsIndentedOverManyLines) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io);
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  const auto indentedList = [](int revision, bool complete, const std::string& phase) {
    json list = json::parse(listOf(revision, complete, phase));
    list["note"] = "a \"}\" and a \\\\";
    return list.dump(2) + "\n";
  };
  const std::string text = indentedList(41, true, "active") + "\n" +
                           indentedList(42, false, "leaving") + listOf(43, false, "active") +
                           "  \n" + indentedList(44, false, "leaving");
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (std::size_t at = 0; at < text.size(); at += 37)
    agent.write(net::encodeChunk(text.substr(at, 37)));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 4; }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_EQ(fixture.counters["discovery.malformed"], 0U);
}

// An open watch falls silent while the list changes. The next watch must be open and have received
// the change within the limit derived in fleet/discovery_backoff.h, whatever the random delays.
TEST(DiscoveryWatch, ReplacesASilentWatchWithinTheDeliveryLimit) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
  agent.write(net::encodeChunk(
      listOf(42, false, "leaving").substr(0, 40)));  // an incomplete line, then silence
  for (int i = 0; i < 20; ++i) {
    fixture.io.restart();
    fixture.io.run_one_for(std::chrono::milliseconds(1));
  }
  double passed = 0;
  for (; fixture.counters["discovery.watches"] < 2; passed += 10) {
    ASSERT_LT(passed, fleet::DiscoveryBackoff::kDeliveryLimitMs);
    fixture.pass(10);
  }
  agent.accept();  // the old watch stays open
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=41 "), std::string::npos);
  agent.write(head + net::encodeChunk(listOf(42, false, "leaving")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_LE(passed, fleet::DiscoveryBackoff::kWatchTimeoutMs + fixture.maxGapMs());
}

// Discovery may be restored to an older state, or a lagging replica of it may answer. The list
// received last is the current one, and the next watch continues from its revision.
TEST(DiscoveryWatch, AppliesListsInOrderOfArrivalWhenRevisionsDecrease) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io);
  const auto lists = [&](unsigned count) {
    return fixture.until([&] { return fixture.counters["discovery.lists"] == count; });
  };
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(listOf(43, true, "active") + listOf(41, true, "leaving")));
  ASSERT_TRUE(lists(2));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  agent.write(net::encodeChunk(listOf(40, false, "active")));
  ASSERT_TRUE(lists(3));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kActive);
  EXPECT_TRUE(fixture.dispatcher.mayReserve({"a"}));
  agent.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  fixture.pass(151);
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=40 "), std::string::npos);
}

// The first document of a watch may be a list of changes. It is applied to the list from the
// configuration, or to an empty one, and the full list that follows replaces both.
TEST(DiscoveryWatch, AppliesChangesThatArriveBeforeTheFullListToTheCachedList) {
  for (const bool known : {true, false}) {
    DiscoveryFixture fixture;
    RawPeer agent(fixture.io);
    const auto lists = [&](unsigned count) {
      return fixture.until([&] { return fixture.counters["discovery.lists"] == count; });
    };
    if (known)
      fixture.discovery.loadCached(json::parse(
          lineOf(41, true, {memberOf(1, "active", 1001, 0), memberOf(2, "active", 1002, 0)})));
    fixture.discovery.watch(agent.address());
    agent.accept();
    ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
    agent.readSome();
    agent.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
        net::encodeChunk(
            lineOf(42, false, {memberOf(2, "leaving", 1002, 0), memberOf(3, "active", 1003, 0)}) +
            "\n"));
    ASSERT_TRUE(lists(known ? 2 : 1));
    EXPECT_TRUE(fixture.discovery.hasWatch());
    EXPECT_EQ(fixture.directory.find({"b1"}) != nullptr, known);
    EXPECT_EQ(fixture.directory.find({"b2"})->state, routing::EndpointState::kDraining);
    EXPECT_EQ(fixture.dispatcher.instancesKnown(), known ? 3U : 2U);
    agent.write(
        net::encodeChunk(lineOf(42, true, json::array({memberOf(2, "active", 1002, 0)})) + "\n"));
    ASSERT_TRUE(lists(known ? 3 : 2));
    EXPECT_EQ(fixture.directory.all().size(), 1U);
    EXPECT_FALSE(fixture.dispatcher.mayReserve({"b9"}));
    EXPECT_TRUE(fixture.dispatcher.mayReserve({"b2"}));
  }
}

// Idle clients use up the clients' share of descriptors and the listen queue while discovery is
// down. The watch must still be reopened, and every connection to an instance must still be
// available.
TEST(DiscoveryWatch, KeepsItsDescriptorsWhileIdleClientsUseAllOthers) {
  DiscoveryFixture fixture;
  constexpr std::size_t kSockets = 160;
  const app::Limits limits{kSockets};
  admission::DescriptorBudget descriptorBudget(admission::DescriptorBudget::sharesOf(kSockets));
  for (int i = 0; i < 14; ++i)
    descriptorBudget.force(admission::Account::kOwn);
  fixture.pool.setMaxConnections(limits.instances());
  fixture.pool.accountTo(descriptorBudget, admission::Account::kInstances);
  fixture.discovery.accountTo(descriptorBudget);
  StandInInstance handler(fixture.io, fixture.clock, fixture.timers);  // answers any request
  net::Listener listener(fixture.io, anyPort(), limits.clients(), handler, fixture.clock,
                         fixture.timers, fixture.counters, {.descriptorBudget = &descriptorBudget});
  RawPeer agent(fixture.io);
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
  std::vector<std::unique_ptr<RawPeer>> idle;
  for (std::size_t i = 0; i < 2 * limits.clients(); ++i) {
    idle.push_back(std::make_unique<RawPeer>(fixture.io));
    idle.back()->connect(listener.address());
  }
  ASSERT_TRUE(fixture.until([&] { return listener.size() == limits.clients(); }));
  agent.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  RawPeer silent(fixture.io);  // an instance that accepts connections and never responds
  std::vector<std::shared_ptr<Reply>> replies;
  std::vector<std::shared_ptr<net::Call>> calls;
  for (std::size_t i = 0; i < limits.instances(); ++i) {
    replies.push_back(std::make_shared<Reply>());
    calls.push_back(fixture.pool.call(silent.address(), "GET / HTTP/1.1\r\n\r\n", nullptr,
                                      replies.back(), net::ConnectionPool::Urgency::kUrgent));
  }
  ASSERT_TRUE(fixture.until([&] {
    return std::all_of(replies.begin(), replies.end(),
                       [](const auto& reply) { return reply->wasWritten; });
  }));
  EXPECT_EQ(listener.size(), limits.clients());
  fixture.pass(151);
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=41 "), std::string::npos);
  EXPECT_LE(descriptorBudget.total(), kSockets);
  for (const auto& call : calls)
    call->abandon();
}

// A fleet may replace its instances continually under new ids. The tables must not grow with them.
TEST(DiscoveryWatch, TablesDoNotGrowWhenThousandsOfInstancesAreReplaced) {
  DiscoveryFixture fixture;
  const auto list = [](int i, const std::string& phase) {
    return json{{"revision", i},
                {"complete", false},
                {"members",
                 {{{"id", "b" + std::to_string(i)},
                   {"host_port", "127.0.0.1:" + std::to_string(1000 + i)},
                   {"locality", "z"},
                   {"flavor", "mixed"},
                   {"cell", i},
                   {"phase", phase}}}}}
        .dump();
  };
  for (int i = 0; i < 3000; ++i) {
    ASSERT_EQ(fixture.discovery.onDocument(list(i, "active")), frontend::DocumentKind::kList);
    if (i >= 5) {
      ASSERT_EQ(fixture.discovery.onDocument(list(i - 5, i % 2 == 0 ? "leaving" : "left")),
                frontend::DocumentKind::kList);
      ASSERT_EQ(fixture.discovery.onDocument(list(i - 5, "left")), frontend::DocumentKind::kList);
    }
    fixture.pass(500);
    ASSERT_LE(fixture.directory.all().size(), 6U);
    ASSERT_LE(fixture.dispatcher.instancesKnown(), 10U);
  }
}

// Large fleets: long lists, thousands of changes in one line, and kinds and zones that the settings
// do not name.
TEST(DiscoveryWatch, AcceptsAThousandInstancesAndThousandsOfChangesInOneLine) {
  for (const int instances : {100, 1000}) {
    DiscoveryFixture fixture;
    json all = json::array(), changes = json::array();
    for (int i = 0; i < instances; ++i) {
      all.push_back(memberOf(i, "active", 1000 + i, 0));
      changes.push_back(memberOf(i, "leaving", 1000 + i, 0));
      changes.push_back(memberOf(i, "left", 1000 + i, 0));
      if (i % 2 == 0)
        changes.push_back(memberOf(i, "active", 10'000 + i, 5));  // restarted at another address
    }
    ASSERT_EQ(fixture.discovery.onDocument(lineOf(1, true, all)), frontend::DocumentKind::kList);
    EXPECT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(instances));
    const std::string line = lineOf(2, false, changes);
    EXPECT_EQ(fixture.discovery.onDocument(line.substr(0, line.size() / 2)),
              frontend::DocumentKind::kMalformed);  // truncated: nothing changes
    EXPECT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(instances));
    ASSERT_EQ(fixture.discovery.onDocument(line), frontend::DocumentKind::kList);
    EXPECT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(instances / 2));
    EXPECT_EQ(fixture.directory.find({"b0"})->address.port(), 10'000);
    EXPECT_EQ(fixture.directory.find({"b1"}), nullptr);
    json unknownKind = memberOf(instances, "active", 9, 0),
         unknownZone = memberOf(instances + 1, "active", 9, 0);
    unknownKind["flavor"] = "unheard-of";
    unknownZone["locality"] = "nowhere";
    ASSERT_EQ(fixture.discovery.onDocument(lineOf(3, false, {unknownKind, unknownZone})),
              frontend::DocumentKind::kList);
    EXPECT_EQ(fixture.directory.find({"b" + std::to_string(instances + 1)}), nullptr);
    ASSERT_EQ(fixture.discovery.onDocument(lineOf(4, true, json::array())),
              frontend::DocumentKind::kList);
    EXPECT_EQ(fixture.directory.all().size(), 0U);
    EXPECT_EQ(fixture.counters["discovery.malformed"], 1U);
  }
}

// A full list of the maximum number of instances, then changes to all of them, over a socket: on
// one line and indented, split into pieces of varying size.
TEST(DiscoveryWatch, ReceivesListsOfTheMaximumNumberOfInstances) {
  constexpr int kInstances = coordination::kMaxFleetInstances;
  for (const bool indented : {false, true}) {
    DiscoveryFixture fixture;
    RawPeer agent(fixture.io);
    fixture.discovery.watch(agent.address());
    agent.accept();
    ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
    agent.readSome();
    agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    unsigned lists = 0;
    const auto sendList = [&](bool complete, const json& members) {
      const std::string text = json::parse(lineOf(static_cast<int>(++lists), complete, members))
                                   .dump(indented ? 4 : -1) +
                               "\n";
      for (std::size_t at = 0, size = 1; at < text.size(); at += size, size = size * 7 % 4099 + 1) {
        agent.write(net::encodeChunk(text.substr(at, size)));
        fixture.io.poll();
      }
      ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == lists; }));
    };
    json all = json::array(), leaving = json::array(), removed = json::array();
    for (int i = 0; i < kInstances; ++i) {
      all.push_back(memberOf(i, "active", 1000 + i, 0));
      leaving.push_back(memberOf(i, "leaving", 1000 + i, 0));
      if (i % 2 == 1)
        removed.push_back(memberOf(i, "left", 1000 + i, 0));
    }
    const HeapUse heapUse = measureHeapUse([&] { sendList(true, all); });
    ASSERT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(kInstances));
    std::cout << heapUse.retainedBytes / kInstances << " bytes an instance listed, at most "
              << heapUse.peakBytes << " while it is read\n";
    EXPECT_LE(heapUse.retainedBytes / kInstances, 4096U);
    EXPECT_LE(heapUse.peakBytes, 192U << 20U >> 4U);
    sendList(false, leaving);
    for (const auto& [id, instance] : fixture.directory.all())
      ASSERT_EQ(instance.state, routing::EndpointState::kDraining) << id.value;
    sendList(false, removed);
    EXPECT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(kInstances / 2));
    sendList(false, json::array({memberOf(3, "active", 7, 0)}));
    EXPECT_EQ(fixture.directory.find({"b3"})->address.port(), 7);
    sendList(true, all);
    EXPECT_EQ(fixture.directory.find({"b3"})->address.port(), 1003);
    EXPECT_EQ(fixture.dispatcher.instancesKnown(), static_cast<std::size_t>(kInstances));
    EXPECT_EQ(fixture.counters["discovery.malformed"] + fixture.counters["discovery.broken"], 0U);
  }
}

TEST(DiscoveryWatch, MalformedListChangesNothing) {
  DiscoveryFixture fixture;
  ASSERT_EQ(fixture.discovery.onDocument(listOf(5, true, "active")), frontend::DocumentKind::kList);
  for (const char* bad : {"{", "[]", "{\"revision\":6,\"complete\":true,\"members\":[{\"id\":7}]}"})
    EXPECT_EQ(fixture.discovery.onDocument(bad), frontend::DocumentKind::kMalformed) << bad;
  EXPECT_EQ(fixture.discovery.onDocument("  \r"), frontend::DocumentKind::kKeepAlive);
  EXPECT_EQ(fixture.directory.all().size(), 1U);
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kActive);
}

// Start times in the valid part of a malformed list must not be used to estimate discovery's clock.
TEST(DiscoveryWatch, MalformedListDoesNotAffectStartTimes) {
  DiscoveryFixture fixture;
  std::optional<routing::Time> started;
  fixture.dispatcher.onEvent([&](const routing::Event& event) {
    if (const auto* update = std::get_if<routing::EndpointListUpdate>(&event))
      started = update->entries.back().started;
  });
  constexpr double kListedStartMs = 1e12;
  ASSERT_EQ(fixture.discovery.onDocument(
                lineOf(1, true, json::array({memberOf(1, "active", 9, kListedStartMs)}))),
            frontend::DocumentKind::kList);
  const double firstMs = fixture.clock.nowMs();
  fixture.clock.advance(1'000);
  const json bad =
      json::array({memberOf(1, "active", 9, kListedStartMs + 3'600'000), json{{"id", 7}}});
  ASSERT_EQ(fixture.discovery.onDocument(lineOf(2, false, bad)),
            frontend::DocumentKind::kMalformed);
  ASSERT_EQ(fixture.discovery.onDocument(
                lineOf(3, false, json::array({memberOf(1, "active", 9, kListedStartMs + 500)}))),
            frontend::DocumentKind::kList);
  EXPECT_EQ(started, core::toModuleTime(firstMs + 500));
}

// Zones and kinds are found by the names in the settings, cells by their number in the list, for
// any number of each. An instance in an unknown phase counts as removed, so no requests are sent to
// it.
TEST(DiscoveryWatch, MapsZonesKindsCellsAndPhasesFromTheirNames) {
  json settings = siteSettings();
  settings["zones"] = {"near", "far", "farthest"};
  settings["myZone"] = "far";
  settings["kinds"] = {"reader", "small", "large", "mixed"};
  settings["familyInfo"]["dutyByKind"] = {"read", "write", "write", "both"};
  settings["familyInfo"]["memoryTokens"] = {200'000, 90'000, 180'000, 150'000};
  const auto setup = frontend::settingsOf(settings);
  EXPECT_EQ(setup.settings.zone.value, 1U);
  struct RecordingSink : core::EndpointListSink {
    routing::EndpointListUpdate lastUpdate;
    void list(routing::EndpointListUpdate update) override { lastUpdate = std::move(update); }
  } sink;
  DiscoveryFixture fixture;
  frontend::Discovery discovery{
      fixture.io,       fixture.clock, fixture.timers,
      fixture.counters, sink,          fixture.directory,
      fixture.pool,     setup.names,   fleet::DiscoveryBackoff(2, 1'000, 7)};
  const auto member = [](const char* id, const char* zone, const char* kind, unsigned cell,
                         const char* phase) {
    return json{{"id", id},         {"host_port", "127.0.0.1:9"},
                {"locality", zone}, {"flavor", kind},
                {"cell", cell},     {"phase", phase},
                {"size", 1.5},      {"up_since_ms", 0}};
  };
  ASSERT_EQ(discovery.onDocument(json{{"revision", 1},
                                      {"complete", true},
                                      {"members",
                                       {member("a", "near", "reader", 3, "active"),
                                        member("b", "farthest", "large", 7, "leaving"),
                                        member("c", "far", "mixed", 7, "resting"),
                                        member("d", "elsewhere", "mixed", 7, "active")}}}
                                     .dump()),
            frontend::DocumentKind::kList);
  ASSERT_EQ(sink.lastUpdate.entries.size(), 3U);
  const auto& [a, b, c] =
      std::tie(sink.lastUpdate.entries[0], sink.lastUpdate.entries[1], sink.lastUpdate.entries[2]);
  EXPECT_EQ(std::tuple(a.zone.value, a.kind.value, a.cell.value), std::tuple(0U, 0U, 3U));
  EXPECT_EQ(std::tuple(b.zone.value, b.kind.value, b.cell.value), std::tuple(2U, 2U, 7U));
  EXPECT_EQ(setup.settings.kinds[b.kind.value].memoryTokens, 180'000);
  EXPECT_EQ(std::tuple(a.state, b.state, c.state),
            std::tuple(routing::EndpointState::kActive, routing::EndpointState::kDraining,
                       routing::EndpointState::kRemoved));
  ASSERT_EQ(discovery.onDocument(json{{"revision", 2},
                                      {"complete", false},
                                      {"members", {member("a", "near", "reader", 3, "left")}}}
                                     .dump()),
            frontend::DocumentKind::kList);
  EXPECT_EQ(sink.lastUpdate.form, routing::EndpointListForm::kChanges);
  EXPECT_EQ(sink.lastUpdate.entries.at(0).state, routing::EndpointState::kRemoved);
}

}  // namespace
}  // namespace inference_router
