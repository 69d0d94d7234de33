// A temporary directory for one test, removed when the test ends.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace inference_router {

struct TemporaryDirectory {
  TemporaryDirectory() {
    std::string name =
        (std::filesystem::temp_directory_path() / "dahliastall-test-XXXXXX").string();
    path = ::mkdtemp(name.data());
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  std::string path;
};

}  // namespace inference_router
