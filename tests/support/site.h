// Both fronts on the whole program but its signals, between clients and model boxes of a test's
// own.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/server.h"
#include "support/stage.h"

namespace inference_router {

using nlohmann::json;

struct Site {
  struct Kind {
    std::string id, role;
    unsigned cell;
  };

  explicit Site(const std::vector<Kind>& kinds, bool openai) : kinds_(kinds) {
    json boxList = json::array();
    for (const Kind& kind : kinds) {
      auto& box = boxes[kind.id];
      box = std::make_unique<StandInBox>(io, clock, boxDeadlines);
      box->script = kind.role == "read" ? answerRead : streamWhole;
      boxList.push_back({{"id", kind.id},
                         {"address", text(box->address())},
                         {"role", kind.role},
                         {"cell", kind.cell}});
    }
    site = frontend::operatorFileOf(
        {{"listen", "127.0.0.1:0"},
         {"keys",
          {{{"key", "k"}, {"tenant", "club"}}, {{"key", "desk"}, {"class", "membership-changes"}}}},
         {"models", {{"ask", "member-questions"}, {"change", "membership-changes"}}},
         {"default_max_tokens", 100},
         {"boxes", boxList},
         {"settings", siteSettings()}});
    const auto dialect = openai ? frontend::openaiDialect(site) : frontend::platformDialect();
    engine = std::make_unique<app::Engine>(io, clock, site.setup, 7, 100, 30'000, dialect);
    engine->directory = site.directory;
    engine->conductor.onAction([this](const routing::Action& action) {
      decisions.push_back(routing::wire::formatAction(action));
    });
    engine->conductor.list(site.boxes);
    if (openai)
      front =
          std::make_unique<frontend::OpenAiFront>(engine->conductor, site, clock, engine->counters,
                                                  [this] { return "id" + std::to_string(ids++); });
    else
      front = std::make_unique<frontend::PlatformFront>(engine->conductor, site.setup.names, clock,
                                                        engine->counters);
    listener = std::make_unique<net::Listener>(engine->io, anyPort(), 100, *front, clock,
                                               engine->deadlines, engine->counters);
    clients = std::make_unique<net::Pool>(io, clock, boxDeadlines, ownCounters,
                                          net::Pool::Limits{100, 1000, 100'000});
  }
  ~Site() {
    clients.reset();
    for (const auto& [name, value] : engine->counters.all())
      if (name.rfind("invariants.violated.", 0) == 0)
        ADD_FAILURE() << name << " " << value;
  }

  static std::string text(const net::Endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
  }
  bool until(const std::function<bool()>& met) { return inference_router::until(io, met); }
  void pass(double ms) {
    clock.advance(ms);
    engine->deadlines.runDue(clock.nowMs());
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
    for (const auto& [id, box] : boxes)
      all += box->chats();
    return all;
  }
  StandInBox::Taken* streaming() {
    for (const auto& [id, box] : boxes)
      for (const auto& taken : box->taken)
        if (taken->connection->state() == net::ClientConnection::State::kStreaming)
          return taken.get();
    return nullptr;
  }

  boost::asio::io_context io;  // of the stand-ins
  core::ManualClock clock;
  core::Deadlines boxDeadlines;
  core::Counters ownCounters;
  std::vector<Kind> kinds_;
  std::map<std::string, std::unique_ptr<StandInBox>> boxes;
  frontend::OperatorFile site;
  std::unique_ptr<app::Engine> engine;
  std::unique_ptr<frontend::Front> front;
  std::unique_ptr<net::Listener> listener;
  std::unique_ptr<net::Pool> clients;
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
inline void beginOnly(StandInBox&, StandInBox::Taken& taken) {
  taken.connection->beginStream({});
  taken.connection->pass(eventOf("first"));
}
inline void leaveSilent(StandInBox&, StandInBox::Taken&) {}

inline net::Fields platformFields(const std::string& id) {
  return {{"X-Call-Id", id},       {"X-Call-Class", "membership-changes"},
          {"X-Caller", "club"},    {"X-Route-Hash", "s"},
          {"X-Budget-Ms", "6000"}, {"X-Call-Info", "prompt_len=100,max_out=50"}};
}

}  // namespace inference_router
