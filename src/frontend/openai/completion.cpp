#include "frontend/openai/completion.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

void append(json& to, const json& from) {
  if (!from.is_string())
    return;
  if (to.is_string())
    to.get_ref<std::string&>() += from.get_ref<const std::string&>();
  else
    to = from;
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
  for (const json& choice : chunk.at("choices")) {
    if (!choice.is_object() || choice.value("index", 0) != 0)
      continue;
    if (choice.contains("delta") && choice.at("delta").is_object())
      addDelta(choice.at("delta"));
    if (choice.contains("finish_reason") && choice.at("finish_reason").is_string())
      finish_ = choice.at("finish_reason");
  }
}

void Completion::addDelta(const json& delta) {
  for (const auto& [name, value] : delta.items()) {
    if (value.is_string())
      size_ += value.get_ref<const std::string&>().size();
    if (name == "role")
      continue;
    if (name != "tool_calls" || !value.is_array()) {
      append(message_[name], value);
      continue;
    }
    json& calls = message_["tool_calls"];
    for (const json& part : value) {
      if (!part.is_object())
        continue;
      const std::size_t index = part.value("index", 0U);
      if (index > 127)
        continue;  // no model calls so many tools at once; a bad index must not cost memory
      while (calls.size() <= index)
        calls.push_back({{"id", nullptr}, {"type", "function"}, {"function", json::object()}});
      json& call = calls[index];
      if (part.contains("id"))
        append(call["id"], part.at("id"));
      if (!part.contains("function") || !part.at("function").is_object())
        continue;
      for (const auto& [field, text] : part.at("function").items()) {
        append(call["function"][field], text);
        if (text.is_string())
          size_ += text.get_ref<const std::string&>().size();
      }
    }
  }
}

std::string Completion::text() const {
  json whole = head_;
  whole["object"] = "chat.completion";
  whole["choices"] =
      json::array({{{"index", 0}, {"message", message_}, {"finish_reason", finish_}}});
  if (usage_.is_object())
    whole["usage"] = usage_;
  return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace inference_router::frontend
