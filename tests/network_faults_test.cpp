// The network code while system calls fail, are interrupted or move only a part, as Linux documents
// them.
#include <fcntl.h>

#include <array>
#include <cerrno>

#include "net/line_server.h"
#include "net/listener.h"
#include "net/pool.h"
#include "support/faults.h"
#include "support/network_fixture.h"

namespace inference_router::net {
namespace {

using system_call_faults::Call;
using system_call_faults::Rule;

const std::string kRequest =
    messageText("POST /v1/chat HTTP/1.1", {{"Host", "x"}}, "{\"content\":\"hello\"}");

int countOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
    ++count;
  return count;
}

// A listener whose handler answers each request at once.
struct Door : NetworkFixture {
  Door() {
    instance.script = [](StandInInstance&, StandInInstance::ReceivedRequest& taken) {
      taken.connection->answer(200, {}, "whole");
    };
  }
  std::unique_ptr<RawPeer> client() {
    auto peer = std::make_unique<RawPeer>(io);
    peer->connect(instance.address());
    return peer;
  }
  bool answered(RawPeer& peer, int times = 1) {
    return until([&] {
      peer.ended();
      return countOf(peer.seen, "whole") >= times;
    });
  }
  StandInInstance instance{io, clock, timers};
};

// ---- Requests
// ----------------------------------------------------------------------------------------

// What is read twice is run twice.
TEST(RequestUnderFaults, IsTakenOnceWhileReadsAreInterruptedOrShort) {
  for (const int error : {EINTR, 0}) {
    SCOPED_TRACE(error);
    Door door;
    const auto client = door.client();
    const Faults faults({{.call = Call::kReceive, .error = error, .every = 2}});
    client->write(kRequest);
    ASSERT_TRUE(door.answered(*client));
    for (int i = 0; i < 20; ++i)
      door.io.poll();
    ASSERT_FALSE(client->ended()) << client->seen;
    ASSERT_EQ(door.instance.chats(), 1);
    client->write(kRequest);
    ASSERT_TRUE(door.answered(*client, 2));
    EXPECT_EQ(door.instance.chats(), 2);
    EXPECT_EQ(countOf(client->seen, "HTTP/1.1"), 2);
    EXPECT_TRUE(Faults::happened());
  }
}

// ---- The listener
// ------------------------------------------------------------------------------------

TEST(ListenerUnderFaults, WhoStandsInTheQueueAsTheDoorClosesIsServed) {
  for (const int error : {ENOBUFS, ENOMEM, ECONNABORTED, EPROTO}) {
    SCOPED_TRACE(error);
    NetworkFixture stage;
    StandInInstance handler(stage.io, stage.clock, stage.timers);
    handler.script = [](StandInInstance&, StandInInstance::ReceivedRequest& taken) {
      taken.connection->answer(200, {}, "whole");
    };
    core::Counters counters;
    Listener listener(stage.io, anyPort(), 100, handler, stage.clock, stage.timers, counters);
    RawPeer client(stage.io);
    bool done = false;
    listener.drain(100, [&] { done = true; });
    const Faults faults({{.call = Call::kAccept, .error = error}});
    client.connect(listener.address());
    client.write(kRequest);
    stage.pass(99);
    stage.pass(1);
    system_call_faults::clear();
    const bool served = stage.until([&] {
      stage.pass(1);
      return client.ended() || countOf(client.seen, "whole") == 1;
    });
    EXPECT_TRUE(served);
    EXPECT_EQ(countOf(client.seen, "whole"), 1) << "the listener closed over a client in its queue";
  }
}

// An accept that meets a connection that has gone must not leave the next one in the queue.
TEST(ListenerUnderFaults, WhoStandsBehindAnAbortedConnectionIsServed) {
  Door door;
  const auto client = door.client();
  client->write(kRequest);
  const Faults faults({{.call = Call::kAccept, .error = ECONNABORTED, .every = 2}});
  const auto second = door.client();
  second->write(kRequest);
  EXPECT_TRUE(door.answered(*client));
  EXPECT_TRUE(door.answered(*second));
}

// Refused for lack of descriptors, clients are told so, also once the spare descriptor was lost for
// a while.
TEST(ListenerUnderFaults, TheSpareDescriptorComesBack) {
  Door door;
  const auto refusedUnder = [&](std::vector<Rule> rules) {
    const Faults faults(std::move(rules));
    const auto client = door.client();
    return door.until([&] {
      door.pass(20);
      return client->ended() || Faults::hits() > 40;
    }) && countOf(client->seen, "HTTP/1.1 503") == 1;
  };
  const Rule full{.call = Call::kAccept, .error = EMFILE, .every = 2};
  refusedUnder({full, {.call = Call::kOpen, .error = ENFILE, .path = "/dev/null"}});
  EXPECT_TRUE(refusedUnder({full}));
}

TEST(ListenerUnderFaults, TheAdminEndpointAnswersWholeAndBehindAbortedConnections) {
  NetworkFixture stage;
  const std::string text(20'000, 'x');
  LineServer server(
      stage.io, anyPort(), [&](std::string_view) { return text; }, stage.clock, stage.timers,
      stage.counters);
  const Faults faults({{.call = Call::kAccept, .error = ECONNABORTED, .every = 2},
                       {.call = Call::kSend, .error = 0, .every = 1}});
  RawPeer first(stage.io), second(stage.io);
  for (RawPeer* peer : {&first, &second})
    peer->connect(server.address());
  for (RawPeer* peer : {&first, &second})
    peer->write("figures\n");
  for (RawPeer* peer : {&first, &second}) {
    EXPECT_TRUE(stage.until([&] { return peer->ended(); }));
    EXPECT_EQ(peer->seen, text);
  }
}

// ---- Answers
// -----------------------------------------------------------------------------------------

const std::vector<Rule> kSendFaults{{.call = Call::kSend, .error = 0},
                                    {.call = Call::kSend, .error = EINTR, .every = 2},
                                    {.call = Call::kSend, .error = ENOBUFS, .every = 2}};

TEST(AnswerUnderFaults, IsWholeHoweverLittleEachCallTakes) {
  for (const Rule& rule : kSendFaults) {
    SCOPED_TRACE(rule.error);
    Door door;
    const std::string body(200'000, 'y');
    door.instance.script = [&](StandInInstance&, StandInInstance::ReceivedRequest& taken) {
      taken.connection->answer(200, {}, body);
    };
    const auto client = door.client();
    client->write(kRequest);
    const Faults faults({rule});
    EXPECT_TRUE(door.until([&] {
      client->ended();
      return client->seen.size() > body.size();
    }));
    EXPECT_TRUE(Faults::happened());
  }
}

// The answer to who is sent away is not cut and not reset out of the client's hands.
TEST(AnswerUnderFaults, WhoIsTurnedAwayReadsWhy) {
  for (const Rule& rule :
       {Rule{.call = Call::kSend, .error = EINTR, .every = 2}, Rule{.call = Call::kSend},
        Rule{.call = Call::kReceive, .error = EINTR, .every = 2}}) {
    SCOPED_TRACE(static_cast<int>(rule.call));
    NetworkFixture stage;
    StandInInstance handler(stage.io, stage.clock, stage.timers);
    core::Counters counters;
    Listener listener(stage.io, anyPort(), 0, handler, stage.clock, stage.timers, counters);
    RawPeer client(stage.io);
    client.connect(listener.address());
    client.write(kRequest);
    const Faults faults({rule});
    listener.drain(0, [] {});
    EXPECT_TRUE(stage.until([&] { return client.ended(); }));
    EXPECT_EQ(countOf(client.seen, "HTTP/1.1 503"), 1) << client.seen;
    EXPECT_NE(client.seen.find("too many connections\n"), std::string::npos) << client.seen;
  }
}

// A look that was interrupted does not say that nothing is there.
TEST(AnswerUnderFaults, AConnectionWithARequestInItIsNotClosedToMakeRoom) {
  Door door;
  const auto client = door.client();
  client->write(kRequest);
  ASSERT_TRUE(door.answered(*client));
  const std::shared_ptr<ClientConnection> connection = door.instance.received.front()->connection;
  ASSERT_TRUE(door.until([&] { return connection->state() == ClientConnection::State::kIdle; }));
  client->write(kRequest);
  {
    const Faults faults({{.call = Call::kReceive, .error = EINTR, .every = 2}});
    for (int i = 0; i < 4; ++i)
      connection->evictIfAllowed();
  }
  EXPECT_TRUE(door.answered(*client, 2));
}

// ---- Calls to instances
// ------------------------------------------------------------------------------

struct Calls : NetworkFixture {
  RawPeer peer{io};
  ConnectionPool pool{io, clock, timers, counters, {2, 250, 18'000, 1 << 20}};
  std::shared_ptr<Reply> reply = std::make_shared<Reply>();
  void call() {
    pool.call(peer.address(), headText("GET / HTTP/1.1", {{"Host", "x"}}), nullptr, reply);
  }
};

// Nothing went to the instance, and nothing is known of it.
TEST(CallUnderFaults, AFaultOfThisMachineIsNoneOfTheInstance) {
  const std::array kFaults{Rule{.call = Call::kConnect, .error = EADDRNOTAVAIL},
                           Rule{.call = Call::kConnect, .error = ENETUNREACH},
                           Rule{.call = Call::kSocket, .error = ENOBUFS},
                           Rule{.call = Call::kSocket, .error = EMFILE}};
  for (const Rule& rule : kFaults) {
    SCOPED_TRACE(rule.error);
    Calls passing;
    {
      const Faults faults({rule});
      passing.call();
      passing.until([&] { return Faults::happened(); });
      for (int i = 0; i < 5; ++i)
        passing.io.poll();
    }
    EXPECT_TRUE(passing.until([&] {
      passing.pass(1);
      return passing.reply->over || passing.reply->wasWritten;
    }));
    EXPECT_TRUE(passing.reply->wasWritten)
        << "a fault that passes within the dial's time ended the call";

    Calls lasting;
    const Faults faults({rule});
    lasting.call();
    EXPECT_TRUE(lasting.until([&] {
      lasting.pass(10);
      return lasting.reply->over;
    }));
    EXPECT_EQ(lasting.reply->failure, CallFailure::kWithdrawn);
    EXPECT_EQ(lasting.pool.size(), 0U);
  }
}

TEST(CallUnderFaults, GoesThroughWhateverIsInterruptedShortOrOutOfMemory) {
  const std::vector<std::vector<Rule>> plans{
      {{.call = Call::kConnect, .error = EINTR}},
      {kSendFaults[0]},
      {kSendFaults[1]},
      {kSendFaults[2]},
      {{.call = Call::kReceive, .error = ENOMEM, .every = 2}},
      {{.call = Call::kReceive, .error = EINTR, .every = 2}}};
  for (std::size_t i = 0; i < plans.size(); ++i) {
    SCOPED_TRACE(i);
    Calls calls;
    const auto body = std::make_shared<const std::string>(50'000, 'b');
    const std::string head = headText(
        "POST / HTTP/1.1", {{"Host", "x"}, {"Content-Length", std::to_string(body->size())}});
    const Faults faults(plans[i]);
    calls.pool.call(calls.peer.address(), head, body, calls.reply);
    ASSERT_TRUE(calls.until([&] { return calls.reply->wasWritten || calls.reply->over; }));
    ASSERT_FALSE(calls.reply->over);
    const std::uint64_t hits = Faults::hits();
    system_call_faults::clear();  // the peer's own calls block
    calls.peer.accept();
    std::string came;
    while (came.size() < head.size() + body->size())
      came += calls.peer.readSome();
    EXPECT_EQ(came, head + *body);
    calls.peer.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    system_call_faults::install(plans[i]);
    EXPECT_TRUE(calls.until([&] {
      calls.pass(1);
      return calls.reply->over;
    }));
    EXPECT_TRUE(calls.reply->complete);
    EXPECT_GT(hits + Faults::hits(), 0U);
  }
}

}  // namespace
}  // namespace inference_router::net
