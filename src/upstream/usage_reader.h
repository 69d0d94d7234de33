/// Extracts from an instance's response how many tokens of the prompt were cached, without storing
/// or parsing the whole stream.
#pragma once

#include <cctype>
#include <cstddef>
#include <string>
#include <string_view>

namespace inference_router::upstream {

class UsageReader {
 public:
  /// Adds a part of the response.
  void push(std::string_view part) {
    tail_.append(part.size() > kTailBytes ? part.substr(part.size() - kTailBytes) : part);
    if (tail_.size() > 2 * kTailBytes)
      tail_.erase(0, tail_.size() - kTailBytes);
  }

  /// The value of the last "cached_tokens" field; 0 if there is none. Instances send the field with
  /// the last events.
  double cachedTokens() const {
    constexpr std::string_view kField = "\"cached_tokens\":";
    const std::size_t field = tail_.rfind(kField);
    if (field == std::string::npos)
      return 0;
    double value = 0;
    for (std::size_t i = field + kField.size(); i < tail_.size(); ++i) {
      if (tail_[i] == ' ')
        continue;
      if (std::isdigit(static_cast<unsigned char>(tail_[i])) == 0)
        break;
      value = value * 10 + (tail_[i] - '0');
    }
    return value;
  }

 private:
  static constexpr std::size_t kTailBytes = 1024;

  std::string tail_;  // end of the response, at most twice kTailBytes
};

}  // namespace inference_router::upstream
