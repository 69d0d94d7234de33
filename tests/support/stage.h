// What the tests of the network code stand on: loopback sockets, a clock that the test sets,
// stand-ins for the parties at the other ends. Nothing sleeps; until() runs the program's own
// handlers until something is true.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/listener.h"
#include "net/pool.h"

namespace inference_router {

using boost::asio::ip::tcp;

inline net::Endpoint anyPort() {
  return {boost::asio::ip::make_address("127.0.0.1"), 0};
}

// Only a test that has failed runs into the limit.
inline bool until(boost::asio::io_context& io, const std::function<bool()>& met) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!met()) {
    if (std::chrono::steady_clock::now() > limit)
      return false;
    io.restart();
    if (io.poll() == 0)
      io.run_one_for(std::chrono::milliseconds(1));
  }
  return true;
}

struct Stage {
  boost::asio::io_context io;
  core::ManualClock clock;
  core::TimerQueue timers;
  core::Counters counters;

  bool until(const std::function<bool()>& met) { return inference_router::until(io, met); }
  void pass(double ms) {
    clock.advance(ms);
    timers.runDue(clock.nowMs());
  }
};

// One call and what came of it.
struct Reply final : net::CallSink {
  bool willing = true, patient = true;
  unsigned status = 0;
  bool wasWritten = false, over = false, whole = false;
  std::optional<net::CallFailure> failure;
  std::string text;
  std::map<std::string, std::string> fields;

  bool ready() override { return willing; }
  void written() override { wasWritten = true; }
  void head(const net::ResponseHead& head) override {
    status = head.result_int();
    for (const auto& field : head)
      fields[std::string(field.name_string())] = std::string(field.value());
  }
  bool body(std::string_view part) override {
    text += part;
    return patient;
  }
  void done() override { over = whole = true; }
  void failed(net::CallFailure why) override {
    over = true;
    failure = why;
  }
};

inline std::string messageText(const std::string& firstLine,
                               net::Fields fields,
                               const std::string& body) {
  fields.emplace_back("Content-Length", std::to_string(body.size()));
  return net::headText(firstLine, fields) + body;
}

// A peer at the level of bytes; it blocks only for what the other side has sent already.
class RawPeer {
 public:
  explicit RawPeer(boost::asio::io_context& io) : io_(io), acceptor_(io, anyPort()), socket_(io) {}
  net::Endpoint address() const { return acceptor_.local_endpoint(); }
  void accept() {
    socket_ = tcp::socket(io_);
    acceptor_.accept(socket_);
    socket_.set_option(tcp::no_delay(true));
  }
  void connect(const net::Endpoint& to) {
    socket_.connect(to);
    socket_.set_option(tcp::no_delay(true));
  }
  void write(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
  // Writes as the other side reads, while the loop runs.
  void writeLater(std::string bytes) {
    later_ = std::move(bytes);
    boost::asio::async_write(
        socket_, boost::asio::buffer(later_),
        [this](const boost::system::error_code& error, std::size_t) { wroteAll_ = !error; });
  }
  bool wroteAll() const { return wroteAll_; }
  std::string readSome() {
    std::string bytes(64 * 1024, '\0');
    boost::system::error_code error;
    bytes.resize(socket_.read_some(boost::asio::buffer(bytes), error));
    return bytes;
  }
  bool hasBytes() { return socket_.available() > 0; }
  // Whether the other side has ended; what it sent before is kept in seen. As clients do, it closes
  // then.
  bool ended() {
    if (!socket_.is_open())
      return true;
    socket_.non_blocking(true);
    boost::system::error_code error;
    std::string bytes(64 * 1024, '\0');
    for (;;) {
      const std::size_t count = socket_.read_some(boost::asio::buffer(bytes), error);
      if (error == boost::asio::error::would_block)
        return false;
      if (error == boost::asio::error::interrupted)
        continue;
      if (error) {
        if (closes)
          socket_.close();
        return true;
      }
      seen.append(bytes, 0, count);
    }
  }
  void close() { socket_.close(); }
  void endSending() { socket_.shutdown(tcp::socket::shutdown_send); }
  void reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }
  void stopListening() { acceptor_.close(); }
  std::string seen;
  bool closes = true;  // once the other side has ended

 private:
  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::string later_;
  bool wroteAll_ = false;
};

// A model instance of our own, on the server side of the program's network code.
class StandInInstance final : public net::RequestHandler {
 public:
  struct Taken {
    std::shared_ptr<net::ClientConnection> connection;
    std::string method, target, body, id;
    std::string budget = {};  // X-Budget-Ms, as it came
    bool gone = false;
    std::vector<std::pair<std::string, std::string>> fields = {};
  };
  using Script = std::function<void(StandInInstance&, Taken&)>;

  StandInInstance(boost::asio::io_context& io, const core::Clock& clock, core::TimerQueue& timers)
      : listener_(io, anyPort(), 1000, *this, clock, timers, counters_) {}

  net::Endpoint address() const { return listener_.address(); }
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double) override {
    std::string id(request["X-Call-Id"]);
    if (id.empty())
      id = std::string(request["X-Request-Id"]);
    taken.push_back(std::make_unique<Taken>(Taken{connection, std::string(request.method_string()),
                                                  std::string(request.target()), request.body(), id,
                                                  std::string(request["X-Budget-Ms"])}));
    Taken& now = *taken.back();
    for (const auto& field : request)
      now.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    if (now.method == "DELETE")
      return hears ? now.connection->answer(releases ? 204 : 500, {}, "") : void();
    if (now.method == "POST" && now.target.rfind("/bootstrap/", 0) == 0)
      return places ? now.connection->answer(200, {}, "") : void();
    if (script)
      script(*this, now);
  }
  void disconnected(net::ClientConnection& connection) override {
    for (const auto& one : taken)
      if (one->connection.get() == &connection)
        one->gone = true;
  }
  void writable(net::ClientConnection&) override { ++drains; }
  void reject(net::ClientConnection& connection, unsigned status, std::string_view) override {
    connection.answer(status, {}, "");
  }
  int count(const std::string& method, const std::string& prefix) const {
    int found = 0;
    for (const auto& one : taken)
      found += one->method == method && one->target.rfind(prefix, 0) == 0;
    return found;
  }
  int chats() const { return count("POST", "/v1/"); }

  Script script;
  std::vector<std::unique_ptr<Taken>> taken;
  int drains = 0;
  bool releases = true;              // and not an error in place of it
  bool hears = true, places = true;  // otherwise no answer to a release, or to a call for a place

 private:
  core::Counters counters_;
  net::Listener listener_;
};

inline std::string eventOf(const std::string& content) {
  return "data: "
         "{\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{"
         "\"content\":\"" +
         content + "\"},\"finish_reason\":null}]}\n\n";
}
inline const std::string kLastEvents =
    "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
    "data: {\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":2,"
    "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
    "data: [DONE]\n\n";

inline void streamWhole(StandInInstance&, StandInInstance::Taken& taken) {
  taken.connection->beginStream({{"Content-Type", "text/event-stream"}});
  taken.connection->writeChunk(eventOf("Hel") + eventOf("lo"));
  taken.connection->writeChunk(kLastEvents);
  taken.connection->endStream();
}
inline void answerRead(StandInInstance&, StandInInstance::Taken& taken) {
  taken.connection->answer(202, {{"Content-Type", "application/json"}}, "{\"cached_tokens\":4}");
}

// Settings as a configuration carries them.
inline nlohmann::json siteSettings() {
  return nlohmann::json::parse(R"({
    "me":0,"peersTotal":1,"tickMs":2.0,"discovery":"push","zones":["z"],"myZone":"z","countedBy":"work",
    "kinds":["reader","writer","mixed"],
    "familyInfo":{"dutyByKind":["read","write","both"],"memoryTokens":[200000,100000,150000],"ahead":true,
      "releaseMs":300.0,"resume":false,"writersRead":true,"tokenAimMs":[70.0,50.0],
      "aimUsPer1000PromptTokens":[40000.0,60000.0],"moveFee":0.02},
    "grades":[
      {"name":"member-questions","effect":"idempotent","stream":true,"worth":1.0,"goalTimeMs":1500.0,
       "hardLimitMs":7500.0,"lateShare":0.2},
      {"name":"membership-changes","effect":"at_most_once","stream":true,"worth":2.0,"goalTimeMs":1200.0,
       "hardLimitMs":6000.0,"lateShare":0.3}],
    "orgs":[{"name":"club","share":1.0,"allowancePerS":20.0}],
    "contract":{"askWithinMs":10000.0,"coldFrom":0.3,"coldMs":13000.0,"drainGraceMs":1000.0,"fallMs":1500.0,
      "graceToAnswerMs":8.0,"overloadFactor":2.5},
    "limits":{"cancel":true,"peers":false,"probing":false,"secondCopies":false,"retryAfter":true,
      "maxAttempts":4,"maxRetryAfterMs":2000.0,"dialTimeoutMs":250.0,"idleCloseMs":30000.0},
    "report":{"how":"off"}})");
}

}  // namespace inference_router
