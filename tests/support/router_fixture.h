// Test support for the whole program except its signal handling: one router behind either front,
// between clients and instances that the test controls.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/server.h"
#include "message_codec.h"
#include "support/network_fixture.h"

namespace inference_router {

using nlohmann::json;

// One router, its instances, and a pool through which the test sends client requests. Fails the
// test if the router counted a violation of an invariant.
struct RouterFixture {
  struct Kind {
    std::string id, role;
    unsigned cell;
  };

  explicit RouterFixture(const std::vector<Kind>& kinds, bool openai) : kinds_(kinds) {
    json instanceList = json::array();
    for (const Kind& kind : kinds) {
      auto& instance = instances[kind.id];
      instance = std::make_unique<StandInInstance>(io, clock, instanceDeadlines);
      instance->script = kind.role == "read" ? answerPrefill : streamFullAnswer;
      instanceList.push_back({{"id", kind.id},
                              {"address", text(instance->address())},
                              {"role", kind.role},
                              {"cell", kind.cell}});
    }
    operatorFile = frontend::operatorFileOf(
        {{"listen", "127.0.0.1:0"},
         {"keys",
          {{{"key", "k"}, {"tenant", "club"}}, {{"key", "desk"}, {"class", "membership-changes"}}}},
         {"models", {{"ask", "member-questions"}, {"change", "membership-changes"}}},
         {"default_max_tokens", 100},
         {"boxes", instanceList},
         {"settings", siteSettings()}});
    const auto dialect =
        openai ? frontend::openaiProtocol(operatorFile) : frontend::platformProtocol();
    server = std::make_unique<app::Server>(
        io, clock, operatorFile.setup,
        app::ServerOptions{
            .seed = 7, .instanceConnections = 100, .idleCloseMs = 30'000, .protocol = dialect});
    server->directory = operatorFile.directory;
    server->dispatcher.onAction([this](const routing::Action& action) {
      decisions.push_back(routing::wire::formatAction(action));
    });
    server->dispatcher.list(operatorFile.instances);
    if (openai)
      front = std::make_unique<frontend::OpenAiFront>(
          server->dispatcher, operatorFile, clock, server->counters,
          [this] { return "id" + std::to_string(nextId++); });
    else
      front = std::make_unique<frontend::PlatformFront>(
          server->dispatcher, operatorFile.setup.names, clock, server->counters);
    listener = std::make_unique<net::Listener>(server->io, anyPort(), 100, *front, clock,
                                               server->timers, server->counters);
    clients =
        std::make_unique<net::ConnectionPool>(io, clock, instanceDeadlines, clientCounters,
                                              net::ConnectionPool::Limits{100, 1000, 100'000});
  }
  ~RouterFixture() {
    clients.reset();
    for (const auto& [name, value] : server->counters.all())
      if (name.rfind("invariants.violated.", 0) == 0)
        ADD_FAILURE() << name << " " << value;
  }

  static std::string text(const net::Endpoint& at) { return net::textOf(at); }
  bool until(const std::function<bool()>& condition) {
    return inference_router::until(io, condition);
  }
  // Advances the clock and runs the router's timers that are due.
  void pass(double ms) {
    clock.advance(ms);
    server->timers.runDue(clock.nowMs());
  }
  std::shared_ptr<Reply> post(const std::string& target,
                              net::Fields fields,
                              const std::string& body) {
    const auto reply = std::make_shared<Reply>();
    lastCall = clients->call(listener->address(),
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
  // Waits for the end of the reply.
  std::shared_ptr<Reply> finished(const std::shared_ptr<Reply>& reply) {
    EXPECT_TRUE(until([&] { return reply->over; }));
    return reply;
  }
  // How many attempts have arrived at all instances.
  int chats() const {
    int total = 0;
    for (const auto& [id, instance] : instances)
      total += instance->chats();
    return total;
  }
  // The first attempt whose instance is streaming its response; null if there is none.
  StandInInstance::ReceivedRequest* streaming() {
    for (const auto& [id, instance] : instances)
      for (const auto& request : instance->received)
        if (request->connection->state() == net::ClientConnection::State::kStreaming)
          return request.get();
    return nullptr;
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::TimerQueue instanceDeadlines;  // timers of the instances and of the client's calls
  core::Counters clientCounters;
  std::vector<Kind> kinds_;
  std::map<std::string, std::unique_ptr<StandInInstance>> instances;
  frontend::OperatorFile operatorFile;
  std::unique_ptr<app::Server> server;
  std::unique_ptr<frontend::Front> front;
  std::unique_ptr<net::Listener> listener;
  std::unique_ptr<net::ConnectionPool> clients;
  std::shared_ptr<net::Call> lastCall;  // of the client's
  std::vector<std::string> decisions;   // formatted actions of the decision module
  int nextId = 0;
};

// Instances that prefill and decode.
inline const std::vector<RouterFixture::Kind> kMixed{{"m1", "both", 0},
                                                     {"m2", "both", 0},
                                                     {"m3", "both", 1}};
// Separate prefill ("read") and decode ("write") instances.
inline const std::vector<RouterFixture::Kind> kSplit{{"r1", "read", 0},
                                                     {"r2", "read", 1},
                                                     {"w1", "write", 0},
                                                     {"w2", "write", 0},
                                                     {"w3", "write", 1}};

// A script that sends the first event of a stream and leaves the rest to the test.
inline void beginOnly(StandInInstance&, StandInInstance::ReceivedRequest& request) {
  request.connection->beginStream({});
  request.connection->writeChunk(eventOf("first"));
}
// A script that sends nothing.
inline void leaveUnanswered(StandInInstance&, StandInInstance::ReceivedRequest&) {}

// The headers of a platform client's request, whose deadline is 6 s.
inline net::Fields platformFields(const std::string& id) {
  return {{"X-Call-Id", id},       {"X-Call-Class", "membership-changes"},
          {"X-Caller", "club"},    {"X-Route-Hash", "s"},
          {"X-Budget-Ms", "6000"}, {"X-Call-Info", "prompt_len=100,max_out=50"}};
}

}  // namespace inference_router
