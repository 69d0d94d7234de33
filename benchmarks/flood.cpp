// Known clients under a flood: starts the programs that it is given by turns and measures what
// known clients see with and without a flood from one address.
//
//     flood ROUNDS TOY_BOX NAME=PROGRAM [NAME=PROGRAM ...]
//
// Each round plays every program without and with the flood, one after the other, so that they
// share whatever else the machine does. A play takes 6 s; the flood is one thread that connects,
// sends half a request and never ends it.
#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace {

using boost::asio::ip::tcp;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr double kPlayS = 6;
constexpr int kKnown = 8;             // clients, each asking, waiting for its answer and resting
constexpr double kRestMs = 150;       // between two questions of one, on a kept connection
constexpr double kPatienceMs = 3000;  // for a first event

tcp::endpoint freePort() {
  boost::asio::io_context io;
  return tcp::acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}).local_endpoint();
}

std::string text(const tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

pid_t start(const std::vector<std::string>& arguments) {
  const pid_t process = ::fork();
  if (process != 0)
    return process;
  const int quiet = ::open("/dev/null", O_RDWR);
  ::dup2(quiet, 1);
  ::dup2(quiet, 2);
  std::vector<char*> raw;
  for (const std::string& argument : arguments)
    raw.push_back(const_cast<char*>(argument.c_str()));
  raw.push_back(nullptr);
  ::execv(raw[0], raw.data());
  ::_exit(127);
}

void stop(pid_t process, double* cpuS = nullptr) {
  ::kill(process, SIGKILL);
  rusage use{};
  ::wait4(process, nullptr, 0, &use);
  if (cpuS != nullptr)
    *cpuS = static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec) +
            static_cast<double>(use.ru_utime.tv_usec + use.ru_stime.tv_usec) / 1e6;
}

json site(const tcp::endpoint& listen, const tcp::endpoint& instance, bool admission) {
  json file = json::parse(std::ifstream("deploy/appliance.json"));
  file["listen"] = text(listen);
  file["boxes"] = {
      {{"id", "box-1"}, {"address", text(instance)}, {"role", "both"}, {"cell", 0}, {"size", 1.0}}};
  file["sockets"] = 256;
  file["settings"]["orgs"][0]["allowancePerS"] = 10'000;
  file.erase("admin_addr");
  file.erase("admission");
  if (admission)
    file["admission"] = {{"connections", {{"total", 80}, {"per_address", 16}}},
                         {"rate", {{"per_second", 10}, {"burst", 40}}},
                         {"known", {{"reserve", 40}, {"ranges", {"127.0.1.0/24"}}}}};
  return file;
}

struct Client {
  Client(const tcp::endpoint& to, const std::string& from) : to_(to), from_(from), socket_(io_) {}

  // Milliseconds to the first event, or nothing if it failed.
  std::optional<double> ask() {
    const auto began = Clock::now();
    for (int tries = 0; tries < 2; ++tries) {  // a kept connection may have been closed meanwhile
      const bool kept = socket_.is_open();
      if (!kept && !connect())
        return std::nullopt;
      if (exchange(began))
        return lastMs_;
      socket_.close();
      if (!kept)
        return std::nullopt;
    }
    return std::nullopt;
  }

 private:
  bool connect() {
    boost::system::error_code error;
    socket_.open(tcp::v4(), error);
    socket_.bind({boost::asio::ip::make_address(from_), 0}, error);
    timeval limit{3, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    socket_.connect(to_, error);
    if (error)
      socket_.close();
    return !error;
  }
  bool exchange(Clock::time_point began) {
    const std::string body =
        R"({"model":"member-questions","stream":true,"messages":[{"role":"user","content":"When?"}]})";
    const std::string request =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer change-me-app\r\n"
        "Content-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    if (::send(socket_.native_handle(), request.data(), request.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(request.size()))
      return false;
    std::string seen;
    std::array<char, 8192> part{};
    bool first = false;
    while (seen.find("\r\n0\r\n\r\n") == std::string::npos) {
      const auto count = ::recv(socket_.native_handle(), part.data(), part.size(), 0);
      if (count <= 0)
        return false;
      seen.append(part.data(), static_cast<std::size_t>(count));
      if (!first && seen.find("data:") != std::string::npos) {
        first = true;
        lastMs_ = std::chrono::duration<double, std::milli>(Clock::now() - began).count();
        if (lastMs_ > kPatienceMs)
          return false;
      }
      if (seen.rfind("HTTP/1.1 200", 0) != 0 && seen.size() > 12)
        return false;
    }
    return true;
  }

  boost::asio::io_context io_;
  tcp::endpoint to_;
  std::string from_;
  tcp::socket socket_;
  double lastMs_ = 0;
};

struct Play {
  double medianMs = 0, p99Ms = 0, failedShare = 0, cpuS = 0;
  std::uint64_t asked = 0, connects = 0;
};

Play play(const std::string& program,
          const std::string& toyInstance,
          bool admission,
          bool flooded) {
  const tcp::endpoint listen = freePort(), instanceAt = freePort();
  const auto path =
      std::filesystem::temp_directory_path() / ("flood-" + std::to_string(::getpid()) + ".json");
  std::ofstream(path) << site(listen, instanceAt, admission);
  const pid_t instance = start({toyInstance, text(instanceAt)});
  const pid_t conductor = start({program, "serve", "--operator", path.string()});
  {
    Client probe(listen, "127.0.1.200");
    for (int i = 0; i < 200 && !probe.ask(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const auto end = Clock::now() + std::chrono::duration<double>(kPlayS);
  std::atomic<std::uint64_t> connects{0};
  std::thread flood([&] {
    if (!flooded)
      return;
    std::deque<int> held;
    while (Clock::now() < end) {
      const int one = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      const tcp::endpoint from(boost::asio::ip::make_address("127.0.0.9"), 0);
      ::bind(one, from.data(), static_cast<socklen_t>(from.size()));
      ::connect(one, listen.data(), static_cast<socklen_t>(listen.size()));
      ::send(one, "POST /v1/chat", 13, MSG_NOSIGNAL);
      ++connects;
      held.push_back(one);
      if (held.size() > 300) {
        ::close(held.front());
        held.pop_front();
      }
      if (connects % 20 == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(4));  // some 4,000 a second
    }
    for (const int one : held)
      ::close(one);
  });
  std::vector<std::vector<double>> seen(kKnown);
  std::atomic<std::uint64_t> failed{0}, asked{0};
  std::vector<std::thread> known;
  for (int i = 0; i < kKnown; ++i)
    known.emplace_back([&, i] {
      Client client(listen, "127.0.1." + std::to_string(1 + i));
      while (Clock::now() < end) {
        ++asked;
        if (const auto ms = client.ask())
          seen[static_cast<std::size_t>(i)].push_back(*ms);
        else
          ++failed;
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(kRestMs));
      }
    });
  for (std::thread& one : known)
    one.join();
  flood.join();
  Play result;
  stop(conductor, &result.cpuS);
  stop(instance);
  std::filesystem::remove(path);
  std::vector<double> all;
  for (const auto& one : seen)
    all.insert(all.end(), one.begin(), one.end());
  std::sort(all.begin(), all.end());
  if (!all.empty()) {
    result.medianMs = all[all.size() / 2];
    result.p99Ms = all[all.size() * 99 / 100];
  }
  result.asked = asked;
  result.connects = connects;
  result.failedShare =
      static_cast<double>(failed) / static_cast<double>(std::max<std::uint64_t>(1, asked));
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    std::cerr << "usage: flood ROUNDS TOY_BOX NAME=PROGRAM [NAME=PROGRAM ...]; a NAME that begins "
                 "with 'gate' has"
                 " admission rules\n";
    return 2;
  }
  const int rounds = std::stoi(argv[1]);
  std::map<std::string, std::vector<Play>> plays;
  for (int round = 0; round < rounds; ++round)
    for (int i = 3; i < argc; ++i) {
      const std::string argument = argv[i];
      const std::string name = argument.substr(0, argument.find('=')),
                        program = argument.substr(argument.find('=') + 1);
      for (const bool flooded : {false, true})
        plays[name + (flooded ? ", flood" : ", no flood")].push_back(
            play(program, argv[2], name.rfind("gate", 0) == 0, flooded));
    }
  const auto spread = [](std::vector<Play> of, auto value) {
    std::vector<double> values;
    for (const Play& one : of)
      values.push_back(value(one));
    std::sort(values.begin(), values.end());
    std::array<char, 64> line{};
    std::snprintf(line.data(), line.size(), "%.2f (%.2f to %.2f)", values[values.size() / 2],
                  values.front(), values.back());
    return std::string(line.data());
  };
  std::cout << "| play | first event, median ms | 99th percentile ms | failed, % | connects of the "
               "flood |"
               " processor s |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const auto& [name, of] : plays)
    std::cout << "| " << name << " | " << spread(of, [](const Play& p) { return p.medianMs; })
              << " | " << spread(of, [](const Play& p) { return p.p99Ms; }) << " | "
              << spread(of, [](const Play& p) { return p.failedShare * 100; }) << " | "
              << spread(of, [](const Play& p) { return static_cast<double>(p.connects); }) << " | "
              << spread(of, [](const Play& p) { return p.cpuS; }) << " |\n";
  return 0;
}
