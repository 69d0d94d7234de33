// A fleet of the program's own shared state, without processes: a store in memory, links that are
// cut, slow or one way, routers that stop, die and start anew, a store that is put back. The
// world keeps the truth that no router knows, and tests compare.
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

struct SharedWorld {
  static constexpr double kTickMs = 100;

  // How budgets are kept: as the program does, or in ways that it does not take, to see what each
  // breaks.
  enum class Way { kLent, kEachAlone, kOneCounter };

  struct Options {
    std::size_t nodes = 10;
    unsigned seed = 1;
    double load = 1;    // of each budget, asked for by all together within a period
    double kept = 0.9;  // share of requests that are served
    bool observations = true;
    Way way = Way::kLent;
    bool believeAny = false;  // an instance is left out as soon as anybody finds it bad
    SharedConfig config = worldConfig();
  };
  static SharedConfig worldConfig() {
    SharedConfig config;
    config.reportMs = 500;
    config.reportPerNodeMs = 5;
    config.digestMs = 500;
    config.goneMs = 15'000;
    config.silentMs = 5'000;
    config.periodMs = 60'000;
    config.budgets = {{"attiki", 400'000}, {"patras", 90'000}};
    config.budget.prefetchMs = 4'000;
    config.budget.ceilingMs = 1'500;
    config.budget.loanMs = 12'000;
    return config;
  }

  // ---- The store
  // -----------------------------------------------------------------------------------
  struct State {
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
      bytes += write.value ? write.value->size() : 0;
      if (write.value)
        store.documents[write.key] = {*write.value, store.revision};
      else
        store.documents.erase(write.key);
    }
    return {CommitStatus::kDone, store.revision};
  }

  // ---- Routers
  // ----------------------------------------------------------------------------------
  struct Open {
    std::string tenant;
    Reservation reservation;
    std::uint64_t period, tokens;
    double endsMs;
  };
  struct Again {  // a client that was refused and comes again
    std::string tenant;
    std::uint64_t prompt, most;
    double atMs;
    int times;
  };
  struct Node {
    std::string name;
    std::unique_ptr<SharedNode> shared;
    std::unique_ptr<DigestTask> task;
    bool reads = true, writes = true;  // its two ways to the store
    double stoppedUntil = 0, downUntil = 0, offsetMs = 0, readMs = 0, taskMs = 0;
    bool badLink = false;  // to all instances
    bool asked = true;     // clients come to it
    std::vector<Open> open;
    std::vector<Again> again;
    std::optional<coordination::View> view;
    std::uint64_t fence = 0;  // of the lease that it believes to hold
    std::uint64_t ranOutMs = 0;
  };
  struct Answer {
    std::size_t node;
    std::uint64_t life;
    double atMs;
    coordination::CommitResponse how;
  };

  explicit SharedWorld(Options given) : options(std::move(given)), random(options.seed) {
    for (std::size_t i = 0; i < options.nodes; ++i) {
      nodes.emplace_back();
      nodes.back().name = "n" + std::to_string(i);
      lives.push_back(0);
      start(i);
    }
    hold(0);
  }

  double draw(double least, double most) {
    return std::uniform_real_distribution<>(least, most)(random);
  }
  bool chance(double share) { return draw(0, 1) < share; }

  void start(std::size_t i) {
    Node& node = nodes[i];
    ++lives[i];
    node.shared = std::make_unique<SharedNode>(
        options.config, node.name, [this] { return ++drawn; }, now);
    node.task = std::make_unique<DigestTask>(
        coordination::TaskConfig{"digest", options.config.digestMs, 300},
        [this] { return options.config; }, [this, i] { return unix() + nodes[i].offsetMs; });
    node.downUntil = node.stoppedUntil = 0;
    node.readMs = now + draw(0, 300);
    node.view.reset();
    node.fence = 0;
  }
  void kill(std::size_t i, double forMs) {
    Node& node = nodes[i];
    if (!alive(i))
      return;
    // What it counted since its last word is gone with it; what it had promised may have been
    // produced.
    UsageTable unsaid = node.shared->usage();
    addUsage(diedWith, unsaid);
    node.open.clear();
    node.again.clear();
    node.shared.reset();
    node.downUntil = now + forMs;
    ++kills;
  }
  bool alive(std::size_t i) const { return nodes[i].shared != nullptr; }
  bool runs(std::size_t i) const { return alive(i) && now >= nodes[i].stoppedUntil; }
  void hold(std::size_t i) {
    holder = i;
    nodes[i].fence = ++fence;
  }
  double unix() const { return 1.7e12 + now; }

  // ---- The truth
  // -----------------------------------------------------------------------------------
  struct Truth {
    std::uint64_t promised = 0;  // spent, and what may still be
    std::uint64_t most = 0;
  };
  std::map<std::pair<std::string, std::uint64_t>, Truth> truth;  // by franchisee and period
  UsageTable counted;                                            // by all, ever
  std::map<std::string, std::uint64_t> denied;
  std::uint64_t asked = 0, granted = 0;
  // Beyond the budget, at worst, over all budgets and periods.
  std::int64_t overshoot() const {
    std::int64_t worst = INT64_MIN;
    for (const auto& [key, one] : truth) {
      const auto limit = static_cast<std::int64_t>(options.config.budgets.at(key.first));
      worst = std::max(worst, static_cast<std::int64_t>(one.most) - limit);
    }
    return worst;
  }

  void ask(std::size_t i, const std::string& tenant) {
    ask(i, {tenant, static_cast<std::uint64_t>(draw(100, 1500)),
            static_cast<std::uint64_t>(draw(50, 400)), 0, 0});
  }
  void ask(std::size_t i, Again asked_) {
    Node& node = nodes[i];
    const auto& [tenant, prompt, most, at, times] = asked_;
    const std::uint64_t period = node.shared->budgets().period();
    auto answer = node.shared->reserve(tenant, prompt + most, now);
    if (options.way != Way::kLent) {
      answer = {};
      Naive& naive = naives[{i, tenant}];
      if (naive.period != period)
        naive = {period, 0, 0};
      if (naive.others + naive.own + prompt + most > options.config.budgets.at(tenant))
        answer.denial = Denial::kUsedUp;
      else
        naive.own += prompt + most;
    }
    ++asked;
    if (answer.denial != Denial::kNone) {
      ++denied[nameOf(answer.denial)];
      UsageCounters refused;
      refused.refused = 1;
      refused.refusedTokens = prompt + most;
      counted[{tenant, "chat"}].add(refused);
      SharedNode::RequestUsage how{SharedNode::RequestUsage::Outcome::kRefused, 0, 0,
                                   prompt + most};
      node.shared->settleRequest(tenant, "chat", answer.reservation, how, now);
      if (times < 3)
        node.again.push_back({tenant, prompt, most, now + draw(1000, 2000), times + 1});
      return;
    }
    ++granted;
    Truth& t = truth[{tenant, period}];
    t.promised += prompt + most;
    t.most = std::max(t.most, t.promised);
    node.open.push_back({tenant, answer.reservation, period, prompt + most, now + draw(300, 4000)});
  }
  void finish(std::size_t i) {
    Node& node = nodes[i];
    for (auto it = node.open.begin(); it != node.open.end();) {
      if (now < it->endsMs) {
        ++it;
        continue;
      }
      const bool served = chance(options.kept);
      const auto used = static_cast<std::uint64_t>(static_cast<double>(it->tokens) * draw(0.6, 1));
      SharedNode::RequestUsage how;
      UsageCounters counters;
      if (served) {
        how = {SharedNode::RequestUsage::Outcome::kServed, used / 2, used - used / 2, it->tokens};
        counters.served = 1;
        counters.promptTokens = how.promptTokens;
        counters.answerTokens = how.answerTokens;
      } else {
        how = {SharedNode::RequestUsage::Outcome::kFailed, 0, 0, it->tokens};
        counters.failed = 1;
        counters.failedTokens = it->tokens;
      }
      counted[{it->tenant, "chat"}].add(counters);
      Truth& t = truth[{it->tenant, it->period}];
      t.promised -= it->tokens - (served ? used : 0);
      node.shared->settleRequest(it->tenant, "chat", it->reservation, how, now);
      it = node.open.erase(it);
    }
  }

  // Ways that are not taken: each by its own count alone, or by one counter that all add to when
  // they can.
  struct Naive {
    std::uint64_t period = 0, own = 0, others = 0;
  };
  std::map<std::pair<std::size_t, std::string>, Naive> naives;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> counter;
  void addToCounter(std::size_t i) {
    for (auto& [key, naive] : naives) {
      if (key.first != i)
        continue;
      std::uint64_t& sum = counter[{key.second, naive.period}];
      sum += naive.own;
      naive.own = 0;
      naive.others = sum;
    }
  }

  // ---- Instances
  // ---------------------------------------------------------------------------------------
  std::map<std::string, KnownInstance> instances;
  std::set<std::string> badInstances;
  void look(std::size_t i) {
    if (!options.observations || instances.empty())
      return;
    Node& node = nodes[i];
    auto availability = node.shared->availabilities(instances, now);
    if (options.believeAny && node.shared->digest())
      for (const auto& [instance, verdict] : node.shared->digest()->instances)
        if (verdict.unhealthyVotes > 0 && availability.count(instance) != 0)
          availability[instance] = Availability::kExcluded;
    std::map<std::string, std::size_t> in;
    for (const auto& [instance, at] : availability)
      in[instances.at(instance).role] += at != Availability::kExcluded;
    for (const auto& [role, left] : in)
      fewestIn = std::min(fewestIn, left);
    for (const auto& [instance, known] : instances) {
      const Availability at = availability.at(instance);
      if (at == Availability::kExcluded || at == Availability::kOperator || !chance(0.04))
        continue;
      const bool well = badInstances.count(instance) == 0 && !node.badLink;
      ++(well ? goodTries : badTries);
      if (well)
        node.shared->observations().recordSuccess(instance, now);
      else
        node.shared->observations().recordFailure(instance, FailureKind::kTimeout, now);
    }
  }
  std::uint64_t goodTries = 0, badTries = 0;
  std::size_t fewestIn = SIZE_MAX;  // of any role, at any router

  // ---- Time
  // ----------------------------------------------------------------------------------------
  void step() {
    now += kTickMs;
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (!alive(i) && now >= nodes[i].downUntil)
        start(i);
    for (auto it = answers.begin(); it != answers.end();) {
      if (now < it->atMs || (alive(it->node) && !runs(it->node))) {
        ++it;
        continue;
      }
      if (alive(it->node) && lives[it->node] == it->life)
        nodes[it->node].shared->onWritten(it->how, now);
      it = answers.erase(it);
    }
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (runs(i))
        turn(i);
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (runs(i))
        carry(i);
  }
  void run(double ms) {
    for (const double until = now + ms; now < until;)
      step();
  }

  std::vector<Node> nodes;
  std::vector<std::uint64_t> lives;
  State store;
  std::uint64_t fence = 0, drawn = 1000;
  std::size_t holder = 0;
  bool storeUp = true, traffic = true;
  double lossShare = 0;
  double now = 0;
  std::uint64_t kills = 0, writesAsked = 0, bytes = 0, digests = 0;
  UsageTable diedWith;
  Options options;
  std::mt19937 random;

 private:
  void turn(std::size_t i) {
    finish(i);
    look(i);
    if (!traffic)
      return;
    for (std::size_t k = nodes[i].again.size(); k-- > 0;) {
      if (now < nodes[i].again[k].atMs)
        continue;
      const Again due = nodes[i].again[k];
      nodes[i].again.erase(nodes[i].again.begin() + static_cast<std::ptrdiff_t>(k));
      ask(i, due);
    }
    if (!nodes[i].asked)
      return;
    const double ticks = options.config.periodMs / kTickMs;
    for (const auto& [tenant, limit] : options.config.budgets) {
      const double mean = static_cast<double>(limit) * options.load / 1000 / ticks /
                          static_cast<double>(nodes.size());
      const int count = std::poisson_distribution<int>(mean)(random);
      for (int k = 0; k < count; ++k)
        ask(i, tenant);
    }
  }

  void carry(std::size_t i) {
    Node& node = nodes[i];
    if (storeUp && node.reads && now >= node.readMs) {
      node.readMs = now + 300;
      std::map<std::string, coordination::Document> mine;
      for (const std::string& key : node.shared->keys())
        if (const auto it = store.documents.find(key); it != store.documents.end())
          mine[key] = it->second;
      node.shared->onRead(mine, now, now);
      if (options.way == Way::kOneCounter && node.writes)
        addToCounter(i);
      if (node.fence != 0)
        node.view = coordination::View{store.documents, store.revision, now};
    }
    if (const auto write = node.shared->nextReport(unix() + node.offsetMs, now)) {
      ++writesAsked;
      coordination::CommitResponse how;
      const bool arrives = storeUp && node.writes && !chance(lossShare);
      if (arrives)
        how = commit({*write}, std::nullopt);
      const bool heard = arrives && node.reads && !chance(lossShare);
      answers.push_back({i, lives[i], now + (heard ? draw(0, 200) : 1000),
                         heard ? how : coordination::CommitResponse{}});
    }
    // Whoever believes to hold the lease goes on by what it last read; the store looks at its
    // fence.
    if (node.fence == 0 || !node.view || now < node.taskMs)
      return;
    node.taskMs = now + options.config.digestMs;
    const auto step = node.task->next(*node.view, node.fence, now);
    if (!step || !storeUp || !node.writes)
      return;
    const auto how = commit(step->writes, node.fence);
    digests += how.status == coordination::CommitStatus::kDone;
    if (how.status == coordination::CommitStatus::kStaleFence)
      node.fence = 0;
  }

  std::vector<Answer> answers;
};

}  // namespace inference_router
