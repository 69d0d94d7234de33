// A request that was read gets an answer, and a request that will not be answered is not read:
// connections are closed in every way while requests are unread, arriving or incomplete.
#include <gtest/gtest.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <fstream>
#include <thread>

#include "admission/admission_controller.h"
#include "app/handover.h"
#include "net/request_reader.h"
#include "net/shed_requests.h"
#include "support/program.h"
#include "support/router_fixture.h"

namespace inference_router {
namespace {

using net::ClientConnection;
using net::RequestReader;
using State = ClientConnection::State;

const std::string kRequest = "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
const std::string kHalf = kRequest.substr(0, 30);

// ---- Reading one request

struct SocketPair {
  SocketPair() { EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0); }
  ~SocketPair() {
    for (const int end : ends)
      ::close(end);
  }
  void write(std::string_view bytes) const {
    ASSERT_EQ(::write(ends[0], bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
  }
  int unread() const {
    int count = -1;
    EXPECT_EQ(::ioctl(ends[1], FIONREAD, &count), 0);
    return count;
  }
  std::array<int, 2> ends{};
};

TEST(RequestReader, LeavesNextRequestUnreadHoweverBytesArrive) {
  const std::string chunked =
      "POST /v1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  for (const std::string& request : {kRequest, chunked}) {
    for (std::size_t cut = 0; cut <= request.size() + kRequest.size(); ++cut) {
      SCOPED_TRACE(cut);
      const std::string all = request + kRequest;
      SocketPair sockets;
      RequestReader reader;
      boost::system::error_code error;
      const auto readRequest = [&] {
        reader.begin();
        auto progress = reader.read(sockets.ends[1], error);
        while (progress == RequestReader::Progress::kIncomplete && sockets.unread() > 0)
          progress = reader.read(sockets.ends[1], error);
        return progress;
      };
      sockets.write(all.substr(0, cut));
      auto progress = readRequest();
      if (progress != RequestReader::Progress::kComplete) {
        sockets.write(all.substr(cut));
        while (progress != RequestReader::Progress::kComplete)
          progress = reader.read(sockets.ends[1], error);
        ASSERT_EQ(sockets.unread(), static_cast<int>(kRequest.size()));
      } else {
        ASSERT_EQ(sockets.unread(), static_cast<int>(cut - request.size()));
        sockets.write(all.substr(cut));
      }
      EXPECT_TRUE(reader.buffered().empty());
      EXPECT_EQ(reader.release().body(), "abc");
      ASSERT_EQ(readRequest(), RequestReader::Progress::kComplete);
      EXPECT_EQ(reader.release().body(), "abc");
      EXPECT_EQ(sockets.unread(), 0);
    }
  }
}

TEST(RequestReader, ReadsBytesCarriedOverBeforeBytesOfTheSocket) {
  SocketPair sockets;
  RequestReader reader;
  boost::system::error_code error;
  reader.appendBuffered(kRequest + kHalf);
  sockets.write(kRequest.substr(kHalf.size()) + kRequest);
  for (int i = 0; i < 3; ++i) {
    reader.begin();
    ASSERT_EQ(reader.read(sockets.ends[1], error), RequestReader::Progress::kComplete) << i;
    EXPECT_EQ(reader.release().body(), "abc");
  }
  EXPECT_EQ(sockets.unread(), 0);
}

// ---- Connection limit, idle timeouts, pipelining

// A listener whose requests the test answers, or which answers them itself.
struct ListenerFixture : NetworkFixture, net::RequestHandler {
  explicit ListenerFixture(std::size_t maxConnections,
                           admission::AdmissionController* controller = nullptr)
      : listener(io,
                 anyPort(),
                 maxConnections,
                 *this,
                 clock,
                 timers,
                 counters,
                 {.sharedPort = false,
                  .open = true,
                  .admissionController = controller,
                  .descriptorBudget = nullptr}) {}
  void request(const std::shared_ptr<ClientConnection>& connection,
               net::HttpRequest&&,
               double) override {
    requests.push_back(connection);
    if (answersRequests)
      connection->answer(200, {}, "served");
  }
  void disconnected(ClientConnection&) override {}
  void writable(ClientConnection&) override {}
  void reject(ClientConnection& connection, unsigned status, std::string_view why) override {
    connection.answer(status, {}, why);
  }
  std::unique_ptr<RawPeer> client(const std::string& bytes = "") {
    auto peer = std::make_unique<RawPeer>(io);
    peer->connect(listener.address());
    if (!bytes.empty())
      peer->write(bytes);
    return peer;
  }
  // A client whose connection is idle after an answer.
  std::unique_ptr<RawPeer> idleClient() {
    const std::size_t before = requests.size();
    auto peer = client(kRequest);
    EXPECT_TRUE(until([&] { return requests.size() == before + 1; }));
    if (!answersRequests)
      requests.back()->answer(200, {}, "served");
    EXPECT_TRUE(until(
        [&] { return requests.back()->state() == State::kIdle && hasReceived(*peer, "served"); }));
    peer->seen.clear();
    return peer;
  }
  bool hasReceived(RawPeer& peer, const std::string& text) {
    peer.ended();
    return peer.seen.find(text) != std::string::npos;
  }
  bool answered(RawPeer& peer, const std::string& status) {
    return until([&] { return peer.ended(); }) && peer.seen.rfind("HTTP/1.1 " + status, 0) == 0;
  }

  std::vector<std::shared_ptr<ClientConnection>> requests;
  bool answersRequests = false;
  net::Listener listener;
};

TEST(ConnectionLimit, EvictedIncompleteRequestGetsAnAnswer) {
  ListenerFixture fixture(1);
  const auto slow = fixture.client(kHalf);
  ASSERT_TRUE(fixture.until([&] { return fixture.listener.size() == 1; }));
  fixture.io.poll();
  fixture.pass(150);
  const auto next = fixture.client(kRequest);
  ASSERT_TRUE(fixture.until([&] {
    fixture.pass(20);
    return fixture.requests.size() == 1;
  }));
  EXPECT_TRUE(fixture.answered(*slow, "503")) << slow->seen;
}

TEST(ConnectionLimit, UnreadRequestOnIdleConnectionIsServed) {
  ListenerFixture fixture(2);
  const auto client = fixture.idleClient();
  client->write(kRequest);  // not yet seen by the event loop
  fixture.listener.setMaxConnections(0);
  EXPECT_EQ(fixture.listener.size(), 1U);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 2; }));
  fixture.requests[1]->answer(200, {}, "second");
  EXPECT_TRUE(fixture.until([&] { return fixture.hasReceived(*client, "second"); }));
}

// A request arrives in the event loop iteration in which another client needs a connection.
TEST(ConnectionLimit, RequestArrivingWhileConnectionIsNeededIsServed) {
  for (int round = 0; round < 20; ++round) {
    ListenerFixture fixture(1);
    const auto client = fixture.idleClient();
    const auto next = fixture.client(kRequest);
    client->write(kRequest);
    ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 2; })) << round;
    EXPECT_FALSE(client->ended()) << round;
    fixture.requests[1]->answer(200, {}, "second");
    ASSERT_TRUE(fixture.until([&] { return fixture.hasReceived(*client, "second"); })) << round;
    fixture.answersRequests = true;
    EXPECT_TRUE(fixture.until([&] {
      fixture.pass(20);
      return fixture.hasReceived(*next, "served");
    })) << round;
  }
}

TEST(FirstRequest, IsServedIfUnreadInSocketAtItsTimeout) {
  ListenerFixture fixture(3);
  const auto client = fixture.client();
  ASSERT_TRUE(fixture.until([&] { return fixture.listener.size() == 1; }));
  fixture.pass(1'990);
  client->write(kRequest);  // not yet seen by the event loop
  fixture.pass(11);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
  fixture.requests[0]->answer(200, {}, "served");
  EXPECT_TRUE(fixture.until([&] { return fixture.hasReceived(*client, "served"); }));
}

TEST(FirstRequest, ThatBeginsAtItsTimeoutGetsExtraTimeAndThenAnAnswer) {
  ListenerFixture fixture(3);
  const auto client = fixture.client();
  ASSERT_TRUE(fixture.until([&] { return fixture.listener.size() == 1; }));
  fixture.pass(1'990);
  client->write(kHalf);
  fixture.pass(11);
  fixture.io.poll();
  fixture.pass(501);
  EXPECT_TRUE(fixture.answered(*client, "408")) << client->seen;
}

TEST(PipelinedRequests, AreAllServedAfterListenerCloses) {
  for (const bool afterClose : {false, true}) {
    SCOPED_TRACE(afterClose);
    ListenerFixture fixture(3);
    bool done = false;
    const auto client = fixture.client(afterClose ? kRequest : kRequest + kRequest + kRequest);
    ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
    fixture.listener.drain(0, [&] { done = true; });
    if (afterClose)
      client->write(kRequest + kRequest);  // after the close, before the answer
    for (std::size_t i = 0; i < 3; ++i) {
      ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == i + 1; })) << i;
      fixture.requests[i]->answer(200, {}, "answer" + std::to_string(i));
      if (i < 2) {
        EXPECT_EQ(client->seen.find("Connection: close"), std::string::npos);
      }
    }
    ASSERT_TRUE(fixture.until([&] { return client->ended(); }));
    EXPECT_NE(client->seen.find("answer2"), std::string::npos) << client->seen;
    EXPECT_NE(client->seen.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(fixture.until([&] { return done; }));
  }
}

TEST(PipelinedRequests, BehindStreamAreServedAfterListenerCloses) {
  ListenerFixture fixture(3);
  const auto client = fixture.client(kRequest + kRequest);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
  fixture.requests[0]->beginStream({});
  fixture.listener.drain(0, [] {});
  fixture.requests[0]->writeChunk("event");
  fixture.requests[0]->endStream();
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 2; }));
  fixture.requests[1]->answer(200, {}, "second");
  EXPECT_TRUE(fixture.until([&] { return client->ended(); }));
  EXPECT_NE(client->seen.find("second"), std::string::npos) << client->seen;
}

TEST(PipelinedRequests, EndlessPipelineDoesNotPreventShutdown) {
  ListenerFixture fixture(3);
  fixture.answersRequests = true;
  bool done = false;
  const auto client = fixture.client();
  ASSERT_TRUE(fixture.until([&] { return fixture.listener.size() == 1; }));
  fixture.listener.drain(0, [&] { done = true; });
  EXPECT_TRUE(fixture.until([&] {
    if (!client->ended())
      client->write(kRequest + kRequest + kRequest + kRequest);
    return client->ended();
  }));
  fixture.pass(501);
  EXPECT_TRUE(fixture.until([&] { return done; }));
  EXPECT_LT(fixture.requests.size(), 100U);
}

// An aborted stream ends its connection, so requests behind a stream are not read while its outcome
// is unknown.
TEST(PipelinedRequests, AreNotReadWhileEarlierResponseIsInProgress) {
  ListenerFixture fixture(3);
  const auto client = fixture.client(kRequest + kRequest);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
  fixture.requests[0]->beginStream({});
  fixture.requests[0]->writeChunk("event");
  ASSERT_TRUE(fixture.until([&] {
    return fixture.hasReceived(*client, "event") && fixture.requests[0]->transferState();
  }));
  for (int i = 0; i < 3; ++i) {
    fixture.pass(51);
    fixture.io.poll();
  }
  const auto state = fixture.requests[0]->transferState();
  int unread = 0;
  ASSERT_EQ(::ioctl(state->descriptor, FIONREAD, &unread), 0);
  EXPECT_EQ(unread, static_cast<int>(kRequest.size()));
  EXPECT_TRUE(state->pipelinedInput.empty());
  fixture.requests[0]->abortResponse();
  EXPECT_TRUE(fixture.until([&] { return client->ended(); }));
  EXPECT_EQ(fixture.requests.size(), 1U);
}

// The client pipelines more bytes than are read ahead, the last of them an incomplete request.
TEST(PipelinedRequests, EachDiscardedRequestIsRejected) {
  ListenerFixture fixture(3);
  const std::string large =
      "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n" + std::string(200'000, 'p');
  const auto client = fixture.client(kRequest);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
  client->writeLater(large + large + kRequest + kRequest + kHalf);
  ASSERT_TRUE(fixture.until([&] {
    fixture.pass(1);
    return client->wroteAll();
  }));
  for (int i = 0; i < 10; ++i) {
    fixture.pass(21);
    fixture.io.poll();
  }
  fixture.answersRequests = true;
  fixture.requests[0]->answer(200, {}, "served");
  ASSERT_TRUE(fixture.until([&] { return client->ended(); }));
  std::string statuses;
  for (auto at = client->seen.find("HTTP/1.1 "); at != std::string::npos;
       at = client->seen.find("HTTP/1.1 ", at + 1))
    statuses += client->seen.substr(at + 9, 3) + " ";
  EXPECT_EQ(statuses, "200 200 503 503 503 503 ");
  EXPECT_EQ(fixture.requests.size(), 2U);
}

TEST(ShedRequests, AreCountedHoweverBytesArrive) {
  const std::string all = kRequest + kRequest + kHalf;
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    net::ShedRequests shed;
    shed.read(all.substr(0, cut));
    shed.read(all.substr(cut));
    EXPECT_EQ(shed.unanswered(), 3U) << cut;
    EXPECT_TRUE(shed.endsMidRequest());
    shed.read(kRequest.substr(kHalf.size()));
    EXPECT_EQ(shed.unanswered(), 3U) << cut;
    EXPECT_FALSE(shed.endsMidRequest());
  }
}

TEST(ShedRequests, CountUnreadableBytesAsOneRequest) {
  net::ShedRequests shed;
  shed.read(kRequest + "no request\r\n\r\n");
  shed.read(kRequest);
  EXPECT_EQ(shed.unanswered(), 2U);
}

// ---- Admission

admission::Rules rules(std::size_t total, std::size_t perAddress) {
  admission::Rules rules;
  rules.total = total;
  rules.perAddress = perAddress;
  rules.perSecond = rules.burst = 1000;
  return rules;
}

TEST(Admission, EachRejectedClientGetsAnAnswer) {
  admission::AdmissionController controller(rules(100, 1));
  ListenerFixture fixture(100, &controller);
  const auto first = fixture.client(kRequest);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
  std::vector<std::unique_ptr<RawPeer>> others;
  for (int i = 0; i < 60; ++i)
    others.push_back(fixture.client(kRequest));
  for (auto& other : others)
    EXPECT_TRUE(fixture.answered(*other, "429")) << other->seen;
  EXPECT_EQ(fixture.requests.size(), 1U);
}

TEST(Admission, EvictedClientWithCompleteOrIncompleteRequestGetsAnAnswer) {
  for (const bool incomplete : {false, true}) {
    SCOPED_TRACE(incomplete);
    admission::AdmissionController controller(rules(1, 10));
    ListenerFixture fixture(100, &controller);
    std::unique_ptr<RawPeer> client;
    if (incomplete) {
      client = fixture.client(kHalf);
      ASSERT_TRUE(fixture.until([&] { return fixture.listener.size() == 1; }));
      fixture.io.poll();
    } else {
      client = fixture.idleClient();
    }
    fixture.pass(150);
    if (!incomplete)
      client->write(kRequest);  // not yet seen by the event loop
    fixture.listener.close({1});
    EXPECT_TRUE(fixture.answered(*client, "503")) << client->seen;
  }
}

// ---- Closing the listening socket

TEST(ListenerShutdown, ClientsInAcceptQueueAtConnectionLimitGetAnAnswer) {
  ListenerFixture fixture(1);
  const auto first = fixture.client(kRequest);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
  std::vector<std::unique_ptr<RawPeer>> queue;
  for (int i = 0; i < 5; ++i)
    queue.push_back(fixture.client(kRequest));
  fixture.listener.drain(0, [] {});
  for (auto& queued : queue)
    EXPECT_TRUE(fixture.answered(*queued, "503")) << queued->seen;
  fixture.requests[0]->answer(200, {}, "served");
  EXPECT_TRUE(fixture.answered(*first, "200")) << first->seen;
}

// Blocking clients in threads of their own. Each repeatedly connects, sends a request and reads one
// answer.
class LoadClient {
 public:
  explicit LoadClient(const net::Endpoint& to, std::string request) : request_(std::move(request)) {
    for (auto& thread : threads_)
      thread = std::thread([this, to] { run(to); });
  }
  ~LoadClient() { stop(); }
  void stop() {
    stopped_ = true;
    for (auto& thread : threads_)
      if (thread.joinable())
        thread.join();
  }
  int connected() const { return connected_; }
  int unanswered() const { return unanswered_; }

 private:
  void run(const net::Endpoint& to) {
    while (!stopped_) {
      const int client = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const timeval answerTimeout{5, 0};
      ::setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &answerTimeout, sizeof answerTimeout);
      const timeval connectTimeout{0, 50'000};
      ::setsockopt(client, SOL_SOCKET, SO_SNDTIMEO, &connectTimeout, sizeof connectTimeout);
      if (::connect(client, to.data(), static_cast<socklen_t>(to.size())) == 0) {
        ++connected_;
        std::array<char, 64> answer{};
        const auto sent = ::send(client, request_.data(), request_.size(), MSG_NOSIGNAL);
        if (sent < 0 || ::recv(client, answer.data(), answer.size(), 0) <= 0)
          ++unanswered_;
      }
      ::close(client);
    }
  }

  std::string request_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> connected_ = 0, unanswered_ = 0;
  std::array<std::thread, 3> threads_;
};

// Guards against connections that are established between the last check of the accept queue and
// the close of the listening socket.
TEST(ListenerShutdown, EveryEstablishedConnectionGetsAnAnswer) {
  int connected = 0;
  for (int round = 0; round < 60; ++round) {
    ListenerFixture fixture(1000);
    fixture.answersRequests = true;
    LoadClient load(fixture.listener.address(), kRequest);
    ASSERT_TRUE(fixture.until([&] { return load.connected() >= 20; }));
    bool done = false;
    fixture.listener.drain(10, [&] { done = true; });
    fixture.pass(6);
    fixture.io.run_for(std::chrono::milliseconds(2));
    ASSERT_TRUE(fixture.until([&] {
      fixture.pass(50);
      return done;
    }));
    load.stop();
    connected += load.connected();
    ASSERT_EQ(load.unanswered(), 0) << "round " << round << ", of " << connected;
  }
}

// ---- The program

// The program as a process of its own, its configuration file and one instance.
struct ProgramFixture : NetworkFixture {
  TemporaryDirectory directory;
  StandInInstance instance{io, clock, timers};
  net::Endpoint listen = freePort(), adminAddress = freePort();
  Programs programs;

  ProgramFixture() {
    instance.script = streamFullAnswer;
    writeConfig(listen);
  }
  void writeConfig(const net::Endpoint& at) const {
    std::ofstream(directory.path + "/site.json") << json{
        {"listen", textOf(at)},
        {"admin_addr", textOf(adminAddress)},
        {"keys", {{{"key", "k"}, {"tenant", "club"}}}},
        {"models", {{"m", "member-questions"}}},
        {"boxes",
         {{{"id", "b"}, {"address", textOf(instance.address())}, {"role", "both"}, {"cell", 0}}}},
        {"settings", siteSettings()}}.dump();
  }
  pid_t start() {
    const pid_t process =
        programs.start({"serve", "--operator", directory.path + "/site.json"}, {});
    EXPECT_TRUE(until([&] { return callAdmin(io, adminAddress, "readyz").rfind("ok", 0) == 0; }));
    return process;
  }
  static std::string requestText() {
    const std::string body = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
    return messageText("POST /v1/chat/completions HTTP/1.1",
                       {{"Host", "x"}, {"Authorization", "Bearer k"}}, body);
  }
  bool ended(pid_t process) {
    return until([&] { return programs.exitStatus(process).has_value(); });
  }
};

TEST(Program, AnswersEveryNewConnectionAroundSigterm) {
  ProgramFixture fixture;
  for (int round = 0; round < 3; ++round) {
    const pid_t process = fixture.start();
    LoadClient load(fixture.listen, ProgramFixture::requestText());
    ASSERT_TRUE(fixture.until([&] { return load.connected() >= 50; }));
    ::kill(process, SIGTERM);
    ASSERT_TRUE(fixture.ended(process));
    load.stop();
    EXPECT_EQ(load.unanswered(), 0) << "of " << load.connected();
  }
}

// A changed listen address takes effect only at the next start, and no connection is closed for it.
TEST(Program, KeepsAddressAndClientsAfterSighupWithAnotherAddress) {
  ProgramFixture fixture;
  const pid_t process = fixture.start();
  RawPeer client(fixture.io), half(fixture.io);
  client.connect(fixture.listen);
  half.connect(fixture.listen);
  half.write(ProgramFixture::requestText().substr(0, 40));
  const auto served = [&](RawPeer& peer, const std::string& bytes) {
    peer.seen.clear();
    peer.write(bytes);
    return fixture.until(
        [&] { return !peer.ended() && peer.seen.find("chat.completion") != std::string::npos; });
  };
  ASSERT_TRUE(served(client, ProgramFixture::requestText()));
  fixture.writeConfig(freePort());
  ::kill(process, SIGHUP);
  EXPECT_TRUE(served(half, ProgramFixture::requestText().substr(40)));
  EXPECT_TRUE(served(client, ProgramFixture::requestText()));
  RawPeer late(fixture.io);
  late.connect(fixture.listen);
  EXPECT_TRUE(served(late, ProgramFixture::requestText()));
}

// All requests are pipelined, and an operator evacuates the router meanwhile.
TEST(Program, ServesAllPipelinedRequestsWhileEvacuated) {
  ProgramFixture fixture;
  const pid_t process = fixture.start();
  RawPeer client(fixture.io);
  client.connect(fixture.listen);
  constexpr int kRequests = 5;
  for (int i = 0; i < kRequests; ++i)
    client.write(ProgramFixture::requestText());
  EXPECT_EQ(callAdmin(fixture.io, fixture.adminAddress, "evacuate").rfind("ok", 0), 0U);
  ASSERT_TRUE(fixture.until([&] { return client.ended(); }));
  int answers = 0;
  for (std::size_t at = client.seen.find("HTTP/1.1 200"); at != std::string::npos;
       at = client.seen.find("HTTP/1.1 200", at + 1))
    ++answers;
  EXPECT_EQ(answers, kRequests) << client.seen;
  ::kill(process, SIGTERM);
  EXPECT_TRUE(fixture.ended(process));
}

// ---- Hand-over to another process

TEST(HandedOverConnection, CarriesTheRequestPipelinedBehindItsStream) {
  RouterFixture before(kMixed, false), after(kMixed, false);
  for (auto& [id, instance] : before.instances)
    instance->script = beginOnly;
  const auto requestText = [](const std::string& id) {
    net::Fields fields = platformFields(id);
    fields.emplace_back("Host", "x");
    return messageText("POST /v1/chat/completions HTTP/1.1", fields, "{}");
  };
  RawPeer client(before.io);
  client.connect(before.listener->address());
  client.write(requestText("first"));
  ASSERT_TRUE(before.until([&] {
    client.ended();
    return before.streaming() != nullptr && client.seen.find("first") != std::string::npos;
  }));
  client.write(requestText("second"));
  TemporaryDirectory directory;
  app::Handover receivingHandover(*after.server, *after.front, *after.listener);
  net::DescriptorReceiver receiver(
      after.io, directory.path, "in",
      [&](net::ReceivedMessage message) { receivingHandover.receive(std::move(message)); });
  app::Handover handover(*before.server, *before.front, *before.listener);
  handover.begin(directory.path, "in");
  ASSERT_TRUE(before.until([&] {
    before.pass(10);
    return before.server->counters["streams.handed_over"] == 1;
  }));
  ASSERT_TRUE(after.until([&] { return after.server->counters["streams.taken_over"] == 1; }));
  for (auto& [id, instance] : before.instances)
    for (auto& request : instance->received) {
      request->connection->writeChunk(kLastEvents);
      request->connection->endStream();
    }
  ASSERT_TRUE(after.until([&] {
    before.io.poll();
    client.ended();
    return client.seen.find("Hel") != std::string::npos;
  })) << client.seen;
  EXPECT_EQ(after.chats(), 1);
}

}  // namespace
}  // namespace inference_router
