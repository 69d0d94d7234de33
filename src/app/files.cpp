#include "app/files.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace inference_router::app {

namespace {

constexpr mode_t kOwnerOnly = 0600;

}  // namespace

net::FileDescriptor openFile(const std::string& path, int flags) {
  while (true) {
    const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, kOwnerOnly);
    if (descriptor >= 0 || errno != EINTR)
      return net::FileDescriptor(descriptor);
  }
}

bool writeAll(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const auto count = ::write(descriptor, text.data(), text.size());
    if (count < 0 && errno == EINTR)
      continue;
    if (count <= 0)
      return false;
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

std::optional<std::string> readUpTo(int descriptor, std::size_t size) {
  std::string text(size, '\0');
  std::size_t received = 0;
  while (received < size) {
    const auto count = ::read(descriptor, text.data() + received, size - received);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return std::nullopt;
    if (count == 0)
      break;
    received += static_cast<std::size_t>(count);
  }
  text.resize(received);
  return text;
}

bool sync(int descriptor) {
  while (::fsync(descriptor) != 0)
    if (errno != EINTR)
      return false;
  return true;
}

}  // namespace inference_router::app
