#include "frontend/platform/platform_front.h"

#include <array>
#include <cstdio>
#include <utility>

namespace inference_router::frontend {

using routing::Arrival;
namespace http = boost::beast::http;

namespace {

constexpr double kMsPerSecond = 1'000;

net::Fields textFields() {
  return {{"Content-Type", "text/plain"}};
}

// Forwards the events of an instance unchanged.
class StreamWriter final : public core::ResponseWriter {
 public:
  // streamBegun: whether the response head has been sent already.
  StreamWriter(Front& front, std::shared_ptr<net::ClientConnection> connection, bool streamBegun)
      : front_(front), connection_(std::move(connection)), streamBegun_(streamBegun) {}

  bool isClientPresent() const override { return connection_->isPeerPresent(); }

  void reject(const core::Rejection& rejection) override {
    net::Fields fields = textFields();
    if (rejection.retryAfterMs) {
      std::array<char, 32> seconds{};
      std::snprintf(seconds.data(), seconds.size(), "%.3f", *rejection.retryAfterMs / kMsPerSecond);
      fields.emplace_back("Retry-After", seconds.data());
    }
    front_.responseFinished(*connection_);
    connection_->answer(503, std::move(fields), "refused; trying again is harmless\n");
  }

  void fail(const core::Failure& failure) override {
    front_.responseFinished(*connection_);
    connection_->answer(failure.pastDeadline ? 504 : 502, textFields(), "failed\n");
  }

  bool write(std::string_view bytes) override {
    begin();
    return connection_->writeChunk(bytes);
  }

  void end() override {
    begin();
    front_.responseFinished(*connection_);
    connection_->endStream();
  }

  void abort() override {
    front_.responseFinished(*connection_);
    connection_->abortResponse();
  }

 private:
  void begin() {
    if (!streamBegun_)
      connection_->beginStream({{"Content-Type", "text/event-stream"}});
    streamBegun_ = true;
  }

  Front& front_;
  std::shared_ptr<net::ClientConnection> connection_;
  bool streamBegun_;
};

std::shared_ptr<upstream::ForwardedRequest> payloadOf(net::HttpRequest&& request) {
  const auto payload = std::make_shared<upstream::ForwardedRequest>();
  payload->method = std::string(request.method_string());
  payload->target = std::string(request.target());
  payload->contentType = headerOf(request, "Content-Type");
  payload->forwardedFields = forwardedFields(request);
  payload->body = std::make_shared<const std::string>(std::move(request.body()));
  return payload;
}

}  // namespace

upstream::InstanceProtocol platformProtocol() {
  return {"X-Call-Id", "X-Budget-Ms", "X-Rejected", "/bootstrap/rooms/", "/-/healthy", {}};
}

void PlatformFront::request(const std::shared_ptr<net::ClientConnection>& connection,
                            net::HttpRequest&& request,
                            double arrivedMs) {
  if (request.method() == http::verb::get && request.target() == "/-/ready")
    return answerReady(*connection);
  if (request.method() != http::verb::post)
    return reject(*connection, 404, "nothing here");
  Arrival arrival{};
  try {
    arrival = arrivalOf(request, names_);
  } catch (const RequestHeaderError& error) {
    return reject(*connection, 400, error.what());
  }
  const auto writer = std::make_shared<StreamWriter>(*this, connection, /*streamBegun=*/false);
  switch (
      dispatch(*connection, std::move(arrival), arrivedMs, payloadOf(std::move(request)), writer)) {
    case DispatchResult::kSubmitted:
      return;
    case DispatchResult::kIdInUse:
      return reject(*connection, 400, "a request with this X-Call-Id is under way");
    // Neither a refusal, which would promise that it has not run, nor an attempt.
    case DispatchResult::kMayHaveRun:
      return reject(*connection, 409, "a request with this X-Call-Id may have run");
    case DispatchResult::kNoMemory:
      return reject(*connection, 503, "memory is needed for other requests");
  }
}

// A response consists of a head and the instance's events unchanged, so there is no other state to
// restore.
std::shared_ptr<core::ResponseWriter> PlatformFront::adoptResponse(
    const std::shared_ptr<net::ClientConnection>& connection) {
  return std::make_shared<StreamWriter>(*this, connection, /*streamBegun=*/true);
}

void PlatformFront::reject(net::ClientConnection& connection,
                           unsigned status,
                           std::string_view why) {
  ++counters_["clients.rejected"];
  connection.answer(status, textFields(), std::string(why) + "\n");
}

}  // namespace inference_router::frontend
