/// Serves the chat API that common client libraries use, on the same core, routing library and
/// settings as the platform's protocol.
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

/// The paths and headers of calls to instances under this API.
upstream::InstanceProtocol openaiProtocol(const OperatorFile& operatorFile);

/// The front end for the chat API. `operatorFile` must outlive it and may change between two
/// requests.
class OpenAiFront final : public Front {
 public:
  using NewId = std::function<std::string()>;

  OpenAiFront(core::RequestDispatcher& dispatcher,
              const OperatorFile& operatorFile,
              const core::Clock& clock,
              core::Counters& counters,
              NewId newId);

  /// Sets the meter that counts tokens. Without one, tokens are not counted.
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

/// Returns a generator of random request ids, which do not repeat after a restart.
OpenAiFront::NewId randomIds();

}  // namespace inference_router::frontend
