#include "frontend/openai/derive.h"

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

// FNV-1a: the same on every router and in every build.
class Hash {
 public:
  Hash& add(const std::string& text) {
    for (const char c : text)
      step(static_cast<unsigned char>(c));
    step(0xff);  // so that the borders between texts count
    return *this;
  }
  std::string word() const {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value_));
    return text;
  }

 private:
  void step(unsigned char byte) { value_ = (value_ ^ byte) * 1099511628211ULL; }
  std::uint64_t value_ = 14695981039346656037ULL;
};

bool opens(const json& message) {
  const auto role = message.at("role").get<std::string>();
  return role == "system" || role == "developer";
}

}  // namespace

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

Derived derive(const json& messages, const std::string& tenant, const std::string& user) {
  Derived found;
  Hash session;
  session.add(tenant).add(user);
  std::size_t bytes = 0;
  bool opening = true;
  for (const json& message : messages) {
    const std::string content = contentOf(message);
    bytes += content.size();
    if (!opening)
      continue;
    session.add(message.at("role").get<std::string>()).add(content);
    opening = message.at("role") != "user";
  }
  found.session = session.word();
  found.promptTokens = tokensIn(bytes);
  if (opens(messages.front())) {
    const std::string content = contentOf(messages.front());
    found.prefix = Hash().add(content).word();
    found.prefixTokens = tokensIn(content.size());
  }
  return found;
}

}  // namespace inference_router::frontend
