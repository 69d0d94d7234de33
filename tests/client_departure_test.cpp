// After a client disconnects, no attempt and no reservation begins for it, wherever its request
// waits at that moment. Each case runs on real sockets and through both frontends, once with the
// close detected by the event loop before anything else happens, and once with the close known only
// to the kernel.
#include "app/handover.h"
#include "support/router_fixture.h"
#include "support/temporary_directory.h"

namespace inference_router {
namespace {

// How the client disconnects.
enum class Disconnect { kClose, kHalfClose, kReset };

struct DisconnectCase {
  bool openai;
  Disconnect kind;
  bool detected;  // the event loop handles the close before the test goes on
};

std::string nameOf(const testing::TestParamInfo<DisconnectCase>& info) {
  constexpr std::array kKinds{"Close", "HalfClose", "Reset"};
  return std::string(info.param.openai ? "ChatApi" : "Platform") +
         kKinds.at(static_cast<std::size_t>(info.param.kind)) +
         (info.param.detected ? "Detected" : "Undetected");
}

std::vector<DisconnectCase> allCases() {
  std::vector<DisconnectCase> cases;
  for (const bool openai : {false, true})
    for (const Disconnect kind : {Disconnect::kClose, Disconnect::kHalfClose, Disconnect::kReset})
      for (const bool detected : {false, true})
        cases.push_back({openai, kind, detected});
  return cases;
}

std::string requestText(bool openai, const std::string& id, const std::string& padding = "") {
  if (!openai) {
    net::Fields fields = platformFields(id);
    fields.emplace_back("Host", "x");
    return messageText("POST /v1/chat/completions HTTP/1.1", std::move(fields), "{}" + padding);
  }
  const json body{{"model", "change"},
                  {"messages", {{{"role", "user"}, {"content", "When do you open?" + padding}}}}};
  return messageText("POST /v1/chat/completions HTTP/1.1",
                     {{"Host", "x"}, {"Authorization", "Bearer k"}}, body.dump());
}

// One client on a raw socket, and a router whose instances answer only when the test makes them.
struct DisconnectFixture : RouterFixture {
  DisconnectFixture(const std::vector<Kind>& kinds, bool openai)
      : RouterFixture(kinds, openai), openai(openai) {
    for (auto& [id, instance] : instances)
      instance->script = leaveUnanswered;
    client.connect(listener->address());
  }
  void sendRequest(const std::string& padding = "") {
    client.write(requestText(openai, "a", padding));
  }
  void sendRequestAndAwaitReceipt() {
    sendRequest();
    EXPECT_TRUE(until([&] { return server->counters["requests.taken"] == 1; }));
  }
  void disconnect(Disconnect kind) {
    if (kind == Disconnect::kClose)
      client.close();
    if (kind == Disconnect::kHalfClose)
      client.endSending();
    if (kind == Disconnect::kReset)
      client.reset();
  }
  void disconnect(const DisconnectCase& disconnectCase) {
    disconnect(disconnectCase.kind);
    if (!disconnectCase.detected)
      return;
    EXPECT_TRUE(until([&] { return server->counters["requests.client_gone"] == 1; }));
  }
  // Runs everything that may still happen, until well after the client's deadline.
  void runPastDeadline() {
    for (int i = 0; i < 30; ++i) {
      pass(i < 15 ? 10 : 500);
      settle();
    }
  }
  void settle() {
    for (int i = 0; i < 5; ++i) {
      io.restart();
      io.poll();
      io.run_one_for(std::chrono::milliseconds(1));
    }
  }
  int reservations() const {
    int total = 0;
    for (const auto& [id, instance] : instances)
      total += instance->count("POST", "/bootstrap/");
    return total;
  }
  StandInInstance::ReceivedRequest& onlyChat() {
    for (const auto& [id, instance] : instances)
      for (const auto& request : instance->received)
        if (request->target == "/v1/chat/completions")
          return *request;
    throw std::logic_error("no attempt has arrived");
  }
  void expectDisconnected(int chatsBefore, int reservationsBefore = 0) {
    EXPECT_EQ(chats(), chatsBefore);
    EXPECT_EQ(reservations(), reservationsBefore);
    EXPECT_EQ(server->counters["requests.client_gone"], 1U);
    EXPECT_EQ(server->dispatcher.openRequests(), 0U);
  }

  bool openai;
  RawPeer client{io};
};

class DisconnectedClient : public testing::TestWithParam<DisconnectCase> {};
INSTANTIATE_TEST_SUITE_P(All, DisconnectedClient, testing::ValuesIn(allCases()), nameOf);

// Without an instance a request waits in the decision module. An instance is listed after the
// client has disconnected.
TEST_P(DisconnectedClient, GetsNoAttemptFromDecisionModuleQueue) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  routing::EndpointListUpdate none = fixture.operatorFile.instances;
  none.form = routing::EndpointListForm::kFull;
  none.entries.clear();
  fixture.server->dispatcher.list(none);
  fixture.pass(1'100);  // longer than the drain grace period
  fixture.sendRequestAndAwaitReceipt();
  fixture.settle();
  fixture.disconnect(GetParam());
  routing::EndpointListUpdate all = fixture.operatorFile.instances;
  all.version = none.version + 1;
  fixture.server->dispatcher.list(all);
  fixture.runPastDeadline();
  fixture.expectDisconnected(0);
}

TEST_P(DisconnectedClient, GetsNoAttemptAfterWaitingForConnection) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  fixture.server->pool.setMaxConnections(0);
  fixture.sendRequestAndAwaitReceipt();
  ASSERT_EQ(fixture.server->counters["calls.waited"], 1U);
  fixture.disconnect(GetParam());
  fixture.server->pool.setMaxConnections(100);
  fixture.runPastDeadline();
  fixture.expectDisconnected(0);
}

// The same with an open connection, on which the request would be written as soon as it is free.
TEST_P(DisconnectedClient, GetsNoAttemptOnConnectionThatBecomesFree) {
  DisconnectFixture fixture({{"m1", "both", 0}}, GetParam().openai);
  fixture.server->pool.setMaxConnections(1);
  RawPeer other(fixture.io);
  other.connect(fixture.listener->address());
  other.write(requestText(fixture.openai, "other"));
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  fixture.sendRequest();
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["calls.waited"] == 1; }));
  fixture.disconnect(GetParam());
  streamFullAnswer(*fixture.instances["m1"], fixture.onlyChat());
  fixture.runPastDeadline();
  fixture.expectDisconnected(1);
}

TEST_P(DisconnectedClient, GetsNoAttemptOnNewConnection) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  fixture.sendRequest();
  for (int i = 0; i < 10'000 && fixture.server->counters["attempts.sent"] == 0; ++i) {
    fixture.io.restart();
    fixture.io.poll_one();
  }
  ASSERT_EQ(fixture.server->counters["attempts.sent"], 1U);
  fixture.disconnect(GetParam());
  fixture.runPastDeadline();
  fixture.expectDisconnected(0);
}

// The second attempt waits until the close of the first one has arrived for sure.
TEST_P(DisconnectedClient, GetsNoAttemptAfterDelayThatFollowsAClose) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  auto settings = fixture.operatorFile.setup.settings;
  settings.classes[1].latencyObjective = std::chrono::seconds(6);
  fixture.server->reconfigure(settings, fixture.openai
                                            ? frontend::openaiProtocol(fixture.operatorFile)
                                            : frontend::platformProtocol());
  fixture.sendRequestAndAwaitReceipt();
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  fixture.pass(3'700);  // the prefill attempt times out
  ASSERT_EQ(fixture.server->counters["attempts.sent"], 2U);
  fixture.disconnect(GetParam());
  const int reservations = fixture.reservations();
  fixture.runPastDeadline();
  fixture.expectDisconnected(1, reservations);
}

TEST_P(DisconnectedClient, GetsNoDecodeAfterPrefill) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  fixture.sendRequestAndAwaitReceipt();
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1 && fixture.reservations() == 1; }));
  fixture.settle();
  fixture.disconnect(GetParam());
  answerPrefill(*fixture.instances["r1"], fixture.onlyChat());
  fixture.runPastDeadline();
  fixture.expectDisconnected(1, 1);
}

// The instance rejects the request after the client has disconnected.
TEST_P(DisconnectedClient, GetsNoRetry) {
  DisconnectFixture fixture({{"m1", "both", 0}, {"m2", "both", 0}}, GetParam().openai);
  fixture.sendRequestAndAwaitReceipt();
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  fixture.disconnect(GetParam().kind);
  fixture.onlyChat().connection->answer(503, {{"X-Rejected", "1"}}, "");
  fixture.runPastDeadline();
  fixture.expectDisconnected(1);
}

// The only instance has rejected the request, which waits for its next attempt.
TEST_P(DisconnectedClient, GetsNoRetryAfterABackoff) {
  DisconnectFixture fixture({{"m1", "both", 0}}, GetParam().openai);
  fixture.sendRequestAndAwaitReceipt();
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  fixture.onlyChat().connection->answer(503, {{"X-Rejected", "1"}}, "");
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["attempts.turned_away"] == 1; }));
  ASSERT_EQ(fixture.server->dispatcher.openRequests(), 1U);
  ASSERT_EQ(fixture.server->counters["attempts.sent"], 1U);
  fixture.disconnect(GetParam());
  fixture.runPastDeadline();
  fixture.expectDisconnected(1);
}

// The reservation is decided and waits for a connection.
TEST_P(DisconnectedClient, GetsNoReservation) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  fixture.server->pool.setMaxConnections(1);
  fixture.sendRequestAndAwaitReceipt();
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["calls.waited"] == 1; }));
  EXPECT_EQ(fixture.reservations(), 0);
  fixture.disconnect(GetParam());
  fixture.server->pool.setMaxConnections(100);
  fixture.runPastDeadline();
  EXPECT_EQ(fixture.reservations(), 0);
  EXPECT_EQ(fixture.server->dispatcher.openRequests(), 0U);
}

// The prefill has just been written, and the reservation request would follow at once on an idle
// connection.
TEST_P(DisconnectedClient, GetsNoReservationRightAfterPrefillIsWritten) {
  DisconnectFixture fixture({{"r1", "read", 0}, {"w1", "write", 0}}, GetParam().openai);
  fixture.instances["r1"]->script = answerPrefill;
  fixture.instances["w1"]->script = streamFullAnswer;
  RawPeer other(fixture.io);
  other.connect(fixture.listener->address());
  other.write(requestText(fixture.openai, "other"));
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["requests.served"] == 1; }));
  fixture.settle();
  fixture.pass(5);  // the connections have been idle
  const int reservations = fixture.reservations();
  ASSERT_EQ(fixture.server->counters["attempts.sent"], 2U);
  fixture.sendRequest();
  for (int i = 0; i < 10'000 && fixture.server->counters["attempts.sent"] == 2; ++i) {
    fixture.io.restart();
    fixture.io.poll_one();
  }
  ASSERT_EQ(fixture.server->counters["attempts.sent"], 3U);
  fixture.disconnect(GetParam().kind);
  fixture.runPastDeadline();
  EXPECT_EQ(fixture.reservations(), reservations);
  EXPECT_EQ(fixture.server->dispatcher.openRequests(), 0U);
}

// The client sends its request and disconnects before the event loop runs: the request is read, but
// not forwarded.
TEST_P(DisconnectedClient, GetsNoAttemptIfCloseArrivesWithRequest) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  fixture.sendRequest();
  fixture.disconnect(GetParam().kind);
  fixture.runPastDeadline();
  EXPECT_EQ(fixture.chats(), 0);
  EXPECT_EQ(fixture.server->dispatcher.openRequests(), 0U);
}

TEST_P(DisconnectedClient, GetsNothingForIncompleteRequest) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  const std::string text = requestText(fixture.openai, "a");
  fixture.client.write(text.substr(0, text.size() - 1));
  if (GetParam().detected)
    fixture.settle();
  fixture.disconnect(GetParam().kind);
  fixture.runPastDeadline();
  EXPECT_EQ(fixture.chats(), 0);
  EXPECT_EQ(fixture.server->counters["requests.taken"], 0U);
}

// A second request is pipelined behind the first one, and the close follows.
TEST_P(DisconnectedClient, GetsNothingForPipelinedRequest) {
  DisconnectFixture fixture({{"m1", "both", 0}}, GetParam().openai);
  fixture.client.write(requestText(fixture.openai, "a") + requestText(fixture.openai, "b"));
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  if (GetParam().detected)
    fixture.settle();
  fixture.disconnect(GetParam().kind);
  streamFullAnswer(*fixture.instances["m1"], fixture.onlyChat());
  fixture.runPastDeadline();
  EXPECT_EQ(fixture.chats(), 1);
  EXPECT_EQ(fixture.server->dispatcher.openRequests(), 0U);
}

// A request of the maximum size is pipelined behind the first one, in more pieces than the kernel
// buffers. The close behind it is detected within 0.1 s.
TEST_P(DisconnectedClient, IsDetectedBehindLargestPipelinedRequest) {
  DisconnectFixture fixture(kSplit, GetParam().openai);
  fixture.sendRequestAndAwaitReceipt();
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  fixture.client.writeLater(requestText(fixture.openai, "b", std::string(250 * 1024, 'p')));
  ASSERT_TRUE(fixture.until([&] { return fixture.client.wroteAll(); }));
  fixture.disconnect(GetParam().kind);
  for (int i = 0; i < 10; ++i) {
    fixture.pass(9);
    fixture.settle();
  }
  EXPECT_EQ(fixture.server->counters["requests.client_gone"], 1U);
  EXPECT_EQ(fixture.server->dispatcher.openRequests(), 0U);
}

// Bytes beyond the read-ahead limit are read and discarded at intervals, so a close behind them is
// detected.
TEST_P(DisconnectedClient, IsDetectedBehindMoreBytesThanAreReadAhead) {
  for (const std::size_t bytes : {300 * 1024, 4 * 1024 * 1024}) {
    DisconnectFixture fixture(kSplit, GetParam().openai);
    fixture.sendRequestAndAwaitReceipt();
    ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
    fixture.client.writeLater(std::string(bytes, 'p'));
    ASSERT_TRUE(fixture.until([&] {
      fixture.pass(1);
      return fixture.client.wroteAll();
    }));
    fixture.disconnect(GetParam().kind);
    for (int i = 0; i < 10; ++i) {
      fixture.pass(9);
      fixture.settle();
    }
    EXPECT_EQ(fixture.server->counters["requests.client_gone"], 1U);
    answerPrefill(*fixture.instances["r1"], fixture.onlyChat());
    fixture.runPastDeadline();
    EXPECT_EQ(fixture.chats(), 1);
    EXPECT_EQ(fixture.server->dispatcher.openRequests(), 0U);
  }
}

// A connected client that has pipelined too many bytes gets its answers, and a rejection of the
// request that was discarded in part.
TEST(ClientBeyondReadAheadLimit, GetsAnswerToEachRequestThatWasRead) {
  DisconnectFixture fixture({{"m1", "both", 0}}, false);
  fixture.instances["m1"]->script = streamFullAnswer;
  fixture.server->pool.setMaxConnections(0);
  fixture.client.writeLater(requestText(false, "a") + requestText(false, "b") +
                            requestText(false, "c", std::string(255 * 1024, 'p')) +
                            requestText(false, "d", std::string(255 * 1024, 'p')));
  ASSERT_TRUE(fixture.until([&] {
    fixture.pass(1);
    return fixture.client.wroteAll();
  }));
  for (int i = 0; i < 10; ++i) {
    fixture.pass(9);
    fixture.settle();
  }
  fixture.server->pool.setMaxConnections(100);
  ASSERT_TRUE(fixture.until([&] { return fixture.client.ended(); }));
  EXPECT_EQ(fixture.chats(), 3);
  std::vector<std::size_t> positions;
  for (std::size_t i = fixture.client.seen.find("HTTP/1.1 "); i != std::string::npos;
       i = fixture.client.seen.find("HTTP/1.1 ", i + 1))
    positions.push_back(i);
  ASSERT_EQ(positions.size(), 4U);
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(fixture.client.seen.substr(positions[i] + 9, 3), "200") << i;
  EXPECT_EQ(fixture.client.seen.substr(positions[3] + 9, 3), "503");
}

// ---- A stream that is handed over to another process

// The client disconnects while its stream is handed over, with another request pipelined. The
// process that takes over the stream forwards nothing, whether the stream ends first or continues.
TEST(HandedOverDisconnectedClient, GetsNothingForPipelinedRequest) {
  for (const bool ended : {false, true}) {
    for (const Disconnect kind : {Disconnect::kClose, Disconnect::kHalfClose, Disconnect::kReset}) {
      SCOPED_TRACE(std::to_string(ended) + std::to_string(static_cast<int>(kind)));
      TemporaryDirectory directory;
      DisconnectFixture fixture({{"m1", "both", 0}}, false), next({{"m1", "both", 0}}, false);
      fixture.instances["m1"]->script = beginOnly;
      fixture.sendRequest();
      ASSERT_TRUE(fixture.until(
          [&] { return fixture.streaming() != nullptr && fixture.client.hasBytes(); }));
      fixture.client.write(requestText(false, "b"));
      fixture.settle();
      app::Handover receivingHandover(*next.server, *next.front, *next.listener);
      net::DescriptorReceiver receiver(
          next.io, directory.path, "in",
          [&](net::ReceivedMessage message) { receivingHandover.receive(std::move(message)); });
      app::Handover handover(*fixture.server, *fixture.front, *fixture.listener);
      handover.begin(directory.path, "in");
      for (int i = 0; i < 20 && fixture.server->counters["streams.handed_over"] == 0; ++i) {
        fixture.pass(10);
        fixture.settle();
      }
      ASSERT_EQ(fixture.server->counters["streams.handed_over"], 1U);
      fixture.disconnect(kind);
      if (ended) {
        fixture.onlyChat().connection->writeChunk(kLastEvents);
        fixture.onlyChat().connection->endStream();
        fixture.settle();
      }
      ASSERT_TRUE(next.until([&] { return next.server->counters["streams.taken_over"] == 1; }));
      next.runPastDeadline();
      fixture.runPastDeadline();
      EXPECT_EQ(next.server->dispatcher.openRequests(), 0U);
      EXPECT_EQ(next.chats(), 0);
      EXPECT_EQ(fixture.chats(), 1);
    }
  }
}

}  // namespace
}  // namespace inference_router
