#include "frontend/openai/chat_event.h"

#include <stdexcept>
#include <utility>

#include "core/document_reader.h"
#include "shared/documents.h"
#include "upstream/event_stream_filter.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

constexpr core::DocumentLimits kEventLimits{.maxBytes = upstream::EventStreamFilter::kMaxEventBytes,
                                            .maxValues = 65'536};

// The member, or null if it is missing or null.
const json* memberOf(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

const json& requireObject(const json& value, const char* what) {
  if (!value.is_object())
    throw std::invalid_argument(std::string(what) + " is not an object");
  return value;
}

const json& requireList(const json& value, const char* what) {
  if (!value.is_array())
    throw std::invalid_argument(std::string(what) + " is not a list");
  return value;
}

OptionalText textOf(const json& value) {
  return value.is_string() ? OptionalText(value.get<std::string>()) : std::nullopt;
}

// A missing index is 0. A null one is not: whom the part belongs to would be a guess.
std::size_t indexOf(const json& part) {
  const auto index = part.find("index");
  if (index == part.end())
    return 0;
  if (!index->is_number_unsigned())
    throw std::invalid_argument("index is not a whole number of 0 or more");
  return index->get<std::size_t>();
}

ToolCallDelta toolCallOf(const json& value) {
  ToolCallDelta call;
  call.index = indexOf(requireObject(value, "a tool call"));
  if (const auto id = value.find("id"); id != value.end())
    call.id = textOf(*id);
  if (const json* function = memberOf(value, "function"))
    for (const auto& [field, text] : requireObject(*function, "function").items())
      call.function[field] = textOf(text);
  return call;
}

std::vector<ToolCallDelta> toolCallsOf(const json& list) {
  std::vector<ToolCallDelta> calls;
  for (const json& value : requireList(list, "tool_calls"))
    calls.push_back(toolCallOf(value));
  return calls;
}

MessageDelta messageOf(const json& delta) {
  MessageDelta message;
  for (const auto& [name, value] : requireObject(delta, "delta").items()) {
    if (name == "role")
      continue;
    if (name == "tool_calls" && !value.is_null())
      message.toolCalls = toolCallsOf(value);
    else
      message.texts[name] = textOf(value);
  }
  return message;
}

ChoiceDelta choiceOf(const json& value) {
  ChoiceDelta choice;
  if (const json* delta = memberOf(value, "delta"))
    choice.message = messageOf(*delta);
  if (const json* reason = memberOf(value, "finish_reason"))
    choice.finishReason = reason->get<std::string>();
  return choice;
}

std::vector<ChoiceDelta> choicesOf(const json& list) {
  std::vector<ChoiceDelta> choices;
  for (const json& value : requireList(list, "choices"))
    if (indexOf(requireObject(value, "a choice")) == 0)
      choices.push_back(choiceOf(value));
  return choices;
}

std::optional<std::uint64_t> countOf(const json& usage, const char* name) {
  const auto count = usage.find(name);
  if (count == usage.end() || !count->is_number_unsigned() ||
      count->get<std::uint64_t>() >= shared::kMaxTokens)
    return std::nullopt;
  return count->get<std::uint64_t>();
}

ChatChunk chunkOf(json& document) {
  requireObject(document, "the event");
  ChatChunk chunk;
  chunk.isErrorEvent = document.contains("error") && !document.contains("choices");
  if (const json* choices = memberOf(document, "choices")) {
    chunk.choices = choicesOf(*choices);
    chunk.isUsageOnly = document.contains("usage") && choices->empty();
  }
  if (const json* usage = memberOf(document, "usage")) {
    chunk.usage = requireObject(*usage, "usage");
    chunk.tokens = {countOf(*usage, "prompt_tokens"), countOf(*usage, "completion_tokens")};
  }
  for (const char* name : {"choices", "usage", "object"})
    document.erase(name);
  chunk.topLevelFields = std::move(document);
  return chunk;
}

}  // namespace

ChatChunk readChatChunk(std::string_view data) {
  return core::decodeJson(data, kEventLimits, chunkOf);
}

}  // namespace inference_router::frontend
