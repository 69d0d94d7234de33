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

constexpr std::size_t kMaxFileBytes = fleet::Exclusions::kMaxTextBytes;

std::string plainName(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0 && c != '-'; },
      '_');
  return name;
}

}  // namespace

SharedFolder::SharedFolder(std::string folder, const std::string& name)
    : folder_(std::move(folder)) {
  const std::string base = "dahliastall-" + plainName(name);
  const std::string processId = std::to_string(::getpid());
  processPrefix_ = base + ".process.";
  receiverPrefix_ = base + ".receiver.";
  processName_ = processPrefix_ + processId;
  receiverName_ = receiverPrefix_ + processId;
  temporaryPath_ = pathOf(base + ".new." + processId);
  exclusionsPath_ = pathOf(base + ".marks");
  join();
}

SharedFolder::~SharedFolder() {
  if (lock_)
    ::unlink(pathOf(processName_).c_str());
}

// The file is locked before it gets its name: one that can be seen and locked has lost its process.
bool SharedFolder::join() {
  if (lock_)
    return true;
  net::FileDescriptor file = openFile(temporaryPath_, O_RDWR | O_CREAT | O_TRUNC);
  if (!file)
    return false;
  if (::flock(file.get(), LOCK_EX | LOCK_NB) != 0 ||
      std::rename(temporaryPath_.c_str(), pathOf(processName_).c_str()) != 0) {
    ::unlink(temporaryPath_.c_str());
    return false;
  }
  lock_ = std::move(file);
  return true;
}

std::optional<SharedFolder::OtherProcesses> SharedFolder::otherProcesses() {
  if (!join())
    return std::nullopt;
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir(folder_.c_str()), ::closedir);
  if (!folder)
    return std::nullopt;
  OtherProcesses found;
  errno = 0;
  while (const dirent* entry = ::readdir(folder.get())) {
    const std::string name = entry->d_name;
    const bool isOther = name.rfind(processPrefix_, 0) == 0 && name != processName_;
    if (isOther && !addProcess(name, found))
      return std::nullopt;
    errno = 0;
  }
  return errno == 0 ? std::optional(found) : std::nullopt;
}

std::string SharedFolder::receiverNameOf(const std::string& processName) const {
  return receiverPrefix_ + processName.substr(processPrefix_.size());
}

// False if the state of the process is not known: one that cannot be seen must not count as gone.
bool SharedFolder::addProcess(const std::string& name, OtherProcesses& found) const {
  const std::string path = pathOf(name);
  const net::FileDescriptor file = openFile(path, O_RDONLY);
  if (!file)
    return errno == ENOENT;
  if (::flock(file.get(), LOCK_EX | LOCK_NB) == 0) {  // its process has ended
    ::unlink(path.c_str());
    ::unlink(pathOf(receiverNameOf(name)).c_str());
    return true;
  }
  ++found.running;
  struct stat status {};
  if (::fstat(file.get(), &status) != 0)
    return false;
  const bool serves = status.st_size > 0;
  if (serves || found.serving == 0)
    found.receiverName = receiverNameOf(name);
  found.serving += serves ? 1 : 0;
  return true;
}

bool SharedFolder::announceServing() {
  return join() && writeAll(lock_.get(), "serving\n");
}

bool SharedFolder::withdrawServing() {
  return lock_ && ::ftruncate(lock_.get(), 0) == 0;
}

std::optional<SharedFolder::FileVersion> SharedFolder::versionOf(int descriptor) {
  struct stat status {};
  if (::fstat(descriptor, &status) != 0)
    return std::nullopt;
  return FileVersion{status.st_ino, status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size};
}

SharedFolder::ReadResult SharedFolder::readExclusions() {
  const net::FileDescriptor file = openFile(exclusionsPath_, O_RDONLY);
  if (!file)
    return {errno == ENOENT ? ReadStatus::kAbsent : ReadStatus::kUnreadable};
  const auto version = versionOf(file.get());
  if (!version)
    return {ReadStatus::kUnreadable};
  if (version == knownVersion_)
    return {ReadStatus::kUnchanged};
  const std::size_t size =
      std::min<std::size_t>(static_cast<std::size_t>(version->size), kMaxFileBytes);
  auto text = readUpTo(file.get(), size);
  if (!text || text->size() < size)
    return {ReadStatus::kUnreadable};
  knownVersion_ = version;
  return {ReadStatus::kFresh, std::move(*text)};
}

bool SharedFolder::writeExclusions(const std::string& text) {
  if (!join())
    return false;
  const std::string temporary = exclusionsPath_ + ".new." + std::to_string(::getpid());
  const net::FileDescriptor file = openFile(temporary, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file)
    return false;
  if (!writeAll(file.get(), text) || !sync(file.get()) ||
      std::rename(temporary.c_str(), exclusionsPath_.c_str()) != 0) {
    ::unlink(temporary.c_str());
    return false;
  }
  knownVersion_ = versionOf(file.get());
  return syncFolder();
}

// Until the folder is synced, a crash of the machine may bring the old file back.
bool SharedFolder::syncFolder() const {
  const net::FileDescriptor folder = openFile(folder_, O_RDONLY | O_DIRECTORY);
  if (!folder)
    return false;
  return sync(folder.get()) || errno == EINVAL;  // where a file system has nothing to sync
}

}  // namespace inference_router::app
