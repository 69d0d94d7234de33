/// Carries attempts, reservations, releases and health checks to the instances over HTTP. Both
/// fronts use it; an InstanceProtocol holds what they name differently. Belongs to one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/request_dispatcher.h"
#include "net/message.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "upstream/owed_release_calls.h"
#include "upstream/releases.h"
#include "upstream/reservations.h"
#include "upstream/timed_call_sink.h"

namespace inference_router::upstream {

/// The names that instances give to what they are sent and send.
struct InstanceProtocol {
  std::string idHeader;
  std::string budgetHeader;     ///< how long the client waits, in milliseconds
  std::string rejectedHeader;   ///< marks an answer that proves that the request never ran
  std::string reservationPath;  ///< of reservations and releases, with the slash before the id
  std::string healthPath;
  net::Fields extraFields;  ///< on every message
};

/// What is forwarded unchanged to whichever instance gets the request.
struct ForwardedRequest final : core::Payload {
  std::string method;
  std::string target;
  std::string contentType;
  net::Fields forwardedFields;  ///< further headers of the client's, as they came
  std::shared_ptr<const std::string> body;
};

class HttpInstanceClient final : public core::InstanceClient {
 public:
  /// Connects itself to the dispatcher. All that it refers to has to outlive it. releaseLimitMs:
  /// within which everything that instances hold has to be released.
  HttpInstanceClient(InstanceProtocol protocol,
                     core::RequestDispatcher& dispatcher,
                     const CallServices& services,
                     double releaseLimitMs);
  ~HttpInstanceClient() override;

  /// Later settings, which hold for what begins from now on.
  void reconfigure(InstanceProtocol protocol, double releaseLimitMs);

  void start(const core::Dispatch& dispatch) override;
  void abandon(core::AttemptKey key) override;
  void resume(core::AttemptKey key) override;
  bool hasUnreadResponse(core::AttemptKey key) const override;
  void reserve(const routing::RequestId& request,
               core::AttemptKey prefill,
               const routing::InstanceId& instance) override;
  void release(const routing::RequestId& request) override;
  void checkHealth(const routing::InstanceId& instance) override;

  /// A stream under way, as it is handed over from one process to another.
  struct TransferState {
    net::Call::TransferState call;
    std::string event;  ///< the part of one that has come
  };
  /// Stops reading. onPaused is called once transferState() can be asked for; if the stream is not
  /// handed over then, unpause() has to follow.
  void pause(core::AttemptKey key, std::function<void()> onPaused);
  void unpause(core::AttemptKey key);
  /// Nothing if the stream cannot be handed over, or is over within a moment.
  std::optional<TransferState> transferState(core::AttemptKey key);
  /// Goes on with a stream that another process began. False if that is not possible.
  bool adopt(core::AttemptKey key,
             const routing::RequestId& request,
             const routing::InstanceId& instance,
             const net::Endpoint& address,
             const TransferState& state);

  /// How many releases, and reservations that may yet be granted, are in flight.
  std::size_t releasing() const { return releases_.inFlight(); }

 private:
  class AttemptCall;
  class HealthCheckCall;

  std::shared_ptr<AttemptCall> findAttempt(core::AttemptKey key) const;
  std::optional<double> releaseAllowedFromMs(const routing::RequestId& request) const;
  std::string reservationHead(const std::string& method,
                              const routing::RequestId& request,
                              const InstanceEndpoint& endpoint) const;
  std::string head(const std::string& method,
                   const std::string& target,
                   const InstanceEndpoint& endpoint,
                   net::Fields fields) const;

  InstanceProtocol protocol_;
  core::RequestDispatcher& dispatcher_;
  CallServices services_;
  double releaseLimitMs_;
  std::map<std::uint32_t, std::shared_ptr<AttemptCall>> attempts_;  // by the slot of the key
  Releases releases_;
  OwedReleaseCalls owed_;
  Reservations reservations_;
};

}  // namespace inference_router::upstream
