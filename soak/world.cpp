#include "world.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>

#include "emulator.h"
#include "net/loop.h"
#include "settings.h"

namespace dahliastall::soak {

namespace {

using nlohmann::json;

constexpr double kReadyMs = 10'000;  // allowed from the start of a process
constexpr double kFrontMs = 300;     // after SIGTERM the front layer goes on sending
constexpr double kKilledMs = 3'700;  // after SIGTERM; what is to be answered is answered by then
constexpr double kStopMs = 150;      // that a conductor may be held up
constexpr double kWarmUpMs = 1'500;  // of clients, before any trouble
constexpr double kLookMs = 10;
constexpr std::uint16_t kFirstPort = 21'000;

class World {
 public:
  World(const Plan& plan, const Programs& programs, std::string folder)
      : plan_(plan),
        programs_(programs),
        folder_(std::move(folder)),
        loop_(io_, clock_, deadlines_),
        stage_{io_, clock_, deadlines_, counters_, ledger_, std::mt19937_64(plan.seed + 1)},
        startedMs_(clock_.nowMs()) {
    addInstances();
    addConductors();
  }

  Outcome run() {
    begin();
    runUntil(startedMs_ + kWarmUpMs + plan_.lengthMs, [] { return false; });
    for (auto& node : nodes_)
      for (auto& client : node->clients) client->stop();
    runUntil(clock_.nowMs() + 5'500, [this] { return allQuiet(); });
    finish();
    Outcome outcome{ledger_.judge(kDrainGraceMs), ledger_.size(), ledger_.served(), ledger_.undecided()};
    return outcome;
  }

 private:
  struct Node {
    std::unique_ptr<Agent> agent;
    std::unique_ptr<ConductorProcess> process;
    std::vector<std::unique_ptr<Client>> clients;
    std::map<int, double> drainToldMs;  // by instance
    std::optional<double> readyByMs, endsByMs;
    bool expectedEnd = false;
    std::shared_ptr<net::Call> asking;
  };

  // Asks whether a conductor is ready, again and again.
  class ReadyCall final : public net::CallSink {
   public:
    ReadyCall(World& world, Node& node) : world_(world), node_(node) {}
    void head(const net::ResponseHead& head) override { ready_ = head.result_int() == 200; }
    void done() override { world_.asked(node_, ready_); }
    void failed(net::CallFailure) override { world_.asked(node_, false); }

   private:
    World& world_;
    Node& node_;
    bool ready_ = false;
  };

  net::Endpoint nextAddress() {
    const auto own = static_cast<std::uint32_t>(::getpid()) & 0x3fffff;
    return {boost::asio::ip::address_v4(0x7f800000 | own),
            ++port_};  // in 127.128.0.0/10, of this process alone
  }

  void addInstances() {
    constexpr std::array kKinds{"reader", "writer", "mixed"};
    for (int i = 0; i < plan_.instances; ++i) {
      instances_.push_back(std::make_unique<Instance>(
          stage_, i, kKinds.at(static_cast<std::size_t>(i) % kKinds.size()), nextAddress(),
          [this](int node, int instance) { return drainTold(node, instance); }));
      leaving_.push_back(false);
    }
  }

  void addConductors() {
    for (int i = 0; i < plan_.conductors; ++i) {
      const std::string own = folder_ + "/" + std::to_string(i);
      std::filesystem::create_directories(own);
      auto node = std::make_unique<Node>();
      node->agent = std::make_unique<Agent>(stage_, nextAddress());
      node->agent->list(listOf(true), "");
      node->process =
          std::make_unique<ConductorProcess>(programs_, own, nextAddress(), node->agent->address());
      node->process->faults(rulesOf(i));
      for (int k = 0; k < plan_.clients; ++k)
        node->clients.push_back(std::make_unique<Client>(stage_, i, k, node->process->address()));
      nodes_.push_back(std::move(node));
    }
  }

  std::vector<std::string> rulesOf(int conductor) const {
    std::vector<std::string> rules;
    for (const PlannedTrouble& trouble : plan_.troubles) {
      if (trouble.trouble != Trouble::kSystemCalls || trouble.target % plan_.conductors != conductor)
        continue;
      const double from = monotonicMs(startedMs_ + kWarmUpMs + trouble.atMs);
      rules.push_back(trouble.rule + " from=" + std::to_string(from) +
                      " until=" + std::to_string(from + trouble.forMs));
    }
    return rules;
  }

  // The fault library counts on the machine's monotonic clock.
  double monotonicMs(double atMs) const {
    const std::chrono::duration<double, std::milli> now = std::chrono::steady_clock::now().time_since_epoch();
    return now.count() + (atMs - clock_.nowMs());
  }

  std::optional<double> drainTold(int node, int instance) const {
    const auto& told = nodes_.at(static_cast<std::size_t>(node))->drainToldMs;
    const auto it = told.find(instance);
    return it == told.end() ? std::nullopt : std::optional(it->second);
  }

  json memberOf(int instance) const {
    const auto at = static_cast<std::size_t>(instance);
    return {{"id", "s-" + std::to_string(instance)},
            {"host_port", textOf(instances_[at]->address())},
            {"locality", "z"},
            {"flavor", instances_[at]->kind()},
            {"cell", 0},
            {"phase", leaving_[at] ? "leaving" : "active"},
            {"size", 1.0},
            {"up_since_ms", 0}};
  }

  std::string listOf(bool complete, int only = -1) const {
    json members = json::array();
    for (int i = 0; i < plan_.instances; ++i)
      if (only < 0 || only == i) members.push_back(memberOf(i));
    return json{{"revision", revision_}, {"complete", complete}, {"members", members}}.dump() + "\n";
  }

  void begin() {
    for (auto& node : nodes_) startProcess(*node);
    for (const PlannedTrouble& trouble : plan_.troubles)
      stage_.after(kWarmUpMs + trouble.atMs, [this, &trouble] { befall(trouble); });
    look();
  }

  void startProcess(Node& node) {
    node.process->start();
    node.readyByMs = clock_.nowMs() + kReadyMs;
    node.endsByMs.reset();
    node.expectedEnd = false;
    for (auto& client : node.clients) client->pause();
    ask(node);
  }

  void ask(Node& node) {
    node.asking =
        probes_.call(node.process->address(),
                     net::headText("GET /-/ready HTTP/1.1", {{"Host", "soak"}, {"Connection", "close"}}),
                     nullptr, std::make_shared<ReadyCall>(*this, node));
  }

  void asked(Node& node, bool ready) {
    node.asking = nullptr;
    if (!node.readyByMs || !node.process->running()) return;
    if (!ready) {
      stage_.after(50, [this, &node] {
        if (node.readyByMs && !node.asking) ask(node);
      });
      return;
    }
    node.readyByMs.reset();
    for (auto& client : node.clients) {
      client->resume();
      if (!begun_.count(client.get())) client->start();
      begun_.insert(client.get());
    }
  }

  void befall(const PlannedTrouble& trouble) {
    Node& node = *nodes_[static_cast<std::size_t>(trouble.target % plan_.conductors)];
    const int instance = trouble.target % plan_.instances;
    Instance& at = *instances_[static_cast<std::size_t>(instance)];
    switch (trouble.trouble) {
      case Trouble::kSystemCalls:
        return;  // in the process's own plan
      case Trouble::kTerminate:
        return terminate(node);
      case Trouble::kKill:
        return kill(node);
      case Trouble::kStop:
        node.process->signal(SIGSTOP);
        return stage_.after(std::min(trouble.forMs, kStopMs), [&node] { node.process->signal(SIGCONT); });
      case Trouble::kReload:
        return node.process->signal(SIGHUP);
      case Trouble::kDrain:
        return drain(instance);
      case Trouble::kHang:
        return at.behave(Behaviour::kHangs, trouble.forMs);
      case Trouble::kReset:
        return at.behave(Behaviour::kResets, trouble.forMs);
      case Trouble::kReject:
        return at.behave(Behaviour::kRejects, trouble.forMs);
      case Trouble::kDiscoveryDown:
        return node.agent->down(trouble.forMs);
    }
  }

  void terminate(Node& node) {
    if (!node.process->running() || node.readyByMs || node.endsByMs) return;
    node.process->signal(SIGTERM);
    node.expectedEnd = true;
    node.endsByMs = clock_.nowMs() + kKilledMs;
    stage_.after(kFrontMs, [&node] {
      for (auto& client : node.clients) client->pause();
    });
  }

  void kill(Node& node) {
    if (!node.process->running()) return;
    node.expectedEnd = true;
    for (auto& client : node.clients) client->doubt();
    node.process->signal(SIGKILL);
  }

  void drain(int instance) {
    leaving_[static_cast<std::size_t>(instance)] = true;
    ++revision_;
    const double now = clock_.nowMs();
    for (auto& node : nodes_) {
      node->agent->list(listOf(true), listOf(false, instance));
      node->drainToldMs.emplace(instance, now + kToldSlackMs);
    }
  }

  // Processes that have ended, or should have.
  void look() {
    for (auto& node : nodes_) lookAt(*node);
    stage_.after(kLookMs, [this] { look(); });
  }

  void lookAt(Node& node) {
    const double now = clock_.nowMs();
    const std::string name = textOf(node.process->address());
    if (node.readyByMs && now > *node.readyByMs) {
      ledger_.breaks("ready", name + " is not ready in time");
      node.readyByMs.reset();
    }
    if (node.endsByMs && now > *node.endsByMs) {
      for (auto& client : node.clients) client->doubt();
      ledger_.breaks("end", name + " still runs when it is killed");
      node.process->signal(SIGKILL);
      node.endsByMs.reset();
    }
    const auto status = node.process->ended();
    if (!status) return;
    if (!node.expectedEnd || (node.endsByMs && *status != 0))
      ledger_.breaks("crash", name + " ended with " + std::to_string(*status));
    if (!finishing_) startProcess(node);
  }

  bool allQuiet() const {
    for (const auto& node : nodes_)
      for (const auto& client : node->clients)
        if (client->busy()) return false;
    return true;
  }

  void finish() {
    finishing_ = true;
    for (auto& node : nodes_) terminate(*node);
    runUntil(clock_.nowMs() + kKilledMs + 500, [this] {
      return std::none_of(nodes_.begin(), nodes_.end(),
                          [](const auto& node) { return node->process->running(); });
    });
    for (auto& node : nodes_)
      for (const std::string& line : node->process->logged("invariant violated"))
        ledger_.breaks("invariant", line);
  }

  template <typename Met>
  void runUntil(double atMs, const Met& met) {
    while (clock_.nowMs() < atMs && !met()) io_.run_one_for(std::chrono::milliseconds(5));
  }

  static constexpr double kToldSlackMs = 5;

  Plan plan_;
  Programs programs_;
  std::string folder_;
  boost::asio::io_context io_;
  core::SystemClock clock_;
  core::Deadlines deadlines_;
  core::Counters counters_;
  net::Loop loop_;
  Ledger ledger_;
  Stage stage_;
  double startedMs_;
  std::uint16_t port_ = kFirstPort;
  int revision_ = 1;
  std::vector<bool> leaving_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<const Client*> begun_;
  net::Pool probes_{io_, clock_, deadlines_, counters_, {64, 500, 1'000}};
  bool finishing_ = false;
};

}  // namespace

Outcome play(const Plan& plan, const Programs& programs, const std::string& folder) {
  World world(plan, programs, folder);
  return world.run();
}

}  // namespace dahliastall::soak
