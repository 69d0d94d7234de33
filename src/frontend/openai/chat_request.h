// A request of the chat API: checked, and made ready for the instances.
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
  std::string instanceBody;  // the same request as an instance gets it: always streamed, always
                             // with its usage
};

// Throws ApiError.
ChatRequest readChatRequest(const std::string& body, double defaultMaxTokens);

}  // namespace inference_router::frontend
