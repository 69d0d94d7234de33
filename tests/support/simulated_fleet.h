// A simulation of shared state in a fleet within one process: an in-memory store that can be rolled
// back, connections that are cut, slow or one-way, and routers that pause, crash and restart. The
// simulation also records the actual usage, which no router knows, so that tests can compare it
// with the shared state.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "shared/digest_codec.h"
#include "shared/digest_task.h"
#include "shared/node.h"
#include "shared/part_codec.h"

namespace inference_router {

using namespace shared;

struct SimulatedFleet {
  static constexpr double kTickMs = 100;

  // How budgets are enforced: by loans as in the program, or by simpler schemes, which tests show
  // to exceed the budget.
  enum class BudgetScheme { kLoans, kLocalCounts, kSharedCounter };

  struct Options {
    std::size_t nodes = 10;
    unsigned seed = 1;
    double load = 1;  // tokens that all clients request in a period, as a multiple of each budget
    double servedShare = 0.9;  // share of requests that are served
    bool observations = true;
    BudgetScheme scheme = BudgetScheme::kLoans;
    bool trustSingleWitness = false;  // one unhealthy vote excludes an instance
    SharedConfig config = fastConfig();
  };
  static SharedConfig fastConfig() {
    SharedConfig config;
    config.reportMs = 500;
    config.reportPerNodeMs = 5;
    config.digestMs = 500;
    config.evictAfterMs = 15'000;
    config.silentMs = 5'000;
    config.periodMs = 60'000;
    config.budgets = {{"attiki", 400'000}, {"patras", 90'000}};
    config.budget.prefetchMs = 4'000;
    config.budget.ceilingMs = 1'500;
    config.budget.loanMs = 12'000;
    return config;
  }

  // ---- The store ----
  struct StoreState {
    std::map<std::string, coordination::Document> documents;
    std::uint64_t revision = 0;
  };
  coordination::CommitResponse commit(const std::vector<coordination::Write>& writes,
                                      std::optional<std::uint64_t> fence) {
    using coordination::CommitStatus;
    if (fence && *fence != this->fence)
      return {CommitStatus::kStaleFence, 0};
    if (!coordination::withinLimits(writes))
      return {CommitStatus::kRefused, 0};
    for (const auto& write : writes) {
      const auto it = store.documents.find(write.key);
      if ((it == store.documents.end() ? 0 : it->second.revision) != write.expectedRevision)
        return {CommitStatus::kConflict, 0};
    }
    ++store.revision;
    for (const auto& write : writes) {
      writtenBytes += write.value ? write.value->size() : 0;
      if (write.value)
        store.documents[write.key] = {*write.value, store.revision};
      else
        store.documents.erase(write.key);
    }
    return {CommitStatus::kDone, store.revision};
  }

  // ---- Routers ----
  struct OpenRequest {
    std::string tenant;
    Reservation reservation;
    std::uint64_t period, tokens;
    double endsMs;
  };
  // A request that a client retries after it was rejected.
  struct ClientRequest {
    std::string tenant;
    std::uint64_t promptTokens, maxAnswerTokens;
    double retryMs;
    int retries;
  };
  struct Node {
    std::string name;
    std::unique_ptr<SharedNode> shared;
    std::unique_ptr<DigestTask> task;
    bool canRead = true, canWrite = true;  // from and to the store
    double pausedUntilMs = 0, downUntilMs = 0, clockOffsetMs = 0, nextReadMs = 0, nextTaskMs = 0;
    bool instancesUnreachable = false;  // all attempts at instances fail
    bool receivesRequests = true;
    std::vector<OpenRequest> openRequests;
    std::vector<ClientRequest> retries;
    std::optional<coordination::View> view;
    std::uint64_t fence = 0;  // of the lease that it assumes to hold; 0: none
    std::uint64_t ranOutMs = 0;
  };
  // A response of the store that is on its way to a router.
  struct PendingResponse {
    std::size_t node;
    std::uint64_t startCount;
    double arrivalMs;
    coordination::CommitResponse response;
  };

  explicit SimulatedFleet(Options fleetOptions)
      : options(std::move(fleetOptions)), random(options.seed) {
    for (std::size_t i = 0; i < options.nodes; ++i) {
      nodes.emplace_back();
      nodes.back().name = "n" + std::to_string(i);
      startCounts.push_back(0);
      start(i);
    }
    acquireLease(0);
  }

  double draw(double min, double max) { return std::uniform_real_distribution<>(min, max)(random); }
  bool chance(double probability) { return draw(0, 1) < probability; }

  void start(std::size_t i) {
    Node& node = nodes[i];
    ++startCounts[i];
    node.shared = std::make_unique<SharedNode>(
        options.config, node.name, [this] { return ++lastIncarnation; }, now);
    node.task = std::make_unique<DigestTask>(
        coordination::TaskConfig{"digest", options.config.digestMs, 300},
        [this] { return options.config; }, [this, i] { return unixMs() + nodes[i].clockOffsetMs; });
    node.downUntilMs = node.pausedUntilMs = 0;
    node.nextReadMs = now + draw(0, 300);
    node.view.reset();
    node.fence = 0;
  }
  void kill(std::size_t i, double downMs) {
    Node& node = nodes[i];
    if (!alive(i))
      return;
    // Usage since its last report is lost; the tokens that it had reserved may have been produced.
    UsageTable unreported = node.shared->usage();
    addUsage(lostUsage, unreported);
    node.openRequests.clear();
    node.retries.clear();
    node.shared.reset();
    node.downUntilMs = now + downMs;
    ++kills;
  }
  bool alive(std::size_t i) const { return nodes[i].shared != nullptr; }
  bool runs(std::size_t i) const { return alive(i) && now >= nodes[i].pausedUntilMs; }
  void acquireLease(std::size_t i) {
    leaseHolder = i;
    nodes[i].fence = ++fence;
  }
  double unixMs() const { return 1.7e12 + now; }

  // ---- Actual usage ----
  struct ActualUsage {
    std::uint64_t committed = 0;  // spent, or reserved by requests in flight
    std::uint64_t maxCommitted = 0;
  };
  std::map<std::pair<std::string, std::uint64_t>, ActualUsage> actualUsage;  // by tenant and period
  UsageTable countedUsage;  // of all routers since the start
  std::map<std::string, std::uint64_t> denied;
  std::uint64_t requests = 0, granted = 0;
  // The largest excess over a budget, of all budgets and periods; negative if none was exceeded.
  std::int64_t overshoot() const {
    std::int64_t worst = INT64_MIN;
    for (const auto& [key, usage] : actualUsage) {
      const auto limit = static_cast<std::int64_t>(options.config.budgets.at(key.first));
      worst = std::max(worst, static_cast<std::int64_t>(usage.maxCommitted) - limit);
    }
    return worst;
  }

  void sendRequest(std::size_t i, const std::string& tenant) {
    sendRequest(i, {tenant, static_cast<std::uint64_t>(draw(100, 1500)),
                    static_cast<std::uint64_t>(draw(50, 400)), 0, 0});
  }
  void sendRequest(std::size_t i, ClientRequest request) {
    Node& node = nodes[i];
    const auto& [tenant, promptTokens, maxAnswerTokens, retryMs, retries] = request;
    const std::uint64_t period = node.shared->budgets().period();
    auto answer = node.shared->reserve(tenant, promptTokens + maxAnswerTokens, now);
    if (options.scheme != BudgetScheme::kLoans) {
      answer = {};
      LocalCount& count = localCounts[{i, tenant}];
      if (count.period != period)
        count = {period, 0, 0};
      if (count.others + count.own + promptTokens + maxAnswerTokens >
          options.config.budgets.at(tenant))
        answer.denial = Denial::kUsedUp;
      else
        count.own += promptTokens + maxAnswerTokens;
    }
    ++requests;
    if (answer.denial != Denial::kNone) {
      ++denied[nameOf(answer.denial)];
      UsageCounters counters;
      counters.refused = 1;
      counters.refusedTokens = promptTokens + maxAnswerTokens;
      countedUsage[{tenant, "chat"}].add(counters);
      SharedNode::RequestUsage usage{SharedNode::RequestUsage::Outcome::kRefused, 0, 0,
                                     promptTokens + maxAnswerTokens};
      node.shared->settleRequest(tenant, "chat", answer.reservation, usage, now);
      if (retries < 3)
        node.retries.push_back(
            {tenant, promptTokens, maxAnswerTokens, now + draw(1000, 2000), retries + 1});
      return;
    }
    ++granted;
    ActualUsage& actual = actualUsage[{tenant, period}];
    actual.committed += promptTokens + maxAnswerTokens;
    actual.maxCommitted = std::max(actual.maxCommitted, actual.committed);
    node.openRequests.push_back({tenant, answer.reservation, period, promptTokens + maxAnswerTokens,
                                 now + draw(300, 4000)});
  }
  void finishRequests(std::size_t i) {
    Node& node = nodes[i];
    for (auto it = node.openRequests.begin(); it != node.openRequests.end();) {
      if (now < it->endsMs) {
        ++it;
        continue;
      }
      const bool served = chance(options.servedShare);
      const auto usedTokens =
          static_cast<std::uint64_t>(static_cast<double>(it->tokens) * draw(0.6, 1));
      SharedNode::RequestUsage usage;
      UsageCounters counters;
      if (served) {
        usage = {SharedNode::RequestUsage::Outcome::kServed, usedTokens / 2,
                 usedTokens - usedTokens / 2, it->tokens};
        counters.served = 1;
        counters.promptTokens = usage.promptTokens;
        counters.answerTokens = usage.answerTokens;
      } else {
        usage = {SharedNode::RequestUsage::Outcome::kFailed, 0, 0, it->tokens};
        counters.failed = 1;
        counters.failedTokens = it->tokens;
      }
      countedUsage[{it->tenant, "chat"}].add(counters);
      ActualUsage& actual = actualUsage[{it->tenant, it->period}];
      actual.committed -= it->tokens - (served ? usedTokens : 0);
      node.shared->settleRequest(it->tenant, "chat", it->reservation, usage, now);
      it = node.openRequests.erase(it);
    }
  }

  // The simpler schemes: each router has only its own count, or adds it to a shared counter while
  // it can write.
  struct LocalCount {
    std::uint64_t period = 0, own = 0, others = 0;
  };
  std::map<std::pair<std::size_t, std::string>, LocalCount> localCounts;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> sharedCounters;
  void addToSharedCounter(std::size_t i) {
    for (auto& [key, count] : localCounts) {
      if (key.first != i)
        continue;
      std::uint64_t& sum = sharedCounters[{key.second, count.period}];
      sum += count.own;
      count.own = 0;
      count.others = sum;
    }
  }

  // ---- Instances ----
  std::map<std::string, KnownInstance> instances;
  std::set<std::string> failingInstances;
  void attemptInstances(std::size_t i) {
    if (!options.observations || instances.empty())
      return;
    Node& node = nodes[i];
    auto availability = node.shared->availabilities(instances, now);
    if (options.trustSingleWitness && node.shared->digest())
      for (const auto& [instance, verdict] : node.shared->digest()->instances)
        if (verdict.unhealthyVotes > 0 && availability.count(instance) != 0)
          availability[instance] = Availability::kExcluded;
    std::map<std::string, std::size_t> inUse;
    for (const auto& [instance, current] : availability)
      inUse[instances.at(instance).role] += current != Availability::kExcluded;
    for (const auto& [role, count] : inUse)
      minInUse = std::min(minInUse, count);
    for (const auto& [instance, known] : instances) {
      const Availability current = availability.at(instance);
      if (current == Availability::kExcluded || current == Availability::kOperator || !chance(0.04))
        continue;
      const bool succeeds = failingInstances.count(instance) == 0 && !node.instancesUnreachable;
      ++(succeeds ? successfulAttempts : failedAttempts);
      if (succeeds)
        node.shared->observations().recordSuccess(instance, now);
      else
        node.shared->observations().recordFailure(instance, FailureKind::kTimeout, now);
    }
  }
  std::uint64_t successfulAttempts = 0, failedAttempts = 0;
  std::size_t minInUse = SIZE_MAX;  // smallest number of instances of a role at any router

  // ---- Time ----
  void step() {
    now += kTickMs;
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (!alive(i) && now >= nodes[i].downUntilMs)
        start(i);
    for (auto it = pendingResponses.begin(); it != pendingResponses.end();) {
      if (now < it->arrivalMs || (alive(it->node) && !runs(it->node))) {
        ++it;
        continue;
      }
      if (alive(it->node) && startCounts[it->node] == it->startCount)
        nodes[it->node].shared->onWritten(it->response, now);
      it = pendingResponses.erase(it);
    }
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (runs(i))
        processRequests(i);
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (runs(i))
        exchangeWithStore(i);
  }
  void run(double durationMs) {
    for (const double endMs = now + durationMs; now < endMs;)
      step();
  }

  std::vector<Node> nodes;
  std::vector<std::uint64_t> startCounts;
  StoreState store;
  std::uint64_t fence = 0, lastIncarnation = 1000;
  std::size_t leaseHolder = 0;
  bool storeUp = true, traffic = true;
  double lossShare = 0;
  double now = 0;
  std::uint64_t kills = 0, startedWrites = 0, writtenBytes = 0, digests = 0;
  UsageTable lostUsage;  // of killed routers; includes what they had reported
  Options options;
  std::mt19937 random;

 private:
  void processRequests(std::size_t i) {
    finishRequests(i);
    attemptInstances(i);
    if (!traffic)
      return;
    for (std::size_t k = nodes[i].retries.size(); k-- > 0;) {
      if (now < nodes[i].retries[k].retryMs)
        continue;
      const ClientRequest due = nodes[i].retries[k];
      nodes[i].retries.erase(nodes[i].retries.begin() + static_cast<std::ptrdiff_t>(k));
      sendRequest(i, due);
    }
    if (!nodes[i].receivesRequests)
      return;
    const double ticks = options.config.periodMs / kTickMs;
    for (const auto& [tenant, limit] : options.config.budgets) {
      const double mean = static_cast<double>(limit) * options.load / 1000 / ticks /
                          static_cast<double>(nodes.size());
      const int count = std::poisson_distribution<int>(mean)(random);
      for (int k = 0; k < count; ++k)
        sendRequest(i, tenant);
    }
  }

  void exchangeWithStore(std::size_t i) {
    Node& node = nodes[i];
    if (storeUp && node.canRead && now >= node.nextReadMs) {
      node.nextReadMs = now + 300;
      std::map<std::string, coordination::Document> documents;
      for (const std::string& key : node.shared->keys())
        if (const auto it = store.documents.find(key); it != store.documents.end())
          documents[key] = it->second;
      node.shared->onRead(documents, now, now);
      if (options.scheme == BudgetScheme::kSharedCounter && node.canWrite)
        addToSharedCounter(i);
      if (node.fence != 0)
        node.view = coordination::View{store.documents, store.revision, now};
    }
    if (const auto write = node.shared->nextReport(unixMs() + node.clockOffsetMs, now)) {
      ++startedWrites;
      coordination::CommitResponse response;
      const bool requestArrives = storeUp && node.canWrite && !chance(lossShare);
      if (requestArrives)
        response = commit({*write}, std::nullopt);
      const bool responseArrives = requestArrives && node.canRead && !chance(lossShare);
      pendingResponses.push_back({i, startCounts[i], now + (responseArrives ? draw(0, 200) : 1000),
                                  responseArrives ? response : coordination::CommitResponse{}});
    }
    // A router that assumes to hold the lease works on its last view; the store checks its fence.
    if (node.fence == 0 || !node.view || now < node.nextTaskMs)
      return;
    node.nextTaskMs = now + options.config.digestMs;
    const auto step = node.task->next(*node.view, node.fence, now);
    if (!step || !storeUp || !node.canWrite)
      return;
    const auto response = commit(step->writes, node.fence);
    digests += response.status == coordination::CommitStatus::kDone;
    if (response.status == coordination::CommitStatus::kStaleFence)
      node.fence = 0;
  }

  std::vector<PendingResponse> pendingResponses;
};

}  // namespace inference_router
