// A request of the chat API: checked, and made ready for the boxes.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace inference_router::frontend {

struct ChatRequest {
  std::string model;
  std::string user;
  nlohmann::json messages;
  bool stream = false;
  bool includeUsage = false;
  double maxTokens = 0;
  std::string boxBody;  // the same request as a box gets it: always streamed, always with its usage
};

// Throws ApiError.
ChatRequest readChatRequest(const std::string& body, double defaultMaxTokens);

}  // namespace inference_router::frontend
