// A client that leaves: nothing begins for it any more, neither an attempt nor a reservation,
// wherever its request waits at that moment. Each case on real sockets and through both fronts,
// once with the loop told of the close before time goes on, and once with the close only in the
// system's hands.
#include "app/handover.h"
#include "support/folder.h"
#include "support/site.h"

namespace inference_router {
namespace {

enum class Leaving { kClose, kHalfClose, kReset };

struct Case {
  bool openai;
  Leaving how;
  bool told;  // the loop runs between the close and what comes next
};

std::string nameOf(const testing::TestParamInfo<Case>& info) {
  constexpr std::array kHow{"Close", "HalfClose", "Reset"};
  return std::string(info.param.openai ? "ChatApi" : "Platform") +
         kHow.at(static_cast<std::size_t>(info.param.how)) + (info.param.told ? "Told" : "Untold");
}

std::vector<Case> allCases() {
  std::vector<Case> all;
  for (const bool openai : {false, true})
    for (const Leaving how : {Leaving::kClose, Leaving::kHalfClose, Leaving::kReset})
      for (const bool told : {false, true})
        all.push_back({openai, how, told});
  return all;
}

std::string requestText(bool openai, const std::string& id, const std::string& filling = "") {
  if (!openai) {
    net::Fields fields = platformFields(id);
    fields.emplace_back("Host", "x");
    return messageText("POST /v1/chat/completions HTTP/1.1", std::move(fields), "{}" + filling);
  }
  const json body{{"model", "change"},
                  {"messages", {{{"role", "user"}, {"content", "When do you open?" + filling}}}}};
  return messageText("POST /v1/chat/completions HTTP/1.1",
                     {{"Host", "x"}, {"Authorization", "Bearer k"}}, body.dump());
}

// One client on a bare socket, and a site whose instances answer only what the test says.
struct Departure : Site {
  Departure(const std::vector<Kind>& kinds, bool openai) : Site(kinds, openai), openai(openai) {
    for (auto& [id, instance] : instances)
      instance->script = leaveSilent;
    client.connect(listener->address());
  }
  void ask(const std::string& filling = "") { client.write(requestText(openai, "a", filling)); }
  void askUntilTaken() {
    ask();
    EXPECT_TRUE(until([&] { return server->counters["requests.taken"] == 1; }));
  }
  void leave(Leaving how) {
    if (how == Leaving::kClose)
      client.close();
    if (how == Leaving::kHalfClose)
      client.endSending();
    if (how == Leaving::kReset)
      client.reset();
  }
  void leave(const Case& by) {
    leave(by.how);
    if (!by.told)
      return;
    EXPECT_TRUE(until([&] { return server->counters["requests.client_gone"] == 1; }));
  }
  // Lets all that may still happen happen, to well past the client's time.
  void unpause() {
    for (int i = 0; i < 30; ++i) {
      pass(i < 15 ? 10 : 500);
      settle();
    }
  }
  void settle() {
    for (int i = 0; i < 5; ++i) {
      io.restart();
      io.poll();
      io.run_one_for(std::chrono::milliseconds(1));
    }
  }
  int reservations() const {
    int all = 0;
    for (const auto& [id, instance] : instances)
      all += instance->count("POST", "/bootstrap/");
    return all;
  }
  StandInInstance::Taken& onlyChat() {
    for (const auto& [id, instance] : instances)
      for (const auto& taken : instance->taken)
        if (taken->target == "/v1/chat/completions")
          return *taken;
    throw std::logic_error("no attempt has arrived");
  }
  void expectGone(int chatsBefore, int reservationsBefore = 0) {
    EXPECT_EQ(chats(), chatsBefore);
    EXPECT_EQ(reservations(), reservationsBefore);
    EXPECT_EQ(server->counters["requests.client_gone"], 1U);
    EXPECT_EQ(server->dispatcher.open(), 0U);
  }

  bool openai;
  RawPeer client{io};
};

class AClientThatLeft : public testing::TestWithParam<Case> {};
INSTANTIATE_TEST_SUITE_P(All, AClientThatLeft, testing::ValuesIn(allCases()), nameOf);

// Without an instance a request waits in the module; one comes up for a client that is no longer
// there.
TEST_P(AClientThatLeft, GetsNoAttemptOutOfTheModulesQueue) {
  Departure site(kSplit, GetParam().openai);
  routing::EndpointListUpdate none = site.site.instances;
  none.form = routing::EndpointListForm::kFull;
  none.entries.clear();
  site.server->dispatcher.list(none);
  site.pass(1'100);  // past the grace of a drain
  site.askUntilTaken();
  site.settle();
  site.leave(GetParam());
  routing::EndpointListUpdate all = site.site.instances;
  all.version = none.version + 1;
  site.server->dispatcher.list(all);
  site.unpause();
  site.expectGone(0);
}

TEST_P(AClientThatLeft, GetsNoAttemptFromTheLineForAConnection) {
  Departure site(kSplit, GetParam().openai);
  site.server->pool.setMaxConnections(0);
  site.askUntilTaken();
  ASSERT_EQ(site.server->counters["calls.waited"], 1U);
  site.leave(GetParam());
  site.server->pool.setMaxConnections(100);
  site.unpause();
  site.expectGone(0);
}

// The same with a connection at hand, so that the request would be written in the turn in which one
// is free.
TEST_P(AClientThatLeft, GetsNoAttemptOnAConnectionThatFallsFree) {
  Departure site({{"m1", "both", 0}}, GetParam().openai);
  site.server->pool.setMaxConnections(1);
  RawPeer other(site.io);
  other.connect(site.listener->address());
  other.write(requestText(site.openai, "other"));
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  site.ask();
  ASSERT_TRUE(site.until([&] { return site.server->counters["calls.waited"] == 1; }));
  site.leave(GetParam());
  streamWhole(*site.instances["m1"], site.onlyChat());
  site.unpause();
  site.expectGone(1);
}

TEST_P(AClientThatLeft, GetsNoAttemptWhoseDialComesUp) {
  Departure site(kSplit, GetParam().openai);
  site.ask();
  for (int i = 0; i < 10'000 && site.server->counters["attempts.sent"] == 0; ++i) {
    site.io.restart();
    site.io.poll_one();
  }
  ASSERT_EQ(site.server->counters["attempts.sent"], 1U);
  site.leave(GetParam());
  site.unpause();
  site.expectGone(0);
}

// The second attempt waits until the close of the first has surely arrived.
TEST_P(AClientThatLeft, GetsNoAttemptAfterThePauseThatFollowsAClose) {
  Departure site(kSplit, GetParam().openai);
  auto settings = site.site.setup.settings;
  settings.classes[1].latencyObjective = std::chrono::seconds(6);
  site.server->reconfigure(
      settings, site.openai ? frontend::openaiProtocol(site.site) : frontend::platformProtocol());
  site.askUntilTaken();
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  site.pass(3'700);  // the prefill instance is given up
  ASSERT_EQ(site.server->counters["attempts.sent"], 2U);
  site.leave(GetParam());
  const int reservations = site.reservations();
  site.unpause();
  site.expectGone(1, reservations);
}

TEST_P(AClientThatLeft, GetsNoWriteAfterItsRead) {
  Departure site(kSplit, GetParam().openai);
  site.askUntilTaken();
  ASSERT_TRUE(site.until([&] { return site.chats() == 1 && site.reservations() == 1; }));
  site.settle();
  site.leave(GetParam());
  answerRead(*site.instances["r1"], site.onlyChat());
  site.unpause();
  site.expectGone(1, 1);
}

// Its instance has refused it, and what comes next is decided after it left.
TEST_P(AClientThatLeft, GetsNoRetry) {
  Departure site({{"m1", "both", 0}, {"m2", "both", 0}}, GetParam().openai);
  site.askUntilTaken();
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  site.leave(GetParam().how);
  site.onlyChat().connection->answer(503, {{"X-Rejected", "1"}}, "");
  site.unpause();
  site.expectGone(1);
}

// The only instance has refused it, and it waits for the next try.
TEST_P(AClientThatLeft, GetsNoRetryAfterABackoff) {
  Departure site({{"m1", "both", 0}}, GetParam().openai);
  site.askUntilTaken();
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  site.onlyChat().connection->answer(503, {{"X-Rejected", "1"}}, "");
  ASSERT_TRUE(site.until([&] { return site.server->counters["attempts.turned_away"] == 1; }));
  ASSERT_EQ(site.server->dispatcher.open(), 1U);
  ASSERT_EQ(site.server->counters["attempts.sent"], 1U);
  site.leave(GetParam());
  site.unpause();
  site.expectGone(1);
}

// The reservation is decided, and waits for a connection.
TEST_P(AClientThatLeft, GetsNoReservation) {
  Departure site(kSplit, GetParam().openai);
  site.server->pool.setMaxConnections(1);
  site.askUntilTaken();
  ASSERT_TRUE(site.until([&] { return site.server->counters["calls.waited"] == 1; }));
  EXPECT_EQ(site.reservations(), 0);
  site.leave(GetParam());
  site.server->pool.setMaxConnections(100);
  site.unpause();
  EXPECT_EQ(site.reservations(), 0);
  EXPECT_EQ(site.server->dispatcher.open(), 0U);
}

// Its read has just gone out, and the reservation would follow at once on a connection at hand.
TEST_P(AClientThatLeft, GetsNoReservationAsItsReadGoesOut) {
  Departure site({{"r1", "read", 0}, {"w1", "write", 0}}, GetParam().openai);
  site.instances["r1"]->script = answerRead;
  site.instances["w1"]->script = streamWhole;
  RawPeer other(site.io);
  other.connect(site.listener->address());
  other.write(requestText(site.openai, "other"));
  ASSERT_TRUE(site.until([&] { return site.server->counters["requests.served"] == 1; }));
  site.settle();
  site.pass(5);  // the connections have rested
  const int reservations = site.reservations();
  ASSERT_EQ(site.server->counters["attempts.sent"], 2U);
  site.ask();
  for (int i = 0; i < 10'000 && site.server->counters["attempts.sent"] == 2; ++i) {
    site.io.restart();
    site.io.poll_one();
  }
  ASSERT_EQ(site.server->counters["attempts.sent"], 3U);
  site.leave(GetParam().how);
  site.unpause();
  EXPECT_EQ(site.reservations(), reservations);
  EXPECT_EQ(site.server->dispatcher.open(), 0U);
}

// It wrote and left before the loop ran at all: its request is read, and nothing is sent on.
TEST_P(AClientThatLeft, GetsNoFirstAttemptIfItsCloseCameWithItsRequest) {
  Departure site(kSplit, GetParam().openai);
  site.ask();
  site.leave(GetParam().how);
  site.unpause();
  EXPECT_EQ(site.chats(), 0);
  EXPECT_EQ(site.server->dispatcher.open(), 0U);
}

TEST_P(AClientThatLeft, GetsNothingForHalfARequest) {
  Departure site(kSplit, GetParam().openai);
  const std::string text = requestText(site.openai, "a");
  site.client.write(text.substr(0, text.size() - 1));
  if (GetParam().told)
    site.settle();
  site.leave(GetParam().how);
  site.unpause();
  EXPECT_EQ(site.chats(), 0);
  EXPECT_EQ(site.server->counters["requests.taken"], 0U);
}

// Its next request stands behind the first, and the close behind that.
TEST_P(AClientThatLeft, GetsNothingForARequestAheadOfItsTurn) {
  Departure site({{"m1", "both", 0}}, GetParam().openai);
  site.client.write(requestText(site.openai, "a") + requestText(site.openai, "b"));
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  if (GetParam().told)
    site.settle();
  site.leave(GetParam().how);
  streamWhole(*site.instances["m1"], site.onlyChat());
  site.unpause();
  EXPECT_EQ(site.chats(), 1);
  EXPECT_EQ(site.server->dispatcher.open(), 0U);
}

// The largest request that is taken stands behind the first, and in pieces more than the system
// keeps. The close is behind it, and noticed within 0.1 s.
TEST_P(AClientThatLeft, IsNoticedBehindTheLargestRequestAheadOfItsTurn) {
  Departure site(kSplit, GetParam().openai);
  site.askUntilTaken();
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  site.client.writeLater(requestText(site.openai, "b", std::string(250 * 1024, 'p')));
  ASSERT_TRUE(site.until([&] { return site.client.wroteAll(); }));
  site.leave(GetParam().how);
  for (int i = 0; i < 10; ++i) {
    site.pass(9);
    site.settle();
  }
  EXPECT_EQ(site.server->counters["requests.client_gone"], 1U);
  EXPECT_EQ(site.server->dispatcher.open(), 0U);
}

// More than is kept is read and dropped by the clock: a close behind it comes through.
TEST_P(AClientThatLeft, IsNoticedBehindMoreThanIsKeptAheadOfItsTurn) {
  for (const std::size_t bytes : {300 * 1024, 4 * 1024 * 1024}) {
    Departure site(kSplit, GetParam().openai);
    site.askUntilTaken();
    ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
    site.client.writeLater(std::string(bytes, 'p'));
    ASSERT_TRUE(site.until([&] {
      site.pass(1);
      return site.client.wroteAll();
    }));
    site.leave(GetParam().how);
    for (int i = 0; i < 10; ++i) {
      site.pass(9);
      site.settle();
    }
    EXPECT_EQ(site.server->counters["requests.client_gone"], 1U);
    answerRead(*site.instances["r1"], site.onlyChat());
    site.unpause();
    EXPECT_EQ(site.chats(), 1);
    EXPECT_EQ(site.server->dispatcher.open(), 0U);
  }
}

// Who is there and has sent too much ahead gets its answers, and a refusal for the request that was
// cut off.
TEST(AClientThatSendsTooMuchAhead, GetsAnAnswerToEachRequestThatWasRead) {
  Departure site({{"m1", "both", 0}}, false);
  site.instances["m1"]->script = streamWhole;
  site.server->pool.setMaxConnections(0);
  site.client.writeLater(requestText(false, "a") + requestText(false, "b") +
                         requestText(false, "c", std::string(255 * 1024, 'p')) +
                         requestText(false, "d", std::string(255 * 1024, 'p')));
  ASSERT_TRUE(site.until([&] {
    site.pass(1);
    return site.client.wroteAll();
  }));
  for (int i = 0; i < 10; ++i) {
    site.pass(9);
    site.settle();
  }
  site.server->pool.setMaxConnections(100);
  ASSERT_TRUE(site.until([&] { return site.client.ended(); }));
  EXPECT_EQ(site.chats(), 3);
  std::vector<std::size_t> at;
  for (std::size_t i = site.client.seen.find("HTTP/1.1 "); i != std::string::npos;
       i = site.client.seen.find("HTTP/1.1 ", i + 1))
    at.push_back(i);
  ASSERT_EQ(at.size(), 4U);
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(site.client.seen.substr(at[i] + 9, 3), "200") << i;
  EXPECT_EQ(site.client.seen.substr(at[3] + 9, 3), "503");
}

// ---- A stream that passes to another process
// -------------------------------------------------------

// The client leaves while its stream is between two processes, with its next request sent ahead.
// The one that takes it over sends nothing on, whether the stream ends first or goes on.
TEST(AHandedOverClientThatLeft, GetsNothingForItsNextRequest) {
  for (const bool ended : {false, true}) {
    for (const Leaving how : {Leaving::kClose, Leaving::kHalfClose, Leaving::kReset}) {
      SCOPED_TRACE(std::to_string(ended) + std::to_string(static_cast<int>(how)));
      Folder folder;
      Departure site({{"m1", "both", 0}}, false), next({{"m1", "both", 0}}, false);
      site.instances["m1"]->script = beginOnly;
      site.ask();
      ASSERT_TRUE(
          site.until([&] { return site.streaming() != nullptr && site.client.hasBytes(); }));
      site.client.write(requestText(false, "b"));
      site.settle();
      app::Handover takes(*next.server, *next.front, *next.listener);
      net::DescriptorReceiver receiver(
          next.io, folder.path, "in",
          [&](net::ReceivedMessage passed) { takes.receive(std::move(passed)); });
      app::Handover handover(*site.server, *site.front, *site.listener);
      handover.begin(folder.path, "in");
      for (int i = 0; i < 20 && site.server->counters["streams.handed_over"] == 0; ++i) {
        site.pass(10);
        site.settle();
      }
      ASSERT_EQ(site.server->counters["streams.handed_over"], 1U);
      site.leave(how);
      if (ended) {
        site.onlyChat().connection->writeChunk(kLastEvents);
        site.onlyChat().connection->endStream();
        site.settle();
      }
      ASSERT_TRUE(next.until([&] { return next.server->counters["streams.taken_over"] == 1; }));
      next.unpause();
      site.unpause();
      EXPECT_EQ(next.server->dispatcher.open(), 0U);
      EXPECT_EQ(next.chats(), 0);
      EXPECT_EQ(site.chats(), 1);
    }
  }
}

}  // namespace
}  // namespace inference_router
