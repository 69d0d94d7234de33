// What has been read from a client gets an answer, and what will not be answered is not read:
// closes of all kinds against requests that are standing, arriving, or half there.
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
#include "support/site.h"

namespace inference_router {
namespace {

using net::ClientConnection;
using net::RequestReader;
using State = ClientConnection::State;

const std::string kRequest = "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
const std::string kHalf = kRequest.substr(0, 30);

// ---- Reading one request
// -----------------------------------------------------------------------------

struct Pair {
  Pair() { EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0); }
  ~Pair() {
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

TEST(RequestReader, TakesNothingOfWhatStandsBehindARequestHoweverItArrives) {
  const std::string chunked =
      "POST /v1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  for (const std::string& request : {kRequest, chunked}) {
    for (std::size_t cut = 0; cut <= request.size() + kRequest.size(); ++cut) {
      SCOPED_TRACE(cut);
      const std::string all = request + kRequest;
      Pair pair;
      RequestReader reader;
      boost::system::error_code error;
      const auto take = [&] {
        reader.begin();
        auto progress = reader.read(pair.ends[1], error);
        while (progress == RequestReader::Progress::kPart && pair.unread() > 0)
          progress = reader.read(pair.ends[1], error);
        return progress;
      };
      pair.write(all.substr(0, cut));
      auto progress = take();
      if (progress != RequestReader::Progress::kWhole) {
        pair.write(all.substr(cut));
        while (progress != RequestReader::Progress::kWhole)
          progress = reader.read(pair.ends[1], error);
        ASSERT_EQ(pair.unread(), static_cast<int>(kRequest.size()));
      } else {
        ASSERT_EQ(pair.unread(), static_cast<int>(cut - request.size()));
        pair.write(all.substr(cut));
      }
      EXPECT_TRUE(reader.carried().empty());
      EXPECT_EQ(reader.release().body(), "abc");
      ASSERT_EQ(take(), RequestReader::Progress::kWhole);
      EXPECT_EQ(reader.release().body(), "abc");
      EXPECT_EQ(pair.unread(), 0);
    }
  }
}

TEST(RequestReader, TakesWhatAnotherProcessHadReadBeforeWhatStandsInTheSocket) {
  Pair pair;
  RequestReader reader;
  boost::system::error_code error;
  reader.carry(kRequest + kHalf);
  pair.write(kRequest.substr(kHalf.size()) + kRequest);
  for (int i = 0; i < 3; ++i) {
    reader.begin();
    ASSERT_EQ(reader.read(pair.ends[1], error), RequestReader::Progress::kWhole) << i;
    EXPECT_EQ(reader.release().body(), "abc");
  }
  EXPECT_EQ(pair.unread(), 0);
}

// ---- The cap, idle closes, pipelines
// ---------------------------------------------------------------

struct Service : Stage, net::RequestHandler {
  explicit Service(std::size_t cap, admission::AdmissionController* gate = nullptr)
      : listener(io,
                 anyPort(),
                 cap,
                 *this,
                 clock,
                 timers,
                 counters,
                 {.sharedPort = false,
                  .open = true,
                  .admissionController = gate,
                  .descriptorBudget = nullptr}) {}
  void request(const std::shared_ptr<ClientConnection>& connection,
               net::HttpRequest&&,
               double) override {
    asked.push_back(connection);
    if (answers)
      connection->answer(200, {}, "served");
  }
  void disconnected(ClientConnection&) override {}
  void writable(ClientConnection&) override {}
  void reject(ClientConnection& connection, unsigned status, std::string_view why) override {
    connection.answer(status, {}, why);
  }
  std::unique_ptr<RawPeer> client(const std::string& says = "") {
    auto peer = std::make_unique<RawPeer>(io);
    peer->connect(listener.address());
    if (!says.empty())
      peer->write(says);
    return peer;
  }
  // A client whose connection rests after an answer.
  std::unique_ptr<RawPeer> resting() {
    const std::size_t before = asked.size();
    auto peer = client(kRequest);
    EXPECT_TRUE(until([&] { return asked.size() == before + 1; }));
    if (!answers)
      asked.back()->answer(200, {}, "served");
    EXPECT_TRUE(
        until([&] { return asked.back()->state() == State::kIdle && sees(*peer, "served"); }));
    peer->seen.clear();
    return peer;
  }
  bool sees(RawPeer& peer, const std::string& text) {
    peer.ended();
    return peer.seen.find(text) != std::string::npos;
  }
  bool answered(RawPeer& peer, const std::string& status) {
    return until([&] { return peer.ended(); }) && peer.seen.rfind("HTTP/1.1 " + status, 0) == 0;
  }

  std::vector<std::shared_ptr<ClientConnection>> asked;
  bool answers = false;
  net::Listener listener;
};

TEST(AtTheCap, HalfARequestThatHasToMakeRoomGetsAnAnswer) {
  Service service(1);
  const auto slow = service.client(kHalf);
  ASSERT_TRUE(service.until([&] { return service.listener.size() == 1; }));
  service.io.poll();
  service.pass(150);
  const auto next = service.client(kRequest);
  ASSERT_TRUE(service.until([&] {
    service.pass(20);
    return service.asked.size() == 1;
  }));
  EXPECT_TRUE(service.answered(*slow, "503")) << slow->seen;
}

TEST(AtTheCap, ARequestThatStandsOnAnIdleConnectionIsServedAndNotCutOff) {
  Service service(2);
  const auto client = service.resting();
  client->write(kRequest);  // the loop has not seen it
  service.listener.setMaxConnections(0);
  EXPECT_EQ(service.listener.size(), 1U);
  ASSERT_TRUE(service.until([&] { return service.asked.size() == 2; }));
  service.asked[1]->answer(200, {}, "second");
  EXPECT_TRUE(service.until([&] { return service.sees(*client, "second"); }));
}

// In the turn of the loop in which a request arrives and another client needs room.
TEST(AtTheCap, ARequestThatArrivesInTheTurnInWhichRoomIsNeededIsServed) {
  for (int round = 0; round < 20; ++round) {
    Service service(1);
    const auto client = service.resting();
    const auto next = service.client(kRequest);
    client->write(kRequest);
    ASSERT_TRUE(service.until([&] { return service.asked.size() == 2; })) << round;
    EXPECT_FALSE(client->ended()) << round;
    service.asked[1]->answer(200, {}, "second");
    ASSERT_TRUE(service.until([&] { return service.sees(*client, "second"); })) << round;
    service.answers = true;
    EXPECT_TRUE(service.until([&] {
      service.pass(20);
      return service.sees(*next, "served");
    })) << round;
  }
}

TEST(FirstRequests, AreServedIfTheyStandInTheSocketAsTheirTimeEnds) {
  Service service(3);
  const auto client = service.client();
  ASSERT_TRUE(service.until([&] { return service.listener.size() == 1; }));
  service.pass(1'990);
  client->write(kRequest);  // the loop has not seen it
  service.pass(11);
  ASSERT_TRUE(service.until([&] { return service.asked.size() == 1; }));
  service.asked[0]->answer(200, {}, "served");
  EXPECT_TRUE(service.until([&] { return service.sees(*client, "served"); }));
}

TEST(FirstRequests, ThatBeginAsTheirTimeEndsHaveLittleMoreAndThenAnAnswer) {
  Service service(3);
  const auto client = service.client();
  ASSERT_TRUE(service.until([&] { return service.listener.size() == 1; }));
  service.pass(1'990);
  client->write(kHalf);
  service.pass(11);
  service.io.poll();
  service.pass(501);
  EXPECT_TRUE(service.answered(*client, "408")) << client->seen;
}

TEST(Pipelines, AreServedToTheirEndAsTheDoorCloses) {
  for (const bool late : {false, true}) {
    SCOPED_TRACE(late);
    Service service(3);
    bool done = false;
    const auto client = service.client(late ? kRequest : kRequest + kRequest + kRequest);
    ASSERT_TRUE(service.until([&] { return service.asked.size() == 1; }));
    service.listener.drain(0, [&] { done = true; });
    if (late)
      client->write(kRequest + kRequest);  // behind the close, ahead of the answer
    for (std::size_t i = 0; i < 3; ++i) {
      ASSERT_TRUE(service.until([&] { return service.asked.size() == i + 1; })) << i;
      service.asked[i]->answer(200, {}, "answer" + std::to_string(i));
      if (i < 2) {
        EXPECT_EQ(client->seen.find("Connection: close"), std::string::npos);
      }
    }
    ASSERT_TRUE(service.until([&] { return client->ended(); }));
    EXPECT_NE(client->seen.find("answer2"), std::string::npos) << client->seen;
    EXPECT_NE(client->seen.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(service.until([&] { return done; }));
  }
}

TEST(Pipelines, BehindAStreamAreServedAsTheDoorCloses) {
  Service service(3);
  const auto client = service.client(kRequest + kRequest);
  ASSERT_TRUE(service.until([&] { return service.asked.size() == 1; }));
  service.asked[0]->beginStream({});
  service.listener.drain(0, [] {});
  service.asked[0]->pass("event");
  service.asked[0]->endStream();
  ASSERT_TRUE(service.until([&] { return service.asked.size() == 2; }));
  service.asked[1]->answer(200, {}, "second");
  EXPECT_TRUE(service.until([&] { return client->ended(); }));
  EXPECT_NE(client->seen.find("second"), std::string::npos) << client->seen;
}

TEST(Pipelines, WithoutEndDoNotKeepAProcessThatIsToEnd) {
  Service service(3);
  service.answers = true;
  bool done = false;
  const auto client = service.client();
  ASSERT_TRUE(service.until([&] { return service.listener.size() == 1; }));
  service.listener.drain(0, [&] { done = true; });
  EXPECT_TRUE(service.until([&] {
    if (!client->ended())
      client->write(kRequest + kRequest + kRequest + kRequest);
    return client->ended();
  }));
  service.pass(501);
  EXPECT_TRUE(service.until([&] { return done; }));
  EXPECT_LT(service.asked.size(), 100U);
}

// A stream that breaks off ends its connection: what stands behind it is not read before that is
// known.
TEST(Pipelines, AreNotReadWhileTheAnswerAheadOfThemIsUnderWay) {
  Service service(3);
  const auto client = service.client(kRequest + kRequest);
  ASSERT_TRUE(service.until([&] { return service.asked.size() == 1; }));
  service.asked[0]->beginStream({});
  service.asked[0]->pass("event");
  ASSERT_TRUE(service.until(
      [&] { return service.sees(*client, "event") && service.asked[0]->transferState(); }));
  for (int i = 0; i < 3; ++i) {
    service.pass(51);
    service.io.poll();
  }
  const auto rest = service.asked[0]->transferState();
  int unread = 0;
  ASSERT_EQ(::ioctl(rest->descriptor, FIONREAD, &unread), 0);
  EXPECT_EQ(unread, static_cast<int>(kRequest.size()));
  EXPECT_TRUE(rest->ahead.empty());
  service.asked[0]->abortResponse();
  EXPECT_TRUE(service.until([&] { return client->ended(); }));
  EXPECT_EQ(service.asked.size(), 1U);
}

// More is sent ahead than is kept, with a request whose rest is not sent at its end.
TEST(Pipelines, EachRequestThatWasReadAndNotKeptIsRefused) {
  Service service(3);
  const std::string large =
      "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n" + std::string(200'000, 'p');
  const auto client = service.client(kRequest);
  ASSERT_TRUE(service.until([&] { return service.asked.size() == 1; }));
  client->writeLater(large + large + kRequest + kRequest + kHalf);
  ASSERT_TRUE(service.until([&] {
    service.pass(1);
    return client->wroteAll();
  }));
  for (int i = 0; i < 10; ++i) {
    service.pass(21);
    service.io.poll();
  }
  service.answers = true;
  service.asked[0]->answer(200, {}, "served");
  ASSERT_TRUE(service.until([&] { return client->ended(); }));
  std::string statuses;
  for (auto at = client->seen.find("HTTP/1.1 "); at != std::string::npos;
       at = client->seen.find("HTTP/1.1 ", at + 1))
    statuses += client->seen.substr(at + 9, 3) + " ";
  EXPECT_EQ(statuses, "200 200 503 503 503 503 ");
  EXPECT_EQ(service.asked.size(), 2U);
}

TEST(ShedRequests, AreCountedHoweverTheirBytesArrive) {
  const std::string all = kRequest + kRequest + kHalf;
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    net::ShedRequests shed;
    shed.read(all.substr(0, cut));
    shed.read(all.substr(cut));
    EXPECT_EQ(shed.unanswered(), 3U) << cut;
    EXPECT_TRUE(shed.endsMidway());
    shed.read(kRequest.substr(kHalf.size()));
    EXPECT_EQ(shed.unanswered(), 3U) << cut;
    EXPECT_FALSE(shed.endsMidway());
  }
}

TEST(ShedRequests, TakeWhatCannotBeReadForOne) {
  net::ShedRequests shed;
  shed.read(kRequest + "no request\r\n\r\n");
  shed.read(kRequest);
  EXPECT_EQ(shed.unanswered(), 2U);
}

// ---- Admission
// -------------------------------------------------------------------------------------

admission::Rules rules(std::size_t total, std::size_t perAddress) {
  admission::Rules rules;
  rules.total = total;
  rules.perAddress = perAddress;
  rules.perSecond = rules.burst = 1000;
  return rules;
}

TEST(Admission, EveryoneWhoIsTurnedAwayReadsWhy) {
  admission::AdmissionController gate(rules(100, 1));
  Service service(100, &gate);
  const auto first = service.client(kRequest);
  ASSERT_TRUE(service.until([&] { return service.asked.size() == 1; }));
  std::vector<std::unique_ptr<RawPeer>> others;
  for (int i = 0; i < 60; ++i)
    others.push_back(service.client(kRequest));
  for (auto& one : others)
    EXPECT_TRUE(service.answered(*one, "429")) << one->seen;
  EXPECT_EQ(service.asked.size(), 1U);
}

TEST(Admission, WhoHasToGiveWayWithARequestOrPartOfOneGetsAnAnswer) {
  for (const bool half : {false, true}) {
    SCOPED_TRACE(half);
    admission::AdmissionController gate(rules(1, 10));
    Service service(100, &gate);
    std::unique_ptr<RawPeer> client;
    if (half) {
      client = service.client(kHalf);
      ASSERT_TRUE(service.until([&] { return service.listener.size() == 1; }));
      service.io.poll();
    } else {
      client = service.resting();
    }
    service.pass(150);
    if (!half)
      client->write(kRequest);  // the loop has not seen it
    service.listener.close({1});
    EXPECT_TRUE(service.answered(*client, "503")) << client->seen;
  }
}

// ---- The door
// --------------------------------------------------------------------------------------

TEST(TheDoor, WhoStandsInTheQueueAtTheCapIsToldAsItCloses) {
  Service service(1);
  const auto first = service.client(kRequest);
  ASSERT_TRUE(service.until([&] { return service.asked.size() == 1; }));
  std::vector<std::unique_ptr<RawPeer>> queue;
  for (int i = 0; i < 5; ++i)
    queue.push_back(service.client(kRequest));
  service.listener.drain(0, [] {});
  for (auto& one : queue)
    EXPECT_TRUE(service.answered(*one, "503")) << one->seen;
  service.asked[0]->answer(200, {}, "served");
  EXPECT_TRUE(service.answered(*first, "200")) << first->seen;
}

// A blocking client of its own thread: connects, asks and reads one answer, again and again.
class Hammer {
 public:
  explicit Hammer(const net::Endpoint& to, std::string request) : request_(std::move(request)) {
    for (auto& thread : threads_)
      thread = std::thread([this, to] { run(to); });
  }
  ~Hammer() { stop(); }
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
      const timeval limit{5, 0};
      ::setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      const timeval dial{0, 50'000};
      ::setsockopt(client, SOL_SOCKET, SO_SNDTIMEO, &dial, sizeof dial);
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

// The moment between the last look at the accept queue and the close of the listening socket.
TEST(TheDoor, NobodyWhoseConnectionCameUpIsLeftWithoutAnAnswerAsItCloses) {
  int connected = 0;
  for (int round = 0; round < 60; ++round) {
    Service service(1000);
    service.answers = true;
    Hammer hammer(service.listener.address(), kRequest);
    ASSERT_TRUE(service.until([&] { return hammer.connected() >= 20; }));
    bool done = false;
    service.listener.drain(10, [&] { done = true; });
    service.pass(6);
    service.io.run_for(std::chrono::milliseconds(2));
    ASSERT_TRUE(service.until([&] {
      service.pass(50);
      return done;
    }));
    hammer.stop();
    connected += hammer.connected();
    ASSERT_EQ(hammer.unanswered(), 0) << "round " << round << ", of " << connected;
  }
}

// ---- The program
// -----------------------------------------------------------------------------------

struct SmallSite : Stage {
  Folder folder;
  StandInInstance instance{io, clock, timers};
  net::Endpoint listen = freePort(), door = freePort();
  Programs programs;

  SmallSite() {
    instance.script = streamWhole;
    writeFile(listen);
  }
  void writeFile(const net::Endpoint& at) const {
    std::ofstream(folder.path + "/site.json") << json{
        {"listen", textOf(at)},
        {"admin_addr", textOf(door)},
        {"keys", {{{"key", "k"}, {"tenant", "club"}}}},
        {"models", {{"m", "member-questions"}}},
        {"boxes",
         {{{"id", "b"}, {"address", textOf(instance.address())}, {"role", "both"}, {"cell", 0}}}},
        {"settings", siteSettings()}}.dump();
  }
  pid_t start() {
    const pid_t process = programs.start({"serve", "--operator", folder.path + "/site.json"}, {});
    EXPECT_TRUE(until([&] { return callAdmin(io, door, "readyz").rfind("ok", 0) == 0; }));
    return process;
  }
  static std::string ask() {
    const std::string body = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
    return messageText("POST /v1/chat/completions HTTP/1.1",
                       {{"Host", "x"}, {"Authorization", "Bearer k"}}, body);
  }
  bool ended(pid_t process) {
    return until([&] { return programs.exitStatus(process).has_value(); });
  }
};

TEST(Program, LeavesNoNewConnectionWithoutAnAnswerAroundASigterm) {
  SmallSite site;
  for (int round = 0; round < 3; ++round) {
    const pid_t process = site.start();
    Hammer hammer(site.listen, SmallSite::ask());
    ASSERT_TRUE(site.until([&] { return hammer.connected() >= 50; }));
    ::kill(process, SIGTERM);
    ASSERT_TRUE(site.ended(process));
    hammer.stop();
    EXPECT_EQ(hammer.unanswered(), 0) << "of " << hammer.connected();
  }
}

// Another address in the file changes nothing before the next start: nobody's connection closes for
// it.
TEST(Program, KeepsItsAddressAndItsClientsOverASighupThatNamesAnother) {
  SmallSite site;
  const pid_t process = site.start();
  RawPeer client(site.io), half(site.io);
  client.connect(site.listen);
  half.connect(site.listen);
  half.write(SmallSite::ask().substr(0, 40));
  const auto served = [&](RawPeer& peer, const std::string& says) {
    peer.seen.clear();
    peer.write(says);
    return site.until(
        [&] { return !peer.ended() && peer.seen.find("chat.completion") != std::string::npos; });
  };
  ASSERT_TRUE(served(client, SmallSite::ask()));
  site.writeFile(freePort());
  ::kill(process, SIGHUP);
  EXPECT_TRUE(served(half, SmallSite::ask().substr(40)));
  EXPECT_TRUE(served(client, SmallSite::ask()));
  RawPeer late(site.io);
  late.connect(site.listen);
  EXPECT_TRUE(served(late, SmallSite::ask()));
}

// Each request is written behind the one before it without waiting, as the operators send everybody
// away.
TEST(Program, ServesAPipelineToItsEndWhileItIsEvacuated) {
  SmallSite site;
  const pid_t process = site.start();
  RawPeer client(site.io);
  client.connect(site.listen);
  constexpr int kRequests = 5;
  for (int i = 0; i < kRequests; ++i)
    client.write(SmallSite::ask());
  EXPECT_EQ(callAdmin(site.io, site.door, "evacuate").rfind("ok", 0), 0U);
  ASSERT_TRUE(site.until([&] { return client.ended(); }));
  int answers = 0;
  for (std::size_t at = client.seen.find("HTTP/1.1 200"); at != std::string::npos;
       at = client.seen.find("HTTP/1.1 200", at + 1))
    ++answers;
  EXPECT_EQ(answers, kRequests) << client.seen;
  ::kill(process, SIGTERM);
  EXPECT_TRUE(site.ended(process));
}

// ---- A successor
// -----------------------------------------------------------------------------------

TEST(HandedConnections, CarryTheRequestThatStandsBehindTheirStream) {
  Site before(kMixed, false), after(kMixed, false);
  for (auto& [id, instance] : before.instances)
    instance->script = beginOnly;
  const auto ask = [](const std::string& id) {
    net::Fields fields = platformFields(id);
    fields.emplace_back("Host", "x");
    return messageText("POST /v1/chat/completions HTTP/1.1", fields, "{}");
  };
  RawPeer client(before.io);
  client.connect(before.listener->address());
  client.write(ask("first"));
  ASSERT_TRUE(before.until([&] {
    client.ended();
    return before.streaming() != nullptr && client.seen.find("first") != std::string::npos;
  }));
  client.write(ask("second"));
  Folder folder;
  app::Handover takes(*after.server, *after.front, *after.listener);
  net::DescriptorReceiver receiver(after.io, folder.path, "in", [&](net::ReceivedMessage passed) {
    takes.receive(std::move(passed));
  });
  app::Handover handover(*before.server, *before.front, *before.listener);
  handover.begin(folder.path, "in");
  ASSERT_TRUE(before.until([&] {
    before.pass(10);
    return before.server->counters["streams.handed_over"] == 1;
  }));
  ASSERT_TRUE(after.until([&] { return after.server->counters["streams.taken_over"] == 1; }));
  for (auto& [id, instance] : before.instances)
    for (auto& taken : instance->taken) {
      taken->connection->pass(kLastEvents);
      taken->connection->endStream();
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
