// The time budget that an attempt sends to its instance is at most the time that the client has
// left when the head is written, whatever the attempt waited for and whenever the client's deadline
// began.
#include <algorithm>
#include <thread>

#include "app/handover.h"
#include "support/router_fixture.h"
#include "support/temporary_directory.h"

namespace inference_router {
namespace {

using namespace std::chrono_literals;

// The deadline of the class, which is the same as that of a platform client.
constexpr double kDeadlineMs = 6'000;
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

// One client on a raw socket, and a router whose instances answer only when the test makes them.
struct BudgetFixture : RouterFixture {
  explicit BudgetFixture(bool openai, const std::vector<Kind>& kinds = {{"m1", "both", 0}})
      : RouterFixture(kinds, openai), openai(openai) {
    for (auto& [id, instance] : instances)
      instance->script = leaveUnanswered;
    client.connect(listener->address());
  }
  void sendRequest(const std::string& id = "a") {
    client.write(requestText(openai, id));
    sentMs = clock.nowMs();
  }
  void settle() {
    for (int i = 0; i < 10; ++i) {
      io.restart();
      io.poll();
      io.run_one_for(1ms);
    }
  }
  // The budgets of all attempts that have arrived, in order of arrival at each instance.
  std::vector<double> budgets() const {
    std::vector<double> found;
    for (const auto& [id, instance] : instances)
      for (const auto& request : instance->received)
        if (request->target == "/v1/chat/completions")
          found.push_back(std::stod(request->budget));
    return found;
  }
  double leftMs() const { return sentMs + kDeadlineMs - clock.nowMs(); }

  bool openai;
  RawPeer client{io};
  double sentMs = 0;
};

class Budget : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(Fronts, Budget, testing::Bool(), [](const auto& info) {
  return info.param ? "ChatApi" : "Platform";
});

TEST_P(Budget, IsRemainingTimeOfClientRoundedDown) {
  BudgetFixture fixture(GetParam());
  fixture.server->pool.setMaxConnections(0);
  fixture.sendRequest();
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["calls.waited"] == 1; }));
  fixture.pass(0.4);
  fixture.server->pool.setMaxConnections(1);
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  EXPECT_EQ(fixture.budgets()[0], kDeadlineMs - 1);
}

TEST_P(Budget, IsReducedByConnectTime) {
  BudgetFixture fixture(GetParam());
  fixture.sendRequest();
  for (int i = 0; i < 10'000 && fixture.server->counters["attempts.sent"] == 0; ++i) {
    fixture.io.restart();
    fixture.io.poll_one();
  }
  fixture.pass(249);
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  EXPECT_EQ(fixture.budgets()[0], kDeadlineMs - 249);
}

TEST_P(Budget, IsReducedByWaitForConnection) {
  BudgetFixture fixture(GetParam());
  fixture.server->pool.setMaxConnections(0);
  fixture.sendRequest();
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["calls.waited"] == 1; }));
  fixture.pass(249);
  fixture.server->pool.setMaxConnections(1);
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  EXPECT_EQ(fixture.budgets()[0], kDeadlineMs - 249);
}

// The budget of the second attempt if it was delayed by this long after the close of the first one.
double budgetAfterDelay(double delayMs, bool openai) {
  BudgetFixture fixture(openai, kSplit);
  auto settings = fixture.operatorFile.setup.settings;
  settings.classes[1].latencyObjective = 6s;
  fixture.server->reconfigure(settings, openai ? frontend::openaiProtocol(fixture.operatorFile)
                                               : frontend::platformProtocol());
  fixture.sendRequest();
  EXPECT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  fixture.pass(3'700);
  EXPECT_EQ(fixture.server->counters["attempts.sent"], 2U);
  fixture.pass(delayMs);
  EXPECT_TRUE(fixture.until([&] { return fixture.chats() == 2; }));
  const std::vector<double> budgets = fixture.budgets();
  return *std::min_element(budgets.begin(), budgets.end());
}

TEST_P(Budget, IsReducedByDelayAfterClose) {
  EXPECT_EQ(budgetAfterDelay(240, GetParam()), budgetAfterDelay(10, GetParam()) - 230);
}

// The time during which a request was pipelined behind another one counts, as its client had sent
// it before.
TEST_P(Budget, IsReducedByTimeBehindEarlierRequest) {
  BudgetFixture fixture(GetParam());
  fixture.sendRequest("a");
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  fixture.pass(1'000);
  fixture.sendRequest("b");
  fixture.settle();
  fixture.pass(2'000);
  fixture.client.write(requestText(fixture.openai, "c"));
  fixture.settle();
  fixture.pass(500);
  for (int i = 0; i < 2; ++i) {
    const auto answered = static_cast<std::size_t>(i);
    streamFullAnswer(*fixture.instances["m1"], *fixture.instances["m1"]->received.at(answered));
    ASSERT_TRUE(fixture.until([&] { return fixture.chats() == i + 2; }));
  }
  EXPECT_EQ(fixture.budgets(),
            (std::vector<double>{kDeadlineMs, kDeadlineMs - 2'500, kDeadlineMs - 500}));
}

// A request was not read for a while, as its connection was in the accept queue or the process was
// stopped. Only the kernel knows when the request arrived, by its own clock.
TEST_P(Budget, IsReducedByTheTimeBeforeTheRequestWasRead) {
  BudgetFixture fixture(GetParam());
  fixture.sendRequest();
  std::this_thread::sleep_for(400ms);
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  EXPECT_LE(fixture.budgets()[0], kDeadlineMs - 400 + kSlackMs);
  EXPECT_GE(fixture.budgets()[0], kDeadlineMs - 5'000);
}

// A process takes over a stream together with the next request of its client, which had waited for
// a while.
TEST(Budget, IsReducedByTimeBehindHandedOverStream) {
  TemporaryDirectory directory;
  BudgetFixture fixture(false), next(false);
  fixture.instances["m1"]->script = beginOnly;
  fixture.sendRequest("a");
  ASSERT_TRUE(
      fixture.until([&] { return fixture.streaming() != nullptr && fixture.client.hasBytes(); }));
  fixture.sendRequest("b");
  fixture.settle();
  fixture.pass(2'000);
  next.pass(2'000);
  app::Handover receivingHandover(*next.server, *next.front, *next.listener);
  net::DescriptorReceiver receiver(
      next.io, directory.path, "in",
      [&](net::ReceivedMessage message) { receivingHandover.receive(std::move(message)); });
  app::Handover handover(*fixture.server, *fixture.front, *fixture.listener);
  handover.begin(directory.path, "in");
  for (int i = 0; i < 20 && fixture.server->counters["streams.handed_over"] == 0; ++i) {
    fixture.pass(0);
    fixture.settle();
  }
  ASSERT_TRUE(next.until([&] { return next.server->counters["streams.taken_over"] == 1; }));
  next.pass(1'000);
  fixture.streaming()->connection->writeChunk(kLastEvents);
  for (const auto& request : fixture.instances["m1"]->received)
    request->connection->endStream();
  fixture.settle();
  ASSERT_TRUE(next.until([&] { return next.chats() == 1; }));
  EXPECT_EQ(next.budgets()[0], kDeadlineMs - 3'000);
}

// ---- A write that stalls

struct WriteFixture : NetworkFixture {
  static constexpr std::size_t kLargeBytes = 64 << 20;  // more than the kernel buffers
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

// The instance would run the request with a budget that no longer applies, so the attempt is
// abandoned before it is complete and has not run.
TEST(StalledWrite, IsAbandonedWithinSlackOfBudget) {
  WriteFixture fixture;
  fixture.begin(WriteFixture::kLargeBytes);
  EXPECT_FALSE(fixture.reply->wasWritten);
  fixture.pass(99);
  fixture.io.restart();
  fixture.io.poll();
  EXPECT_FALSE(fixture.reply->over);
  for (int i = 0; i < 5 && !fixture.reply->over; ++i) {
    fixture.pass(10);
    fixture.io.restart();
    fixture.io.poll();
  }
  EXPECT_EQ(fixture.reply->failure, net::CallFailure::kNoConnection);
  EXPECT_FALSE(fixture.reply->wasWritten);
  EXPECT_EQ(fixture.pool.size(), 0U);
}

// The last byte is written, but the event loop learns of it only after the time limit. The request
// may run, so it must not be reported as not sent.
TEST(StalledWrite, IsNotReportedForCompleteWriteAtTheTimeLimit) {
  NetworkFixture fixture;
  net::ConnectionPool pool(fixture.io, fixture.clock, fixture.timers, fixture.counters,
                           {4, 250, 18'000, 1 << 20});
  RawPeer instance(fixture.io);
  const auto first = std::make_shared<Reply>(), reply = std::make_shared<Reply>();
  const std::string head = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n";
  pool.call(instance.address(), head, std::make_shared<const std::string>("ab"), first);
  instance.accept();
  ASSERT_TRUE(fixture.until([&] { return first->wasWritten; }));
  instance.readSome();
  instance.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(fixture.until([&] { return first->complete; }));
  fixture.pass(5);
  pool.call(instance.address(), head, std::make_shared<const std::string>("ab"),
            reply);  // written at once
  fixture.pass(101);
  fixture.pass(11);
  ASSERT_TRUE(fixture.until([&] { return reply->wasWritten; }));
  EXPECT_FALSE(reply->over);
  EXPECT_EQ(instance.readSome(), head + "ab");
  instance.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(fixture.until([&] { return reply->complete; }));
}

}  // namespace
}  // namespace inference_router
