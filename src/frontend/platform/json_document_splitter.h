// Finds where one JSON object ends in a stream of them, whether each stands on a line of its own or
// is indented over many. Looks at brackets and strings alone: whether it is JSON is its reader's
// business.
#pragma once

#include <cstddef>
#include <string_view>

namespace inference_router::frontend {

class JsonDocumentSplitter {
 public:
  // The length of the part of text, from its beginning, up to the end of the object that ends in
  // it; 0 if none does yet. A line without any object, empty or not, is a part of its own. What was
  // seen is not seen again: text has to begin with the same bytes the next time, until a part was
  // taken.
  std::size_t partOf(std::string_view text) {
    for (; seen_ < text.size(); ++seen_) {
      const char c = text[seen_];
      if (inString_) {
        if (escaped_)
          escaped_ = false;
        else if (c == '\\')
          escaped_ = true;
        else if (c == '"')
          inString_ = false;
      } else if (depth_ > 0 && c == '"') {
        inString_ = true;
      } else if (c == '{' || c == '[') {
        ++depth_;
      } else if ((c == '}' || c == ']') && depth_ > 0) {
        if (--depth_ == 0)
          return take();
      } else if (depth_ == 0 && c == '\n') {
        return take();
      }
    }
    return 0;
  }

 private:
  std::size_t take() {
    const std::size_t end = seen_ + 1;
    *this = JsonDocumentSplitter();
    return end;
  }

  std::size_t seen_ = 0;
  int depth_ = 0;
  bool inString_ = false, escaped_ = false;
};

}  // namespace inference_router::frontend
