/// Writes the response to one chat request, as a stream of events or as one JSON document.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/memory_budget.h"
#include "core/ports.h"
#include "frontend/front.h"
#include "frontend/openai/api_error.h"
#include "frontend/openai/chat_event.h"
#include "frontend/openai/chat_request.h"
#include "frontend/openai/completion.h"
#include "frontend/openai/sse.h"
#include "frontend/openai/token_reservation.h"
#include "net/client_connection.h"

namespace inference_router::frontend {

/// Converts an instance's event stream to the response of one client. The front must outlive it.
class ChatResponseWriter final : public core::ResponseWriter {
 public:
  /// promptTokens: an estimate, used unless the instance reports a count. reservation: null if
  /// tokens are not counted.
  ChatResponseWriter(Front& front,
                     std::shared_ptr<net::ClientConnection> connection,
                     const ChatRequest& request,
                     std::string id,
                     double promptTokens,
                     std::unique_ptr<TokenReservation> reservation,
                     const core::MemoryBudget& memory);

  bool isClientPresent() const override { return connection_->isPeerPresent(); }
  void reject(const core::Rejection& rejection) override;
  void fail(const core::Failure& failure) override;
  bool canRead(std::string_view bytes) override;
  bool write(std::string_view bytes) override;
  void end() override;
  void abort() override;

 private:
  enum class ShouldRetry { kNo, kYes };

  struct Event {
    std::string text;
    std::optional<ChatChunk> chunk;  // none: the event does not have to be understood
  };
  /// A decoded part of the instance's stream.
  struct Part {
    std::vector<Event> events;
    EventSplitter rest;
    bool isComplete = false;
  };

  std::optional<Part> decode(std::string_view bytes) const;
  bool needsChunk(std::string_view data) const;
  bool forward(const Event& event);
  void recordUsage(const TokenUsage& usage);
  bool writeEvent(std::string_view event);
  void answerCompletion();
  void answerError(const ApiError& error, ShouldRetry shouldRetry, double retryAfterMs = 0);

  Front& front_;
  std::shared_ptr<net::ClientConnection> connection_;
  bool isStream_;
  bool includesUsage_;
  std::string id_;
  std::unique_ptr<TokenReservation> reservation_;
  std::uint64_t promptTokens_;
  std::uint64_t answerTokens_ = 0;
  EventSplitter events_;
  std::optional<Part> nextPart_;  // decoded by canRead(), and not written yet
  core::MemoryCharge memory_;     // of the completion, and of its text at the end
  Completion completion_;         // used if the client did not ask for a stream
  bool streamBegun_ = false;      // the response head has been sent
  bool isComplete_ = false;       // the instance has sent [DONE]
  bool hasError_ = false;         // the instance has sent an error event
  bool isTooLong_ = false;
  bool isUnreadable_ = false;  // a part was written that cannot be read
};

}  // namespace inference_router::frontend
