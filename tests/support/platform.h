// The program itself as the platform runs it: real processes between a stand-in discovery, two
// instances and clients of a test's own.
#pragma once

#include <fstream>
#include <string>
#include <vector>

#include "support/program.h"

namespace inference_router {

// Discovery as the platform has it: watches that say what there is, and then what they are told to.
struct Discovery final : net::RequestHandler {
  Discovery(boost::asio::io_context& io, const core::Clock& clock, core::TimerQueue& timers)
      : listener(io, anyPort(), 100, *this, clock, timers, counters) {}
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&&,
               double) override {
    connection->beginStream({});
    connection->writeChunk(line);
    watches.push_back(connection);
  }
  // To all that watch, in their open answers.
  void tell(const std::string& text) {
    for (const auto& watch : watches)
      watch->writeChunk(text);
  }
  void disconnected(net::ClientConnection&) override {}
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection&, unsigned, std::string_view) override {}
  core::Counters counters;
  std::string line;  // of each watch, as it is opened
  std::vector<std::shared_ptr<net::ClientConnection>> watches;
  net::Listener listener;
};

struct Platform : NetworkFixture {
  TemporaryDirectory folder;
  StandInInstance instance{io, clock, timers}, other{io, clock, timers};
  Discovery discovery{io, clock, timers};
  net::Endpoint listen = freePort();
  Programs programs;
  nlohmann::json settings = siteSettings();
  std::vector<std::string> environment;  // NAME=value, of programs that start from now on

  Platform() {
    nlohmann::json members = nlohmann::json::array();
    members.push_back(memberOf("m1", instance, 0));
    members.push_back(memberOf("m2", other, 0));
    discovery.line = listOf(1, /*complete=*/true, members);
    settings["familyInfo"]["resume"] = true;
    writeConfiguration();
  }
  static nlohmann::json memberOf(const std::string& id,
                                 const StandInInstance& at,
                                 double upSinceMs) {
    return {{"id", id},        {"host_port", textOf(at.address())},
            {"locality", "z"}, {"flavor", "mixed"},
            {"cell", 0},       {"phase", "active"},
            {"size", 1.0},     {"up_since_ms", upSinceMs}};
  }
  static std::string listOf(int revision, bool complete, const nlohmann::json& members) {
    return nlohmann::json{{"revision", revision}, {"complete", complete}, {"members", members}}
               .dump() +
           "\n";
  }
  void writeConfiguration() {
    std::ofstream(folder.path + "/config.json")
        << nlohmann::json{{"name", "n0"},
                          {"listen", textOf(listen)},
                          {"discovery", textOf(discovery.listener.address())},
                          {"seed", "7"},
                          {"limits", {{"sockets", 512}}},
                          {"settings", settings}};
  }
  pid_t start(const net::Endpoint& door) {
    std::vector<std::string> variables{"GW_CONFIG=" + folder.path + "/config.json",
                                       "GW_ADMIN_ADDR=" + textOf(door), "TMPDIR=" + folder.path};
    variables.insert(variables.end(), environment.begin(), environment.end());
    return programs.start({"serve"}, variables);
  }
  int endOf(pid_t process) {
    std::optional<int> status;
    EXPECT_TRUE(until([&] { return status || (status = programs.exitStatus(process)); }));
    return status.value_or(-1);
  }

  std::string call(const net::Endpoint& door, const std::string& line) {
    return callAdmin(io, door, line);
  }
  bool ready(const net::Endpoint& door) {
    return until([&] { return call(door, "readyz").rfind("ok", 0) == 0; });
  }

  std::string ask() {
    const std::string body = R"({"model":"m","stream":true,"messages":[]})";
    return messageText("POST /v1/chat/completions HTTP/1.1",
                       {{"Host", "x"},
                        {"X-Call-Id", "id-" + std::to_string(++asked)},
                        {"X-Call-Class", "member-questions"},
                        {"X-Caller", "club"},
                        {"X-Budget-Ms", "7000"},
                        {"X-Call-Info", "prompt_len=100,max_out=50"}},
                       body);
  }
  int asked = 0;
};

}  // namespace inference_router
