// One final answer for each request, in its time, whatever instances, other clients and discovery
// do.
#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <thread>

#include "frontend/platform/discovery.h"
#include "support/site.h"

namespace inference_router {
namespace {

using State = net::ClientConnection::State;

constexpr double kDeadlineMs = 6'000;      // as platformFields() says it
constexpr double kSlackMs = 500;           // beyond it an answer is late
constexpr double kSilentStreamMs = 5'000;  // that a client may be left waiting in a stream
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// ---- Instances that misbehave
// ------------------------------------------------------------------------

// An instance at the level of bytes: each connection gets a beginning once its request has come,
// and then the same piece again and again, as fast as it is taken or once in every so many
// milliseconds.
class BrokenInstance {
 public:
  struct Way {
    std::string name, begins, goesOn;
    double everyMs;  // 0: as fast as it is taken
  };

  BrokenInstance(Site& site, Way way)
      : site_(site), way_(std::move(way)), acceptor_(io_, anyPort()) {
    accept();
  }
  // So much of its work, that of the site included, as one turn may take: a flood never comes to
  // rest.
  void turn() {
    for (int i = 0; i < kSteps; ++i) {
      io_.restart();
      site_.io.restart();
      const std::size_t own = io_.poll_one(), others = site_.io.poll_one();
      if (own + others == 0)
        return;
    }
  }
  bool until(const std::function<bool()>& met) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!met()) {
      if (std::chrono::steady_clock::now() > limit)
        return false;
      turn();
    }
    return true;
  }
  net::Endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t requests() const { return requests_; }

 private:
  struct Peer {
    explicit Peer(tcp::socket taken) : socket(std::move(taken)) {}
    tcp::socket socket;
    std::array<char, 4096> read{};
    std::string out;
  };

  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error)
        return;
      peers_.push_back(std::make_shared<Peer>(std::move(socket)));
      serve(peers_.back());
      accept();
    });
  }
  void serve(const std::shared_ptr<Peer>& peer) {
    peer->socket.async_read_some(boost::asio::buffer(peer->read),
                                 [this, peer](const boost::system::error_code& error, std::size_t) {
                                   if (error)
                                     return;
                                   ++requests_;
                                   write(peer, way_.begins);
                                 });
  }
  void write(const std::shared_ptr<Peer>& peer, const std::string& bytes) {
    peer->out = bytes;
    boost::asio::async_write(peer->socket, boost::asio::buffer(peer->out),
                             [this, peer](const boost::system::error_code& error, std::size_t) {
                               if (error || way_.goesOn.empty())
                                 return;
                               if (way_.everyMs == 0)
                                 return write(peer, way_.goesOn);
                               site_.server->timers.runAt(site_.clock.nowMs() + way_.everyMs,
                                                          [this, weak = std::weak_ptr(peer)] {
                                                            if (const auto open = weak.lock())
                                                              write(open, way_.goesOn);
                                                          });
                             });
  }

  static constexpr int kSteps = 400;

  boost::asio::io_context io_;
  Site& site_;
  Way way_;
  std::vector<std::shared_ptr<Peer>> peers_;
  tcp::acceptor acceptor_;
  std::size_t requests_ = 0;
};

std::vector<BrokenInstance::Way> ways() {
  const auto chunk = [](const std::string& part) { return net::encodeChunk(part); };
  const std::string begun = kStreamHead + chunk(eventOf("first"));
  std::string events;
  for (int i = 0; i < 200; ++i)
    events += eventOf("flood");
  return {{"silence", "", "", 0},
          {"silence within the head", "HTTP/1.1 200 OK\r\nA", "", 0},
          {"a head without end", "HTTP/1.1 200 OK\r\n", "A: " + std::string(500, 'a') + "\r\n", 0},
          {"a slow head without end", "HTTP/1.1 200 OK\r\n", "A: a\r\n", 300},
          {"interim answers without end", "", "HTTP/1.1 102 Processing\r\n\r\n", 0},
          {"slow interim answers without end", "", "HTTP/1.1 102 Processing\r\n\r\n", 700},
          {"a first event without end", kStreamHead,
           chunk(std::string("data:") + std::string(4000, 'x')), 0},
          {"a slow first event without end", kStreamHead + chunk("data: "), chunk("x"), 500},
          {"a later event without end", begun + chunk("data: "), chunk(std::string(4000, 'x')), 0},
          {"a slow later event without end", begun + chunk("data: "), chunk("x"), 500},
          {"silence within a stream", begun, "", 0},
          {"silence within an event", begun + chunk("data: {"), "", 0},
          {"silence within a chunk", begun + "ff\r\ndata: ", "", 0},
          {"noise", "\x01\x02\x03\r\n\r\n", "noise", 0},
          {"noise within a stream", begun + chunk("noise"), chunk("noise"), 0},
          {"events without end", begun, chunk(events), 0},
          {"events behind the last one", begun + chunk(kLastEvents), chunk(events), 0}};
}

// A lone instance misbehaves; one client more than the other asks while it does.
TEST(FinalAnswers, ComeInTimeFromInstancesThatMisbehave) {
  for (const auto& way : ways()) {
    SCOPED_TRACE(way.name);
    Site site({{"m1", "both", 0}}, false);
    BrokenInstance broken(site, way);
    site.server->directory.find({"m1"})->address = broken.address();
    const auto reply = site.post("/v1/x", platformFields("a"), "{}");
    const auto other = site.post("/v1/x", platformFields("b"), "{}");
    std::optional<double> begunMs;
    const auto allOver = [&] { return reply->over && other->over; };
    for (double ms = 0; ms < kDeadlineMs + kSilentStreamMs && !allOver(); ms += 20) {
      site.pass(20);
      site.instanceDeadlines.runDue(site.clock.nowMs());
      broken.turn();
      for (const auto& one : {reply, other}) {
        if (!one->text.empty() && !begunMs)
          begunMs = ms;
        if (one->over)
          continue;
        EXPECT_LT(ms, one->status == 200 ? begunMs.value_or(ms) + kSilentStreamMs
                                         : kDeadlineMs + kSlackMs);
      }
    }
    ASSERT_TRUE(broken.until(allOver));
    EXPECT_GT(broken.requests(), 0U);
    // A whole answer: an error, or a stream that broke off in the end.
    for (const auto& one : {reply, other})
      EXPECT_TRUE(one->whole ? one->status >= 500 : one->status == 200);
    EXPECT_EQ(site.server->counters["requests.overdue"], 0U);
    EXPECT_EQ(site.server->dispatcher.open(), 0U);
  }
}

// Most of the instances misbehave, and the others serve what can be served.
TEST(FinalAnswers, AreServedBySoundInstancesBesideOnesThatMisbehave) {
  for (const auto& way : ways()) {
    SCOPED_TRACE(way.name);
    Site site(kMixed, false);
    BrokenInstance broken(site, way);
    site.server->directory.find({"m1"})->address = broken.address();
    site.server->directory.find({"m2"})->address = broken.address();
    std::vector<std::shared_ptr<Reply>> replies;
    for (int i = 0; i < 6; ++i) {
      net::Fields fields = platformFields("id" + std::to_string(i));
      fields[1].second = "member-questions";  // may be sent again
      fields[3].second = "session" + std::to_string(i);
      replies.push_back(site.post("/v1/x", fields, "{}"));
    }
    const auto over = [&] {
      return std::all_of(replies.begin(), replies.end(),
                         [](const auto& reply) { return reply->over; });
    };
    for (double ms = 0; ms < kDeadlineMs + kSlackMs && !over(); ms += 20) {
      site.pass(20);
      site.instanceDeadlines.runDue(site.clock.nowMs());
      broken.turn();
    }
    EXPECT_TRUE(over());
    EXPECT_TRUE(std::any_of(replies.begin(), replies.end(), [](const auto& reply) {
      return reply->whole && reply->status == 200;
    }));
    EXPECT_EQ(site.server->counters["requests.overdue"], 0U);
  }
}

// ---- Clients that stall or flood
// -------------------------------------------------------------------------

std::string ask(const std::string& id) {
  net::Fields fields = platformFields(id);
  fields.emplace_back("Host", "x");
  return messageText("POST /v1/chat/completions HTTP/1.1", fields, "{}");
}

TEST(OtherClients, WhoReadNothingHoldNoInstanceForLongerThanTheLimitAndBuffersStayBounded) {
  Site site({{"m1", "both", 0}}, false);
  site.instances["m1"]->script = beginOnly;
  RawPeer stalled(site.io);
  stalled.connect(site.listener->address());
  stalled.write(ask("stalled"));
  ASSERT_TRUE(site.until([&] { return site.streaming() != nullptr; }));
  const auto instance = site.streaming()->connection;
  const std::string event = eventOf(std::string(60'000, 'x'));
  const auto turn = [&] {
    for (int i = 0; i < 20; ++i) {
      site.io.restart();
      site.io.poll();
    }
  };
  int sent = 0;  // until every buffer on the way is full
  for (; sent < 2'000 && instance->writeChunk(event); ++sent)
    turn();
  EXPECT_LT(sent, 2'000);
  // Others are served beside it, on the same instance, in their time.
  site.instances["m1"]->script = streamWhole;
  const auto served = site.finished(site.post("/v1/x", platformFields("b"), "{}"));
  EXPECT_TRUE(served->whole);
  EXPECT_EQ(served->status, 200U);
  site.pass(29'000);
  turn();
  EXPECT_EQ(instance->state(), State::kStreaming);
  site.pass(1'100);
  EXPECT_TRUE(site.until([&] { return site.instances["m1"]->taken.front()->gone; }));
  EXPECT_EQ(site.server->counters["requests.client_gone"], 1U);
}

// The stalled one has the only connection there may be: the other is told within the time of its
// request.
TEST(OtherClients, WhoReadNothingLeaveNobodyWithoutAnAnswer) {
  Site site({{"m1", "both", 0}}, false);
  site.server->pool.setMaxConnections(1);
  site.instances["m1"]->script = beginOnly;
  RawPeer stalled(site.io);
  stalled.connect(site.listener->address());
  stalled.write(ask("stalled"));
  ASSERT_TRUE(site.until([&] { return site.streaming() != nullptr; }));
  const auto reply = site.post("/v1/x", platformFields("b"), "{}");
  for (double ms = 0; ms < kDeadlineMs + kSlackMs && !reply->over; ms += 20) {
    site.pass(20);
    site.io.restart();
    site.io.poll();
  }
  ASSERT_TRUE(reply->over);
  EXPECT_TRUE(reply->whole);
  EXPECT_EQ(reply->status, 503U);
}

// The loop takes one request of a connection at a time, however many stand behind it.
TEST(OtherClients, WhoFloodTakeTheirTurn) {
  Site site(kMixed, false);
  std::string flood;
  constexpr int kRequests = 20'000;
  for (int i = 0; i < kRequests; ++i)
    flood += "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n";
  RawPeer floods(site.io);
  floods.connect(site.listener->address());
  std::thread writer([&] {
    try {
      floods.write(flood);
    } catch (const boost::system::system_error&) {
    }
  });
  ASSERT_TRUE(site.until([&] { return site.server->counters["clients.rejected"] > 100; }));
  const auto before = site.server->counters["clients.rejected"];
  const auto reply = site.finished(site.post("/v1/x", platformFields("b"), "{}"));
  EXPECT_TRUE(reply->whole);
  EXPECT_EQ(reply->status, 200U);
  EXPECT_LT(site.server->counters["clients.rejected"] - before, 2'000U);
  site.until([&] {
    floods.ended();
    return site.server->counters["clients.rejected"] >= kRequests;
  });
  floods.close();
  writer.join();
}

// ---- Discovery
// ---------------------------------------------------------------------------------------------

struct WatchedSite : Site {
  WatchedSite()
      : Site(kMixed, false),
        discovery(server->io,
                  clock,
                  server->timers,
                  server->counters,
                  *server,
                  server->directory,
                  server->pool,
                  site.setup.names,
                  fleet::DiscoveryBackoff(1, 1)) {}
  frontend::Discovery discovery;
};

TEST(DiscoveryTrouble, LeavesEachRequestItsAnswer) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string delta = R"({"revision":5,"complete":false,"members":[]})";
  std::string deltas;
  for (int i = 0; i < 300; ++i)
    deltas += delta + "\n";
  const std::vector<BrokenInstance::Way> troubles{
      {"a watch that is silent", "", "", 0},
      {"changes without end", head, net::encodeChunk(deltas), 0},
      {"a line without end", head + net::encodeChunk("{"), net::encodeChunk(std::string(4000, ' ')),
       0},
      {"empty lines without end", head, net::encodeChunk(std::string(4000, '\n')), 0},
      {"no lists at all", head, net::encodeChunk("noise\n"), 0},
      {"a head without end", "HTTP/1.1 200 OK\r\n", "A: " + std::string(500, 'a') + "\r\n", 0},
      {"interim answers without end", "", "HTTP/1.1 102 Processing\r\n\r\n", 0}};
  for (const auto& trouble : troubles) {
    SCOPED_TRACE(trouble.name);
    WatchedSite site;
    BrokenInstance agent(site, trouble);
    site.discovery.watch(agent.address());
    ASSERT_TRUE(agent.until([&] { return agent.requests() > 0; }));
    for (int i = 0; i < 5; ++i) {
      site.pass(300);
      const auto reply = site.post("/v1/x", platformFields("id" + std::to_string(i)), "{}");
      ASSERT_TRUE(agent.until([&] { return reply->over; }));
      EXPECT_TRUE(reply->whole);
      EXPECT_EQ(reply->status, 200U);
    }
  }
}

TEST(DiscoveryTrouble, ADeadDiscoveryLeavesTheListAsItIs) {
  WatchedSite site;
  site.discovery.watch({boost::asio::ip::make_address("127.0.0.1"), 9});
  for (int i = 0; i < 20; ++i) {
    site.pass(1'000);
    const auto reply =
        site.finished(site.post("/v1/x", platformFields("id" + std::to_string(i)), "{}"));
    EXPECT_EQ(reply->status, 200U);
  }
}

}  // namespace
}  // namespace inference_router
