/// The chat API that every client library speaks, on the same core, module and rules as the
/// platform's protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "frontend/front.h"
#include "frontend/openai/api_error.h"
#include "frontend/openai/chat_request.h"
#include "frontend/openai/operator_file.h"
#include "frontend/openai/token_meter.h"
#include "frontend/openai/token_reservation.h"

namespace inference_router::frontend {

/// How instances are spoken to under this API.
upstream::InstanceProtocol openaiProtocol(const OperatorFile& operatorFile);

/// `operatorFile` outlives it and may change between two requests.
class OpenAiFront final : public Front {
 public:
  using NewId = std::function<std::string()>;

  OpenAiFront(core::RequestDispatcher& dispatcher,
              const OperatorFile& operatorFile,
              const core::Clock& clock,
              core::Counters& counters,
              NewId newId);

  /// Whoever counts tokens; without it nobody does.
  void setTokenMeter(std::shared_ptr<TokenMeter> meter) { meter_ = std::move(meter); }

  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double arrivedMs) override;
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;
  std::string refusalResponse(unsigned status,
                              std::string_view why,
                              double retryAfterMs) const override;

 private:
  const ApiKey& authenticate(const net::HttpRequest& request) const;
  void chat(const std::shared_ptr<net::ClientConnection>& connection,
            const net::HttpRequest& request,
            const ApiKey& key,
            double arrivedMs);
  const std::string& classFor(const ChatRequest& request, const ApiKey& key) const;
  routing::Arrival arrivalFor(const ChatRequest& request,
                              const ApiKey& key,
                              const std::string& cls) const;
  std::unique_ptr<TokenReservation> reserveTokens(const ApiKey& key,
                                                  const std::string& cls,
                                                  double promptTokens,
                                                  double answerTokens);
  std::string models(const std::string& target) const;
  void answerError(net::ClientConnection& connection, const ApiError& error);

  const OperatorFile& operatorFile_;
  NewId newId_;
  std::shared_ptr<TokenMeter> meter_;
  std::int64_t startedS_;
};

/// Ids of requests, fresh also after a restart.
OpenAiFront::NewId randomIds();

}  // namespace inference_router::frontend
