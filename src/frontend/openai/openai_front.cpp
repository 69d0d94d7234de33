#include "frontend/openai/openai_front.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <random>
#include <utility>

#include "frontend/openai/chat_response_writer.h"
#include "frontend/openai/conversation.h"

namespace inference_router::frontend {

using nlohmann::json;
namespace http = boost::beast::http;

namespace {

constexpr const char* kChatTarget = "/v1/chat/completions";
constexpr const char* kModelsTarget = "/v1/models";
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kTooManyRequests = 429;
constexpr double kMsPerSecond = 1'000;

net::Fields jsonFields() {
  return {{"Content-Type", "application/json"}};
}

std::uint32_t indexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::shared_ptr<upstream::ForwardedRequest> payloadOf(const ChatRequest& request) {
  const auto payload = std::make_shared<upstream::ForwardedRequest>();
  payload->method = "POST";
  payload->target = kChatTarget;
  payload->contentType = "application/json";
  payload->body = std::make_shared<const std::string>(request.instanceBody);
  return payload;
}

}  // namespace

upstream::InstanceProtocol openaiProtocol(const OperatorFile& operatorFile) {
  net::Fields extra;
  if (!operatorFile.instanceKey.empty())
    extra.emplace_back("Authorization", "Bearer " + operatorFile.instanceKey);
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

OpenAiFront::OpenAiFront(core::RequestDispatcher& dispatcher,
                         const OperatorFile& operatorFile,
                         const core::Clock& clock,
                         core::Counters& counters,
                         NewId newId)
    : Front(dispatcher, clock, counters),
      operatorFile_(operatorFile),
      newId_(std::move(newId)),
      startedS_(static_cast<std::int64_t>(core::unixNowMs() / kMsPerSecond)) {}

void OpenAiFront::request(const std::shared_ptr<net::ClientConnection>& connection,
                          net::HttpRequest&& request,
                          double arrivedMs) {
  const std::string target(request.target().substr(0, request.target().find('?')));
  const bool isGet = request.method() == http::verb::get;
  try {
    if (isGet && target == "/-/ready")
      return answerReady(*connection);
    const ApiKey& key = authenticate(request);
    if (!key.name.empty())
      connection->identify(key.name);
    if (request.method() == http::verb::post && target == kChatTarget)
      return chat(connection, request, key, arrivedMs);
    if (isGet &&
        (target == kModelsTarget || target.rfind(std::string(kModelsTarget) + "/", 0) == 0))
      return connection->answer(200, jsonFields(), models(target));
    throw ApiError{404,
                   "no such call: " + std::string(request.method_string()) + " " + target,
                   "invalid_request_error",
                   {},
                   "unknown_url"};
  } catch (const ApiError& error) {
    answerError(*connection, error);
  }
}

const ApiKey& OpenAiFront::authenticate(const net::HttpRequest& request) const {
  const auto header = request.find(http::field::authorization);
  const std::string value = header == request.end() ? std::string() : std::string(header->value());
  constexpr std::string_view kBearer = "Bearer ";
  const auto key = value.rfind(kBearer, 0) == 0
                       ? operatorFile_.keys.find(value.substr(kBearer.size()))
                       : operatorFile_.keys.end();
  if (key == operatorFile_.keys.end())
    throw ApiError{kUnauthorized,
                   "give a known API key as 'Authorization: Bearer KEY'",
                   "invalid_request_error",
                   {},
                   "invalid_api_key"};
  return key->second;
}

// ---- Chat

void OpenAiFront::chat(const std::shared_ptr<net::ClientConnection>& connection,
                       const net::HttpRequest& request,
                       const ApiKey& key,
                       double arrivedMs) {
  const ChatRequest chatRequest = readChatRequest(request.body(), operatorFile_.defaultMaxTokens);
  const std::string& cls = classFor(chatRequest, key);
  routing::Arrival arrival = arrivalFor(chatRequest, key, cls);
  const double promptTokens = arrival.promptTokens;
  auto reservation = reserveTokens(key, cls, promptTokens, chatRequest.maxTokens);
  const auto writer = std::make_shared<ChatResponseWriter>(
      *this, connection, chatRequest, arrival.request.value, promptTokens, std::move(reservation),
      dispatcher_.memory());
  switch (dispatch(*connection, std::move(arrival), arrivedMs, payloadOf(chatRequest), writer)) {
    case DispatchResult::kSubmitted:
      return;
    case DispatchResult::kIdInUse:
    case DispatchResult::kMayHaveRun:  // ids are drawn at random
      throw ApiError{503, "try again", "server_error", {}, "id_in_use"};
    case DispatchResult::kNoMemory:
      throw ApiError{503, "memory is needed for other requests", "server_error", {}, "overloaded"};
  }
}

const std::string& OpenAiFront::classFor(const ChatRequest& request, const ApiKey& key) const {
  const auto model = operatorFile_.models.find(request.model);
  if (model == operatorFile_.models.end())
    throw unknownModel(request.model);
  return key.cls.empty() ? model->second : key.cls;
}

// The chat API has no field for the client's deadline, so the deadline of the class is used.
routing::Arrival OpenAiFront::arrivalFor(const ChatRequest& request,
                                         const ApiKey& key,
                                         const std::string& cls) const {
  const auto& names = operatorFile_.setup.names;
  const ConversationTraits traits = traitsOf(request.messages, key.tenant, request.user);
  routing::Arrival arrival{};
  arrival.request = {newId_()};
  arrival.cls = {indexOf(names.classes, cls)};
  if (!key.tenant.empty())
    arrival.tenant = routing::TenantIndex{indexOf(names.tenants, key.tenant)};
  arrival.session = traits.session;
  arrival.prefix = traits.prefix;
  arrival.promptTokens = traits.promptTokens;
  arrival.prefixTokens = traits.prefixTokens;
  arrival.maxTokens = request.maxTokens;
  arrival.timeLeft = operatorFile_.setup.settings.classes[arrival.cls.value].deadline;
  return arrival;
}

// Reserves the maximum that the request can use, so that this router does not exceed its portion of
// the budget that the fleet shares.
std::unique_ptr<TokenReservation> OpenAiFront::reserveTokens(const ApiKey& key,
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
    throw ApiError{kTooManyRequests,     denied->why,         "insufficient_quota", {},
                   "insufficient_quota", denied->retryAfterMs};
  return std::make_unique<TokenReservation>(meter_, key.tenant, cls, reservation, tokens);
}

// ---- Models

std::string OpenAiFront::models(const std::string& target) const {
  const auto entry = [this](const std::string& name) {
    return json{
        {"id", name}, {"object", "model"}, {"created", startedS_}, {"owned_by", "dahliastall"}};
  };
  if (target == kModelsTarget) {
    json list = json::array();
    for (const auto& [name, cls] : operatorFile_.models)
      list.push_back(entry(name));
    return json{{"object", "list"}, {"data", list}}.dump();
  }
  const std::string name = target.substr(std::string(kModelsTarget).size() + 1);
  if (operatorFile_.models.count(name) == 0)
    throw unknownModel(name);
  return entry(name).dump();
}

// ---- Errors

void OpenAiFront::answerError(net::ClientConnection& connection, const ApiError& error) {
  ++counters_["clients.rejected"];
  net::Fields fields = jsonFields();
  if (error.status == kUnauthorized)
    fields.emplace_back("WWW-Authenticate", "Bearer");
  if (error.retryAfterMs > 0)
    fields.emplace_back("Retry-After", net::wholeSeconds(error.retryAfterMs));
  connection.answer(error.status, std::move(fields), error.text());
}

std::string OpenAiFront::refusalResponse(unsigned status,
                                         std::string_view why,
                                         double retryAfterMs) const {
  const bool isRateLimit = status == kTooManyRequests;
  const ApiError error{status,
                       std::string(why),
                       isRateLimit ? "rate_limit_error" : "server_error",
                       {},
                       "too_many_connections"};
  const std::string body = error.text();
  const std::string reason = isRateLimit ? " Too Many Requests" : " Service Unavailable";
  return net::headText("HTTP/1.1 " + std::to_string(status) + reason,
                       {{"Content-Type", "application/json"},
                        {"Connection", "close"},
                        {"X-Should-Retry", "true"},
                        {"Retry-After", net::wholeSeconds(retryAfterMs)},
                        {"Content-Length", std::to_string(body.size())}}) +
         body;
}

void OpenAiFront::reject(net::ClientConnection& connection, unsigned status, std::string_view why) {
  answerError(connection, {status, std::string(why), "invalid_request_error", {}, {}});
}

}  // namespace inference_router::frontend
