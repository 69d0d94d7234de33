// Feeds the worst documents that can arrive to each place where bytes from outside the process
// become a document. None may end the process: the sender of the document gets an error, and
// everything else goes on.
#include <boost/crc.hpp>
#include <fstream>

#include "app/config.h"
#include "app/configuration_file.h"
#include "app/handed_stream.h"
#include "coordination/etcd_encoding.h"
#include "coordination/etcd_store.h"
#include "coordination/lease_encoding.h"
#include "coordination/plan.h"
#include "coordination/presence.h"
#include "core/document_reader.h"
#include "fleet/exclusions.h"
#include "frontend/openai/chat_event.h"
#include "frontend/openai/completion.h"
#include "shared/digest_codec.h"
#include "shared/part_codec.h"
#include "support/discovery_fixture.h"
#include "support/malformed_documents.h"
#include "support/router_fixture.h"
#include "support/temporary_directory.h"

namespace inference_router {
namespace {

using namespace coordination;

constexpr std::uint32_t kSeed = 20261204;

// ---- Clients

std::string chatBody(const std::string& model, bool stream, const std::string& metadata) {
  return R"({"model":")" + model + R"(","stream":)" + (stream ? "true" : "false") +
         R"(,"messages":[{"role":"user","content":"Hi"}],"metadata":)" + metadata + "}";
}

std::shared_ptr<Reply> postChat(RouterFixture& fixture, const std::string& body) {
  return fixture.post("/v1/chat/completions", {{"Authorization", "Bearer k"}}, body);
}

// Runs the router's timers until the reply has ended.
void waitFor(RouterFixture& fixture, const Reply& reply) {
  for (int i = 0; i < 2'000 && !reply.over; ++i) {
    fixture.io.restart();
    if (fixture.io.poll() == 0)
      fixture.pass(10);
  }
  EXPECT_TRUE(reply.over);
}

TEST(OutsideDocuments, DeeplyNestedChatRequestIsRefusedAndOthersGoOn) {
  RouterFixture fixture(kMixed, true);
  for (auto& [id, instance] : fixture.instances)
    instance->script = beginOnly;
  const auto other = postChat(fixture, chatBody("ask", true, "null"));
  ASSERT_TRUE(fixture.until([&] { return !other->text.empty(); }));
  for (const std::string& value : {nestedLists(kStackBreakingDepth), nestedObjects(30'000)}) {
    const auto refused = fixture.finished(postChat(fixture, chatBody("ask", false, value)));
    EXPECT_EQ(refused->status, 400U);
    EXPECT_NE(refused->text.find("256 levels"), std::string::npos) << refused->text;
  }
  fixture.streaming()->connection->writeChunk(kLastEvents);
  fixture.streaming()->connection->endStream();
  EXPECT_NE(fixture.finished(other)->text.find("[DONE]"), std::string::npos);
}

// The schemas of tools nest some tens of levels.
TEST(OutsideDocuments, OrdinaryChatRequestsReachTheInstanceAsBefore) {
  for (const std::size_t depth : {0U, 60U, 250U}) {
    RouterFixture fixture({{"m1", "both", 0}}, true);
    const std::string body = chatBody("ask", false, depth == 0 ? "null" : nestedObjects(depth));
    EXPECT_EQ(fixture.finished(postChat(fixture, body))->status, 200U);
    json expected = json::parse(body);
    expected["stream"] = true;
    expected["stream_options"] = {{"include_usage", true}};
    EXPECT_EQ(fixture.instances["m1"]->received.at(0)->body, expected.dump());
  }
}

TEST(OutsideDocuments, MalformedChatRequestsGetAFinalAnswer) {
  MalformedDocuments documents(kSeed);
  const json valid = json::parse(
      R"({"model":"ask","stream":false,"max_tokens":9,"user":"u","n":1,"stream_options":null,
          "messages":[{"role":"system","content":"S"},
                      {"role":"user","content":[{"type":"text","text":"Hi"},{"type":"image"}]}],
          "tools":[{"type":"function","function":{"name":"f","parameters":{"type":"object"}}}]})");
  RouterFixture fixture(kMixed, true);
  for (int i = 0; i < 300; ++i) {
    std::string body = textOf(documents.variantOf(valid));
    if (i % 3 == 0)
      body = documents.damaged(body);
    const auto reply = postChat(fixture, body);
    waitFor(fixture, *reply);
    EXPECT_TRUE(reply->status == 200 || reply->status == 400 || reply->status == 404 ||
                reply->status == 429)
        << reply->status << " " << body;
  }
}

TEST(OutsideDocuments, PlatformForwardsADeeplyNestedBodyUnread) {
  RouterFixture fixture({{"m1", "both", 0}}, false);
  const std::string body = nestedLists(kStackBreakingDepth);
  EXPECT_EQ(fixture.finished(fixture.post("/v1/x", platformFields("a"), body))->status, 200U);
  EXPECT_EQ(fixture.instances["m1"]->received.at(0)->body, body);
}

// ---- Instances

// A chat whose instances stream these events.
struct InstanceEvents {
  std::string model;
  bool stream;
  std::string events;
};

// Plays one chat while another request is under way at a prefill instance, which is never answered.
// Returns the reply and the number of attempts.
std::pair<std::shared_ptr<Reply>, int> play(const InstanceEvents& chat) {
  RouterFixture fixture({{"m1", "both", 0}, {"m2", "both", 0}}, true);
  bool isOther = true;
  for (auto& [id, instance] : fixture.instances)
    instance->script = [&](StandInInstance& self, StandInInstance::ReceivedRequest& request) {
      if (isOther)
        return beginOnly(self, request);
      request.connection->beginStream({{"Content-Type", "text/event-stream"}});
      request.connection->writeChunk(chat.events);
      request.connection->writeChunk(kLastEvents);
      request.connection->endStream();
    };
  const auto other = postChat(fixture, chatBody("change", true, "null"));
  EXPECT_TRUE(fixture.until([&] { return !other->text.empty(); }));
  const auto otherRequest = fixture.streaming();
  isOther = false;
  const int before = fixture.chats();
  const auto reply = postChat(fixture, chatBody(chat.model, chat.stream, "null"));
  waitFor(fixture, *reply);
  const int attempts = fixture.chats() - before;
  otherRequest->connection->writeChunk(kLastEvents);
  otherRequest->connection->endStream();
  EXPECT_NE(fixture.finished(other)->text.find("[DONE]"), std::string::npos) << chat.events;
  return {reply, attempts};
}

void expectFinalAnswer(const InstanceEvents& chat) {
  const auto [reply, attempts] = play(chat);
  EXPECT_TRUE(reply->complete) << chat.events;
  EXPECT_TRUE(reply->status == 200 || reply->status == 503 || reply->status == 429)
      << reply->status << " " << chat.events;
  if (chat.model == "change") {
    EXPECT_LE(attempts, 1) << chat.events;
  }
}

const std::string kSpoiltIndex = R"(data: {"choices":[{"index":null,"delta":{"content":"x"}}]})"
                                 "\n\n";

// A change must never run twice.
TEST(OutsideDocuments, UnreadableFirstEventIsRetriedIfTheClassAllowsIt) {
  const auto [question, questionAttempts] = play({"ask", false, kSpoiltIndex});
  EXPECT_GT(questionAttempts, 1);
  EXPECT_TRUE(question->complete);
  const auto [change, changeAttempts] = play({"change", false, kSpoiltIndex});
  EXPECT_EQ(changeAttempts, 1);
  EXPECT_EQ(change->status, 503U);
  EXPECT_EQ(change->fields["X-Should-Retry"], "false");
}

TEST(OutsideDocuments, UnreadableLaterEventEndsTheRequestInAnError) {
  for (const char* model : {"ask", "change"}) {
    RouterFixture fixture({{"m1", "both", 0}, {"m2", "both", 0}}, true);
    for (auto& [id, instance] : fixture.instances)
      instance->script = beginOnly;
    const auto reply = postChat(fixture, chatBody(model, false, "null"));
    ASSERT_TRUE(fixture.until([&] { return fixture.streaming() != nullptr; }));
    const auto begun = [&] { return fixture.server->dispatcher.streams().size() == 1; };
    ASSERT_TRUE(fixture.until(begun));
    fixture.streaming()->connection->writeChunk(kSpoiltIndex);
    waitFor(fixture, *reply);
    EXPECT_EQ(reply->status, 503U);
    EXPECT_EQ(reply->fields["X-Should-Retry"], "false");
    EXPECT_EQ(fixture.chats(), 1);
    EXPECT_EQ(fixture.server->counters["answers.garbled"], 1U);
  }
}

TEST(OutsideDocuments, EventsOfUnexpectedTypesGetAFinalAnswer) {
  for (const char* choice :
       {R"({"index":null})", R"({"index":"0"})", R"({"index":-1})", R"({"index":1e300})",
        R"({"delta":[]})", R"({"finish_reason":7})", R"({"delta":{"tool_calls":"x"}})",
        R"({"delta":{"tool_calls":"x"}},{"delta":{"tool_calls":[{"index":0}]}})",
        R"({"delta":{"tool_calls":[{"index":null}]}})", R"({"delta":{"tool_calls":[7]}})",
        R"({"delta":{"tool_calls":[{"index":"1"}]}})",
        R"({"delta":{"tool_calls":[{"index":999999999}]}})",
        R"({"delta":{"tool_calls":[{"index":3,"function":{"arguments":{}}}]}})",
        R"({"delta":{"tool_calls":[{"index":3,"function":[]}]}})"}) {
    const std::string event = std::string(R"(data: {"choices":[)") + choice + "]}\n\n";
    for (const char* model : {"ask", "change"})
      expectFinalAnswer({model, false, event});
  }
}

TEST(OutsideDocuments, DeeplyNestedEventsGetAFinalAnswer) {
  for (const std::string& value : {nestedLists(kStackBreakingDepth), nestedObjects(40'000)}) {
    for (const std::string begin : {R"({"x":)", R"({"usage":)", R"({"error":)", R"({"choices":)"})
      for (const bool stream : {false, true})
        expectFinalAnswer({"ask", stream, "data: " + begin + value + "}\n\n"});
  }
}

TEST(OutsideDocuments, MalformedEventsGetAFinalAnswer) {
  MalformedDocuments documents(kSeed);
  const json valid = json::parse(
      R"({"id":"c","model":"m","created":5,"choices":[{"index":0,"finish_reason":"stop","delta":
          {"role":"assistant","content":"x","tool_calls":[{"index":0,"id":"t","function":
          {"name":"f","arguments":"{}"}}]}}],"usage":{"prompt_tokens":1,"completion_tokens":2}})");
  for (int i = 0; i < 160; ++i) {
    std::string data = textOf(documents.variantOf(valid));
    if (i % 4 == 0)
      data = documents.damaged(data);
    const std::string first = i % 2 == 0 ? "" : eventOf("first");
    expectFinalAnswer(
        {i % 3 == 0 ? "change" : "ask", i % 5 == 0, first + "data: " + data + "\n\n"});
  }
}

TEST(OutsideDocuments, MalformedPrefillResultsGetAFinalAnswer) {
  for (const std::string& result :
       {nestedLists(kStackBreakingDepth), nestedObjects(40'000), std::string("{"),
        R"({"cached_tokens":)" + std::string(900, '9') + "}",
        std::string(R"({"cached_tokens":-)")}) {
    RouterFixture fixture(kSplit, true);
    for (const char* id : {"r1", "r2"})
      fixture.instances[id]->script = [&](StandInInstance&,
                                          StandInInstance::ReceivedRequest& request) {
        request.connection->answer(202, {}, result);
      };
    EXPECT_EQ(fixture.finished(postChat(fixture, chatBody("ask", false, "null")))->status, 200U);
  }
}

// One response may not take more memory than the process has.
TEST(OutsideDocuments, WholeAnswersAreBounded) {
  const auto chunksUntilFull = [](const std::function<std::string(int)>& chunk) {
    frontend::Completion completion;
    int chunks = 0;
    while (chunks < 1'000 && completion.add(frontend::readChatChunk(chunk(chunks))))
      ++chunks;
    return chunks;
  };
  std::string emptyObjects = "[{}";
  for (int i = 0; i < 10'000; ++i)
    emptyObjects += ",{}";
  EXPECT_LT(chunksUntilFull([&](int i) {
              return "{\"field" + std::to_string(i) + "\":" + emptyObjects + "]}";
            }),
            10);
  EXPECT_LT(chunksUntilFull([](int i) {
              json delta = json::object();
              for (int k = 0; k < 1'000; ++k)
                delta[std::to_string(i) + "-" + std::to_string(k)] = 0;
              return json{{"choices", {{{"delta", delta}}}}}.dump();
            }),
            100);
  // The same fields in each chunk are kept once.
  EXPECT_EQ(chunksUntilFull([](int) { return R"({"id":"c","x":[{},{},{}],"choices":[]})"; }),
            1'000);
}

// ---- Discovery

TEST(OutsideDocuments, MalformedListsOfDiscoveryAreRejected) {
  DiscoveryFixture fixture;
  for (const std::string& text : deepTexts(R"({"revision":1,"complete":true,"members":)")) {
    const auto rejected = fixture.counters["discovery.malformed"];
    EXPECT_EQ(fixture.discovery.onDocument(text), frontend::DocumentKind::kMalformed);
    EXPECT_EQ(fixture.counters["discovery.malformed"], rejected + 1);
  }
  MalformedDocuments documents(kSeed);
  const json valid = json::parse(listOf(1, true, "active"));
  for (int i = 0; i < 500; ++i) {
    const std::string text = textOf(documents.variantOf(valid));
    fixture.discovery.onDocument(i % 3 == 0 ? documents.damaged(text) : text);
    fixture.run(10);
  }
  EXPECT_EQ(fixture.discovery.onDocument(listOf(7, true, "active")), frontend::DocumentKind::kList);
}

// ---- The store

// A document of shared state, with a checksum that matches whatever the value is.
std::string sealed(const std::string& kind, const std::string& bytes) {
  boost::crc_32_type checksum;
  checksum.process_bytes(bytes.data(), bytes.size());
  char header[16];
  std::snprintf(header, sizeof header, "1 %08x ", static_cast<unsigned>(checksum.checksum()));
  return kind + header + bytes;
}

std::string packed(const json& value) {
  const auto bytes = json::to_msgpack(value);
  return {bytes.begin(), bytes.end()};
}

std::vector<std::string> deepMessagePack() {
  std::string maps;
  for (std::size_t i = 0; i < kStackBreakingDepth; ++i)
    maps += "\x81\xa1k";
  return {std::string(kStackBreakingDepth, '\x91'), maps,
          "\x81\xa4"
          "beat" +
              maps,
          std::string("\xdd\xff\xff\xff\xff", 5), std::string("\xdf\xff\xff\xff\xff", 5)};
}

TEST(OutsideDocuments, MalformedSharedStateIsRejected) {
  for (const std::string& bytes : deepMessagePack()) {
    EXPECT_EQ(shared::decodePart(sealed("dahliastall-part/", bytes)).error,
              shared::DecodeError::kMalformed);
    EXPECT_EQ(shared::decodeDigest(sealed("dahliastall-digest/", bytes)).error,
              shared::DecodeError::kMalformed);
  }
  MalformedDocuments documents(kSeed);
  shared::Digest digest;
  digest.liveNodes[{"c1", 17}] = 3;
  digest.budgets["attiki"] = {100, 10, 40, {{{"c1", 17}, 50}}};
  shared::Folded folded;
  folded.origin = {"c2", 3};
  folded.charged["attiki"] = 4;
  digest.folded.push_back(folded);
  digest.instances["b"] = {3, 1, true, shared::FailureKind::kSlow, 4.5, 2};
  shared::Part part;
  part.origin = {"c1", 17};
  part.observations["b"] = {};
  part.spends["attiki"] = {};
  for (const auto& [kind, text] : {std::pair("dahliastall-part/", shared::encode(part)),
                                   std::pair("dahliastall-digest/", shared::encode(digest))}) {
    const auto opened = shared::openDocument(kind, text);
    ASSERT_EQ(opened.error, shared::DecodeError::kNone);
    for (int i = 0; i < 500; ++i) {
      std::string bytes = packed(documents.variantOf(opened.value));
      if (i % 3 == 0)
        bytes = documents.damaged(bytes);
      const std::string document = sealed(kind, bytes);
      EXPECT_TRUE(shared::decodePart(document).error != shared::DecodeError::kNone ||
                  shared::decodePart(document).part);
      EXPECT_TRUE(shared::decodeDigest(document).error != shared::DecodeError::kNone ||
                  shared::decodeDigest(document).digest);
    }
  }
}

template <class Parse>
void expectRejections(const std::string& valid, const std::string& begin, const Parse& parse) {
  ASSERT_TRUE(parse(valid)) << valid;
  for (const std::string& text : deepTexts(begin))
    EXPECT_FALSE(parse(text));
  MalformedDocuments documents(kSeed);
  for (int i = 0; i < 300; ++i) {
    const std::string text = textOf(documents.variantOf(json::parse(valid)));
    parse(i % 3 == 0 ? documents.damaged(text) : text);
  }
}

TEST(OutsideDocuments, MalformedDocumentsOfTheStoreAreRejected) {
  const LeaseRecord record{{"c1", 3}, 4, 5, 6, 7};
  expectRejections(serialize(record), R"({"form":"dahliastall-lease-1","holder":)",
                   parseLeaseRecord);
  LeaseCell cell;
  cell.fence = 9;
  cell.record = record;
  expectRejections(serialize(cell), R"({"form":"dahliastall-lease-cell-1","last":)",
                   parseLeaseCell);
  Presence presence;
  presence.holder = {"c1", 3};
  presence.open["b"] = 2;
  expectRejections(presence.serialize(), R"({"form":"dahliastall-node-1","open":)",
                   Presence::parse);
  Plan plan;
  plan.id = "june";
  plan.items.resize(1);
  plan.items[0].instance = "b";
  expectRejections(plan.serialize(), R"({"form":"dahliastall-plan-1","items":)", Plan::parse);
}

TEST(OutsideDocuments, MalformedExclusionsAreRejected) {
  fleet::Exclusions exclusions;
  exclusions.set("b", true, 1, 2);
  expectRejections(exclusions.serialize(), R"({"form":"dahliastall-marks-1","marks":)",
                   fleet::Exclusions::parse);
}

// Calls every operation of a store whose server answers with this text.
void callStore(const std::string& text) {
  NetworkFixture fixture;
  StandInInstance server(fixture.io, fixture.clock, fixture.timers);
  server.script = [&](StandInInstance&, StandInInstance::ReceivedRequest& request) {
    request.connection->answer(200, {{"Content-Type", "application/json"}}, text);
  };
  EtcdStore store(fixture.io, fixture.clock, fixture.timers, fixture.counters,
                  {{server.address()}, "test/", 1000});
  int leases = 0, writes = 0, reads = 0;
  LeaseConfig config;
  config.task = "maintenance";
  Lease lease(config, {"c1", 1}, 1, fixture.clock.nowMs());
  fixture.clock.advance(60'000);
  store.requestLease(*lease.tick(fixture.clock.nowMs()), [&](const LeaseResponse&) { ++leases; });
  store.write({.key = "k", .value = "v"}, [&](CommitResponse) { ++writes; });
  store.readAll([&](const ReadResponse&) { ++reads; });
  store.read({"k"}, [&](const ReadResponse&) { ++reads; });
  EXPECT_TRUE(fixture.until([&] { return leases == 1 && writes == 1 && reads == 2; })) << text;
}

TEST(OutsideDocuments, MalformedResponsesOfEtcdCountAsNone) {
  for (const char* begin : {R"({"header":)", R"({"header":{"revision":)", R"({"kvs":)", R"({"ID":)",
                            R"({"TTL":)", R"({"responses":[{"response_range":{"kvs":[{"lease":)"})
    for (const std::string& text : deepTexts(begin))
      callStore(text);
  MalformedDocuments documents(kSeed);
  const json valid = json::parse(
      R"({"header":{"revision":"7"},"succeeded":true,"ID":"3","TTL":"2","result":{"TTL":"2"},
          "kvs":[{"key":"dGVzdC9kb2MvaA==","value":"aGVsbG8=","mod_revision":"4"}],
          "responses":[{"response_range":{"kvs":[{"key":"dGVzdC9kb2MvaA==","value":"aGVsbG8=",
            "create_revision":"3","mod_revision":"4","lease":"9"}]}},{"response_range":{}}]})");
  for (int i = 0; i < 200; ++i) {
    const std::string text = textOf(documents.variantOf(valid));
    callStore(i % 3 == 0 ? documents.damaged(text) : text);
  }
}

// A decoder that sizes its buffer for whole groups of four characters writes behind it.
TEST(OutsideDocuments, UnpaddedBase64OfEtcdIsDecodedWithinItsBuffer) {
  for (std::size_t size = 0; size < 100; ++size) {
    const std::string bytes(size, 'x');
    std::string text = etcd::encodeBase64(bytes);
    EXPECT_EQ(etcd::decodeBase64(text), bytes);
    text.resize(text.find('=') == std::string::npos ? text.size() : text.find('='));
    EXPECT_EQ(etcd::decodeBase64(text), bytes);
  }
}

// ---- Other processes of this router

app::HandedStream sampleStream() {
  app::HandedStream stream{};
  stream.arrival.request = {"id-1"};
  stream.arrival.cls = {1};
  stream.instance = {"m1"};
  stream.address = net::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 9001);
  stream.instanceTransfer.event = "data: x";
  return stream;
}

TEST(OutsideDocuments, MalformedHandedStreamsAreRejected) {
  for (const std::string& bytes : deepMessagePack())
    EXPECT_THROW(app::decodeHandedStream(bytes), core::DocumentError);
  MalformedDocuments documents(kSeed);
  const json valid = json::from_msgpack(app::encode(sampleStream()));
  for (int i = 0; i < 500; ++i) {
    std::string bytes = packed(documents.variantOf(valid));
    if (i % 3 == 0)
      bytes = documents.damaged(bytes);
    try {
      app::decodeHandedStream(bytes);
    } catch (const core::DocumentError&) {
    }
  }
}

// The other process may have been started with other settings.
TEST(OutsideDocuments, HandedStreamOfAnUnknownClassRunsToItsEnd) {
  struct IgnoringWriter final : core::ResponseWriter {
    void reject(const core::Rejection&) override { ++finals; }
    void fail(const core::Failure&) override { ++finals; }
    bool write(std::string_view) override { return true; }
    void end() override { ++finals; }
    void abort() override { ++finals; }
    int finals = 0;
  };
  using routing::AttemptOutcome;
  for (const AttemptOutcome outcome : {AttemptOutcome::kServed, AttemptOutcome::kConnectionLost,
                                       AttemptOutcome::kTimeout, AttemptOutcome::kError}) {
    RouterFixture fixture(kMixed, false);
    routing::Arrival arrival = sampleStream().arrival;
    arrival.cls = {4'000'000'000};
    arrival.tenant = routing::TenantIndex{4'000'000'000};
    arrival.promptTokens = 1e300;
    const auto writer = std::make_shared<IgnoringWriter>();
    const auto adopted = fixture.server->dispatcher.adopt(arrival, {"m1"}, writer);
    ASSERT_TRUE(adopted);
    for (int i = 0; i < 8; ++i) {
      const auto reply = fixture.post("/v1/x", platformFields("b" + std::to_string(i)), "{}");
      EXPECT_EQ(fixture.finished(reply)->status, 200U);
    }
    fixture.server->dispatcher.attemptEnded(adopted->attempt, {.outcome = outcome});
    EXPECT_EQ(writer->finals, 1);
    EXPECT_EQ(fixture.server->dispatcher.openRequests(), 0U);
  }
}

// ---- The operator's files

TEST(OutsideDocuments, MalformedConfigurationsAreRejected) {
  const TemporaryDirectory folder;
  const std::string path = folder.path + "/config.json";
  const json operatorFile{
      {"listen", "127.0.0.1:0"},
      {"keys", {{{"key", "k"}, {"tenant", "club"}, {"name", "n"}}}},
      {"models", {{"ask", "member-questions"}}},
      {"boxes", {{{"id", "m1"}, {"address", "127.0.0.1:9"}, {"role", "both"}}}},
      {"admission",
       {{"connections", {{"total", 400}, {"per_address", 32}, {"networks", json::array()}}},
        {"rate", {{"per_second", 10}, {"burst", 60}}},
        {"known", {{"reserve", 60}, {"ranges", {"10.10.1.0/24"}}, {"keys", {"n"}}}}}},
      {"coordination", {{"name", "c1"}, {"store", {{"kind", "sqlite"}, {"path", "x"}}}}},
      {"settings", siteSettings()}};
  const json platformFile{{"name", "n"},
                          {"listen", "127.0.0.1:1"},
                          {"discovery", "127.0.0.1:2"},
                          {"limits", {{"sockets", 500}}},
                          {"settings", siteSettings()}};
  app::ConfigurationFile<frontend::OperatorFile> operators(path, frontend::operatorFileOf);
  app::ConfigurationFile<app::Config> platform(
      path, [](const json& file) { return app::configOf(file, {}); });
  const auto readBoth = [&](const std::string& text) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
    int failed = 0;
    try {
      operators.read();
    } catch (const std::exception&) {
      ++failed;
    }
    try {
      platform.read();
    } catch (const std::exception&) {
      ++failed;
    }
    return failed;
  };
  EXPECT_EQ(readBoth(operatorFile.dump()), 1);
  EXPECT_EQ(readBoth(platformFile.dump()), 1);
  const std::string platformBegin =
      R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",)";
  for (const std::string& begin :
       {platformBegin + R"("settings":)", platformBegin + R"("settings":{"grades":)",
        platformBegin + R"("limits":)", std::string(R"({"listen":"127.0.0.1:1","settings":)"),
        std::string(R"({"listen":)")})
    for (const std::string& text : deepTexts(begin))
      EXPECT_EQ(readBoth(text), 2);
  MalformedDocuments documents(kSeed);
  for (int i = 0; i < 400; ++i) {
    const std::string text = textOf(documents.variantOf(i % 2 == 0 ? operatorFile : platformFile));
    readBoth(i % 3 == 0 ? documents.damaged(text) : text);
  }
}

}  // namespace
}  // namespace inference_router
