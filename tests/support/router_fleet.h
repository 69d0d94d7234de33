// A fleet of router processes that share one store, with a fault-injecting proxy between each
// router and the store.
#pragma once

#include <sys/wait.h>

#include <csignal>
#include <fstream>

#include "net/loop.h"
#include "support/fault_proxy.h"
#include "support/plan_checker.h"
#include "support/program.h"

namespace inference_router {

using nlohmann::json;

inline constexpr double kLeaseMs = 1000;
inline const std::string kPrefix = "site/";

inline bool waitFor(boost::asio::io_context& io,
                    double seconds,
                    const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline)
      return false;
    io.restart();
    if (io.poll() == 0)
      io.run_one_for(std::chrono::milliseconds(5));
  }
  return true;
}

// Starts the processes, the store and fake instances, which respond at once and record the time and
// target of each request.
struct RouterFleet {
  struct Node {
    std::string name;
    std::unique_ptr<FaultProxy> proxy;
    net::Endpoint listen, adminAddress;
    std::string configPath;
    pid_t process = -1;
    bool suspended = false;
  };

  // sqlite: the routers share an SQLite file instead of the fake etcd. changeConfig: applied to the
  // configuration of each router.
  RouterFleet(std::size_t count,
              const std::vector<std::string>& instanceNames,
              std::string program = INFERENCE_ROUTER_PROGRAM,
              bool sqlite = false,
              std::function<void(json&)> changeConfig = nullptr)
      : program_(std::move(program)), sqlite_(sqlite), changeConfig_(std::move(changeConfig)) {
    for (const std::string& name : instanceNames) {
      instances[name] = std::make_unique<StandInInstance>(io, clock, timers);
      instances[name]->script = [this, name](StandInInstance& instance,
                                             StandInInstance::ReceivedRequest& taken) {
        arrivals.push_back({name, taken.target, clock.nowMs()});
        streamFullAnswer(instance, taken);
      };
    }
    for (std::size_t i = 0; i < count; ++i) {
      auto node = std::make_unique<Node>();
      node->name = "c" + std::to_string(i + 1);
      node->proxy = std::make_unique<FaultProxy>(io, store.address());
      node->listen = freePort();
      node->adminAddress = freePort();
      node->configPath = folder.path + "/" + node->name + ".json";
      std::ofstream(node->configPath) << configOf(*node).dump();
      nodes.push_back(std::move(node));
    }
    for (auto& node : nodes)
      start(*node);
  }
  ~RouterFleet() {
    for (auto& node : nodes)
      kill(*node);
  }

  json configOf(const Node& node) const {
    json settings = siteSettings();
    settings["contract"]["coldMs"] = 200.0;
    json instanceList = json::array();
    for (const auto& [name, instance] : instances)
      instanceList.push_back(
          {{"id", name}, {"address", textOf(instance->address())}, {"role", "both"}, {"cell", 0}});
    json config{{"listen", textOf(node.listen)},
                {"admin_addr", textOf(node.adminAddress)},
                {"keys", {{{"key", "k"}, {"tenant", "club"}}}},
                {"models", {{"m", "member-questions"}}},
                {"boxes", instanceList},
                {"settings", settings},
                {"coordination",
                 {{"name", node.name},
                  {"store", sqlite_ ? json{{"kind", "sqlite"}, {"path", folder.path + "/shared.db"}}
                                    : json{{"kind", "etcd"},
                                           {"endpoints", {textOf(node.proxy->address())}},
                                           {"prefix", kPrefix}}},
                  {"lease_s", kLeaseMs / 1000},
                  {"answer_ms", 200},
                  {"step_ms", 200},
                  {"spread_ms", 20},
                  {"watch_ms", 100},
                  {"maintenance", {{"silent_node_s", 4}, {"period_ms", 30}}},
                  {"cleanup", {{"gone_s", 60}, {"period_ms", 500}}}}}};
    if (changeConfig_)
      changeConfig_(config);
    return config;
  }

  void start(Node& node) {
    const std::string log = folder.path + "/" + node.name + ".log";
    node.process = ::fork();
    if (node.process == 0) {
      if (std::freopen(log.c_str(), "a", stderr) == nullptr)
        ::_exit(126);
      ::execl(program_.c_str(), program_.c_str(), "serve", "--operator", node.configPath.c_str(),
              nullptr);
      ::_exit(127);
    }
    node.suspended = false;
  }
  void signal(Node& node, int number) {
    if (node.process > 0)
      ::kill(node.process, number);
    if (number == SIGSTOP || number == SIGCONT)
      node.suspended = number == SIGSTOP;
  }
  void kill(Node& node) {
    if (node.process <= 0)
      return;
    ::kill(node.process, SIGKILL);
    ::waitpid(node.process, nullptr, 0);
    node.process = -1;
  }
  void runFor(double ms) {
    const double until = clock.nowMs() + ms;
    waitFor(io, ms / 1000 + 1, [&] { return clock.nowMs() >= until; });
  }

  // Sends the command to the routers in turn until one of them accepts it.
  bool runAdminCommand(const std::string& line) {
    return waitFor(io, 60, [&] {
      for (auto& node : nodes)
        if (node->process > 0 && !node->suspended &&
            callAdmin(io, node->adminAddress, line).rfind("ok", 0) == 0)
          return true;
      runFor(50);
      return false;
    });
  }

  bool allReady() {
    return waitFor(io, 60, [&] {
      return std::all_of(nodes.begin(), nodes.end(), [&](auto& node) {
        return callAdmin(io, node->adminAddress, "readyz").rfind("ok", 0) == 0;
      });
    });
  }

  json plan() {
    const auto text = store.value(kPrefix + "doc/plan");
    return text ? json::parse(*text) : json();
  }
  bool planDone(const std::string& id) {
    const json current = plan();
    return !current.is_null() && current["id"] == id && current["state"] == "done";
  }
  std::string leaseHolder() {
    const auto text = store.value(kPrefix + "lease/maintenance");
    return text ? json::parse(*text)["holder"]["name"].get<std::string>() : "";
  }
  Node* byName(const std::string& name) {
    for (auto& node : nodes)
      if (node->name == name)
        return node.get();
    return nullptr;
  }
  std::string logs() const {
    std::string text;
    for (const auto& node : nodes) {
      std::ifstream file(folder.path + "/" + node->name + ".log");
      text += "--- " + node->name + "\n" + std::string(std::istreambuf_iterator<char>(file), {});
    }
    return text;
  }
  void expectNoViolations() {
    const auto violations = findViolations(store.history(), kPrefix);
    EXPECT_TRUE(violations.empty()) << ::testing::PrintToString(violations);
  }

  boost::asio::io_context io;
  core::SystemClock clock;
  core::TimerQueue timers;
  net::Loop loop{io, clock, timers};
  EtcdStandIn store{io, clock, timers};
  std::map<std::string, std::unique_ptr<StandInInstance>> instances;
  struct Arrival {
    std::string instance, target;
    double atMs;
  };
  std::vector<Arrival> arrivals;
  TemporaryDirectory folder;
  std::vector<std::unique_ptr<Node>> nodes;

 private:
  std::string program_;
  bool sqlite_;
  std::function<void(json&)> changeConfig_;
};

}  // namespace inference_router
