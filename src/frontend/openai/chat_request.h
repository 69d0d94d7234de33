/// Parses and validates requests of the chat API and prepares them for the instances.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace inference_router::frontend {

/// A validated chat request.
//
// The move constructor of its JSON member is not declared noexcept.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct ChatRequest {
  std::string model;
  std::string user;
  nlohmann::json messages;
  bool stream = false;
  bool includeUsage = false;  ///< the stream ends with an event that reports the usage
  double maxTokens = 0;
  /// The body sent to an instance: always asks for a stream that reports its usage.
  std::string instanceBody;
};

/// Parses and validates a body. defaultMaxTokens: the limit for a request that sets none. Throws
/// ApiError.
ChatRequest readChatRequest(const std::string& body, double defaultMaxTokens);

}  // namespace inference_router::frontend
