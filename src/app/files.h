/// Files by descriptor: opened, read and written whole, with interrupted and short calls gone on
/// with.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace inference_router::app {

/// An open file that closes with its owner.
class File {
 public:
  /// Access for the owner alone; a symbolic link is not followed. Sets errno if it cannot be
  /// opened.
  File(const std::string& path, int flags);
  ~File();
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  explicit operator bool() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }
  int release() { return std::exchange(descriptor_, -1); }

 private:
  int descriptor_;
};

[[nodiscard]] bool writeAll(int descriptor, std::string_view text);
/// So many bytes, or fewer if the file ends before; nothing if it cannot be read.
std::optional<std::string> readUpTo(int descriptor, std::size_t size);
/// Has the system put what was written on the storage. False if it could not.
[[nodiscard]] bool sync(int descriptor);

}  // namespace inference_router::app
