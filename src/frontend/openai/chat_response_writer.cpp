#include "frontend/openai/chat_response_writer.h"

#include <utility>

#include "core/document_reader.h"
#include "net/message.h"

namespace inference_router::frontend {

namespace {

constexpr double kRetryAfterMs = 1'000;  // if the rejection or failure names no delay
constexpr std::size_t kMaxIncompleteEventBytes = std::size_t{4} * 1024 * 1024;
constexpr const char* kEndOfStream = "[DONE]";

std::string eventOf(const std::string& data) {
  return "data: " + data + "\n\n";
}

}  // namespace

ChatResponseWriter::ChatResponseWriter(Front& front,
                                       std::shared_ptr<net::ClientConnection> connection,
                                       const ChatRequest& request,
                                       std::string id,
                                       double promptTokens,
                                       std::unique_ptr<TokenReservation> reservation,
                                       const core::MemoryBudget& memory)
    : front_(front),
      connection_(std::move(connection)),
      isStream_(request.stream),
      includesUsage_(request.includeUsage),
      id_(std::move(id)),
      reservation_(std::move(reservation)),
      promptTokens_(static_cast<std::uint64_t>(promptTokens)),
      memory_(memory, core::MemoryUse::kAnswers) {}

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

bool ChatResponseWriter::canRead(std::string_view bytes) {
  nextPart_ = decode(bytes);
  return nextPart_.has_value();
}

bool ChatResponseWriter::write(std::string_view bytes) {
  std::optional<Part> part = std::exchange(nextPart_, std::nullopt);
  if (!part)
    part = decode(bytes);
  if (!part) {
    isUnreadable_ = true;
    return true;
  }
  events_ = std::move(part->rest);
  isComplete_ = part->isComplete;
  bool acceptsMore = true;
  for (const Event& event : part->events)
    acceptsMore = forward(event) && acceptsMore;
  if (events_.pendingBytes() > kMaxIncompleteEventBytes)
    isTooLong_ = true;
  return acceptsMore;
}

void ChatResponseWriter::end() {
  if (!isComplete_ || hasError_ || isTooLong_ || isUnreadable_)
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

// [DONE] is not forwarded: end() writes it once the stream is known to be complete. What follows it
// is ignored.
std::optional<ChatResponseWriter::Part> ChatResponseWriter::decode(std::string_view bytes) const {
  Part part{.events = {}, .rest = events_, .isComplete = isComplete_};
  part.rest.add(bytes);
  try {
    while (auto text = part.rest.next()) {
      const std::string data = dataOf(*text);
      part.isComplete = part.isComplete || data == kEndOfStream;
      if (part.isComplete)
        continue;
      std::optional<ChatChunk> chunk;
      if (needsChunk(data))
        chunk = readChatChunk(data);
      part.events.push_back({std::move(*text), std::move(chunk)});
    }
  } catch (const core::DocumentError&) {
    return std::nullopt;
  }
  return part;
}

// Events of a stream that contain neither usage nor an error are forwarded without being parsed.
bool ChatResponseWriter::needsChunk(std::string_view data) const {
  const bool isRelevant =
      data.find("\"usage\"") != std::string::npos || data.find("\"error\"") != std::string::npos;
  return !data.empty() && (!isStream_ || isRelevant);
}

bool ChatResponseWriter::forward(const Event& event) {
  if (!event.chunk)
    return !isStream_ || writeEvent(event.text);
  const ChatChunk& chunk = *event.chunk;
  if (chunk.isErrorEvent)
    hasError_ = true;
  recordUsage(chunk.tokens);
  if (isStream_)
    return (chunk.isUsageOnly && !includesUsage_) || writeEvent(event.text);
  if (!isTooLong_)
    isTooLong_ = !completion_.add(chunk) || !memory_.tryResize(2 * completion_.bytes());
  return true;
}

// Replaces the estimate by the token counts of the instance. The estimate from the text's length
// only serves to compare requests.
void ChatResponseWriter::recordUsage(const TokenUsage& usage) {
  promptTokens_ = usage.promptTokens.value_or(promptTokens_);
  answerTokens_ = usage.completionTokens.value_or(answerTokens_);
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
