// Cuts a stream of server-sent events into whole events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace inference_router::frontend {

class EventCutter {
 public:
  void add(std::string_view part) { text_ += part; }

  // The next whole event with its empty line, as it came.
  std::optional<std::string> next() {
    const std::size_t plain = text_.find("\n\n"), carriage = text_.find("\r\n\r\n");
    if (plain == std::string::npos && carriage == std::string::npos)
      return std::nullopt;
    const std::size_t end = plain < carriage ? plain + 2 : carriage + 4;
    std::string event = text_.substr(0, end);
    text_.erase(0, end);
    return event;
  }

  std::size_t waiting() const { return text_.size(); }

 private:
  std::string text_;
};

// The data of an event; its lines joined as the format says. Comments and other fields are passed
// over.
inline std::string dataOf(std::string_view event) {
  std::string data;
  bool found = false;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (line.substr(0, 5) != "data:")
      continue;
    line.remove_prefix(5);
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
