/// A request of the chat API: checked, and made ready for the instances.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace inference_router::frontend {

// The move constructor of its JSON member may throw by its declaration.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct ChatRequest {
  std::string model;
  std::string user;
  nlohmann::json messages;
  bool stream = false;
  bool includeUsage = false;  ///< of a stream: with an event for the usage
  double maxTokens = 0;
  /// The same request as an instance gets it: always streamed, always with its usage.
  std::string instanceBody;
};

/// Throws ApiError. defaultMaxTokens: for a request that does not bound its answer.
ChatRequest readChatRequest(const std::string& body, double defaultMaxTokens);

}  // namespace inference_router::frontend
