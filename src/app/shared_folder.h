/// What two processes of one router share while one replaces the other: a folder, in which each
/// holds a lock on a file of its own, and one file of operators' exclusions. A lock ends with its
/// process, however that ends, so whatever a killed process leaves behind is known as such.
///
/// Any call may fail for a time. Nothing is given up then: who calls learns of it and calls again.
/// A file is replaced whole and synced, or not at all. Files are small, and the folder is in memory
/// or on a local disk.
#pragma once

#include <optional>
#include <string>

#include "net/file_descriptor.h"

namespace inference_router::app {

class SharedFolder {
 public:
  /// name: of the router, so that two of them may use one folder.
  SharedFolder(std::string folder, const std::string& name);
  ~SharedFolder();
  SharedFolder(const SharedFolder&) = delete;
  SharedFolder& operator=(const SharedFolder&) = delete;

  /// Makes this process known in the folder, if it is not yet. False while it cannot; then nothing
  /// else here works.
  bool join();

  struct OtherProcesses {
    std::size_t running = 0;   ///< all of them
    std::size_t serving = 0;   ///< those that said that they serve and have not withdrawn it
    std::string receiverName;  ///< of a serving one; if none serves, of any; empty if there is none
    bool operator==(const OtherProcesses&) const = default;
  };
  /// The other processes; nothing if the folder cannot be looked through now.
  std::optional<OtherProcesses> otherProcesses();

  /// Tells the others that this process serves. False if they may not learn of it.
  [[nodiscard]] bool announceServing();

  /// Tells the others that this process ends and is nobody's successor. False if they may not learn
  /// of it.
  [[nodiscard]] bool withdrawServing();

  const std::string& folder() const { return folder_; }
  /// The name of the socket on which this process receives open streams.
  const std::string& receiverName() const { return receiverName_; }

  enum class ReadStatus {
    kUnchanged,   ///< since it was read or written last
    kAbsent,      ///< there is no file
    kFresh,       ///< the text is new
    kUnreadable,  ///< the file cannot be read now; what it says is not known
  };
  struct ReadResult {
    ReadStatus status = ReadStatus::kUnreadable;
    std::string text{};
  };
  ReadResult readExclusions();

  /// Replaces the file. False if the text may not outlast this process; the old text is then still
  /// there, or the new one is and the system could not say that it lasts.
  [[nodiscard]] bool writeExclusions(const std::string& text);

 private:
  /// Tells one version of a file from another without reading it.
  struct FileVersion {
    unsigned long long inode = 0;
    long long seconds = 0, nanoseconds = 0, size = -1;
    bool operator==(const FileVersion&) const = default;
  };
  static std::optional<FileVersion> versionOf(int descriptor);
  bool addProcess(const std::string& name, OtherProcesses& found) const;
  std::string receiverNameOf(const std::string& processName) const;
  std::string pathOf(const std::string& name) const { return folder_ + "/" + name; }
  bool syncFolder() const;

  std::string folder_, processPrefix_, receiverPrefix_;
  std::string processName_, receiverName_, temporaryPath_, exclusionsPath_;
  net::FileDescriptor lock_;  // on this process's own file; empty until join() succeeds
  std::optional<FileVersion> knownVersion_;  // of the exclusions that were read or written last
};

}  // namespace inference_router::app
