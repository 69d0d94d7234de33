#include "app/shared_folder.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <memory>
#include <utility>

#include "app/files.h"
#include "fleet/exclusions.h"

namespace inference_router::app {

namespace {

constexpr std::size_t kLargestFile = fleet::Exclusions::kMaxTextBytes;

std::string plainName(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0 && c != '-'; },
      '_');
  return name;
}

}  // namespace

SharedFolder::SharedFolder(std::string folder, const std::string& name)
    : folder_(std::move(folder)),
      prefix_("dahliastall-" + plainName(name) + ".process."),
      receiverPrefix_("dahliastall-" + plainName(name) + ".receiver."),
      unnamed_(folder_ + "/dahliastall-" + plainName(name) + ".new." + std::to_string(::getpid())),
      ownName_(prefix_ + std::to_string(::getpid())),
      receiver_(receiverPrefix_ + std::to_string(::getpid())),
      exclusionsPath_(folder_ + "/dahliastall-" + plainName(name) + ".marks") {
  join();
}

SharedFolder::~SharedFolder() {
  if (own_ < 0)
    return;
  ::unlink((folder_ + "/" + ownName_).c_str());
  ::close(own_);
}

// The lock is there before the name is: a file that can be seen and locked has lost its process.
bool SharedFolder::join() {
  if (own_ >= 0)
    return true;
  File file(unnamed_, O_RDWR | O_CREAT | O_TRUNC);
  if (!file)
    return false;
  if (::flock(file.get(), LOCK_EX | LOCK_NB) != 0 ||
      std::rename(unnamed_.c_str(), (folder_ + "/" + ownName_).c_str()) != 0) {
    ::unlink(unnamed_.c_str());
    return false;
  }
  own_ = file.release();
  return true;
}

std::optional<SharedFolder::Others> SharedFolder::others() {
  if (!join())
    return std::nullopt;
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir(folder_.c_str()), ::closedir);
  if (!folder)
    return std::nullopt;
  Others found;
  errno = 0;
  while (const dirent* entry = ::readdir(folder.get())) {
    const std::string name = entry->d_name;
    const bool other = name.rfind(prefix_, 0) == 0 && name != ownName_;
    if (other && !countProcess(name, found))
      return std::nullopt;
    errno = 0;
  }
  return errno == 0 ? std::optional(found) : std::nullopt;
}

// False if it cannot be told what the file stands for: who is not seen must not pass for gone.
bool SharedFolder::countProcess(const std::string& name, Others& found) const {
  const std::string path = folder_ + "/" + name;
  const File file(path, O_RDONLY);
  if (!file)
    return errno == ENOENT;
  if (::flock(file.get(), LOCK_EX | LOCK_NB) == 0) {  // its process has ended
    ::unlink(path.c_str());
    ::unlink((folder_ + "/" + receiverPrefix_ + name.substr(prefix_.size())).c_str());
    return true;
  }
  ++found.alive;
  struct stat status {};
  if (::fstat(file.get(), &status) != 0)
    return false;
  if (status.st_size == 0)
    return true;
  ++found.serving;
  found.receiver = receiverPrefix_ + name.substr(prefix_.size());
  return true;
}

bool SharedFolder::sayServing() {
  return join() && writeAll(own_, "serving\n");
}

std::optional<SharedFolder::Stamp> SharedFolder::stampOf(int descriptor) {
  struct stat status {};
  if (::fstat(descriptor, &status) != 0)
    return std::nullopt;
  return Stamp{status.st_ino, status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size};
}

SharedFolder::Read SharedFolder::readExclusions() {
  const File file(exclusionsPath_, O_RDONLY);
  if (!file)
    return {errno == ENOENT ? ReadStatus::kAbsent : ReadStatus::kUnreadable};
  const auto stamp = stampOf(file.get());
  if (!stamp)
    return {ReadStatus::kUnreadable};
  if (stamp == seen_)
    return {ReadStatus::kUnchanged};
  const std::size_t size =
      std::min<std::size_t>(static_cast<std::size_t>(stamp->size), kLargestFile);
  auto text = readUpTo(file.get(), size);
  if (!text || text->size() < size)
    return {ReadStatus::kUnreadable};
  seen_ = stamp;
  return {ReadStatus::kFresh, std::move(*text)};
}

bool SharedFolder::writeExclusions(const std::string& text) {
  if (!join())
    return false;
  const std::string beside = exclusionsPath_ + ".new." + std::to_string(::getpid());
  const File file(beside, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file)
    return false;
  if (!writeAll(file.get(), text) || !sync(file.get()) ||
      std::rename(beside.c_str(), exclusionsPath_.c_str()) != 0) {
    ::unlink(beside.c_str());
    return false;
  }
  seen_ = stampOf(file.get());
  return syncFolder();
}

// Until then a crash of the machine may bring the old file back.
bool SharedFolder::syncFolder() const {
  const File folder(folder_, O_RDONLY | O_DIRECTORY);
  if (!folder)
    return false;
  return sync(folder.get()) || errno == EINVAL;  // where a file system has nothing to sync
}

}  // namespace inference_router::app
