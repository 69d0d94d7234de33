// Stand-ins for the review's cases: boxes and clients of the chat API and of the platform, discovery's agent, and a
// caller of the operators' door.
// Needs nothing but POSIX. Each role is a process of its own:
//
//   stand_in box NAME PORT ROLE FIRST_MS EVENTS GAP_MS [IDLE_MS]
//       ROLE read: answers 202 after FIRST_MS. write, both: the first event after FIRST_MS, then one each
//       GAP_MS; a stream with usage and [DONE]. Grants each place that is asked for, accepts each release.
//   stand_in client NAME PORT KEY MODEL COUNT INTERVAL_MS PATIENCE_MS [whole]
//       COUNT requests, one each INTERVAL_MS, each on a connection of its own; connects again while nobody
//       listens. A request is a stream unless `whole` is given.
//   stand_in platform-client NAME PORT CLASS COUNT INTERVAL_MS BUDGET_MS [SLOW_MS]
//       The same in the platform's protocol. With SLOW_MS the last bytes of a request follow so much later.
//   stand_in agent PORT LIST           discovery's agent: tells LIST, a JSON document, and then that nothing changes
//   stand_in door PORT LINE            one call at the operators' door; prints the answer
//   stand_in plan PORT SECONDS         prints each change of a box's state in the maintenance plan
//   stand_in ports COUNT               prints ports that nobody uses just now
//   stand_in limit SECONDS PID         ends that process, the script, after so long
//   stand_in now                       prints the clock that all lines begin with
//
// Every line of output begins with milliseconds of the monotonic clock, which all processes share.
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

double nowMs() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}

void say(const std::string& text) {
  char line[512];
  const int size = std::snprintf(line, sizeof line, "%.1f %s\n", nowMs(), text.c_str());
  (void)!::write(1, line, static_cast<std::size_t>(std::min(size, 511)));
}

void sleepMs(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long>(ms * 1000)));
}

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int connectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool sendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Appends what arrives within the time. 1: something came; 0: the end; -1: an error; -2: nothing in time.
int receive(int fd, std::string& buffer, double untilMs) {
  pollfd p{fd, POLLIN, 0};
  const double left = untilMs - nowMs();
  if (::poll(&p, 1, static_cast<int>(std::max(0.0, left))) == 0)
    return -2;
  char part[16384];
  const ssize_t n = ::recv(fd, part, sizeof part, 0);
  if (n > 0)
    buffer.append(part, static_cast<std::size_t>(n));
  return n > 0 ? 1 : n == 0 ? 0 : -1;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string header(const std::string& head, const std::string& name) {
  const std::string low = lower(head);
  const std::size_t at = low.find("\r\n" + lower(name) + ":");
  if (at == std::string::npos)
    return {};
  std::size_t begin = at + 3 + name.size();
  while (begin < head.size() && head[begin] == ' ')
    ++begin;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

struct Request {
  std::string head, body;
};

// Reads one request with a Content-Length. False at the end of the connection.
bool readRequest(int fd, std::string& buffer, Request& request) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (receive(fd, buffer, nowMs() + 3.6e6) <= 0)
      return false;
  request.head = buffer.substr(0, end + 2);
  const std::string length = header(request.head, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
  while (buffer.size() < end + 4 + size)
    if (receive(fd, buffer, nowMs() + 3.6e6) <= 0)
      return false;
  request.body = buffer.substr(end + 4, size);
  buffer.erase(0, end + 4 + size);
  return true;
}

bool chunk(int fd, const std::string& data) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return sendAll(fd, size + data + "\r\n");
}

// ---- Boxes

struct Box {
  std::string name, role;
  double firstMs = 0, gapMs = 0;
  int events = 0;
  double idleMs = 1e9;

  void serve(int fd) const {
    std::string buffer;
    Request request;
    for (double idleSince = nowMs(); readRequest(fd, buffer, request); idleSince = nowMs()) {
      if (nowMs() - idleSince > idleMs) {
        say("box " + name + " has forgotten a connection");
        const linger atOnce{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        break;
      }
      const std::string line = request.head.substr(0, request.head.find("\r\n"));
      if (line.rfind("DELETE ", 0) == 0) {
        sendAll(fd, "HTTP/1.1 204 No Content\r\n\r\n");
      } else if (line.rfind("POST /bootstrap/", 0) == 0) {
        say("box " + name + " holds " + line.substr(22, line.find(' ', 22) - 22));
        sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      } else if (line.rfind("POST /v1/chat/completions", 0) == 0) {
        const std::string id = header(request.head, "X-Request-Id");
        if (!answer(fd, id.empty() ? header(request.head, "X-Call-Id") : id))
          break;
      } else {
        sendAll(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      }
    }
    ::close(fd);
  }

  bool answer(int fd, const std::string& id) const {
    say("box " + name + " gets " + id);
    std::string ignored;
    if (firstMs < 0) {
      while (receive(fd, ignored, nowMs() + 3.6e6) == 1) {
      }
      return false;
    }
    sleepMs(firstMs);
    if (role == "read") {
      const std::string body = "{\"cached_tokens\":0}";
      return sendAll(fd, "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool ok = sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; ok && i < events; ++i) {
      if (i > 0)
        sleepMs(gapMs);
      ok = chunk(fd, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n");
    }
    ok = ok && chunk(fd, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n") &&
         chunk(fd, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":" +
                       std::to_string(events) + "}}\n\ndata: [DONE]\n\n") &&
         sendAll(fd, "0\r\n\r\n");
    say("box " + name + (ok ? " ends " : " is cut off at ") + id);
    return ok;
  }
};

int runBox(const std::vector<std::string>& a) {
  const Box box{a[0], a[2], std::atof(a[3].c_str()), std::atof(a[5].c_str()), std::atoi(a[4].c_str()),
                a.size() > 6 ? std::atof(a[6].c_str()) : 1e9};
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(std::atoi(a[1].c_str()));
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(listener, 256) != 0)
    return 2;
  say("box " + box.name + " listens");
  for (;;) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([&box, fd] { box.serve(fd); }).detach();
  }
}

// ---- Clients

std::string outcomeOf(int end, const std::string& answer, bool whole) {
  if (answer.find("\r\n\r\n") == std::string::npos)
    return end == -2 ? "no answer" : "closed without an answer";
  const std::string status = answer.substr(9, 3);
  if (status != "200")
    return status;
  if (whole)
    return answer.find("\"finish_reason\":\"stop\"") != std::string::npos ? "served" : "200 broken";
  const bool complete = answer.find("[DONE]") != std::string::npos;
  return complete ? "served" : "200 broken";
}

bool isComplete(const std::string& answer) {
  const std::size_t head = answer.find("\r\n\r\n");
  if (head == std::string::npos)
    return false;
  const std::string length = header(answer.substr(0, head + 2), "Content-Length");
  if (!length.empty())
    return answer.size() >= head + 4 + std::strtoul(length.c_str(), nullptr, 10);
  return answer.find("\r\n0\r\n\r\n", head) != std::string::npos || answer.find("0\r\n\r\n", head + 4) == head + 4;
}

// Sends one request, head and body, on a connection of its own, and says how it is answered.
void oneRequest(const std::string& name,
                int port,
                const std::string& request,
                double patienceMs,
                bool whole,
                double slowMs) {
  const double giveUpMs = nowMs() + patienceMs;
  int fd = -1;
  while ((fd = connectTo(port)) < 0 && nowMs() < giveUpMs)
    sleepMs(1);
  if (fd < 0)
    return say("client " + name + " never connected");
  say("client " + name + " sends");
  std::string answer;
  const std::size_t first = slowMs > 0 ? request.size() - 10 : request.size();
  int end = sendAll(fd, request.substr(0, first)) ? 1 : -1;
  if (slowMs > 0) {
    sleepMs(slowMs);
    end = sendAll(fd, request.substr(first)) ? 1 : -1;
    say("client " + name + " has sent all");
  }
  while (end == 1 && !isComplete(answer))
    end = receive(fd, answer, giveUpMs);
  ::close(fd);
  say("client " + name + " id=" + header(answer, "X-Request-Id") + " outcome: " + outcomeOf(end, answer, whole));
}

// Starts COUNT requests, which makeRequest makes by their number, and waits for all answers.
template <class MakeRequest>
int runRequests(const std::string& name,
                int port,
                int count,
                double intervalMs,
                double patienceMs,
                bool whole,
                double slowMs,
                const MakeRequest& makeRequest) {
  std::vector<std::thread> threads;
  const double startMs = nowMs();
  for (int i = 0; i < count; ++i) {
    sleepMs(startMs + i * intervalMs - nowMs());
    const std::string each = name + "-" + std::to_string(i);
    threads.emplace_back(oneRequest, each, port, makeRequest(each), patienceMs, whole, slowMs);
  }
  for (std::thread& thread : threads)
    thread.join();
  return 0;
}

std::string requestText(const std::string& fields, const std::string& body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: site\r\nContent-Type: application/json\r\n" + fields +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string bodyText(const std::string& model, bool whole, const std::string& name) {
  return "{\"model\":\"" + model + "\",\"stream\":" + (whole ? "false" : "true") +
         ",\"max_tokens\":50,\"messages\":[{\"role\":\"user\",\"content\":\"question " + name + "\"}]}";
}

int runClient(const std::vector<std::string>& a) {
  const bool whole = a.size() > 7;
  return runRequests(a[0], std::atoi(a[1].c_str()), std::atoi(a[4].c_str()), std::atof(a[5].c_str()),
                     std::atof(a[6].c_str()), whole, 0, [&](const std::string& each) {
                       return requestText("Authorization: Bearer " + a[2] + "\r\n", bodyText(a[3], whole, each));
                     });
}

// A platform's client waits for its answer beyond its budget, to see whether one comes.
int runPlatformClient(const std::vector<std::string>& a) {
  return runRequests(a[0], std::atoi(a[1].c_str()), std::atoi(a[3].c_str()), std::atof(a[4].c_str()),
                     std::atof(a[5].c_str()) + 5000, false, a.size() > 6 ? std::atof(a[6].c_str()) : 0, [&](const std::string& each) {
                       return requestText("X-Call-Id: " + each + "\r\nX-Call-Class: " + a[2] +
                                              "\r\nX-Caller: athens-club\r\nX-Route-Hash: " + each + "\r\nX-Budget-Ms: " +
                                              a[5] + "\r\nX-Call-Info: prompt_len=40,prefix_len=0,max_out=50\r\n",
                                          bodyText("chat", false, each));
                     });
}

// ---- Discovery

void serveList(int fd, const std::string& list) {
  std::string buffer;
  Request request;
  if (readRequest(fd, buffer, request) &&
      sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n") &&
      chunk(fd, list + "\n"))
    while (receive(fd, buffer, nowMs() + 2000) == -2 && chunk(fd, "\n")) {
    }
  ::close(fd);
}

int runAgent(int port, const std::string& list) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(listener, 16) != 0)
    return 2;
  for (;;) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0)
      std::thread([fd, list] { serveList(fd, list); }).detach();
  }
}

// ---- The operators' door

std::string callDoor(int port, const std::string& line) {
  const int fd = connectTo(port);
  if (fd < 0)
    return "fail nobody listens\n";
  std::string answer;
  sendAll(fd, line + "\n");
  const double untilMs = nowMs() + 3000;
  const auto complete = [&answer] {
    const bool isReport = answer.rfind("ok", 0) != 0 && answer.rfind("fail", 0) != 0;
    return !answer.empty() && answer.back() == '\n' &&
           (!isReport || (answer.size() >= 4 && answer.compare(answer.size() - 4, 4, "eof\n") == 0));
  };
  while (!complete() && receive(fd, answer, untilMs) == 1) {
  }
  ::close(fd);
  return answer;
}

int runPlan(int port, double seconds) {
  std::map<std::string, std::string> states;
  for (const double endMs = nowMs() + seconds * 1000; nowMs() < endMs; sleepMs(20)) {
    const std::string report = callDoor(port, "maintenance");
    for (std::size_t at = 0; (at = report.find("item ", at)) != std::string::npos;) {
      const std::size_t nameEnd = report.find(' ', at + 5);
      const std::string box = report.substr(at + 5, nameEnd - at - 5);
      const std::string state = report.substr(nameEnd + 1, report.find(' ', nameEnd + 1) - nameEnd - 1);
      if (std::exchange(states[box], state) != state)
        say("plan " + box + " is " + state);
      at = nameEnd;
    }
  }
  return 0;
}

int printFreePorts(int count) {
  std::vector<int> sockets;
  for (int i = 0; i < count; ++i) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      return 2;
    std::printf("%d ", ntohs(address.sin_port));
    sockets.push_back(fd);
  }
  for (const int fd : sockets)
    ::close(fd);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> a(argv + std::min(argc, 2), argv + argc);
  const std::string role = argc > 1 ? argv[1] : "";
  if (role == "box" && a.size() >= 6)
    return runBox(a);
  if (role == "client" && a.size() >= 7)
    return runClient(a);
  if (role == "platform-client" && a.size() >= 6)
    return runPlatformClient(a);
  if (role == "agent" && a.size() == 2)
    return runAgent(std::atoi(a[0].c_str()), a[1]);
  if (role == "door" && a.size() == 2)
    return std::fputs(callDoor(std::atoi(a[0].c_str()), a[1]).c_str(), stdout) < 0;
  if (role == "plan" && a.size() == 2)
    return runPlan(std::atoi(a[0].c_str()), std::atof(a[1].c_str()));
  if (role == "ports" && a.size() == 1)
    return printFreePorts(std::atoi(a[0].c_str()));
  if (role == "limit" && a.size() == 2) {
    sleepMs(std::atof(a[0].c_str()) * 1000);
    return ::kill(std::atoi(a[1].c_str()), SIGTERM) == 0 ? 0 : 2;
  }
  if (role == "now") {
    std::printf("%.1f\n", nowMs());
    return 0;
  }
  std::fputs("usage: see the head of stand_in.cpp\n", stderr);
  return 2;
}
