#include "frontend/openai/chat_response_writer.h"

#include <utility>

#include "net/message.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

constexpr double kRetryAfterMs = 1'000;  // if the rejection or failure names no delay
// Limits both a response assembled from a stream and a single event.
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} * 1024 * 1024;
constexpr const char* kEndOfStream = "[DONE]";

std::string eventOf(const std::string& data) {
  return "data: " + data + "\n\n";
}

bool isErrorEvent(const json& chunk) {
  return chunk.is_object() && chunk.contains("error") && !chunk.contains("choices");
}

bool isUsageOnlyEvent(const json& chunk) {
  return chunk.is_object() && chunk.contains("usage") && chunk.contains("choices") &&
         chunk.at("choices").is_array() && chunk.at("choices").empty();
}

void readCount(const json& usage, const char* name, std::uint64_t& result) {
  const auto count = usage.find(name);
  if (count != usage.end() && count->is_number_unsigned() &&
      count->get<std::uint64_t>() < shared::kMaxTokens)
    result = count->get<std::uint64_t>();
}

}  // namespace

ChatResponseWriter::ChatResponseWriter(Front& front,
                                       std::shared_ptr<net::ClientConnection> connection,
                                       const ChatRequest& request,
                                       std::string id,
                                       double promptTokens,
                                       std::unique_ptr<TokenReservation> reservation)
    : front_(front),
      connection_(std::move(connection)),
      isStream_(request.stream),
      includesUsage_(request.includeUsage),
      id_(std::move(id)),
      reservation_(std::move(reservation)),
      promptTokens_(static_cast<std::uint64_t>(promptTokens)) {}

// The request has not been executed, so client libraries may retry it automatically.
void ChatResponseWriter::reject(const core::Rejection& rejection) {
  if (reservation_)
    reservation_->refused();
  if (rejection.pastDeadline)
    return answerError({504, "no answer began in time", "server_error", {}, "deadline"},
                       ShouldRetry::kYes);
  answerError({429, "too much to do just now", "rate_limit_error", {}, "overloaded"},
              ShouldRetry::kYes, rejection.retryAfterMs.value_or(kRetryAfterMs));
}

// The request may have been executed. Client libraries retry a 5xx response unless it carries
// X-Should-Retry: false.
void ChatResponseWriter::fail(const core::Failure& failure) {
  if (reservation_)
    reservation_->failed();
  if (failure.pastDeadline)
    return answerError(
        {504, "no answer began in time; the request may have run", "server_error", {}, "deadline"},
        ShouldRetry::kNo);
  answerError({503, "the request failed and may have run", "server_error", {}, "box_failed"},
              ShouldRetry::kNo, kRetryAfterMs);
}

bool ChatResponseWriter::write(std::string_view bytes) {
  events_.add(bytes);
  bool acceptsMore = true;
  while (const auto event = events_.next())
    acceptsMore = forwardEvent(*event) && acceptsMore;
  if (events_.pendingBytes() > kMaxAnswerBytes)
    isTooLong_ = true;
  return acceptsMore;
}

void ChatResponseWriter::end() {
  if (!isComplete_ || hasError_ || isTooLong_)
    return abort();
  if (reservation_)
    reservation_->served(promptTokens_, answerTokens_);
  if (!isStream_)
    return answerCompletion();
  writeEvent(eventOf(kEndOfStream));
  front_.responseFinished(*connection_);
  connection_->endStream();
}

// A stream that has begun ends with one error event; the request is not sent to another instance.
void ChatResponseWriter::abort() {
  if (reservation_)
    reservation_->failed();
  const ApiError error{503, "the answer broke off", "server_error", {}, "stream_broken"};
  if (!streamBegun_)
    return answerError(error, ShouldRetry::kNo, kRetryAfterMs);
  if (!hasError_)
    writeEvent(eventOf(error.text()));
  front_.responseFinished(*connection_);
  connection_->endStream();
}

// [DONE] is not forwarded: end() writes it once the stream is known to be complete. Events of a
// stream that contain neither usage nor an error are forwarded without being parsed.
bool ChatResponseWriter::forwardEvent(const std::string& event) {
  const std::string data = dataOf(event);
  if (data == kEndOfStream)
    isComplete_ = true;
  if (isComplete_)
    return true;
  const bool needsParsing =
      data.find("\"usage\"") != std::string::npos || data.find("\"error\"") != std::string::npos;
  if (isStream_ && !needsParsing)
    return writeEvent(event);
  const json chunk = json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (isErrorEvent(chunk))
    hasError_ = true;
  readUsage(chunk);
  if (!isStream_)
    return addToCompletion(chunk);
  return (isUsageOnlyEvent(chunk) && !includesUsage_) || writeEvent(event);
}

bool ChatResponseWriter::addToCompletion(const json& chunk) {
  if (completion_.size() > kMaxAnswerBytes)
    isTooLong_ = true;
  else
    completion_.add(chunk);
  return true;
}

// Replaces the estimate by the token counts of the instance. The estimate from the text's length
// only serves to compare requests.
void ChatResponseWriter::readUsage(const json& chunk) {
  if (!chunk.is_object())
    return;
  const auto usage = chunk.find("usage");
  if (usage == chunk.end() || !usage->is_object())
    return;
  readCount(*usage, "prompt_tokens", promptTokens_);
  readCount(*usage, "completion_tokens", answerTokens_);
}

bool ChatResponseWriter::writeEvent(std::string_view event) {
  if (!streamBegun_)
    connection_->beginStream({{"Content-Type", "text/event-stream"},
                              {"Cache-Control", "no-cache"},
                              {"X-Request-Id", id_}});
  streamBegun_ = true;
  return connection_->writeChunk(event);
}

void ChatResponseWriter::answerCompletion() {
  front_.responseFinished(*connection_);
  connection_->answer(200, {{"Content-Type", "application/json"}, {"X-Request-Id", id_}},
                      completion_.text());
}

void ChatResponseWriter::answerError(const ApiError& error,
                                     ShouldRetry shouldRetry,
                                     double retryAfterMs) {
  net::Fields fields{{"Content-Type", "application/json"}, {"X-Request-Id", id_}};
  fields.emplace_back("X-Should-Retry", shouldRetry == ShouldRetry::kYes ? "true" : "false");
  if (retryAfterMs > 0)
    fields.emplace_back("Retry-After", net::wholeSeconds(retryAfterMs));
  front_.responseFinished(*connection_);
  connection_->answer(error.status, std::move(fields), error.text());
}

}  // namespace inference_router::frontend
