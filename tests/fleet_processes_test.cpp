// Many routers, as the program itself, with one store between them and a layer of faults between
// each and the store: cut, one way only, slow, reset, answers lost, processes stopped and killed,
// the store gone. What the store carried out is read by a checker; only order and bounds are
// asserted, so a busy machine changes no verdict.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <iostream>
#include <random>

#include "support/router_fleet.h"

namespace inference_router {
namespace {

// One trouble after another, drawn; each lasts for up to two leases and is over before the next.
void trouble(RouterFleet& fleet, std::mt19937& random) {
  const auto draw = [&](double least, double most) {
    return std::uniform_real_distribution<>(least, most)(random);
  };
  // The holder as often as anybody else together: it is the one that matters.
  RouterFleet::Node* who = random() % 2 == 0 ? fleet.byName(fleet.leaseHolder()) : nullptr;
  if (who == nullptr)
    who = fleet.nodes[random() % fleet.nodes.size()].get();
  const double length = draw(0.2, 2) * kLeaseMs;
  using Mode = FaultProxy::Mode;
  const auto link = [&](Mode mode) {
    who->proxy->setMode(mode);
    fleet.runFor(length);
    who->proxy->setMode(Mode::kPass);
  };
  switch (random() % 10) {
    case 0:
      return link(Mode::kReset);
    case 1:
      return link(Mode::kDropRequests);
    case 2:
      return link(Mode::kDropResponses);
    case 3:
      return link(Mode::kHoldRequests);
    case 4:
      return who->proxy->reset();
    case 5:
      fleet.signal(*who, SIGSTOP);
      fleet.runFor(length + kLeaseMs);
      return fleet.signal(*who, SIGCONT);
    case 6:
      fleet.kill(*who);
      fleet.runFor(length);
      return fleet.start(*who);
    case 7:
      fleet.store.noLeader = true;
      fleet.runFor(length + kLeaseMs);
      return fleet.store.newLeader();
    case 8:
      fleet.store.loseAnswer = [&random](const json&) { return random() % 3 == 0; };
      fleet.runFor(length);
      fleet.store.loseAnswer = nullptr;
      return;
    default:
      fleet.store.slowMs = draw(20, 300);
      fleet.runFor(length);
      fleet.store.slowMs = 0;
  }
}

class ManyConductors : public ::testing::TestWithParam<std::pair<std::size_t, unsigned>> {};

TEST_P(ManyConductors, CarryOnePlanThroughWhateverHappens) {
  const auto [count, seed] = GetParam();
  std::cout << count << " conductors, seed " << seed << "\n";
  std::mt19937 random(seed);
  RouterFleet fleet(count, {"box-1", "box-2", "box-3"});
  ASSERT_TRUE(fleet.runAdminCommand("maintenance start june box-1,box-2,box-3 hold=2"))
      << fleet.logs();
  for (int i = 0; i < 8 && !fleet.planDone("june"); ++i)
    trouble(fleet, random);
  // A wave: most of them at once.
  for (std::size_t i = 0; i + 1 < fleet.nodes.size(); ++i)
    fleet.kill(*fleet.nodes[i]);
  for (std::size_t i = 0; i + 1 < fleet.nodes.size(); ++i)
    fleet.start(*fleet.nodes[i]);
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] { return fleet.planDone("june"); }))
      << fleet.plan().dump() << "\n"
      << fleet.logs();
  fleet.expectNoViolations();
  std::cout << "fence " << fleet.store.value(kPrefix + "fence/maintenance").value_or("-")
            << ", revision " << fleet.store.revision() << "\n";
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ManyConductors,
                         ::testing::Values(std::pair(std::size_t(5), 1U),
                                           std::pair(std::size_t(9), 2U)));

// The hardest case, on purpose: the holder is stopped in the middle of its step, the step's bytes
// on their way. Its lease goes to another, which has nothing to do; then the step arrives.
std::vector<std::string> stepThatArrivesLate(const std::string& program, std::string& log) {
  RouterFleet fleet(3, {"box-1", "box-2"}, program);
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] { return !fleet.leaseHolder().empty(); }));
  const auto watch = [&](RouterFleet::Node& one) {
    // A change of the plan by its holder; what an operator says of it goes by another router.
    one.proxy->holdWhen = [](const std::string& bytes) {
      const std::size_t from = bytes.find("request_put");
      const std::size_t body = bytes.find("\r\n\r\n");
      if (from == std::string::npos || body == std::string::npos)
        return false;
      const json txn = json::parse(bytes.substr(body + 4), nullptr, false);
      if (!txn.is_object())
        return false;
      for (const json& one : txn.value("success", json::array()))
        if (one.contains("request_put") &&
            EtcdStandIn::decoded(one["request_put"]["key"]) == kPrefix + "doc/plan") {
          const json plan = json::parse(EtcdStandIn::decoded(one["request_put"]["value"]));
          return plan["steps"] == 1;
        }
      return false;
    };
  };
  for (auto& one : fleet.nodes)
    watch(*one);
  EXPECT_TRUE(fleet.runAdminCommand("maintenance start june box-1 confirm"));
  RouterFleet::Node* held = nullptr;
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    for (auto& one : fleet.nodes)
      if (one->proxy->mode() == FaultProxy::Mode::kHoldRequests)
        held = one.get();
    return held != nullptr;
  }));
  if (held == nullptr)
    return {"no step was seen"};
  fleet.signal(*held, SIGSTOP);
  // Whoever is next is paused by an operator's word before it begins an instance, so that the plan
  // stays as it was seen.
  for (auto& one : fleet.nodes)
    if (one.get() != held)
      one->proxy->setMode(FaultProxy::Mode::kReset);
  fleet.runFor(1.5 * kLeaseMs);
  for (auto& one : fleet.nodes)
    one->proxy->holdWhen = nullptr;
  // The next holder may read the plan and take the lease, but its own steps are held back in turn.
  for (auto& one : fleet.nodes)
    if (one.get() != held) {
      watch(*one);
      one->proxy->setMode(FaultProxy::Mode::kPass);
    }
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    return !fleet.leaseHolder().empty() && fleet.leaseHolder() != held->name;
  }));
  held->proxy->release();  // the store reads what was on its way
  waitFor(fleet.io, 1, [&] { return fleet.plan()["steps"] != 0; });
  log = fleet.logs();
  return findViolations(fleet.store.history(), kPrefix);
}

TEST(AStoppedHolder, FindsItsStepRefusedWhenItArrivesLate) {
  std::string log;
  const auto broken = stepThatArrivesLate(INFERENCE_ROUTER_PROGRAM, log);
  EXPECT_TRUE(broken.empty()) << ::testing::PrintToString(broken) << "\n" << log;
}

// The program built without the check of fences: the same course has to be found out.
TEST(AStoppedHolder, WithoutFencesIsCaughtByTheChecker) {
  std::string log;
  EXPECT_FALSE(stepThatArrivesLate(INFERENCE_ROUTER_WITHOUT_FENCE_PROGRAM, log).empty()) << log;
}

// From one second after a router was told of a drain its instance sees no new work from it, and
// SIGTERM gives the lease away in order.
TEST(ManyConductorsWithClients, KeepDrainsAndHandOverInOrder) {
  RouterFleet fleet(3, {"box-1", "box-2"});
  ASSERT_TRUE(fleet.runAdminCommand("readyz"));
  std::size_t asked = 0;
  std::map<std::size_t, std::unique_ptr<RawPeer>> clients;
  const auto ask = [&] {
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
      if (fleet.nodes[i]->process <= 0)
        continue;
      auto client = std::make_unique<RawPeer>(fleet.io);
      try {
        client->connect(fleet.nodes[i]->listen);
        client->write(
            messageText("POST /v1/chat/completions HTTP/1.1",
                        {{"Authorization", "Bearer k"}, {"Connection", "close"}},
                        R"({"model":"m","messages":[{"role":"user","content":"open?"}]})"));
      } catch (const boost::system::system_error&) {
        continue;
      }
      clients[++asked] = std::move(client);
    }
    std::erase_if(clients, [](auto& entry) { return entry.second->ended(); });
  };
  ASSERT_TRUE(fleet.runAdminCommand("maintenance start june box-1 confirm")) << fleet.logs();
  const auto state = [&](const std::string& instance) -> std::string {
    const json now = fleet.plan();
    for (const json& item : now.value("items", json::array()))
      if (item["box"] == instance)
        return item["state"];
    return "";
  };
  ASSERT_TRUE(waitFor(fleet.io, 60,
                      [&] {
                        ask();
                        fleet.runFor(20);
                        return state("box-1") == "out";
                      }))
      << fleet.plan().dump() << fleet.store.value(kPrefix + "doc/node/c1").value_or("")
      << fleet.store.value(kPrefix + "doc/node/c2").value_or("") << fleet.arrivals.size() << "\n"
      << fleet.logs();
  // Out means that every router has said that it heard of the drain, and that nothing of it is
  // open there.
  const double out = fleet.clock.nowMs();
  RouterFleet::Node* first = fleet.byName(fleet.leaseHolder());
  ASSERT_NE(first, nullptr);
  const std::string firstName = first->name;
  for (double until = out + 2500; fleet.clock.nowMs() < until;) {
    ask();
    fleet.runFor(20);
  }
  fleet.signal(*first, SIGTERM);
  int status = -1;
  ASSERT_TRUE(waitFor(
      fleet.io, 30, [&] { return ::waitpid(first->process, &status, WNOHANG) == first->process; }));
  first->process = -1;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    return !fleet.leaseHolder().empty() && fleet.leaseHolder() != firstName;
  }));
  ASSERT_TRUE(fleet.runAdminCommand("maintenance back box-1"));
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return fleet.planDone("june"); })) << fleet.logs();
  std::size_t late = 0, elsewhere = 0;
  double back = 0;
  for (const auto& event : fleet.store.history())
    if (event.key == kPrefix + "doc/plan" && event.value.find("\"warming\"") != std::string::npos &&
        back == 0)
      back = event.atMs;
  for (const auto& arrival : fleet.arrivals) {
    late += arrival.instance == "box-1" && arrival.atMs > out + 1000 && arrival.atMs < back;
    elsewhere += arrival.instance == "box-2" && arrival.atMs > out + 1000 && arrival.atMs < back;
  }
  EXPECT_EQ(late, 0u);
  EXPECT_GT(elsewhere, 0u) << "somebody asked";
  bool released = false;
  for (const auto& event : fleet.store.history())
    released = released || (event.key == kPrefix + "lease/maintenance" &&
                            event.kind == EtcdStandIn::Event::Kind::kDeleted);
  EXPECT_TRUE(released) << "given back, and not left to lapse";
  fleet.expectNoViolations();
}

// What the router itself says of the maintenance's lease.
json leaseOf(RouterFleet& fleet, RouterFleet::Node& one) {
  std::string text = callAdmin(fleet.io, one.adminAddress, "leases json");
  const std::size_t end = text.rfind("eof\n");
  if (end == std::string::npos)
    return json{{"state", "none"}, {"holder", ""}, {"fence", 0}};
  return json::parse(text.substr(0, end))["leases"][0];
}

std::unique_ptr<sqlite3, int (*)(sqlite3*)> opened(const std::string& path) {
  sqlite3* file = nullptr;
  EXPECT_EQ(sqlite3_open(path.c_str(), &file), SQLITE_OK);
  return {file, &sqlite3_close};
}

// A disk that stalls takes the lease from its holder, and nothing from clients: they are answered
// all the while.
TEST(ConductorsOnOneMachine, GoOnRoutingWhileTheirStoreStalls) {
  RouterFleet fleet(3, {"box-1", "box-2"}, INFERENCE_ROUTER_PROGRAM, /*sqlite=*/true);
  ASSERT_TRUE(fleet.allReady()) << fleet.logs();
  RouterFleet::Node* holder = nullptr;
  const auto held = [&] {
    for (auto& one : fleet.nodes)
      if (leaseOf(fleet, *one)["state"] == "holding")
        holder = one.get();
    return holder != nullptr;
  };
  ASSERT_TRUE(waitFor(fleet.io, 60, held)) << fleet.logs();
  const std::uint64_t fence = leaseOf(fleet, *holder)["fence"];
  auto blocker = opened(fleet.folder.path + "/shared.db");
  sqlite3_busy_timeout(blocker.get(), 10'000);
  ASSERT_EQ(sqlite3_exec(blocker.get(), "BEGIN IMMEDIATE", nullptr, nullptr, nullptr), SQLITE_OK);
  std::size_t answered = 0;
  const auto ask = [&](RouterFleet::Node& one) {
    RawPeer client(fleet.io);
    client.connect(one.listen);
    client.write(messageText("POST /v1/chat/completions HTTP/1.1",
                             {{"Authorization", "Bearer k"}, {"Connection", "close"}},
                             R"({"model":"m","messages":[{"role":"user","content":"open?"}]})"));
    ASSERT_TRUE(until(fleet.io, [&] { return client.ended(); }));
    EXPECT_EQ(client.seen.substr(9, 3), "200") << client.seen;
    ++answered;
  };
  // Until each that held it has stopped by itself.
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    for (auto& one : fleet.nodes)
      ask(*one);
    fleet.runFor(100);
    return leaseOf(fleet, *holder)["state"] != "holding" &&
           leaseOf(fleet, *holder)["state"] != "doubtful";
  }));
  for (auto& one : fleet.nodes) {
    EXPECT_NE(leaseOf(fleet, *one)["state"], "holding");
    ask(*one);
  }
  EXPECT_GT(answered, fleet.nodes.size());
  ASSERT_EQ(sqlite3_exec(blocker.get(), "ROLLBACK", nullptr, nullptr, nullptr), SQLITE_OK);
  blocker = nullptr;
  holder = nullptr;
  ASSERT_TRUE(waitFor(fleet.io, 60, held)) << fleet.logs();
  EXPECT_GT(leaseOf(fleet, *holder)["fence"].get<std::uint64_t>(), fence);
}

// SIGHUP with another store lets go of what is held in the old one first; a file that cannot be
// used leaves all.
TEST(ConductorsOnOneMachine, ChangeTheirStoreUnderWay) {
  RouterFleet fleet(1, {"box-1"}, INFERENCE_ROUTER_PROGRAM, /*sqlite=*/true);
  RouterFleet::Node& one = *fleet.nodes[0];
  const auto holds = [&] { return leaseOf(fleet, one)["state"] == "holding"; };
  ASSERT_TRUE(waitFor(fleet.io, 60, holds)) << fleet.logs();
  const auto rewrite = [&](const std::function<void(json&)>& change) {
    json file = fleet.configOf(one);
    change(file["coordination"]);
    std::ofstream(one.configPath) << file.dump();
    fleet.signal(one, SIGHUP);
  };
  rewrite([](json& part) { part["lease_s"] = 0.1; });
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    return fleet.logs().find("coordination cannot be used") != std::string::npos;
  }));
  EXPECT_TRUE(waitFor(fleet.io, 60, holds));
  const std::string second = fleet.folder.path + "/second.db";
  rewrite([&](json& part) { part["store"]["path"] = second; });
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    return callAdmin(fleet.io, one.adminAddress, "leases").find(second) != std::string::npos &&
           holds();
  })) << fleet.logs();
  const auto first = opened(fleet.folder.path + "/shared.db");
  std::string cell;
  const auto row = [](void* to, int, char** columns, char**) {
    *static_cast<std::string*>(to) = columns[0];
    return 0;
  };
  ASSERT_EQ(sqlite3_exec(first.get(), "SELECT cell FROM lease WHERE task='maintenance'", row, &cell,
                         nullptr),
            SQLITE_OK);
  EXPECT_FALSE(json::parse(cell).contains("record"))
      << "let go of, and not left to lapse: " << cell;
}

// Guards what an ending process has just said: its answers and the closes of attempts that it
// called off are still on their way, and it stays a moment longer than the half second for which it
// takes new clients.
TEST(AConductorThatEnds, StaysForItsLastWords) {
  RouterFleet fleet(1, {"box-1"});
  ASSERT_TRUE(fleet.allReady()) << fleet.logs();
  const double told = fleet.clock.nowMs();
  fleet.signal(*fleet.nodes[0], SIGTERM);
  int status = -1;
  ASSERT_TRUE(waitFor(fleet.io, 30, [&] {
    return ::waitpid(fleet.nodes[0]->process, &status, WNOHANG) == fleet.nodes[0]->process;
  }));
  fleet.nodes[0]->process = -1;
  EXPECT_GE(fleet.clock.nowMs() - told, 600);
}

}  // namespace
}  // namespace inference_router
