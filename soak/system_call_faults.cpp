#include "system_call_faults.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <mutex>
#include <sstream>
#include <string_view>

namespace system_call_faults {
namespace {

constexpr std::size_t kMostRules = 64;

struct Counted {
  Rule rule;
  std::atomic<std::uint64_t> seen{0};
};

struct Named {
  const char* name;
  int value;
};

constexpr std::array kErrors{
    Named{"EINTR", EINTR},
    Named{"EAGAIN", EAGAIN},
    Named{"ECONNABORTED", ECONNABORTED},
    Named{"EMFILE", EMFILE},
    Named{"ENFILE", ENFILE},
    Named{"ENOBUFS", ENOBUFS},
    Named{"ENOMEM", ENOMEM},
    Named{"EADDRNOTAVAIL", EADDRNOTAVAIL},
    Named{"ENETUNREACH", ENETUNREACH},
    Named{"ETIMEDOUT", ETIMEDOUT},
    Named{"EHOSTUNREACH", EHOSTUNREACH},
    Named{"ECONNREFUSED", ECONNREFUSED},
    Named{"ECONNRESET", ECONNRESET},
    Named{"ENOSPC", ENOSPC},
    Named{"EIO", EIO},
    Named{"EPROTO", EPROTO},
};

constexpr std::array kCalls{
    Named{"accept", static_cast<int>(Call::kAccept)},
    Named{"clock", static_cast<int>(Call::kClock)},
    Named{"connect", static_cast<int>(Call::kConnect)},
    Named{"fsync", static_cast<int>(Call::kFsync)},
    Named{"open", static_cast<int>(Call::kOpen)},
    Named{"poll", static_cast<int>(Call::kPoll)},
    Named{"read", static_cast<int>(Call::kRead)},
    Named{"receive", static_cast<int>(Call::kReceive)},
    Named{"rename", static_cast<int>(Call::kRename)},
    Named{"send", static_cast<int>(Call::kSend)},
    Named{"socket", static_cast<int>(Call::kSocket)},
    Named{"write", static_cast<int>(Call::kWrite)},
};

template <std::size_t N>
std::optional<int> valueOf(const std::array<Named, N>& table, std::string_view name) {
  const auto it = std::find_if(table.begin(), table.end(),
                               [name](const Named& entry) { return entry.name == name; });
  return it == table.end() ? std::nullopt : std::optional(it->value);
}

// Rules are replaced only between uses by tests; a process that reads a plan has them for its life.
std::array<Counted, kMostRules> rules;
std::atomic<std::size_t> count{0};
std::atomic<std::uint64_t> hitCount{0};

template <typename Function>
Function next(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

int realClock(clockid_t clock, timespec* time) {
  static const auto real = next<int (*)(clockid_t, timespec*)>("clock_gettime");
  return real(clock, time);
}

double monotonicMs() {
  timespec now{};
  realClock(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

bool names(const Rule& rule, const char* path) {
  return rule.path.empty() ||
         (path != nullptr && std::string_view(path).find(rule.path) != std::string_view::npos);
}

// The rule that hits this call, if any does.
const Rule* hit(Call call, const char* path = nullptr) {
  const std::size_t most = count.load();
  if (most == 0)
    return nullptr;
  double now = -1;
  for (std::size_t i = 0; i < most; ++i) {
    const Rule& rule = rules[i].rule;
    if (rule.call != call || !names(rule, path))
      continue;
    if (now < 0)
      now = monotonicMs();
    if (now < rule.fromMs || now >= rule.untilMs)
      continue;
    if (rules[i].seen++ % static_cast<std::uint64_t>(std::max(1, rule.every)) != 0)
      continue;
    ++hitCount;
    return &rule;
  }
  return nullptr;
}

// What a call with this many bytes may move; nothing if it fails, with errno set.
std::optional<std::size_t> allowed(const Rule* rule, std::size_t bytes) {
  if (rule == nullptr)
    return bytes;
  if (rule->error == 0)
    return std::max<std::size_t>(1, bytes / 2);
  errno = rule->error;
  return std::nullopt;
}

std::size_t sizeOf(const iovec* parts, std::size_t number) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < number; ++i)
    size += parts[i].iov_len;
  return size;
}

// The first bytes of a message in parts.
struct ShortMessage {
  ShortMessage(const msghdr& whole, std::size_t bytes) : message(whole) {
    const std::size_t number = std::min<std::size_t>(whole.msg_iovlen, parts.size());
    std::size_t used = 0;
    for (; used < number && bytes > 0; ++used) {
      parts[used] = whole.msg_iov[used];
      parts[used].iov_len = std::min(parts[used].iov_len, bytes);
      bytes -= parts[used].iov_len;
    }
    message.msg_iov = parts.data();
    message.msg_iovlen = used;
  }
  msghdr message;
  std::array<iovec, 64> parts{};
};

double stepMs() {
  double step = 0;
  const std::size_t most = count.load();
  for (std::size_t i = 0; i < most; ++i) {
    const Rule& rule = rules[i].rule;
    if (rule.call != Call::kClock)
      continue;
    const double now = monotonicMs();
    if (now >= rule.fromMs && now < rule.untilMs)
      step += rule.stepMs;
  }
  return step;
}

bool readField(Rule& rule, const std::string& word) {
  const std::size_t equals = word.find('=');
  if (equals == std::string::npos)
    return false;
  const std::string name = word.substr(0, equals), value = word.substr(equals + 1);
  if (name == "path")
    rule.path = value;
  else if (name == "every")
    rule.every = std::atoi(value.c_str());
  else if (name == "from")
    rule.fromMs = std::atof(value.c_str());
  else if (name == "until")
    rule.untilMs = std::atof(value.c_str());
  else if (name == "step")
    rule.stepMs = std::atof(value.c_str());
  else
    return false;
  return true;
}

std::optional<Rule> readRule(const std::string& line) {
  std::istringstream words(line);
  std::string call, fault, word;
  if (!(words >> call >> fault))
    return std::nullopt;
  Rule rule;
  const auto which = valueOf(kCalls, call);
  if (!which)
    return std::nullopt;
  rule.call = static_cast<Call>(*which);
  if (fault != "short" && fault != "step") {
    const auto error = valueOf(kErrors, fault);
    if (!error)
      return std::nullopt;
    rule.error = *error;
  }
  while (words >> word)
    if (!readField(rule, word))
      return std::nullopt;
  return rule;
}

}  // namespace

void install(std::vector<Rule> fresh) {
  count = 0;
  hitCount = 0;
  const std::size_t most = std::min(fresh.size(), kMostRules);
  for (std::size_t i = 0; i < most; ++i) {
    rules[i].rule = std::move(fresh[i]);
    rules[i].seen = 0;
  }
  count = most;
}

void clear() {
  install({});
}

std::uint64_t hits() {
  return hitCount;
}

std::optional<std::vector<Rule>> parsePlan(const std::string& text) {
  std::vector<Rule> plan;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty() || line.front() == '#')
      continue;
    auto rule = readRule(line);
    if (!rule)
      return std::nullopt;
    plan.push_back(std::move(*rule));
  }
  return plan;
}

#ifdef SYSTEM_CALL_FAULTS_PRELOADED
namespace {

// A process whose plan cannot be read must not pass for one without faults.
bool readPlan() {
  const char* path = std::getenv("SYSTEM_CALL_FAULTS");
  if (path == nullptr)
    return false;
  std::string text;
  if (std::FILE* file = std::fopen(path, "r")) {
    std::array<char, 4096> part{};
    while (const std::size_t got = std::fread(part.data(), 1, part.size(), file))
      text.append(part.data(), got);
    std::fclose(file);
  }
  auto plan = parsePlan(text);
  if (!plan || plan->empty()) {
    std::fputs("the plan of system call faults cannot be read\n", stderr);
    ::_exit(126);
  }
  install(std::move(*plan));
  return true;
}

[[maybe_unused]] const bool planned = readPlan();  // after the rules, which stand above

}  // namespace
#endif

}  // namespace system_call_faults

// ---- The functions of the C library
// -------------------------------------------------------------------

using system_call_faults::Call;

// The interposed functions, with parameter names of their own.
// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name)
extern "C" {

ssize_t recv(int descriptor, void* into, size_t size, int flags) {
  static const auto real = system_call_faults::next<ssize_t (*)(int, void*, size_t, int)>("recv");
  // A look at what has come is never short: only what takes bytes out is.
  const auto* rule = system_call_faults::hit(Call::kReceive);
  if (rule != nullptr && rule->error == 0 && (flags & MSG_PEEK) != 0)
    rule = nullptr;
  const auto most = system_call_faults::allowed(rule, size);
  return most ? real(descriptor, into, *most, flags) : -1;
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto real = system_call_faults::next<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  const std::size_t size = system_call_faults::sizeOf(message->msg_iov, message->msg_iovlen);
  const auto most = system_call_faults::allowed(system_call_faults::hit(Call::kReceive), size);
  if (!most)
    return -1;
  if (*most == size)
    return real(descriptor, message, flags);
  system_call_faults::ShortMessage part(*message, *most);
  const ssize_t got = real(descriptor, &part.message, flags);
  message->msg_controllen = part.message.msg_controllen;
  message->msg_flags = part.message.msg_flags;
  return got;
}

ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  static const auto real =
      system_call_faults::next<ssize_t (*)(int, const void*, size_t, int)>("send");
  const auto most = system_call_faults::allowed(system_call_faults::hit(Call::kSend), size);
  return most ? real(descriptor, bytes, *most, flags) : -1;
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real =
      system_call_faults::next<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  const std::size_t size = system_call_faults::sizeOf(message->msg_iov, message->msg_iovlen);
  const auto most = system_call_faults::allowed(system_call_faults::hit(Call::kSend), size);
  if (!most)
    return -1;
  if (*most == size)
    return real(descriptor, message, flags);
  const system_call_faults::ShortMessage part(*message, *most);
  return real(descriptor, &part.message, flags);
}

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  static const auto real = system_call_faults::next<int (*)(int, sockaddr*, socklen_t*)>("accept");
  if (!system_call_faults::allowed(system_call_faults::hit(Call::kAccept), 1))
    return -1;
  return real(descriptor, address, size);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto real =
      system_call_faults::next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (!system_call_faults::allowed(system_call_faults::hit(Call::kAccept), 1))
    return -1;
  return real(descriptor, address, size, flags);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real =
      system_call_faults::next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const auto* rule = system_call_faults::hit(Call::kConnect);
  if (rule != nullptr && rule->error == EINTR) {  // interrupted, it goes on by itself
    [[maybe_unused]] const int begun = real(descriptor, address, size);
    errno = EINTR;
    return -1;
  }
  return system_call_faults::allowed(rule, 1) ? real(descriptor, address, size) : -1;
}

int socket(int domain, int type, int protocol) {
  static const auto real = system_call_faults::next<int (*)(int, int, int)>("socket");
  return system_call_faults::allowed(system_call_faults::hit(Call::kSocket), 1)
             ? real(domain, type, protocol)
             : -1;
}

int poll(pollfd* sockets, nfds_t number, int timeoutMs) {
  static const auto real = system_call_faults::next<int (*)(pollfd*, nfds_t, int)>("poll");
  return system_call_faults::allowed(system_call_faults::hit(Call::kPoll), 1)
             ? real(sockets, number, timeoutMs)
             : -1;
}

ssize_t read(int descriptor, void* into, size_t size) {
  static const auto real = system_call_faults::next<ssize_t (*)(int, void*, size_t)>("read");
  const auto most = system_call_faults::allowed(system_call_faults::hit(Call::kRead), size);
  return most ? real(descriptor, into, *most) : -1;
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto real = system_call_faults::next<ssize_t (*)(int, const void*, size_t)>("write");
  const auto most = system_call_faults::allowed(system_call_faults::hit(Call::kWrite), size);
  return most ? real(descriptor, bytes, *most) : -1;
}

int fsync(int descriptor) {
  static const auto real = system_call_faults::next<int (*)(int)>("fsync");
  return system_call_faults::allowed(system_call_faults::hit(Call::kFsync), 1) ? real(descriptor)
                                                                               : -1;
}

int rename(const char* from, const char* to) {
  static const auto real = system_call_faults::next<int (*)(const char*, const char*)>("rename");
  return system_call_faults::allowed(system_call_faults::hit(Call::kRename, to), 1) ? real(from, to)
                                                                                    : -1;
}

int open(const char* path, int flags, ...) {
  static const auto real = system_call_faults::next<int (*)(const char*, int, ...)>("open");
  va_list rest;
  va_start(rest, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(rest, mode_t) : 0;
  va_end(rest);
  return system_call_faults::allowed(system_call_faults::hit(Call::kOpen, path), 1)
             ? real(path, flags, mode)
             : -1;
}

int clock_gettime(clockid_t clock, timespec* time) {
  const int result = system_call_faults::realClock(clock, time);
  if (clock != CLOCK_REALTIME || result != 0)
    return result;
  const auto step = static_cast<long long>(system_call_faults::stepMs() * 1e6);
  if (step == 0)
    return result;
  constexpr long long kSecond = 1'000'000'000;
  const long long moved = static_cast<long long>(time->tv_sec) * kSecond + time->tv_nsec + step;
  time->tv_sec = moved / kSecond;
  time->tv_nsec = moved % kSecond;
  return result;
}

}  // extern "C"
// NOLINTEND(readability-inconsistent-declaration-parameter-name)
