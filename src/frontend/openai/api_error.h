/// An error answer of the chat API, as its clients expect it.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace inference_router::frontend {

/// Thrown where a request cannot be served, and sent to its client.
struct ApiError {
  unsigned status;
  std::string message;
  std::string type;  ///< invalid_request_error, rate_limit_error, server_error
  std::optional<std::string> param;
  std::optional<std::string> code;
  double retryAfterMs = 0;  ///< when to come again; 0: nothing is said

  /// The body of the answer.
  std::string text() const {
    const auto orNull = [](const std::optional<std::string>& value) {
      return value ? nlohmann::json(*value) : nlohmann::json();
    };
    return nlohmann::json{
        {"error",
         {{"message", message}, {"type", type}, {"param", orNull(param)}, {"code", orNull(code)}}}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
};

inline ApiError badRequest(std::string message,
                           std::optional<std::string> param = {},
                           std::optional<std::string> code = {}) {
  return {400, std::move(message), "invalid_request_error", std::move(param), std::move(code)};
}

inline ApiError unknownModel(const std::string& name) {
  return {404, "the model '" + name + "' does not exist", "invalid_request_error", "model",
          "model_not_found"};
}

}  // namespace inference_router::frontend
