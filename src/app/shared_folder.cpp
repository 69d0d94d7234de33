#include "app/shared_folder.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <utility>

#include "fleet/exclusions.h"

namespace dahliastall::app {

namespace {

constexpr std::size_t kLargestFile = fleet::Exclusions::kMaxTextBytes;

std::string plainName(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0 && c != '-'; }, '_');
  return name;
}

class File {
 public:
  File(const std::string& path, int flags)
      : descriptor_(::open(path.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, 0600)) {}
  ~File() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  int get() const { return descriptor_; }
  int release() { return std::exchange(descriptor_, -1); }

 private:
  int descriptor_;
};

bool writeAll(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const auto count = ::write(descriptor, text.data(), text.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

}  // namespace

// The lock is there before the name is: a file that can be seen and locked has lost its process.
SharedFolder::SharedFolder(std::string folder, const std::string& name)
    : folder_(std::move(folder)),
      prefix_("dahliastall-" + plainName(name) + ".process."),
      receiverPrefix_("dahliastall-" + plainName(name) + ".receiver."),
      ownName_(prefix_ + std::to_string(::getpid())),
      receiver_(receiverPrefix_ + std::to_string(::getpid())),
      exclusionsPath_(folder_ + "/dahliastall-" + plainName(name) + ".marks") {
  const std::string unnamed =
      folder_ + "/dahliastall-" + plainName(name) + ".new." + std::to_string(::getpid());
  File file(unnamed, O_RDWR | O_CREAT | O_TRUNC);
  if (file.get() < 0) return;
  if (::flock(file.get(), LOCK_EX | LOCK_NB) == 0 &&
      std::rename(unnamed.c_str(), (folder_ + "/" + ownName_).c_str()) == 0)
    own_ = file.release();
  else ::unlink(unnamed.c_str());
}

SharedFolder::~SharedFolder() {
  if (own_ < 0) return;
  ::unlink((folder_ + "/" + ownName_).c_str());
  ::close(own_);
}

SharedFolder::Others SharedFolder::others() {
  Others found;
  if (!usable()) return found;
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir(folder_.c_str()), ::closedir);
  if (!folder) return found;
  while (const dirent* entry = ::readdir(folder.get())) {
    const std::string name = entry->d_name;
    if (name.rfind(prefix_, 0) != 0 || name == ownName_) continue;
    const std::string path = folder_ + "/" + name;
    const File file(path, O_RDONLY);
    if (file.get() < 0) continue;
    if (::flock(file.get(), LOCK_EX | LOCK_NB) == 0) {  // its process has ended
      ::unlink(path.c_str());
      ::unlink((folder_ + "/" + receiverPrefix_ + name.substr(prefix_.size())).c_str());
      continue;
    }
    ++found.alive;
    struct stat status {};
    if (::fstat(file.get(), &status) != 0 || status.st_size == 0) continue;
    ++found.serving;
    found.receiver = receiverPrefix_ + name.substr(prefix_.size());
  }
  return found;
}

void SharedFolder::sayServing() {
  if (usable()) writeAll(own_, "serving\n");
}

std::optional<SharedFolder::Stamp> SharedFolder::stampOf(int descriptor) const {
  struct stat status {};
  if (::fstat(descriptor, &status) != 0) return std::nullopt;
  return Stamp{status.st_ino, status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size};
}

std::optional<std::string> SharedFolder::freshText() {
  if (!usable()) return std::nullopt;
  const File file(exclusionsPath_, O_RDONLY);
  if (file.get() < 0) return std::nullopt;
  const auto stamp = stampOf(file.get());
  if (!stamp || stamp == seen_) return std::nullopt;
  seen_ = stamp;
  std::string text(std::min<std::size_t>(static_cast<std::size_t>(stamp->size), kLargestFile), '\0');
  std::size_t have = 0;
  while (have < text.size()) {
    const auto count = ::read(file.get(), text.data() + have, text.size() - have);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    have += static_cast<std::size_t>(count);
  }
  text.resize(have);
  return text;
}

bool SharedFolder::write(const std::string& text) {
  if (!usable()) return false;
  const std::string whole = exclusionsPath_ + ".new." + std::to_string(::getpid());
  const File file(whole, O_WRONLY | O_CREAT | O_TRUNC);
  if (file.get() < 0) return false;
  if (!writeAll(file.get(), text) || std::rename(whole.c_str(), exclusionsPath_.c_str()) != 0) {
    ::unlink(whole.c_str());
    return false;
  }
  seen_ = stampOf(file.get());
  return true;
}

}  // namespace dahliastall::app
