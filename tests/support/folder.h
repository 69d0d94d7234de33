// A folder of a test's own, which goes with the test.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace inference_router {

struct Folder {
  Folder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "dahliastall-test-XXXXXX").string();
    path = ::mkdtemp(name.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

}  // namespace inference_router
