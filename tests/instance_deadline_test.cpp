// The time that an attempt tells its instance: no more than the client has left when the head is
// written, whatever the attempt waited for before, and whenever the client's time began.
#include <algorithm>
#include <thread>

#include "app/handover.h"
#include "support/folder.h"
#include "support/site.h"

namespace inference_router {
namespace {

using namespace std::chrono_literals;

// The class has as long as the client of the platform's front says.
constexpr double kClientMs = 6'000;
constexpr double kSlackMs = 150;

std::string requestText(bool openai, const std::string& id) {
  if (!openai) {
    net::Fields fields = platformFields(id);
    fields.emplace_back("Host", "x");
    return messageText("POST /v1/chat/completions HTTP/1.1", std::move(fields), "{}");
  }
  const json body{{"model", "change"},
                  {"messages", {{{"role", "user"}, {"content", "When do you open?"}}}}};
  return messageText("POST /v1/chat/completions HTTP/1.1",
                     {{"Host", "x"}, {"Authorization", "Bearer desk"}}, body.dump());
}

struct TimerQueue : Site {
  explicit TimerQueue(bool openai, const std::vector<Kind>& kinds = {{"m1", "both", 0}})
      : Site(kinds, openai), openai(openai) {
    for (auto& [id, instance] : instances)
      instance->script = leaveSilent;
    client.connect(listener->address());
  }
  void ask(const std::string& id = "a") {
    client.write(requestText(openai, id));
    askedMs = clock.nowMs();
  }
  void settle() {
    for (int i = 0; i < 10; ++i) {
      io.restart();
      io.poll();
      io.run_one_for(1ms);
    }
  }
  // Of all attempts that have arrived, in their order at each instance.
  std::vector<double> budgets() const {
    std::vector<double> told;
    for (const auto& [id, instance] : instances)
      for (const auto& taken : instance->taken)
        if (taken->target == "/v1/chat/completions")
          told.push_back(std::stod(taken->budget));
    return told;
  }
  double leftMs() const { return askedMs + kClientMs - clock.nowMs(); }

  bool openai;
  RawPeer client{io};
  double askedMs = 0;
};

class ABudget : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(Fronts, ABudget, testing::Bool(), [](const auto& info) {
  return info.param ? "ChatApi" : "Platform";
});

TEST_P(ABudget, IsWhatTheClientHasLeftRoundedDown) {
  TimerQueue site(GetParam());
  site.server->pool.setMaxConnections(0);
  site.ask();
  ASSERT_TRUE(site.until([&] { return site.server->counters["calls.waited"] == 1; }));
  site.pass(0.4);
  site.server->pool.setMaxConnections(1);
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  EXPECT_EQ(site.budgets()[0], kClientMs - 1);
}

TEST_P(ABudget, IsLessByTheTimeOfADial) {
  TimerQueue site(GetParam());
  site.ask();
  for (int i = 0; i < 10'000 && site.server->counters["attempts.sent"] == 0; ++i) {
    site.io.restart();
    site.io.poll_one();
  }
  site.pass(249);
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  EXPECT_EQ(site.budgets()[0], kClientMs - 249);
}

TEST_P(ABudget, IsLessByTheWaitForAConnection) {
  TimerQueue site(GetParam());
  site.server->pool.setMaxConnections(0);
  site.ask();
  ASSERT_TRUE(site.until([&] { return site.server->counters["calls.waited"] == 1; }));
  site.pass(249);
  site.server->pool.setMaxConnections(1);
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  EXPECT_EQ(site.budgets()[0], kClientMs - 249);
}

// What the second attempt tells its instance if its pause and its dial took so long.
double toldAfterAPauseOf(double ms, bool openai) {
  TimerQueue site(openai, kSplit);
  auto settings = site.site.setup.settings;
  settings.classes[1].latencyObjective = 6s;
  site.server->reconfigure(
      settings, openai ? frontend::openaiProtocol(site.site) : frontend::platformProtocol());
  site.ask();
  EXPECT_TRUE(site.until([&] { return site.chats() == 1; }));
  site.pass(3'700);
  EXPECT_EQ(site.server->counters["attempts.sent"], 2U);
  site.pass(ms);
  EXPECT_TRUE(site.until([&] { return site.chats() == 2; }));
  const std::vector<double> told = site.budgets();
  return *std::min_element(told.begin(), told.end());
}

TEST_P(ABudget, IsLessByThePauseAfterAClose) {
  EXPECT_EQ(toldAfterAPauseOf(240, GetParam()), toldAfterAPauseOf(10, GetParam()) - 230);
}

// A request that stood behind another one has had that time already, as its client sent it before.
TEST_P(ABudget, IsLessByTheTimeBehindAnEarlierRequest) {
  TimerQueue site(GetParam());
  site.ask("a");
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  site.pass(1'000);
  site.ask("b");
  site.settle();
  site.pass(2'000);
  site.client.write(requestText(site.openai, "c"));
  site.settle();
  site.pass(500);
  for (int i = 0; i < 2; ++i) {
    const auto answered = static_cast<std::size_t>(i);
    streamWhole(*site.instances["m1"], *site.instances["m1"]->taken.at(answered));
    ASSERT_TRUE(site.until([&] { return site.chats() == i + 2; }));
  }
  EXPECT_EQ(site.budgets(), (std::vector<double>{kClientMs, kClientMs - 2'500, kClientMs - 500}));
}

// Nothing read the request for a while: its connection stood in the queue, or the process was
// stopped. The system alone knows since when, by its own clock.
TEST_P(ABudget, IsLessByTheTimeForWhichItsRequestStoodUnread) {
  TimerQueue site(GetParam());
  site.ask();
  std::this_thread::sleep_for(400ms);
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  EXPECT_LE(site.budgets()[0], kClientMs - 400 + kSlackMs);
  EXPECT_GE(site.budgets()[0], kClientMs - 5'000);
}

// A process takes a stream over, and with it the next request, which had waited for a while.
TEST(ABudget, IsLessByTheTimeBehindAStreamThatWasHandedOver) {
  Folder folder;
  TimerQueue site(false), next(false);
  site.instances["m1"]->script = beginOnly;
  site.ask("a");
  ASSERT_TRUE(site.until([&] { return site.streaming() != nullptr && site.client.hasBytes(); }));
  site.ask("b");
  site.settle();
  site.pass(2'000);
  next.pass(2'000);
  app::Handover takes(*next.server, *next.front, *next.listener);
  net::DescriptorReceiver receiver(next.io, folder.path, "in", [&](net::ReceivedMessage passed) {
    takes.receive(std::move(passed));
  });
  app::Handover handover(*site.server, *site.front, *site.listener);
  handover.begin(folder.path, "in");
  for (int i = 0; i < 20 && site.server->counters["streams.handed_over"] == 0; ++i) {
    site.pass(0);
    site.settle();
  }
  ASSERT_TRUE(next.until([&] { return next.server->counters["streams.taken_over"] == 1; }));
  next.pass(1'000);
  site.streaming()->connection->writeChunk(kLastEvents);
  for (const auto& taken : site.instances["m1"]->taken)
    taken->connection->endStream();
  site.settle();
  ASSERT_TRUE(next.until([&] { return next.chats() == 1; }));
  EXPECT_EQ(next.budgets()[0], kClientMs - 3'000);
}

// ---- A write that stops midway
// -----------------------------------------------------------------------

struct Writes : Stage {
  static constexpr std::size_t kMore = 64 << 20;  // than the system takes at once
  net::ConnectionPool pool{io, clock, timers, counters, {4, 250, 18'000, 1 << 20}};
  RawPeer instance{io};
  std::shared_ptr<Reply> reply = std::make_shared<Reply>();

  void begin(std::size_t bytes) {
    pool.call(instance.address(), "POST / HTTP/1.1\r\n\r\n",
              std::make_shared<const std::string>(bytes, 'x'), reply);
    instance.accept();
    for (int i = 0; i < 100; ++i) {
      io.restart();
      io.poll();
    }
  }
};

// Its instance would run it with a time that is long over: it is given up before, and has never
// run.
TEST(AWriteThatStopsMidway, IsGivenUpWithinTheSlackOfItsBudget) {
  Writes writes;
  writes.begin(Writes::kMore);
  EXPECT_FALSE(writes.reply->wasWritten);
  writes.pass(99);
  writes.io.restart();
  writes.io.poll();
  EXPECT_FALSE(writes.reply->over);
  for (int i = 0; i < 5 && !writes.reply->over; ++i) {
    writes.pass(10);
    writes.io.restart();
    writes.io.poll();
  }
  EXPECT_EQ(writes.reply->failure, net::CallFailure::kNoConnection);
  EXPECT_FALSE(writes.reply->wasWritten);
  EXPECT_EQ(writes.pool.size(), 0U);
}

// The last byte is out, and the loop comes to hear of it late: it may run, and is not said never to
// have.
TEST(AWriteThatStopsMidway, IsNotOneThatIsWholeWhenItsTimeIsUp) {
  Stage stage;
  net::ConnectionPool pool(stage.io, stage.clock, stage.timers, stage.counters,
                           {4, 250, 18'000, 1 << 20});
  RawPeer instance(stage.io);
  const auto first = std::make_shared<Reply>(), reply = std::make_shared<Reply>();
  const std::string head = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n";
  pool.call(instance.address(), head, std::make_shared<const std::string>("ab"), first);
  instance.accept();
  ASSERT_TRUE(stage.until([&] { return first->wasWritten; }));
  instance.readSome();
  instance.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(stage.until([&] { return first->whole; }));
  stage.pass(5);
  pool.call(instance.address(), head, std::make_shared<const std::string>("ab"),
            reply);  // written at once
  stage.pass(101);
  stage.pass(11);
  ASSERT_TRUE(stage.until([&] { return reply->wasWritten; }));
  EXPECT_FALSE(reply->over);
  EXPECT_EQ(instance.readSome(), head + "ab");
  instance.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(stage.until([&] { return reply->whole; }));
}

}  // namespace
}  // namespace inference_router
