/// Assembles the events of a stream into one response for a client that did not ask for a stream.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace inference_router::frontend {

/// A chat completion that is assembled from the chunks of a stream.
class Completion {
 public:
  /// Adds the data of one event.
  void add(const nlohmann::json& chunk);
  /// The JSON body of the response.
  std::string text() const;
  /// Bytes of text added so far.
  std::size_t size() const { return size_; }

 private:
  void addChoice(const nlohmann::json& choice);
  void addDelta(const nlohmann::json& delta);
  void addToolCall(const nlohmann::json& toolCallDelta, nlohmann::json& calls);

  // The id, the model and all other fields at the top level of the chunks.
  nlohmann::json topLevelFields_ = nlohmann::json::object();
  nlohmann::json message_ = {{"role", "assistant"}, {"content", nullptr}};
  nlohmann::json finishReason_;
  nlohmann::json usage_;
  std::size_t size_ = 0;
};

}  // namespace inference_router::frontend
