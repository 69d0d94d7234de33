/// Finds where one JSON object ends in a stream of them, whether each stands on a line of its own
/// or is indented over many. Looks at brackets and strings alone: whether it is JSON is its
/// reader's business.
#pragma once

#include <cstddef>
#include <string_view>

namespace inference_router::frontend {

class JsonDocumentSplitter {
 public:
  /// The length of the part of text, from its beginning, up to the end of the object that ends in
  /// it; 0 if none does yet. A line without any object, empty or not, is a part of its own. What
  /// was seen is not seen again: text has to begin with the same bytes the next time, until a part
  /// was taken.
  std::size_t nextEnd(std::string_view text) {
    for (; scanned_ < text.size(); ++scanned_) {
      if (endsSegment(text[scanned_]))
        return finishSegment();
    }
    return 0;
  }

 private:
  bool endsSegment(char c) {
    if (inString_) {
      skipStringCharacter(c);
      return false;
    }
    if (depth_ > 0 && c == '"') {
      inString_ = true;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if ((c == '}' || c == ']') && depth_ > 0) {
      --depth_;
      return depth_ == 0;
    }
    return depth_ == 0 && c == '\n';
  }

  void skipStringCharacter(char c) {
    if (escaped_)
      escaped_ = false;
    else if (c == '\\')
      escaped_ = true;
    else if (c == '"')
      inString_ = false;
  }

  std::size_t finishSegment() {
    const std::size_t end = scanned_ + 1;
    *this = JsonDocumentSplitter();
    return end;
  }

  std::size_t scanned_ = 0;
  int depth_ = 0;
  bool inString_ = false;
  bool escaped_ = false;
};

}  // namespace inference_router::frontend
