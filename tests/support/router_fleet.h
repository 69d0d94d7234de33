// Many routers, as the program itself, with one store between them and a layer of faults between
// each and the store.
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

inline bool waitFor(boost::asio::io_context& io, double seconds, const std::function<bool()>& met) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (!met()) {
    if (std::chrono::steady_clock::now() > limit)
      return false;
    io.restart();
    if (io.poll() == 0)
      io.run_one_for(std::chrono::milliseconds(5));
  }
  return true;
}

// Instances that answer reads and streams at once, and write down what comes, when, and from whom.
struct RouterFleet {
  struct Node {
    std::string name;
    std::unique_ptr<FaultProxy> proxy;
    net::Endpoint listen, adminAddress;
    std::string configPath;
    pid_t process = -1;
    bool stopped = false;
  };

  // sqlite: they share a file in place of the stand-in. change: of each one's file.
  RouterFleet(std::size_t count,
              const std::vector<std::string>& instanceNames,
              std::string program = INFERENCE_ROUTER_PROGRAM,
              bool sqlite = false,
              std::function<void(json&)> change = nullptr)
      : program_(std::move(program)), sqlite_(sqlite), change_(std::move(change)) {
    for (const std::string& name : instanceNames) {
      instances[name] = std::make_unique<StandInInstance>(io, clock, timers);
      instances[name]->script = [this, name](StandInInstance& instance,
                                             StandInInstance::Taken& taken) {
        arrivals.push_back({name, taken.target, clock.nowMs()});
        streamWhole(instance, taken);
      };
    }
    for (std::size_t i = 0; i < count; ++i) {
      auto one = std::make_unique<Node>();
      one->name = "c" + std::to_string(i + 1);
      one->proxy = std::make_unique<FaultProxy>(io, store.address());
      one->listen = freePort();
      one->adminAddress = freePort();
      one->configPath = folder.path + "/" + one->name + ".json";
      std::ofstream(one->configPath) << configOf(*one).dump();
      nodes.push_back(std::move(one));
    }
    for (auto& one : nodes)
      start(*one);
  }
  ~RouterFleet() {
    for (auto& one : nodes)
      kill(*one);
  }

  json configOf(const Node& one) const {
    json settings = siteSettings();
    settings["contract"]["coldMs"] = 200.0;
    json listed = json::array();
    for (const auto& [name, instance] : instances)
      listed.push_back(
          {{"id", name}, {"address", textOf(instance->address())}, {"role", "both"}, {"cell", 0}});
    json file{{"listen", textOf(one.listen)},
              {"admin_addr", textOf(one.adminAddress)},
              {"keys", {{{"key", "k"}, {"tenant", "club"}}}},
              {"models", {{"m", "member-questions"}}},
              {"boxes", listed},
              {"settings", settings},
              {"coordination",
               {{"name", one.name},
                {"store", sqlite_ ? json{{"kind", "sqlite"}, {"path", folder.path + "/shared.db"}}
                                  : json{{"kind", "etcd"},
                                         {"endpoints", {textOf(one.proxy->address())}},
                                         {"prefix", kPrefix}}},
                {"lease_s", kLeaseMs / 1000},
                {"answer_ms", 200},
                {"step_ms", 200},
                {"spread_ms", 20},
                {"watch_ms", 100},
                {"maintenance", {{"silent_node_s", 4}, {"period_ms", 30}}},
                {"cleanup", {{"gone_s", 60}, {"period_ms", 500}}}}}};
    if (change_)
      change_(file);
    return file;
  }

  void start(Node& one) {
    const std::string log = folder.path + "/" + one.name + ".log";
    one.process = ::fork();
    if (one.process == 0) {
      if (std::freopen(log.c_str(), "a", stderr) == nullptr)
        ::_exit(126);
      ::execl(program_.c_str(), program_.c_str(), "serve", "--operator", one.configPath.c_str(),
              nullptr);
      ::_exit(127);
    }
    one.stopped = false;
  }
  void signal(Node& one, int number) {
    if (one.process > 0)
      ::kill(one.process, number);
    if (number == SIGSTOP || number == SIGCONT)
      one.stopped = number == SIGSTOP;
  }
  void kill(Node& one) {
    if (one.process <= 0)
      return;
    ::kill(one.process, SIGKILL);
    ::waitpid(one.process, nullptr, 0);
    one.process = -1;
  }
  void runFor(double ms) {
    const double until = clock.nowMs() + ms;
    waitFor(io, ms / 1000 + 1, [&] { return clock.nowMs() >= until; });
  }

  // Says it at whichever door answers with a yes.
  bool runAdminCommand(const std::string& line) {
    return waitFor(io, 60, [&] {
      for (auto& one : nodes)
        if (one->process > 0 && !one->stopped &&
            callAdmin(io, one->adminAddress, line).rfind("ok", 0) == 0)
          return true;
      runFor(50);
      return false;
    });
  }

  bool allReady() {
    return waitFor(io, 60, [&] {
      return std::all_of(nodes.begin(), nodes.end(), [&](auto& one) {
        return callAdmin(io, one->adminAddress, "readyz").rfind("ok", 0) == 0;
      });
    });
  }

  json plan() {
    const auto text = store.value(kPrefix + "doc/plan");
    return text ? json::parse(*text) : json();
  }
  bool planDone(const std::string& id) {
    const json now = plan();
    return !now.is_null() && now["id"] == id && now["state"] == "done";
  }
  std::string leaseHolder() {
    const auto text = store.value(kPrefix + "lease/maintenance");
    return text ? json::parse(*text)["holder"]["name"].get<std::string>() : "";
  }
  Node* byName(const std::string& name) {
    for (auto& one : nodes)
      if (one->name == name)
        return one.get();
    return nullptr;
  }
  std::string logs() const {
    std::string text;
    for (const auto& one : nodes) {
      std::ifstream file(folder.path + "/" + one->name + ".log");
      text += "--- " + one->name + "\n" + std::string(std::istreambuf_iterator<char>(file), {});
    }
    return text;
  }
  void expectNoViolations() {
    const auto broken = findViolations(store.history(), kPrefix);
    EXPECT_TRUE(broken.empty()) << ::testing::PrintToString(broken);
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
  Folder folder;
  std::vector<std::unique_ptr<Node>> nodes;

 private:
  std::string program_;
  bool sqlite_;
  std::function<void(json&)> change_;
};

}  // namespace inference_router
