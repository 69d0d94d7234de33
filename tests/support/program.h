// Starts the program in tests: addresses on the loopback interface, processes that end with the
// test, and commands to the admin endpoint.
#pragma once

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <string_view>
#include <vector>

#include "support/network_fixture.h"
#include "support/temporary_directory.h"

extern char** environ;

namespace inference_router {

using net::textOf;

// Returns an endpoint at a loopback address that only this test process uses. At 127.0.0.1 a port
// that is free now may be taken by any other connection before the program binds it.
inline net::Endpoint freePort() {
  static std::uint16_t port = 20'000;
  const auto processId = static_cast<std::uint32_t>(::getpid()) & 0x3fffff;
  return {boost::asio::ip::address_v4(0x7f400000 | processId), ++port};  // in 127.64.0.0/10
}

class Programs {
 public:
  ~Programs() {
    for (const pid_t process : started_) {
      ::kill(process, SIGKILL);
      ::waitpid(process, nullptr, 0);
    }
  }

  // arguments: without the program's name. environment: entries NAME=value, added to this process's
  // environment without TMPDIR and GW_*.
  pid_t start(std::vector<std::string> arguments, const std::vector<std::string>& environment) {
    arguments.insert(arguments.begin(), INFERENCE_ROUTER_PROGRAM);
    std::vector<char*> argv, variables;
    for (const std::string& argument : arguments)
      argv.push_back(const_cast<char*>(argument.c_str()));
    for (char** variable = environ; *variable != nullptr; ++variable) {
      const std::string_view name(*variable);
      if (name.rfind("TMPDIR=", 0) != 0 && name.rfind("GW_", 0) != 0)
        variables.push_back(*variable);
    }
    for (const std::string& variable : environment)
      variables.push_back(const_cast<char*>(variable.c_str()));
    argv.push_back(nullptr);
    variables.push_back(nullptr);
    const pid_t process = ::fork();
    if (process == 0) {
      ::execve(argv[0], argv.data(), variables.data());
      ::_exit(127);
    }
    started_.push_back(process);
    return process;
  }

  // Returns the exit status of a process that has ended, -1 after a signal; nothing while it runs.
  std::optional<int> exitStatus(pid_t process) {
    int status = 0;
    if (::waitpid(process, &status, WNOHANG) != process)
      return std::nullopt;
    std::erase(started_, process);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  void kill(pid_t process) {
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    std::erase(started_, process);
  }

 private:
  std::vector<pid_t> started_;
};

// Sends one command to the admin endpoint and returns its response; empty without one.
inline std::string callAdmin(boost::asio::io_context& io,
                             const net::Endpoint& adminAddress,
                             const std::string& line) {
  RawPeer peer(io);
  try {
    peer.connect(adminAddress);
  } catch (const boost::system::system_error&) {
    return "";
  }
  peer.write(line + "\n");
  return until(io, [&] { return peer.ended(); }) ? peer.seen : "";
}

}  // namespace inference_router
