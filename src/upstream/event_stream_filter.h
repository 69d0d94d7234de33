// Lets whole server-sent events through and tells at once when what comes is no stream of events:
// the first event of an attempt ties the request to it, so half an event, noise or a chunk of a
// wrong size must not.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace inference_router::upstream {

class EventStreamFilter {
 public:
  static constexpr std::size_t kEventLimit = 256 * 1024;  // as large as a body may be

  // The whole events of all that has come and was not let through yet; nothing once it is no such
  // stream.
  std::optional<std::string> see(std::string_view part) {
    text_ += part;
    for (std::size_t end = text_.find('\n', line_); end != std::string::npos;
         end = text_.find('\n', line_)) {
      std::string_view line(text_.data() + line_, end - line_);
      if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
      if (!fieldOrPartOf(line, /*whole=*/true))
        return std::nullopt;
      if (line == "data: [DONE]" || line == "data:[DONE]")
        finished_ = true;
      line_ = end + 1;
      if (line.empty())
        whole_ = line_;
    }
    if (!fieldOrPartOf(std::string_view(text_).substr(line_), /*whole=*/false))
      return std::nullopt;
    std::string events = text_.substr(0, whole_);
    text_.erase(0, whole_);
    line_ -= whole_;
    whole_ = 0;
    if (text_.size() > kEventLimit)
      return std::nullopt;
    return events;
  }

  const std::string& part() const { return text_; }  // of an event that has begun
  bool finished() const { return finished_; }        // the event that ends a stream has come

 private:
  static bool fieldOrPartOf(std::string_view line, bool whole) {
    if (line.empty() || line.front() == ':' || (!whole && line == "\r"))
      return true;
    constexpr std::array<std::string_view, 4> kFields{"data:", "event:", "id:", "retry:"};
    for (const std::string_view field : kFields) {
      if (line.substr(0, field.size()) == field)
        return true;
      if (!whole && field.substr(0, line.size()) == line)
        return true;
    }
    return false;
  }

  std::string text_;
  std::size_t line_ = 0,
              whole_ = 0;  // where the line under way begins, and where the whole events end
  bool finished_ = false;
};

}  // namespace inference_router::upstream
