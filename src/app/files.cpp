#include "app/files.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace inference_router::app {

namespace {

constexpr mode_t kOwnerOnly = 0600;

int openFile(const std::string& path, int flags) {
  while (true) {
    const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, kOwnerOnly);
    if (descriptor >= 0 || errno != EINTR)
      return descriptor;
  }
}

}  // namespace

File::File(const std::string& path, int flags) : descriptor_(openFile(path, flags)) {}

File::~File() {
  if (descriptor_ >= 0)
    ::close(descriptor_);
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
  std::size_t have = 0;
  while (have < size) {
    const auto count = ::read(descriptor, text.data() + have, size - have);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return std::nullopt;
    if (count == 0)
      break;
    have += static_cast<std::size_t>(count);
  }
  text.resize(have);
  return text;
}

bool sync(int descriptor) {
  while (::fsync(descriptor) != 0)
    if (errno != EINTR)
      return false;
  return true;
}

}  // namespace inference_router::app
