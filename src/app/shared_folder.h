// What two processes of one conductor share while one replaces the other: a folder, in which each holds a
// lock on a file of its own, and one file of marks. A lock ends with its process, however that ends, so
// whatever a killed process leaves behind is known as such. Files are small and the folder is in memory:
// nothing here waits.
#pragma once

#include <optional>
#include <string>

namespace dahliastall::app {

class SharedFolder {
 public:
  // name: of the conductor, so that two of them may use one folder.
  SharedFolder(std::string folder, const std::string& name);
  ~SharedFolder();
  SharedFolder(const SharedFolder&) = delete;
  SharedFolder& operator=(const SharedFolder&) = delete;

  // False if the folder cannot be used; the process then takes itself to be alone.
  bool usable() const { return own_ >= 0; }

  struct Others {
    std::size_t alive = 0, serving = 0;
    std::string receiver;  // the name under which a serving one receives
    bool operator==(const Others&) const = default;
  };
  Others others();

  void sayServing();  // to the others
  const std::string& folder() const { return folder_; }
  const std::string& receiver() const { return receiver_; }  // this process's

  // The text of the file of marks, if it is there and is not what was read or written last.
  std::optional<std::string> freshText();
  bool write(const std::string& text);  // whole, or not at all

 private:
  struct Stamp {
    unsigned long long file = 0;
    long long seconds = 0, nanoseconds = 0, size = -1;
    bool operator==(const Stamp&) const = default;
  };
  std::optional<Stamp> stampOf(int descriptor) const;

  std::string folder_, prefix_, receiverPrefix_, ownName_, receiver_, exclusionsPath_;
  int own_ = -1;
  std::optional<Stamp> seen_;
};

}  // namespace dahliastall::app
