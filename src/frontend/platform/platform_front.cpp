#include "frontend/platform/platform_front.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <stdexcept>

namespace inference_router::frontend {

using routing::Arrival;
namespace http = boost::beast::http;

namespace {

std::string textOf(const net::HttpRequest& request, std::string_view name) {
  const auto found = request.find(boost::beast::string_view(name.data(), name.size()));
  return found == request.end() ? std::string() : std::string(found->value());
}

// Far above what any request needs, and far below where a double no longer fits the module's time.
constexpr std::uint64_t kMostMs = 3'600'000;
constexpr std::uint64_t kMostTokens = 100'000'000;

double numberOf(std::string_view text, const char* what, std::uint64_t most) {
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size())
    throw std::invalid_argument(std::string(what) + " is not a whole number");
  if (value > most)
    throw std::invalid_argument(std::string(what) + " is over " + std::to_string(most));
  return static_cast<double>(value);
}

// A guess may not cost a request: one that cannot be read, or says nothing, is none.
std::optional<routing::Duration> costOf(std::string_view text) {
  double us = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), us);
  const bool whole = fault == std::errc() && end == text.data() + text.size();
  if (!whole || !(us > 0 && us <= kMostMs * 1000.0))
    return std::nullopt;
  return routing::Duration(std::llround(us));
}

// The id becomes part of paths and headers towards the instances.
bool plainId(const std::string& id) {
  return !id.empty() && id.size() <= 128 && std::all_of(id.begin(), id.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
  });
}

void readInfo(std::string_view info, Arrival& arrival) {
  while (!info.empty()) {
    const std::size_t comma = info.find(',');
    std::string_view pair = info.substr(0, comma);
    info = comma == std::string_view::npos ? std::string_view() : info.substr(comma + 1);
    pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos)
      continue;
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "prefix")
      arrival.prefix = std::string(value);
    if (name == "prompt_len")
      arrival.promptTokens = numberOf(value, "prompt_len", kMostTokens);
    if (name == "prefix_len")
      arrival.prefixTokens = numberOf(value, "prefix_len", kMostTokens);
    if (name == "max_out")
      arrival.maxTokens = numberOf(value, "max_out", kMostTokens);
  }
}

// What the client says to the instance beyond what the router words anew: a class whose repeats
// are discarded, for one, is known by a header of its client's. Nothing that is meant for one
// connection alone goes along.
net::Fields passedOn(const net::HttpRequest& request) {
  constexpr std::array kOwn{"Host",
                            "Connection",
                            "Keep-Alive",
                            "Proxy-Connection",
                            "TE",
                            "Transfer-Encoding",
                            "Content-Length",
                            "Trailer",
                            "Upgrade",
                            "Expect",
                            "Content-Type",
                            "X-Call-Id",
                            "X-Budget-Ms"};
  net::Fields fields;
  for (const auto& field : request) {
    const auto name = field.name_string();
    if (std::any_of(kOwn.begin(), kOwn.end(),
                    [&](const char* own) { return boost::beast::iequals(name, own); }))
      continue;
    fields.emplace_back(std::string(name), std::string(field.value()));
  }
  return fields;
}

}  // namespace

upstream::InstanceProtocol platformDialect() {
  return {"X-Call-Id", "X-Budget-Ms", "X-Rejected", "/bootstrap/rooms/", "/-/healthy", {}};
}

Arrival arrivalOf(const net::HttpRequest& request, const routing::wire::Vocabulary& names) {
  Arrival arrival{};
  arrival.request = {textOf(request, "X-Call-Id")};
  if (!plainId(arrival.request.value))
    throw std::invalid_argument("X-Call-Id is missing or not a plain word");
  const auto cls =
      std::find(names.classes.begin(), names.classes.end(), textOf(request, "X-Call-Class"));
  if (cls == names.classes.end())
    throw std::invalid_argument("X-Call-Class is not a class of this site");
  arrival.cls = {static_cast<std::uint32_t>(cls - names.classes.begin())};
  const auto tenant =
      std::find(names.tenants.begin(), names.tenants.end(), textOf(request, "X-Caller"));
  if (tenant != names.tenants.end())
    arrival.tenant =
        routing::TenantIndex{static_cast<std::uint32_t>(tenant - names.tenants.begin())};
  arrival.session = textOf(request, "X-Route-Hash");
  arrival.timeLeft =
      core::toModule(numberOf(textOf(request, "X-Budget-Ms"), "X-Budget-Ms", kMostMs));
  readInfo(textOf(request, "X-Call-Info"), arrival);
  arrival.lengthHint = costOf(textOf(request, "X-Call-Cost"));
  const std::string again = textOf(request, "X-Again");
  arrival.repeat = again == "1";
  arrival.resumed = again == "again";
  return arrival;
}

// ---- Answers
// ---------------------------------------------------------------------------------------

class PlatformFront::Answer final : public core::ResponseWriter {
 public:
  Answer(PlatformFront& front,
         std::shared_ptr<net::ClientConnection> connection,
         bool begun = false)
      : front_(front), connection_(std::move(connection)), begun_(begun) {}

  bool present() const override { return connection_->isPeerPresent(); }
  void refuse(const core::Refusal& refusal) override {
    net::Fields fields{{"Content-Type", "text/plain"}};
    if (refusal.retryAfterMs) {
      std::array<char, 32> seconds{};
      std::snprintf(seconds.data(), seconds.size(), "%.3f", *refusal.retryAfterMs / 1000);
      fields.emplace_back("Retry-After", seconds.data());
    }
    over();
    connection_->answer(503, std::move(fields), "refused; trying again is harmless\n");
  }
  void fail(const core::Failure& failure) override {
    over();
    connection_->answer(failure.pastDeadline ? 504 : 502, {{"Content-Type", "text/plain"}},
                        "failed\n");
  }
  bool pass(std::string_view part) override {
    begin();
    return connection_->pass(part);
  }
  void end() override {
    begin();
    over();
    connection_->endStream();
  }
  void broken() override {
    over();
    connection_->abortResponse();
  }

 private:
  void begin() {
    if (!begun_)
      connection_->beginStream({{"Content-Type", "text/event-stream"}});
    begun_ = true;
  }
  void over() { front_.over(*connection_); }

  PlatformFront& front_;
  std::shared_ptr<net::ClientConnection> connection_;
  bool begun_;
};

// ---- Requests
// --------------------------------------------------------------------------------------

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
  } catch (const std::invalid_argument& fault) {
    return reject(*connection, 400, fault.what());
  }
  const auto payload = std::make_shared<upstream::ForwardedRequest>();
  payload->method = std::string(request.method_string());
  payload->target = std::string(request.target());
  payload->contentType = textOf(request, "Content-Type");
  payload->passed = passedOn(request);
  payload->body = std::make_shared<const std::string>(std::move(request.body()));
  if (!submit(*connection, std::move(arrival), arrivedMs, payload,
              std::make_shared<Answer>(*this, connection)))
    reject(*connection, 400, "a request with this X-Call-Id is under way");
}

// A stream here is the instance's own events after one head: there is nothing else to take over.
std::shared_ptr<core::ResponseWriter> PlatformFront::adopted(
    const std::shared_ptr<net::ClientConnection>& connection) {
  return std::make_shared<Answer>(*this, connection, /*begun=*/true);
}

void PlatformFront::reject(net::ClientConnection& connection,
                           unsigned status,
                           std::string_view why) {
  ++counters_["clients.rejected"];
  connection.answer(status, {{"Content-Type", "text/plain"}}, std::string(why) + "\n");
}

}  // namespace inference_router::frontend
