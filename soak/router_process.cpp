#include "router_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

#include "settings.h"

namespace inference_router::soak {

RouterProcess::RouterProcess(Programs programs,
                             std::string folder,
                             net::Endpoint listen,
                             const net::Endpoint& discovery,
                             const nlohmann::json& settings)
    : programs_(std::move(programs)), folder_(std::move(folder)), listen_(std::move(listen)) {
  writeConfiguration(discovery, settings);
}

RouterProcess::~RouterProcess() {
  if (!running())
    return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
}

void RouterProcess::writeConfiguration(const net::Endpoint& discovery,
                                       const nlohmann::json& settings) const {
  std::ofstream(folder_ + "/config.json") << nlohmann::json{
      {"name", "n0"}, {"listen", textOf(listen_)},    {"discovery", textOf(discovery)},
      {"seed", "7"},  {"limits", {{"sockets", 256}}}, {"settings", settings}};
}

void RouterProcess::start() {
  std::vector<std::string> variables{"GW_CONFIG=" + folder_ + "/config.json", "TMPDIR=" + folder_,
                                     "ASAN_OPTIONS=verify_asan_link_order=0"};
  if (!rules_.empty()) {
    std::ofstream plan(folder_ + "/faults");
    for (const std::string& rule : rules_)
      plan << rule << '\n';
    variables.push_back("LD_PRELOAD=" + programs_.faults);
    variables.push_back("SYSTEM_CALL_FAULTS=" + folder_ + "/faults");
  }
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& variable : variables)
    environment.push_back(variable.data());
  environment.push_back(nullptr);
  const std::string log = folder_ + "/log";
  process_ = ::fork();
  if (process_ != 0)
    return;
  const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  // A socket of the emulator's that lived on here would stay open as the emulator closes it.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  std::string program = programs_.router, word = "serve";
  char* const words[] = {program.data(), word.data(), nullptr};
  ::execve(program.c_str(), words, environment.data());
  ::_exit(127);
}

void RouterProcess::signal(int number) const {
  if (running())
    ::kill(process_, number);
}

std::optional<int> RouterProcess::ended() {
  int status = 0;
  if (!running() || ::waitpid(process_, &status, WNOHANG) != process_)
    return std::nullopt;
  process_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::vector<std::string> RouterProcess::logged(const std::string& text) const {
  std::vector<std::string> found;
  std::ifstream log(folder_ + "/log");
  for (std::string line; std::getline(log, line);)
    if (line.find(text) != std::string::npos)
      found.push_back(line);
  return found;
}

}  // namespace inference_router::soak
