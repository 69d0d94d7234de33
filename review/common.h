// What the cases share: sockets on the loopback interface, HTTP/1.1 messages, the router as a
// process of its own, and the record. Blocking sockets, a thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace review {

// ---- Time and record

inline double nowMs() {
  using namespace std::chrono;
  static const auto begin = steady_clock::now();
  return duration<double, std::milli>(steady_clock::now() - begin).count();
}
inline void sleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// record.txt of the case: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.1f ms  ", nowMs());
    file_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// ---- Sockets

struct Address {
  std::string host = "127.0.0.1";
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

inline int boundSocket(Address& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in name = socketAddress(address);
  socklen_t size = sizeof name;
  if (::bind(socket, reinterpret_cast<sockaddr*>(&name), size) != 0)
    return -1;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&name), &size);
  address.port = ntohs(name.sin_port);
  return socket;
}

/// An address that is free now; at a loopback address that only this process is likely to use.
inline Address freeAddress() {
  const int id = static_cast<int>(::getpid());
  Address address{"127." + std::to_string(64 + ((id >> 14) & 63)) + "." +
                      std::to_string((id >> 7) & 127) + "." + std::to_string(1 + (id & 127)),
                  0};
  const int socket = boundSocket(address);
  ::close(socket);
  return address;
}

inline int connectTo(const Address& address, double timeoutMs = 2'000) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in name = socketAddress(address);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) {
    pollfd entry{socket, POLLOUT, 0};
    int error = errno;
    socklen_t size = sizeof error;
    if (error == EINPROGRESS && ::poll(&entry, 1, static_cast<int>(timeoutMs)) > 0)
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, 0);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

inline bool sendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

// ---- HTTP/1.1

/// Reads messages from a connection, with a limit for each wait.
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}

  /// More bytes into the buffer; false at the end, on an error, or after the wait.
  bool more(double waitMs) {
    pollfd entry{socket_, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(std::max(0.0, waitMs))) <= 0) {
      timedOut = true;
      return false;
    }
    char bytes[16384];
    const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count <= 0) {
      closed = true;
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  /// Up to and with the text; nothing if it does not come.
  std::optional<std::string> until(const std::string& text, double waitMs) {
    const double endMs = nowMs() + waitMs;
    std::size_t at = 0;
    while ((at = buffer.find(text)) == std::string::npos)
      if (!more(endMs - nowMs()))
        return std::nullopt;
    std::string result = buffer.substr(0, at + text.size());
    buffer.erase(0, at + text.size());
    return result;
  }
  std::optional<std::string> bytes(std::size_t count, double waitMs) {
    const double endMs = nowMs() + waitMs;
    while (buffer.size() < count)
      if (!more(endMs - nowMs()))
        return std::nullopt;
    std::string result = buffer.substr(0, count);
    buffer.erase(0, count);
    return result;
  }

  std::string buffer;
  bool closed = false, timedOut = false;

 private:
  int socket_;
};

struct Message {
  std::string firstLine;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  std::string word(std::size_t index) const {
    std::istringstream words(firstLine);
    std::string word;
    for (std::size_t i = 0; i <= index; ++i)
      words >> word;
    return word;
  }
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

inline std::optional<Message> readHead(Reader& reader, double waitMs) {
  const auto head = reader.until("\r\n\r\n", waitMs);
  if (!head)
    return std::nullopt;
  Message message;
  std::istringstream lines(*head);
  std::string line;
  std::getline(lines, line);
  message.firstLine = line.substr(0, line.find('\r'));
  while (std::getline(lines, line)) {
    line = line.substr(0, line.find('\r'));
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.fields[name] = value;
  }
  return message;
}

/// A request, whole; the wait is for its first byte and for the rest.
inline std::optional<Message> readRequest(Reader& reader, double waitMs) {
  auto message = readHead(reader, waitMs);
  if (!message)
    return std::nullopt;
  const auto length = static_cast<std::size_t>(std::atol(message->field("content-length").c_str()));
  const auto body = reader.bytes(length, waitMs);
  if (!body)
    return std::nullopt;
  message->body = *body;
  return message;
}

/// How the answer to a request came out, as its client saw it.
struct Answer {
  int status = 0;         // 0: no head came
  std::string body;       // of a chunked one, without the chunks' sizes
  bool complete = false;  // to its length, or to its last chunk
  bool connected = false;
  double tookMs = 0;
  bool timedOut = false;  // the client has waited to its limit
  std::string text() const {
    if (!connected)
      return "no connection";
    if (status == 0)
      return timedOut ? "no answer in the client's time" : "connection ended, no answer";
    return std::to_string(status) + (complete ? "" : timedOut ? ", never ended" : ", broken off");
  }
};

inline Answer readAnswer(int socket,
                         Reader& reader,
                         double waitMs,
                         const std::function<void()>& onHead = nullptr) {
  (void)socket;
  Answer answer;
  answer.connected = true;
  const double begunMs = nowMs(), endMs = begunMs + waitMs;
  const auto end = [&] {
    answer.tookMs = nowMs() - begunMs;
    answer.timedOut = !answer.complete && reader.timedOut;
    return answer;
  };
  const auto head = readHead(reader, waitMs);
  if (!head)
    return end();
  answer.status = head->status();
  if (onHead)
    onHead();
  if (head->field("transfer-encoding") == "chunked") {
    while (true) {
      const auto line = reader.until("\r\n", endMs - nowMs());
      if (!line)
        return end();
      const auto size = static_cast<std::size_t>(std::strtoul(line->c_str(), nullptr, 16));
      const auto chunk = reader.bytes(size + 2, endMs - nowMs());
      if (!chunk)
        return end();
      if (size == 0)
        break;
      answer.body += chunk->substr(0, size);
    }
  } else {
    const auto length = static_cast<std::size_t>(std::atol(head->field("content-length").c_str()));
    const auto body = reader.bytes(length, endMs - nowMs());
    if (!body)
      return end();
    answer.body = *body;
  }
  answer.complete = true;
  return end();
}

inline std::string chunk(const std::string& data) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

// ---- Stand-ins

/// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(int socket)>;
  explicit Server(Serve serve) : serve_(std::move(serve)) {
    socket_ = boundSocket(address);
    ::listen(socket_, 256);
    std::thread([this] {
      while (true) {
        const int peer = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0)
          continue;
        const int on = 1;
        ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, peer] {
          serve_(peer);
          ::close(peer);
        }).detach();
      }
    }).detach();
  }
  Address address;

 private:
  Serve serve_;
  int socket_ = -1;
};

// ---- The router

inline std::string readFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline std::string replaced(std::string text, const std::string& what, const std::string& by) {
  for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += by.size())
    text.replace(at, what.size(), by);
  return text;
}

/// The command of the deploy file under this key.
inline std::string deployCommand(const std::string& root, const std::string& key) {
  std::istringstream lines(readFile(root + "/deploy/balancer.toml"));
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(key + " = \"", 0) != 0)
      continue;
    const std::size_t begin = line.find('"') + 1;
    return line.substr(begin, line.find('"', begin) - begin);
  }
  return "";
}

/// A router as a process of its own, by the deploy file's command, from the project's root.
class Router {
 public:
  Router(std::string root, std::string folder)
      : root_(std::move(root)), folder_(std::move(folder)) {}
  ~Router() { end(); }

  void start(const std::string& arguments, const std::vector<std::string>& environment) {
    const std::string command = deployCommand(root_, "run") + arguments;
    const std::string log = folder_ + "/router.log";
    std::vector<std::string> variables = environment;
    variables.push_back("TMPDIR=" + folder_);
    for (char** variable = environ; *variable != nullptr; ++variable)
      if (std::strncmp(*variable, "TMPDIR=", 7) != 0 && std::strncmp(*variable, "GW_", 3) != 0)
        variables.emplace_back(*variable);
    std::vector<char*> pointers;
    for (std::string& variable : variables)
      pointers.push_back(variable.data());
    pointers.push_back(nullptr);
    process_ = ::fork();
    if (process_ != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, whatever ends that
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    if (::chdir(root_.c_str()) != 0)
      ::_exit(126);
    const char* words[] = {"/bin/sh", "-c", command.c_str(), nullptr};
    ::execve(words[0], const_cast<char**>(words), pointers.data());
    ::_exit(127);
  }
  void signal(int number) const {
    if (process_ > 0)
      ::kill(process_, number);
  }
  /// How it has ended; nothing while it runs.
  std::optional<std::string> ended() {
    if (process_ > 0) {
      int status = 0;
      if (::waitpid(process_, &status, WNOHANG) != process_)
        return std::nullopt;
      process_ = -1;
      how_ = WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                               : "signal " + std::to_string(WTERMSIG(status));
    }
    return how_;
  }
  void end() {
    if (process_ <= 0)
      return;
    ::kill(process_, SIGKILL);
    int status = 0;
    ::waitpid(process_, &status, 0);
    process_ = -1;
    how_ = "killed by the case";
  }
  std::string lastLogLine() const {
    std::istringstream lines(readFile(folder_ + "/router.log"));
    std::string last;
    for (std::string line; std::getline(lines, line);)
      if (!line.empty())
        last = line;
    return last;
  }

 private:
  std::string root_, folder_;
  pid_t process_ = -1;
  std::string how_ = "not started";
};

/// Whether GET /-/ready is answered with 200 in this time.
inline bool becomesReady(const Address& address, double waitMs) {
  const double endMs = nowMs() + waitMs;
  while (nowMs() < endMs) {
    const int socket = connectTo(address, 200);
    if (socket >= 0) {
      Reader reader(socket);
      sendAll(socket, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      const Answer answer = readAnswer(socket, reader, 500);
      ::close(socket);
      if (answer.status == 200)
        return true;
    }
    sleepMs(50);
  }
  return false;
}

/// A private folder for files of the router, removed at the end.
class Folder {
 public:
  Folder() {
    const char* base = std::getenv("TMPDIR");
    std::string pattern = std::string(base != nullptr ? base : "/tmp") + "/review.XXXXXX";
    path = ::mkdtemp(pattern.data()) != nullptr ? pattern : "";
  }
  ~Folder() {
    if (!path.empty())
      if (std::system(("rm -rf '" + path + "'").c_str()) != 0)
        std::perror("rm");
  }
  std::string path;
};

/// The arguments of every case: the project's root, the case's folder. TROUBLE=0 leaves the
/// disruption out.
struct Setting {
  Setting(int argc, char** argv) {
    if (argc != 3) {
      std::fprintf(stderr, "usage: %s ROOT FOLDER\n", argv[0]);
      std::exit(2);
    }
    root = argv[1];
    folder = argv[2];
    const char* text = std::getenv("TROUBLE");
    trouble = text == nullptr || std::string(text) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    nowMs();
  }
  std::string root, folder;
  bool trouble;
};

/// Ends the case with 2 (it could not run) after this time; the router ends with it.
inline void limitTime(Record& record, double ms) {
  std::thread([&record, ms] {
    sleepMs(ms);
    record.line("the case took too long");
    std::_Exit(2);
  }).detach();
}

}  // namespace review
