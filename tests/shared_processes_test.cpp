// Many routers, as the program itself, that share budgets, counts and judgements: a third is cut
// off from the store, an instance goes silent, a franchisee runs out, routers are killed in a wave.
// What the instances produced by their own logs is compared with what the fleet says; only sums,
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

json sharedFile(json& file) {
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

// What an instance did for one request, by its own log.
struct Made {
  std::string tenant, cls, mark;
  std::uint64_t tokens;
};

// Clients that ask all the time, each question with a mark of its own, and keep what they were
// answered.
struct Clients {
  Clients(RouterFleet& given, unsigned seed) : fleet(given), random(seed) {
    for (auto& [name, instance] : fleet.instances)
      instance->script = [this, name = name](StandInInstance&,
                                             StandInInstance::ReceivedRequest& taken) {
        if (silent.count(name) != 0)
          return;
        const json body = json::parse(taken.body);
        const std::string text = body["messages"][0]["content"];
        const std::uint64_t prompt = 50, answer = 5 + random() % 40;
        made.push_back({text.substr(0, text.find(' ')), body["model"],
                        text.substr(text.find(' ') + 1, 8), prompt + answer});
        taken.connection->beginStream({{"Content-Type", "text/event-stream"}});
        taken.connection->writeChunk(eventOf("yes"));
        taken.connection->writeChunk(
            "data: "
            "{\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
            "data: {\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":" +
            std::to_string(prompt) + ",\"completion_tokens\":" + std::to_string(answer) +
            "}}\n\ndata: [DONE]\n\n");
        taken.connection->endStream();
      };
  }

  struct Asked {
    std::unique_ptr<RawPeer> peer;
    RouterFleet::Node* at;
    pid_t process;
    std::string cls;
  };
  void ask(RouterFleet::Node& one, const std::string& tenant, const std::string& cls) {
    char mark[16];
    std::snprintf(mark, sizeof mark, "%08zu", ++count);
    Asked asked{std::make_unique<RawPeer>(fleet.io), &one, one.process, cls};
    const json body{
        {"model", cls},
        {"max_tokens", 50},
        {"messages",
         {{{"role", "user"}, {"content", tenant + " " + mark + std::string(180, 'x')}}}}};
    try {
      asked.peer->connect(one.listen);
      asked.peer->write(
          messageText("POST /v1/chat/completions HTTP/1.1",
                      {{"Authorization", "Bearer " + tenant.substr(0, 1)}, {"Connection", "close"}},
                      body.dump()));
    } catch (const boost::system::system_error&) {
      return;  // it is down: nothing was taken
    }
    open.push_back(std::move(asked));
  }
  // For so long, at each router that runs, a question now and then.
  void go(double ms) {
    for (const double until = fleet.clock.nowMs() + ms; fleet.clock.nowMs() < until;) {
      for (auto& one : fleet.nodes) {
        if (one->process <= 0 || one->suspended || open.size() > 60 || random() % 3 != 0)
          continue;
        ask(*one, random() % 2 == 0 ? "attiki" : "patras", random() % 3 == 0 ? "c" : "m");
      }
      fleet.runFor(20);
      collect();
    }
  }
  void collect() {
    std::erase_if(open, [this](Asked& asked) {
      if (!asked.peer->ended())
        return false;
      const std::string& seen = asked.peer->seen;
      const std::string status = seen.size() > 12 ? seen.substr(9, 3) : "none";
      // A router that was killed answers nobody; every other answers once.
      if (status == "none" && asked.process == asked.at->process)
        ++unanswered;
      if (seen.find("HTTP/1.1", 8) != std::string::npos)
        ++twice;
      ++answers[status];
      if (seen.find("insufficient_quota") != std::string::npos)
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
    for (const Made& one : made)
      sum += one.tenant == tenant ? one.tokens : 0;
    return sum;
  }

  RouterFleet& fleet;
  std::mt19937 random;
  std::set<std::string> silent;
  std::vector<Made> made;
  std::vector<Asked> open;
  std::map<std::string, int> answers;
  std::size_t count = 0, unanswered = 0, twice = 0, overBudget = 0;
};

Digest decodeDigest(RouterFleet& fleet) {
  const auto text = fleet.store.value(kPrefix + "doc/digest");
  return text ? shared::decodeDigest(*text).digest.value_or(Digest{}) : Digest{};
}

std::uint64_t billed(RouterFleet& fleet, const std::string& tenant) {
  std::uint64_t sum = 0;
  for (const auto& [key, counters] : decodeDigest(fleet).total)
    sum += key.tenant == tenant ? counters.billed() : 0;
  return sum;
}

json sharedAt(RouterFleet& fleet, RouterFleet::Node& one) {
  std::string text = callAdmin(fleet.io, one.adminAddress, "shared json");
  const std::size_t end = text.rfind("eof\n");
  return end == std::string::npos ? json{{"degree", "none"}, {"boxes", json::array()}}
                                  : json::parse(text.substr(0, end));
}

std::size_t leftOut(const json& said) {
  std::size_t out = 0;
  for (const json& instance : said["boxes"])
    out += instance["standing"] == "out" || instance["standing"] == "trial" ||
           instance["standing"] == "own_word";
  return out;
}

bool allAre(RouterFleet& fleet, const std::string& degree) {
  return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                     [&](auto& one) { return sharedAt(fleet, *one)["degree"] == degree; });
}

class ManyConductorsShare : public ::testing::TestWithParam<std::pair<std::size_t, unsigned>> {};

TEST_P(ManyConductorsShare, KeepBudgetsBillsAndInstancesWhileAThirdHearsNothing) {
  const auto [count, seed] = GetParam();
  std::cout << count << " conductors, seed " << seed << "\n";
  RouterFleet fleet(count, {"box-1", "box-2", "box-3"}, INFERENCE_ROUTER_PROGRAM, false,
                    sharedFile);
  ASSERT_TRUE(fleet.allReady()) << fleet.logs();
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return allAre(fleet, "connected"); })) << fleet.logs();
  Clients clients(fleet, seed);
  clients.go(2'000);
  // A third hears nothing, one of them only one way; an instance goes silent.
  for (std::size_t i = 0; i < count / 3; ++i)
    fleet.nodes[i]->proxy->setMode(i == 0 ? FaultProxy::Mode::kDropRequests
                                          : FaultProxy::Mode::kReset);
  clients.silent.insert("box-2");
  clients.go(3'000);
  const auto judged = [&] {
    for (std::size_t i = count / 3; i < count; ++i) {
      const json said = sharedAt(fleet, *fleet.nodes[i]);
      EXPECT_LE(leftOut(said), 1u) << said.dump();
      if (leftOut(said) == 0)
        return false;
    }
    return true;
  };
  // At one moment: observations fade, so the digest may lack the votes of parts that come late.
  const auto digestLeavesOut = [&](const std::string& instance) {
    const Digest digest = decodeDigest(fleet);
    const auto found = digest.instances.find(instance);
    return found != digest.instances.end() && found->second.excluded;
  };
  EXPECT_TRUE(waitFor(fleet.io, 60,
                      [&] {
                        clients.go(200);
                        return judged() && digestLeavesOut("box-2");
                      }))
      << decodeDigest(fleet).instances.size() << fleet.logs();
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    clients.go(200);
    for (std::size_t i = 0; i < count / 3; ++i)
      if (sharedAt(fleet, *fleet.nodes[i])["degree"] != "alone")
        return false;
    return true;
  }));
  clients.silent.clear();
  for (auto& one : fleet.nodes)
    one->proxy->setMode(FaultProxy::Mode::kPass);
  clients.go(2'000);
  clients.finish();
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return allAre(fleet, "connected"); })) << fleet.logs();
  // Nobody died: once all have said their word, the bill is what the instances made, to the token.
  EXPECT_TRUE(waitFor(fleet.io, 60,
                      [&] {
                        return billed(fleet, "attiki") == clients.tokensOf("attiki") &&
                               billed(fleet, "patras") == clients.tokensOf("patras");
                      }))
      << billed(fleet, "attiki") << " of " << clients.tokensOf("attiki") << ", "
      << billed(fleet, "patras") << " of " << clients.tokensOf("patras") << "\n"
      << fleet.logs();
  // The instance comes back by a trial.
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    clients.go(200);
    const auto instances = decodeDigest(fleet).instances;
    return instances.count("box-2") == 0 || !instances.at("box-2").excluded;
  }));
  // A wave: most die at once, under way, and start anew. And on until the budget is used up.
  for (std::size_t i = 0; i + 2 < count; ++i)
    fleet.kill(*fleet.nodes[i]);
  clients.go(300);
  for (std::size_t i = 0; i + 2 < count; ++i)
    fleet.start(*fleet.nodes[i]);
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    clients.go(500);
    return decodeDigest(fleet).budgets.at("attiki").available == 0 && clients.overBudget > 20;
  })) << clients.tokensOf("attiki");
  clients.go(3'000);
  clients.finish();
  const std::uint64_t made = clients.tokensOf("attiki");
  EXPECT_LE(made, kBudget) << "no budget is exceeded, by what the boxes made";
  // All that was made is accounted for: what lives has said it, what died is charged for all that
  // it may have used.
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] {
    const Digest digest = decodeDigest(fleet);
    std::uint64_t known = digest.budgets.at("attiki").charged;
    for (const auto& [origin, lent] : digest.budgets.at("attiki").lent) {
      Part part;
      part.origin = origin;
      const auto text = fleet.store.value(kPrefix + "doc/" + part.key());
      const auto own = text ? decodePart(*text).part : std::nullopt;
      if (own && own->spends.count("attiki") != 0)
        known += own->spends.at("attiki").spent;
    }
    return known >= made && known <= kBudget;
  }));
  EXPECT_LE(billed(fleet, "attiki"), made);
  std::map<std::string, int> changes;
  for (const Made& one : clients.made)
    if (one.cls == "c")
      ++changes[one.mark];
  for (const auto& [mark, times] : changes)
    EXPECT_EQ(times, 1) << "change " << mark << " ran more than once";
  EXPECT_EQ(clients.unanswered, 0u);
  EXPECT_EQ(clients.twice, 0u);
  std::cout << clients.count << " asked, " << clients.made.size() << " made; attiki " << made
            << " of " << kBudget << ", billed " << billed(fleet, "attiki") << ", "
            << clients.overBudget << " refused for the budget\n";
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ManyConductorsShare,
                         ::testing::Values(std::pair(std::size_t(6), 1U),
                                           std::pair(std::size_t(12), 2U)));

// SIGTERM: what is not in use goes back, and the last word is said before the end.
TEST(AConductorThatEnds, GivesBackWhatItWasLent) {
  RouterFleet fleet(3, {"box-1"}, INFERENCE_ROUTER_PROGRAM, false, sharedFile);
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return allAre(fleet, "connected"); })) << fleet.logs();
  Clients clients(fleet, 1);
  clients.go(3'000);
  clients.finish();
  const std::string text = callAdmin(fleet.io, fleet.nodes[0]->adminAddress, "shared");
  EXPECT_NE(text.find("budget attiki limit=40000"), std::string::npos) << text;
  const Origin first{fleet.nodes[0]->name, sharedAt(fleet, *fleet.nodes[0])["incarnation"]};
  fleet.signal(*fleet.nodes[0], SIGTERM);
  int status = -1;
  ASSERT_TRUE(waitFor(fleet.io, 30, [&] {
    return ::waitpid(fleet.nodes[0]->process, &status, WNOHANG) == fleet.nodes[0]->process;
  }));
  fleet.nodes[0]->process = -1;
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] { return decodeDigest(fleet).foldedOf(first) != nullptr; }))
      << fleet.logs();
  EXPECT_EQ(billed(fleet, "attiki"), clients.tokensOf("attiki"));
  EXPECT_EQ(billed(fleet, "patras"), clients.tokensOf("patras"));
  // Charged is what it spent: the rest of its loan went back.
  std::uint64_t spent = decodeDigest(fleet).budgets.at("attiki").charged;
  EXPECT_LE(spent, clients.tokensOf("attiki"));
}

// SIGHUP takes over another budget; a file that cannot be used leaves the old one.
TEST(AChangedBudget, IsTakenOverAndABadFileIsNot) {
  RouterFleet fleet(1, {"box-1"}, INFERENCE_ROUTER_PROGRAM, false, sharedFile);
  RouterFleet::Node& one = *fleet.nodes[0];
  const auto limit = [&] {
    return decodeDigest(fleet).budgets.count("attiki") == 0
               ? 0
               : decodeDigest(fleet).budgets.at("attiki").limit;
  };
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] { return limit() == kBudget; })) << fleet.logs();
  const auto rewrite = [&](const json& budget) {
    json file = fleet.configOf(one);
    file["shared"]["budgets"]["attiki"] = budget;
    std::ofstream(one.configPath) << file.dump();
    fleet.signal(one, SIGHUP);
  };
  rewrite(-5);
  ASSERT_TRUE(waitFor(fleet.io, 60, [&] {
    return fleet.logs().find("shared.budgets.attiki is not a whole number") != std::string::npos;
  })) << fleet.logs();
  EXPECT_EQ(limit(), kBudget);
  rewrite(7'000);
  EXPECT_TRUE(waitFor(fleet.io, 60, [&] { return limit() == 7'000u; })) << fleet.logs();
}

}  // namespace
}  // namespace inference_router
