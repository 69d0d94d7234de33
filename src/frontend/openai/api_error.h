/// Error responses of the chat API.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace inference_router::frontend {

/// An error response. Thrown where a request cannot be served, then sent to the client.
struct ApiError {
  unsigned status;
  std::string message;
  std::string type;  ///< invalid_request_error, rate_limit_error, server_error
  std::optional<std::string> param;
  std::optional<std::string> code;
  double retryAfterMs = 0;  ///< delay before a retry; 0: not sent

  /// The JSON body of the response.
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

/// A 400 response.
inline ApiError badRequest(std::string message,
                           std::optional<std::string> param = {},
                           std::optional<std::string> code = {}) {
  return {400, std::move(message), "invalid_request_error", std::move(param), std::move(code)};
}

/// A 404 response for a model that is not configured.
inline ApiError unknownModel(const std::string& name) {
  return {404, "the model '" + name + "' does not exist", "invalid_request_error", "model",
          "model_not_found"};
}

}  // namespace inference_router::frontend
