/// Passes on complete server-sent events only, and detects at once a response that is not an event
/// stream. The first event of an attempt commits its request to that attempt, so incomplete events,
/// invalid bytes and chunks of a wrong size must not be passed on.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace inference_router::upstream {

class EventStreamFilter {
 public:
  /// The maximum size of one event, as large as a request body may be.
  static constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

  /// Adds a part of a response and returns the events that it completes. Returns nothing if this is
  /// not an event stream or an event is too large.
  std::optional<std::string> push(std::string_view part) {
    buffer_ += part;
    for (std::size_t lineEnd = buffer_.find('\n', lineBegin_); lineEnd != std::string::npos;
         lineEnd = buffer_.find('\n', lineBegin_)) {
      if (!consumeLine(lineEnd))
        return std::nullopt;
    }
    if (!isField(std::string_view(buffer_).substr(lineBegin_), /*complete=*/false))
      return std::nullopt;
    std::string events = buffer_.substr(0, eventsEnd_);
    buffer_.erase(0, eventsEnd_);
    lineBegin_ -= eventsEnd_;
    eventsEnd_ = 0;
    if (buffer_.size() > kMaxEventBytes)
      return std::nullopt;
    return events;
  }

  /// The part of an incomplete event that has arrived.
  const std::string& incompleteEvent() const { return buffer_; }
  /// Whether the bytes so far end within an event.
  bool isWithinEvent() const { return buffer_.find_first_not_of("\r\n") != std::string::npos; }
  /// Whether the last event of the stream has arrived.
  bool finished() const { return finished_; }

 private:
  // Consumes the line that ends there. False if it does not belong to an event stream.
  bool consumeLine(std::size_t lineEnd) {
    std::string_view line(buffer_.data() + lineBegin_, lineEnd - lineBegin_);
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (!isField(line, /*complete=*/true))
      return false;
    if (line == "data: [DONE]" || line == "data:[DONE]")
      finished_ = true;
    lineBegin_ = lineEnd + 1;
    if (line.empty())
      eventsEnd_ = lineBegin_;
    return true;
  }

  // Whether the line is a field, a comment or empty, or can still become one if it is incomplete.
  static bool isField(std::string_view line, bool complete) {
    if (line.empty() || line.front() == ':' || (!complete && line == "\r"))
      return true;
    constexpr std::array<std::string_view, 4> kFields{"data:", "event:", "id:", "retry:"};
    for (const std::string_view field : kFields) {
      if (line.substr(0, field.size()) == field)
        return true;
      if (!complete && field.substr(0, line.size()) == line)
        return true;
    }
    return false;
  }

  std::string buffer_;
  std::size_t lineBegin_ = 0;  // of the incomplete line
  std::size_t eventsEnd_ = 0;  // of the complete events
  bool finished_ = false;
};

}  // namespace inference_router::upstream
