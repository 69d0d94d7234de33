#include "frontend/openai/completion.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

// Bounds the memory that an invalid index can claim. No model makes this many tool calls in one
// response.
constexpr std::size_t kMaxToolCalls = 128;

void appendText(json& target, const json& text) {
  if (!text.is_string())
    return;
  if (target.is_string())
    target.get_ref<std::string&>() += text.get_ref<const std::string&>();
  else
    target = text;
}

std::size_t sizeOf(const json& text) {
  return text.is_string() ? text.get_ref<const std::string&>().size() : 0;
}

}  // namespace

void Completion::add(const json& chunk) {
  if (!chunk.is_object())
    return;
  for (const auto& [name, value] : chunk.items())
    if (name != "choices" && name != "usage" && name != "object")
      topLevelFields_[name] = value;
  if (chunk.contains("usage") && chunk.at("usage").is_object())
    usage_ = chunk.at("usage");
  if (!chunk.contains("choices") || !chunk.at("choices").is_array())
    return;
  for (const json& choice : chunk.at("choices"))
    addChoice(choice);
}

void Completion::addChoice(const json& choice) {
  if (!choice.is_object() || choice.value("index", 0) != 0)
    return;
  if (choice.contains("delta") && choice.at("delta").is_object())
    addDelta(choice.at("delta"));
  if (choice.contains("finish_reason") && choice.at("finish_reason").is_string())
    finishReason_ = choice.at("finish_reason");
}

void Completion::addDelta(const json& delta) {
  for (const auto& [name, value] : delta.items()) {
    size_ += sizeOf(value);
    if (name == "role")
      continue;
    if (name != "tool_calls" || !value.is_array()) {
      appendText(message_[name], value);
      continue;
    }
    json& calls = message_["tool_calls"];
    for (const json& toolCallDelta : value)
      addToolCall(toolCallDelta, calls);
  }
}

void Completion::addToolCall(const json& toolCallDelta, json& calls) {
  if (!toolCallDelta.is_object())
    return;
  const std::size_t index = toolCallDelta.value("index", 0U);
  if (index >= kMaxToolCalls)
    return;
  while (calls.size() <= index)
    calls.push_back({{"id", nullptr}, {"type", "function"}, {"function", json::object()}});
  json& call = calls[index];
  if (toolCallDelta.contains("id"))
    appendText(call["id"], toolCallDelta.at("id"));
  if (!toolCallDelta.contains("function") || !toolCallDelta.at("function").is_object())
    return;
  for (const auto& [field, text] : toolCallDelta.at("function").items()) {
    appendText(call["function"][field], text);
    size_ += sizeOf(text);
  }
}

std::string Completion::text() const {
  json completion = topLevelFields_;
  completion["object"] = "chat.completion";
  completion["choices"] =
      json::array({{{"index", 0}, {"message", message_}, {"finish_reason", finishReason_}}});
  if (usage_.is_object())
    completion["usage"] = usage_;
  return completion.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace inference_router::frontend
