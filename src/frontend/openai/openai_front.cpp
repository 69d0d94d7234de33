#include "frontend/openai/openai_front.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <memory>
#include <random>

#include "frontend/openai/completion.h"
#include "frontend/openai/derive.h"
#include "frontend/openai/sse.h"

namespace inference_router::frontend {

using nlohmann::json;
namespace http = boost::beast::http;

namespace {

constexpr const char* kChat = "/v1/chat/completions";
constexpr const char* kModels = "/v1/models";
constexpr double kRetryAfterMs = 1000;  // where the module advises nothing
constexpr std::size_t kAnswerLimit =
    4 * 1024 * 1024;  // of an answer put together, and of one event

net::Fields jsonFields() {
  return {{"Content-Type", "application/json"}};
}

}  // namespace

upstream::InstanceProtocol openaiDialect(const OperatorFile& site) {
  net::Fields extra;
  if (!site.instanceKey.empty())
    extra.emplace_back("Authorization", "Bearer " + site.instanceKey);
  return {"X-Request-Id",      "X-Budget-Ms", "X-Rejected",
          "/bootstrap/rooms/", "/health",     std::move(extra)};
}

OpenAiFront::NewId randomIds() {
  const auto random = std::make_shared<std::mt19937_64>(
      (static_cast<std::uint64_t>(std::random_device()()) << 32) ^ std::random_device()());
  return [random] {
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>((*random)()),
                  static_cast<unsigned long long>((*random)()));
    return std::string(text.data());
  };
}

// ---- Answers
// ---------------------------------------------------------------------------------------

class OpenAiFront::Answer final : public core::ResponseWriter {
 public:
  // bill: none where tokens are not counted.
  Answer(OpenAiFront& front,
         std::shared_ptr<net::ClientConnection> connection,
         const ChatRequest& request,
         std::string id,
         double promptTokens,
         std::unique_ptr<Bill> bill)
      : front_(front),
        connection_(std::move(connection)),
        stream_(request.stream),
        usage_(request.includeUsage),
        id_(std::move(id)),
        bill_(std::move(bill)),
        promptTokens_(static_cast<std::uint64_t>(promptTokens)) {}

  // It has not run, so the libraries may try again by themselves.
  bool present() const override { return connection_->isPeerPresent(); }
  void refuse(const core::Refusal& refusal) override {
    if (bill_)
      bill_->refused();
    if (refusal.pastDeadline)
      return error({504, "no answer began in time", "server_error", {}, "deadline"}, "true");
    error({429, "too much to do just now", "rate_limit_error", {}, "overloaded"}, "true",
          refusal.retryAfterMs.value_or(kRetryAfterMs));
  }

  // It may have run. Client libraries repeat what fails with 5xx unless told not to.
  void fail(const core::Failure& failure) override {
    if (bill_)
      bill_->failed();
    if (failure.pastDeadline)
      return error({504,
                    "no answer began in time; the request may have run",
                    "server_error",
                    {},
                    "deadline"},
                   "false");
    error({503, "the request failed and may have run", "server_error", {}, "box_failed"}, "false",
          kRetryAfterMs);
  }

  bool pass(std::string_view part) override {
    cutter_.add(part);
    bool more = true;
    while (const auto event = cutter_.next())
      more = take(*event) && more;
    if (cutter_.waiting() > kAnswerLimit)
      tooLong_ = true;
    return more;
  }

  void end() override {
    if (!done_ || failed_ || tooLong_)
      return broken();
    if (bill_)
      bill_->served(promptTokens_, answerTokens_);
    if (stream_) {
      put("data: [DONE]\n\n");
      front_.over(*connection_);
      return connection_->endStream();
    }
    front_.over(*connection_);
    net::Fields fields = jsonFields();
    fields.emplace_back("X-Request-Id", id_);
    connection_->answer(200, std::move(fields), whole_.text());
  }

  // One last event tells the client; what was begun is never sent again.
  void broken() override {
    if (bill_)
      bill_->failed();
    const ApiError why{503, "the answer broke off", "server_error", {}, "stream_broken"};
    if (!begun_)
      return error(why, "false", kRetryAfterMs);
    if (!failed_)
      put("data: " + why.text() + "\n\n");
    front_.over(*connection_);
    connection_->endStream();
  }

 private:
  bool take(const std::string& event) {
    const std::string data = dataOf(event);
    if (data == "[DONE]")
      done_ = true;
    if (done_)
      return true;  // said by end(), once it is known that the stream is whole
    // Most events are passed on unread.
    const bool plain =
        data.find("\"usage\"") == std::string::npos && data.find("\"error\"") == std::string::npos;
    if (stream_ && plain)
      return put(event);
    const json chunk = json::parse(data, nullptr, /*allow_exceptions=*/false);
    if (chunk.is_object() && chunk.contains("error") && !chunk.contains("choices"))
      failed_ = true;
    readUsage(chunk);
    if (!stream_) {
      if (whole_.size() > kAnswerLimit)
        tooLong_ = true;
      else
        whole_.add(chunk);
      return true;
    }
    const bool onlyUsage = chunk.is_object() && chunk.contains("usage") &&
                           chunk.contains("choices") && chunk.at("choices").is_array() &&
                           chunk.at("choices").empty();
    return onlyUsage && !usage_ ? true : put(event);
  }

  // As the instance counted them: what is derived here from the text's length only serves to
  // compare.
  void readUsage(const json& chunk) {
    const auto usage = chunk.is_object() ? chunk.find("usage") : chunk.end();
    if (!chunk.is_object() || usage == chunk.end() || !usage->is_object())
      return;
    const auto tokens = [&usage](const char* name, std::uint64_t& to) {
      const auto count = usage->find(name);
      if (count != usage->end() && count->is_number_unsigned() &&
          count->get<std::uint64_t>() < shared::kMaxTokens)
        to = count->get<std::uint64_t>();
    };
    tokens("prompt_tokens", promptTokens_);
    tokens("completion_tokens", answerTokens_);
  }

  bool put(std::string_view event) {
    if (!begun_)
      connection_->beginStream({{"Content-Type", "text/event-stream"},
                                {"Cache-Control", "no-cache"},
                                {"X-Request-Id", id_}});
    begun_ = true;
    return connection_->pass(event);
  }

  void error(const ApiError& error, const char* again, double retryAfterMs = 0) {
    net::Fields fields = jsonFields();
    fields.emplace_back("X-Request-Id", id_);
    fields.emplace_back("X-Should-Retry", again);
    if (retryAfterMs > 0)
      fields.emplace_back("Retry-After",
                          std::to_string(static_cast<long>(std::ceil(retryAfterMs / 1000))));
    front_.over(*connection_);
    connection_->answer(error.status, std::move(fields), error.text());
  }

  OpenAiFront& front_;
  std::shared_ptr<net::ClientConnection> connection_;
  bool stream_, usage_;
  std::string id_;
  std::unique_ptr<Bill> bill_;
  std::uint64_t promptTokens_, answerTokens_ = 0;
  EventCutter cutter_;
  Completion whole_;
  bool begun_ = false, done_ = false, failed_ = false, tooLong_ = false;
};

// ---- Requests
// --------------------------------------------------------------------------------------

OpenAiFront::OpenAiFront(core::RequestDispatcher& dispatcher,
                         const OperatorFile& site,
                         const core::Clock& clock,
                         core::Counters& counters,
                         NewId newId)
    : Front(dispatcher, clock, counters),
      site_(site),
      newId_(std::move(newId)),
      startedS_(static_cast<std::int64_t>(core::unixNowMs() / 1000)) {}

void OpenAiFront::request(const std::shared_ptr<net::ClientConnection>& connection,
                          net::HttpRequest&& request,
                          double arrivedMs) {
  const std::string target(request.target().substr(0, request.target().find('?')));
  const bool get = request.method() == http::verb::get;
  try {
    if (get && target == "/-/ready")
      return answerReady(*connection);
    const ApiKey& key = allowed(request);
    if (!key.name.empty())
      connection->identify(key.name);
    if (request.method() == http::verb::post && target == kChat)
      return chat(connection, request, key, arrivedMs);
    if (get && (target == kModels || target.rfind(std::string(kModels) + "/", 0) == 0))
      return connection->answer(200, jsonFields(), models(target));
    throw ApiError{404,
                   "no such call: " + std::string(request.method_string()) + " " + target,
                   "invalid_request_error",
                   {},
                   "unknown_url"};
  } catch (const ApiError& error) {
    refuse(*connection, error);
  }
}

const ApiKey& OpenAiFront::allowed(const net::HttpRequest& request) const {
  const auto header = request.find(http::field::authorization);
  const std::string value = header == request.end() ? std::string() : std::string(header->value());
  constexpr std::string_view kBearer = "Bearer ";
  const auto key = value.rfind(kBearer, 0) == 0 ? site_.keys.find(value.substr(kBearer.size()))
                                                : site_.keys.end();
  if (key == site_.keys.end())
    throw ApiError{401,
                   "give a known API key as 'Authorization: Bearer KEY'",
                   "invalid_request_error",
                   {},
                   "invalid_api_key"};
  return key->second;
}

void OpenAiFront::chat(const std::shared_ptr<net::ClientConnection>& connection,
                       const net::HttpRequest& request,
                       const ApiKey& key,
                       double arrivedMs) {
  const ChatRequest asked = readChatRequest(request.body(), site_.defaultMaxTokens);
  const auto model = site_.models.find(asked.model);
  if (model == site_.models.end())
    throw ApiError{404, "the model '" + asked.model + "' does not exist", "invalid_request_error",
                   "model", "model_not_found"};
  const auto& names = site_.setup.names;
  const std::string& cls = key.cls.empty() ? model->second : key.cls;
  const auto index = [](const std::vector<std::string>& list, const std::string& name) {
    return static_cast<std::uint32_t>(std::find(list.begin(), list.end(), name) - list.begin());
  };
  const Derived derived = derive(asked.messages, key.tenant, asked.user);
  routing::Arrival arrival{};
  arrival.request = {newId_()};
  arrival.cls = {index(names.classes, cls)};
  if (!key.tenant.empty())
    arrival.tenant = routing::TenantIndex{index(names.tenants, key.tenant)};
  arrival.session = derived.session;
  arrival.prefix = derived.prefix;
  arrival.promptTokens = derived.promptTokens;
  arrival.prefixTokens = derived.prefixTokens;
  arrival.maxTokens = asked.maxTokens;
  // These clients do not say how long they wait: the class does.
  arrival.timeLeft = site_.setup.settings.classes[arrival.cls.value].deadline;
  std::unique_ptr<Bill> bill = billFor(key, cls, derived.promptTokens, asked.maxTokens);
  const auto payload = std::make_shared<upstream::ForwardedRequest>();
  payload->method = "POST";
  payload->target = kChat;
  payload->contentType = "application/json";
  payload->body = std::make_shared<const std::string>(asked.instanceBody);
  const std::string id = arrival.request.value;
  if (!submit(*connection, std::move(arrival), arrivedMs, payload,
              std::make_shared<Answer>(*this, connection, asked, id, derived.promptTokens,
                                       std::move(bill))))
    throw ApiError{503, "try again", "server_error", {}, "id_in_use"};
}

// Guards a budget that the fleet shares: nothing is begun that might go beyond what this router
// may spend.
std::unique_ptr<Bill> OpenAiFront::billFor(const ApiKey& key,
                                           const std::string& cls,
                                           double promptTokens,
                                           double answerTokens) {
  if (!meter_ || key.tenant.empty())
    return nullptr;
  const auto tokens = static_cast<std::uint64_t>(std::min(
      std::ceil(promptTokens) + std::ceil(answerTokens), static_cast<double>(shared::kMaxTokens)));
  shared::Reservation reservation;
  const auto denied = meter_->reserve(key.tenant, cls, tokens, reservation);
  if (denied)
    throw ApiError{429, denied->why,          "insufficient_quota",
                   {},  "insufficient_quota", denied->retryAfterMs};
  return std::make_unique<Bill>(meter_, key.tenant, cls, reservation, tokens);
}

std::string OpenAiFront::models(const std::string& target) const {
  const auto entry = [this](const std::string& name) {
    return json{
        {"id", name}, {"object", "model"}, {"created", startedS_}, {"owned_by", "dahliastall"}};
  };
  if (target == kModels) {
    json list = json::array();
    for (const auto& [name, cls] : site_.models)
      list.push_back(entry(name));
    return json{{"object", "list"}, {"data", list}}.dump();
  }
  const std::string name = target.substr(std::string(kModels).size() + 1);
  if (site_.models.count(name) == 0)
    throw ApiError{404, "the model '" + name + "' does not exist", "invalid_request_error", "model",
                   "model_not_found"};
  return entry(name).dump();
}

void OpenAiFront::refuse(net::ClientConnection& connection, const ApiError& error) {
  ++counters_["clients.rejected"];
  net::Fields fields = jsonFields();
  if (error.status == 401)
    fields.emplace_back("WWW-Authenticate", "Bearer");
  if (error.retryAfterMs > 0)
    fields.emplace_back("Retry-After",
                        std::to_string(static_cast<long>(std::ceil(error.retryAfterMs / 1000))));
  connection.answer(error.status, std::move(fields), error.text());
}

std::string OpenAiFront::refusalResponse(unsigned status,
                                         std::string_view why,
                                         double retryAfterMs) const {
  const bool much = status == 429;
  const ApiError error{status,
                       std::string(why),
                       much ? "rate_limit_error" : "server_error",
                       {},
                       "too_many_connections"};
  const std::string body = error.text();
  return net::headText(
             "HTTP/1.1 " + std::to_string(status) +
                 (much ? " Too Many Requests" : " Service Unavailable"),
             {{"Content-Type", "application/json"},
              {"Connection", "close"},
              {"X-Should-Retry", "true"},
              {"Retry-After", std::to_string(static_cast<long>(std::ceil(retryAfterMs / 1000)))},
              {"Content-Length", std::to_string(body.size())}}) +
         body;
}

void OpenAiFront::reject(net::ClientConnection& connection, unsigned status, std::string_view why) {
  refuse(connection, {status, std::string(why), "invalid_request_error", {}, {}});
}

}  // namespace inference_router::frontend
