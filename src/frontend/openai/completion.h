/// Assembles the events of a stream into one response for a client that did not ask for a stream.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "frontend/openai/chat_event.h"

namespace inference_router::frontend {

/// A chat completion that is assembled from the chunks of a stream.
class Completion {
 public:
  /// Limits the memory of one completion, in bytes.
  static constexpr std::size_t kMaxBytes = std::size_t{4} * 1024 * 1024;

  /// Adds one chunk. False if the completion has become larger than kMaxBytes.
  bool add(const ChatChunk& chunk);
  /// The memory that it needs, in bytes.
  std::size_t bytes() const { return bytes_; }
  /// The JSON body of the response.
  std::string text() const;

 private:
  void setTopLevelField(const std::string& name, const nlohmann::json& value);
  void addMessage(const MessageDelta& delta);
  void addToolCall(const ToolCallDelta& delta, nlohmann::json& calls);
  void appendText(nlohmann::json& object, const std::string& name, const OptionalText& text);

  // The id, the model and all other fields at the top level of the chunks.
  nlohmann::json topLevelFields_ = nlohmann::json::object();
  nlohmann::json message_ = {{"role", "assistant"}, {"content", nullptr}};
  nlohmann::json finishReason_;
  nlohmann::json usage_;
  std::size_t bytes_ = 0;  // an upper estimate, without usage_: that is at most one event
};

}  // namespace inference_router::frontend
