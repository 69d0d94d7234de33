// What it costs a request that routers hold leases or share state: one router and an instance that
// answers at once, by turns without a store, with leases, with shared state, and with either while
// the store's file is locked.
//
//     sharing_cost ROUNDS PROGRAM
//
// Each round plays every way once, in a drawn order, with the same questions one after another on a
// kept connection; so whatever else the machine does meets all ways alike. Prints per way the
// medians over the rounds and their least and most.
#include <signal.h>
#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

using boost::asio::ip::tcp;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kQuestions = 3000, kWarm = 10'000;

std::string text(const tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}
tcp::endpoint freePort() {
  boost::asio::io_context io;
  return tcp::acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}).local_endpoint();
}

pid_t start(std::vector<std::string> arguments) {
  const pid_t process = ::fork();
  if (process != 0)
    return process;
  std::vector<char*> raw;
  for (std::string& argument : arguments)
    raw.push_back(argument.data());
  raw.push_back(nullptr);
  if (std::freopen("/dev/null", "w", stderr) == nullptr ||
      std::freopen("/dev/null", "w", stdout) == nullptr)
    ::_exit(126);
  ::execv(raw[0], raw.data());
  ::_exit(127);
}
double stop(pid_t process) {  // processor seconds that it used
  ::kill(process, SIGKILL);
  rusage use{};
  ::wait4(process, nullptr, 0, &use);
  return static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec) +
         static_cast<double>(use.ru_utime.tv_usec + use.ru_stime.tv_usec) / 1e6;
}

tcp::socket connected(boost::asio::io_context& io, const tcp::endpoint& to) {
  for (int i = 0; i < 500; ++i) {
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(to, error);
    if (!error) {
      socket.set_option(tcp::no_delay(true));
      return socket;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  throw std::runtime_error("nobody listens at " + text(to));
}

// An instance that answers every question at once, on a thread of its own for each connection.
class InstantInstance {
 public:
  InstantInstance() : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    std::thread([this] {
      for (;;)
        std::thread([socket = acceptor_.accept()]() mutable { serve(std::move(socket)); }).detach();
    }).detach();
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  static void serve(tcp::socket socket) {
    const std::string events =
        "data: "
        "{\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"yes\"},\"finish_reason\":"
        "\"stop\"}]"
        "}\n\n"
        "data: "
        "{\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":1}}"
        "\n\ndata: "
        "[DONE]\n\n";
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", events.size());
    const std::string answer =
        std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n") +
        "Transfer-Encoding: chunked\r\n\r\n" + size.data() + events + "\r\n0\r\n\r\n";
    boost::system::error_code error;
    boost::asio::streambuf buffer;
    socket.set_option(tcp::no_delay(true));
    while (!error) {
      const std::size_t head = boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
      if (error)
        return;
      const std::string text(static_cast<const char*>(buffer.data().data()), head);
      const std::size_t at = text.find("Content-Length: ");
      const std::size_t body = at == std::string::npos ? 0 : std::stoul(text.substr(at + 16));
      if (buffer.size() < head + body)
        boost::asio::read(socket, buffer,
                          boost::asio::transfer_exactly(head + body - buffer.size()), error);
      buffer.consume(head + body);
      boost::asio::write(socket, boost::asio::buffer(answer), error);
    }
  }
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
};

struct Play {
  double firstMedianUs, first99Us, cpuUs;
};

// The time from the last byte of a question to the head of its answer, which comes with the first
// event.
Play play(const std::string& program,
          const tcp::endpoint& instance,
          const std::string& folder,
          const std::string& way) {
  const tcp::endpoint listen = freePort();
  json file = json::parse(std::ifstream("deploy/fleet.json"));
  file["listen"] = text(listen);
  file.erase("admin_addr");
  file["boxes"] = {
      {{"id", "box-1"}, {"address", text(instance)}, {"role", "both"}, {"cell", 0}, {"size", 1.0}}};
  file["settings"]["orgs"][0]["allowancePerS"] = 100'000;
  const std::string db = folder + "/store.db";
  std::filesystem::remove(db);
  file["coordination"]["store"]["path"] = db;
  file["shared"] = {{"budgets", {{"athens-club", 1'000'000'000}}},
                    {"ahead_s", 60},
                    {"slice_s", 60},
                    {"loan_s", 600}};
  if (way.find("shared") == std::string::npos)
    file.erase("shared");
  if (way == "off")
    file.erase("coordination");
  const std::string path = folder + "/conductor.json";
  std::ofstream(path) << file.dump();
  const pid_t process = start({program, "serve", "--operator", path});
  boost::asio::io_context io;
  tcp::socket client = connected(io, listen);
  sqlite3* lock = nullptr;
  const std::string body =
      R"({"model":"member-questions","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"When do you open?"}]})";
  const std::string ask =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
      "change-me-app\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  std::vector<double> firsts;
  const auto question = [&] {
    boost::asio::write(client, boost::asio::buffer(ask));
    const auto asked = Clock::now();
    boost::asio::streambuf buffer;
    boost::asio::read_until(client, buffer, "\r\n\r\n");
    const double first = std::chrono::duration<double, std::micro>(Clock::now() - asked).count();
    const std::string head(static_cast<const char*>(buffer.data().data()), 12);
    const std::string end = head.substr(9) == "200" ? "0\r\n\r\n" : "}}";
    if (head.substr(9) == "200")
      boost::asio::read_until(client, buffer, "\r\n0\r\n\r\n");
    else
      boost::asio::read_until(client, buffer, "}}");
    return head.substr(9) == "200" ? first : -1;
  };
  // With a budget the first questions wait for a loan, and for one that follows their pace.
  int before = 0;
  for (int well = 0; well < kWarm; ++before)
    well = question() >= 0 ? well + 1 : 0;
  if (way.find("stalled") != std::string::npos) {
    sqlite3_open(db.c_str(), &lock);
    sqlite3_busy_timeout(lock, 10'000);
    sqlite3_exec(lock, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr);
  }
  int refused = 0;
  for (int i = 0; i < kQuestions; ++i) {
    const double first = question();
    if (first >= 0)
      firsts.push_back(first);
    else
      ++refused;
  }
  if (refused > 0)
    std::cerr << way << ": " << refused << " refused\n";
  if (lock != nullptr)
    sqlite3_close(lock);
  const double cpu = stop(process);
  std::sort(firsts.begin(), firsts.end());
  if (firsts.empty())
    throw std::runtime_error(way + ": nothing was answered");
  return {firsts[firsts.size() / 2], firsts[firsts.size() * 99 / 100],
          cpu * 1e6 / (kQuestions + before)};
}

std::string spread(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  std::array<char, 64> line{};
  std::snprintf(line.data(), line.size(), "%8.0f (%.0f to %.0f)", values[values.size() / 2],
                values.front(), values.back());
  return line.data();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: sharing_cost ROUNDS PROGRAM, from the project's root\n";
    return 2;
  }
  std::string folder =
      (std::filesystem::temp_directory_path() / "dahliastall-cost-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr)
    return 1;
  std::vector<std::string> ways{"off", "leases", "leases, stalled", "shared", "shared, stalled"};
  std::map<std::string, std::vector<Play>> plays;
  InstantInstance instance;
  std::mt19937 random(1);
  for (int round = 0; round < std::atoi(argv[1]); ++round) {
    std::shuffle(ways.begin(), ways.end(), random);
    for (const std::string& way : ways)
      plays[way].push_back(play(argv[2], instance.address(), folder, way));
  }
  std::printf("%-18s %-26s %-26s %s\n", "way", "first event, median us", "99th percentile us",
              "processor us a request");
  for (const auto& [way, all] : plays) {
    std::vector<double> median, late, cpu;
    for (const Play& one : all) {
      median.push_back(one.firstMedianUs);
      late.push_back(one.first99Us);
      cpu.push_back(one.cpuUs);
    }
    std::printf("%-18s %-26s %-26s %s\n", way.c_str(), spread(median).c_str(), spread(late).c_str(),
                spread(cpu).c_str());
  }
  std::filesystem::remove_all(folder);
  std::cout.flush();
  std::fflush(stdout);
  ::_exit(0);  // the instance's threads wait for questions for good
}
