/// An owned file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace inference_router::net {

/// Closes its descriptor when destroyed or assigned to, unless release() was called. Empty while
/// the value is negative, so that the result of a failed system call can be stored directly.
class FileDescriptor {
 public:
  explicit FileDescriptor(int value = -1) : value_(value) {}
  ~FileDescriptor() { reset(); }
  FileDescriptor(FileDescriptor&& other) noexcept : value_(other.release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this == &other)
      return *this;
    reset();
    value_ = other.release();
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  explicit operator bool() const { return value_ >= 0; }
  int get() const { return value_; }
  /// Transfers ownership of the descriptor to the caller.
  [[nodiscard]] int release() { return std::exchange(value_, -1); }

 private:
  void reset() {
    if (value_ >= 0)
      ::close(value_);
    value_ = -1;
  }

  int value_;
};

}  // namespace inference_router::net
