// Simulates a fleet of routers that send to instances in slow start, and the bounds on what they
// may send.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <vector>

#include "router_harness.h"

namespace inference_router::routing {

constexpr int kWarmPrefillInstances = 12, kWarmDecodeInstances = 8;
constexpr double kInstanceRate = 7;  // requests a second that a warm prefill instance can do
constexpr double kLoad =
    0.6 * kInstanceRate * kWarmPrefillInstances;  // requests per second of the whole fleet

// Scenario: the instances in slow start and concurrent disturbances. There is one new instance per
// weight.
struct SlowStartScenario {
  std::uint32_t kind = kPrefill;
  int warmInstances = 2;
  std::vector<double> newWeights{1};
  bool rolling = false;  // a tenth of the nodes restarts in each second, instead of a third once
  int loadFactor = 1;    // times the usual load from the start of the new instances
  bool skewed = false;   // Zipf-distributed prefixes; the first has a quarter of the traffic
  bool allNodesStart =
      false;             // every node starts together with the new instances, without earlier state
  bool tenants = true;   // the site has tenants with quotas
  int lostWarm = 0;      // warm instances of the kind that stop taking connections
  double lostAfter = 0;  // seconds after the start of the new instances
  int clientRetries = 0;             // times that a client comes back whose request was not served
  double requestsPerSecond = kLoad;  // of the whole fleet, before loadFactor
};

constexpr double kTimerInterval = 0.02;  // seconds between the timers of a node whose requests wait
constexpr double kServiceSeconds = 0.06;  // at least
constexpr double kConnectSeconds = 0.01;  // until a connection is refused
constexpr double kReturnSeconds = 0.3;    // until a client comes back
constexpr int kPrefixes = 40;
constexpr double kMostPopularShare = 0.25;

inline std::vector<double> prefixShares(bool skewed) {
  std::vector<double> shares(kPrefixes, 1.0);
  if (!skewed)
    return shares;
  double otherShares = 0;
  for (std::size_t i = 1; i < shares.size(); ++i)
    otherShares += shares[i] = 1.0 / static_cast<double>(i);
  shares[0] = otherShares * kMostPopularShare / (1 - kMostPopularShare);
  return shares;
}

// Runs one scenario: requests arrive at all nodes, instances answer after a fixed time, and the
// attempts at new instances are recorded.
class SlowStartFleet {
 public:
  // `assumedNodes` is the configured number of nodes; if it differs from `nodes`, the budget is not
  // split correctly.
  SlowStartFleet(int nodes, std::uint64_t seed, int assumedNodes, SlowStartScenario scenario = {})
      : scenario_(std::move(scenario)),
        load_(scenario_.requestsPerSecond),
        random_(seed),
        prefixes_(distribution(scenario_.skewed, seed)) {
    starts_.resize(static_cast<std::size_t>(nodes));
    timerPending_.resize(static_cast<std::size_t>(nodes));
    settings_ = plainSettings();
    settings_.nodes = assumedNodes;
    if (scenario_.tenants)
      settings_.tenants = {{1.0, kInstanceRate * kWarmPrefillInstances * 0.8}};
    for (int n = 0; n < nodes; ++n) {
      nodes_.push_back(start(usualEndpoints()));
      trafficWeights_.push_back(std::exp(
          std::normal_distribution<>(0, 1)(random_)));  // some nodes get several times the mean
    }
  }

  // The times of the attempts at each new instance.
  std::map<std::string, std::vector<double>> run(double warmSeconds, double slowStartSeconds) {
    runArrivals(warmSeconds);
    slowStartAt_ = now_;
    load_ *= scenario_.loadFactor;
    // Most warm instances of the role are removed at the same time, so that most requests would go
    // to the new instances.
    for (auto& node : nodes_)
      node->updateEndpoints(changedEndpoints(), EndpointListForm::kFull);
    if (scenario_.allNodesStart)
      restart(0, 1);
    if (!scenario_.rolling && !scenario_.allNodesStart) {
      runArrivals(now_ + 2);
      restart(0, 3);
    }
    for (std::size_t batch = 0; scenario_.rolling && batch < 10; ++batch) {
      runArrivals(slowStartAt_ + slowStartSeconds * static_cast<double>(batch) / 10);
      restart(batch, 10);
    }
    runArrivals(slowStartAt_ + slowStartSeconds);
    return dispatches_;
  }
  double slowStartAt() const { return slowStartAt_; }
  const Settings& settings() const { return settings_; }

 private:
  enum class StepKind { kPrefilled, kServed, kTimer, kRefused, kReturns };
  struct Step {
    double at;
    std::size_t node;
    int start;  // start count of the node: steps from before a restart are dropped; of kReturns any
    StepKind kind;
    std::string id, instance;
    bool operator<(const Step& other) const { return at > other.at; }
  };

  // A node that starts knows only the current endpoint list.
  std::unique_ptr<RouterHarness> start(const std::vector<EndpointRecord>& list) {
    auto node = std::make_unique<RouterHarness>(
        settings_, 1'000 + static_cast<std::uint64_t>(++totalStarts_) * 7);
    advanceTo(*node, now_);
    node->updateEndpoints(list);
    return node;
  }
  void restart(std::size_t first, std::size_t step) {
    for (std::size_t n = first; n < nodes_.size(); n += step) {
      nodes_[n] = start(changedEndpoints());
      ++starts_[n];
      timerPending_[n] = false;
    }
  }
  std::vector<EndpointRecord> usualEndpoints() const {
    std::vector<EndpointRecord> all;
    const bool mixed = scenario_.kind == kMixed;
    for (int i = 0; i < kWarmPrefillInstances; ++i)
      all.push_back(endpoint(numbered(mixed ? "m" : "r", i), mixed ? kMixed : kPrefill));
    for (int i = 0; !mixed && i < kWarmDecodeInstances; ++i)
      all.push_back(endpoint(numbered("w", i), kDecode));
    return all;
  }
  std::vector<EndpointRecord> changedEndpoints() const {
    std::vector<EndpointRecord> all = usualEndpoints();
    int warmInstancesLeft = scenario_.warmInstances;
    std::erase_if(all, [&](const EndpointRecord& e) {
      return e.kind.value == scenario_.kind && --warmInstancesLeft < 0;
    });
    for (std::size_t i = 0; i < scenario_.newWeights.size(); ++i) {
      all.push_back(endpoint(numbered("c", static_cast<int>(i)), scenario_.kind));
      all.back().weight = scenario_.newWeights[i];
      all.back().started = Time(Duration(static_cast<Duration::rep>((10 + slowStartAt_) * 1e6)));
    }
    return all;
  }
  static bool advanceTo(RouterHarness& node, double at) {
    const Time until{Duration(static_cast<Duration::rep>((10 + at) * 1e6))};
    if (until <= node.now())
      return false;
    node.advance(until - node.now());
    return true;
  }
  // Advances a node's clock to now and collects the dispatches of requests that had been waiting.
  RouterHarness& nodeNow(std::size_t n) {
    if (advanceTo(*nodes_[n], now_))
      collectDispatches(n);
    return *nodes_[n];
  }
  void collectDispatches(std::size_t n) {
    for (const DispatchAttempt& send : nodes_[n]->actionsOf<DispatchAttempt>()) {
      const char kind = send.instance.value[0];
      if (kind == 'c')
        dispatches_[send.instance.value].push_back(now_);
      if (isLost(send.instance.value)) {
        steps_.push({now_ + kConnectSeconds, n, starts_[n], StepKind::kRefused, send.request.value,
                     send.instance.value});
        continue;
      }
      const bool prefills = kind == 'r' || (kind == 'c' && scenario_.kind == kPrefill);
      steps_.push({servedAt(send.instance.value), n, starts_[n],
                   prefills ? StepKind::kPrefilled : StepKind::kServed, send.request.value,
                   send.instance.value});
    }
    for (const RejectRequest& rejected : nodes_[n]->actionsOf<RejectRequest>())
      scheduleReturn(rejected.request.value);
    for (const FailRequest& failed : nodes_[n]->actionsOf<FailRequest>())
      scheduleReturn(failed.request.value);
    if (!timerPending_[n] && nodes_[n]->hasTimer())
      steps_.push({now_ + kTimerInterval, n, starts_[n], StepKind::kTimer, {}, {}});
    timerPending_[n] = timerPending_[n] || nodes_[n]->hasTimer();
  }
  double servedAt(const std::string& instance) {
    if (scenario_.tenants)
      return now_ + kServiceSeconds;
    double& busyUntil = busyUntil_[instance];
    busyUntil = std::max(now_, busyUntil) + 1 / kInstanceRate;
    return std::max(busyUntil, now_ + kServiceSeconds);
  }
  bool isLost(const std::string& instance) const {
    const char kind = "rwm"[scenario_.kind];
    return slowStartAt_ > 0 && now_ >= slowStartAt_ + scenario_.lostAfter && instance[0] == kind &&
           std::stoi(instance.substr(1)) < scenario_.lostWarm;
  }
  // The id of a further try is that of the first one, a dot and the number of the try.
  void scheduleReturn(const std::string& id) {
    const std::size_t dot = id.find('.');
    const int tries = dot == std::string::npos ? 0 : std::stoi(id.substr(dot + 1));
    if (tries < scenario_.clientRetries)
      steps_.push({now_ + kReturnSeconds,
                   random_() % nodes_.size(),
                   0,
                   StepKind::kReturns,
                   id.substr(0, dot) + "." + std::to_string(tries + 1),
                   {}});
  }
  void apply(const Step& step) {
    if (step.kind == StepKind::kTimer)
      timerPending_[step.node] = false;
    RouterHarness& node = nodeNow(step.node);
    if (step.kind == StepKind::kTimer)
      return;
    if (step.kind == StepKind::kReturns) {
      node.arrive(step.id, numbered("p", nextPrefix()));
    } else if (step.kind == StepKind::kRefused) {
      node.endAttempt(step.id, step.instance, AttemptOutcome::kConnectFailed, Duration(10'000));
    } else if (step.kind == StepKind::kPrefilled) {
      node.endAttempt(step.id, step.instance, AttemptOutcome::kPrefilled, Duration(60'000));
    } else {
      node.openStream(step.id, step.instance);
      collectDispatches(step.node);
      node.endAttempt(step.id, step.instance, AttemptOutcome::kServed, 80ms, true);
    }
    collectDispatches(step.node);
  }
  // The popular prefix, and so its instance, depends on the seed.
  static std::discrete_distribution<std::size_t> distribution(bool skewed, std::uint64_t seed) {
    std::vector<double> shares = prefixShares(skewed);
    std::rotate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(seed % shares.size()),
                shares.end());
    return {shares.begin(), shares.end()};
  }
  int nextPrefix() {
    if (!scenario_.skewed)
      return static_cast<int>(random_() % kPrefixes);
    return static_cast<int>(prefixes_(random_));
  }
  void runArrivals(double until) {
    std::discrete_distribution<std::size_t> pick(trafficWeights_.begin(), trafficWeights_.end());
    double next = now_;
    for (;;) {
      if (steps_.empty() || next <= steps_.top().at) {
        if (next > until)
          break;
        now_ = next;
        next += std::exponential_distribution<>(load_)(random_);
        const std::size_t n = pick(random_);
        nodeNow(n).arrive(numbered("q", ++arrivals_), numbered("p", nextPrefix()));
        collectDispatches(n);
        continue;
      }
      const Step step = steps_.top();
      if (step.at > until)
        break;
      steps_.pop();
      now_ = step.at;
      if (step.start == starts_[step.node] || step.kind == StepKind::kReturns)
        apply(step);
    }
    now_ = until;
  }

  SlowStartScenario scenario_;
  Settings settings_;
  double load_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> prefixes_;
  std::vector<std::unique_ptr<RouterHarness>> nodes_;
  std::vector<double> trafficWeights_;
  std::priority_queue<Step> steps_;
  std::map<std::string, std::vector<double>> dispatches_;
  double now_ = 0, slowStartAt_ = 0;
  std::map<std::string, double> busyUntil_;  // by instance
  std::vector<int> starts_;
  std::vector<bool> timerPending_;
  int arrivals_ = 0, totalStarts_ = 0;
};

// Maximum number of requests in a window if the instance can take n: the usual bound, and one that
// allows more random variation for small n.
inline double strictBound(double n) {
  return n + 2 * std::sqrt(n) + 2;
}

constexpr double kFewRequests = 30;
inline double budgetBound(double n) {
  return n < kFewRequests ? n + 3 * std::sqrt(n) + 3 : strictBound(n);
}

// How the capacity of an instance grows while it warms up, which no setting tells.
enum class Growth {
  kLinear,  // from the initial share to all
  kAtEnd    // it stays at the initial share until it is warm
};

// The largest number of requests in any window minus its bound, for an instance that serves `rate`
// requests per second.
inline double maxExcess(const std::vector<double>& sent,
                        const SlowStartFleet& fleet,
                        double rate = kInstanceRate,
                        double (*bound)(double) = strictBound,
                        Growth growth = Growth::kLinear) {
  const auto& contract = fleet.settings().contract;
  const double window = std::chrono::duration<double>(contract.overloadWindow).count();
  const double warm = std::chrono::duration<double>(contract.warmupDuration).count();
  double excess = -HUGE_VAL;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    std::size_t count = 0;
    while (i + count < sent.size() && sent[i + count] < sent[i] + window)
      ++count;
    const double age = (sent[i] - fleet.slowStartAt()) / warm;
    const double grown = growth == Growth::kLinear ? age : std::floor(age);
    const double share = std::clamp(grown, contract.warmupInitialShare, 1.0);
    const double n = contract.overloadFactor * share * rate * window;
    excess = std::max(excess, static_cast<double>(count) - bound(n));
  }
  return excess;
}

// Requests per second that a warm instance of the scenario's kind and of this size can serve.
inline double rateOf(const SlowStartScenario& scenario, double size) {
  return kInstanceRate * kWarmPrefillInstances /
         (scenario.kind == kDecode ? kWarmDecodeInstances : kWarmPrefillInstances) * size;
}

inline double sizeOf(const SlowStartScenario& scenario, const std::string& id) {
  return scenario.newWeights[static_cast<std::size_t>(std::stoi(id.substr(1)))];
}

}  // namespace inference_router::routing
