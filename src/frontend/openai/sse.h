/// Parsing of server-sent events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace inference_router::frontend {

/// Splits a stream of bytes into complete events.
class EventSplitter {
 public:
  /// Appends received bytes.
  void add(std::string_view bytes) { text_ += bytes; }

  /// Removes and returns the next complete event, unchanged and with the empty line that ends it.
  std::optional<std::string> next() {
    const std::size_t lfEnd = text_.find(kLfEnd);
    const std::size_t crlfEnd = text_.find(kCrlfEnd);
    if (lfEnd == std::string::npos && crlfEnd == std::string::npos)
      return std::nullopt;
    const std::size_t end = lfEnd < crlfEnd ? lfEnd + kLfEnd.size() : crlfEnd + kCrlfEnd.size();
    std::string event = text_.substr(0, end);
    text_.erase(0, end);
    return event;
  }

  /// Bytes that have not been returned yet; after next() has returned nothing, the size of the
  /// incomplete event.
  std::size_t pendingBytes() const { return text_.size(); }

 private:
  static constexpr std::string_view kLfEnd = "\n\n";
  static constexpr std::string_view kCrlfEnd = "\r\n\r\n";

  std::string text_;
};

/// Returns the data of an event, with its data lines joined by line feeds as the format specifies.
/// Comments and other fields are skipped.
inline std::string dataOf(std::string_view event) {
  constexpr std::string_view kDataField = "data:";
  std::string data;
  bool found = false;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (line.substr(0, kDataField.size()) != kDataField)
      continue;
    line.remove_prefix(kDataField.size());
    if (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    if (found)
      data += '\n';
    data += line;
    found = true;
  }
  return data;
}

}  // namespace inference_router::frontend
