// Both fronts on the whole program but its signals, between clients and instances of our own on
// loopback.
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

// ---- The same decisions through both fronts
// --------------------------------------------------------

std::vector<std::string> decisionsThrough(bool openai,
                                          const std::vector<RouterFixture::Kind>& kinds) {
  RouterFixture site(kinds, openai);
  // A read ends only after its place is answered, so that what races on a network comes in one
  // order here.
  for (const auto& kind : kinds) {
    if (kind.role != "read")
      continue;
    site.instances[kind.id]->script = leaveUnanswered;
  }
  for (int i = 0; i < 24; ++i) {
    const std::string opening =
        "You help members of club " + std::to_string(i % 3) + ". " + std::string(800, 'o');
    const json messages{{{"role", "system"}, {"content", opening}},
                        {{"role", "user"}, {"content", "Question " + std::to_string(i / 2)}}};
    const bool change = i % 4 == 3;
    const json body{{"model", change ? "change" : "ask"},
                    {"stream", true},
                    {"max_tokens", 50},
                    {"messages", messages}};
    std::shared_ptr<Reply> reply;
    const auto answered = site.server->counters["places.answered"];
    if (openai) {
      reply = site.chat(body);
    } else {
      const auto derived = frontend::traitsOf(messages, "club", "");
      reply =
          site.post("/v1/chat/completions",
                    {{"X-Call-Id", "id" + std::to_string(i)},
                     {"X-Call-Class", change ? "membership-changes" : "member-questions"},
                     {"X-Caller", "club"},
                     {"X-Route-Hash", derived.session},
                     {"X-Budget-Ms", change ? "6000" : "7500"},
                     {"X-Call-Info",
                      "prefix=" + derived.prefix + ",prompt_len=" +
                          std::to_string(static_cast<int>(derived.promptTokens)) + ",prefix_len=" +
                          std::to_string(static_cast<int>(derived.prefixTokens)) + ",max_out=50"}},
                    body.dump());
    }
    for (const auto& kind : kinds) {
      if (kind.role != "read")
        continue;
      const auto ready = [&] { return site.server->counters["places.answered"] == answered + 1; };
      EXPECT_TRUE(site.until(ready)) << i << ' ' << site.decisions.back();
      if (!ready())
        return site.decisions;
      for (const auto& taken : site.instances[kind.id]->received)
        if (taken->connection->state() == net::ClientConnection::State::kAnswering)
          answerPrefill(*site.instances[kind.id], *taken);
    }
    site.finished(reply);
    EXPECT_EQ(reply->status, 200U);
    EXPECT_TRUE(site.until([&] { return site.server->dispatcher.openRequests() == 0; }));
    site.pass(40 + i);
  }
  return site.decisions;
}

TEST(BothFronts, LeadToTheSameDecisionsWithMixedInstances) {
  const auto platform = decisionsThrough(false, kMixed);
  EXPECT_GT(platform.size(), 24U);
  EXPECT_EQ(platform, decisionsThrough(true, kMixed));
}

TEST(BothFronts, LeadToTheSameDecisionsWithPrefillAndDecodeInstances) {
  const auto platform = decisionsThrough(false, kSplit);
  EXPECT_GT(platform.size(), 72U);  // a read, a place and a write for each
  EXPECT_EQ(platform, decisionsThrough(true, kSplit));
}

// ---- The platform's protocol
// -----------------------------------------------------------------------

TEST(Platform, ForwardsAStreamUnchanged) {
  RouterFixture site(kSplit, false);
  const auto reply =
      site.finished(site.post("/v1/chat/completions?x=1", platformFields("a"), "{\"any\":1}"));
  EXPECT_EQ(reply->text, eventOf("Hel") + eventOf("lo") + kLastEvents);
  for (const auto& [id, instance] : site.instances) {
    for (const auto& taken : instance->received) {
      if (taken->target.rfind("/v1/", 0) != 0)
        continue;
      EXPECT_EQ(taken->target, "/v1/chat/completions?x=1");
      EXPECT_EQ(taken->body, "{\"any\":1}");
      EXPECT_EQ(taken->id, "a");
    }
  }
}

TEST(Platform, OutcomesAreReadAsTheProtocolSpecifies) {
  struct Case {
    unsigned status;
    bool rejected;
    std::string counter;
  };
  for (const Case& c :
       {Case{500, false, "attempts.error"}, Case{503, true, "attempts.turned_away"},
        Case{504, true, "attempts.turned_away"}, Case{503, false, "attempts.error"},
        Case{410, true, "attempts.turned_away"}, Case{202, false, "attempts.read"}}) {
    RouterFixture site({{"m1", "both", 0}}, false);
    site.instances["m1"]->script = [&](StandInInstance&, StandInInstance::ReceivedRequest& taken) {
      taken.connection->answer(c.status,
                               c.rejected ? net::Fields{{"X-Rejected", "1"}} : net::Fields{}, "");
    };
    site.post("/v1/chat/completions", platformFields("a"), "{}");
    EXPECT_TRUE(site.until([&] { return site.server->counters[c.counter] > 0; })) << c.counter;
  }
}

// Guards the first event, which ties a request to its attempt, against noise and half events; and
// the instances, any of which may send a spoilt answer, against being passed over for one.
TEST(Platform, AMalformedStreamIsRetriedBeforeItsFirstEventAndAbortedAfterIt) {
  for (const std::string spoilt : {"data: {\"x\":1}\nab", "noise", "data: half an event\n"}) {
    RouterFixture site({{"m1", "both", 0}, {"m2", "both", 0}}, false);
    int asked = 0;
    for (auto& [id, instance] : site.instances)
      instance->script = [&, spoilt](StandInInstance& self,
                                     StandInInstance::ReceivedRequest& taken) {
        if (++asked > 1)
          return streamFullAnswer(self, taken);
        taken.connection->beginStream({});
        taken.connection->writeChunk(spoilt);
        taken.connection->endStream();
      };
    net::Fields fields = platformFields("safe");
    fields[1].second = "member-questions";
    const auto reply = site.finished(site.post("/v1/x", fields, "{}"));
    EXPECT_EQ(reply->text, eventOf("Hel") + eventOf("lo") + kLastEvents) << spoilt;
    EXPECT_EQ(site.server->counters["answers.garbled"], 1U);
    EXPECT_EQ(site.server->counters["attempts.error"], 1U);
  }
  RouterFixture site(kMixed, false);
  for (auto& [id, instance] : site.instances)
    instance->script = [](StandInInstance&, StandInInstance::ReceivedRequest& taken) {
      taken.connection->beginStream({});
      taken.connection->writeChunk(eventOf("Hel") + "dat");
    };
  const auto reply = site.post("/v1/x", platformFields("late"), "{}");
  ASSERT_TRUE(site.until([&] { return !reply->text.empty(); }));
  EXPECT_EQ(reply->text, eventOf("Hel"));
  site.streaming()->connection->writeChunk("zz\r\n");
  EXPECT_EQ(site.finished(reply)->failure, net::CallFailure::kReset);  // without the last chunk
  EXPECT_EQ(site.chats(), 1);
}

// The next decode instance must not have to prefill the whole prompt between the steps of its
// streams: the KV cache was sent to the decode instance whose stream was malformed, while the
// prefill instance still has the text of the prompt.
TEST(Platform, AMalformedStreamStartIsPrefilledAgainBeforeTheNextDecodeInstance) {
  RouterFixture site(kSplit, false);
  std::vector<std::string> order;
  for (auto& [id, instance] : site.instances)
    instance->script = [&, id = id](StandInInstance& self,
                                    StandInInstance::ReceivedRequest& taken) {
      order.push_back(id.substr(0, 1));
      if (order.back() == "r")
        return answerPrefill(self, taken);
      if (order.size() > 2)
        return streamFullAnswer(self, taken);
      taken.connection->beginStream({});
      taken.connection->writeChunk("noise");
      taken.connection->endStream();
    };
  net::Fields fields = platformFields("safe");
  fields[1].second = "member-questions";
  const auto reply = site.finished(site.post("/v1/x", fields, "{}"));
  EXPECT_EQ(reply->text, eventOf("Hel") + eventOf("lo") + kLastEvents);
  EXPECT_EQ(order, (std::vector<std::string>{"r", "w", "r", "w"}));
}

// A client must not wait for a stream whose instance has stopped responding; a slow stream is not
// aborted.
TEST(Platform, AStalledStreamIsAbortedWithinFiveSeconds) {
  RouterFixture site(kMixed, false);
  for (auto& [id, instance] : site.instances)
    instance->script = beginOnly;
  const auto reply = site.post("/v1/x", platformFields("a"), "{}");
  ASSERT_TRUE(site.until([&] { return reply->text == eventOf("first"); }));
  site.pass(3'500);
  EXPECT_FALSE(reply->over);
  site.streaming()->connection->writeChunk(eventOf("more"));
  ASSERT_TRUE(site.until([&] { return reply->text == eventOf("first") + eventOf("more"); }));
  site.pass(3'500);
  EXPECT_EQ(site.server->counters["attempts.stalled"], 0U);
  site.pass(1'000);
  EXPECT_EQ(site.finished(reply)->failure, net::CallFailure::kReset);
  EXPECT_EQ(site.server->counters["attempts.stalled"], 1U);
  EXPECT_EQ(site.chats(), 1);
}

// The last chunk may never follow the event that ends the stream.
TEST(Platform, AStreamWithoutItsLastChunkIsAbortedByATimeout) {
  RouterFixture site(kMixed, false);
  for (auto& [id, instance] : site.instances)
    instance->script = [](StandInInstance&, StandInInstance::ReceivedRequest& taken) {
      taken.connection->beginStream({});
      taken.connection->writeChunk(kLastEvents);
    };
  const auto reply = site.post("/v1/x", platformFields("a"), "{}");
  ASSERT_TRUE(site.until([&] { return reply->text == kLastEvents; }));
  site.pass(1001);
  EXPECT_EQ(site.finished(reply)->failure, net::CallFailure::kReset);
}

TEST(Platform, AReleaseIsRetriedAtOtherInstancesUntilOneAcceptsIt) {
  RouterFixture site(kSplit, false);
  for (auto& [id, instance] : site.instances)
    instance->script = leaveUnanswered;
  const auto reply = site.post("/v1/chat/completions", platformFields("a"), "{}");
  ASSERT_TRUE(site.until(
      [&] { return site.chats() == 1 && site.server->counters["places.answered"] == 1; }));
  // Instances with an open connection are called first, and do not accept the release.
  for (auto& [id, instance] : site.instances)
    instance->acceptsReleases = instance->received.empty();
  site.lastCall->abandon();
  ASSERT_TRUE(site.until([&] {
    int released = 0;
    for (const auto& [id, instance] : site.instances)
      if (instance->acceptsReleases)
        released += instance->count("DELETE", "/bootstrap/rooms/a");
    return released > 0;
  }));
}

TEST(Platform, MalformedRequestsAreAnsweredWithA400) {
  RouterFixture site(kMixed, false);
  auto fields = platformFields("a");
  for (std::size_t i : {0U, 1U, 4U}) {
    auto bad = fields;
    bad[i].second = "?";
    EXPECT_EQ(site.finished(site.post("/v1/chat/completions", bad, "{}"))->status, 400U);
  }
  EXPECT_EQ(site.chats(), 0);
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

// The cost estimate is an optional header that only some deployments' clients send: without it, or
// if it is invalid, the request is accepted.
TEST(Platform, ReadsTheClientsCostEstimateAsTheSimulatorProtocolDoes) {
  const wire::Vocabulary names = frontend::settingsOf(siteSettings()).names;
  const auto costUs = [&](const char* text) {
    const auto hint =
        arrivalWith(text == nullptr ? nullptr : "X-Call-Cost", text, names).lengthHint;
    return hint ? hint->count() : -1;
  };
  EXPECT_EQ(costUs("12000"), 12'000);
  EXPECT_EQ(costUs("7680.4"), 7'680);
  for (const char* none :
       {static_cast<const char*>(nullptr), "", "0", "-3", "soon", "12 ms", "nan", "inf", "1e300"})
    EXPECT_EQ(costUs(none), -1) << (none == nullptr ? "not said" : none);
  const std::string line = "ARRIVAL\ta\tmember-questions\tclub\ts\t6000\t12.0\t-\t100\t0\t50\t1";
  const auto told = std::get<routing::Arrival>(wire::parseEvent(wire::Line(line, 1), names));
  EXPECT_EQ(told.lengthHint, arrivalWith("X-Call-Cost", "12000", names).lengthHint);
}

TEST(Platform, DistinguishesRepeatedResumedAndUnmarkedRequests) {
  const wire::Vocabulary names = frontend::settingsOf(siteSettings()).names;
  const auto marks = [&](const char* name, const char* value) {
    const auto told = arrivalWith(name, value, names);
    return std::pair(told.repeat, told.resumed);
  };
  EXPECT_EQ(marks(nullptr, nullptr), std::pair(false, false));
  EXPECT_EQ(marks("X-Again", "1"), std::pair(true, false));
  EXPECT_EQ(marks("X-Again", "again"), std::pair(false, true));
  auto none = names;
  none.tenants.clear();  // a deployment without tenants, or one that the settings do not name
  EXPECT_EQ(arrivalWith(nullptr, nullptr, none).tenant, std::nullopt);
  EXPECT_EQ(arrivalWith("X-Caller", "stranger", names).tenant, std::nullopt);
}

// ---- The chat API
// ----------------------------------------------------------------------------------

TEST(ChatApi, StreamsWithoutUsageUnlessItIsRequested) {
  RouterFixture site(kSplit, true);
  const auto plain = site.finished(site.chat({{"model", "ask"}, {"stream", true}}));
  EXPECT_NE(plain->text.find("Hel"), std::string::npos);
  EXPECT_EQ(plain->text.find("usage"), std::string::npos);
  EXPECT_NE(plain->text.find("data: [DONE]\n\n"), std::string::npos);
  const auto usage = site.finished(site.chat(
      {{"model", "ask"}, {"stream", true}, {"stream_options", {{"include_usage", true}}}}));
  EXPECT_EQ(usage->text, eventOf("Hel") + eventOf("lo") + kLastEvents);
}

TEST(ChatApi, ANonStreamingAnswerIsAssembledFromTheStream) {
  RouterFixture site(kMixed, true);
  const auto reply = site.finished(site.chat({{"model", "ask"}}));
  const json answer = json::parse(reply->text);
  EXPECT_EQ(answer["object"], "chat.completion");
  EXPECT_EQ(answer["choices"][0]["message"]["content"], "Hello");
  EXPECT_EQ(answer["choices"][0]["finish_reason"], "stop");
  EXPECT_EQ(answer["usage"]["completion_tokens"], 2);
}

TEST(ChatApi, ErrorsHaveTheFormThatClientsExpect) {
  RouterFixture site(kMixed, true);
  const auto expect = [&](const std::shared_ptr<Reply>& reply, unsigned status, const json& param) {
    site.finished(reply);
    EXPECT_EQ(reply->status, status) << reply->text;
    const json error = json::parse(reply->text).at("error");
    EXPECT_EQ(error.at("param"), param);
    EXPECT_TRUE(error.at("message").is_string() && error.contains("type") &&
                error.contains("code"));
  };
  expect(site.chat({{"model", "ask"}}, "wrong"), 401, nullptr);
  expect(site.chat({{"model", "none"}}), 404, "model");
  expect(site.chat({{"model", "ask"}, {"messages", json::array()}}), 400, "messages");
  expect(site.chat({{"model", "ask"}, {"max_tokens", 0}}), 400, "max_tokens");
  expect(site.chat({{"model", "ask"}, {"stream_options", {{"include_usage", true}}}}), 400,
         "stream_options");
  expect(site.post("/v1/else", {{"Authorization", "Bearer k"}}, "{}"), 404, nullptr);
  expect(site.post("/v1/chat/completions", {{"Authorization", "Bearer k"}}, "no json"), 400,
         nullptr);
  expect(
      site.post("/v1/chat/completions", {{"Authorization", "Bearer k"}}, std::string(300'000, ' ')),
      413, nullptr);
  EXPECT_EQ(site.chats(), 0);
}

TEST(ChatApi, AClientThatClosesDuringAStreamCancelsItAtTheInstance) {
  RouterFixture site(kMixed, true);
  for (auto& [id, instance] : site.instances)
    instance->script = beginOnly;
  const auto reply = site.chat({{"model", "ask"}, {"stream", true}});
  ASSERT_TRUE(site.until([&] { return !reply->text.empty(); }));
  const StandInInstance::ReceivedRequest* const taken = site.streaming();
  ASSERT_NE(taken, nullptr);
  site.lastCall->abandon();
  EXPECT_TRUE(site.until([&] { return taken->disconnected; }));
  EXPECT_EQ(site.server->counters["requests.client_gone"], 1U);
  EXPECT_EQ(site.server->dispatcher.openRequests(), 0U);
}

TEST(ChatApi, AnAtMostOnceRequestThatLosesItsInstanceAfterTheFirstEventGetsOneErrorAndNoRetry) {
  for (const bool stream : {true, false}) {
    RouterFixture site(kMixed, true);
    for (auto& [id, instance] : site.instances)
      instance->script = beginOnly;
    const auto reply = site.chat({{"model", "change"}, {"stream", stream}}, "desk");
    ASSERT_TRUE(site.until([&] {
      return site.streaming() != nullptr && site.server->counters["requests.taken"] == 1;
    }));
    if (stream) {
      ASSERT_TRUE(site.until([&] { return !reply->text.empty(); }));
    }
    site.streaming()->connection->abortResponse();
    site.finished(reply);
    site.pass(8000);
    EXPECT_TRUE(reply->complete);
    const std::size_t error = reply->text.find("\"error\"");
    EXPECT_NE(error, std::string::npos);
    EXPECT_EQ(reply->text.find("\"error\"", error + 1), std::string::npos);
    EXPECT_EQ(reply->text.find("[DONE]"), std::string::npos);
    if (!stream) {
      EXPECT_EQ(reply->fields["X-Should-Retry"], "false");
    }
    EXPECT_EQ(site.chats(), 1);
  }
}

TEST(ChatApi, ADeadlineBeforeTheFirstTokenIsA504) {
  for (const char* model : {"ask", "change"}) {
    RouterFixture site({{"m1", "both", 0}}, true);
    site.instances["m1"]->script = leaveUnanswered;
    const auto reply = site.chat({{"model", model}, {"stream", true}});
    ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
    for (int i = 0; i < 800 && !reply->over; ++i) {
      site.pass(10);
      site.io.restart();
      site.io.poll();
    }
    site.finished(reply);
    EXPECT_TRUE(reply->status == 504 || (std::string(model) == "ask" && reply->status == 429))
        << reply->status;
  }
}

TEST(ChatApi, ASlowReaderHoldsItsInstanceAndLosesNothing) {
  RouterFixture site({{"m1", "both", 0}}, true);
  site.instances["m1"]->script = beginOnly;
  RawPeer client(site.io);
  client.connect(site.listener->address());
  const std::string body =
      R"({"model":"ask","stream":true,"messages":[{"role":"user","content":"x"}]})";
  client.write(
      messageText("POST /v1/chat/completions HTTP/1.1", {{"Authorization", "Bearer k"}}, body));
  ASSERT_TRUE(site.until([&] { return site.streaming() != nullptr; }));
  const auto instance = site.streaming()->connection;
  const std::string event = eventOf(std::string(60'000, 'x'));
  int sent = 0;
  // The instance is held once every buffer on the way is full; without that the program would hold
  // all of it.
  while (sent < 2000 && instance->writeChunk(event)) {
    ++sent;
    for (int i = 0; i < 20; ++i) {
      site.io.restart();
      site.io.poll();
    }
  }
  EXPECT_LT(sent, 2000);
  instance->writeChunk(kLastEvents);
  instance->endStream();
  ASSERT_TRUE(site.until(
      [&] { return client.ended() || client.seen.find("[DONE]") != std::string::npos; }));
  std::size_t events = 0;
  for (std::size_t at = client.seen.find("\"content\""); at != std::string::npos;
       at = client.seen.find("\"content\"", at + 1))
    ++events;
  EXPECT_EQ(events,
            static_cast<std::size_t>(sent) + 2);  // the first, those, and the one that was held
}

TEST(ChatApi, ADrainAllowsAStreamToEnd) {
  RouterFixture site(kMixed, true);
  for (auto& [id, instance] : site.instances)
    instance->script = beginOnly;
  const auto reply = site.chat({{"model", "ask"}, {"stream", true}});
  ASSERT_TRUE(site.until([&] { return !reply->text.empty(); }));
  bool done = false;
  site.listener->drain(500, [&] { done = true; });
  site.pass(1000);
  const auto instance = site.streaming()->connection;
  EXPECT_FALSE(done);
  instance->writeChunk(kLastEvents);
  instance->endStream();
  EXPECT_TRUE(site.finished(reply)->complete);
  EXPECT_TRUE(site.until([&] { return done; }));
}

// Whoever asks for the rest of a stream finds another node; at a small site nobody does, and
// nothing is cut.
TEST(Endings, StreamsAreMigratedOnlyIfResumptionIsEnabled) {
  routing::Settings settings = frontend::settingsOf(siteSettings()).settings;
  const app::ShutdownOptions small = app::platformShutdown(settings);
  EXPECT_FALSE(small.graceMs);
  settings.streamResumption = true;
  const app::ShutdownOptions fleet = app::platformShutdown(settings);
  EXPECT_EQ(fleet.graceMs, 3700);  // the classes' deadlines are longer than 3 s
  EXPECT_LT(fleet.acceptForMs, *fleet.graceMs);
}

// Near the end of a shutdown, requests without a stream are rejected, and so are those that arrive
// later, on any connection; none is sent to an instance, and each connection closes after its
// answer.
TEST(Endings, RequestsNearTheEndOfShutdownAreRejectedAndTheirConnectionsClosed) {
  RouterFixture site(kMixed, false);
  for (auto& [id, instance] : site.instances)
    instance->script = leaveUnanswered;
  const auto ask = [](const std::string& id) {
    net::Fields fields = platformFields(id);
    fields.emplace_back("Host", "x");
    for (auto& [name, value] : fields)
      if (name == "X-Call-Class")
        value = "member-questions";  // a repeat of it does no harm
    return messageText("POST /v1/chat/completions HTTP/1.1", std::move(fields), "{}");
  };
  RawPeer waits(site.io), late(site.io);
  const std::string half = ask("late");
  waits.connect(site.listener->address());
  waits.write(ask("waits"));
  ASSERT_TRUE(site.until([&] { return site.chats() == 1; }));
  constexpr double kGraceMs = 3'700;
  bool done = false;
  site.server->dispatcher.beginShutdown(kGraceMs);
  site.listener->drain(kGraceMs * 0.58, [&] { done = true; });
  auto passTo = [&, passed = 0.0](double share) mutable {
    for (; passed < kGraceMs * share; passed += 10) {
      site.pass(10);
      site.io.restart();
      site.io.poll();
    }
  };
  passTo(0.5);  // the door is open
  late.connect(site.listener->address());
  late.write(half.substr(0, 40));
  passTo(0.92);
  EXPECT_FALSE(waits.hasBytes());
  passTo(0.95);
  const int chats = site.chats();
  const auto refused = [&](RawPeer& client) {
    EXPECT_TRUE(site.until([&] { return client.ended(); }));
    EXPECT_EQ(client.seen.rfind("HTTP/1.1 503", 0), 0U) << client.seen;
    EXPECT_NE(client.seen.find("Connection: close"), std::string::npos) << client.seen;
  };
  refused(waits);
  late.write(half.substr(40));
  refused(late);
  EXPECT_EQ(site.chats(), chats);
  EXPECT_TRUE(site.until([&] { return done; }));
}

TEST(ChatApi, ListsItsModels) {
  RouterFixture site(kMixed, true);
  const auto reply = std::make_shared<Reply>();
  site.clients->call(site.listener->address(),
                     net::headText("GET /v1/models HTTP/1.1", {{"Authorization", "Bearer k"}}),
                     nullptr, reply);
  site.finished(reply);
  const json list = json::parse(reply->text);
  EXPECT_EQ(list["data"].size(), 2U);
  EXPECT_EQ(list["data"][0]["id"], "ask");
}

TEST(Derive, TurnsOfAConversationShareTheirSession) {
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
// --------------------------------------------------------

struct Watching : NetworkFixture {
  Watching() { dispatcher.connect(instances); }
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

std::string listOf(int revision, bool whole, const std::string& phase) {
  return json{{"revision", revision},
              {"complete", whole},
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

std::string lineOf(int revision, bool whole, const json& members) {
  return json{{"revision", revision}, {"complete", whole}, {"members", members}}.dump();
}

TEST(DiscoveryWatch, KeepsTheListIfTheWatchBreaksAndResumesAtItsRevision) {
  Watching watching;
  RawPeer agent(watching.io);
  watching.discovery.loadCached(json::parse(listOf(41, true, "active")));
  watching.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("GET /api/targets?watch=1&after=41 "), std::string::npos);
  const std::string line = listOf(43, false, "leaving");
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(line.substr(0, 30)));
  agent.write(net::encodeChunk(line.substr(30) + "\n"));
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kDraining);
  agent.reset();
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.broken"] == 1; }));
  ASSERT_NE(watching.directory.find({"a"}), nullptr);
  watching.pass(150);
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=43 "), std::string::npos);
}

// On a reload that changes the address of discovery, the old watch is used until the new one
// delivers a list.
TEST(DiscoveryWatch, MovesToAnotherAddressWithoutAGapAndRetriesIfItIsSilent) {
  Watching watching;
  RawPeer before(watching.io), silent(watching.io), after(watching.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto opened = [&](RawPeer& agent) {
    agent.accept();
    EXPECT_TRUE(watching.until([&] { return agent.hasBytes(); }));
    return agent.readSome();
  };
  watching.discovery.watch(before.address());
  opened(before);
  before.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.lists"] == 1; }));
  watching.discovery.watch(silent.address());
  opened(silent);
  watching.discovery.watch(after.address());  // once more, before the first has said a word
  EXPECT_NE(opened(after).find("after=0 "), std::string::npos);  // another address, other numbers
  ASSERT_TRUE(watching.until([&] { return silent.ended(); }));
  before.write(net::encodeChunk(listOf(42, false, "leaving")));  // the old one still counts
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_FALSE(before.ended());
  watching.pass(1001);  // not a word: asked again, well before 4 s
  watching.pass(151);
  opened(after);
  after.write(head + net::encodeChunk(listOf(7, true, "active")));
  ASSERT_TRUE(
      watching.until([&] { return watching.counters["discovery.lists"] == 3 && before.ended(); }));
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kActive);
  watching.pass(151);
  EXPECT_EQ(watching.counters["discovery.watches"], 4U);  // the end of the old one opens none
}

// A watch may be queued at an overloaded discovery: closing and reopening it would put it at the
// end of the queue.
TEST(DiscoveryWatch, KeepsASilentWatchOpenWhileItOpensAnother) {
  Watching watching;
  RawPeer agent(watching.io), other(watching.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto lists = [&](int count) {
    return watching.until(
        [&] { return watching.counters["discovery.lists"] == static_cast<unsigned>(count); });
  };
  watching.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(lists(1));
  watching.pass(2601);
  watching.pass(151);  // the next is on its way, and nobody takes it in
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.watches"] == 2; }));
  EXPECT_FALSE(agent.ended());
  agent.write(net::encodeChunk(listOf(42, false, "leaving")));
  ASSERT_TRUE(lists(2));
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kDraining);
  watching.pass(1001);  // the one beside it was left when the first went on
  watching.pass(501);
  EXPECT_EQ(watching.counters["discovery.watches"], 2U);
  EXPECT_FALSE(agent.ended());
}

// A drain must also work if the discovery agent indents its lists over many lines and sends them in
// pieces.
TEST(DiscoveryWatch, AcceptsListsThatAreIndentedOverManyLines) {
  Watching watching;
  RawPeer agent(watching.io);
  watching.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  const auto pretty = [](int revision, bool whole, const std::string& phase) {
    json list = json::parse(listOf(revision, whole, phase));
    list["note"] = "a \"}\" and a \\\\";
    return list.dump(2) + "\n";
  };
  const std::string text = pretty(41, true, "active") + "\n" + pretty(42, false, "leaving") +
                           listOf(43, false, "active") + "  \n" + pretty(44, false, "leaving");
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (std::size_t at = 0; at < text.size(); at += 37)
    agent.write(net::encodeChunk(text.substr(at, 37)));
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.lists"] == 4; }));
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_EQ(watching.counters["discovery.malformed"], 0U);
}

// An open watch stops responding as a change occurs: the next watch is open and has delivered the
// change within the sum given in fleet/discovery_backoff.h, whatever the jitter.
TEST(DiscoveryWatch, ASilentWatchIsReplacedWithinTheDeliveryLimit) {
  Watching watching;
  RawPeer agent(watching.io);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  watching.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write(head + net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.lists"] == 1; }));
  agent.write(net::encodeChunk(
      listOf(42, false, "leaving").substr(0, 40)));  // half a line, and then nothing
  for (int i = 0; i < 20; ++i) {
    watching.io.restart();
    watching.io.run_one_for(std::chrono::milliseconds(1));
  }
  double passed = 0;
  for (; watching.counters["discovery.watches"] < 2; passed += 10) {
    ASSERT_LT(passed, fleet::DiscoveryBackoff::kDeliveryLimitMs);
    watching.pass(10);
  }
  agent.accept();  // the old one is left open: only the other side has ended it
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=41 "), std::string::npos);
  agent.write(head + net::encodeChunk(listOf(42, false, "leaving")));
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.lists"] == 2; }));
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kDraining);
  EXPECT_LE(passed,
            fleet::DiscoveryBackoff::kWorstSilentWatchMs - fleet::DiscoveryBackoff::kCallTimeoutMs);
}

// Discovery was restored to an older state, or one of its replicas lags: the list received last is
// valid, and the next watch resumes at its revision.
TEST(DiscoveryWatch, AppliesListsInOrderOfArrivalEvenIfTheRevisionDecreases) {
  Watching watching;
  RawPeer agent(watching.io);
  const auto lists = [&](unsigned count) {
    return watching.until([&] { return watching.counters["discovery.lists"] == count; });
  };
  watching.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(listOf(43, true, "active") + listOf(41, true, "leaving")));
  ASSERT_TRUE(lists(2));
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kDraining);
  agent.write(net::encodeChunk(listOf(40, false, "active")));
  ASSERT_TRUE(lists(3));
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kActive);
  EXPECT_TRUE(watching.dispatcher.mayReserve({"a"}));
  agent.reset();
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.broken"] == 1; }));
  watching.pass(151);
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=40 "), std::string::npos);
}

// The first message of a watch is a change: it is applied to the cached list, or to an empty one,
// and the full list that follows replaces the result.
TEST(DiscoveryWatch, AppliesAChangeThatArrivesBeforeTheFullList) {
  for (const bool known : {true, false}) {
    Watching watching;
    RawPeer agent(watching.io);
    const auto lists = [&](unsigned count) {
      return watching.until([&] { return watching.counters["discovery.lists"] == count; });
    };
    if (known)
      watching.discovery.loadCached(json::parse(
          lineOf(41, true, {memberOf(1, "active", 1001, 0), memberOf(2, "active", 1002, 0)})));
    watching.discovery.watch(agent.address());
    agent.accept();
    ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
    agent.readSome();
    agent.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
        net::encodeChunk(
            lineOf(42, false, {memberOf(2, "leaving", 1002, 0), memberOf(3, "active", 1003, 0)}) +
            "\n"));
    ASSERT_TRUE(lists(known ? 2 : 1));
    EXPECT_TRUE(watching.discovery.hasWatch());
    EXPECT_EQ(watching.directory.find({"b1"}) != nullptr, known);
    EXPECT_EQ(watching.directory.find({"b2"})->state, routing::EndpointState::kDraining);
    EXPECT_EQ(watching.dispatcher.instancesKnown(), known ? 3U : 2U);
    agent.write(
        net::encodeChunk(lineOf(42, true, json::array({memberOf(2, "active", 1002, 0)})) + "\n"));
    ASSERT_TRUE(lists(known ? 3 : 2));
    EXPECT_EQ(watching.directory.all().size(), 1U);
    EXPECT_FALSE(watching.dispatcher.mayReserve({"b9"}));
    EXPECT_TRUE(watching.dispatcher.mayReserve({"b2"}));
  }
}

// Idle clients use their whole share of descriptors and fill the accept queue, and discovery fails:
// the watch is still reopened, and all connections to instances can still be opened.
TEST(DiscoveryWatch, KeepsItsDescriptorsWhileIdleClientsUseAllOthers) {
  Watching watching;
  constexpr std::size_t kSockets = 160;
  const app::Limits limits{kSockets};
  admission::DescriptorBudget ledger(admission::DescriptorBudget::sharesOf(kSockets));
  for (int i = 0; i < 14; ++i)
    ledger.force(admission::Account::kOwn);
  watching.pool.setMaxConnections(limits.instances());
  watching.pool.accountTo(ledger, admission::Account::kInstances);
  watching.discovery.accountTo(ledger);
  StandInInstance front(watching.io, watching.clock, watching.timers);  // whatever is asked
  net::Listener listener(watching.io, anyPort(), limits.clients(), front, watching.clock,
                         watching.timers, watching.counters, {.descriptorBudget = &ledger});
  RawPeer agent(watching.io);
  watching.discovery.watch(agent.address());
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  agent.readSome();
  agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              net::encodeChunk(listOf(41, true, "active")));
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.lists"] == 1; }));
  std::vector<std::unique_ptr<RawPeer>> idle;
  for (std::size_t i = 0; i < 2 * limits.clients(); ++i) {
    idle.push_back(std::make_unique<RawPeer>(watching.io));
    idle.back()->connect(listener.address());
  }
  ASSERT_TRUE(watching.until([&] { return listener.size() == limits.clients(); }));
  agent.reset();
  ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.broken"] == 1; }));
  RawPeer silent(watching.io);  // an instance that takes connections and answers nothing
  std::vector<std::shared_ptr<Reply>> replies;
  std::vector<std::shared_ptr<net::Call>> calls;
  for (std::size_t i = 0; i < limits.instances(); ++i) {
    replies.push_back(std::make_shared<Reply>());
    calls.push_back(watching.pool.call(silent.address(), "GET / HTTP/1.1\r\n\r\n", nullptr,
                                       replies.back(), net::ConnectionPool::Urgency::kUrgent));
  }
  ASSERT_TRUE(watching.until([&] {
    return std::all_of(replies.begin(), replies.end(),
                       [](const auto& reply) { return reply->wasWritten; });
  }));
  EXPECT_EQ(listener.size(), limits.clients());
  watching.pass(151);
  agent.accept();
  ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
  EXPECT_NE(agent.readSome().find("after=41 "), std::string::npos);
  EXPECT_LE(ledger.total(), kSockets);
  for (const auto& call : calls)
    call->abandon();
}

// The tables must not grow in a fleet whose instances are continually replaced under new ids.
TEST(DiscoveryWatch, TablesDoNotGrowWithThousandsOfReplacedInstances) {
  Watching watching;
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
    ASSERT_TRUE(watching.discovery.onDocument(list(i, "active")));
    if (i >= 5) {
      ASSERT_TRUE(watching.discovery.onDocument(list(i - 5, i % 2 == 0 ? "leaving" : "left")));
      ASSERT_TRUE(watching.discovery.onDocument(list(i - 5, "left")));
    }
    watching.pass(500);
    ASSERT_LE(watching.directory.all().size(), 6U);
    ASSERT_LE(watching.dispatcher.instancesKnown(), 10U);
  }
}

// A much larger fleet: long lists, thousands of changes on one line, and values that the settings
// do not name.
TEST(DiscoveryWatch, AcceptsListsOfAThousandInstancesAndThousandsOfChangesOnOneLine) {
  for (const int instances : {100, 1000}) {
    Watching watching;
    json all = json::array(), changes = json::array();
    for (int i = 0; i < instances; ++i) {
      all.push_back(memberOf(i, "active", 1000 + i, 0));
      changes.push_back(memberOf(i, "leaving", 1000 + i, 0));
      changes.push_back(memberOf(i, "left", 1000 + i, 0));
      if (i % 2 == 0)
        changes.push_back(memberOf(i, "active", 10'000 + i, 5));  // elsewhere, and started anew
    }
    ASSERT_TRUE(watching.discovery.onDocument(lineOf(1, true, all)));
    EXPECT_EQ(watching.directory.all().size(), static_cast<std::size_t>(instances));
    const std::string line = lineOf(2, false, changes);
    EXPECT_FALSE(
        watching.discovery.onDocument(line.substr(0, line.size() / 2)));  // cut: nothing changes
    EXPECT_EQ(watching.directory.all().size(), static_cast<std::size_t>(instances));
    ASSERT_TRUE(watching.discovery.onDocument(line));
    EXPECT_EQ(watching.directory.all().size(), static_cast<std::size_t>(instances / 2));
    EXPECT_EQ(watching.directory.find({"b0"})->address.port(), 10'000);
    EXPECT_EQ(watching.directory.find({"b1"}), nullptr);
    json odd = memberOf(instances, "active", 9, 0),
         elsewhere = memberOf(instances + 1, "active", 9, 0);
    odd["flavor"] = "unheard-of";
    elsewhere["locality"] = "nowhere";
    ASSERT_TRUE(watching.discovery.onDocument(lineOf(3, false, {odd, elsewhere})));
    EXPECT_EQ(watching.directory.find({"b" + std::to_string(instances + 1)}), nullptr);
    ASSERT_TRUE(watching.discovery.onDocument(lineOf(4, true, json::array())));
    EXPECT_EQ(watching.directory.all().size(), 0U);
    EXPECT_EQ(watching.counters["discovery.malformed"], 1U);
  }
}

// A full list of the maximum number of instances, then changes to all of them, through a socket: on
// one line and indented, split at any byte.
TEST(DiscoveryWatch, ReceivesListsOfTheMaximumNumberOfInstances) {
  constexpr int kInstances = coordination::kMaxFleetInstances;
  for (const bool indented : {false, true}) {
    Watching watching;
    RawPeer agent(watching.io);
    watching.discovery.watch(agent.address());
    agent.accept();
    ASSERT_TRUE(watching.until([&] { return agent.hasBytes(); }));
    agent.readSome();
    agent.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    unsigned lists = 0;
    const auto tell = [&](bool whole, const json& members) {
      const std::string text =
          json::parse(lineOf(static_cast<int>(++lists), whole, members)).dump(indented ? 4 : -1) +
          "\n";
      for (std::size_t at = 0, size = 1; at < text.size(); at += size, size = size * 7 % 4099 + 1) {
        agent.write(net::encodeChunk(text.substr(at, size)));
        watching.io.poll();
      }
      ASSERT_TRUE(watching.until([&] { return watching.counters["discovery.lists"] == lists; }));
    };
    json all = json::array(), leaving = json::array(), gone = json::array();
    for (int i = 0; i < kInstances; ++i) {
      all.push_back(memberOf(i, "active", 1000 + i, 0));
      leaving.push_back(memberOf(i, "leaving", 1000 + i, 0));
      if (i % 2 == 1)
        gone.push_back(memberOf(i, "left", 1000 + i, 0));
    }
    const HeapUse held = measureHeapUse([&] { tell(true, all); });
    ASSERT_EQ(watching.directory.all().size(), static_cast<std::size_t>(kInstances));
    std::cout << held.retainedBytes / kInstances << " bytes an instance listed, at most "
              << held.peakBytes << " while it is read\n";
    EXPECT_LE(held.retainedBytes / kInstances, 4096U);
    EXPECT_LE(held.peakBytes, 192U << 20U >> 4U);
    tell(false, leaving);
    for (const auto& [id, instance] : watching.directory.all())
      ASSERT_EQ(instance.state, routing::EndpointState::kDraining) << id.value;
    tell(false, gone);
    EXPECT_EQ(watching.directory.all().size(), static_cast<std::size_t>(kInstances / 2));
    tell(false, json::array({memberOf(3, "active", 7, 0)}));
    EXPECT_EQ(watching.directory.find({"b3"})->address.port(), 7);
    tell(true, all);
    EXPECT_EQ(watching.directory.find({"b3"})->address.port(), 1003);
    EXPECT_EQ(watching.dispatcher.instancesKnown(), static_cast<std::size_t>(kInstances));
    EXPECT_EQ(watching.counters["discovery.malformed"] + watching.counters["discovery.broken"], 0U);
  }
}

TEST(DiscoveryWatch, MalformedListChangesNothing) {
  Watching watching;
  ASSERT_TRUE(watching.discovery.onDocument(listOf(5, true, "active")));
  for (const char* bad : {"{", "[]", "{\"revision\":6,\"complete\":true,\"members\":[{\"id\":7}]}"})
    EXPECT_FALSE(watching.discovery.onDocument(bad)) << bad;
  EXPECT_TRUE(watching.discovery.onDocument("  \r"));
  EXPECT_EQ(watching.directory.all().size(), 1U);
  EXPECT_EQ(watching.directory.find({"a"})->state, routing::EndpointState::kActive);
}

// Zones, kinds and cells are those that the settings and the list name, however many; a phase that
// is not known is none to send to. What it says of starts, before the part that makes no sense, is
// no evidence of discovery's clock either.
TEST(DiscoveryWatch, MalformedListIsNotUsedForInstanceAges) {
  Watching watching;
  std::optional<routing::Time> started;
  watching.dispatcher.onEvent([&](const routing::Event& event) {
    if (const auto* news = std::get_if<routing::EndpointListUpdate>(&event))
      started = news->entries.back().started;
  });
  constexpr double kTold = 1e12;
  ASSERT_TRUE(watching.discovery.onDocument(
      lineOf(1, true, json::array({memberOf(1, "active", 9, kTold)}))));
  const double firstMs = watching.clock.nowMs();
  watching.clock.advance(1'000);
  const json bad = json::array({memberOf(1, "active", 9, kTold + 3'600'000), json{{"id", 7}}});
  ASSERT_FALSE(watching.discovery.onDocument(lineOf(2, false, bad)));
  ASSERT_TRUE(watching.discovery.onDocument(
      lineOf(3, false, json::array({memberOf(1, "active", 9, kTold + 500)}))));
  EXPECT_EQ(started, core::toModuleTime(firstMs + 500));
}

TEST(DiscoveryWatch, TellsZonesKindsCellsAndPhasesByTheSettingsNames) {
  json settings = siteSettings();
  settings["zones"] = {"near", "far", "farthest"};
  settings["myZone"] = "far";
  settings["kinds"] = {"reader", "small", "large", "mixed"};
  settings["familyInfo"]["dutyByKind"] = {"read", "write", "write", "both"};
  settings["familyInfo"]["memoryTokens"] = {200'000, 90'000, 180'000, 150'000};
  const auto setup = frontend::settingsOf(settings);
  EXPECT_EQ(setup.settings.zone.value, 1U);
  struct Told : core::EndpointListSink {
    routing::EndpointListUpdate news;
    void list(routing::EndpointListUpdate told) override { news = std::move(told); }
  } told;
  Watching watching;
  frontend::Discovery discovery{watching.io,       watching.clock, watching.timers,
                                watching.counters, told,           watching.directory,
                                watching.pool,     setup.names,    fleet::DiscoveryBackoff(2, 7)};
  const auto entry = [](const char* id, const char* zone, const char* kind, unsigned cell,
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
       {entry("a", "near", "reader", 3, "active"), entry("b", "farthest", "large", 7, "leaving"),
        entry("c", "far", "mixed", 7, "resting"), entry("d", "elsewhere", "mixed", 7, "active")}}}
                                       .dump()));
  ASSERT_EQ(told.news.entries.size(), 3U);
  const auto& [a, b, c] =
      std::tie(told.news.entries[0], told.news.entries[1], told.news.entries[2]);
  EXPECT_EQ(std::tuple(a.zone.value, a.kind.value, a.cell.value), std::tuple(0U, 0U, 3U));
  EXPECT_EQ(std::tuple(b.zone.value, b.kind.value, b.cell.value), std::tuple(2U, 2U, 7U));
  EXPECT_EQ(setup.settings.kinds[b.kind.value].memoryTokens, 180'000);
  EXPECT_EQ(std::tuple(a.state, b.state, c.state),
            std::tuple(routing::EndpointState::kActive, routing::EndpointState::kDraining,
                       routing::EndpointState::kRemoved));
  ASSERT_TRUE(discovery.onDocument(json{
      {"revision", 2}, {"complete", false}, {"members", {entry("a", "near", "reader", 3, "left")}}}
                                       .dump()));
  EXPECT_EQ(told.news.form, routing::EndpointListForm::kChanges);
  EXPECT_EQ(told.news.entries.at(0).state, routing::EndpointState::kRemoved);
}

TEST(Configuration, IsReadByTheAdaptersOwnCodeAndComplainsPlainly) {
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
  const auto complaint = [&](const json& bad) -> std::string {
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
  EXPECT_NE(complaint(bad).find("nowhere"), std::string::npos);
  bad = file;
  bad["settings"]["limits"].erase("maxAttempts");
  EXPECT_NE(complaint(bad).find("limits.maxAttempts is missing"), std::string::npos);
  bad = file;
  bad["settings"]["peersTotal"] = 0;
  EXPECT_NE(complaint(bad).find("fewer than one node"), std::string::npos);
  bad = file;
  bad["limits"]["sockets"] = 127;
  EXPECT_EQ(complaint(bad), "limits.sockets is under 128: too few to serve");
  EXPECT_EQ(faultyKey, "limits.sockets");
  bad = file;
  bad.erase("name");
  EXPECT_EQ(complaint(bad), "name is missing, and so is GW_NAME");
  EXPECT_EQ(faultyKey, "name");
}

TEST(Reload, ASighupBeforeTheLoopRunsIsHandledAndAnInvalidFileIsCounted) {
  app::blockReloadSignal();
  raise(SIGHUP);  // by default this would end the program
  RouterFixture site(kMixed, true);
  int calls = 0;
  site.server->run(*site.listener, {.acceptForMs = 500}, [&] {
    if (++calls == 1) {
      raise(SIGHUP);
      throw app::ConfigError(app::ConfigInput::kFile, "", "half a file");
    }
    site.io.stop();
  });
  EXPECT_EQ(calls, 2);
  EXPECT_EQ(site.server->counters["reloads.failed"], 1U);
}

TEST(Reload, AnOperatorFileIsAppliedCompletelyOrNotAtAll) {
  RouterFixture site(kMixed, true);
  site.finished(site.chat({{"model", "ask"}}));
  json settings = siteSettings();
  settings["grades"][0]["hardLimitMs"] = 9000.0;
  const json file{{"listen", "127.0.0.1:0"},
                  {"keys", {{{"key", "new"}, {"tenant", "club"}}}},
                  {"models", {{"ask2", "member-questions"}}},
                  {"boxes",
                   {{{"id", "m3"},
                     {"address", RouterFixture::text(site.instances["m3"]->address())},
                     {"role", "both"}}}},
                  {"settings", settings}};
  json bad = file;
  bad["settings"]["kinds"][2] = "renamed";
  EXPECT_THROW(app::applyReload(frontend::operatorFileOf(bad), site.operatorFile, *site.server),
               app::ConfigError);
  EXPECT_EQ(site.finished(site.chat({{"model", "ask"}}))->status, 200U);
  app::applyReload(frontend::operatorFileOf(file), site.operatorFile, *site.server);
  EXPECT_EQ(site.finished(site.chat({{"model", "ask"}}))->status, 401U);
  EXPECT_EQ(site.finished(site.chat({{"model", "ask"}}, "new"))->status, 404U);
  const int before = site.instances["m3"]->chats();
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(site.finished(site.chat({{"model", "ask2"}}, "new"))->status, 200U);
  EXPECT_EQ(site.instances["m3"]->chats(), before + 4);
  EXPECT_EQ(site.server->directory.all().size(), 1U);
}

TEST(Configuration, DiscoveryAddressesOfTheFileAndTheEnvironmentAreStoredSeparately) {
  const json file{{"name", "n"},
                  {"listen", "127.0.0.1:1"},
                  {"discovery", "127.0.0.1:9"},
                  {"settings", siteSettings()}};
  const app::Config config = app::configOf(file, {{"GW_DISCOVERY", "127.0.0.1:2"}});
  EXPECT_EQ(config.discovery.port(), 2);
  EXPECT_EQ(config.discoveryInFile->port(), 9);
}

TEST(Telemetry, CountersReachACollectorAsOtlp) {
  NetworkFixture stage;
  StandInInstance collector(stage.io, stage.clock, stage.timers);
  collector.script = [](StandInInstance&, StandInInstance::ReceivedRequest& taken) {
    taken.connection->answer(200, {}, "{}");
  };
  stage.counters["requests.taken"] = 3;
  app::OtlpExporter exporter(stage.io, stage.clock, stage.timers, stage.counters,
                             collector.address(), 1000);
  stage.pass(999);
  EXPECT_TRUE(collector.received.empty());
  stage.pass(1);
  ASSERT_TRUE(stage.until([&] { return stage.counters["otlp.exported"] == 1; }));
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
