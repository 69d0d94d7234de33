// Tests the reader of documents from outside the process: its limits, and that it reads what the
// JSON library reads.
#include "core/document_reader.h"

#include <gtest/gtest.h>

#include <optional>

#include "support/malformed_documents.h"

namespace inference_router {
namespace {

using core::DocumentError;
using core::DocumentFault;
using core::DocumentLimits;
using nlohmann::json;

constexpr DocumentLimits kAmple{.maxBytes = 1'000'000};

std::string packed(const json& value) {
  const auto bytes = json::to_msgpack(value);
  return {bytes.begin(), bytes.end()};
}

template <class Read>
std::optional<DocumentFault> faultOf(const Read& read) {
  try {
    read();
  } catch (const DocumentError& error) {
    EXPECT_STRNE(error.what(), "");
    return error.fault();
  }
  return std::nullopt;
}

std::optional<DocumentFault> faultOfJson(const std::string& text, const DocumentLimits& limits) {
  return faultOf([&] { core::parseJson(text, limits); });
}

TEST(DocumentReader, ReadsDocumentsLikeTheLibrary) {
  MalformedDocuments documents(20261204);
  const json valid{{"list", {1, -2, 2.5, true, nullptr, "text", json::array(), json::object()}},
                   {"object", {{"a", {{"b", json::array({json::array({"c"})})}}}, {"", ""}}}};
  for (int i = 0; i < 200; ++i) {
    const json document = documents.variantOf(valid);
    const std::string text = textOf(document);
    if (faultOfJson(text, kAmple) == DocumentFault::kTooDeep)
      continue;
    EXPECT_EQ(core::parseJson(text, kAmple), json::parse(text)) << text;
    EXPECT_EQ(core::parseMessagePack(packed(document), kAmple),
              json::from_msgpack(packed(document)));
  }
  const std::string twice = R"({"a":[1],"a":{"b":2},"c":[{"d":[]},3]})";
  EXPECT_EQ(core::parseJson(twice, kAmple), json::parse(twice));
  const json binary = json::binary({1, 2, 255});
  EXPECT_EQ(core::parseMessagePack(packed(binary), kAmple), binary);
}

TEST(DocumentReader, RejectsWhatTheLibraryRejects) {
  MalformedDocuments documents(20261204);
  const std::string valid = R"({"a":[1,2.5,"x\u00e9",null],"b":{"c":[]}})";
  int rejected = 0;
  for (int i = 0; i < 2'000; ++i) {
    const std::string text = documents.damaged(valid);
    const bool accepts = json::accept(text);
    EXPECT_EQ(faultOfJson(text, kAmple),
              accepts ? std::nullopt : std::optional(DocumentFault::kMalformed))
        << text;
    rejected += accepts ? 0 : 1;
  }
  EXPECT_GT(rejected, 1'000);
  for (const char* text : {"", " ", "{", "1e999", "[1,]", "{} {}", "nul"})
    EXPECT_EQ(faultOfJson(text, kAmple), DocumentFault::kMalformed) << text;
}

TEST(DocumentReader, LimitsDepth) {
  for (const auto& nested : {nestedLists, nestedObjects}) {
    EXPECT_EQ(faultOfJson(nested(core::kMaxDocumentDepth), kAmple), std::nullopt);
    EXPECT_EQ(faultOfJson(nested(core::kMaxDocumentDepth + 1), kAmple), DocumentFault::kTooDeep);
    EXPECT_EQ(faultOfJson(nested(kStackBreakingDepth), kAmple), DocumentFault::kTooDeep);
  }
  // Many containers beside each other are not deep.
  std::string flat = "[[]";
  for (int i = 0; i < 10'000; ++i)
    flat += ",{}";
  EXPECT_EQ(faultOfJson(flat + "]", kAmple), std::nullopt);
}

TEST(DocumentReader, LimitsDepthOfMessagePack) {
  for (const char list : {'\x91', '\xdc'}) {
    std::string bytes;
    for (std::size_t i = 0; i < kStackBreakingDepth; ++i)
      bytes += list == '\x91' ? std::string(1, list) : std::string("\xdc\x00\x01", 3);
    EXPECT_EQ(faultOf([&] { core::parseMessagePack(bytes, kAmple); }), DocumentFault::kTooDeep);
  }
  std::string maps;
  for (std::size_t i = 0; i < kStackBreakingDepth; ++i)
    maps += "\x81\xa1k";
  EXPECT_EQ(faultOf([&] { core::parseMessagePack(maps, kAmple); }), DocumentFault::kTooDeep);
}

TEST(DocumentReader, LimitsBytesAndValues) {
  EXPECT_EQ(faultOfJson("[1,2]", {.maxBytes = 5}), std::nullopt);
  EXPECT_EQ(faultOfJson("[1,22]", {.maxBytes = 5}), DocumentFault::kTooLarge);
  EXPECT_EQ(faultOfJson("[{},2]", {.maxBytes = 9, .maxValues = 3}), std::nullopt);
  EXPECT_EQ(faultOfJson("[{},2,3]", {.maxBytes = 9, .maxValues = 3}),
            DocumentFault::kTooManyValues);
  // A list that announces four thousand million elements needs no memory for them.
  EXPECT_EQ(faultOf([] { core::parseMessagePack("\xdd\xff\xff\xff\xff\x01", kAmple); }),
            DocumentFault::kMalformed);
}

TEST(DocumentReader, ReportsWhatADecoderFindsWrong) {
  const auto decode = [](json& document) { return document.at("a").get<int>(); };
  EXPECT_EQ(core::decodeJson(R"({"a":3})", kAmple, decode), 3);
  for (const char* text : {R"({"a":null})", R"({"b":3})", "[]", "7"})
    EXPECT_EQ(faultOf([&] { core::decodeJson(text, kAmple, decode); }), DocumentFault::kUnexpected)
        << text;
  EXPECT_EQ(faultOf([&] {
              core::decodeMessagePack(packed({{"a", "x"}}), kAmple, decode);
            }),
            DocumentFault::kUnexpected);
}

}  // namespace
}  // namespace inference_router
