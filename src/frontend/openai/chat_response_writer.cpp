#include "frontend/openai/chat_response_writer.h"

#include <utility>

#include "net/message.h"

namespace inference_router::frontend {

using nlohmann::json;

namespace {

constexpr double kRetryAfterMs = 1'000;  // where the module advises nothing
// Of an answer put together, and of one event.
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

// It has not run, so the libraries may try again by themselves.
void ChatResponseWriter::reject(const core::Rejection& rejection) {
  if (reservation_)
    reservation_->refused();
  if (rejection.pastDeadline)
    return answerError({504, "no answer began in time", "server_error", {}, "deadline"},
                       ShouldRetry::kYes);
  answerError({429, "too much to do just now", "rate_limit_error", {}, "overloaded"},
              ShouldRetry::kYes, rejection.retryAfterMs.value_or(kRetryAfterMs));
}

// It may have run. Client libraries repeat what fails with 5xx unless told not to.
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

// One last event tells the client; what was begun is never sent again.
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

// The end of the stream is written by end(), once it is known to be complete. Most events are
// passed on unread.
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

// As the instance counted them: what is estimated here from the text's length only serves to
// compare.
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
