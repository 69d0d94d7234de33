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

  struct Others {
    std::size_t alive = 0, serving = 0;
    std::string receiver;  ///< the name under which a serving one receives
    bool operator==(const Others&) const = default;
  };
  /// The other processes; nothing if the folder cannot be looked through now.
  std::optional<Others> others();

  /// Tells the others that this process serves. False if they may not learn of it.
  [[nodiscard]] bool sayServing();

  const std::string& folder() const { return folder_; }
  const std::string& receiver() const { return receiver_; }  ///< this process's

  enum class ReadStatus {
    kUnchanged,   ///< since it was read or written last
    kAbsent,      ///< there is no file
    kFresh,       ///< the text is new
    kUnreadable,  ///< the file cannot be read now; what it says is not known
  };
  struct Read {
    ReadStatus status = ReadStatus::kUnreadable;
    std::string text{};
  };
  Read readExclusions();

  /// Replaces the file. False if the text may not outlast this process; the old text is then still
  /// there, or the new one is and the system could not say that it lasts.
  [[nodiscard]] bool writeExclusions(const std::string& text);

 private:
  struct Stamp {
    unsigned long long file = 0;
    long long seconds = 0, nanoseconds = 0, size = -1;
    bool operator==(const Stamp&) const = default;
  };
  static std::optional<Stamp> stampOf(int descriptor);
  bool countProcess(const std::string& name, Others& found) const;
  bool syncFolder() const;

  std::string folder_, prefix_, receiverPrefix_, unnamed_, ownName_, receiver_, exclusionsPath_;
  int own_ = -1;
  std::optional<Stamp> seen_;
};

}  // namespace inference_router::app
