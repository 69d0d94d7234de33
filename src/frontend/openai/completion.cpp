#include "frontend/openai/completion.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

// No model calls so many tools at once; a bad index must not cost memory.
constexpr std::size_t kMaxToolCalls = 128;

void appendText(json& to, const json& text) {
  if (!text.is_string())
    return;
  if (to.is_string())
    to.get_ref<std::string&>() += text.get_ref<const std::string&>();
  else
    to = text;
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
      head_[name] = value;
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
    for (const json& part : value)
      addToolCall(part, calls);
  }
}

void Completion::addToolCall(const json& part, json& calls) {
  if (!part.is_object())
    return;
  const std::size_t index = part.value("index", 0U);
  if (index >= kMaxToolCalls)
    return;
  while (calls.size() <= index)
    calls.push_back({{"id", nullptr}, {"type", "function"}, {"function", json::object()}});
  json& call = calls[index];
  if (part.contains("id"))
    appendText(call["id"], part.at("id"));
  if (!part.contains("function") || !part.at("function").is_object())
    return;
  for (const auto& [field, text] : part.at("function").items()) {
    appendText(call["function"][field], text);
    size_ += sizeOf(text);
  }
}

std::string Completion::text() const {
  json completion = head_;
  completion["object"] = "chat.completion";
  completion["choices"] =
      json::array({{{"index", 0}, {"message", message_}, {"finish_reason", finishReason_}}});
  if (usage_.is_object())
    completion["usage"] = usage_;
  return completion.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace inference_router::frontend
