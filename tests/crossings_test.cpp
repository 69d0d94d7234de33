// Race conditions between two events, each forced on real sockets. docs/design/crossings.md lists
// them.
#include "support/router_fixture.h"
#include "upstream/release_retry.h"

namespace inference_router {
namespace {

using namespace std::chrono_literals;
using State = net::ClientConnection::State;

// ---- State that instances hold for a request

TEST(ReleaseRetry, DoublesEachWaveAndRunsASecondRound) {
  upstream::ReleaseRetry retry(1'000, 300);
  std::size_t inFlight = 0;
  std::vector<std::size_t> waves;
  for (double nowMs = 1'000; nowMs < 1'200; nowMs += upstream::ReleaseRetry::kWaveIntervalMs)
    waves.push_back(retry.due(nowMs, inFlight)), inFlight += waves.back();
  EXPECT_EQ(waves, (std::vector<std::size_t>{1, 2, 4, 8, 1}));  // at most 16 unanswered calls
  retry.accepted(1'200, false);
  EXPECT_TRUE(retry.betweenRounds());
  retry.beginRound(1'300);
  EXPECT_EQ(retry.due(1'300, 0), 0U);
  EXPECT_EQ(retry.nextMs(), 1'350);
  retry.beginRound(retry.nextMs());
  EXPECT_EQ(retry.due(1'350, 0), 1U);
  retry.accepted(1'351, false);
  EXPECT_TRUE(retry.complete());
  upstream::ReleaseRetry unanswered(0, 300);
  EXPECT_FALSE(unanswered.over(upstream::ReleaseRetry::kGiveUpMs - 1));
  EXPECT_TRUE(unanswered.over(upstream::ReleaseRetry::kGiveUpMs));
}

// As long as a reservation may still be granted there is another round. If it is granted or refused
// during a round, that round may have been too early and another one follows.
TEST(ReleaseRetry, AddsRoundsWhileAReservationIsOpen) {
  upstream::ReleaseRetry retry(0, 300);
  for (int i = 0; i < 5; ++i) {
    retry.beginRound(i * 150);
    EXPECT_EQ(retry.due(i * 150, 0), 1U) << i;
    retry.accepted(i * 150, true);
  }
  retry.beginRound(750);
  retry.reservationSettled(751);
  retry.accepted(752, false);
  EXPECT_FALSE(retry.complete());
  retry.reservationSettled(760);  // the round was delayed only for the reservation
  EXPECT_EQ(retry.nextMs(), 760);
  retry.beginRound(760);
  retry.accepted(761, false);
  EXPECT_TRUE(retry.complete());
}

constexpr double kRoundIntervalMs = 150;  // half of releaseMs in the settings

// A router with separate prefill and decode instances, and counts of the reservations and releases
// that they get.
struct HeldStateFixture : RouterFixture {
  explicit HeldStateFixture(const std::vector<Kind>& kinds = kSplit)
      : RouterFixture(kinds, false) {}
  // Sends a request and waits until its prefill and its reservation request have arrived.
  std::shared_ptr<Reply> startPrefill(const std::string& id = "a") {
    for (auto& [name, instance] : instances)
      instance->script = leaveUnanswered;
    const auto reply = post("/v1/chat/completions", platformFields(id), "{}");
    EXPECT_TRUE(until([&] { return chats() == 1 && reservationRequests(id) == 1; }));
    return reply;
  }
  // Has a request served while its reservation request is unanswered.
  std::shared_ptr<Reply> serveWithPendingReservation() {
    for (auto& [name, instance] : instances)
      instance->answersReservations = false;
    const auto reply = startPrefill();
    for (auto& [name, instance] : instances)
      instance->script = streamFullAnswer;
    for (const auto& [name, instance] : instances)
      for (const auto& request : instance->received)
        if (request->target == "/v1/chat/completions")
          answerPrefill(*instance, *request);
    finished(reply);
    return reply;
  }
  int reservationRequests(const std::string& id) const {
    return countRequests("POST", "/bootstrap/rooms/" + id);
  }
  int releaseRequests(const std::string& id = "a") const {
    return countRequests("DELETE", "/bootstrap/rooms/" + id);
  }
  int countRequests(const std::string& method, const std::string& target) const {
    int found = 0;
    for (const auto& [name, instance] : instances)
      found += instance->count(method, target);
    return found;
  }
  StandInInstance::ReceivedRequest& reservationCall() {
    for (const auto& [name, instance] : instances)
      for (const auto& request : instance->received)
        if (request->method == "POST" && request->target.rfind("/bootstrap/", 0) == 0)
          return *request;
    throw std::logic_error("no reservation was requested");
  }
  // Runs the event loop until what is in flight on the sockets has arrived.
  void settle() {
    for (int i = 0; i < 20; ++i) {
      io.restart();
      io.poll();
      io.run_one_for(std::chrono::milliseconds(1));
    }
  }
};

// Guards against a zone that is cut off: the instances that answered last are all silent, and
// calling them one after another took longer than state may be held. With ten silent instances out
// of eleven the responsive one is reached within 0.3 s.
TEST(Releases, ReachOneResponsiveInstanceAmongManySilentOnesInTime) {
  std::vector<RouterFixture::Kind> kinds{{"r1", "read", 0}};
  for (int i = 0; i < 10; ++i)
    kinds.push_back({"w" + std::to_string(i), "write", 0});
  HeldStateFixture fixture(kinds);
  fixture.startPrefill();
  StandInInstance* last = nullptr;
  for (auto& [name, instance] : fixture.instances) {
    instance->answersReleases = false;
    if (instance->received.empty())
      last = instance.get();  // without a connection, so it is called last
  }
  last->answersReleases = true;
  fixture.lastCall->abandon();
  ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() == 1; }));
  for (int wave = 0; wave < 4 && last->count("DELETE", "/") == 0; ++wave) {
    fixture.pass(upstream::ReleaseRetry::kWaveIntervalMs);
    fixture.settle();
  }
  EXPECT_GE(last->count("DELETE", "/bootstrap/rooms/a"), 1);
}

// The close of a prefill and the release travel on different connections. A prefill that ends
// between them leaves a KV cache behind, so a second release follows.
TEST(Releases, AreRepeatedForPrefillThatEndsBetweenCloseAndRelease) {
  HeldStateFixture fixture;
  fixture.startPrefill();
  fixture.lastCall->abandon();
  ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() >= 1; }));
  fixture.settle();
  const int first = fixture.releaseRequests();
  fixture.pass(kRoundIntervalMs + 1);
  ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() == first + 1; }));
  ASSERT_TRUE(fixture.until([&] { return fixture.server->instanceClient.releasing() == 0; }));
}

// The answer to a reservation request is incomplete or missing. The reservation may be held from
// the start, and its time limit runs whatever happens to the call.
TEST(Releases, AreRepeatedInTimeWhileReservationRequestIsUnanswered) {
  HeldStateFixture fixture;
  for (auto& [name, instance] : fixture.instances)
    instance->answersReservations = false;
  fixture.startPrefill();
  fixture.lastCall->abandon();
  ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() >= 1; }));
  fixture.settle();
  for (int round = 1; round <= 4; ++round) {  // 600 ms; the limit is 650 ms
    const int before = fixture.releaseRequests();
    fixture.pass(kRoundIntervalMs + 1);
    fixture.settle();
    EXPECT_EQ(fixture.releaseRequests(), before + 1) << round;
  }
  fixture.reservationCall().connection->answer(409, {}, "");
  fixture.settle();
  fixture.pass(kRoundIntervalMs + 1);
  ASSERT_TRUE(fixture.until([&] { return fixture.server->instanceClient.releasing() == 0; }));
}

// An answer to a release may be a late answer to an earlier call on its connection. So another
// instance gets the second round, and only status 204 counts as acceptance.
TEST(Releases, GoToTwoInstancesAndAreAcceptedOnlyWithStatus204) {
  HeldStateFixture fixture;
  fixture.startPrefill();
  std::vector<std::string> receivers;
  const auto nextReleaseArrives = [&] {  // and records its receiver
    return fixture.until([&] {
      for (const auto& [name, instance] : fixture.instances)
        if (instance->count("DELETE", "/bootstrap/rooms/a") >
            std::count(receivers.begin(), receivers.end(), name))
          return receivers.push_back(name), true;
      return false;
    });
  };
  for (auto& [name, instance] : fixture.instances)
    instance->answersReleases = false;
  fixture.lastCall->abandon();
  ASSERT_TRUE(nextReleaseArrives());
  for (auto& [name, instance] : fixture.instances)
    instance->answersReleases = true;
  for (const auto& request : fixture.instances.at(receivers[0])->received)
    if (request->method == "DELETE")
      request->connection->answer(202, {}, "{\"cached_tokens\":4}");
  ASSERT_TRUE(nextReleaseArrives()) << "the answer to a prefill is not an acceptance";
  fixture.settle();
  fixture.pass(kRoundIntervalMs + 1);
  ASSERT_TRUE(nextReleaseArrives());
  EXPECT_NE(receivers[2], receivers[1]);
}

// A release has overtaken a reservation request. Another release follows once that request is
// answered or has failed.
TEST(Releases, FollowReservationRequestThatTheyOvertook) {
  for (const bool answered : {true, false}) {
    HeldStateFixture fixture;
    for (auto& [name, instance] : fixture.instances)
      instance->answersReservations = false;
    fixture.startPrefill();
    fixture.lastCall->abandon();
    ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() >= 1; }));
    fixture.pass(kRoundIntervalMs + 1);
    fixture.settle();
    const int before = fixture.releaseRequests();
    EXPECT_GT(fixture.server->instanceClient.releasing(), 0U)
        << "the reservation may still be granted";
    if (answered)
      fixture.reservationCall().connection->answer(204, {}, "");
    else
      fixture.pass(1'001);
    ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() > before; })) << answered;
  }
}

// The same without an earlier release: the request is served before its reservation request is
// answered.
TEST(Releases, FollowUnknownReservationAnswerAfterRequestIsServed) {
  HeldStateFixture fixture;
  const auto reply = fixture.serveWithPendingReservation();
  ASSERT_TRUE(reply->complete);
  EXPECT_EQ(fixture.releaseRequests(), 0);
  fixture.reservationCall().connection->answer(204, {}, "");
  ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() == 1; }));
}

// The same with a late grant: the instance was stopped meanwhile, and the first event of the stream
// had released everything else.
TEST(Releases, FollowReservationGrantedAfterRequestIsServed) {
  HeldStateFixture fixture;
  const auto reply = fixture.serveWithPendingReservation();
  ASSERT_TRUE(reply->complete);
  EXPECT_EQ(fixture.releaseRequests(), 0);
  fixture.reservationCall().connection->answer(200, {}, "");
  ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() == 1; }));
}

// A prefill never reached its instance, as that no longer reads the connection. No instance counts
// an attempt, but the reservation that was requested with it may be held without an answer. A
// granted reservation means that the prefill has arrived.
TEST(Releases, AreSentDuringPrefillWhoseReservationIsInDoubt) {
  for (const int answer : {0, 204, 200, 409}) {
    HeldStateFixture fixture;
    for (auto& [name, instance] : fixture.instances)
      instance->answersReservations = false;
    fixture.startPrefill();
    if (answer != 0)
      fixture.reservationCall().connection->answer(answer, {}, "");
    fixture.settle();
    const int reservations =
        fixture.reservationRequests("a");  // 409 makes the router try another instance
    fixture.pass(299);
    fixture.settle();
    EXPECT_EQ(fixture.releaseRequests(), 0) << answer;
    fixture.pass(2);
    fixture.settle();
    EXPECT_EQ(fixture.releaseRequests(), answer == 200 ? 0 : 1)
        << answer << ", reservations requested " << reservations;
  }
}

// A decode instance does not read its connection any more, or sends a single part that may not
// belong to a stream. The KV cache is still held, and its time limit runs although an attempt is in
// flight.
TEST(Releases, AreSentDuringDecodeThatMayNotHaveFetchedTheKvCache) {
  for (const int parts : {0, 1, 2}) {
    HeldStateFixture fixture;
    for (auto& [name, instance] : fixture.instances)
      instance->script = name[0] == 'r' ? answerPrefill : leaveUnanswered;
    fixture.post("/v1/chat/completions", platformFields("a"), "{}");
    StandInInstance::ReceivedRequest* decode = nullptr;
    ASSERT_TRUE(fixture.until([&] {
      for (const auto& [name, instance] : fixture.instances)
        for (const auto& request : instance->received)
          if (name[0] == 'w' && request->target == "/v1/chat/completions")
            decode = request.get();
      return decode != nullptr;
    }));
    fixture.settle();
    if (parts > 0)
      beginOnly(*fixture.instances.at("w1"), *decode);
    fixture.settle();
    if (parts > 1)
      decode->connection->writeChunk(eventOf("more"));
    fixture.settle();
    fixture.pass(299);
    fixture.settle();
    EXPECT_EQ(fixture.releaseRequests(), 0);
    fixture.pass(2);
    fixture.settle();
    EXPECT_EQ(fixture.releaseRequests(), parts < 2 ? 1 : 0) << parts;
  }
}

// The first round ran while the close of its attempt was in flight, and the next attempt goes to a
// silent instance. What the first attempt left is still released in time, once a prefill would have
// ended. If the reservation was granted, the second prefill is known to run, and nothing is
// released.
TEST(Releases, ContinueDuringAttemptThatMayNotHaveArrived) {
  for (const bool granted : {false, true}) {
    HeldStateFixture fixture;
    for (auto& [name, instance] : fixture.instances)
      instance->answersReservations = granted;
    int prefills = 0;
    for (const char* reader : {"r1", "r2"})
      fixture.instances.at(reader)->script = [&](StandInInstance&,
                                                 StandInInstance::ReceivedRequest& request) {
        if (prefills++ == 0)
          request.connection->answer(500, {}, "");
      };
    fixture.post("/v1/chat/completions", platformFields("a"), "{}");
    ASSERT_TRUE(fixture.until([&] { return prefills == 1 && fixture.releaseRequests() >= 1; }));
    fixture.pass(10);  // the close of the first attempt has to arrive before the second
    ASSERT_TRUE(fixture.until([&] { return prefills == 2; }));
    fixture.settle();
    const int before = fixture.releaseRequests();
    fixture.pass(299);
    fixture.settle();
    EXPECT_EQ(fixture.releaseRequests(), before) << "a prefill may be running";
    fixture.pass(40);
    fixture.settle();
    EXPECT_EQ(fixture.releaseRequests(), before + (granted ? 0 : 1));
  }
}

// The same while the next prefill waits for a connection that is not established: no attempt is in
// flight, so the time limit of what the first attempt left keeps running.
TEST(Releases, ContinueWhileNextPrefillWaitsForItsConnection) {
  HeldStateFixture fixture;
  // The accept queue is full, so another connection is neither accepted nor refused.
  boost::asio::ip::tcp::acceptor full(fixture.io, anyPort());
  full.listen(0);
  RawPeer filling(fixture.io);
  filling.connect(full.local_endpoint());
  for (const auto& [name, other] : {std::pair("r1", "r2"), std::pair("r2", "r1")})
    fixture.instances.at(name)->script = [&fixture, &full, other = other](
                                             StandInInstance&,
                                             StandInInstance::ReceivedRequest& request) {
      fixture.server->directory.find({other})->address = full.local_endpoint();
      request.connection->answer(500, {}, "");
    };
  fixture.post("/v1/chat/completions", platformFields("a"), "{}");
  ASSERT_TRUE(fixture.until([&] {
    return fixture.server->counters["attempts.sent"] == 2 && fixture.releaseRequests() >= 1;
  }));
  fixture.settle();
  const int before = fixture.releaseRequests();
  fixture.pass(kRoundIntervalMs + 1);
  fixture.settle();
  EXPECT_EQ(fixture.releaseRequests(), before + 1);
}

// A successful prefill leaves a KV cache that the request needs, so further rounds of an earlier
// release are cancelled.
TEST(Releases, StopAfterSuccessfulPrefill) {
  HeldStateFixture fixture;
  int prefills = 0;
  for (auto& [name, instance] : fixture.instances)
    instance->script = beginOnly;
  for (const char* reader : {"r1", "r2"})
    fixture.instances.at(reader)->script = [&](StandInInstance& instance,
                                               StandInInstance::ReceivedRequest& request) {
      if (prefills++ == 0)
        request.connection->answer(500, {}, "");
      else
        answerPrefill(instance, request);
    };
  fixture.post("/v1/chat/completions", platformFields("a"), "{}");
  ASSERT_TRUE(fixture.until([&] { return prefills == 1 && fixture.releaseRequests() >= 1; }));
  fixture.pass(10);  // the close of the first attempt has to arrive before the second
  ASSERT_TRUE(fixture.until([&] { return fixture.streaming() != nullptr; }));
  EXPECT_EQ(fixture.releaseRequests(), 1);
}

// The holder has been removed from the list: any other instance forwards the release to it.
TEST(Releases, GoToAnotherInstanceIfHolderIsNoLongerListed) {
  HeldStateFixture fixture;
  fixture.startPrefill();
  for (auto& [name, instance] : fixture.instances)
    if (!instance->received.empty())
      fixture.server->directory.find({name})->state = routing::EndpointState::kRemoved;
  fixture.lastCall->abandon();
  ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests() >= 1; }));
  for (const auto& [name, instance] : fixture.instances)
    EXPECT_TRUE(instance->count("DELETE", "/") == 0 ||
                fixture.server->directory.find({name})->state != routing::EndpointState::kRemoved);
}

// On SIGTERM the program does not exit before a reservation request is answered and its result is
// released.
TEST(Releases, KeepProgramRunningWhileReservationRequestIsPending) {
  HeldStateFixture fixture;
  fixture.serveWithPendingReservation();
  fixture.settle();
  EXPECT_GT(fixture.server->instanceClient.releasing(), 0U);
  fixture.reservationCall().connection->answer(409, {}, "");
  ASSERT_TRUE(fixture.until([&] { return fixture.server->instanceClient.releasing() == 0; }));
}

// Releases are sent although attempts use every other connection that the pool may open.
TEST(Releases, GetAConnectionWhileAttemptsUseAllOthers) {
  HeldStateFixture fixture;
  for (auto& [name, instance] : fixture.instances)
    instance->script = leaveUnanswered;
  fixture.startPrefill("first");
  fixture.server->pool.setMaxConnections(16);
  std::vector<std::shared_ptr<Reply>> others;
  for (int i = 0; i < 20; ++i)
    others.push_back(
        fixture.post("/v1/chat/completions", platformFields("n" + std::to_string(i)), "{}"));
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["calls.waited"] > 0; }));
  fixture.settle();
  EXPECT_EQ(fixture.server->pool.size(), 15U);  // one of sixteen is reserved for releases
  fixture.server->instanceClient.release({"x"});
  ASSERT_TRUE(fixture.until([&] { return fixture.releaseRequests("x") == 1; }));
}

// ---- Calls that wait for a connection

TEST(ConnectionPool, WithdrawsCallThatGetsNoConnectionWithinConnectTimeout) {
  NetworkFixture stage;
  RawPeer peer(stage.io);
  net::ConnectionPool pool(stage.io, stage.clock, stage.timers, stage.counters,
                           {1, 250, 18'000, 1 << 20});
  const auto busy = std::make_shared<Reply>(), waits = std::make_shared<Reply>();
  const auto call = [&](const auto& reply) {
    return pool.call(peer.address(), net::headText("GET / HTTP/1.1", {{"Host", "x"}}), nullptr,
                     reply);
  };
  const auto first = call(busy);
  ASSERT_TRUE(stage.until([&] { return busy->wasWritten; }));
  call(waits);
  stage.pass(249);
  EXPECT_FALSE(waits->over);
  stage.pass(2);
  EXPECT_EQ(waits->failure, net::CallFailure::kWithdrawn);
  first->abandon();
  stage.pass(300);
  EXPECT_EQ(pool.size(), 0U);
}

// ---- Disconnected clients

// The client's close has reached the kernel, but its handler has not run when the next attempt is
// decided.
TEST(DisconnectedClient, GetsNoAttemptInTheLoopIterationOfItsDisconnect) {
  for (const bool reset : {false, true}) {
    RouterFixture fixture(kSplit, false);
    for (auto& [name, instance] : fixture.instances)
      instance->script = leaveUnanswered;
    RawPeer client(fixture.io);
    client.connect(fixture.listener->address());
    client.write(messageText("POST /v1/chat/completions HTTP/1.1", platformFields("a"), "{}"));
    ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
    StandInInstance::ReceivedRequest* prefill = nullptr;
    for (const auto& [name, instance] : fixture.instances)
      for (const auto& request : instance->received)
        if (request->target == "/v1/chat/completions")
          prefill = request.get();
    ASSERT_NE(prefill, nullptr);
    if (reset)
      client.reset();
    else
      client.close();
    // The event loop runs neither handler; the end of the prefill is reported directly to the core.
    const auto attempt = core::AttemptKey{0, 1};
    fixture.server->dispatcher.attemptEnded(attempt, {routing::AttemptOutcome::kPrefilled});
    EXPECT_EQ(fixture.server->counters["requests.client_gone"], 1U);
    EXPECT_EQ(fixture.server->counters["attempts.not_sent"], 1U);
    ASSERT_TRUE(fixture.until([&] { return fixture.server->dispatcher.openRequests() == 0; }));
    EXPECT_EQ(fixture.chats(), 1);
  }
}

// The client disconnects while the connection to the instance is being established.
TEST(DisconnectedClient, GetsNoAttemptOnConnectionEstablishedLater) {
  RouterFixture fixture(kSplit, false);
  RawPeer client(fixture.io);
  client.connect(fixture.listener->address());
  client.write(messageText("POST /v1/chat/completions HTTP/1.1", platformFields("a"), "{}"));
  // Runs one handler at a time until the attempt is decided and its connection is being
  // established.
  for (int i = 0; i < 10'000 && fixture.server->counters["attempts.sent"] == 0; ++i) {
    fixture.io.restart();
    fixture.io.poll_one();
  }
  ASSERT_EQ(fixture.server->counters["attempts.sent"], 1U);
  client.close();
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["requests.client_gone"] == 1; }));
  ASSERT_TRUE(fixture.until([&] { return fixture.server->dispatcher.openRequests() == 0; }));
  EXPECT_EQ(fixture.chats(), 0);
}

// Behind more pipelined bytes than are read ahead, a close no longer makes the socket readable.
TEST(DisconnectedClient, IsDetectedBehindMoreBytesThanAreReadAhead) {
  RouterFixture fixture(kSplit, false);
  for (auto& [name, instance] : fixture.instances)
    instance->script = leaveUnanswered;
  RawPeer client(fixture.io);
  client.connect(fixture.listener->address());
  client.write(messageText("POST /v1/chat/completions HTTP/1.1", platformFields("a"), "{}"));
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  client.write(std::string(64 * 1024, 'p'));
  for (int i = 0; i < 50; ++i) {
    fixture.io.restart();
    fixture.io.poll();
  }
  client.close();
  for (int i = 0; i < 2 && fixture.server->counters["requests.client_gone"] == 0; ++i) {
    fixture.pass(51);
    fixture.io.restart();
    fixture.io.poll();
  }
  EXPECT_EQ(fixture.server->counters["requests.client_gone"], 1U);
}

// ---- Forwarded headers

// Instances recognise requests of a deduplicated class by a header of the client, whatever its
// name.
TEST(ForwardedHeaders, ContainClientHeadersButNoConnectionHeaders) {
  RouterFixture fixture(kMixed, false);
  auto fields = platformFields("a");
  fields.emplace_back("Some-Key", "k-77");
  fields.emplace_back("X-Again", "1");
  fields.emplace_back("Connection", "keep-alive");
  fields.emplace_back("Keep-Alive", "timeout=5");
  fixture.finished(fixture.post("/v1/chat/completions", fields, "{}"));
  const StandInInstance::ReceivedRequest* forwarded = nullptr;
  for (const auto& [name, instance] : fixture.instances)
    for (const auto& request : instance->received)
      if (request->id == "a" && request->method == "POST" &&
          request->target == "/v1/chat/completions")
        forwarded = request.get();
  ASSERT_NE(forwarded, nullptr);
  const auto values = [&](const std::string& name) {
    std::vector<std::string> found;
    for (const auto& [key, value] : forwarded->fields)
      if (boost::beast::iequals(key, name))
        found.push_back(value);
    return found;
  };
  EXPECT_EQ(values("Some-Key"), std::vector<std::string>{"k-77"});
  EXPECT_EQ(values("X-Again"), std::vector<std::string>{"1"});
  EXPECT_EQ(values("X-Call-Id"), std::vector<std::string>{"a"});
  EXPECT_EQ(values("X-Budget-Ms").size(), 1U);
  EXPECT_EQ(values("Content-Length").size(), 1U);
  EXPECT_EQ(values("Host").size(), 1U);
  EXPECT_TRUE(values("Keep-Alive").empty());
}

// ---- Closes of attempts and the messages that follow them

// The close of a cancelled attempt and the next message travel on different connections. A
// rejection that overtakes the close states that a retry is safe while the attempt is still open at
// its instance, and an attempt that overtakes it is a second copy. Rejections of idempotent
// requests need not wait.
TEST(CancelledAttempt, IsClosedBeforeItsRequestIsRejected) {
  for (const std::string cls : {"membership-changes", "member-questions"}) {
    RouterFixture fixture(kSplit, false);
    for (auto& [id, instance] : fixture.instances)
      instance->script = leaveUnanswered;
    net::Fields fields = platformFields("a");
    fields[1].second = cls;
    const auto reply = fixture.post("/v1/x", fields, "{}");
    ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
    fixture.server->dispatcher.beginShutdown(1000);
    fixture.pass(940);  // the shutdown rejects what is left
    for (int i = 0; i < 20; ++i)
      fixture.io.poll(), fixture.io.restart(), fixture.io.run_one_for(1ms);
    EXPECT_EQ(reply->over, cls == "member-questions")
        << "the rejection must not overtake the close";
    fixture.pass(10);
    EXPECT_EQ(fixture.finished(reply)->status, 503U);
  }
}

TEST(CancelledAttempt, IsClosedBeforeItsRequestIsRetried) {
  RouterFixture fixture(kSplit, false);
  auto settings = fixture.operatorFile.setup.settings;
  settings.classes[1].latencyObjective = 6s;
  fixture.server->reconfigure(settings, frontend::platformProtocol());
  for (auto& [id, instance] : fixture.instances)
    instance->script = leaveUnanswered;
  fixture.post("/v1/x", platformFields("a"), "{}");
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  fixture.pass(3'700);  // of 6 s: the prefill attempt times out, and there is time for another one
  ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["attempts.sent"] == 2; }));
  for (int i = 0; i < 20; ++i)
    fixture.io.poll(), fixture.io.restart(), fixture.io.run_one_for(1ms);
  EXPECT_EQ(fixture.chats(), 1);
  fixture.pass(10);
  EXPECT_TRUE(fixture.until([&] { return fixture.chats() == 2; }));
}

// ---- Late answers to earlier requests

// An instance sends a second, late rejection of an earlier request while the next request is
// running on the same connection, so it looks like the answer to that one. It proves nothing for an
// at-most-once request. It is accepted for an idempotent request, and on a connection that carried
// no request before.
TEST(LateAnswer, ProvesNothingAboutTheNextRequestOnItsConnection) {
  const net::Fields rejectedFields{{"X-Rejected", "1"}};
  for (const auto& [cls, used] : {std::pair{"membership-changes", true},
                                  {"member-questions", true},
                                  {"membership-changes", false}}) {
    RouterFixture fixture({{"m1", "both", 0}, {"m2", "both", 0}}, false);
    const auto statusOf = [&, cls = cls](const std::string& id) {
      net::Fields fields = platformFields(id);
      fields[1].second = cls;
      return fixture.finished(fixture.post("/v1/x", fields, "{}"))->status;
    };
    if (used) {
      EXPECT_EQ(statusOf("a"), 200U);
    }
    fixture.pass(5);  // the connection has been idle
    int rejections = 0;
    for (auto& [id, instance] : fixture.instances)
      instance->script = [&](StandInInstance& instance, StandInInstance::ReceivedRequest& request) {
        if (++rejections > 1)
          return streamFullAnswer(instance, request);
        EXPECT_EQ(request.connection, instance.received.front()->connection);
        instance.received.front()->connection->answer(503, rejectedFields, "");
      };
    const bool provesNotRun = !used || cls == std::string("member-questions");
    EXPECT_EQ(statusOf("b"), provesNotRun ? 200U : 502U) << cls << used;
    EXPECT_EQ(rejections, provesNotRun ? 2 : 1) << cls << used;
  }
}

// A retry of a deduplicated request waits for a connection until the deduplication window, counted
// from the attempt that may have run, has passed. The instance would no longer recognise it as a
// repeat.
TEST(DeduplicatedRequest, IsNotRetriedAfterItsWindow) {
  for (const double waitMs : {150.0, 210.0}) {
    RouterFixture fixture({{"m1", "both", 0}, {"m2", "both", 0}}, false);
    auto settings = fixture.operatorFile.setup.settings;
    settings.classes[1].effect = routing::Effect::kDeduplicated;
    settings.classes[1].dedupScope = routing::DedupScope::kAll;
    settings.classes[1].dedupWindow = std::chrono::milliseconds(200);
    fixture.server->reconfigure(settings, frontend::platformProtocol());
    for (auto& [id, instance] : fixture.instances)
      instance->script = [&](StandInInstance& instance, StandInInstance::ReceivedRequest& request) {
        if (fixture.chats() > 2)
          streamFullAnswer(instance, request);
      };
    fixture.post("/v1/x", platformFields("other"), "{}");  // occupies one of two connections
    ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
    const auto reply = fixture.post("/v1/x", platformFields("a"), "{}");
    ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 2; }));
    fixture.server->pool.setMaxConnections(1);
    for (const auto& [id, instance] : fixture.instances)
      for (const auto& request : instance->received)
        if (request->id == "a")
          request->connection->abortResponse();
    ASSERT_TRUE(fixture.until([&] { return fixture.server->counters["calls.waited"] == 2; }))
        << "the retry and the release";
    fixture.pass(waitMs);
    fixture.server->pool.setMaxConnections(2);
    EXPECT_EQ(fixture.finished(reply)->status, waitMs < 200 ? 200U : 503U);
    EXPECT_EQ(fixture.chats(), waitMs < 200 ? 3 : 2);
  }
}

// ---- Closes while bytes still arrive

// A listener whose requests the test answers.
struct ListenerFixture : NetworkFixture, net::RequestHandler {
  net::Listener listener{io, anyPort(), 3, *this, clock, timers, counters};
  std::vector<std::shared_ptr<net::ClientConnection>> requests;
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&&,
               double) override {
    requests.push_back(connection);
  }
  void disconnected(net::ClientConnection&) override {}
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override {
    connection.answer(status, {}, why);
  }
};

const std::string kRequest = "POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";

// Closing a socket with unread bytes resets the connection and discards the answer that the client
// has not read yet.
TEST(ListenerClose, DeliversLastAnswerToClientThatSendsMore) {
  ListenerFixture fixture;
  RawPeer client(fixture.io);
  client.closesAfterPeer = false;
  client.connect(fixture.listener.address());
  client.write("POST /v1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
  client.write(kRequest);  // not read by the listener
  fixture.requests[0]->answer(200, {}, "whole");
  for (int i = 0; i < 50; ++i) {
    fixture.io.restart();
    fixture.io.poll();
    client.write("more");
  }
  ASSERT_TRUE(fixture.until([&] { return client.ended(); }));
  EXPECT_NE(client.seen.find("whole"), std::string::npos);
  EXPECT_EQ(fixture.requests.size(), 1U) << "nothing after the last request is handled";
  EXPECT_EQ(fixture.listener.size(), 1U) << "the connection is read until the client closes";
  fixture.pass(501);  // the time limit for that
  EXPECT_EQ(fixture.listener.size(), 0U);
}

// The request has reached the kernel when the idle timeout of its connection fires: it is served.
TEST(ListenerClose, ServesRequestThatArrivedBeforeIdleTimeoutFired) {
  ListenerFixture fixture;
  RawPeer client(fixture.io);
  client.connect(fixture.listener.address());
  client.write(kRequest);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 1; }));
  fixture.requests[0]->answer(200, {}, "one");
  ASSERT_TRUE(fixture.until([&] { return fixture.requests[0]->state() == State::kIdle; }));
  client.write(kRequest);  // not yet seen by the event loop
  fixture.pass(5'001);
  ASSERT_TRUE(fixture.until([&] { return fixture.requests.size() == 2; }));
  fixture.requests[1]->answer(200, {}, "two");
  ASSERT_TRUE(fixture.until(
      [&] { return !client.ended() && client.seen.find("two") != std::string::npos; }));
}

}  // namespace
}  // namespace inference_router
