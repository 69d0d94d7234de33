// The network code against peers on loopback: outcomes of calls, the pool, client connections, the
// listener.
#include <random>

#include "net/client_connection.h"
#include "net/listener.h"
#include "net/pool.h"
#include "support/stage.h"

namespace inference_router::net {
namespace {

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct Calls : Stage {
  RawPeer peer{io};
  ConnectionPool pool{io, clock, timers, counters, {2, 250, 18'000, 1 << 20}};

  std::shared_ptr<Call> call(const std::shared_ptr<Reply>& reply) {
    return pool.call(peer.address(), headText("GET / HTTP/1.1", {{"Host", "x"}}), nullptr, reply);
  }
  std::shared_ptr<Reply> written() {
    auto reply = std::make_shared<Reply>();
    call(reply);
    EXPECT_TRUE(until([&] { return reply->wasWritten; }));
    return reply;
  }
  std::shared_ptr<Reply> served(const char* answer = kWhole) {
    auto reply = written();
    peer.accept();
    peer.readSome();
    peer.write(answer);
    EXPECT_TRUE(until([&] { return reply->over; }));
    pass(5);  // a connection rests before its next request
    return reply;
  }
};

TEST(PoolCalls, ARefusedConnectionIsNoConnection) {
  Calls calls;
  calls.peer.stopListening();
  const auto reply = std::make_shared<Reply>();
  const Endpoint closed = [&] {
    RawPeer gone(calls.io);
    return gone.address();
  }();
  calls.pool.call(closed, "GET / HTTP/1.1\r\n\r\n", nullptr, reply);
  ASSERT_TRUE(calls.until([&] { return reply->over; }));
  EXPECT_EQ(reply->failure, CallFailure::kNoConnection);
  EXPECT_EQ(calls.pool.size(), 0U);
}

TEST(PoolCalls, ABreakAfterTheLastByteIsAReset) {
  Calls calls;
  const auto reply = calls.written();
  calls.peer.accept();
  calls.peer.reset();
  ASSERT_TRUE(calls.until([&] { return reply->over; }));
  EXPECT_EQ(reply->failure, CallFailure::kReset);
}

TEST(PoolCalls, ABreakBeforeTheLastByteIsNoConnection) {
  Calls calls;
  const auto reply = std::make_shared<Reply>();
  const auto body =
      std::make_shared<const std::string>(64 << 20, 'x');  // more than the kernel buffers
  calls.pool.call(calls.peer.address(), "POST / HTTP/1.1\r\n\r\n", body, reply);
  calls.peer.accept();
  ASSERT_TRUE(calls.until([&] { return calls.peer.hasBytes(); }));
  calls.peer.reset();
  ASSERT_TRUE(calls.until([&] { return reply->over; }));
  EXPECT_FALSE(reply->wasWritten);
  EXPECT_EQ(reply->failure, CallFailure::kNoConnection);
}

TEST(PoolCalls, AnAnswerThatIsNotHttpIsAReset) {
  Calls calls;
  EXPECT_EQ(calls.served("220 mail ready\r\n\r\n")->failure, CallFailure::kInvalidResponse);
  EXPECT_EQ(calls.pool.size(), 0U);
}

TEST(PoolCalls, WhatCannotBeReadIsGarbledAndNothingMoreIsReadOfIt) {
  Calls calls;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& answer :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"),
        "HTTP/1.1 200 OK\r\n" + std::string(40'000, 'p'), head + "zz\r\nabc\r\n",
        head + "2\r\nabcdefghi\r\n", head + "c0000000\r\nabc"}) {
    const auto reply = calls.served(answer.c_str());
    EXPECT_EQ(reply->failure, CallFailure::kInvalidResponse) << answer.substr(0, 60);
    EXPECT_TRUE(reply->text.empty());
    EXPECT_EQ(calls.pool.size(), 0U);
  }
}

// Guards against a chunk that claims more than follows, or a head without end: the connection stays
// open.
TEST(PoolCalls, AnAnswerThatStopsMidwayIsGarbledByTheClock) {
  Calls calls;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& answer :
       {head.substr(0, 30), head + "5\r\nabc", head + "3\r\nabc\r\n7"}) {
    const auto reply = calls.written();
    calls.peer.accept();
    calls.peer.readSome();
    calls.peer.write(answer);
    const auto seen = calls.timers.next();
    ASSERT_TRUE(calls.until([&] { return calls.timers.next() != seen; })) << answer;
    calls.io.poll();
    calls.pass(801);
    EXPECT_EQ(reply->failure, CallFailure::kInvalidResponse) << answer;
  }
  const auto between = calls.written();  // between two chunks a stream may take its time
  calls.peer.accept();
  calls.peer.readSome();
  calls.peer.write(head + "3\r\nabc\r\n");
  ASSERT_TRUE(calls.until([&] { return between->text == "abc"; }));
  calls.pass(5'000);
  EXPECT_FALSE(between->over);
}

TEST(PoolCalls, InterimAnswersAheadAreNotTheAnswer) {
  Calls calls;
  const auto reply = calls.served(
      "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_TRUE(reply->whole);
  EXPECT_EQ(reply->status, 200U);
  EXPECT_EQ(reply->text, "ok");
  EXPECT_EQ(calls.counters["answers.interim"], 2U);
}

TEST(PoolCalls, ASecondAnswerIsNeverTakenForThatOfTheNextRequest) {
  Calls calls;
  calls.served(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(calls.pool.size(), 0U);  // right behind
  const auto first = calls.written();
  calls.peer.accept();
  calls.peer.readSome();
  calls.peer.write(kWhole);
  ASSERT_TRUE(calls.until([&] { return first->over; }));
  calls.served();  // at once: not on a connection on which more may be under way
  EXPECT_EQ(calls.counters["links.opened"], 3U);
}

TEST(PoolCalls, AConnectionIsKeptUsedAgainAndRetiredByTheClock) {
  Calls calls;
  calls.served();
  EXPECT_TRUE(calls.pool.hasIdle(calls.peer.address()));
  const auto again = calls.written();  // on the same connection: nobody accepts
  calls.peer.readSome();
  calls.peer.write(kWhole);
  ASSERT_TRUE(calls.until([&] { return again->over; }));
  EXPECT_TRUE(again->whole);
  EXPECT_EQ(calls.counters["links.opened"], 1U);
  calls.pass(17'000);
  EXPECT_EQ(calls.pool.size(), 1U);
  calls.pass(2'000);
  EXPECT_EQ(calls.pool.size(), 0U);
}

TEST(PoolCalls, AnIdleConnectionThatThePeerClosedIsNotUsed) {
  Calls calls;
  calls.served();
  calls.peer.close();
  ASSERT_TRUE(calls.until([&] { return calls.pool.size() == 0; }));
  calls.served();
  EXPECT_EQ(calls.counters["links.opened"], 2U);
}

TEST(PoolCalls, AtTheCapACallWaitsAndIsAskedAgainBeforeItIsWritten) {
  Calls calls;
  const auto first = calls.written();
  calls.peer.accept();
  const auto second = calls.written();
  const auto third = std::make_shared<Reply>(), fourth = std::make_shared<Reply>();
  const auto waits = calls.call(third);
  calls.call(fourth);
  EXPECT_EQ(waits->state(), Call::State::kWaiting);
  EXPECT_EQ(calls.pool.size(), 2U);
  third->willing = false;  // as if a drain was told while it waited
  calls.peer.readSome();
  calls.peer.write(kWhole);
  ASSERT_TRUE(calls.until([&] { return third->over && fourth->wasWritten; }));
  EXPECT_EQ(third->failure, CallFailure::kWithdrawn);
  EXPECT_FALSE(third->wasWritten);
  EXPECT_TRUE(first->whole);
  EXPECT_LE(calls.pool.size(), 2U);
}

TEST(PoolCalls, ADialThatDoesNotComeUpInTimeIsNoConnection) {
  Calls calls;
  const auto reply = std::make_shared<Reply>();
  const auto call = calls.call(reply);
  ASSERT_EQ(call->state(), Call::State::kConnecting);
  calls.pass(251);  // before any handler ran
  EXPECT_EQ(reply->failure, CallFailure::kNoConnection);
  EXPECT_EQ(calls.pool.size(), 0U);
}

// Random peers: each step has one outcome that follows from what the peer did, and nothing leaks.
TEST(PoolCalls, EndAsTheModelSaysWhateverThePeerDoes) {
  std::mt19937 random(5);
  Calls calls;
  for (int step = 0; step < 300; ++step) {
    SCOPED_TRACE(step);
    calls.pass(5);
    const bool reused = calls.pool.hasIdle(calls.peer.address());
    const auto reply = std::make_shared<Reply>();
    const auto call = calls.call(reply);
    ASSERT_TRUE(calls.until([&] { return reply->wasWritten; }));
    if (!reused)
      calls.peer.accept();
    calls.peer.readSome();
    const unsigned act = random() % 6;
    const bool chunked = random() % 2 == 0, keep = random() % 3 != 0;
    std::string answer = "HTTP/1.1 200 OK\r\n";
    if (!keep)
      answer += "Connection: close\r\n";
    answer += chunked ? "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
                      : "Content-Length: 2\r\n\r\nok";
    if (act == 0) {
      call->abandon();
      EXPECT_EQ(calls.pool.size(), 0U);
      ASSERT_TRUE(calls.until([&] { return calls.peer.ended(); }));
      EXPECT_FALSE(reply->over);
    } else if (act == 1) {
      calls.peer.write(answer.substr(0, random() % (answer.size() - 1)) + "");
      calls.peer.close();
      ASSERT_TRUE(calls.until([&] { return reply->over; }));
      EXPECT_EQ(reply->failure, CallFailure::kReset);
    } else {
      const std::size_t cut = random() % answer.size();
      calls.peer.write(answer.substr(0, cut));
      calls.io.poll();
      calls.peer.write(answer.substr(cut));
      ASSERT_TRUE(calls.until([&] { return reply->over; }));
      EXPECT_TRUE(reply->whole);
      EXPECT_EQ(reply->text, "ok");
    }
    EXPECT_EQ(calls.pool.size(), act > 1 && keep ? 1U : 0U);
  }
}

// ---- Client connections
// ----------------------------------------------------------------------------

struct Server : Stage, RequestHandler {
  Listener listener{io, anyPort(), 3, *this, clock, timers, counters};
  std::vector<std::pair<std::shared_ptr<ClientConnection>, HttpRequest>> asked;
  int left = 0, drains = 0;

  void request(const std::shared_ptr<ClientConnection>& connection,
               HttpRequest&& request,
               double) override {
    asked.emplace_back(connection, std::move(request));
  }
  void disconnected(ClientConnection&) override { ++left; }
  void writable(ClientConnection&) override { ++drains; }
  void reject(ClientConnection& connection, unsigned status, std::string_view why) override {
    connection.answer(status, {}, why);
  }
  std::string lastSeen(RawPeer& peer) {
    EXPECT_TRUE(until([&] { return peer.ended(); }));
    return peer.seen;
  }
};

const std::string kPost = "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";

TEST(ClientConnections, BadInputGetsAPlainAnswerAndEndsOnlyItsOwnConnection) {
  Server server;
  const std::map<std::string, std::string> cases{
      {"what is this\r\n\r\n", " 400 "},
      {"POST / HTTP/1.1\r\nContent-Length: 262145\r\n\r\n", " 413 "},
      {"GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a') + "\r\n\r\n", " 431 "}};
  for (const auto& [input, status] : cases) {
    RawPeer peer(server.io);
    peer.connect(server.listener.address());
    peer.write(input);
    EXPECT_NE(server.lastSeen(peer).find("HTTP/1.1" + status), std::string::npos) << status;
    peer.close();
  }
  RawPeer good(server.io);
  good.connect(server.listener.address());
  good.write(kPost);
  ASSERT_TRUE(server.until([&] { return !server.asked.empty(); }));
  EXPECT_EQ(server.asked.back().second.body(), "abc");
}

TEST(ClientConnections, ARequestThatArrivesTooSlowlyGets408) {
  Server server;
  RawPeer peer(server.io);
  peer.connect(server.listener.address());
  peer.write(kPost.substr(0, 20));
  // The time counts from connecting: a head that trickles in does not gain any.
  ASSERT_TRUE(server.until([&] { return server.timers.next().has_value(); }));
  server.pass(1'900);
  peer.write(kPost.substr(20, 5));
  server.io.poll();
  server.pass(101);
  EXPECT_NE(server.lastSeen(peer).find(" 408 "), std::string::npos);
}

TEST(ClientConnections, WhoSaysNothingOrStaysIdleIsClosed) {
  Server server;
  RawPeer silent(server.io), asker(server.io);
  silent.connect(server.listener.address());
  asker.connect(server.listener.address());
  asker.write(kPost);
  ASSERT_TRUE(
      server.until([&] { return server.asked.size() == 1 && server.listener.size() == 2; }));
  server.asked[0].first->answer(200, {}, "whole");
  ASSERT_TRUE(server.until(
      [&] { return server.asked[0].first->state() == ClientConnection::State::kIdle; }));
  server.pass(2'001);
  ASSERT_TRUE(server.until([&] { return silent.ended(); }));
  EXPECT_TRUE(silent.seen.empty());
  EXPECT_FALSE(asker.ended());
  server.pass(3'001);
  ASSERT_TRUE(server.until([&] { return asker.ended() && server.listener.size() == 0; }));
}

// Guards against smuggling: a second request in what two readers take for different bodies.
TEST(ClientConnections, ARequestWhoseLengthCanBeReadInTwoWaysIsRefusedWithAllBehindIt) {
  Server server;
  const std::string hidden = "0\r\n\r\n" + kPost;
  const std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
  for (const std::string& fields :
       {length + "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n" + length,
        length + "Transfer-Encoding: identity\r\n", length + "Transfer-Encoding: xchunked\r\n",
        length + length, std::string("Transfer-Encoding: gzip, chunked\r\n"),
        std::string("Transfer-Encoding: gzip\r\n"), std::string("Content-Length: -5\r\n"),
        std::string("Content-Length: 1e3\r\n"),
        std::string("Content-Length: 99999999999999999999999\r\n")}) {
    RawPeer peer(server.io);
    peer.connect(server.listener.address());
    peer.write("POST / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + hidden);
    const std::string seen = server.lastSeen(peer);
    EXPECT_EQ(seen.rfind("HTTP/1.1 4", 0), 0U) << fields << seen;
    EXPECT_TRUE(server.asked.empty()) << fields;
  }
}

TEST(ClientConnections, ACloseBehindAPipelinedRequestIsNoticed) {
  Server server;
  RawPeer peer(server.io);
  peer.connect(server.listener.address());
  peer.write(kPost + kPost);
  ASSERT_TRUE(server.until([&] { return server.asked.size() == 1; }));
  peer.close();
  ASSERT_TRUE(server.until([&] { return server.left == 1; }));
  EXPECT_EQ(server.asked.size(), 1U);
}

TEST(ClientConnections, PipelinedRequestsAreServedInTurn) {
  Server server;
  RawPeer peer(server.io);
  peer.connect(server.listener.address());
  peer.write(kPost + kPost);
  for (std::size_t i = 0; i < 2; ++i) {
    ASSERT_TRUE(server.until([&] { return server.asked.size() == i + 1; }));
    EXPECT_EQ(server.asked[i].second.body(), "abc");
    server.asked[i].first->answer(200, {}, "whole" + std::to_string(i));
  }
  ASSERT_TRUE(
      server.until([&] { return !peer.ended() && peer.seen.find("whole1") != std::string::npos; }));
}

TEST(ClientConnections, ABreakWaitsNoLongerThanTwoSecondsForItsReader) {
  Server server;
  RawPeer peer(server.io);
  peer.connect(server.listener.address());
  peer.write(kPost);
  ASSERT_TRUE(server.until([&] { return server.asked.size() == 1; }));
  server.asked[0].first->beginStream({});
  server.asked[0].first->writeChunk(std::string(64 << 20, 'x'));  // more than the kernel takes
  server.io.poll();
  server.asked[0].first->abortResponse();
  EXPECT_EQ(server.listener.size(), 1U);
  server.pass(2'001);
  EXPECT_EQ(server.listener.size(), 0U);
}

// Guards usual clients against those that hold connections without asking.
TEST(ClientConnections, AtTheCapWhoNeverAskedMakesRoomBeforeWhoIsIdle) {
  Server server;
  std::vector<std::unique_ptr<RawPeer>> peers;
  const auto join = [&](const std::string& says) {
    const auto before = server.counters["clients.accepted"];
    peers.push_back(std::make_unique<RawPeer>(server.io));
    peers.back()->connect(server.listener.address());
    if (!says.empty())
      peers.back()->write(says);
    ASSERT_TRUE(server.until([&] { return server.counters["clients.accepted"] == before + 1; }));
  };
  join(kPost);
  ASSERT_TRUE(server.until([&] { return server.asked.size() == 1; }));
  server.asked[0].first->answer(200, {}, "whole");
  ASSERT_TRUE(server.until(
      [&] { return server.asked[0].first->state() == ClientConnection::State::kIdle; }));
  join("");
  join(kPost.substr(0, 9));
  EXPECT_EQ(server.counters["clients.made_room"], 1U);  // the idle one: the others are too young
  ASSERT_TRUE(server.until([&] { return peers[0]->ended(); }));
  server.pass(150);
  join(kPost);
  join(kPost);
  ASSERT_TRUE(server.until(
      [&] { return server.asked.size() == 3 && peers[1]->ended() && peers[2]->ended(); }));
  EXPECT_FALSE(peers[3]->ended());
  EXPECT_FALSE(peers[4]->ended());
}

TEST(ClientConnections, ABrokenStreamEndsWithoutTheLastChunk) {
  Server server;
  RawPeer peer(server.io);
  peer.connect(server.listener.address());
  peer.write(kPost);
  ASSERT_TRUE(server.until([&] { return !server.asked.empty(); }));
  server.asked[0].first->beginStream({});
  server.asked[0].first->writeChunk("data: x\n\n");
  server.asked[0].first->abortResponse();
  const std::string seen = server.lastSeen(peer);
  EXPECT_NE(seen.find("9\r\ndata: x\n\n\r\n"), std::string::npos);
  EXPECT_EQ(seen.find("0\r\n\r\n"), std::string::npos);
}

TEST(ClientConnections, AtTheCapTheLongestIdleMakesRoom) {
  Server server;
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int i = 0; i < 3; ++i) {
    peers.push_back(std::make_unique<RawPeer>(server.io));
    peers.back()->connect(server.listener.address());
    ASSERT_TRUE(server.until([&] { return server.counters["clients.accepted"] == peers.size(); }));
    server.pass(110);
  }
  ASSERT_TRUE(server.until([&] { return peers[0]->ended(); }));
  EXPECT_FALSE(peers[1]->ended());
  EXPECT_LE(server.listener.size(), 3U);
}

TEST(ClientConnections, ADrainServesWhatStillArrivesAndThenEnds) {
  Server server;
  RawPeer before(server.io), during(server.io);
  bool done = false;
  before.connect(server.listener.address());
  before.write(kPost);
  ASSERT_TRUE(server.until([&] { return server.asked.size() == 1; }));
  server.listener.drain(500, [&] { done = true; });
  server.pass(300);
  during.connect(server.listener.address());
  during.write(kPost);
  ASSERT_TRUE(server.until([&] { return server.asked.size() == 2; }));
  server.pass(300);
  RawPeer after(server.io);
  EXPECT_THROW(after.connect(server.listener.address()), boost::system::system_error);
  for (auto& [connection, request] : server.asked)
    connection->answer(200, {}, "late but served");
  EXPECT_NE(server.lastSeen(before).find("late but served"), std::string::npos);
  EXPECT_NE(server.lastSeen(during).find("late but served"), std::string::npos);
  ASSERT_TRUE(server.until([&] { return done; }));
}

// One connection through random requests, answers, breaks and closes, beside a model of its states.
TEST(ClientConnections, FollowTheModelOfTheirStates) {
  std::mt19937 random(23);
  Server server;
  std::unique_ptr<RawPeer> peer;
  bool open = false;
  int left = 0;
  for (int step = 0; step < 300; ++step) {
    SCOPED_TRACE(step);
    if (!open) {
      peer = std::make_unique<RawPeer>(server.io);
      peer->connect(server.listener.address());
      open = true;
    }
    const std::size_t before = server.asked.size(), cut = random() % kPost.size();
    peer->write(kPost.substr(0, cut));
    server.io.poll();
    if (random() % 8 == 0) {  // it goes before the request is whole: nobody hears of it
      peer->close();
      open = false;
      ASSERT_TRUE(server.until([&] { return server.listener.size() == 0; }));
      ASSERT_EQ(server.asked.size(), before);
      continue;
    }
    peer->write(kPost.substr(cut));
    ASSERT_TRUE(server.until([&] { return server.asked.size() == before + 1; }));
    const auto connection = server.asked.back().first;
    ASSERT_EQ(connection->state(), ClientConnection::State::kAnswering);
    const unsigned act = random() % 5;
    peer->seen.clear();
    if (act == 0) {
      connection->answer(200, {}, "whole");
      ASSERT_TRUE(server.until(
          [&] { return !peer->ended() && peer->seen.find("whole") != std::string::npos; }));
    } else {
      connection->beginStream({});
      connection->writeChunk("part");
      ASSERT_EQ(connection->state(), ClientConnection::State::kStreaming);
      if (act == 1)
        connection->abortResponse();
      else if (act == 2)
        peer->close();
      else
        connection->endStream();
      if (act == 1) {
        ASSERT_TRUE(server.until([&] { return peer->ended(); }));
      }
      if (act > 2) {
        ASSERT_TRUE(server.until(
            [&] { return !peer->ended() && peer->seen.find("0\r\n\r\n") != std::string::npos; }));
      }
    }
    open = act != 1 && act != 2;
    left += act == 2;  // whom this side breaks off has not left
    ASSERT_TRUE(server.until([&] {
      return connection->state() ==
             (open ? ClientConnection::State::kIdle : ClientConnection::State::kClosed);
    }));
    ASSERT_EQ(server.left, left);
    ASSERT_EQ(server.listener.size(), open ? 1U : 0U);
  }
}

}  // namespace
}  // namespace inference_router::net
