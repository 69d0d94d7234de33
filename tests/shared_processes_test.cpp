// Shared budgets, usage and verdicts of many router processes. A third of them loses its connection
// to the store, an instance stops responding, a tenant uses up its budget, and most routers are
// killed at once. What the instances recorded is compared with the fleet's documents; only sums,
// bounds and order are asserted.
#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "shared/digest_codec.h"
#include "shared/part_codec.h"
#include "support/router_fleet.h"

namespace inference_router {
namespace {

using namespace shared;

constexpr std::uint64_t kBudget = 40'000;

json addSharedSection(json& file) {
  file["keys"] = {{{"key", "a"}, {"tenant", "attiki"}}, {{"key", "p"}, {"tenant", "patras"}}};
  file["models"] = {{"m", "member-questions"}, {"c", "membership-changes"}};
  file["settings"]["orgs"] = {{{"name", "attiki"}, {"share", 0.5}, {"allowancePerS", 1000.0}},
                              {{"name", "patras"}, {"share", 0.5}, {"allowancePerS", 1000.0}}};
  for (json& grade : file["settings"]["grades"]) {
    grade["goalTimeMs"] = 400.0;
    grade["hardLimitMs"] = 2000.0;
  }
  file["shared"] = {{"budgets", {{"attiki", kBudget}, {"patras", 1'000'000'000}}},
                    {"period_s", 864'000},
                    {"ahead_s", 2},
                    {"slice_s", 1},
                    {"loan_s", 6},
                    {"word_ms", 200},
                    {"digest_ms", 200},
                    {"gone_s", 5},
                    {"silent_s", 3},
                    {"late_s", 1},
                    {"alone_s", 3}};
  return file;
}

// What an instance executed for one request, as the instance recorded it.
struct ExecutedRequest {
  std::string tenant, requestClass, marker;
  std::uint64_t tokens;
};

// Clients that send requests continuously, each with a unique marker, and record the responses.
struct Clients {
  Clients(RouterFleet& routerFleet, unsigned seed) : fleet(routerFleet), random(seed) {
    for (auto& [name, instance] : fleet.instances)
      instance->script = [this, name = name](StandInInstance&,
                                             StandInInstance::ReceivedRequest& taken) {
        if (silentInstances.count(name) != 0)
          return;
        const json body = json::parse(taken.body);
        const std::string content = body["messages"][0]["content"];
        const std::uint64_t promptTokens = 50, answerTokens = 5 + random() % 40;
        executed.push_back({content.substr(0, content.find(' ')), body["model"],
                            content.substr(content.find(' ') + 1, 8), promptTokens + answerTokens});
        taken.connection->beginStream({{"Content-Type", "text/event-stream"}});
        taken.connection->writeChunk(eventOf("yes"));
        taken.connection->writeChunk(
            "data: "
            "{\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
            "data: {\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":" +
            std::to_string(promptTokens) +
            ",\"completion_tokens\":" + std::to_string(answerTokens) + "}}\n\ndata: [DONE]\n\n");
        taken.connection->endStream();
      };
  }

  struct OpenRequest {
    std::unique_ptr<RawPeer> peer;
    RouterFleet::Node* router;
    pid_t process;
    std::string requestClass;
  };
  void send(RouterFleet::Node& router, const std::string& tenant, const std::string& requestClass) {
    char marker[16];
    std::snprintf(marker, sizeof marker, "%08zu", ++sent);
    OpenRequest request{std::make_unique<RawPeer>(fleet.io), &router, router.process, requestClass};
    const json body{
        {"model", requestClass},
        {"max_tokens", 50},
        {"messages",
         {{{"role", "user"}, {"content", tenant + " " + marker + std::string(180, 'x')}}}}};
    try {
      request.peer->connect(router.listen);
      request.peer->write(
          messageText("POST /v1/chat/completions HTTP/1.1",
                      {{"Authorization", "Bearer " + tenant.substr(0, 1)}, {"Connection", "close"}},
                      body.dump()));
    } catch (const boost::system::system_error&) {
      return;  // the router is down: nothing was sent
    }
    open.push_back(std::move(request));
  }
  // Sends requests to all running routers for the given time.
  void run(double durationMs) {
    for (const double endMs = fleet.clock.nowMs() + durationMs; fleet.clock.nowMs() < endMs;) {
      for (auto& router : fleet.nodes) {
        if (router->process <= 0 || router->suspended || open.size() > 60 || random() % 3 != 0)
          continue;
        send(*router, random() % 2 == 0 ? "attiki" : "patras", random() % 3 == 0 ? "c" : "m");
      }
      fleet.runFor(20);
      collect();
    }
  }
  // Evaluates the responses of requests that have ended.
  void collect() {
    std::erase_if(open, [this](OpenRequest& request) {
      if (!request.peer->ended())
        return false;
      const std::string& received = request.peer->seen;
      const std::string status = received.size() > 12 ? received.substr(9, 3) : "none";
      // Every router that was not killed sends exactly one response.
      if (status == "none" && request.process == request.router->process)
        ++unanswered;
      if (received.find("HTTP/1.1", 8) != std::string::npos)
        ++answeredTwice;
      ++responses[status];
      if (received.find("insufficient_quota") != std::string::npos)
        ++overBudget;
      return true;
    });
  }
  void finish() {
    EXPECT_TRUE(waitFor(fleet.io, 30, [&] {
      collect();
      return open.empty();
    }));
  }
  std::uint64_t tokensOf(const std::string& tenant) const {
    std::uint64_t sum = 0;
    for (const ExecutedRequest& request : executed)
      sum += request.tenant == tenant ? request.tokens : 0;
    return sum;
  }

  RouterFleet& fleet;
  std::mt19937 random;
  std::set<std::string> silentInstances;
  std::vector<ExecutedRequest> executed;
  std::vector<OpenRequest> open;
  std::map<std::string, int> responses;  // by status
  std::size_t sent = 0, unanswered = 0, answeredTwice = 0, overBudget = 0;
};

Digest readDigest(RouterFleet& fleet) {
  const auto text = fleet.store.value(kPrefix + "doc/digest");
  return text ? shared::decodeDigest(*text).digest.value_or(Digest{}) : Digest{};
}

std::uint64_t billedTokens(RouterFleet& fleet, const std::string& tenant) {
  std::uint64_t sum = 0;
  for (const auto& [key, counters] : readDigest(fleet).total)
    sum += key.tenant == tenant ? counters.billed() : 0;
  return sum;
}

json sharedReport(RouterFleet& fleet, RouterFleet::Node& router) {
  std::string text = callAdmin(fleet.io, router.adminAddress, "shared json");
  const std::size_t end = text.rfind("eof\n");
  return end == std::string::npos ? json{{"degree", "none"}, {"boxes", json::array()}}
                                  : json::parse(text.substr(0, end));
}

std::size_t countExcluded(const json& report) {
  std::size_t excluded = 0;
  for (const json& instance : report["boxes"])
    excluded += instance["standing"] == "out" || instance["standing"] == "trial" ||
                instance["standing"] == "own_word";
  return excluded;
}

bool allHaveState(RouterFleet& fleet, const std::string& state) {
  return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                     [&](auto& router) { return sharedReport(fleet, *router)["degree"] == state; });
}

class SharedStateOfProcesses : public ::testing::TestWithParam<std::pair<std::size_t, unsigned>> {};

TEST_P(SharedStateOfProcesses, HoldsUnderAPartitionASilentInstanceAndCrashes) {
  const auto [count, seed] = GetParam();
  std::cout << count << " routers, seed " << seed << "\n";
  RouterFleet fleet(count, {"box-1", "box-2", "box-3"}, INFERENCE_ROUTER_PROGRAM, false,
                    addSharedSection);
  ASSERT_TRUE(fleet.allReady()) << fleet.logs();
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return allHaveState(fleet, "connected"); }))
      << fleet.logs();
  Clients clients(fleet, seed);
  clients.run(2'000);
  // A third of the routers loses its connection to the store, one of them in one direction only. An
  // instance stops responding.
  for (std::size_t i = 0; i < count / 3; ++i)
    fleet.nodes[i]->proxy->setMode(i == 0 ? FaultProxy::Mode::kDropRequests
                                          : FaultProxy::Mode::kReset);
  clients.silentInstances.insert("box-2");
  clients.run(3'000);
  const auto allConnectedExcludeOne = [&] {
    for (std::size_t i = count / 3; i < count; ++i) {
      const json report = sharedReport(fleet, *fleet.nodes[i]);
      EXPECT_LE(countExcluded(report), 1u) << report.dump();
      if (countExcluded(report) == 0)
        return false;
    }
    return true;
  };
  // Both conditions have to hold at the same moment: observations decay, so a digest may lack the
  // votes of parts that arrive late.
  const auto digestExcludes = [&](const std::string& instance) {
    const Digest digest = readDigest(fleet);
    const auto found = digest.instances.find(instance);
    return found != digest.instances.end() && found->second.excluded;
  };
  EXPECT_TRUE(waitFor(fleet.io, 60,
                      [&] {
                        clients.run(200);
                        return allConnectedExcludeOne() && digestExcludes("box-2");
                      }))
      << readDigest(fleet).instances.size() << fleet.logs();
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    clients.run(200);
    for (std::size_t i = 0; i < count / 3; ++i)
      if (sharedReport(fleet, *fleet.nodes[i])["degree"] != "alone")
        return false;
    return true;
  }));
  clients.silentInstances.clear();
  for (auto& router : fleet.nodes)
    router->proxy->setMode(FaultProxy::Mode::kPass);
  clients.run(2'000);
  clients.finish();
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return allHaveState(fleet, "connected"); }))
      << fleet.logs();
  // No router was killed: once all have reported, the billed tokens equal those of the instances.
  EXPECT_TRUE(waitFor(fleet.io, 60,
                      [&] {
                        return billedTokens(fleet, "attiki") == clients.tokensOf("attiki") &&
                               billedTokens(fleet, "patras") == clients.tokensOf("patras");
                      }))
      << billedTokens(fleet, "attiki") << " of " << clients.tokensOf("attiki") << ", "
      << billedTokens(fleet, "patras") << " of " << clients.tokensOf("patras") << "\n"
      << fleet.logs();
  // The instance is used again after a successful probe.
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    clients.run(200);
    const auto instances = readDigest(fleet).instances;
    return instances.count("box-2") == 0 || !instances.at("box-2").excluded;
  }));
  // Most routers are killed at once, with requests in flight, and restart. Then the clients
  // continue until the budget is used up.
  for (std::size_t i = 0; i + 2 < count; ++i)
    fleet.kill(*fleet.nodes[i]);
  clients.run(300);
  for (std::size_t i = 0; i + 2 < count; ++i)
    fleet.start(*fleet.nodes[i]);
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    clients.run(500);
    return readDigest(fleet).budgets.at("attiki").available == 0 && clients.overBudget > 20;
  })) << clients.tokensOf("attiki");
  clients.run(3'000);
  clients.finish();
  const std::uint64_t executedTokens = clients.tokensOf("attiki");
  EXPECT_LE(executedTokens, kBudget) << "the instances executed more than the budget";
  // All executed tokens are accounted for: live routers have reported them, and killed routers are
  // charged with all that they may have used.
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    const Digest digest = readDigest(fleet);
    std::uint64_t accounted = digest.budgets.at("attiki").charged;
    for (const auto& [origin, lent] : digest.budgets.at("attiki").lent) {
      Part part;
      part.origin = origin;
      const auto text = fleet.store.value(kPrefix + "doc/" + part.key());
      const auto own = text ? decodePart(*text).part : std::nullopt;
      if (own && own->spends.count("attiki") != 0)
        accounted += own->spends.at("attiki").spent;
    }
    return accounted >= executedTokens && accounted <= kBudget;
  }));
  EXPECT_LE(billedTokens(fleet, "attiki"), executedTokens);
  std::map<std::string, int> changes;
  for (const ExecutedRequest& request : clients.executed)
    if (request.requestClass == "c")
      ++changes[request.marker];
  for (const auto& [marker, executions] : changes)
    EXPECT_EQ(executions, 1) << "change " << marker << " was executed more than once";
  EXPECT_EQ(clients.unanswered, 0u);
  EXPECT_EQ(clients.answeredTwice, 0u);
  std::cout << clients.sent << " sent, " << clients.executed.size() << " executed; attiki "
            << executedTokens << " of " << kBudget << ", billed " << billedTokens(fleet, "attiki")
            << ", " << clients.overBudget << " rejected by the budget\n";
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         SharedStateOfProcesses,
                         ::testing::Values(std::pair(std::size_t(6), 1U),
                                           std::pair(std::size_t(12), 2U)));

// On SIGTERM a router returns its unused loans and writes a last report before it exits.
TEST(RouterShutdown, ReturnsUnusedLoans) {
  RouterFleet fleet(3, {"box-1"}, INFERENCE_ROUTER_PROGRAM, false, addSharedSection);
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return allHaveState(fleet, "connected"); }))
      << fleet.logs();
  Clients clients(fleet, 1);
  clients.run(3'000);
  clients.finish();
  const std::string text = callAdmin(fleet.io, fleet.nodes[0]->adminAddress, "shared");
  EXPECT_NE(text.find("budget attiki limit=40000"), std::string::npos) << text;
  const Origin first{fleet.nodes[0]->name, sharedReport(fleet, *fleet.nodes[0])["incarnation"]};
  fleet.signal(*fleet.nodes[0], SIGTERM);
  int status = -1;
  ASSERT_TRUE(waitFor(fleet.io, 30, [&] {
    return ::waitpid(fleet.nodes[0]->process, &status, WNOHANG) == fleet.nodes[0]->process;
  }));
  fleet.nodes[0]->process = -1;
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] { return readDigest(fleet).foldedOf(first) != nullptr; }))
      << fleet.logs();
  EXPECT_EQ(billedTokens(fleet, "attiki"), clients.tokensOf("attiki"));
  EXPECT_EQ(billedTokens(fleet, "patras"), clients.tokensOf("patras"));
  // Only what it spent is charged: the rest of its loan was returned.
  std::uint64_t spent = readDigest(fleet).budgets.at("attiki").charged;
  EXPECT_LE(spent, clients.tokensOf("attiki"));
}

// SIGHUP applies a changed budget. With an invalid file, the previous budget stays in effect.
TEST(ReloadedBudget, IsAppliedUnlessTheFileIsInvalid) {
  RouterFleet fleet(1, {"box-1"}, INFERENCE_ROUTER_PROGRAM, false, addSharedSection);
  RouterFleet::Node& router = *fleet.nodes[0];
  const auto limit = [&] {
    return readDigest(fleet).budgets.count("attiki") == 0
               ? 0
               : readDigest(fleet).budgets.at("attiki").limit;
  };
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return limit() == kBudget; })) << fleet.logs();
  const auto reloadWithBudget = [&](const json& budget) {
    json file = fleet.configOf(router);
    file["shared"]["budgets"]["attiki"] = budget;
    std::ofstream(router.configPath) << file.dump();
    fleet.signal(router, SIGHUP);
  };
  reloadWithBudget(-5);
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    return fleet.logs().find("shared.budgets.attiki is not a whole number") != std::string::npos;
  })) << fleet.logs();
  EXPECT_EQ(limit(), kBudget);
  reloadWithBudget(7'000);
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] { return limit() == 7'000u; })) << fleet.logs();
}

}  // namespace
}  // namespace inference_router
