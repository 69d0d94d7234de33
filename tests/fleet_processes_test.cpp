// Tests of fleets of router processes with a shared store. Injected faults: broken, slow and
// one-way connections to the store, lost responses, suspended and killed processes, and an
// unavailable store. A checker examines the store's history. The tests assert only order and
// bounds, so that a busy machine does not make them fail.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <iostream>
#include <random>

#include "support/router_fleet.h"

namespace inference_router {
namespace {

// Injects one random fault, which lasts for up to about two lease durations and ends before the
// function returns.
void injectFault(RouterFleet& fleet, std::mt19937& random) {
  const auto uniform = [&](double low, double high) {
    return std::uniform_real_distribution<>(low, high)(random);
  };
  // Half of the faults affect the lease holder, whose failure is the most critical.
  RouterFleet::Node* node = random() % 2 == 0 ? fleet.byName(fleet.leaseHolder()) : nullptr;
  if (node == nullptr)
    node = fleet.nodes[random() % fleet.nodes.size()].get();
  const double durationMs = uniform(0.2, 2) * kLeaseMs;
  using Mode = FaultProxy::Mode;
  const auto impair = [&](Mode mode) {
    node->proxy->setMode(mode);
    fleet.runFor(durationMs);
    node->proxy->setMode(Mode::kPass);
  };
  switch (random() % 10) {
    case 0:
      return impair(Mode::kReset);
    case 1:
      return impair(Mode::kDropRequests);
    case 2:
      return impair(Mode::kDropResponses);
    case 3:
      return impair(Mode::kHoldRequests);
    case 4:
      return node->proxy->reset();
    case 5:
      fleet.signal(*node, SIGSTOP);
      fleet.runFor(durationMs + kLeaseMs);
      return fleet.signal(*node, SIGCONT);
    case 6:
      fleet.kill(*node);
      fleet.runFor(durationMs);
      return fleet.start(*node);
    case 7:
      fleet.store.noLeader = true;
      fleet.runFor(durationMs + kLeaseMs);
      return fleet.store.newLeader();
    case 8:
      fleet.store.loseResponse = [&random](const json&) { return random() % 3 == 0; };
      fleet.runFor(durationMs);
      fleet.store.loseResponse = nullptr;
      return;
    default:
      fleet.store.responseDelayMs = uniform(20, 300);
      fleet.runFor(durationMs);
      fleet.store.responseDelayMs = 0;
  }
}

class RouterFleetUnderFaults : public ::testing::TestWithParam<std::pair<std::size_t, unsigned>> {};

TEST_P(RouterFleetUnderFaults, CompletesAPlanWithoutViolations) {
  const auto [count, seed] = GetParam();
  std::cout << count << " routers, seed " << seed << "\n";
  std::mt19937 random(seed);
  RouterFleet fleet(count, {"box-1", "box-2", "box-3"});
  ASSERT_TRUE(fleet.runAdminCommand("maintenance start june box-1,box-2,box-3 hold=2"))
      << fleet.logs();
  for (int i = 0; i < 8 && !fleet.planDone("june"); ++i)
    injectFault(fleet, random);
  // Kill and restart all but one router at once.
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
                         RouterFleetUnderFaults,
                         ::testing::Values(std::pair(std::size_t(5), 1U),
                                           std::pair(std::size_t(9), 2U)));

// Suspends the lease holder while a step's commit is in transit. Another router acquires the lease,
// and its own step is held back; then the delayed commit arrives. Returns the violations in the
// store's history.
std::vector<std::string> violationsAfterDelayedCommit(const std::string& program,
                                                      std::string& logs) {
  RouterFleet fleet(3, {"box-1", "box-2"}, program);
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] { return !fleet.leaseHolder().empty(); }));
  const auto holdFirstStep = [&](RouterFleet::Node& node) {
    // Matches the first step of the plan by the lease holder. The command that starts the plan
    // writes it with a step count of 0.
    node.proxy->holdWhen = [](const std::string& bytes) {
      const std::size_t put = bytes.find("request_put");
      const std::size_t body = bytes.find("\r\n\r\n");
      if (put == std::string::npos || body == std::string::npos)
        return false;
      const json transaction = json::parse(bytes.substr(body + 4), nullptr, false);
      if (!transaction.is_object())
        return false;
      for (const json& operation : transaction.value("success", json::array()))
        if (operation.contains("request_put") &&
            EtcdStandIn::decoded(operation["request_put"]["key"]) == kPrefix + "doc/plan") {
          const json plan = json::parse(EtcdStandIn::decoded(operation["request_put"]["value"]));
          return plan["steps"] == 1;
        }
      return false;
    };
  };
  for (auto& node : fleet.nodes)
    holdFirstStep(*node);
  EXPECT_TRUE(fleet.runAdminCommand("maintenance start june box-1 confirm"));
  RouterFleet::Node* suspendedNode = nullptr;
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    for (auto& node : fleet.nodes)
      if (node->proxy->mode() == FaultProxy::Mode::kHoldRequests)
        suspendedNode = node.get();
    return suspendedNode != nullptr;
  }));
  if (suspendedNode == nullptr)
    return {"no step was sent"};
  fleet.signal(*suspendedNode, SIGSTOP);
  // Disconnect the other routers until the lease has expired, so that none of them changes the plan
  // on which the delayed commit is based.
  for (auto& node : fleet.nodes)
    if (node.get() != suspendedNode)
      node->proxy->setMode(FaultProxy::Mode::kReset);
  fleet.runFor(1.5 * kLeaseMs);
  for (auto& node : fleet.nodes)
    node->proxy->holdWhen = nullptr;
  // The next holder may read the plan and acquire the lease, but its own steps are held back too.
  for (auto& node : fleet.nodes)
    if (node.get() != suspendedNode) {
      holdFirstStep(*node);
      node->proxy->setMode(FaultProxy::Mode::kPass);
    }
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    return !fleet.leaseHolder().empty() && fleet.leaseHolder() != suspendedNode->name;
  }));
  suspendedNode->proxy->release();  // delivers the delayed commit
  waitFor(fleet.io, 1, [&] { return fleet.plan()["steps"] != 0; });
  logs = fleet.logs();
  return findViolations(fleet.store.history(), kPrefix);
}

TEST(SuspendedLeaseHolder, DelayedCommitIsRefused) {
  std::string logs;
  const auto violations = violationsAfterDelayedCommit(INFERENCE_ROUTER_PROGRAM, logs);
  EXPECT_TRUE(violations.empty()) << ::testing::PrintToString(violations) << "\n" << logs;
}

// With the program that is built without the check of fences, the checker must find a violation.
TEST(SuspendedLeaseHolder, DelayedCommitWithoutFencesIsFoundByTheChecker) {
  std::string logs;
  EXPECT_FALSE(violationsAfterDelayedCommit(INFERENCE_ROUTER_WITHOUT_FENCE_PROGRAM, logs).empty())
      << logs;
}

// From one second after the routers have applied a drain, the drained instance receives no
// requests. SIGTERM makes a router release its lease.
TEST(RouterFleetWithClients, HonoursDrainsAndReleasesTheLeaseOnShutdown) {
  RouterFleet fleet(3, {"box-1", "box-2"});
  ASSERT_TRUE(fleet.runAdminCommand("readyz"));
  std::size_t requestCount = 0;
  std::map<std::size_t, std::unique_ptr<RawPeer>> clients;
  const auto sendRequests = [&] {
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
      clients[++requestCount] = std::move(client);
    }
    std::erase_if(clients, [](auto& entry) { return entry.second->ended(); });
  };
  ASSERT_TRUE(fleet.runAdminCommand("maintenance start june box-1 confirm")) << fleet.logs();
  const auto itemState = [&](const std::string& instance) -> std::string {
    const json plan = fleet.plan();
    for (const json& item : plan.value("items", json::array()))
      if (item["box"] == instance)
        return item["state"];
    return "";
  };
  ASSERT_TRUE(waitFor(fleet.io, 60,
                      [&] {
                        sendRequests();
                        fleet.runFor(20);
                        return itemState("box-1") == "out";
                      }))
      << fleet.plan().dump() << fleet.store.value(kPrefix + "doc/node/c1").value_or("")
      << fleet.store.value(kPrefix + "doc/node/c2").value_or("") << fleet.arrivals.size() << "\n"
      << fleet.logs();
  // In state "out" every router has confirmed the drain and has no open requests at the instance.
  const double outAtMs = fleet.clock.nowMs();
  RouterFleet::Node* firstHolder = fleet.byName(fleet.leaseHolder());
  ASSERT_NE(firstHolder, nullptr);
  const std::string firstHolderName = firstHolder->name;
  for (double until = outAtMs + 2500; fleet.clock.nowMs() < until;) {
    sendRequests();
    fleet.runFor(20);
  }
  fleet.signal(*firstHolder, SIGTERM);
  int status = -1;
  ASSERT_TRUE(waitFor(fleet.io, 30, [&] {
    return ::waitpid(firstHolder->process, &status, WNOHANG) == firstHolder->process;
  }));
  firstHolder->process = -1;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    return !fleet.leaseHolder().empty() && fleet.leaseHolder() != firstHolderName;
  }));
  ASSERT_TRUE(fleet.runAdminCommand("maintenance back box-1"));
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return fleet.planDone("june"); })) << fleet.logs();
  std::size_t atDrained = 0, atOther = 0;
  double returnedAtMs = 0;
  for (const auto& event : fleet.store.history())
    if (event.key == kPrefix + "doc/plan" && event.value.find("\"warming\"") != std::string::npos &&
        returnedAtMs == 0)
      returnedAtMs = event.atMs;
  for (const auto& arrival : fleet.arrivals) {
    atDrained +=
        arrival.instance == "box-1" && arrival.atMs > outAtMs + 1000 && arrival.atMs < returnedAtMs;
    atOther +=
        arrival.instance == "box-2" && arrival.atMs > outAtMs + 1000 && arrival.atMs < returnedAtMs;
  }
  EXPECT_EQ(atDrained, 0u);
  EXPECT_GT(atOther, 0u) << "clients sent requests";
  bool released = false;
  for (const auto& event : fleet.store.history())
    released = released || (event.key == kPrefix + "lease/maintenance" &&
                            event.kind == EtcdStandIn::Event::Kind::kDeleted);
  EXPECT_TRUE(released) << "released, not expired";
  fleet.expectNoViolations();
}

// The maintenance lease as reported by the router's admin endpoint.
json leaseOf(RouterFleet& fleet, RouterFleet::Node& node) {
  std::string text = callAdmin(fleet.io, node.adminAddress, "leases json");
  const std::size_t end = text.rfind("eof\n");
  if (end == std::string::npos)
    return json{{"state", "none"}, {"holder", ""}, {"fence", 0}};
  return json::parse(text.substr(0, end))["leases"][0];
}

std::unique_ptr<sqlite3, int (*)(sqlite3*)> openDatabase(const std::string& path) {
  sqlite3* database = nullptr;
  EXPECT_EQ(sqlite3_open(path.c_str(), &database), SQLITE_OK);
  return {database, &sqlite3_close};
}

// A stalled disk makes the holder lose its lease, but clients' requests are served all the time.
TEST(RouterFleetWithSqlite, RoutesRequestsWhileTheStoreStalls) {
  RouterFleet fleet(3, {"box-1", "box-2"}, INFERENCE_ROUTER_PROGRAM, /*sqlite=*/true);
  ASSERT_TRUE(fleet.allReady()) << fleet.logs();
  RouterFleet::Node* holder = nullptr;
  const auto findHolder = [&] {
    for (auto& node : fleet.nodes)
      if (leaseOf(fleet, *node)["state"] == "holding")
        holder = node.get();
    return holder != nullptr;
  };
  ASSERT_TRUE(waitFor(fleet.io, 60, findHolder)) << fleet.logs();
  const std::uint64_t fence = leaseOf(fleet, *holder)["fence"];
  auto blocker = openDatabase(fleet.folder.path + "/shared.db");
  sqlite3_busy_timeout(blocker.get(), 10'000);
  ASSERT_EQ(sqlite3_exec(blocker.get(), "BEGIN IMMEDIATE", nullptr, nullptr, nullptr), SQLITE_OK);
  std::size_t responseCount = 0;
  const auto sendRequest = [&](RouterFleet::Node& node) {
    RawPeer client(fleet.io);
    client.connect(node.listen);
    client.write(messageText("POST /v1/chat/completions HTTP/1.1",
                             {{"Authorization", "Bearer k"}, {"Connection", "close"}},
                             R"({"model":"m","messages":[{"role":"user","content":"open?"}]})"));
    ASSERT_TRUE(until(fleet.io, [&] { return client.ended(); }));
    EXPECT_EQ(client.seen.substr(9, 3), "200") << client.seen;
    ++responseCount;
  };
  // Wait until the holder has given up the lease by its own clock.
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    for (auto& node : fleet.nodes)
      sendRequest(*node);
    fleet.runFor(100);
    return leaseOf(fleet, *holder)["state"] != "holding" &&
           leaseOf(fleet, *holder)["state"] != "doubtful";
  }));
  for (auto& node : fleet.nodes) {
    EXPECT_NE(leaseOf(fleet, *node)["state"], "holding");
    sendRequest(*node);
  }
  EXPECT_GT(responseCount, fleet.nodes.size());
  ASSERT_EQ(sqlite3_exec(blocker.get(), "ROLLBACK", nullptr, nullptr, nullptr), SQLITE_OK);
  blocker = nullptr;
  holder = nullptr;
  ASSERT_TRUE(waitFor(fleet.io, 60, findHolder)) << fleet.logs();
  EXPECT_GT(leaseOf(fleet, *holder)["fence"].get<std::uint64_t>(), fence);
}

// SIGHUP with another store releases the lease in the old one first. An invalid file changes
// nothing.
TEST(RouterFleetWithSqlite, ChangesItsStoreOnReload) {
  RouterFleet fleet(1, {"box-1"}, INFERENCE_ROUTER_PROGRAM, /*sqlite=*/true);
  RouterFleet::Node& node = *fleet.nodes[0];
  const auto holdsLease = [&] { return leaseOf(fleet, node)["state"] == "holding"; };
  ASSERT_TRUE(waitFor(fleet.io, 60, holdsLease)) << fleet.logs();
  const auto rewrite = [&](const std::function<void(json&)>& change) {
    json config = fleet.configOf(node);
    change(config["coordination"]);
    std::ofstream(node.configPath) << config.dump();
    fleet.signal(node, SIGHUP);
  };
  rewrite([](json& section) { section["lease_s"] = 0.1; });
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    return fleet.logs().find("coordination cannot be used") != std::string::npos;
  }));
  EXPECT_TRUE(waitFor(fleet.io, 60, holdsLease));
  const std::string newStorePath = fleet.folder.path + "/second.db";
  rewrite([&](json& section) { section["store"]["path"] = newStorePath; });
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    return callAdmin(fleet.io, node.adminAddress, "leases").find(newStorePath) !=
               std::string::npos &&
           holdsLease();
  })) << fleet.logs();
  const auto oldStore = openDatabase(fleet.folder.path + "/shared.db");
  std::string cell;
  const auto readCell = [](void* result, int, char** columns, char**) {
    *static_cast<std::string*>(result) = columns[0];
    return 0;
  };
  ASSERT_EQ(sqlite3_exec(oldStore.get(), "SELECT cell FROM lease WHERE task='maintenance'",
                         readCell, &cell, nullptr),
            SQLITE_OK);
  EXPECT_FALSE(json::parse(cell).contains("record")) << "released, not expired: " << cell;
}

// A process that shuts down keeps running slightly longer than the half second for which it accepts
// new clients, because its last responses and the closes of cancelled attempts are still in
// transit.
TEST(RouterShutdown, WaitsForResponsesInTransit) {
  RouterFleet fleet(1, {"box-1"});
  ASSERT_TRUE(fleet.allReady()) << fleet.logs();
  const double signalledAtMs = fleet.clock.nowMs();
  fleet.signal(*fleet.nodes[0], SIGTERM);
  int status = -1;
  ASSERT_TRUE(waitFor(fleet.io, 30, [&] {
    return ::waitpid(fleet.nodes[0]->process, &status, WNOHANG) == fleet.nodes[0]->process;
  }));
  fleet.nodes[0]->process = -1;
  EXPECT_GE(fleet.clock.nowMs() - signalledAtMs, 600);
}

}  // namespace
}  // namespace inference_router
