// Finds how much of a prompt was found kept in what an instance answers, without holding or parsing
// the stream.
#pragma once

#include <cctype>
#include <string>
#include <string_view>

namespace inference_router::upstream {

class UsageReader {
 public:
  void see(std::string_view part) {
    tail_.append(part.size() > kTail ? part.substr(part.size() - kTail) : part);
    if (tail_.size() > 2 * kTail)
      tail_.erase(0, tail_.size() - kTail);
  }

  // The last "cached_tokens" seen; the field stands in the final events.
  double cachedTokens() const {
    constexpr std::string_view kField = "\"cached_tokens\":";
    const std::size_t at = tail_.rfind(kField);
    if (at == std::string::npos)
      return 0;
    double value = 0;
    for (std::size_t i = at + kField.size(); i < tail_.size(); ++i) {
      if (tail_[i] == ' ')
        continue;
      if (std::isdigit(static_cast<unsigned char>(tail_[i])) == 0)
        break;
      value = value * 10 + (tail_[i] - '0');
    }
    return value;
  }

 private:
  static constexpr std::size_t kTail = 1024;
  std::string tail_;
};

}  // namespace inference_router::upstream
