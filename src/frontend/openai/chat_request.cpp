#include "frontend/openai/chat_request.h"

#include "frontend/openai/api_error.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

bool given(const json& body, const char* name) {
  return body.contains(name) && !body.at(name).is_null();
}

bool flagOf(const json& body, const char* name) {
  if (!given(body, name))
    return false;
  if (!body.at(name).is_boolean())
    throw badRequest(std::string(name) + " must be true or false", name);
  return body.at(name).get<bool>();
}

std::string wordOf(const json& body, const char* name) {
  if (!given(body, name))
    return {};
  if (!body.at(name).is_string())
    throw badRequest(std::string(name) + " must be a string", name);
  return body.at(name).get<std::string>();
}

double countOf(const json& body, const char* name, double otherwise) {
  if (!given(body, name))
    return otherwise;
  const json& value = body.at(name);
  if (!value.is_number_integer() || value.get<double>() < 1)
    throw badRequest(std::string(name) + " must be a whole number of at least 1", name);
  return value.get<double>();
}

bool goodContent(const json& message) {
  if (!given(message, "content"))
    return message.at("role") == "assistant";  // one that only calls tools
  const json& content = message.at("content");
  if (content.is_string())
    return true;
  if (!content.is_array())
    return false;
  for (const json& part : content) {
    if (!part.is_object() || !part.contains("type") || !part.at("type").is_string())
      return false;
    const bool text = part.at("type") == "text";
    if (text && (!part.contains("text") || !part.at("text").is_string()))
      return false;
  }
  return true;
}

void checkMessages(const json& body) {
  if (!body.contains("messages") || !body.at("messages").is_array() || body.at("messages").empty())
    throw badRequest("messages must be a list of at least one message", "messages");
  std::size_t index = 0;
  for (const json& message : body.at("messages")) {
    const std::string at = "messages[" + std::to_string(index++) + "]";
    if (!message.is_object())
      throw badRequest(at + " must be an object", at);
    if (!message.contains("role") || !message.at("role").is_string())
      throw badRequest(at + ".role must be a string", at + ".role");
    if (!goodContent(message))
      throw badRequest(at + ".content must be a string or a list of parts", at + ".content");
  }
}

}  // namespace

ChatRequest readChatRequest(const std::string& text, double defaultMaxTokens) {
  json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object())
    throw badRequest("the body is not a JSON object");
  ChatRequest request;
  request.model = wordOf(body, "model");
  if (request.model.empty())
    throw badRequest("model is missing", "model");
  checkMessages(body);
  request.user = wordOf(body, "user");
  request.stream = flagOf(body, "stream");
  if (given(body, "stream_options")) {
    if (!request.stream)
      throw badRequest("stream_options goes with stream", "stream_options");
    if (!body.at("stream_options").is_object())
      throw badRequest("stream_options must be an object", "stream_options");
    request.includeUsage = flagOf(body.at("stream_options"), "include_usage");
  }
  if (countOf(body, "n", 1) != 1)
    throw badRequest("only n = 1 is served", "n");
  request.maxTokens =
      countOf(body, "max_completion_tokens", countOf(body, "max_tokens", defaultMaxTokens));
  request.messages = body.at("messages");
  body["stream"] = true;
  body["stream_options"] = {{"include_usage", true}};
  request.instanceBody = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

}  // namespace inference_router::frontend
