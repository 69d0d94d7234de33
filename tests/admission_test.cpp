// Who may connect: the decisions against simple models, and the listener under floods.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sys/resource.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "admission/admission_controller.h"
#include "app/conductor_app.h"
#include "support/program.h"

namespace dahliastall {
namespace {

using namespace admission;
using nlohmann::json;

Address at(const std::string& text) { return *Address::parse(text); }

// ---- Addresses and rules ---------------------------------------------------------------------------

TEST(Addresses, OneClientIsOneAddressAndRangesHoldWhatTheySay) {
  EXPECT_EQ(at("10.1.2.3"), at("::ffff:10.1.2.3"));
  EXPECT_EQ(at("10.1.2.3").text(), "10.1.2.3");
  EXPECT_EQ(at("2001:db8:1:2:3::9").masked(64), at("2001:db8:1:2::"));
  const Range ten = *Range::parse("10.0.0.0/8");
  EXPECT_TRUE(ten.holds(at("10.255.0.1")));
  EXPECT_FALSE(ten.holds(at("11.0.0.0")));
  EXPECT_TRUE(ten.overlaps(*Range::parse("10.2.0.0/16")));
  EXPECT_FALSE(ten.overlaps(*Range::parse("2001:db8::/32")));
  EXPECT_EQ(ten.text(), "10.0.0.0/8");
  for (const char* bad : {"10.0.0.1/8", "10.0.0.0/33", "10.0.0.0/", "10.0.0.0/-1", "10.0.0/8", "::1/129", "x",
                          "", "10.0.0.0/8 "})
    EXPECT_FALSE(Range::parse(bad)) << bad;
}

json file() {
  return {{"connections", {{"total", 100}, {"per_address", 10}}},
          {"rate", {{"per_second", 5}, {"burst", 20}}},
          {"known", {{"reserve", 20}, {"ranges", {"127.0.1.0/24"}}, {"keys", {"desk"}}}}};
}

std::string complaint(const json& rules) {
  try {
    rulesOf(rules, {"desk", "app"}, 200);
  } catch (const std::invalid_argument& fault) {
    return fault.what();
  }
  return "";
}

TEST(AdmissionRules, WhatCannotBeMetIsRefusedWithItsPath) {
  EXPECT_EQ(complaint(file()), "");
  const std::vector<std::pair<std::string, std::string>> cases{
      {R"({"connections":{"total":201}})", "admission.connections.total: "},
      {R"({"connections":{"per_address":101}})", "admission.connections.per_address: "},
      {R"({"connections":{"per_address":null}})", "admission.connections.per_address: is missing"},
      {R"({"connections":{"per_address":-3}})", "admission.connections.per_address: "},
      {R"({"connections":{"ipv6_prefix":129}})", "admission.connections.ipv6_prefix: "},
      {R"({"connections":{"networks":[{"range":"10.0.0.0/8","connections":5},{"range":"10.3.0.0/16","connections":5}]}})",
       "admission.connections.networks[1].range: overlaps admission.connections.networks[0].range"},
      {R"({"connections":{"networks":[{"range":"10.0.0.1/8","connections":5}]}})",
       "admission.connections.networks[0].range: "},
      {R"({"connections":{"networks":[{"range":"10.0.0.0/8","connections":500}]}})",
       "admission.connections.networks[0].connections: "},
      {R"({"rate":{"per_second":0}})", "admission.rate.per_second: "},
      {R"({"rate":{"burst":0.5}})", "admission.rate.burst: "},
      {R"({"known":{"reserve":100}})", "admission.known.reserve: "},
      {R"({"known":{"ranges":["127.0.1.0/24","127.0.1.7"]}})", "admission.known.ranges[1]: overlaps"},
      {R"({"known":{"keys":["nobody"]}})", "admission.known.keys[0]: "},
      {R"({"known":{"ranges":[],"keys":[]}})", "admission.known.reserve: is for nobody"},
      {R"({"table":4})", "admission.table: "},
      {R"({"tabel":400})", "admission.tabel: is no setting"}};
  for (const auto& [change, start] : cases) {
    json rules = file();
    rules.merge_patch(json::parse(change));
    const std::string said = complaint(rules);
    EXPECT_EQ(said.rfind(start, 0), 0U) << change << ": " << said;
  }
}

TEST(AdmissionRules, ExplainSaysWhichRuleAppliesAndNeverAKey) {
  const Rules rules = rulesOf(file(), {"desk", "app"}, 200);
  EXPECT_NE(explain(rules, at("127.0.1.9"), {}).find("127.0.1.0/24 is in admission.known.ranges"),
            std::string::npos);
  const std::string unknownCandidate = explain(rules, at("10.0.0.1"), "app");
  EXPECT_NE(unknownCandidate.find("at most 10 connections"), std::string::npos);
  EXPECT_NE(unknownCandidate.find("room: 80 of 100"), std::string::npos);
  EXPECT_NE(explain(rules, at("10.0.0.1"), "desk").find("known by key: desk"), std::string::npos);
}

// ---- The gate --------------------------------------------------------------------------------------

Rules rules() { return rulesOf(file(), {"desk"}, 200); }

TEST(AdmissionController, AnAddressThatLoopsIsHeldToItsRateAndItsCapAndOthersAreNot) {
  AdmissionController gate(rules());
  int in = 0, rate = 0, cap = 0;
  for (int i = 0; i < 1000; ++i) {
    const Decision d = gate.connect(at("10.0.0.1"), Level::kNormal, 1000.0 + i);
    in += d.admit;
    rate += d.reason == Reason::kRate;
    cap += d.reason == Reason::kAddress;
    EXPECT_EQ(d.retryAfterMs > 0, !d.admit);
  }
  EXPECT_EQ(in, 10);
  EXPECT_GE(cap, 10);
  EXPECT_GT(rate, 900);
  EXPECT_TRUE(gate.connect(at("10.0.0.2"), Level::kNormal, 2000).admit);
  EXPECT_EQ(gate.mostRefused().front().address, "10.0.0.1");
}

TEST(AdmissionController, AWholeClubBehindOneAddressIsNoFloodIfItsRangeIsKnown) {
  AdmissionController gate(rules());
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(gate.connect(at("127.0.1.5"), Level::kNormal, 1000).admit) << i;
  EXPECT_EQ(gate.connect(at("127.0.1.5"), Level::kNormal, 1000).reason, Reason::kFull);  // all are young
}

TEST(AdmissionController, TheReserveIsForKnownClientsAndAKeyEndsBorrowing) {
  AdmissionController gate(rules());
  std::vector<ConnectionId> in;
  for (int i = 0; i < 80; ++i) {
    const Decision d = gate.connect(at("10.0.1." + std::to_string(i)), Level::kNormal, 1000);
    ASSERT_TRUE(d.admit);
    gate.busy(d.id);
    in.push_back(d.id);
  }
  EXPECT_EQ(gate.connect(at("10.0.2.1"), Level::kNormal, 5000).reason, Reason::kReserved);
  EXPECT_TRUE(gate.connect(at("127.0.1.1"), Level::kNormal, 5000).admit);
  gate.identified(in[0], "app", 5000);  // not a known one
  EXPECT_EQ(gate.connect(at("10.0.2.1"), Level::kNormal, 5000).reason, Reason::kReserved);
  gate.identified(in[0], "desk", 5000);
  EXPECT_TRUE(gate.connect(at("10.0.2.1"), Level::kNormal, 5000).admit);
}

TEST(AdmissionController, WhoHoldsMostIdleConnectionsGivesWayAndNobodyWithARequest) {
  Rules r = rules();
  r.reserve = 0;
  r.total = 6;
  AdmissionController gate(r);
  const auto connect = [&](const char* address, double now) {
    return gate.connect(at(address), Level::kNormal, now);
  };
  const ConnectionId a1 = connect("10.0.0.1", 1000).id;
  const ConnectionId a2 = connect("10.0.0.1", 1010).id;
  const ConnectionId a3 = connect("10.0.0.1", 1020).id;
  const ConnectionId b = connect("10.0.0.2", 1000).id;
  const ConnectionId known = connect("127.0.1.1", 1000).id;
  const ConnectionId busy = connect("10.0.0.3", 700).id;
  gate.busy(busy);
  gate.busy(a1);
  EXPECT_EQ(connect("10.0.0.4", 1050).reason, Reason::kFull) << "whoever is idle there came a moment ago";
  EXPECT_EQ(connect("10.0.0.4", 2000).evict, a2);
  gate.idle(a1, 2100);
  EXPECT_EQ(connect("127.0.1.2", 3000).evict, a3) << "idle longer than a1";
  std::set<ConnectionId> gone;
  for (int i = 0; i < 3; ++i) {
    const auto d = connect("127.0.1.3", 4000 + i);
    if (d.evict) gone.insert(*d.evict);
  }
  EXPECT_TRUE(gone.count(b) != 0 && gone.count(a1) != 0);
  EXPECT_EQ(gone.count(known) + gone.count(busy), 0U);
  EXPECT_EQ(connect("10.0.0.9", 9000).reason, Reason::kFull)
      << "a known client never gives way to an unknown one";
}

// Addresses by the thousand can neither push a penalty out of the table nor make it grow.
TEST(AdmissionController, ManyAddressesCannotResetAPenalty) {
  Rules r = rules();
  r.table = 64;
  AdmissionController gate(r);
  const Address loud = at("10.9.9.9");
  for (int i = 0; i < 50; ++i) {
    const Decision d = gate.connect(loud, Level::kNormal, 1000);
    if (d.admit) gate.closed(d.id, 1000);
  }
  ASSERT_EQ(gate.connect(loud, Level::kNormal, 1000).reason, Reason::kRate);
  for (int i = 0; i < 5000; ++i) {
    const Decision d = gate.connect(at("10." + std::to_string(i / 250) + ".7." + std::to_string(i % 250)),
                                    Level::kNormal, 1000 + i * 0.01);
    if (d.admit) gate.closed(d.id, 1000);
    ASSERT_LE(gate.addresses(), 64U);
  }
  EXPECT_EQ(gate.connect(loud, Level::kNormal, 1051).reason, Reason::kRate);
  EXPECT_TRUE(gate.connect(at("127.0.1.1"), Level::kNormal, 1051).admit) << "a known client needs no place";
  // Quiet again, all of them make room.
  EXPECT_TRUE(gate.connect(at("10.200.0.1"), Level::kNormal, 60'000).admit);
}

TEST(AdmissionController, AClockThatJumpsGivesNobodyMoreThanABurst) {
  AdmissionController gate(rules());
  const auto burst = [&](double now) {
    int in = 0;
    for (int i = 0; i < 100; ++i) {
      const Decision d = gate.connect(at("10.0.0.1"), Level::kNormal, now);
      in += d.admit;
      if (d.admit) gate.closed(d.id, now);
    }
    return in;
  };
  EXPECT_EQ(burst(1e6), 20);
  EXPECT_EQ(burst(10), 0);  // back
  EXPECT_EQ(burst(1e12), 20);
  EXPECT_EQ(burst(1e12 + 1000), 5);
}

TEST(AdmissionController, ALoweredCapLetsOpenRequestsFinish) {
  AdmissionController gate(rules());
  std::vector<ConnectionId> in;
  for (int i = 0; i < 10; ++i) in.push_back(gate.connect(at("10.0.0.1"), Level::kNormal, 1000).id);
  for (int i = 0; i < 6; ++i) gate.busy(in[static_cast<std::size_t>(i)]);
  Rules lower = rules();
  lower.perAddress = 3;
  const auto evicted = gate.reconfigure(lower, 2000);
  EXPECT_EQ(evicted, std::vector<ConnectionId>(in.begin() + 6, in.end()));
  EXPECT_EQ(gate.open(), 6U);
  EXPECT_EQ(gate.connect(at("10.0.0.1"), Level::kNormal, 9000).reason, Reason::kAddress);
  for (int i = 0; i < 4; ++i) gate.closed(in[static_cast<std::size_t>(i)], 9000);
  EXPECT_TRUE(gate.connect(at("10.0.0.1"), Level::kNormal, 9000).admit);
}

// Whatever comes: caps and reserve hold, nobody with a request gives way, and the counts are those of a plain
// list.
TEST(AdmissionController, KeepsItsBoundsWhateverHappens) {
  rc::check([](const std::vector<std::tuple<unsigned char, unsigned char, unsigned char>>& steps) {
    json text = file();
    text["connections"] = {
        {"total", 12}, {"per_address", 4}, {"networks", {{{"range", "10.0.0.0/16"}, {"connections", 7}}}}};
    text["known"]["reserve"] = 4;
    text["table"] = 16;
    Rules r = rulesOf(text, {"desk"}, 200);
    AdmissionController gate(r);
    struct Seen {
      std::string address;
      bool known, busy;
    };
    std::map<ConnectionId, Seen> model;
    double now = 1000;
    for (const auto& [what, who, pause] : steps) {
      now += pause;
      const std::string address = who % 4 == 0   ? "127.0.1." + std::to_string(who % 3)
                                  : who % 4 == 1 ? "10.0.0." + std::to_string(who % 5)
                                                 : "10.1.0." + std::to_string(who % 40);
      const auto chosen = model.empty() ? model.end() : std::next(model.begin(), who % model.size());
      if (what % 6 < 3) {
        const Decision d = gate.connect(at(address), what % 30 == 0 ? Level::kTight : Level::kNormal, now);
        if (d.evict) {
          const auto it = model.find(*d.evict);
          RC_ASSERT(it != model.end());
          RC_ASSERT(!it->second.busy);
          RC_ASSERT(!it->second.known || address.rfind("127", 0) == 0);
          model.erase(it);
        }
        if (d.admit) model[d.id] = {address, address.rfind("127", 0) == 0, false};
        RC_ASSERT(d.admit == (d.reason == Reason::kNone));
      } else if (chosen != model.end()) {
        const ConnectionId id = chosen->first;
        if (what % 6 == 3) {
          gate.busy(id);
          chosen->second.busy = true;
        } else if (what % 6 == 4) {
          gate.idle(id, now);
          chosen->second.busy = false;
          if (what % 12 == 4) {
            gate.identified(id, "desk", now);
            chosen->second.known = true;
          }
        } else {
          gate.closed(id, now);
          gate.closed(id, now);
          model.erase(chosen);
        }
      }
      std::map<std::string, std::size_t> strangersFrom;
      std::size_t unknown = 0, network = 0;
      for (const auto& [id, seen] : model) {
        RC_ASSERT(gate.known(id) == seen.known);
        unknown += !seen.known;
        if (seen.address.rfind("127", 0) != 0) ++strangersFrom[seen.address];
        network += seen.address.rfind("10.0.", 0) == 0;
      }
      RC_ASSERT(gate.open() == model.size());
      RC_ASSERT(gate.unknown() == unknown);
      RC_ASSERT(model.size() <= 12U);
      RC_ASSERT(unknown <= 8U);
      RC_ASSERT(network <= 7U);
      RC_ASSERT(gate.addresses() <= 16U);
      for (const auto& [from, count] : strangersFrom) RC_ASSERT(count <= 4U);
    }
  });
}

// ---- The ledger ------------------------------------------------------------------------------------

TEST(DescriptorBudget, SumsToWhatIsOpenAndKeepsEveryShare) {
  rc::check([](const std::vector<std::pair<unsigned char, bool>>& steps) {
    DescriptorBudget ledger(DescriptorBudget::sharesOf(160));
    std::array<std::size_t, DescriptorBudget::kAccounts> model{};
    for (int again = 0; again < 4; ++again)
      for (const auto& [which, take] : steps) {
        const std::size_t i = which % DescriptorBudget::kAccounts;
        const auto account = static_cast<Account>(i);
        if (take) model[i] += ledger.take(account);
        else if (model[i] > 0) {
          ledger.give(account);
          --model[i];
        }
        std::size_t sum = 0;
        for (std::size_t j = 0; j < model.size(); ++j) {
          RC_ASSERT(ledger.held(static_cast<Account>(j)) == model[j]);
          RC_ASSERT(model[j] <= ledger.shares().most[j]);
          sum += model[j];
        }
        RC_ASSERT(ledger.total() == sum);
        RC_ASSERT(sum <= 160U);
        // A client is never let in at the cost of a link that accepted requests need.
        RC_ASSERT(model[1] == ledger.shares().most[1] || ledger.may(Account::kBoxes));
      }
  });
}

TEST(DescriptorBudget, LevelsChangeWithHysteresis) {
  DescriptorBudget ledger(DescriptorBudget::sharesOf(296));  // 100 for clients
  const auto to = [&](std::size_t held) {
    while (ledger.held(Account::kClients) < held) ledger.take(Account::kClients);
    while (ledger.held(Account::kClients) > held) ledger.give(Account::kClients);
    return ledger.level(0);
  };
  EXPECT_EQ(to(89), Level::kNormal);
  EXPECT_EQ(to(90), Level::kTight);
  EXPECT_EQ(to(85), Level::kTight);
  EXPECT_EQ(to(79), Level::kNormal);
  EXPECT_EQ(to(98), Level::kExhausted);
  EXPECT_EQ(to(92), Level::kExhausted);
  EXPECT_EQ(to(89), Level::kTight);
  EXPECT_EQ(to(10), Level::kNormal);
  ledger.ranOut(1000);
  EXPECT_EQ(ledger.level(1500), Level::kExhausted);
  EXPECT_EQ(ledger.level(2001), Level::kNormal);
}

// ---- The listener under floods ---------------------------------------------------------------------

struct House : Stage, net::RequestHandler {
  explicit House(const json& change = {}) : ledger(DescriptorBudget::sharesOf(512)), gate(make(change)) {}
  static Rules make(const json& change) {
    json text = file();
    if (!change.is_null()) text.merge_patch(change);
    return rulesOf(text, {"desk"}, 200);
  }
  DescriptorBudget ledger;
  AdmissionController gate;
  std::vector<std::shared_ptr<net::ClientConnection>> asked;
  bool answers = true;
  int left = 0;
  void request(const std::shared_ptr<net::ClientConnection>& connection, net::HttpRequest&& request,
               double) override {
    if (request["X-Key"] == "desk") connection->identify("desk");
    asked.push_back(connection);
    if (answers) connection->answer(200, {}, "served");
  }
  void gone(net::ClientConnection&) override { ++left; }
  void drained(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override {
    connection.answer(status, {}, why);
  }
  net::Listener listener{
      io,    anyPort(), 216,      *this,
      clock, deadlines, counters, {.sharedPort = false, .open = true, .gate = &gate, .ledger = &ledger}};
};

// A client at an address of its own within 127.0.0.0/8.
struct Terminal {
  Terminal(House& house, const std::string& from) : Terminal(house.io, house.listener.address(), from) {}
  Terminal(boost::asio::io_context& io, const net::Endpoint& to, const std::string& from) : socket(io) {
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
      if (error == boost::asio::error::would_block) return false;
      if (error) return true;
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
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
  return count;
}

TEST(Flood, TenThousandConnectionsOfOneAddressAndKnownClientsGoOnBeingServed) {
  House house;
  std::size_t served = 0, turnedAway = 0;
  std::deque<std::unique_ptr<Terminal>> flood;
  for (int i = 0; i < 10'000; ++i) {
    flood.push_back(std::make_unique<Terminal>(house, "127.0.0.9"));
    if (i % 3 == 0) flood.back()->write(kAsk.substr(0, 20));  // half a request; the others say nothing
    if (flood.size() >= 100) flood.pop_front();
    if (i % 100 != 99) continue;
    house.pass(10);
    Terminal known(house, "127.0.1." + std::to_string(1 + i / 100));
    known.write(kAsk);
    ASSERT_TRUE(house.until([&] { return known.has("served"); })) << i;
    ++served;
    ASSERT_LE(house.gate.openFrom(at("127.0.0.9")), 10U);
    ASSERT_LE(house.listener.turningAway(), 16U);
    ASSERT_LE(house.ledger.held(Account::kClients), house.ledger.shares().most[0]);
  }
  EXPECT_EQ(served, 100U);
  for (std::size_t i = 1; i < kReasons; ++i) turnedAway += house.gate.refused(static_cast<Reason>(i));
  EXPECT_GT(turnedAway, 9'500U);
  EXPECT_EQ(house.gate.mostRefused().front().address, "127.0.0.9");
  flood.clear();
  house.pass(3'000);
  ASSERT_TRUE(house.until([&] { return house.gate.open() == 0; }));
  EXPECT_EQ(house.ledger.held(Account::kClients), 0U);
}

// Refusals that are being read are no clients: they must not make the house look full to those it is kept
// for.
TEST(Flood, AFloodOfRefusalsTakesNothingFromKnownClients) {
  House house(json{{"connections", {{"total", 200}, {"per_address", 1}}}});
  std::vector<std::unique_ptr<Terminal>> flood;
  for (int i = 0; i < 300; ++i)
    flood.push_back(std::make_unique<Terminal>(house, "127.8.0." + std::to_string(1 + i % 179)));
  house.io.poll();
  ASSERT_GT(house.listener.turningAway(), 10U);
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
    if (i % 50 == 49) house.io.poll();
  }
  ASSERT_TRUE(
      house.until([&] { return house.gate.admitted() + house.gate.refused(Reason::kReserved) >= 400; }));
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
  for (std::size_t i = 0; i < 60; ++i) house.asked[i]->answer(200, {}, "first");
  for (auto& one : asking) ASSERT_TRUE(house.until([&] { return one->has("first") && one->has("served"); }));
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
  EXPECT_GT(house.gate.gaveWay(), 20U);
  desk.seen.clear();
  desk.write(kAsk);
  EXPECT_TRUE(house.until([&] { return desk.has("served"); }));
}

// The limit of the process is lowered under way: streams go on, new clients are told, nothing leaks, and it
// recovers.
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
    now.rlim_cur = openDescriptors() - 1;  // what stands counts the listing's own; not one more may be opened
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &now), 0);
    const bool told = house.until([&] {
      house.pass(25);
      return house.asked.size() +
                 std::count_if(late.begin(), late.end(), [](auto& one) { return one->ended(); }) ==
             streams.size() + late.size();
    });
    for (const auto& connection : house.asked) connection->pass("more");
    const bool alive = house.until([&] {
      return std::all_of(streams.begin(), streams.end(), [](auto& one) { return one->has("more"); });
    });
    ::setrlimit(RLIMIT_NOFILE, &was);
    EXPECT_TRUE(told);
    EXPECT_TRUE(alive);
    EXPECT_GT(house.counters["clients.accept_failed"], 0U);
    EXPECT_EQ(house.ledger.level(house.clock.nowMs()), Level::kExhausted);
    std::size_t refused = 0;  // one or two may have got the last descriptors there were
    for (const auto& one : late) refused += one->seen.rfind("HTTP/1.1 503 ", 0) == 0;
    EXPECT_GE(refused, late.size() - 2);
    EXPECT_EQ(house.left, 0);
    for (const auto& connection : house.asked) connection->endStream();
    for (auto& one : streams) ASSERT_TRUE(house.until([&] { return one->has("\r\n0\r\n\r\n"); }));
    house.pass(1'500);
    house.answers = true;
    Terminal after(house, "127.2.2.1");
    after.write(kAsk);
    EXPECT_TRUE(house.until([&] { return after.has("served"); }));
  }
  EXPECT_EQ(openDescriptors(), before);
}

// The program in a flood that never stops: it takes other rules over, serves its known clients, and ends in
// order with every stream whole.
TEST(Flood, SighupAndSigtermMeanwhileCostNoKnownClientItsAnswer) {
  Stage stage;
  Folder folder;
  Programs programs;
  StandInBox box(stage.io, stage.clock, stage.deadlines), drained(stage.io, stage.clock, stage.deadlines);
  std::vector<StandInBox::Taken*> held;
  bool hold = false;
  drained.script = streamWhole;
  box.script = [&](StandInBox& at, StandInBox::Taken& taken) {
    if (!hold) return streamWhole(at, taken);
    taken.connection->beginStream({{"Content-Type", "text/event-stream"}});
    taken.connection->pass(eventOf("first"));
    held.push_back(&taken);
  };
  const net::Endpoint listen = freePort(), door = freePort();
  const auto writeFile = [&](const json& change) {
    json text{{"listen", textOf(listen)},
              {"admin_addr", textOf(door)},
              {"sockets", 256},
              {"keys", {{{"key", "k"}, {"tenant", "club"}}}},
              {"models", {{"ask", "member-questions"}}},
              {"boxes",
               {{{"id", "m1"}, {"address", textOf(box.address())}, {"role", "both"}, {"cell", 0}},
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

  const std::string body = R"({"model":"ask","stream":true,"messages":[{"role":"user","content":"When?"}]})";
  const std::string ask =
      messageText("POST /v1/chat/completions HTTP/1.1", {{"Host", "x"}, {"Authorization", "Bearer k"}}, body);
  std::deque<std::unique_ptr<Terminal>> flood;
  int from = 0;
  const auto storm = [&] {  // each call is some of it
    for (int i = 0; i < 8; ++i) {
      flood.push_back(
          std::make_unique<Terminal>(stage.io, listen, "127.7.0." + std::to_string(1 + from++ % 20)));
      flood.back()->write(from % 2 == 0 ? ask.substr(0, 30) : ask);
      if (flood.size() > 100) flood.pop_front();
    }
    for (StandInBox::Taken* taken : held)  // a stream that brings nothing for long counts as broken
      if (!taken->gone) taken->connection->pass(eventOf("more"));
    stage.io.poll();
  };
  const auto knownIsServed = [&](int n) {
    Terminal known(stage.io, listen, "127.0.1." + std::to_string(1 + n % 200));
    known.write(ask);
    const bool served = stage.until([&] { return known.whole() || known.ended(); }) && known.whole();
    if (!served) ADD_FAILURE() << known.seen;
    return served;
  };
  for (int i = 0; i < 10; ++i) {
    storm();
    ASSERT_TRUE(knownIsServed(i)) << i;
  }
  ASSERT_EQ(callAdmin(stage.io, door, "exclude m2").rfind("ok", 0), 0U);
  const auto told = std::chrono::steady_clock::now();
  for (int i = 20; std::chrono::steady_clock::now() - told < std::chrono::milliseconds(1'100); ++i) {
    storm();
    ASSERT_TRUE(knownIsServed(i)) << i;
  }
  const int beforeTheEnd = drained.chats();
  hold = true;
  std::vector<std::unique_ptr<Terminal>> streams;
  for (int i = 0; i < 4; ++i) {
    streams.push_back(std::make_unique<Terminal>(stage.io, listen, "127.0.1." + std::to_string(210 + i)));
    streams.back()->write(ask);
    ASSERT_TRUE(stage.until(
        [&] { return streams.back()->ended() || streams.back()->seen.find("first") != std::string::npos; }));
  }
  hold = false;
  writeFile({{"admission", {{"connections", {{"total", 40}, {"per_address", 2}}}}}});
  ::kill(program, SIGHUP);
  ASSERT_TRUE(stage.until([&] {
    storm();
    return callAdmin(stage.io, door, "admission").find("admission_refused_total{reason=\"address\"} 0\n") ==
           std::string::npos;
  }));
  writeFile({{"admission", {{"connections", {{"total", 4000}}}}}});  // cannot be met: the old ones stay
  ::kill(program, SIGHUP);
  for (int i = 0; i < 10; ++i) {
    storm();
    ASSERT_TRUE(knownIsServed(100 + i)) << i;
  }
  ::kill(program, SIGTERM);
  storm();
  for (StandInBox::Taken* taken : held) {
    if (taken->gone) continue;  // one of the flood, which has left
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
  ASSERT_TRUE(stage.until([&] { return status || (status = programs.ended(program)); }));
  EXPECT_EQ(status, 0);
  // What the boxes saw of it all: nothing twice, nothing without time left, nothing new where a drain was
  // asked for.
  std::set<std::string> ids;
  for (const StandInBox* one : {&box, &drained})
    for (const auto& taken : one->taken) {
      if (taken->target.rfind("/v1/", 0) != 0) continue;
      EXPECT_TRUE(ids.insert(taken->id).second) << taken->id;
      EXPECT_GT(std::stol(taken->budget), 0);
    }
  EXPECT_EQ(drained.chats(), beforeTheEnd);
}

// On the platform a front brings all clients from few addresses: there is no gate, and nobody is counted by
// address.
TEST(WithoutAGate, AHundredConnectionsOfOneAddressAreServedAsBefore) {
  Stage stage;
  struct Plain final : net::RequestHandler {
    int asked = 0;
    void request(const std::shared_ptr<net::ClientConnection>& connection, net::HttpRequest&&,
                 double) override {
      ++asked;
      connection->answer(200, {}, "served");
    }
    void gone(net::ClientConnection&) override {}
    void drained(net::ClientConnection&) override {}
    void reject(net::ClientConnection&, unsigned, std::string_view) override {}
  } plain;
  DescriptorBudget ledger(DescriptorBudget::sharesOf(512));
  net::Listener listener(stage.io, anyPort(), 216, plain, stage.clock, stage.deadlines, stage.counters,
                         {.sharedPort = false, .open = true, .gate = nullptr, .ledger = &ledger});
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
}  // namespace dahliastall
