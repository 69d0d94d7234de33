/// Decodes the events of an instance's stream that the router has to understand.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace inference_router::frontend {

/// A text, or nothing for a value of any other type. Such a value counts as null.
using OptionalText = std::optional<std::string>;

/// A part of one tool call.
struct ToolCallDelta {
  std::size_t index = 0;
  std::optional<OptionalText> id;
  std::map<std::string, OptionalText> function;
};

/// A part of the message that the stream assembles.
struct MessageDelta {
  std::map<std::string, OptionalText> texts;  ///< by field, without the role and the tool calls
  std::vector<ToolCallDelta> toolCalls;
};

/// A part of the first choice; the router asks for one choice only.
struct ChoiceDelta {
  MessageDelta message;
  std::optional<std::string> finishReason;
};

/// The token counts of the instance.
struct TokenUsage {
  std::optional<std::uint64_t> promptTokens;
  std::optional<std::uint64_t> completionTokens;
};

/// The data of one event.
struct ChatChunk {
  nlohmann::json topLevelFields = nlohmann::json::object();  ///< all but choices, usage and object
  nlohmann::json usage;                                      ///< an object; null if there is none
  TokenUsage tokens;
  std::vector<ChoiceDelta> choices;
  bool isUsageOnly = false;   ///< reports usage beside an empty list of choices
  bool isErrorEvent = false;  ///< reports an error instead of choices
};

/// Decodes the data of an event. Throws core::DocumentError if it is not a JSON object within the
/// limits, or if a value that the router uses has another type than the API specifies.
ChatChunk readChatChunk(std::string_view data);

}  // namespace inference_router::frontend
