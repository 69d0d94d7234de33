/// Passes on whole server-sent events only, and detects at once what is no event stream: the first
/// event of an attempt ties its request to it, so half an event, noise or a chunk of a wrong size
/// must not pass.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace inference_router::upstream {

class EventStreamFilter {
 public:
  /// Of an event in bytes: as large as a body may be.
  static constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

  /// Adds a part of a response and returns the events that are complete by now and were not
  /// returned before. Nothing if this is no event stream, or an event is too large.
  std::optional<std::string> push(std::string_view part) {
    buffer_ += part;
    for (std::size_t lineEnd = buffer_.find('\n', lineBegin_); lineEnd != std::string::npos;
         lineEnd = buffer_.find('\n', lineBegin_)) {
      if (!takeLine(lineEnd))
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

  /// The part of an event that has come, while it is not complete.
  const std::string& incompleteEvent() const { return buffer_; }
  /// Whether the event that ends a stream has come.
  bool finished() const { return finished_; }

 private:
  // False if the line that ends there is none of an event stream.
  bool takeLine(std::size_t lineEnd) {
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

  // Whether the line is a field, a comment or empty, or, if it is not complete, may become that.
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
  std::size_t lineBegin_ = 0;  // of the line that is not complete
  std::size_t eventsEnd_ = 0;  // of the events that are complete
  bool finished_ = false;
};

}  // namespace inference_router::upstream
