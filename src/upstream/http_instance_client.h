/// Sends attempts, reservations, releases and health checks to the instances over HTTP. Used by
/// both frontends, whose protocols differ by the names in InstanceProtocol. Not thread-safe.
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

/// The header names and paths that the instances use.
struct InstanceProtocol {
  std::string idHeader;
  std::string budgetHeader;     ///< the remaining time of the client, in milliseconds
  std::string rejectedHeader;   ///< marks an answer that proves that the request has not run
  std::string reservationPath;  ///< of reservations and releases, including the slash before the id
  std::string healthPath;
  net::Fields extraFields;  ///< added to every message
};

/// The parts of a request that are forwarded unchanged to any instance.
struct ForwardedRequest final : core::Payload {
  std::string method;
  std::string target;
  std::string contentType;
  net::Fields forwardedFields;  ///< other headers of the client, unchanged
  std::shared_ptr<const std::string> body;
  core::MemoryCharge memory;  ///< of this request while it is under way

  /// How much memory the request needs, with one copy of it on its way to an instance.
  std::size_t neededBytes() const;
  bool isSmall() const;

 private:
  std::size_t textBytes() const;
};

class HttpInstanceClient final : public core::InstanceClient {
 public:
  /// Connects itself to the dispatcher. Everything that it refers to has to outlive it.
  /// releaseLimitMs is the time within which everything that instances hold has to be released.
  HttpInstanceClient(InstanceProtocol protocol,
                     core::RequestDispatcher& dispatcher,
                     const CallServices& services,
                     double releaseLimitMs);
  ~HttpInstanceClient() override;

  /// Replaces the settings for everything that begins from now on.
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

  /// The state of an open stream, as handed over from one process to another.
  struct TransferState {
    net::Call::TransferState call;
    std::string event;  ///< the part of an incomplete event that has arrived
  };
  /// Stops reading. onPaused is called once transferState() is available; if the stream is not
  /// handed over then, unpause() has to be called.
  void pause(core::AttemptKey key, std::function<void()> onPaused);
  void unpause(core::AttemptKey key);
  /// Nothing if the stream cannot be handed over or is about to end.
  std::optional<TransferState> transferState(core::AttemptKey key);
  /// Continues a stream that another process began. False if that is not possible.
  bool adopt(core::AttemptKey key,
             const routing::RequestId& request,
             const routing::InstanceId& instance,
             const net::Endpoint& address,
             const TransferState& state);

  /// How many releases, and reservations that may still be granted, are in flight.
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
