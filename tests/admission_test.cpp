// Admission of client connections: parsing of the rules, the controller and the descriptor budget,
// both also compared with simple models.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <random>

#include "admission/admission_controller.h"
#include "support/admission_rules.h"

namespace inference_router {
namespace {

using namespace admission;
using nlohmann::json;

// ---- Addresses and rules
// ---------------------------------------------------------------------------

TEST(Addresses, MappedAddressesAreEqualAndRangesContainTheirAddresses) {
  EXPECT_EQ(at("10.1.2.3"), at("::ffff:10.1.2.3"));
  EXPECT_EQ(at("10.1.2.3").text(), "10.1.2.3");
  EXPECT_EQ(at("2001:db8:1:2:3::9").masked(64), at("2001:db8:1:2::"));
  const Range ten = *Range::parse("10.0.0.0/8");
  EXPECT_TRUE(ten.contains(at("10.255.0.1")));
  EXPECT_FALSE(ten.contains(at("11.0.0.0")));
  EXPECT_TRUE(ten.overlaps(*Range::parse("10.2.0.0/16")));
  EXPECT_FALSE(ten.overlaps(*Range::parse("2001:db8::/32")));
  EXPECT_EQ(ten.text(), "10.0.0.0/8");
  for (const char* bad : {"10.0.0.1/8", "10.0.0.0/33", "10.0.0.0/", "10.0.0.0/-1", "10.0.0/8",
                          "::1/129", "x", "", "10.0.0.0/8 "})
    EXPECT_FALSE(Range::parse(bad)) << bad;
}

std::string complaint(const json& rules) {
  try {
    rulesOf(rules, {"desk", "app"}, 200);
  } catch (const std::invalid_argument& fault) {
    return fault.what();
  }
  return "";
}

TEST(AdmissionRules, RejectsInvalidFieldsWithTheirPath) {
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
      {R"({"known":{"ranges":["127.0.1.0/24","127.0.1.7"]}})",
       "admission.known.ranges[1]: overlaps"},
      {R"({"known":{"keys":["nobody"]}})", "admission.known.keys[0]: "},
      {R"({"known":{"ranges":[],"keys":[]}})", "admission.known.reserve: applies to no client"},
      {R"({"table":4})", "admission.table: "},
      {R"({"tabel":400})", "admission.tabel: is not a known setting"}};
  for (const auto& [change, start] : cases) {
    json rules = file();
    rules.merge_patch(json::parse(change));
    const std::string said = complaint(rules);
    EXPECT_EQ(said.rfind(start, 0), 0U) << change << ": " << said;
  }
}

TEST(AdmissionRules, ExplainNamesTheRulesThatApply) {
  const Rules rules = rulesOf(file(), {"desk", "app"}, 200);
  EXPECT_NE(explain(rules, at("127.0.1.9"), {}).find("127.0.1.0/24 is in admission.known.ranges"),
            std::string::npos);
  const std::string unknownCandidate = explain(rules, at("10.0.0.1"), "app");
  EXPECT_NE(unknownCandidate.find("at most 10 connections"), std::string::npos);
  EXPECT_NE(unknownCandidate.find("room: 80 of 100"), std::string::npos);
  EXPECT_NE(explain(rules, at("10.0.0.1"), "desk").find("known by key: desk"), std::string::npos);
}

// ---- Admission controller
// --------------------------------------------------------------------------------------

Rules rules() {
  return rulesOf(file(), {"desk"}, 200);
}

TEST(AdmissionController, LimitsRateAndConnectionsOfEachAddressSeparately) {
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

TEST(AdmissionController, KnownRangeIsExemptFromTheLimitsOfAnAddress) {
  AdmissionController gate(rules());
  for (int i = 0; i < 100; ++i)
    EXPECT_TRUE(gate.connect(at("127.0.1.5"), Level::kNormal, 1000).admit) << i;
  EXPECT_EQ(gate.connect(at("127.0.1.5"), Level::kNormal, 1000).reason,
            Reason::kFull);  // none has been idle long enough to be evicted
}

TEST(AdmissionController, ReservesConnectionsForClientsKnownByAddressOrKey) {
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
  gate.identified(in[0], "app", 5000);  // not among the known keys
  EXPECT_EQ(gate.connect(at("10.0.2.1"), Level::kNormal, 5000).reason, Reason::kReserved);
  gate.identified(in[0], "desk", 5000);
  EXPECT_TRUE(gate.connect(at("10.0.2.1"), Level::kNormal, 5000).admit);
}

TEST(AdmissionController, EvictsFromTheAddressWithTheMostIdleConnectionsAndNeverABusyOne) {
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
  EXPECT_EQ(connect("10.0.0.4", 1050).reason, Reason::kFull)
      << "no connection has been idle long enough";
  EXPECT_EQ(connect("10.0.0.4", 2000).evict, a2);
  gate.idle(a1, 2100);
  EXPECT_EQ(connect("127.0.1.2", 3000).evict, a3) << "idle longer than a1";
  std::set<ConnectionId> gone;
  for (int i = 0; i < 3; ++i) {
    const auto d = connect("127.0.1.3", 4000 + i);
    if (d.evict)
      gone.insert(*d.evict);
  }
  EXPECT_TRUE(gone.count(b) != 0 && gone.count(a1) != 0);
  EXPECT_EQ(gone.count(known) + gone.count(busy), 0U);
  EXPECT_EQ(connect("10.0.0.9", 9000).reason, Reason::kFull)
      << "a known client is never evicted for an unknown one";
}

// A flood from thousands of addresses must neither evict the address of a rate-limited client from
// the table, which would refill its bucket, nor make the table grow.
TEST(AdmissionController, ManyAddressesDoNotResetARateLimit) {
  Rules r = rules();
  r.table = 64;
  AdmissionController gate(r);
  const Address loud = at("10.9.9.9");
  for (int i = 0; i < 50; ++i) {
    const Decision d = gate.connect(loud, Level::kNormal, 1000);
    if (d.admit)
      gate.closed(d.id, 1000);
  }
  ASSERT_EQ(gate.connect(loud, Level::kNormal, 1000).reason, Reason::kRate);
  for (int i = 0; i < 5000; ++i) {
    const Decision d =
        gate.connect(at("10." + std::to_string(i / 250) + ".7." + std::to_string(i % 250)),
                     Level::kNormal, 1000 + i * 0.01);
    if (d.admit)
      gate.closed(d.id, 1000);
    ASSERT_LE(gate.addresses(), 64U);
  }
  EXPECT_EQ(gate.connect(loud, Level::kNormal, 1051).reason, Reason::kRate);
  EXPECT_TRUE(gate.connect(at("127.0.1.1"), Level::kNormal, 1051).admit)
      << "a known client is admitted without an entry in the address table";
  // Once inactive with full buckets, the entries are dropped for a new address.
  EXPECT_TRUE(gate.connect(at("10.200.0.1"), Level::kNormal, 60'000).admit);
}

TEST(AdmissionController, ClockJumpAddsAtMostOneBurst) {
  AdmissionController gate(rules());
  const auto burst = [&](double now) {
    int in = 0;
    for (int i = 0; i < 100; ++i) {
      const Decision d = gate.connect(at("10.0.0.1"), Level::kNormal, now);
      in += d.admit;
      if (d.admit)
        gate.closed(d.id, now);
    }
    return in;
  };
  EXPECT_EQ(burst(1e6), 20);
  EXPECT_EQ(burst(10), 0);  // the clock jumped back
  EXPECT_EQ(burst(1e12), 20);
  EXPECT_EQ(burst(1e12 + 1000), 5);
}

TEST(AdmissionController, LoweredCapEvictsOnlyIdleConnections) {
  AdmissionController gate(rules());
  std::vector<ConnectionId> in;
  for (int i = 0; i < 10; ++i)
    in.push_back(gate.connect(at("10.0.0.1"), Level::kNormal, 1000).id);
  for (int i = 0; i < 6; ++i)
    gate.busy(in[static_cast<std::size_t>(i)]);
  Rules lower = rules();
  lower.perAddress = 3;
  const auto evicted = gate.reconfigure(lower, 2000);
  EXPECT_EQ(evicted, std::vector<ConnectionId>(in.begin() + 6, in.end()));
  EXPECT_EQ(gate.open(), 6U);
  EXPECT_EQ(gate.connect(at("10.0.0.1"), Level::kNormal, 9000).reason, Reason::kAddress);
  for (int i = 0; i < 4; ++i)
    gate.closed(in[static_cast<std::size_t>(i)], 9000);
  EXPECT_TRUE(gate.connect(at("10.0.0.1"), Level::kNormal, 9000).admit);
}

// For random operations: the caps and the reserve hold, a busy connection is never evicted, and the
// counts equal those of a plain list.
TEST(AdmissionController, KeepsCapsAndReserveForRandomOperations) {
  rc::check([](const std::vector<std::tuple<unsigned char, unsigned char, unsigned char>>& steps) {
    json text = file();
    text["connections"] = {{"total", 12},
                           {"per_address", 4},
                           {"networks", {{{"range", "10.0.0.0/16"}, {"connections", 7}}}}};
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
      const auto chosen =
          model.empty() ? model.end() : std::next(model.begin(), who % model.size());
      if (what % 6 < 3) {
        const Decision d =
            gate.connect(at(address), what % 30 == 0 ? Level::kTight : Level::kNormal, now);
        if (d.evict) {
          const auto it = model.find(*d.evict);
          RC_ASSERT(it != model.end());
          RC_ASSERT(!it->second.busy);
          RC_ASSERT(!it->second.known || address.rfind("127", 0) == 0);
          model.erase(it);
        }
        if (d.admit)
          model[d.id] = {address, address.rfind("127", 0) == 0, false};
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
        if (seen.address.rfind("127", 0) != 0)
          ++strangersFrom[seen.address];
        network += seen.address.rfind("10.0.", 0) == 0;
      }
      RC_ASSERT(gate.open() == model.size());
      RC_ASSERT(gate.unknown() == unknown);
      RC_ASSERT(model.size() <= 12U);
      RC_ASSERT(unknown <= 8U);
      RC_ASSERT(network <= 7U);
      RC_ASSERT(gate.addresses() <= 16U);
      for (const auto& [from, count] : strangersFrom)
        RC_ASSERT(count <= 4U);
    }
  });
}

// ---- Descriptor budget
// ------------------------------------------------------------------------------------

TEST(DescriptorBudget, CountsOpenDescriptorsAndKeepsEveryCap) {
  rc::check([](const std::vector<std::pair<unsigned char, bool>>& steps) {
    DescriptorBudget ledger(DescriptorBudget::sharesOf(160));
    std::array<std::size_t, DescriptorBudget::kAccounts> model{};
    for (int again = 0; again < 4; ++again)
      for (const auto& [which, take] : steps) {
        const std::size_t i = which % DescriptorBudget::kAccounts;
        const auto account = static_cast<Account>(i);
        if (take)
          model[i] += ledger.take(account);
        else if (model[i] > 0) {
          ledger.give(account);
          --model[i];
        }
        std::size_t sum = 0;
        for (std::size_t j = 0; j < model.size(); ++j) {
          RC_ASSERT(ledger.held(static_cast<Account>(j)) == model[j]);
          RC_ASSERT(model[j] <= ledger.shares().max[j]);
          sum += model[j];
        }
        RC_ASSERT(ledger.total() == sum);
        RC_ASSERT(sum <= 160U);
        // Admitted clients never use up the connections to instances that their requests need.
        RC_ASSERT(model[1] == ledger.shares().max[1] || ledger.may(Account::kInstances));
      }
  });
}

TEST(DescriptorBudget, LevelsChangeWithHysteresis) {
  DescriptorBudget ledger(DescriptorBudget::sharesOf(296));  // 100 for clients
  const auto to = [&](std::size_t held) {
    while (ledger.held(Account::kClients) < held)
      ledger.take(Account::kClients);
    while (ledger.held(Account::kClients) > held)
      ledger.give(Account::kClients);
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

}  // namespace
}  // namespace inference_router
