// Feeds the worst documents that can arrive to each place where bytes from outside the process
// become a document. None may end the process: the sender of the document gets an error, and
// everything else goes on.
#include "support/router_fixture.h"

namespace inference_router {
namespace {

// Within the limit of a body, and far deeper than the stack of a thread allows to recurse.
constexpr std::size_t kStackBreakingDepth = 120'000;

std::string nestedLists(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string chatBody(const std::string& model, bool stream, const std::string& metadata) {
  return R"({"model":")" + model + R"(","stream":)" + (stream ? "true" : "false") +
         R"(,"messages":[{"role":"user","content":"Hi"}],"metadata":)" + metadata + "}";
}

std::shared_ptr<Reply> postChat(RouterFixture& fixture, const std::string& body) {
  return fixture.post("/v1/chat/completions", {{"Authorization", "Bearer k"}}, body);
}

TEST(OutsideDocuments, DeeplyNestedChatRequestIsRefusedAndOthersGoOn) {
  RouterFixture fixture(kMixed, true);
  for (auto& [id, instance] : fixture.instances)
    instance->script = beginOnly;
  const auto other = postChat(fixture, chatBody("ask", true, "null"));
  ASSERT_TRUE(fixture.until([&] { return !other->text.empty(); }));
  const auto refused =
      fixture.finished(postChat(fixture, chatBody("ask", false, nestedLists(kStackBreakingDepth))));
  EXPECT_EQ(refused->status, 400U);
  EXPECT_NE(refused->text.find("256 levels"), std::string::npos) << refused->text;
  fixture.streaming()->connection->writeChunk(kLastEvents);
  fixture.streaming()->connection->endStream();
  EXPECT_NE(fixture.finished(other)->text.find("[DONE]"), std::string::npos);
}

}  // namespace
}  // namespace inference_router
