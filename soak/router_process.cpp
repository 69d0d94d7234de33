#include "router_process.h"

#include <fcntl.h>
#include <sched.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "net/file_descriptor.h"
#include "settings.h"

namespace inference_router::soak {

namespace {

constexpr int kMaxStarts = 1'000;  // of one router, with a seed for each

void useCore(int core) {
  cpu_set_t cores;
  CPU_ZERO(&cores);
  CPU_SET(static_cast<std::size_t>(core), &cores);
  ::sched_setaffinity(0, sizeof cores, &cores);
}

}  // namespace

RouterProcess::RouterProcess(Programs programs,
                             std::string folder,
                             net::Endpoint listen,
                             net::Endpoint discovery,
                             nlohmann::json settings,
                             RouterLimits limits,
                             std::optional<int> core)
    : programs_(std::move(programs)),
      folder_(std::move(folder)),
      listen_(std::move(listen)),
      discovery_(std::move(discovery)),
      settings_(std::move(settings)),
      limits_(limits),
      core_(core) {}

RouterProcess::~RouterProcess() {
  if (!running())
    return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
}

nlohmann::json RouterProcess::configuration() const {
  return {{"name", "n0"},
          {"listen", textOf(listen_)},
          {"seed", std::to_string(listen_.port() * kMaxStarts + starts_)},
          {"discovery", textOf(discovery_)},
          {"settings", settings_},
          {"limits", {{"sockets", limits_.sockets}, {"memory_mb", limits_.memoryMb}}},
          {"known", knownList_}};
}

// Other processes see the old file or the new one, whole.
void RouterProcess::replaceConfiguration(const std::string& text) const {
  const std::string newPath = configurationPath() + ".new";
  std::ofstream(newPath) << text;
  std::filesystem::rename(newPath, configurationPath());
}

void RouterProcess::completeConfiguration() const {
  replaceConfiguration(configuration().dump());
}

void RouterProcess::moveDiscovery(const net::Endpoint& discovery, FileFault fault) {
  discovery_ = discovery;
  nlohmann::json next = configuration();
  const std::string text = next.dump();
  switch (fault) {
    case FileFault::kNone:
      return replaceConfiguration(text);
    case FileFault::kMissing:
      std::filesystem::remove(configurationPath());
      return;
    case FileFault::kTruncated:
      std::ofstream(configurationPath()) << text.substr(0, text.size() / 2);
      return;
    case FileFault::kOld:
      return;
    case FileFault::kUnusable:
      next["settings"]["peersTotal"] = 0;
      return replaceConfiguration(next.dump());
  }
}

void RouterProcess::start(nlohmann::json knownList) {
  knownList_ = std::move(knownList);
  ++starts_;
  completeConfiguration();
  std::vector<std::string> variables{"GW_CONFIG=" + configurationPath(), "TMPDIR=" + folder_,
                                     "ASAN_OPTIONS=verify_asan_link_order=0"};
  if (admin_)
    variables.push_back("GW_ADMIN_ADDR=" + textOf(*admin_));
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
  const std::string log = folder_ + "/" + logName_;
  process_ = ::fork();
  if (process_ != 0)
    return;
  const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  if (core_)
    useCore(*core_);
  const auto descriptors = static_cast<rlim_t>(limits_.sockets);
  const rlimit limit{descriptors, descriptors};
  ::setrlimit(RLIMIT_NOFILE, &limit);
  // A socket of the emulator's that lived on here would stay open as the emulator closes it.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  std::string program = programs_.router, word = "serve";
  char* const words[] = {program.data(), word.data(), nullptr};
  ::execve(program.c_str(), words, environment.data());
  ::_exit(127);
}

long RouterProcess::peakMemoryKb() const {
  constexpr std::string_view kPeak = "VmHWM:";
  if (!running())
    return 0;
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.rfind(kPeak, 0) == 0)
      return std::stol(line.substr(kPeak.size()));
  return 0;
}

bool RouterProcess::isReady() const {
  constexpr std::string_view kQuestion = "readyz\n", kYes = "ok";
  constexpr timeval kMaxWait{.tv_sec = 0, .tv_usec = 200'000};
  if (!admin_)
    return false;
  const net::FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &kMaxWait, sizeof kMaxWait);
  std::array<char, kYes.size()> answer{};
  return ::connect(socket.get(), admin_->data(), static_cast<socklen_t>(admin_->size())) == 0 &&
         ::send(socket.get(), kQuestion.data(), kQuestion.size(), MSG_NOSIGNAL) > 0 &&
         ::recv(socket.get(), answer.data(), answer.size(), MSG_WAITALL) > 0 &&
         std::string_view(answer.data(), answer.size()) == kYes;
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
  std::ifstream log(folder_ + "/" + logName_);
  for (std::string line; std::getline(log, line);)
    if (line.find(text) != std::string::npos)
      found.push_back(line);
  return found;
}

}  // namespace inference_router::soak
