// Both fronts on the whole program but its signals, between clients and instances of a test's
// own.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/server.h"
#include "message_codec.h"
#include "support/stage.h"

namespace inference_router {

using nlohmann::json;

struct Site {
  struct Kind {
    std::string id, role;
    unsigned cell;
  };

  explicit Site(const std::vector<Kind>& kinds, bool openai) : kinds_(kinds) {
    json instanceList = json::array();
    for (const Kind& kind : kinds) {
      auto& instance = instances[kind.id];
      instance = std::make_unique<StandInInstance>(io, clock, instanceDeadlines);
      instance->script = kind.role == "read" ? answerRead : streamWhole;
      instanceList.push_back({{"id", kind.id},
                              {"address", text(instance->address())},
                              {"role", kind.role},
                              {"cell", kind.cell}});
    }
    site = frontend::operatorFileOf(
        {{"listen", "127.0.0.1:0"},
         {"keys",
          {{{"key", "k"}, {"tenant", "club"}}, {{"key", "desk"}, {"class", "membership-changes"}}}},
         {"models", {{"ask", "member-questions"}, {"change", "membership-changes"}}},
         {"default_max_tokens", 100},
         {"boxes", instanceList},
         {"settings", siteSettings()}});
    const auto dialect = openai ? frontend::openaiProtocol(site) : frontend::platformProtocol();
    server = std::make_unique<app::Server>(
        io, clock, site.setup,
        app::ServerOptions{
            .seed = 7, .instanceConnections = 100, .idleCloseMs = 30'000, .protocol = dialect});
    server->directory = site.directory;
    server->dispatcher.onAction([this](const routing::Action& action) {
      decisions.push_back(routing::wire::formatAction(action));
    });
    server->dispatcher.list(site.instances);
    if (openai)
      front =
          std::make_unique<frontend::OpenAiFront>(server->dispatcher, site, clock, server->counters,
                                                  [this] { return "id" + std::to_string(ids++); });
    else
      front = std::make_unique<frontend::PlatformFront>(server->dispatcher, site.setup.names, clock,
                                                        server->counters);
    listener = std::make_unique<net::Listener>(server->io, anyPort(), 100, *front, clock,
                                               server->timers, server->counters);
    clients = std::make_unique<net::ConnectionPool>(
        io, clock, instanceDeadlines, ownCounters, net::ConnectionPool::Limits{100, 1000, 100'000});
  }
  ~Site() {
    clients.reset();
    for (const auto& [name, value] : server->counters.all())
      if (name.rfind("invariants.violated.", 0) == 0)
        ADD_FAILURE() << name << " " << value;
  }

  static std::string text(const net::Endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
  }
  bool until(const std::function<bool()>& met) { return inference_router::until(io, met); }
  void pass(double ms) {
    clock.advance(ms);
    server->timers.runDue(clock.nowMs());
  }
  std::shared_ptr<Reply> post(const std::string& target,
                              net::Fields fields,
                              const std::string& body) {
    const auto reply = std::make_shared<Reply>();
    last = clients->call(listener->address(),
                         messageText("POST " + target + " HTTP/1.1", std::move(fields), body),
                         nullptr, reply);
    return reply;
  }
  std::shared_ptr<Reply> chat(json body, const std::string& key = "k") {
    if (!body.contains("messages"))
      body["messages"] = {{{"role", "system"}, {"content", "You help members."}},
                          {{"role", "user"}, {"content", "When do you open?"}}};
    return post("/v1/chat/completions", {{"Authorization", "Bearer " + key}}, body.dump());
  }
  std::shared_ptr<Reply> finished(const std::shared_ptr<Reply>& reply) {
    EXPECT_TRUE(until([&] { return reply->over; }));
    return reply;
  }
  int chats() const {
    int all = 0;
    for (const auto& [id, instance] : instances)
      all += instance->chats();
    return all;
  }
  StandInInstance::Taken* streaming() {
    for (const auto& [id, instance] : instances)
      for (const auto& taken : instance->taken)
        if (taken->connection->state() == net::ClientConnection::State::kStreaming)
          return taken.get();
    return nullptr;
  }

  boost::asio::io_context io;  // of the stand-ins
  core::ManualClock clock;
  core::TimerQueue instanceDeadlines;
  core::Counters ownCounters;
  std::vector<Kind> kinds_;
  std::map<std::string, std::unique_ptr<StandInInstance>> instances;
  frontend::OperatorFile site;
  std::unique_ptr<app::Server> server;
  std::unique_ptr<frontend::Front> front;
  std::unique_ptr<net::Listener> listener;
  std::unique_ptr<net::ConnectionPool> clients;
  std::shared_ptr<net::Call> last;
  std::vector<std::string> decisions;
  int ids = 0;
};

inline const std::vector<Site::Kind> kMixed{{"m1", "both", 0},
                                            {"m2", "both", 0},
                                            {"m3", "both", 1}};
inline const std::vector<Site::Kind> kSplit{{"r1", "read", 0},
                                            {"r2", "read", 1},
                                            {"w1", "write", 0},
                                            {"w2", "write", 0},
                                            {"w3", "write", 1}};

// A script that begins a stream and leaves the rest to the test.
inline void beginOnly(StandInInstance&, StandInInstance::Taken& taken) {
  taken.connection->beginStream({});
  taken.connection->writeChunk(eventOf("first"));
}
inline void leaveSilent(StandInInstance&, StandInInstance::Taken&) {}

inline net::Fields platformFields(const std::string& id) {
  return {{"X-Call-Id", id},       {"X-Call-Class", "membership-changes"},
          {"X-Caller", "club"},    {"X-Route-Hash", "s"},
          {"X-Budget-Ms", "6000"}, {"X-Call-Info", "prompt_len=100,max_out=50"}};
}

}  // namespace inference_router
