#include "frontend/openai/chat_request.h"

#include <algorithm>
#include <utility>

#include "core/document_reader.h"
#include "frontend/openai/api_error.h"
#include "net/message.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

constexpr core::DocumentLimits kBodyLimits{.maxBytes = net::kMaxBodyBytes};
constexpr const char* kNoObject = "the body is not a JSON object";

bool has(const json& body, const char* name) {
  return body.contains(name) && !body.at(name).is_null();
}

bool flagOf(const json& body, const char* name) {
  if (!has(body, name))
    return false;
  if (!body.at(name).is_boolean())
    throw badRequest(std::string(name) + " must be true or false", name);
  return body.at(name).get<bool>();
}

std::string stringOf(const json& body, const char* name) {
  if (!has(body, name))
    return {};
  if (!body.at(name).is_string())
    throw badRequest(std::string(name) + " must be a string", name);
  return body.at(name).get<std::string>();
}

double countOf(const json& body, const char* name, double fallback) {
  if (!has(body, name))
    return fallback;
  const json& value = body.at(name);
  if (!value.is_number_integer() || value.get<double>() < 1)
    throw badRequest(std::string(name) + " must be a whole number of at least 1", name);
  return value.get<double>();
}

bool hasString(const json& object, const char* name) {
  return object.contains(name) && object.at(name).is_string();
}

bool isValidPart(const json& part) {
  if (!part.is_object() || !hasString(part, "type"))
    return false;
  return part.at("type") != "text" || hasString(part, "text");
}

bool isValidContent(const json& message) {
  if (!has(message, "content"))
    return message.at("role") == "assistant";  // it may contain tool calls only
  const json& content = message.at("content");
  if (content.is_string())
    return true;
  if (!content.is_array())
    return false;
  return std::all_of(content.begin(), content.end(), isValidPart);
}

void checkMessages(const json& body) {
  if (!body.contains("messages") || !body.at("messages").is_array() || body.at("messages").empty())
    throw badRequest("messages must be a list of at least one message", "messages");
  std::size_t index = 0;
  for (const json& message : body.at("messages")) {
    const std::string at = "messages[" + std::to_string(index++) + "]";
    if (!message.is_object())
      throw badRequest(at + " must be an object", at);
    if (!hasString(message, "role"))
      throw badRequest(at + ".role must be a string", at + ".role");
    if (!isValidContent(message))
      throw badRequest(at + ".content must be a string or a list of parts", at + ".content");
  }
}

bool includesUsage(const json& body, bool stream) {
  if (!has(body, "stream_options"))
    return false;
  if (!stream)
    throw badRequest("stream_options goes with stream", "stream_options");
  if (!body.at("stream_options").is_object())
    throw badRequest("stream_options must be an object", "stream_options");
  return flagOf(body.at("stream_options"), "include_usage");
}

ChatRequest requestOf(json& document, double defaultMaxTokens) {
  if (!document.is_object())
    throw badRequest(kNoObject);
  ChatRequest request;
  request.model = stringOf(document, "model");
  if (request.model.empty())
    throw badRequest("model is missing", "model");
  checkMessages(document);
  request.user = stringOf(document, "user");
  request.stream = flagOf(document, "stream");
  request.includeUsage = includesUsage(document, request.stream);
  if (countOf(document, "n", 1) != 1)
    throw badRequest("only n = 1 is served", "n");
  request.maxTokens =
      countOf(document, "max_completion_tokens", countOf(document, "max_tokens", defaultMaxTokens));
  document["stream"] = true;
  document["stream_options"] = {{"include_usage", true}};
  request.instanceBody = document.dump(-1, ' ', false, json::error_handler_t::replace);
  request.messages = std::move(document["messages"]);
  return request;
}

ApiError errorFor(const core::DocumentError& error) {
  if (error.fault() == core::DocumentFault::kTooDeep)
    return badRequest("the body nests lists and objects more than " +
                      std::to_string(kBodyLimits.maxDepth) + " levels deep");
  return badRequest(kNoObject);
}

}  // namespace

ChatRequest readChatRequest(const std::string& body, double defaultMaxTokens) {
  try {
    return core::decodeJson(body, kBodyLimits, [defaultMaxTokens](json& document) {
      return requestOf(document, defaultMaxTokens);
    });
  } catch (const core::DocumentError& error) {
    throw errorFor(error);
  }
}

}  // namespace inference_router::frontend
