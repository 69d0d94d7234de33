/// Puts the events of a stream together to the one answer that a client without `stream` gets.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace inference_router::frontend {

class Completion {
 public:
  /// One event of the stream.
  void add(const nlohmann::json& chunk);
  /// The body of the answer.
  std::string text() const;
  /// Bytes of text that have come.
  std::size_t size() const { return size_; }

 private:
  void addChoice(const nlohmann::json& choice);
  void addDelta(const nlohmann::json& delta);
  void addToolCall(const nlohmann::json& toolCallDelta, nlohmann::json& calls);

  // The id, the model and whatever else stands at the top.
  nlohmann::json topLevelFields_ = nlohmann::json::object();
  nlohmann::json message_ = {{"role", "assistant"}, {"content", nullptr}};
  nlohmann::json finishReason_;
  nlohmann::json usage_;
  std::size_t size_ = 0;
};

}  // namespace inference_router::frontend
