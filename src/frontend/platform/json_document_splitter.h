/// Finds the end of each JSON document in a stream, whether a document is on one line or indented
/// over many. Only tracks brackets and strings; the caller's parser checks that it is valid JSON.
#pragma once

#include <cstddef>
#include <string_view>

namespace inference_router::frontend {

/// Splits a stream into segments, each of which ends with a document or is a line without one.
class JsonDocumentSplitter {
 public:
  /// Returns the length of the first segment of text, up to the end of its document; 0 if no
  /// document is complete yet. A line without a document, empty or not, is a segment of its own.
  /// Scanned bytes are not scanned again: until a segment is returned, the text of the next call
  /// must begin with the same bytes; afterwards it must begin behind the segment.
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
