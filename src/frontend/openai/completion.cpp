#include "frontend/openai/completion.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

// Bounds the memory that an invalid index can claim. No model makes this many tool calls in one
// response.
constexpr std::size_t kMaxToolCalls = 128;
// What a value needs in memory beside its text: its place in a list or an object, and for a list or
// an object the container.
constexpr std::size_t kValueBytes = 128;

std::size_t memoryOf(const json& value) {
  std::size_t bytes = kValueBytes;
  if (value.is_string())
    bytes += value.get_ref<const std::string&>().size();
  if (!value.is_structured())
    return bytes;
  for (const auto& [name, element] : value.items())
    bytes += name.size() + memoryOf(element);
  return bytes;
}

json emptyToolCall() {
  return {{"id", nullptr}, {"type", "function"}, {"function", json::object()}};
}

}  // namespace

bool Completion::add(const ChatChunk& chunk) {
  for (const auto& [name, value] : chunk.topLevelFields.items())
    setTopLevelField(name, value);
  if (chunk.usage.is_object())
    usage_ = chunk.usage;
  for (const ChoiceDelta& choice : chunk.choices) {
    addMessage(choice.message);
    if (choice.finishReason)
      finishReason_ = *choice.finishReason;
  }
  return bytes_ <= kMaxBytes;
}

void Completion::setTopLevelField(const std::string& name, const json& value) {
  const auto [field, isNew] = topLevelFields_.get_ref<json::object_t&>().try_emplace(name, nullptr);
  bytes_ += isNew ? name.size() : 0;
  bytes_ -= isNew ? 0 : memoryOf(field->second);
  bytes_ += memoryOf(value);
  field->second = value;
}

void Completion::addMessage(const MessageDelta& delta) {
  for (const auto& [name, text] : delta.texts)
    appendText(message_, name, text);
  if (delta.toolCalls.empty())
    return;
  json& calls = message_["tool_calls"];
  for (const ToolCallDelta& call : delta.toolCalls)
    addToolCall(call, calls);
}

void Completion::addToolCall(const ToolCallDelta& delta, json& calls) {
  if (delta.index >= kMaxToolCalls)
    return;
  while (calls.size() <= delta.index)
    calls.push_back(emptyToolCall());
  json& call = calls[delta.index];
  if (delta.id)
    appendText(call, "id", *delta.id);
  for (const auto& [field, text] : delta.function)
    appendText(call["function"], field, text);
}

// A value that is no text leaves the field as it is, or null if it is new.
void Completion::appendText(json& object, const std::string& name, const OptionalText& text) {
  const auto [field, isNew] = object.get_ref<json::object_t&>().try_emplace(name, nullptr);
  if (isNew)
    bytes_ += kValueBytes + name.size();
  if (!text)
    return;
  bytes_ += text->size();
  json& target = field->second;
  if (target.is_string())
    target.get_ref<std::string&>() += *text;
  else
    target = *text;
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
