/// One router of the soak: the real program as a process, with the library of system call faults
/// loaded.
#pragma once

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/endpoint.h"

namespace inference_router::soak {

struct Programs {
  std::string router, faults;  ///< paths of the program and of the library
};

class RouterProcess {
 public:
  /// folder: its own, with its configuration, its shared files and its log.
  RouterProcess(Programs programs,
                std::string folder,
                net::Endpoint listen,
                const net::Endpoint& discovery,
                const nlohmann::json& settings);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  /// Lines of the library's plan, for the processes that start from now on.
  void faults(std::vector<std::string> rules) { rules_ = std::move(rules); }
  void start();
  void signal(int number) const;
  bool running() const { return process_ > 0; }
  /// The exit status of the process once it has ended; a signal's number is negative.
  std::optional<int> ended();
  /// Lines of its log that hold a text.
  std::vector<std::string> logged(const std::string& text) const;
  const net::Endpoint& address() const { return listen_; }

 private:
  void writeConfiguration(const net::Endpoint& discovery, const nlohmann::json& settings) const;

  Programs programs_;
  std::string folder_;
  net::Endpoint listen_;
  std::vector<std::string> rules_;
  pid_t process_ = -1;
};

}  // namespace inference_router::soak
