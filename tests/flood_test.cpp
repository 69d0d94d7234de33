// The listener under floods of connections, and while the process has no free descriptors.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "admission/admission_controller.h"
#include "app/server.h"
#include "support/admission_rules.h"
#include "support/program.h"

namespace inference_router {
namespace {

using namespace admission;
using nlohmann::json;

// ---- The listener under floods

struct FloodFixture : NetworkFixture, net::RequestHandler {
  explicit FloodFixture(const json& change = {})
      : budget(DescriptorBudget::sharesOf(512)), controller(makeRules(change)) {}
  static Rules makeRules(const json& change) {
    json text = file();
    if (!change.is_null())
      text.merge_patch(change);
    return rulesOf(text, {"desk"}, 200);
  }
  DescriptorBudget budget;
  AdmissionController controller;
  std::vector<std::shared_ptr<net::ClientConnection>> connections;
  bool answersRequests = true;
  int disconnects = 0;
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double) override {
    if (request["X-Key"] == "desk")
      connection->identify("desk");
    connections.push_back(connection);
    if (answersRequests)
      connection->answer(200, {}, "served");
  }
  void disconnected(net::ClientConnection&) override { ++disconnects; }
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection,
              unsigned status,
              std::string_view reason) override {
    connection.answer(status, {}, reason);
  }
  net::Listener listener{io,
                         anyPort(),
                         216,
                         *this,
                         clock,
                         timers,
                         counters,
                         {.sharedPort = false,
                          .open = true,
                          .admissionController = &controller,
                          .descriptorBudget = &budget}};
};

// A client with its own address within 127.0.0.0/8.
struct Client {
  Client(FloodFixture& fixture, const std::string& from)
      : Client(fixture.io, fixture.listener.address(), from) {}
  Client(boost::asio::io_context& io, const net::Endpoint& to, const std::string& from)
      : socket(io) {
    boost::system::error_code ignored;  // a program that is shutting down refuses connections
    socket.open(tcp::v4());
    socket.bind({boost::asio::ip::make_address(from), 0});
    socket.connect(to, ignored);
    socket.non_blocking(true, ignored);
  }
  void write(const std::string& bytes) {
    boost::system::error_code ignored;
    socket.write_some(boost::asio::buffer(bytes), ignored);
  }
  bool ended() {
    boost::system::error_code error;
    std::array<char, 4096> buffer{};
    for (;;) {
      const std::size_t count = socket.read_some(boost::asio::buffer(buffer), error);
      if (error == boost::asio::error::would_block)
        return false;
      if (error)
        return true;
      seen.append(buffer.data(), count);
    }
  }
  bool hasReceived(const std::string& text) {
    return ended(), seen.find(text) != std::string::npos;
  }
  bool isComplete() { return hasReceived("[DONE]") && hasReceived("\r\n0\r\n\r\n"); }
  tcp::socket socket;
  std::string seen;
};

const std::string kRequest = "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";

std::size_t openDescriptors() {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd"))
    ++count;
  return count;
}

TEST(Flood, KnownClientsAreServedWhileOneAddressOpensTenThousandConnections) {
  FloodFixture fixture;
  std::size_t served = 0, refused = 0;
  std::deque<std::unique_ptr<Client>> flood;
  for (int i = 0; i < 10'000; ++i) {
    flood.push_back(std::make_unique<Client>(fixture, "127.0.0.9"));
    if (i % 3 == 0)
      flood.back()->write(
          kRequest.substr(0, 20));  // an incomplete request; the others send nothing
    if (flood.size() >= 100)
      flood.pop_front();
    if (i % 100 != 99)
      continue;
    fixture.pass(10);
    Client known(fixture, "127.0.1." + std::to_string(1 + i / 100));
    known.write(kRequest);
    ASSERT_TRUE(fixture.until([&] { return known.hasReceived("served"); })) << i;
    ++served;
    ASSERT_LE(fixture.controller.openFrom(at("127.0.0.9")), 10U);
    ASSERT_LE(fixture.listener.pendingRefusals(), 16U);
    ASSERT_LE(fixture.budget.held(Account::kClients), fixture.budget.shares().max[0]);
  }
  EXPECT_EQ(served, 100U);
  for (std::size_t i = 1; i < kReasons; ++i)
    refused += fixture.controller.refused(static_cast<Reason>(i));
  EXPECT_GT(refused, 9'500U);
  EXPECT_EQ(fixture.controller.mostRefused().front().address, "127.0.0.9");
  flood.clear();
  fixture.pass(3'000);
  ASSERT_TRUE(fixture.until([&] { return fixture.controller.open() == 0; }));
  EXPECT_EQ(fixture.budget.held(Account::kClients), 0U);
}

// Guards against counting clients that are still reading their refusal as open connections: the
// limit would then appear to be reached for known clients.
TEST(Flood, PendingRefusalsDoNotReduceTheCapacityOfKnownClients) {
  FloodFixture fixture(json{{"connections", {{"total", 200}, {"per_address", 1}}}});
  std::vector<std::unique_ptr<Client>> flood;
  for (int i = 0; i < 300; ++i)
    flood.push_back(std::make_unique<Client>(fixture, "127.8.0." + std::to_string(1 + i % 179)));
  fixture.io.poll();
  ASSERT_GT(fixture.listener.pendingRefusals(), 10U);
  EXPECT_EQ(fixture.budget.held(Account::kClients), 179U);
  for (int i = 1; i <= 20; ++i) {
    Client known(fixture, "127.0.1." + std::to_string(i));
    known.write(kRequest);
    ASSERT_TRUE(fixture.until([&] { return known.hasReceived("served"); })) << i;
  }
}

TEST(Flood, ReserveForKnownClientsIsKeptUnderAFloodFromHundredsOfAddresses) {
  FloodFixture fixture;
  std::vector<std::unique_ptr<Client>> flood;
  for (int i = 0; i < 400; ++i) {
    flood.push_back(std::make_unique<Client>(
        fixture, "127.7." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200)));
    if (i % 50 == 49)
      fixture.io.poll();
  }
  ASSERT_TRUE(fixture.until([&] {
    return fixture.controller.admitted() + fixture.controller.refused(Reason::kReserved) >= 400;
  }));
  EXPECT_EQ(fixture.controller.unknown(), 80U);
  for (int i = 1; i <= 20; ++i) {
    Client known(fixture, "127.0.1." + std::to_string(i));
    known.write(kRequest);
    ASSERT_TRUE(fixture.until([&] { return known.hasReceived("served"); })) << i;
  }
}

TEST(Flood, RefusalStatesTheStatusAndRetryAfter) {
  FloodFixture fixture(json{{"connections", {{"per_address", 1}}}});
  Client first(fixture, "127.0.0.9");
  first.write(kRequest);
  ASSERT_TRUE(fixture.until([&] { return first.hasReceived("served"); }));
  Client second(fixture, "127.0.0.9");
  second.write(kRequest);
  ASSERT_TRUE(fixture.until([&] { return second.ended(); }));
  EXPECT_EQ(second.seen.rfind("HTTP/1.1 429 ", 0), 0U);
  EXPECT_NE(second.seen.find("Retry-After: 2"), std::string::npos);
  EXPECT_EQ(fixture.connections.size(), 1U);
}

TEST(Flood, AcceptedRequestsAreAnsweredUnderAFlood) {
  FloodFixture fixture;
  fixture.answersRequests = false;
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(std::make_unique<Client>(fixture, "127.3.0." + std::to_string(1 + i)));
    clients.back()->write(kRequest + kRequest);  // the second is served after the first
  }
  ASSERT_TRUE(fixture.until([&] { return fixture.connections.size() == 60; }));
  std::vector<std::unique_ptr<Client>> flood;
  for (int i = 0; i < 300; ++i)
    flood.push_back(std::make_unique<Client>(fixture, "127.4.0." + std::to_string(1 + i % 200)));
  fixture.pass(500);
  fixture.io.poll();
  EXPECT_EQ(fixture.disconnects, 0);
  fixture.answersRequests = true;
  for (std::size_t i = 0; i < 60; ++i)
    fixture.connections[i]->answer(200, {}, "first");
  for (auto& client : clients)
    ASSERT_TRUE(fixture.until(
        [&] { return client->hasReceived("first") && client->hasReceived("served"); }));
}

TEST(Flood, ConnectionWithAValidKeyIsNotEvicted) {
  FloodFixture fixture(json{{"connections", {{"total", 30}}}});
  Client desk(fixture, "127.5.0.1");
  desk.write("POST /v1 HTTP/1.1\r\nHost: x\r\nX-Key: desk\r\nContent-Length: 2\r\n\r\nhi");
  ASSERT_TRUE(fixture.until([&] { return desk.hasReceived("served"); }));
  std::vector<std::unique_ptr<Client>> flood;
  for (int i = 0; i < 100; ++i) {
    flood.push_back(std::make_unique<Client>(fixture, "127.6.0." + std::to_string(1 + i)));
    fixture.pass(20);
    fixture.io.poll();
  }
  EXPECT_FALSE(desk.ended());
  EXPECT_GT(fixture.controller.evicted(), 20U);
  desk.seen.clear();
  desk.write(kRequest);
  EXPECT_TRUE(fixture.until([&] { return desk.hasReceived("served"); }));
}

// Lowers the descriptor limit of the process while streams are in progress: the streams continue,
// new clients are refused, no descriptor leaks, and new clients are served once the limit is back.
TEST(Descriptors, StreamsContinueWhenDescriptorsRunOut) {
  const std::size_t before = openDescriptors();
  {
    FloodFixture fixture;
    fixture.answersRequests = false;
    std::vector<std::unique_ptr<Client>> streams, late;
    for (int i = 0; i < 5; ++i) {
      streams.push_back(std::make_unique<Client>(fixture, "127.2.0." + std::to_string(1 + i)));
      streams.back()->write(kRequest);
    }
    ASSERT_TRUE(fixture.until([&] { return fixture.connections.size() == 5; }));
    for (const auto& connection : fixture.connections) {
      connection->beginStream({});
      connection->writeChunk("event");
    }
    for (int i = 0; i < 8; ++i) {  // connected in the kernel, and not accepted yet
      late.push_back(std::make_unique<Client>(fixture, "127.2.1." + std::to_string(1 + i)));
      late.back()->write(kRequest);
    }
    rlimit previous{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &previous), 0);
    rlimit lowered = previous;
    lowered.rlim_cur = openDescriptors() -
                       1;  // the count includes the listing's own; no further one can be opened
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
    const bool allHandled = fixture.until([&] {
      fixture.pass(25);
      return fixture.connections.size() +
                 std::count_if(late.begin(), late.end(), [](auto& one) { return one->ended(); }) ==
             streams.size() + late.size();
    });
    for (const auto& connection : fixture.connections)
      connection->writeChunk("more");
    const bool allStreamsAlive = fixture.until([&] {
      return std::all_of(streams.begin(), streams.end(),
                         [](auto& one) { return one->hasReceived("more"); });
    });
    ::setrlimit(RLIMIT_NOFILE, &previous);
    EXPECT_TRUE(allHandled);
    EXPECT_TRUE(allStreamsAlive);
    EXPECT_GT(fixture.counters["clients.accept_failed"], 0U);
    EXPECT_EQ(fixture.budget.level(fixture.clock.nowMs()), Level::kExhausted);
    std::size_t refused = 0;  // one or two may have got the last free descriptors
    for (const auto& one : late)
      refused += one->seen.rfind("HTTP/1.1 503 ", 0) == 0;
    EXPECT_GE(refused, late.size() - 2);
    EXPECT_EQ(fixture.disconnects, 0);
    for (const auto& connection : fixture.connections)
      connection->endStream();
    for (auto& one : streams)
      ASSERT_TRUE(fixture.until([&] { return one->hasReceived("\r\n0\r\n\r\n"); }));
    fixture.pass(1'500);
    fixture.answersRequests = true;
    Client after(fixture, "127.2.2.1");
    after.write(kRequest);
    EXPECT_TRUE(fixture.until([&] { return after.hasReceived("served"); }));
  }
  EXPECT_EQ(openDescriptors(), before);
}

// The program under a continuous flood: it applies changed rules, serves its known clients, and
// shuts down gracefully with every stream complete.
TEST(Flood, KnownClientsAreServedThroughSighupAndSigterm) {
  NetworkFixture stage;
  TemporaryDirectory folder;
  Programs programs;
  StandInInstance instance(stage.io, stage.clock, stage.timers),
      drained(stage.io, stage.clock, stage.timers);
  std::vector<StandInInstance::ReceivedRequest*> openStreams;
  bool keepStreamsOpen = false;
  drained.script = streamFullAnswer;
  instance.script = [&](StandInInstance& self, StandInInstance::ReceivedRequest& taken) {
    if (!keepStreamsOpen)
      return streamFullAnswer(self, taken);
    taken.connection->beginStream({{"Content-Type", "text/event-stream"}});
    taken.connection->writeChunk(eventOf("first"));
    openStreams.push_back(&taken);
  };
  const net::Endpoint listen = freePort(), admin = freePort();
  const auto writeFile = [&](const json& change) {
    json text{
        {"listen", textOf(listen)},
        {"admin_addr", textOf(admin)},
        {"sockets", 256},
        {"keys", {{{"key", "k"}, {"tenant", "club"}}}},
        {"models", {{"ask", "member-questions"}}},
        {"boxes",
         {{{"id", "m1"}, {"address", textOf(instance.address())}, {"role", "both"}, {"cell", 0}},
          {{"id", "m2"}, {"address", textOf(drained.address())}, {"role", "both"}, {"cell", 0}}}},
        {"settings", siteSettings()},
        {"admission",
         {{"connections", {{"total", 60}, {"per_address", 20}}},
          {"rate", {{"per_second", 1000}, {"burst", 1000}}},
          {"known", {{"reserve", 20}, {"ranges", {"127.0.1.0/24"}}}}}}};
    text.merge_patch(change);
    std::ofstream(folder.path + "/next.json") << text;
    std::filesystem::rename(folder.path + "/next.json", folder.path + "/site.json");
  };
  writeFile(json::object());
  const pid_t program = programs.start({"serve", "--operator", folder.path + "/site.json"}, {});
  ASSERT_TRUE(
      stage.until([&] { return callAdmin(stage.io, admin, "readyz").rfind("ok", 0) == 0; }));

  const std::string body =
      R"({"model":"ask","stream":true,"messages":[{"role":"user","content":"When?"}]})";
  const std::string request = messageText("POST /v1/chat/completions HTTP/1.1",
                                          {{"Host", "x"}, {"Authorization", "Bearer k"}}, body);
  std::deque<std::unique_ptr<Client>> flood;
  int nextAddress = 0;
  const auto floodMore = [&] {  // each call opens a few connections of the flood
    for (int i = 0; i < 8; ++i) {
      flood.push_back(std::make_unique<Client>(
          stage.io, listen, "127.7.0." + std::to_string(1 + nextAddress++ % 20)));
      flood.back()->write(nextAddress % 2 == 0 ? request.substr(0, 30) : request);
      if (flood.size() > 100)
        flood.pop_front();
    }
    for (StandInInstance::ReceivedRequest* taken :
         openStreams)  // a stream without output for long counts as broken
      if (!taken->disconnected)
        taken->connection->writeChunk(eventOf("more"));
    stage.io.poll();
  };
  const auto knownIsServed = [&](int n) {
    Client known(stage.io, listen, "127.0.1." + std::to_string(1 + n % 200));
    known.write(request);
    const bool served =
        stage.until([&] { return known.isComplete() || known.ended(); }) && known.isComplete();
    if (!served)
      ADD_FAILURE() << known.seen;
    return served;
  };
  for (int i = 0; i < 10; ++i) {
    floodMore();
    ASSERT_TRUE(knownIsServed(i)) << i;
  }
  ASSERT_EQ(callAdmin(stage.io, admin, "exclude m2").rfind("ok", 0), 0U);
  const auto excludedAt = std::chrono::steady_clock::now();
  for (int i = 20; std::chrono::steady_clock::now() - excludedAt < std::chrono::milliseconds(1'100);
       ++i) {
    floodMore();
    ASSERT_TRUE(knownIsServed(i)) << i;
  }
  const int chatsAfterExclusion = drained.chats();
  keepStreamsOpen = true;
  std::vector<std::unique_ptr<Client>> streams;
  for (int i = 0; i < 4; ++i) {
    streams.push_back(
        std::make_unique<Client>(stage.io, listen, "127.0.1." + std::to_string(210 + i)));
    streams.back()->write(request);
    ASSERT_TRUE(stage.until([&] {
      return streams.back()->ended() || streams.back()->seen.find("first") != std::string::npos;
    }));
  }
  keepStreamsOpen = false;
  writeFile({{"admission", {{"connections", {{"total", 40}, {"per_address", 2}}}}}});
  ::kill(program, SIGHUP);
  ASSERT_TRUE(stage.until([&] {
    floodMore();
    return callAdmin(stage.io, admin, "admission")
               .find("admission_refused_total{reason=\"address\"} 0\n") == std::string::npos;
  }));
  writeFile(
      {{"admission",
        {{"connections", {{"total", 4000}}}}}});  // not satisfiable: previous rules stay in force
  ::kill(program, SIGHUP);
  for (int i = 0; i < 10; ++i) {
    floodMore();
    ASSERT_TRUE(knownIsServed(100 + i)) << i;
  }
  ::kill(program, SIGTERM);
  floodMore();
  for (StandInInstance::ReceivedRequest* taken : openStreams) {
    if (taken->disconnected)
      continue;  // a client of the flood that has disconnected
    taken->connection->writeChunk(kLastEvents);
    taken->connection->endStream();
  }
  for (auto& stream : streams) {
    ASSERT_TRUE(stage.until([&] { return stream->isComplete() || stream->ended(); }));
    EXPECT_TRUE(stream->isComplete()) << stream->seen;
    EXPECT_EQ(stream->seen.find("HTTP/1.1", 10), std::string::npos) << "one answer each";
  }
  streams.clear();
  flood.clear();
  std::optional<int> status;
  ASSERT_TRUE(stage.until([&] { return status || (status = programs.exitStatus(program)); }));
  EXPECT_EQ(status, 0);
  // The instances must have seen no request twice, none without remaining time, and no new one
  // after the exclusion.
  std::set<std::string> ids;
  for (const StandInInstance* one : {&instance, &drained})
    for (const auto& taken : one->received) {
      if (taken->target.rfind("/v1/", 0) != 0)
        continue;
      EXPECT_TRUE(ids.insert(taken->id).second) << taken->id;
      EXPECT_GT(std::stol(taken->budget), 0);
    }
  EXPECT_EQ(drained.chats(), chatsAfterExclusion);
}

// On the platform all clients connect through a front layer with few addresses, so there is no
// admission controller and no limit per address.
TEST(FloodWithoutAdmissionController, HundredConnectionsOfOneAddressAreServed) {
  NetworkFixture stage;
  struct PlainHandler final : net::RequestHandler {
    int requests = 0;
    void request(const std::shared_ptr<net::ClientConnection>& connection,
                 net::HttpRequest&&,
                 double) override {
      ++requests;
      connection->answer(200, {}, "served");
    }
    void disconnected(net::ClientConnection&) override {}
    void writable(net::ClientConnection&) override {}
    void reject(net::ClientConnection&, unsigned, std::string_view) override {}
  } handler;
  DescriptorBudget budget(DescriptorBudget::sharesOf(512));
  net::Listener listener(stage.io, anyPort(), 216, handler, stage.clock, stage.timers,
                         stage.counters,
                         {.sharedPort = false,
                          .open = true,
                          .admissionController = nullptr,
                          .descriptorBudget = &budget});
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int i = 0; i < 100; ++i) {
    peers.push_back(std::make_unique<RawPeer>(stage.io));
    peers.back()->connect(listener.address());
    peers.back()->write(kRequest);
  }
  ASSERT_TRUE(stage.until([&] { return handler.requests == 100; }));
  EXPECT_EQ(budget.held(Account::kClients), 100U);
  peers.clear();
  ASSERT_TRUE(stage.until([&] { return budget.held(Account::kClients) == 0; }));
}

}  // namespace
}  // namespace inference_router
