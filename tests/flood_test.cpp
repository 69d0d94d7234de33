// The listener under floods of connections, and the program when it runs out of descriptors.
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
// ---------------------------------------------------------------------

struct House : Stage, net::RequestHandler {
  explicit House(const json& change = {})
      : ledger(DescriptorBudget::sharesOf(512)), gate(make(change)) {}
  static Rules make(const json& change) {
    json text = file();
    if (!change.is_null())
      text.merge_patch(change);
    return rulesOf(text, {"desk"}, 200);
  }
  DescriptorBudget ledger;
  AdmissionController gate;
  std::vector<std::shared_ptr<net::ClientConnection>> asked;
  bool answers = true;
  int left = 0;
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double) override {
    if (request["X-Key"] == "desk")
      connection->identify("desk");
    asked.push_back(connection);
    if (answers)
      connection->answer(200, {}, "served");
  }
  void disconnected(net::ClientConnection&) override { ++left; }
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override {
    connection.answer(status, {}, why);
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
                          .admissionController = &gate,
                          .descriptorBudget = &ledger}};
};

// A client at an address of its own within 127.0.0.0/8.
struct Terminal {
  Terminal(House& house, const std::string& from)
      : Terminal(house.io, house.listener.address(), from) {}
  Terminal(boost::asio::io_context& io, const net::Endpoint& to, const std::string& from)
      : socket(io) {
    boost::system::error_code ignored;  // a program that closes its door refuses
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
    std::array<char, 4096> part{};
    for (;;) {
      const std::size_t count = socket.read_some(boost::asio::buffer(part), error);
      if (error == boost::asio::error::would_block)
        return false;
      if (error)
        return true;
      seen.append(part.data(), count);
    }
  }
  bool has(const std::string& text) { return ended(), seen.find(text) != std::string::npos; }
  bool whole() { return has("[DONE]") && has("\r\n0\r\n\r\n"); }
  tcp::socket socket;
  std::string seen;
};

const std::string kAsk = "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";

std::size_t openDescriptors() {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd"))
    ++count;
  return count;
}

TEST(Flood, TenThousandConnectionsOfOneAddressAndKnownClientsGoOnBeingServed) {
  House house;
  std::size_t served = 0, turnedAway = 0;
  std::deque<std::unique_ptr<Terminal>> flood;
  for (int i = 0; i < 10'000; ++i) {
    flood.push_back(std::make_unique<Terminal>(house, "127.0.0.9"));
    if (i % 3 == 0)
      flood.back()->write(kAsk.substr(0, 20));  // half a request; the others say nothing
    if (flood.size() >= 100)
      flood.pop_front();
    if (i % 100 != 99)
      continue;
    house.pass(10);
    Terminal known(house, "127.0.1." + std::to_string(1 + i / 100));
    known.write(kAsk);
    ASSERT_TRUE(house.until([&] { return known.has("served"); })) << i;
    ++served;
    ASSERT_LE(house.gate.openFrom(at("127.0.0.9")), 10U);
    ASSERT_LE(house.listener.pendingRefusals(), 16U);
    ASSERT_LE(house.ledger.held(Account::kClients), house.ledger.shares().max[0]);
  }
  EXPECT_EQ(served, 100U);
  for (std::size_t i = 1; i < kReasons; ++i)
    turnedAway += house.gate.refused(static_cast<Reason>(i));
  EXPECT_GT(turnedAway, 9'500U);
  EXPECT_EQ(house.gate.mostRefused().front().address, "127.0.0.9");
  flood.clear();
  house.pass(3'000);
  ASSERT_TRUE(house.until([&] { return house.gate.open() == 0; }));
  EXPECT_EQ(house.ledger.held(Account::kClients), 0U);
}

// Refusals that are being read are no clients: they must not make the house look full to those it
// is kept for.
TEST(Flood, AFloodOfRefusalsTakesNothingFromKnownClients) {
  House house(json{{"connections", {{"total", 200}, {"per_address", 1}}}});
  std::vector<std::unique_ptr<Terminal>> flood;
  for (int i = 0; i < 300; ++i)
    flood.push_back(std::make_unique<Terminal>(house, "127.8.0." + std::to_string(1 + i % 179)));
  house.io.poll();
  ASSERT_GT(house.listener.pendingRefusals(), 10U);
  EXPECT_EQ(house.ledger.held(Account::kClients), 179U);
  for (int i = 1; i <= 20; ++i) {
    Terminal known(house, "127.0.1." + std::to_string(i));
    known.write(kAsk);
    ASSERT_TRUE(house.until([&] { return known.has("served"); })) << i;
  }
}

TEST(Flood, FromHundredsOfAddressesTheReserveIsKept) {
  House house;
  std::vector<std::unique_ptr<Terminal>> flood;
  for (int i = 0; i < 400; ++i) {
    flood.push_back(std::make_unique<Terminal>(
        house, "127.7." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200)));
    if (i % 50 == 49)
      house.io.poll();
  }
  ASSERT_TRUE(house.until(
      [&] { return house.gate.admitted() + house.gate.refused(Reason::kReserved) >= 400; }));
  EXPECT_EQ(house.gate.unknown(), 80U);
  for (int i = 1; i <= 20; ++i) {
    Terminal known(house, "127.0.1." + std::to_string(i));
    known.write(kAsk);
    ASSERT_TRUE(house.until([&] { return known.has("served"); })) << i;
  }
}

TEST(Flood, WhoIsTurnedAwayReadsWhyAndWhenToComeAgain) {
  House house(json{{"connections", {{"per_address", 1}}}});
  Terminal first(house, "127.0.0.9");
  first.write(kAsk);
  ASSERT_TRUE(house.until([&] { return first.has("served"); }));
  Terminal second(house, "127.0.0.9");
  second.write(kAsk);
  ASSERT_TRUE(house.until([&] { return second.ended(); }));
  EXPECT_EQ(second.seen.rfind("HTTP/1.1 429 ", 0), 0U);
  EXPECT_NE(second.seen.find("Retry-After: 2"), std::string::npos);
  EXPECT_EQ(house.asked.size(), 1U);
}

TEST(Flood, EveryRequestThatWasTakenGetsItsAnswerWhoeverComes) {
  House house;
  house.answers = false;
  std::vector<std::unique_ptr<Terminal>> asking;
  for (int i = 0; i < 60; ++i) {
    asking.push_back(std::make_unique<Terminal>(house, "127.3.0." + std::to_string(1 + i)));
    asking.back()->write(kAsk + kAsk);  // the second waits its turn
  }
  ASSERT_TRUE(house.until([&] { return house.asked.size() == 60; }));
  std::vector<std::unique_ptr<Terminal>> flood;
  for (int i = 0; i < 300; ++i)
    flood.push_back(std::make_unique<Terminal>(house, "127.4.0." + std::to_string(1 + i % 200)));
  house.pass(500);
  house.io.poll();
  EXPECT_EQ(house.left, 0);
  house.answers = true;
  for (std::size_t i = 0; i < 60; ++i)
    house.asked[i]->answer(200, {}, "first");
  for (auto& one : asking)
    ASSERT_TRUE(house.until([&] { return one->has("first") && one->has("served"); }));
}

TEST(Flood, AKeyMakesAConnectionKnownFromThenOn) {
  House house(json{{"connections", {{"total", 30}}}});
  Terminal desk(house, "127.5.0.1");
  desk.write("POST /v1 HTTP/1.1\r\nHost: x\r\nX-Key: desk\r\nContent-Length: 2\r\n\r\nhi");
  ASSERT_TRUE(house.until([&] { return desk.has("served"); }));
  std::vector<std::unique_ptr<Terminal>> flood;
  for (int i = 0; i < 100; ++i) {
    flood.push_back(std::make_unique<Terminal>(house, "127.6.0." + std::to_string(1 + i)));
    house.pass(20);
    house.io.poll();
  }
  EXPECT_FALSE(desk.ended());
  EXPECT_GT(house.gate.evicted(), 20U);
  desk.seen.clear();
  desk.write(kAsk);
  EXPECT_TRUE(house.until([&] { return desk.has("served"); }));
}

// The limit of the process is lowered under way: streams go on, new clients are told, nothing
// leaks, and it recovers.
TEST(Descriptors, ExhaustionInMidStreamIsSurvivedWithoutARestart) {
  const std::size_t before = openDescriptors();
  {
    House house;
    house.answers = false;
    std::vector<std::unique_ptr<Terminal>> streams, late;
    for (int i = 0; i < 5; ++i) {
      streams.push_back(std::make_unique<Terminal>(house, "127.2.0." + std::to_string(1 + i)));
      streams.back()->write(kAsk);
    }
    ASSERT_TRUE(house.until([&] { return house.asked.size() == 5; }));
    for (const auto& connection : house.asked) {
      connection->beginStream({});
      connection->pass("event");
    }
    for (int i = 0; i < 8; ++i) {  // connected in the kernel; the process has yet to accept them
      late.push_back(std::make_unique<Terminal>(house, "127.2.1." + std::to_string(1 + i)));
      late.back()->write(kAsk);
    }
    rlimit was{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &was), 0);
    rlimit now = was;
    now.rlim_cur =
        openDescriptors() - 1;  // what stands counts the listing's own; not one more may be opened
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &now), 0);
    const bool told = house.until([&] {
      house.pass(25);
      return house.asked.size() +
                 std::count_if(late.begin(), late.end(), [](auto& one) { return one->ended(); }) ==
             streams.size() + late.size();
    });
    for (const auto& connection : house.asked)
      connection->pass("more");
    const bool alive = house.until([&] {
      return std::all_of(streams.begin(), streams.end(),
                         [](auto& one) { return one->has("more"); });
    });
    ::setrlimit(RLIMIT_NOFILE, &was);
    EXPECT_TRUE(told);
    EXPECT_TRUE(alive);
    EXPECT_GT(house.counters["clients.accept_failed"], 0U);
    EXPECT_EQ(house.ledger.level(house.clock.nowMs()), Level::kExhausted);
    std::size_t refused = 0;  // one or two may have got the last descriptors there were
    for (const auto& one : late)
      refused += one->seen.rfind("HTTP/1.1 503 ", 0) == 0;
    EXPECT_GE(refused, late.size() - 2);
    EXPECT_EQ(house.left, 0);
    for (const auto& connection : house.asked)
      connection->endStream();
    for (auto& one : streams)
      ASSERT_TRUE(house.until([&] { return one->has("\r\n0\r\n\r\n"); }));
    house.pass(1'500);
    house.answers = true;
    Terminal after(house, "127.2.2.1");
    after.write(kAsk);
    EXPECT_TRUE(house.until([&] { return after.has("served"); }));
  }
  EXPECT_EQ(openDescriptors(), before);
}

// The program in a flood that never stops: it takes other rules over, serves its known clients, and
// ends in order with every stream whole.
TEST(Flood, SighupAndSigtermMeanwhileCostNoKnownClientItsAnswer) {
  Stage stage;
  Folder folder;
  Programs programs;
  StandInInstance instance(stage.io, stage.clock, stage.timers),
      drained(stage.io, stage.clock, stage.timers);
  std::vector<StandInInstance::Taken*> held;
  bool hold = false;
  drained.script = streamWhole;
  instance.script = [&](StandInInstance& at, StandInInstance::Taken& taken) {
    if (!hold)
      return streamWhole(at, taken);
    taken.connection->beginStream({{"Content-Type", "text/event-stream"}});
    taken.connection->pass(eventOf("first"));
    held.push_back(&taken);
  };
  const net::Endpoint listen = freePort(), door = freePort();
  const auto writeFile = [&](const json& change) {
    json text{
        {"listen", textOf(listen)},
        {"admin_addr", textOf(door)},
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
  ASSERT_TRUE(stage.until([&] { return callAdmin(stage.io, door, "readyz").rfind("ok", 0) == 0; }));

  const std::string body =
      R"({"model":"ask","stream":true,"messages":[{"role":"user","content":"When?"}]})";
  const std::string ask = messageText("POST /v1/chat/completions HTTP/1.1",
                                      {{"Host", "x"}, {"Authorization", "Bearer k"}}, body);
  std::deque<std::unique_ptr<Terminal>> flood;
  int from = 0;
  const auto storm = [&] {  // each call is some of it
    for (int i = 0; i < 8; ++i) {
      flood.push_back(std::make_unique<Terminal>(stage.io, listen,
                                                 "127.7.0." + std::to_string(1 + from++ % 20)));
      flood.back()->write(from % 2 == 0 ? ask.substr(0, 30) : ask);
      if (flood.size() > 100)
        flood.pop_front();
    }
    for (StandInInstance::Taken* taken :
         held)  // a stream that brings nothing for long counts as broken
      if (!taken->gone)
        taken->connection->pass(eventOf("more"));
    stage.io.poll();
  };
  const auto knownIsServed = [&](int n) {
    Terminal known(stage.io, listen, "127.0.1." + std::to_string(1 + n % 200));
    known.write(ask);
    const bool served =
        stage.until([&] { return known.whole() || known.ended(); }) && known.whole();
    if (!served)
      ADD_FAILURE() << known.seen;
    return served;
  };
  for (int i = 0; i < 10; ++i) {
    storm();
    ASSERT_TRUE(knownIsServed(i)) << i;
  }
  ASSERT_EQ(callAdmin(stage.io, door, "exclude m2").rfind("ok", 0), 0U);
  const auto told = std::chrono::steady_clock::now();
  for (int i = 20; std::chrono::steady_clock::now() - told < std::chrono::milliseconds(1'100);
       ++i) {
    storm();
    ASSERT_TRUE(knownIsServed(i)) << i;
  }
  const int beforeTheEnd = drained.chats();
  hold = true;
  std::vector<std::unique_ptr<Terminal>> streams;
  for (int i = 0; i < 4; ++i) {
    streams.push_back(
        std::make_unique<Terminal>(stage.io, listen, "127.0.1." + std::to_string(210 + i)));
    streams.back()->write(ask);
    ASSERT_TRUE(stage.until([&] {
      return streams.back()->ended() || streams.back()->seen.find("first") != std::string::npos;
    }));
  }
  hold = false;
  writeFile({{"admission", {{"connections", {{"total", 40}, {"per_address", 2}}}}}});
  ::kill(program, SIGHUP);
  ASSERT_TRUE(stage.until([&] {
    storm();
    return callAdmin(stage.io, door, "admission")
               .find("admission_refused_total{reason=\"address\"} 0\n") == std::string::npos;
  }));
  writeFile(
      {{"admission", {{"connections", {{"total", 4000}}}}}});  // cannot be met: the old ones stay
  ::kill(program, SIGHUP);
  for (int i = 0; i < 10; ++i) {
    storm();
    ASSERT_TRUE(knownIsServed(100 + i)) << i;
  }
  ::kill(program, SIGTERM);
  storm();
  for (StandInInstance::Taken* taken : held) {
    if (taken->gone)
      continue;  // one of the flood, which has left
    taken->connection->pass(kLastEvents);
    taken->connection->endStream();
  }
  for (auto& stream : streams) {
    ASSERT_TRUE(stage.until([&] { return stream->whole() || stream->ended(); }));
    EXPECT_TRUE(stream->whole()) << stream->seen;
    EXPECT_EQ(stream->seen.find("HTTP/1.1", 10), std::string::npos) << "one answer each";
  }
  streams.clear();
  flood.clear();
  std::optional<int> status;
  ASSERT_TRUE(stage.until([&] { return status || (status = programs.exitStatus(program)); }));
  EXPECT_EQ(status, 0);
  // What the instances saw of it all: nothing twice, nothing without time left, nothing new where a
  // drain was asked for.
  std::set<std::string> ids;
  for (const StandInInstance* one : {&instance, &drained})
    for (const auto& taken : one->taken) {
      if (taken->target.rfind("/v1/", 0) != 0)
        continue;
      EXPECT_TRUE(ids.insert(taken->id).second) << taken->id;
      EXPECT_GT(std::stol(taken->budget), 0);
    }
  EXPECT_EQ(drained.chats(), beforeTheEnd);
}

// On the platform a front brings all clients from few addresses: there is no gate, and nobody is
// counted by address.
TEST(WithoutAGate, AHundredConnectionsOfOneAddressAreServedAsBefore) {
  Stage stage;
  struct Plain final : net::RequestHandler {
    int asked = 0;
    void request(const std::shared_ptr<net::ClientConnection>& connection,
                 net::HttpRequest&&,
                 double) override {
      ++asked;
      connection->answer(200, {}, "served");
    }
    void disconnected(net::ClientConnection&) override {}
    void writable(net::ClientConnection&) override {}
    void reject(net::ClientConnection&, unsigned, std::string_view) override {}
  } plain;
  DescriptorBudget ledger(DescriptorBudget::sharesOf(512));
  net::Listener listener(stage.io, anyPort(), 216, plain, stage.clock, stage.timers, stage.counters,
                         {.sharedPort = false,
                          .open = true,
                          .admissionController = nullptr,
                          .descriptorBudget = &ledger});
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int i = 0; i < 100; ++i) {
    peers.push_back(std::make_unique<RawPeer>(stage.io));
    peers.back()->connect(listener.address());
    peers.back()->write(kAsk);
  }
  ASSERT_TRUE(stage.until([&] { return plain.asked == 100; }));
  EXPECT_EQ(ledger.held(Account::kClients), 100U);
  peers.clear();
  ASSERT_TRUE(stage.until([&] { return ledger.held(Account::kClients) == 0; }));
}

}  // namespace
}  // namespace inference_router
