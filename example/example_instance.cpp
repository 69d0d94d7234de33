/// An example instance: answers each chat request with a few streamed words. For trying the router,
/// nothing else.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "net/listener.h"
#include "net/loop.h"
#include "upstream/instance_directory.h"

namespace {

using namespace inference_router;
using nlohmann::json;

constexpr double kWordIntervalMs = 150;
constexpr const char* kWords[] = {"The", " club", " opens", " at", " seven", "."};

json encodeChunk(const std::string& model, json delta, json finish) {
  return {{"id", "chatcmpl-example"},
          {"object", "chat.completion.chunk"},
          {"created", 0},
          {"model", model},
          {"choices",
           {{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finish)}}}}};
}

class ExampleInstance final : public net::RequestHandler {
 public:
  ExampleInstance(std::string name, const core::Clock& clock, core::TimerQueue& timers)
      : name_(std::move(name)), clock_(clock), timers_(timers) {}

  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double) override {
    std::cout << name_ << ": " << request.method_string() << ' ' << request.target() << std::endl;
    if (request.method_string() == "DELETE")
      return connection->answer(204, {}, "");
    const json body = json::parse(request.body(), nullptr, /*allow_exceptions=*/false);
    if (!body.is_object() || !body.contains("messages"))
      return connection->answer(404, {}, "");
    connection->beginStream({{"Content-Type", "text/event-stream"}});
    word(connection, body.value("model", ""), 0);
  }
  void disconnected(net::ClientConnection&) override {}
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override {
    connection.answer(status, {}, why);
  }

 private:
  void word(const std::shared_ptr<net::ClientConnection>& connection,
            const std::string& model,
            std::size_t index) {
    if (connection->state() != net::ClientConnection::State::kStreaming)
      return;
    if (index < std::size(kWords)) {
      sendChunk(*connection, encodeChunk(model, {{"content", kWords[index]}}, nullptr));
      timers_.runAt(clock_.nowMs() + kWordIntervalMs,
                    [this, connection, model, index] { word(connection, model, index + 1); });
      return;
    }
    sendChunk(*connection, encodeChunk(model, json::object(), "stop"));
    sendChunk(*connection,
              {{"id", "chatcmpl-example"},
               {"object", "chat.completion.chunk"},
               {"choices", json::array()},
               {"usage", {{"prompt_tokens", 8}, {"completion_tokens", std::size(kWords)}}}});
    connection->writeChunk("data: [DONE]\n\n");
    connection->endStream();
  }
  static void sendChunk(net::ClientConnection& connection, const json& chunk) {
    connection.writeChunk("data: " + chunk.dump() + "\n\n");
  }

  std::string name_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
};

}  // namespace

int main(int argc, char** argv) {
  try {
    if (argc != 2) {
      std::cerr << "usage: example_instance 127.0.0.1:PORT\n";
      return 2;
    }
    boost::asio::io_context io;
    const core::SystemClock clock;
    core::TimerQueue timers;
    core::Counters counters;
    const net::Loop loop(io, clock, timers);
    ExampleInstance instance(argv[1], clock, timers);
    net::Listener listener(io, net::parseEndpoint(argv[1]), 100, instance, clock, timers, counters);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
    std::cout << argv[1] << ": listens" << std::endl;
    io.run();
    return 0;
  } catch (const std::exception& fault) {
    std::cerr << "example_instance: " << fault.what() << '\n';
    return 1;
  }
}
