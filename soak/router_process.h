/// One router of the soak: the real program as a process, with the library of system call faults
/// loaded.
#pragma once

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/endpoint.h"
#include "plan.h"

namespace inference_router::soak {

struct Programs {
  std::string router, faults;  ///< paths of the program and of the library
};

class RouterProcess {
 public:
  /// folder: its own, with its configuration, its shared files and its log. core: the only one that
  /// it may use.
  RouterProcess(Programs programs,
                std::string folder,
                net::Endpoint listen,
                net::Endpoint discovery,
                nlohmann::json settings,
                RouterLimits limits,
                std::optional<int> core = std::nullopt);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  /// Changes the address of discovery in the configuration. From here on the file is complete and
  /// new at every start, and faulty as told meanwhile.
  void moveDiscovery(const net::Endpoint& discovery, FileFault fault);
  /// Ends the fault of the file.
  void completeConfiguration() const;
  /// Lines of the library's plan, for the processes that start from now on.
  void faults(std::vector<std::string> rules) { rules_ = std::move(rules); }
  /// The address of its admin endpoint, for processes that start from now on; it lets two of them
  /// serve at the same address.
  void setAdminAddress(const net::Endpoint& address) { admin_ = address; }
  /// Whether its admin endpoint says that it is ready. Waits for the answer, for 0.2 s at most.
  bool isReady() const;
  /// The name of its log in the folder, for processes that start from now on.
  void setLogName(std::string name) { logName_ = std::move(name); }
  /// knownList: the endpoint list that the configuration holds, as the router last had it.
  void start(nlohmann::json knownList);
  void signal(int number) const;
  bool running() const { return process_ > 0; }
  /// The exit status of the process once it has ended; a signal's number is negative.
  std::optional<int> ended();
  /// The most memory that the process has had resident, in KiB; 0 if it does not run.
  long peakMemoryKb() const;
  /// Lines of its log that hold a text.
  std::vector<std::string> logged(const std::string& text) const;
  const net::Endpoint& address() const { return listen_; }

 private:
  std::string configurationPath() const { return folder_ + "/config.json"; }
  nlohmann::json configuration() const;
  void replaceConfiguration(const std::string& text) const;

  Programs programs_;
  std::string folder_;
  net::Endpoint listen_, discovery_;
  nlohmann::json settings_, knownList_;
  RouterLimits limits_;
  std::optional<int> core_;
  std::optional<net::Endpoint> admin_;
  std::string logName_ = "log";
  std::vector<std::string> rules_;
  int starts_ = 0;
  pid_t process_ = -1;
};

}  // namespace inference_router::soak
