// Tests both front ends with the whole program except its signal handling, between simulated
// clients and instances on loopback.
#include <csignal>
#include <iostream>

#include "app/otlp.h"
#include "app/serve_operator_file.h"
#include "app/serve_platform.h"
#include "coordination/store.h"
#include "frontend/openai/conversation.h"
#include "frontend/settings_json.h"
#include "message_codec.h"
#include "support/live_bytes.h"
#include "support/router_fixture.h"

namespace inference_router {
namespace {

using nlohmann::json;
namespace wire = routing::wire;

// ---- Both front ends

std::vector<std::string> routingDecisions(bool openai,
                                          const std::vector<RouterFixture::Kind>& kinds) {
  RouterFixture fixture(kinds, openai);
  // A prefill ends only after its decode reservation is answered. On a network the two race; a
  // fixed order makes the decisions comparable.
  for (const auto& kind : kinds) {
    if (kind.role != "read")
      continue;
    fixture.instances[kind.id]->script = leaveUnanswered;
  }
  for (int i = 0; i < 24; ++i) {
    const std::string systemPrompt =
        "You help members of club " + std::to_string(i % 3) + ". " + std::string(800, 'o');
    const json messages{{{"role", "system"}, {"content", systemPrompt}},
                        {{"role", "user"}, {"content", "Question " + std::to_string(i / 2)}}};
    const bool isChange = i % 4 == 3;
    const json body{{"model", isChange ? "change" : "ask"},
                    {"stream", true},
                    {"max_tokens", 50},
                    {"messages", messages}};
    std::shared_ptr<Reply> reply;
    const auto reservationsBefore = fixture.server->counters["places.answered"];
    if (openai) {
      reply = fixture.chat(body);
    } else {
      const auto traits = frontend::traitsOf(messages, "club", "");
      reply = fixture.post(
          "/v1/chat/completions",
          {{"X-Call-Id", "id" + std::to_string(i)},
           {"X-Call-Class", isChange ? "membership-changes" : "member-questions"},
           {"X-Caller", "club"},
           {"X-Route-Hash", traits.session},
           {"X-Budget-Ms", isChange ? "6000" : "7500"},
           {"X-Call-Info",
            "prefix=" + traits.prefix + ",prompt_len=" +
                std::to_string(static_cast<int>(traits.promptTokens)) + ",prefix_len=" +
                std::to_string(static_cast<int>(traits.prefixTokens)) + ",max_out=50"}},
          body.dump());
    }
    for (const auto& kind : kinds) {
      if (kind.role != "read")
        continue;
      const auto isReserved = [&] {
        return fixture.server->counters["places.answered"] == reservationsBefore + 1;
      };
      EXPECT_TRUE(fixture.until(isReserved)) << i << ' ' << fixture.decisions.back();
      if (!isReserved())
        return fixture.decisions;
      for (const auto& request : fixture.instances[kind.id]->received)
        if (request->connection->state() == net::ClientConnection::State::kAnswering)
          answerPrefill(*fixture.instances[kind.id], *request);
    }
    fixture.finished(reply);
    EXPECT_EQ(reply->status, 200U);
    EXPECT_TRUE(fixture.until([&] { return fixture.server->dispatcher.openRequests() == 0; }));
    fixture.pass(40 + i);
  }
  return fixture.decisions;
}

TEST(BothFrontEnds, MakeTheSameDecisionsWithMixedInstances) {
  const auto platform = routingDecisions(false, kMixed);
  EXPECT_GT(platform.size(), 24U);
  EXPECT_EQ(platform, routingDecisions(true, kMixed));
}

TEST(BothFrontEnds, MakeTheSameDecisionsWithPrefillAndDecodeInstances) {
  const auto platform = routingDecisions(false, kSplit);
  EXPECT_GT(platform.size(), 72U);  // a prefill, a reservation and a decode for each request
  EXPECT_EQ(platform, routingDecisions(true, kSplit));
}

// ---- The platform's protocol

TEST(Platform, ForwardsAStreamUnchanged) {
  RouterFixture fixture(kSplit, false);
  const auto reply = fixture.finished(
      fixture.post("/v1/chat/completions?x=1", platformFields("a"), "{\"any\":1}"));
  EXPECT_EQ(reply->text, eventOf("Hel") + eventOf("lo") + kLastEvents);
  for (const auto& [id, instance] : fixture.instances) {
    for (const auto& request : instance->received) {
      if (request->target.rfind("/v1/", 0) != 0)
        continue;
      EXPECT_EQ(request->target, "/v1/chat/completions?x=1");
      EXPECT_EQ(request->body, "{\"any\":1}");
      EXPECT_EQ(request->id, "a");
    }
  }
}

TEST(Platform, MapsResponsesToOutcomesAsTheProtocolSpecifies) {
  struct Case {
    unsigned status;
    bool rejected;
    std::string counter;
  };
  for (const Case& c :
       {Case{500, false, "attempts.error"}, Case{503, true, "attempts.turned_away"},
        Case{504, true, "attempts.turned_away"}, Case{503, false, "attempts.error"},
        Case{410, true, "attempts.turned_away"}, Case{202, false, "attempts.read"}}) {
    RouterFixture fixture({{"m1", "both", 0}}, false);
    fixture.instances["m1"]->script = [&](StandInInstance&,
                                          StandInInstance::ReceivedRequest& request) {
      request.connection->answer(c.status,
                                 c.rejected ? net::Fields{{"X-Rejected", "1"}} : net::Fields{}, "");
    };
    fixture.post("/v1/chat/completions", platformFields("a"), "{}");
    EXPECT_TRUE(fixture.until([&] { return fixture.server->counters[c.counter] > 0; }))
        << c.counter;
  }
}

// A first event commits a request to its attempt, so invalid bytes or an incomplete event must not
// count as one. A single invalid response must not exclude its instance either, as any instance can
// send one.
TEST(Platform, InvalidStreamIsRetriedBeforeItsFirstEventAndAbortedAfterIt) {
  for (const std::string invalid : {"data: {\"x\":1}\nab", "noise", "data: half an event\n"}) {
    RouterFixture fixture({{"m1", "both", 0}, {"m2", "both", 0}}, false);
    int attempts = 0;
    for (auto& [id, instance] : fixture.instances)
      instance->script = [&, invalid](StandInInstance& self,
                                      StandInInstance::ReceivedRequest& request) {
        if (++attempts > 1)
          return streamFullAnswer(self, request);
        request.connection->beginStream({});
        request.connection->writeChunk(invalid);
        request.connection->endStream();
      };
    net::Fields fields = platformFields("safe");
    fields[1].second = "member-questions";
    const auto reply = fixture.finished(fixture.post("/v1/x", fields, "{}"));
    EXPECT_EQ(reply->text, eventOf("Hel") + eventOf("lo") + kLastEvents) << invalid;
    EXPECT_EQ(fixture.server->counters["answers.garbled"], 1U);
    EXPECT_EQ(fixture.server->counters["attempts.error"], 1U);
  }
  RouterFixture fixture(kMixed, false);
  for (auto& [id, instance] : fixture.instances)
    instance->script = [](StandInInstance&, StandInInstance::ReceivedRequest& request) {
      request.connection->beginStream({});
      request.connection->writeChunk(eventOf("Hel") + "dat");
    };
  const auto reply = fixture.post("/v1/x", platformFields("late"), "{}");
  ASSERT_TRUE(fixture.until([&] { return !reply->text.empty(); }));
  EXPECT_EQ(reply->text, eventOf("Hel"));
  fixture.streaming()->connection->writeChunk("zz\r\n");
  EXPECT_EQ(fixture.finished(reply)->failure, net::CallFailure::kReset);  // without the last chunk
  EXPECT_EQ(fixture.chats(), 1);
}

// The KV cache went to the decode instance whose response was invalid. Without another prefill, the
// next decode instance would have to process the whole prompt between the steps of its other
// streams. The prefill instance keeps the prompt's text.
TEST(Platform, InvalidFirstEventIsFollowedByAnotherPrefillBeforeTheNextDecode) {
  RouterFixture fixture(kSplit, false);
  std::vector<std::string> roles;
  for (auto& [id, instance] : fixture.instances)
    instance->script = [&, id = id](StandInInstance& self,
                                    StandInInstance::ReceivedRequest& request) {
      roles.push_back(id.substr(0, 1));
      if (roles.back() == "r")
        return answerPrefill(self, request);
      if (roles.size() > 2)
        return streamFullAnswer(self, request);
      request.connection->beginStream({});
      request.connection->writeChunk("noise");
      request.connection->endStream();
    };
  net::Fields fields = platformFields("safe");
  fields[1].second = "member-questions";
  const auto reply = fixture.finished(fixture.post("/v1/x", fields, "{}"));
  EXPECT_EQ(reply->text, eventOf("Hel") + eventOf("lo") + kLastEvents);
  EXPECT_EQ(roles, (std::vector<std::string>{"r", "w", "r", "w"}));
}

// A client must not wait for a stream whose instance has fallen silent. A stream that is only slow
// is not aborted.
TEST(Platform, SilentStreamIsAbortedWithinFiveSeconds) {
  RouterFixture fixture(kMixed, false);
  for (auto& [id, instance] : fixture.instances)
    instance->script = beginOnly;
  const auto reply = fixture.post("/v1/x", platformFields("a"), "{}");
  ASSERT_TRUE(fixture.until([&] { return reply->text == eventOf("first"); }));
  fixture.pass(3'500);
  EXPECT_FALSE(reply->over);
  fixture.streaming()->connection->writeChunk(eventOf("more"));
  ASSERT_TRUE(fixture.until([&] { return reply->text == eventOf("first") + eventOf("more"); }));
  fixture.pass(3'500);
  EXPECT_EQ(fixture.server->counters["attempts.stalled"], 0U);
  fixture.pass(1'000);
  EXPECT_EQ(fixture.finished(reply)->failure, net::CallFailure::kReset);
  EXPECT_EQ(fixture.server->counters["attempts.stalled"], 1U);
  EXPECT_EQ(fixture.chats(), 1);
}

// An instance may send the event that ends the stream and then never the last chunk.
TEST(Platform, StreamWithoutItsLastChunkIsAbortedAfterATimeout) {
  RouterFixture fixture(kMixed, false);
  for (auto& [id, instance] : fixture.instances)
    instance->script = [](StandInInstance&, StandInInstance::ReceivedRequest& request) {
      request.connection->beginStream({});
      request.connection->writeChunk(kLastEvents);
    };
  const auto reply = fixture.post("/v1/x", platformFields("a"), "{}");
  ASSERT_TRUE(fixture.until([&] { return reply->text == kLastEvents; }));
  fixture.pass(1001);
  EXPECT_EQ(fixture.finished(reply)->failure, net::CallFailure::kReset);
}

TEST(Platform, ReleaseIsRetriedAtOtherInstancesUntilAccepted) {
  RouterFixture fixture(kSplit, false);
  for (auto& [id, instance] : fixture.instances)
    instance->script = leaveUnanswered;
  const auto reply = fixture.post("/v1/chat/completions", platformFields("a"), "{}");
  ASSERT_TRUE(fixture.until(
      [&] { return fixture.chats() == 1 && fixture.server->counters["places.answered"] == 1; }));
  // Instances with an idle connection are tried first; they do not accept the release.
  for (auto& [id, instance] : fixture.instances)
    instance->acceptsReleases = instance->received.empty();
  fixture.lastCall->abandon();
  ASSERT_TRUE(fixture.until([&] {
    int released = 0;
    for (const auto& [id, instance] : fixture.instances)
      if (instance->acceptsReleases)
        released += instance->count("DELETE", "/bootstrap/rooms/a");
    return released > 0;
  }));
}

TEST(Platform, InvalidRequestHeadersAreAnsweredWith400) {
  RouterFixture fixture(kMixed, false);
  auto fields = platformFields("a");
  for (std::size_t i : {0U, 1U, 4U}) {
    auto bad = fields;
    bad[i].second = "?";
    EXPECT_EQ(fixture.finished(fixture.post("/v1/chat/completions", bad, "{}"))->status, 400U);
  }
  EXPECT_EQ(fixture.chats(), 0);
}

net::HttpRequest requestWith(net::Fields fields) {
  net::HttpRequest request;
  for (const auto& [name, value] : fields)
    request.set(name, value);
  return request;
}

routing::Arrival arrivalWith(const char* name, const char* value, const wire::Vocabulary& names) {
  auto request = requestWith(platformFields("a"));
  if (name != nullptr)
    request.set(name, value);
  return frontend::arrivalOf(request, names);
}

// Only the clients of some deployments send a cost. It is optional, and an invalid one must not
// reject the request.
TEST(Platform, ReadsTheCostHeaderLikeTheSimulatorsWire) {
  const wire::Vocabulary names = frontend::settingsOf(siteSettings()).names;
  const auto costUs = [&](const char* text) {
    const auto hint =
        arrivalWith(text == nullptr ? nullptr : "X-Call-Cost", text, names).lengthHint;
    return hint ? hint->count() : -1;
  };
  EXPECT_EQ(costUs("12000"), 12'000);
  EXPECT_EQ(costUs("7680.4"), 7'680);
  for (const char* invalid :
       {static_cast<const char*>(nullptr), "", "0", "-3", "soon", "12 ms", "nan", "inf", "1e300"})
    EXPECT_EQ(costUs(invalid), -1) << (invalid == nullptr ? "no header" : invalid);
  const std::string line = "ARRIVAL\ta\tmember-questions\tclub\ts\t6000\t12.0\t-\t100\t0\t50\t1";
  const auto parsed = std::get<routing::Arrival>(wire::parseEvent(wire::Line(line, 1), names));
  EXPECT_EQ(parsed.lengthHint, arrivalWith("X-Call-Cost", "12000", names).lengthHint);
}

TEST(Platform, DistinguishesRepeatedResumedAndUnmarkedRequests) {
  const wire::Vocabulary names = frontend::settingsOf(siteSettings()).names;
  const auto marks = [&](const char* name, const char* value) {
    const auto arrival = arrivalWith(name, value, names);
    return std::pair(arrival.repeat, arrival.resumed);
  };
  EXPECT_EQ(marks(nullptr, nullptr), std::pair(false, false));
  EXPECT_EQ(marks("X-Again", "1"), std::pair(true, false));
  EXPECT_EQ(marks("X-Again", "again"), std::pair(false, true));
  auto namesWithoutTenants = names;
  namesWithoutTenants.tenants.clear();  // the deployment may have no tenants
  EXPECT_EQ(arrivalWith(nullptr, nullptr, namesWithoutTenants).tenant, std::nullopt);
  // A tenant that the settings do not name counts as none.
  EXPECT_EQ(arrivalWith("X-Caller", "stranger", names).tenant, std::nullopt);
}

// ---- The chat API

TEST(ChatApi, StreamsUsageOnlyIfRequested) {
  RouterFixture fixture(kSplit, true);
  const auto withoutUsage = fixture.finished(fixture.chat({{"model", "ask"}, {"stream", true}}));
  EXPECT_NE(withoutUsage->text.find("Hel"), std::string::npos);
  EXPECT_EQ(withoutUsage->text.find("usage"), std::string::npos);
  EXPECT_NE(withoutUsage->text.find("data: [DONE]\n\n"), std::string::npos);
  const auto withUsage = fixture.finished(fixture.chat(
      {{"model", "ask"}, {"stream", true}, {"stream_options", {{"include_usage", true}}}}));
  EXPECT_EQ(withUsage->text, eventOf("Hel") + eventOf("lo") + kLastEvents);
}

TEST(ChatApi, AssemblesOneResponseForAClientWithoutStream) {
  RouterFixture fixture(kMixed, true);
  const auto reply = fixture.finished(fixture.chat({{"model", "ask"}}));
  const json answer = json::parse(reply->text);
  EXPECT_EQ(answer["object"], "chat.completion");
  EXPECT_EQ(answer["choices"][0]["message"]["content"], "Hello");
  EXPECT_EQ(answer["choices"][0]["finish_reason"], "stop");
  EXPECT_EQ(answer["usage"]["completion_tokens"], 2);
}

TEST(ChatApi, ErrorsHaveTheFormatThatClientsExpect) {
  RouterFixture fixture(kMixed, true);
  const auto expect = [&](const std::shared_ptr<Reply>& reply, unsigned status, const json& param) {
    fixture.finished(reply);
    EXPECT_EQ(reply->status, status) << reply->text;
    const json error = json::parse(reply->text).at("error");
    EXPECT_EQ(error.at("param"), param);
    EXPECT_TRUE(error.at("message").is_string() && error.contains("type") &&
                error.contains("code"));
  };
  expect(fixture.chat({{"model", "ask"}}, "wrong"), 401, nullptr);
  expect(fixture.chat({{"model", "none"}}), 404, "model");
  expect(fixture.chat({{"model", "ask"}, {"messages", json::array()}}), 400, "messages");
  expect(fixture.chat({{"model", "ask"}, {"max_tokens", 0}}), 400, "max_tokens");
  expect(fixture.chat({{"model", "ask"}, {"stream_options", {{"include_usage", true}}}}), 400,
         "stream_options");
  expect(fixture.post("/v1/else", {{"Authorization", "Bearer k"}}, "{}"), 404, nullptr);
  expect(fixture.post("/v1/chat/completions", {{"Authorization", "Bearer k"}}, "no json"), 400,
         nullptr);
  expect(fixture.post("/v1/chat/completions", {{"Authorization", "Bearer k"}},
                      std::string(300'000, ' ')),
         413, nullptr);
  EXPECT_EQ(fixture.chats(), 0);
}

TEST(ChatApi, ClientDisconnectMidStreamEndsTheInstancesWork) {
  RouterFixture fixture(kMixed, true);
  for (auto& [id, instance] : fixture.instances)
    instance->script = beginOnly;
  const auto reply = fixture.chat({{"model", "ask"}, {"stream", true}});
  ASSERT_TRUE(fixture.until([&] { return !reply->text.empty(); }));
  const StandInInstance::ReceivedRequest* const request = fixture.streaming();
  ASSERT_NE(request, nullptr);
  fixture.lastCall->abandon();
  EXPECT_TRUE(fixture.until([&] { return request->disconnected; }));
  EXPECT_EQ(fixture.server->counters["requests.client_gone"], 1U);
  EXPECT_EQ(fixture.server->dispatcher.openRequests(), 0U);
}

TEST(ChatApi, ChangeWhoseInstanceFailsAfterTheFirstEventEndsInOneErrorWithoutRetry) {
  for (const bool stream : {true, false}) {
    RouterFixture fixture(kMixed, true);
    for (auto& [id, instance] : fixture.instances)
      instance->script = beginOnly;
    const auto reply = fixture.chat({{"model", "change"}, {"stream", stream}}, "desk");
    ASSERT_TRUE(fixture.until([&] {
      return fixture.streaming() != nullptr && fixture.server->counters["requests.taken"] == 1;
    }));
    if (stream) {
      ASSERT_TRUE(fixture.until([&] { return !reply->text.empty(); }));
    }
    fixture.streaming()->connection->abortResponse();
    fixture.finished(reply);
    fixture.pass(8000);
    EXPECT_TRUE(reply->complete);
    const std::size_t error = reply->text.find("\"error\"");
    EXPECT_NE(error, std::string::npos);
    EXPECT_EQ(reply->text.find("\"error\"", error + 1), std::string::npos);
    EXPECT_EQ(reply->text.find("[DONE]"), std::string::npos);
    if (!stream) {
      EXPECT_EQ(reply->fields["X-Should-Retry"], "false");
    }
    EXPECT_EQ(fixture.chats(), 1);
  }
}

TEST(ChatApi, DeadlineBeforeTheFirstTokenIsAnsweredWith504) {
  for (const char* model : {"ask", "change"}) {
    RouterFixture fixture({{"m1", "both", 0}}, true);
    fixture.instances["m1"]->script = leaveUnanswered;
    const auto reply = fixture.chat({{"model", model}, {"stream", true}});
    ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
    for (int i = 0; i < 800 && !reply->over; ++i) {
      fixture.pass(10);
      fixture.io.restart();
      fixture.io.poll();
    }
    fixture.finished(reply);
    EXPECT_TRUE(reply->status == 504 || (std::string(model) == "ask" && reply->status == 429))
        << reply->status;
  }
}

TEST(ChatApi, SlowClientPausesItsInstanceAndLosesNoEvent) {
  RouterFixture fixture({{"m1", "both", 0}}, true);
  fixture.instances["m1"]->script = beginOnly;
  RawPeer client(fixture.io);
  client.connect(fixture.listener->address());
  const std::string body =
      R"({"model":"ask","stream":true,"messages":[{"role":"user","content":"x"}]})";
  client.write(
      messageText("POST /v1/chat/completions HTTP/1.1", {{"Authorization", "Bearer k"}}, body));
  ASSERT_TRUE(fixture.until([&] { return fixture.streaming() != nullptr; }));
  const auto instance = fixture.streaming()->connection;
  const std::string event = eventOf(std::string(60'000, 'x'));
  int sent = 0;
  // The instance is paused once every buffer on the way is full. Without this backpressure the
  // program would buffer the whole stream.
  while (sent < 2000 && instance->writeChunk(event)) {
    ++sent;
    for (int i = 0; i < 20; ++i) {
      fixture.io.restart();
      fixture.io.poll();
    }
  }
  EXPECT_LT(sent, 2000);
  instance->writeChunk(kLastEvents);
  instance->endStream();
  ASSERT_TRUE(fixture.until(
      [&] { return client.ended() || client.seen.find("[DONE]") != std::string::npos; }));
  std::size_t events = 0;
  for (std::size_t at = client.seen.find("\"content\""); at != std::string::npos;
       at = client.seen.find("\"content\"", at + 1))
    ++events;
  EXPECT_EQ(events,
            static_cast<std::size_t>(sent) +
                2);  // the first, those sent in the loop, and the one that paused the instance
}

TEST(ChatApi, DrainWaitsForAStreamToEnd) {
  RouterFixture fixture(kMixed, true);
  for (auto& [id, instance] : fixture.instances)
    instance->script = beginOnly;
  const auto reply = fixture.chat({{"model", "ask"}, {"stream", true}});
  ASSERT_TRUE(fixture.until([&] { return !reply->text.empty(); }));
  bool drained = false;
  fixture.listener->drain(500, [&] { drained = true; });
  fixture.pass(1000);
  const auto instance = fixture.streaming()->connection;
  EXPECT_FALSE(drained);
  instance->writeChunk(kLastEvents);
  instance->endStream();
  EXPECT_TRUE(fixture.finished(reply)->complete);
  EXPECT_TRUE(fixture.until([&] { return drained; }));
}

// Clients that can resume a stream continue it at another node, so shutdown ends streams after a
// grace period. Clients of a small site cannot resume, so their streams are never cut off.
TEST(Shutdown, EndsStreamsAfterAGracePeriodOnlyIfClientsCanResumeThem) {
  routing::Settings settings = frontend::settingsOf(siteSettings()).settings;
  const app::ShutdownOptions withoutResumption = app::platformShutdown(settings);
  EXPECT_FALSE(withoutResumption.graceMs);
  settings.streamResumption = true;
  const app::ShutdownOptions withResumption = app::platformShutdown(settings);
  EXPECT_EQ(withResumption.graceMs, 3700);  // the classes' deadlines are longer than 3 s
  EXPECT_LT(withResumption.acceptForMs, *withResumption.graceMs);
}

// Shortly before the end of a shutdown's grace period, requests whose stream has not begun are
// rejected, and so are requests that arrive later on any connection. They reach no instance, and
// each connection closes after its response.
TEST(Shutdown, RejectsRequestsLateInTheGracePeriodAndClosesTheirConnections) {
  RouterFixture fixture(kMixed, false);
  for (auto& [id, instance] : fixture.instances)
    instance->script = leaveUnanswered;
  const auto requestText = [](const std::string& id) {
    net::Fields fields = platformFields(id);
    fields.emplace_back("Host", "x");
    for (auto& [name, value] : fields)
      if (name == "X-Call-Class")
        value = "member-questions";  // idempotent
    return messageText("POST /v1/chat/completions HTTP/1.1", std::move(fields), "{}");
  };
  RawPeer waiting(fixture.io), late(fixture.io);
  const std::string lateRequest = requestText("late");
  waiting.connect(fixture.listener->address());
  waiting.write(requestText("waits"));
  ASSERT_TRUE(fixture.until([&] { return fixture.chats() == 1; }));
  constexpr double kGraceMs = 3'700;
  bool drained = false;
  fixture.server->dispatcher.beginShutdown(kGraceMs);
  fixture.listener->drain(kGraceMs * 0.58, [&] { drained = true; });
  auto passTo = [&, passed = 0.0](double share) mutable {
    for (; passed < kGraceMs * share; passed += 10) {
      fixture.pass(10);
      fixture.io.restart();
      fixture.io.poll();
    }
  };
  passTo(0.5);  // the listener still accepts connections
  late.connect(fixture.listener->address());
  late.write(lateRequest.substr(0, 40));
  passTo(0.92);
  EXPECT_FALSE(waiting.hasBytes());
  passTo(0.95);
  const int chats = fixture.chats();
  const auto expectRejected = [&](RawPeer& client) {
    EXPECT_TRUE(fixture.until([&] { return client.ended(); }));
    EXPECT_EQ(client.seen.rfind("HTTP/1.1 503", 0), 0U) << client.seen;
    EXPECT_NE(client.seen.find("Connection: close"), std::string::npos) << client.seen;
  };
  expectRejected(waiting);
  late.write(lateRequest.substr(40));
  expectRejected(late);
  EXPECT_EQ(fixture.chats(), chats);
  EXPECT_TRUE(fixture.until([&] { return drained; }));
}

TEST(ChatApi, ListsModels) {
  RouterFixture fixture(kMixed, true);
  const auto reply = std::make_shared<Reply>();
  fixture.clients->call(fixture.listener->address(),
                        net::headText("GET /v1/models HTTP/1.1", {{"Authorization", "Bearer k"}}),
                        nullptr, reply);
  fixture.finished(reply);
  const json list = json::parse(reply->text);
  EXPECT_EQ(list["data"].size(), 2U);
  EXPECT_EQ(list["data"][0]["id"], "ask");
}

TEST(ConversationTraits, TurnsOfAConversationShareASession) {
  json turn{{{"role", "system"}, {"content", "Opening."}}, {{"role", "user"}, {"content", "Hi"}}};
  const auto first = frontend::traitsOf(turn, "club", "");
  turn.push_back({{"role", "assistant"}, {"content", "Hello"}});
  turn.push_back(
      {{"role", "user"}, {"content", json::array({{{"type", "text"}, {"text", "More"}}})}});
  const auto second = frontend::traitsOf(turn, "club", "");
  EXPECT_EQ(first.session, second.session);
  EXPECT_EQ(first.prefix, second.prefix);
  EXPECT_EQ(first.prefixTokens, 2);
  EXPECT_EQ(first.promptTokens, 3);
  EXPECT_EQ(second.promptTokens, 5);
  EXPECT_NE(first.session, frontend::traitsOf(turn, "other", "").session);
}

// ---- Discovery, configuration and telemetry

struct DiscoveryFixture : NetworkFixture {
  DiscoveryFixture() { dispatcher.connect(instances); }
  routing::wire::Setup setup = frontend::settingsOf(siteSettings());
  core::RequestDispatcher dispatcher{setup.settings, 7, clock, timers, counters};
  net::ConnectionPool pool{io, clock, timers, counters, {10, 250, 18'000}};
  upstream::InstanceDirectory directory;
  upstream::HttpInstanceClient instances{frontend::platformProtocol(),
                                         dispatcher,
                                         {pool, directory, clock, timers, counters},
                                         300};
  frontend::Discovery discovery{io,       clock,       timers,
                                counters, dispatcher,  directory,
                                pool,     setup.names, fleet::DiscoveryBackoff(2, 7)};
};

std::string listOf(int revision, bool complete, const std::string& phase) {
  return json{{"revision", revision},
              {"complete", complete},
              {"members",
               {{{"id", "a"},
                 {"host_port", "127.0.0.1:9"},
                 {"locality", "z"},
                 {"flavor", "mixed"},
                 {"cell", 0},
                 {"phase", phase},
                 {"size", 1.0},
                 {"up_since_ms", 0}}}}}
             .dump() +
         "\n";
}

json memberOf(int i, const std::string& phase, int port, double started) {
  return {{"id", "b" + std::to_string(i)},
          {"host_port", "127.0.0.1:" + std::to_string(port)},
          {"locality", "z"},
          {"flavor", "mixed"},
          {"cell", i / 5},
          {"phase", phase},
          {"up_since_ms", started}};
}

std::string lineOf(int revision, bool complete, const json& members) {
  return json{{"revision", revision}, {"complete", complete}, {"members", members}}.dump();
}

TEST(DiscoveryWatch, KeepsTheListWhenTheWatchBreaksAndReopensAtTheSameRevision) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io);
  fixture.discovery.loadCached(json::parse(listOf(41, true, "active")));
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("GET /api/targets?watch=1&after=41 "), std::string::npos);
  const std::string line = listOf(43, false, "leaving");
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(line.substr(0, 30)));
  agent.write(net::encodeChunk(line.substr(30) + "\n"));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  agent.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  ASSERT_NE(fixture.directory.find({"a"}), nullptr);
  fixture.pass(150);
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=43 "), std::string::npos);
}

// A reload may move discovery to another address. Updates must continue without a gap meanwhile,
// and the move must not depend on the old address.
TEST(DiscoveryWatch, MovesWithoutAGapAndRetriesASilentAddress) {
  DiscoveryFixture fixture;
  RawPeer before(fixture.io), silent(fixture.io), after(fixture.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto acceptWatch = [&](RawPeer& agent) {
    agent.accept();
    EXPECT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
    return agent.readSome();
  };
  fixture.discovery.watch(before.address());
  acceptWatch(before);
  before.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
  fixture.discovery.watch(silent.address());
  acceptWatch(silent);
  fixture.discovery.watch(after.address());  // changed again before the first has sent anything
  EXPECT_NE(acceptWatch(after).find("after=0 "),
            std::string::npos);  // revisions of addresses are not comparable
  ASSERT_TRUE(fixture.until([&] { return silent.ended(); }));
  before.write(net::encodeChunk(listOf(42, false, "leaving")));  // the old watch is still in use
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_FALSE(before.ended());
  fixture.pass(1001);  // no first byte: retried, well before 4 s
  fixture.pass(151);
  acceptWatch(after);
  after.write(head + net::encodeChunk(listOf(7, true, "active")));
  ASSERT_TRUE(
      fixture.until([&] { return fixture.counters["discovery.lists"] == 3 && before.ended(); }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kActive);
  fixture.pass(151);
  EXPECT_EQ(fixture.counters["discovery.watches"], 4U);  // the end of the old watch opens no other
}

// If discovery is down for all clients, a watch that is closed and reopened loses its position in
// discovery's queue and is served last.
TEST(DiscoveryWatch, KeepsASilentWatchWhileTryingAnotherInParallel) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io), other(fixture.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto lists = [&](int count) {
    return fixture.until(
        [&] { return fixture.counters["discovery.lists"] == static_cast<unsigned>(count); });
  };
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(lists(1));
  fixture.pass(2601);
  fixture.pass(151);  // the next watch is being opened and is not accepted
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.watches"] == 2; }));
  EXPECT_FALSE(agent.ended());
  agent.write(net::encodeChunk(listOf(42, false, "leaving")));
  ASSERT_TRUE(lists(2));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  fixture.pass(1001);  // the parallel watch was dropped when the first continued
  fixture.pass(501);
  EXPECT_EQ(fixture.counters["discovery.watches"], 2U);
  EXPECT_FALSE(agent.ended());
}

// An agent may send its lists indented over many lines and in small pieces. A drain in such a list
// must not be missed.
TEST(DiscoveryWatch, AcceptsListsIndentedOverManyLines) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io);
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  const auto indentedList = [](int revision, bool complete, const std::string& phase) {
    json list = json::parse(listOf(revision, complete, phase));
    list["note"] = "a \"}\" and a \\\\";
    return list.dump(2) + "\n";
  };
  const std::string text = indentedList(41, true, "active") + "\n" +
                           indentedList(42, false, "leaving") + listOf(43, false, "active") +
                           "  \n" + indentedList(44, false, "leaving");
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (std::size_t at = 0; at < text.size(); at += 37)
    agent.write(net::encodeChunk(text.substr(at, 37)));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 4; }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_EQ(fixture.counters["discovery.malformed"], 0U);
}

// An open watch falls silent while the list changes. The next watch must be open and have received
// the change within the limit derived in fleet/discovery_backoff.h, whatever the random delays.
TEST(DiscoveryWatch, ReplacesASilentWatchWithinTheDeliveryLimit) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
  agent.write(net::encodeChunk(
      listOf(42, false, "leaving").substr(0, 40)));  // an incomplete line, then silence
  for (int i = 0; i < 20; ++i) {
    fixture.io.restart();
    fixture.io.run_one_for(std::chrono::milliseconds(1));
  }
  double passed = 0;
  for (; fixture.counters["discovery.watches"] < 2; passed += 10) {
    ASSERT_LT(passed, fleet::DiscoveryBackoff::kDeliveryLimitMs);
    fixture.pass(10);
  }
  agent.accept();  // the old watch stays open
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=41 "), std::string::npos);
  agent.write(head + net::encodeChunk(listOf(42, false, "leaving")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_LE(passed,
            fleet::DiscoveryBackoff::kWorstSilentWatchMs - fleet::DiscoveryBackoff::kCallTimeoutMs);
}

// Discovery may be restored to an older state, or a lagging replica of it may answer. The list
// received last is the current one, and the next watch continues from its revision.
TEST(DiscoveryWatch, AppliesListsInOrderOfArrivalWhenRevisionsDecrease) {
  DiscoveryFixture fixture;
  RawPeer agent(fixture.io);
  const auto lists = [&](unsigned count) {
    return fixture.until([&] { return fixture.counters["discovery.lists"] == count; });
  };
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(listOf(43, true, "active") + listOf(41, true, "leaving")));
  ASSERT_TRUE(lists(2));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kDraining);
  agent.write(net::encodeChunk(listOf(40, false, "active")));
  ASSERT_TRUE(lists(3));
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kActive);
  EXPECT_TRUE(fixture.dispatcher.mayReserve({"a"}));
  agent.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  fixture.pass(151);
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=40 "), std::string::npos);
}

// The first document of a watch may be a list of changes. It is applied to the list from the
// configuration, or to an empty one, and the full list that follows replaces both.
TEST(DiscoveryWatch, AppliesChangesThatArriveBeforeTheFullListToTheCachedList) {
  for (const bool known : {true, false}) {
    DiscoveryFixture fixture;
    RawPeer agent(fixture.io);
    const auto lists = [&](unsigned count) {
      return fixture.until([&] { return fixture.counters["discovery.lists"] == count; });
    };
    if (known)
      fixture.discovery.loadCached(json::parse(
          lineOf(41, true, {memberOf(1, "active", 1001, 0), memberOf(2, "active", 1002, 0)})));
    fixture.discovery.watch(agent.address());
    agent.accept();
    ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
    agent.readSome();
    agent.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
        net::encodeChunk(
            lineOf(42, false, {memberOf(2, "leaving", 1002, 0), memberOf(3, "active", 1003, 0)}) +
            "\n"));
    ASSERT_TRUE(lists(known ? 2 : 1));
    EXPECT_TRUE(fixture.discovery.hasWatch());
    EXPECT_EQ(fixture.directory.find({"b1"}) != nullptr, known);
    EXPECT_EQ(fixture.directory.find({"b2"})->state, routing::EndpointState::kDraining);
    EXPECT_EQ(fixture.dispatcher.instancesKnown(), known ? 3U : 2U);
    agent.write(
        net::encodeChunk(lineOf(42, true, json::array({memberOf(2, "active", 1002, 0)})) + "\n"));
    ASSERT_TRUE(lists(known ? 3 : 2));
    EXPECT_EQ(fixture.directory.all().size(), 1U);
    EXPECT_FALSE(fixture.dispatcher.mayReserve({"b9"}));
    EXPECT_TRUE(fixture.dispatcher.mayReserve({"b2"}));
  }
}

// Idle clients use up the clients' share of descriptors and the listen queue while discovery is
// down. The watch must still be reopened, and every connection to an instance must still be
// available.
TEST(DiscoveryWatch, KeepsItsDescriptorsWhileIdleClientsUseAllOthers) {
  DiscoveryFixture fixture;
  constexpr std::size_t kSockets = 160;
  const app::Limits limits{kSockets};
  admission::DescriptorBudget descriptorBudget(admission::DescriptorBudget::sharesOf(kSockets));
  for (int i = 0; i < 14; ++i)
    descriptorBudget.force(admission::Account::kOwn);
  fixture.pool.setMaxConnections(limits.instances());
  fixture.pool.accountTo(descriptorBudget, admission::Account::kInstances);
  fixture.discovery.accountTo(descriptorBudget);
  StandInInstance handler(fixture.io, fixture.clock, fixture.timers);  // answers any request
  net::Listener listener(fixture.io, anyPort(), limits.clients(), handler, fixture.clock,
                         fixture.timers, fixture.counters, {.descriptorBudget = &descriptorBudget});
  RawPeer agent(fixture.io);
  fixture.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == 1; }));
  std::vector<std::unique_ptr<RawPeer>> idle;
  for (std::size_t i = 0; i < 2 * limits.clients(); ++i) {
    idle.push_back(std::make_unique<RawPeer>(fixture.io));
    idle.back()->connect(listener.address());
  }
  ASSERT_TRUE(fixture.until([&] { return listener.size() == limits.clients(); }));
  agent.reset();
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.broken"] == 1; }));
  RawPeer silent(fixture.io);  // an instance that accepts connections and never responds
  std::vector<std::shared_ptr<Reply>> replies;
  std::vector<std::shared_ptr<net::Call>> calls;
  for (std::size_t i = 0; i < limits.instances(); ++i) {
    replies.push_back(std::make_shared<Reply>());
    calls.push_back(fixture.pool.call(silent.address(), "GET / HTTP/1.1\r\n\r\n", nullptr,
                                      replies.back(), net::ConnectionPool::Urgency::kUrgent));
  }
  ASSERT_TRUE(fixture.until([&] {
    return std::all_of(replies.begin(), replies.end(),
                       [](const auto& reply) { return reply->wasWritten; });
  }));
  EXPECT_EQ(listener.size(), limits.clients());
  fixture.pass(151);
  agent.accept();
  ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=41 "), std::string::npos);
  EXPECT_LE(descriptorBudget.total(), kSockets);
  for (const auto& call : calls)
    call->abandon();
}

// A fleet may replace its instances continually under new ids. The tables must not grow with them.
TEST(DiscoveryWatch, TablesDoNotGrowWhenThousandsOfInstancesAreReplaced) {
  DiscoveryFixture fixture;
  const auto list = [](int i, const std::string& phase) {
    return json{{"revision", i},
                {"complete", false},
                {"members",
                 {{{"id", "b" + std::to_string(i)},
                   {"host_port", "127.0.0.1:" + std::to_string(1000 + i)},
                   {"locality", "z"},
                   {"flavor", "mixed"},
                   {"cell", i},
                   {"phase", phase}}}}}
        .dump();
  };
  for (int i = 0; i < 3000; ++i) {
    ASSERT_TRUE(fixture.discovery.onDocument(list(i, "active")));
    if (i >= 5) {
      ASSERT_TRUE(fixture.discovery.onDocument(list(i - 5, i % 2 == 0 ? "leaving" : "left")));
      ASSERT_TRUE(fixture.discovery.onDocument(list(i - 5, "left")));
    }
    fixture.pass(500);
    ASSERT_LE(fixture.directory.all().size(), 6U);
    ASSERT_LE(fixture.dispatcher.instancesKnown(), 10U);
  }
}

// Large fleets: long lists, thousands of changes in one line, and kinds and zones that the settings
// do not name.
TEST(DiscoveryWatch, AcceptsAThousandInstancesAndThousandsOfChangesInOneLine) {
  for (const int instances : {100, 1000}) {
    DiscoveryFixture fixture;
    json all = json::array(), changes = json::array();
    for (int i = 0; i < instances; ++i) {
      all.push_back(memberOf(i, "active", 1000 + i, 0));
      changes.push_back(memberOf(i, "leaving", 1000 + i, 0));
      changes.push_back(memberOf(i, "left", 1000 + i, 0));
      if (i % 2 == 0)
        changes.push_back(memberOf(i, "active", 10'000 + i, 5));  // restarted at another address
    }
    ASSERT_TRUE(fixture.discovery.onDocument(lineOf(1, true, all)));
    EXPECT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(instances));
    const std::string line = lineOf(2, false, changes);
    EXPECT_FALSE(fixture.discovery.onDocument(
        line.substr(0, line.size() / 2)));  // truncated: nothing changes
    EXPECT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(instances));
    ASSERT_TRUE(fixture.discovery.onDocument(line));
    EXPECT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(instances / 2));
    EXPECT_EQ(fixture.directory.find({"b0"})->address.port(), 10'000);
    EXPECT_EQ(fixture.directory.find({"b1"}), nullptr);
    json unknownKind = memberOf(instances, "active", 9, 0),
         unknownZone = memberOf(instances + 1, "active", 9, 0);
    unknownKind["flavor"] = "unheard-of";
    unknownZone["locality"] = "nowhere";
    ASSERT_TRUE(fixture.discovery.onDocument(lineOf(3, false, {unknownKind, unknownZone})));
    EXPECT_EQ(fixture.directory.find({"b" + std::to_string(instances + 1)}), nullptr);
    ASSERT_TRUE(fixture.discovery.onDocument(lineOf(4, true, json::array())));
    EXPECT_EQ(fixture.directory.all().size(), 0U);
    EXPECT_EQ(fixture.counters["discovery.malformed"], 1U);
  }
}

// A full list of the maximum number of instances, then changes to all of them, over a socket: on
// one line and indented, split into pieces of varying size.
TEST(DiscoveryWatch, ReceivesListsOfTheMaximumNumberOfInstances) {
  constexpr int kInstances = coordination::kMaxFleetInstances;
  for (const bool indented : {false, true}) {
    DiscoveryFixture fixture;
    RawPeer agent(fixture.io);
    fixture.discovery.watch(agent.address());
    agent.accept();
    ASSERT_TRUE(fixture.until([&] { return agent.hasBytes(); }));
    agent.readSome();
    agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    unsigned lists = 0;
    const auto sendList = [&](bool complete, const json& members) {
      const std::string text = json::parse(lineOf(static_cast<int>(++lists), complete, members))
                                   .dump(indented ? 4 : -1) +
                               "\n";
      for (std::size_t at = 0, size = 1; at < text.size(); at += size, size = size * 7 % 4099 + 1) {
        agent.write(net::encodeChunk(text.substr(at, size)));
        fixture.io.poll();
      }
      ASSERT_TRUE(fixture.until([&] { return fixture.counters["discovery.lists"] == lists; }));
    };
    json all = json::array(), leaving = json::array(), removed = json::array();
    for (int i = 0; i < kInstances; ++i) {
      all.push_back(memberOf(i, "active", 1000 + i, 0));
      leaving.push_back(memberOf(i, "leaving", 1000 + i, 0));
      if (i % 2 == 1)
        removed.push_back(memberOf(i, "left", 1000 + i, 0));
    }
    const HeapUse heapUse = measureHeapUse([&] { sendList(true, all); });
    ASSERT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(kInstances));
    std::cout << heapUse.retainedBytes / kInstances << " bytes an instance listed, at most "
              << heapUse.peakBytes << " while it is read\n";
    EXPECT_LE(heapUse.retainedBytes / kInstances, 4096U);
    EXPECT_LE(heapUse.peakBytes, 192U << 20U >> 4U);
    sendList(false, leaving);
    for (const auto& [id, instance] : fixture.directory.all())
      ASSERT_EQ(instance.state, routing::EndpointState::kDraining) << id.value;
    sendList(false, removed);
    EXPECT_EQ(fixture.directory.all().size(), static_cast<std::size_t>(kInstances / 2));
    sendList(false, json::array({memberOf(3, "active", 7, 0)}));
    EXPECT_EQ(fixture.directory.find({"b3"})->address.port(), 7);
    sendList(true, all);
    EXPECT_EQ(fixture.directory.find({"b3"})->address.port(), 1003);
    EXPECT_EQ(fixture.dispatcher.instancesKnown(), static_cast<std::size_t>(kInstances));
    EXPECT_EQ(fixture.counters["discovery.malformed"] + fixture.counters["discovery.broken"], 0U);
  }
}

TEST(DiscoveryWatch, MalformedListChangesNothing) {
  DiscoveryFixture fixture;
  ASSERT_TRUE(fixture.discovery.onDocument(listOf(5, true, "active")));
  for (const char* bad : {"{", "[]", "{\"revision\":6,\"complete\":true,\"members\":[{\"id\":7}]}"})
    EXPECT_FALSE(fixture.discovery.onDocument(bad)) << bad;
  EXPECT_TRUE(fixture.discovery.onDocument("  \r"));
  EXPECT_EQ(fixture.directory.all().size(), 1U);
  EXPECT_EQ(fixture.directory.find({"a"})->state, routing::EndpointState::kActive);
}

// Start times in the valid part of a malformed list must not be used to estimate discovery's clock.
TEST(DiscoveryWatch, MalformedListDoesNotAffectStartTimes) {
  DiscoveryFixture fixture;
  std::optional<routing::Time> started;
  fixture.dispatcher.onEvent([&](const routing::Event& event) {
    if (const auto* update = std::get_if<routing::EndpointListUpdate>(&event))
      started = update->entries.back().started;
  });
  constexpr double kListedStartMs = 1e12;
  ASSERT_TRUE(fixture.discovery.onDocument(
      lineOf(1, true, json::array({memberOf(1, "active", 9, kListedStartMs)}))));
  const double firstMs = fixture.clock.nowMs();
  fixture.clock.advance(1'000);
  const json bad =
      json::array({memberOf(1, "active", 9, kListedStartMs + 3'600'000), json{{"id", 7}}});
  ASSERT_FALSE(fixture.discovery.onDocument(lineOf(2, false, bad)));
  ASSERT_TRUE(fixture.discovery.onDocument(
      lineOf(3, false, json::array({memberOf(1, "active", 9, kListedStartMs + 500)}))));
  EXPECT_EQ(started, core::toModuleTime(firstMs + 500));
}

// Zones and kinds are found by the names in the settings, cells by their number in the list, for
// any number of each. An instance in an unknown phase counts as removed, so no requests are sent to
// it.
TEST(DiscoveryWatch, MapsZonesKindsCellsAndPhasesFromTheirNames) {
  json settings = siteSettings();
  settings["zones"] = {"near", "far", "farthest"};
  settings["myZone"] = "far";
  settings["kinds"] = {"reader", "small", "large", "mixed"};
  settings["familyInfo"]["dutyByKind"] = {"read", "write", "write", "both"};
  settings["familyInfo"]["memoryTokens"] = {200'000, 90'000, 180'000, 150'000};
  const auto setup = frontend::settingsOf(settings);
  EXPECT_EQ(setup.settings.zone.value, 1U);
  struct RecordingSink : core::EndpointListSink {
    routing::EndpointListUpdate lastUpdate;
    void list(routing::EndpointListUpdate update) override { lastUpdate = std::move(update); }
  } sink;
  DiscoveryFixture fixture;
  frontend::Discovery discovery{fixture.io,       fixture.clock, fixture.timers,
                                fixture.counters, sink,          fixture.directory,
                                fixture.pool,     setup.names,   fleet::DiscoveryBackoff(2, 7)};
  const auto member = [](const char* id, const char* zone, const char* kind, unsigned cell,
                         const char* phase) {
    return json{{"id", id},         {"host_port", "127.0.0.1:9"},
                {"locality", zone}, {"flavor", kind},
                {"cell", cell},     {"phase", phase},
                {"size", 1.5},      {"up_since_ms", 0}};
  };
  ASSERT_TRUE(discovery.onDocument(json{
      {"revision", 1},
      {"complete", true},
      {"members",
       {member("a", "near", "reader", 3, "active"), member("b", "farthest", "large", 7, "leaving"),
        member("c", "far", "mixed", 7, "resting"), member("d", "elsewhere", "mixed", 7, "active")}}}
                                       .dump()));
  ASSERT_EQ(sink.lastUpdate.entries.size(), 3U);
  const auto& [a, b, c] =
      std::tie(sink.lastUpdate.entries[0], sink.lastUpdate.entries[1], sink.lastUpdate.entries[2]);
  EXPECT_EQ(std::tuple(a.zone.value, a.kind.value, a.cell.value), std::tuple(0U, 0U, 3U));
  EXPECT_EQ(std::tuple(b.zone.value, b.kind.value, b.cell.value), std::tuple(2U, 2U, 7U));
  EXPECT_EQ(setup.settings.kinds[b.kind.value].memoryTokens, 180'000);
  EXPECT_EQ(std::tuple(a.state, b.state, c.state),
            std::tuple(routing::EndpointState::kActive, routing::EndpointState::kDraining,
                       routing::EndpointState::kRemoved));
  ASSERT_TRUE(discovery.onDocument(json{
      {"revision", 2}, {"complete", false}, {"members", {member("a", "near", "reader", 3, "left")}}}
                                       .dump()));
  EXPECT_EQ(sink.lastUpdate.form, routing::EndpointListForm::kChanges);
  EXPECT_EQ(sink.lastUpdate.entries.at(0).state, routing::EndpointState::kRemoved);
}

TEST(Configuration, IsParsedAndReportsInvalidValues) {
  json file{{"name", "n"},
            {"listen", "127.0.0.1:1"},
            {"discovery", "127.0.0.1:2"},
            {"seed", "8c1f30d27a5be964"},
            {"settings", siteSettings()}};
  const app::Config config = app::configOf(file, {{"GW_LISTEN", "127.0.0.1:3"}});
  EXPECT_EQ(config.listen.port(), 3);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(config.setup.names.classes.size(), 2U);
  EXPECT_EQ(config.setup.settings.contract.releaseLimit, std::chrono::milliseconds(300));
  std::string faultyKey;
  const auto errorOf = [&](const json& bad) -> std::string {
    try {
      app::configOf(bad, {});
    } catch (const app::ConfigError& fault) {
      EXPECT_EQ(fault.input(), app::ConfigInput::kFile);
      faultyKey = fault.key();
      return fault.what();
    }
    return "";
  };
  json bad = file;
  bad["listen"] = "nowhere";
  EXPECT_NE(errorOf(bad).find("nowhere"), std::string::npos);
  bad = file;
  bad["settings"]["limits"].erase("maxAttempts");
  EXPECT_NE(errorOf(bad).find("limits.maxAttempts is missing"), std::string::npos);
  bad = file;
  bad["settings"]["peersTotal"] = 0;
  EXPECT_NE(errorOf(bad).find("fewer than one node"), std::string::npos);
  bad = file;
  bad["limits"]["sockets"] = 127;
  EXPECT_EQ(errorOf(bad), "limits.sockets is under 128: too few to serve");
  EXPECT_EQ(faultyKey, "limits.sockets");
  bad = file;
  bad.erase("name");
  EXPECT_EQ(errorOf(bad), "name is missing, and so is GW_NAME");
  EXPECT_EQ(faultyKey, "name");
}

TEST(Reload, SighupBeforeTheLoopRunsIsPendingAndAnInvalidFileChangesNothing) {
  app::blockReloadSignal();
  raise(SIGHUP);  // by default this would end the program
  RouterFixture fixture(kMixed, true);
  int calls = 0;
  fixture.server->run(*fixture.listener, {.acceptForMs = 500}, [&] {
    if (++calls == 1) {
      raise(SIGHUP);
      throw app::ConfigError(app::ConfigInput::kFile, "", "half a file");
    }
    fixture.io.stop();
  });
  EXPECT_EQ(calls, 2);
  EXPECT_EQ(fixture.server->counters["reloads.failed"], 1U);
}

TEST(Reload, OperatorFileIsAppliedCompletelyOrNotAtAll) {
  RouterFixture fixture(kMixed, true);
  fixture.finished(fixture.chat({{"model", "ask"}}));
  json settings = siteSettings();
  settings["grades"][0]["hardLimitMs"] = 9000.0;
  const json file{{"listen", "127.0.0.1:0"},
                  {"keys", {{{"key", "new"}, {"tenant", "club"}}}},
                  {"models", {{"ask2", "member-questions"}}},
                  {"boxes",
                   {{{"id", "m3"},
                     {"address", RouterFixture::text(fixture.instances["m3"]->address())},
                     {"role", "both"}}}},
                  {"settings", settings}};
  json bad = file;
  bad["settings"]["kinds"][2] = "renamed";
  EXPECT_THROW(
      app::applyReload(frontend::operatorFileOf(bad), fixture.operatorFile, *fixture.server),
      app::ConfigError);
  EXPECT_EQ(fixture.finished(fixture.chat({{"model", "ask"}}))->status, 200U);
  app::applyReload(frontend::operatorFileOf(file), fixture.operatorFile, *fixture.server);
  EXPECT_EQ(fixture.finished(fixture.chat({{"model", "ask"}}))->status, 401U);
  EXPECT_EQ(fixture.finished(fixture.chat({{"model", "ask"}}, "new"))->status, 404U);
  const int before = fixture.instances["m3"]->chats();
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(fixture.finished(fixture.chat({{"model", "ask2"}}, "new"))->status, 200U);
  EXPECT_EQ(fixture.instances["m3"]->chats(), before + 4);
  EXPECT_EQ(fixture.server->directory.all().size(), 1U);
}

TEST(Configuration, KeepsTheFilesDiscoveryAddressApartFromTheEnvironments) {
  const json file{{"name", "n"},
                  {"listen", "127.0.0.1:1"},
                  {"discovery", "127.0.0.1:9"},
                  {"settings", siteSettings()}};
  const app::Config config = app::configOf(file, {{"GW_DISCOVERY", "127.0.0.1:2"}});
  EXPECT_EQ(config.discovery.port(), 2);
  EXPECT_EQ(config.discoveryInFile->port(), 9);
}

TEST(Telemetry, ExportsCountersToACollectorAsOtlp) {
  NetworkFixture fixture;
  StandInInstance collector(fixture.io, fixture.clock, fixture.timers);
  collector.script = [](StandInInstance&, StandInInstance::ReceivedRequest& request) {
    request.connection->answer(200, {}, "{}");
  };
  fixture.counters["requests.taken"] = 3;
  app::OtlpExporter exporter(fixture.io, fixture.clock, fixture.timers, fixture.counters,
                             collector.address(), 1000);
  fixture.pass(999);
  EXPECT_TRUE(collector.received.empty());
  fixture.pass(1);
  ASSERT_TRUE(fixture.until([&] { return fixture.counters["otlp.exported"] == 1; }));
  EXPECT_EQ(collector.received[0]->target, "/v1/metrics");
  const json sent = json::parse(collector.received[0]->body);
  const json& metrics = sent["resourceMetrics"][0]["scopeMetrics"][0]["metrics"];
  ASSERT_FALSE(metrics.empty());
  EXPECT_EQ(metrics[0]["name"], "dahliastall.requests.taken");
  EXPECT_EQ(metrics[0]["sum"]["dataPoints"][0]["asInt"], "3");
  EXPECT_EQ(metrics[0]["sum"]["isMonotonic"], true);
}

}  // namespace
}  // namespace inference_router
