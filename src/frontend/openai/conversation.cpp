#include "frontend/openai/conversation.h"

#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace inference_router::frontend {

using nlohmann::json;

namespace {

constexpr double kBytesPerToken = 4;

double tokensIn(std::size_t bytes) {
  return std::ceil(static_cast<double>(bytes) / kBytesPerToken);
}

// A hash with the same values on every router and in every build, unlike std::hash.
class Fnv1aHash {
 public:
  Fnv1aHash& add(const std::string& text) {
    for (const char c : text)
      addByte(static_cast<unsigned char>(c));
    addByte(kTextSeparator);
    return *this;
  }
  std::string hex() const {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value_));
    return text.data();
  }

 private:
  static constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  static constexpr std::uint64_t kPrime = 1099511628211ULL;
  static constexpr unsigned char kTextSeparator = 0xff;  // {"ab", "c"} and {"a", "bc"} differ

  void addByte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

// The text of a message's content: the string itself, or all text parts joined.
std::string contentOf(const json& message) {
  const auto content = message.find("content");
  if (content == message.end() || content->is_null())
    return {};
  if (content->is_string())
    return content->get<std::string>();
  std::string text;
  for (const json& part : *content)
    if (part.value("type", "") == "text")
      text += part.value("text", "");
  return text;
}

bool isSharedPrefix(const json& message) {
  const auto role = message.at("role").get<std::string>();
  return role == "system" || role == "developer";
}

}  // namespace

ConversationTraits traitsOf(const json& messages,
                            const std::string& tenant,
                            const std::string& user) {
  ConversationTraits traits;
  Fnv1aHash session;
  session.add(tenant).add(user);
  std::size_t bytes = 0;
  bool inSessionKey = true;
  for (const json& message : messages) {
    const std::string content = contentOf(message);
    bytes += content.size();
    if (!inSessionKey)
      continue;
    session.add(message.at("role").get<std::string>()).add(content);
    inSessionKey = message.at("role") != "user";
  }
  traits.session = session.hex();
  traits.promptTokens = tokensIn(bytes);
  if (isSharedPrefix(messages.front())) {
    const std::string content = contentOf(messages.front());
    traits.prefix = Fnv1aHash().add(content).hex();
    traits.prefixTokens = tokensIn(content.size());
  }
  return traits;
}

}  // namespace inference_router::frontend
