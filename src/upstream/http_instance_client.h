// Speaks to the instances: a request to a prefill instance or decode instance, places, releases and
// probes. Both fronts use it; a dialect holds what they name differently.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/request_dispatcher.h"
#include "net/message.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "upstream/owed_release_calls.h"
#include "upstream/releases.h"
#include "upstream/reservations.h"

namespace inference_router::upstream {

struct InstanceProtocol {
  std::string idHeader;
  std::string budgetHeader;
  std::string rejectedHeader;  // marks an answer that proves that the request never ran
  std::string roomsPath;       // of places and releases, with the slash before the id
  std::string healthPath;
  net::Fields extra;  // on every message
};

// What passes on unchanged to whichever instance gets the request.
struct ForwardedRequest final : core::Payload {
  std::string method, target, contentType;
  net::Fields passed;  // further headers of the client's that go along as they came
  std::shared_ptr<const std::string> body;
};

class HttpInstanceClient final : public core::InstanceClient {
 public:
  HttpInstanceClient(InstanceProtocol dialect,
                     core::RequestDispatcher& dispatcher,
                     net::ConnectionPool& pool,
                     InstanceDirectory& directory,
                     const core::Clock& clock,
                     core::TimerQueue& timers,
                     core::Counters& counters,
                     double releaseWithinMs);
  ~HttpInstanceClient() override;

  void start(const core::Dispatch& dispatch) override;
  void abandon(core::AttemptKey attempt) override;
  void resume(core::AttemptKey attempt) override;
  bool hasUnreadResponse(core::AttemptKey attempt) const override;
  void reserve(const routing::RequestId& request,
                 core::AttemptKey reading,
                 const routing::InstanceId& instance) override;
  void release(const routing::RequestId& request) override;
  void checkHealth(const routing::InstanceId& instance) override;

  // A stream under way, as it passes from one process to another.
  struct TransferState {
    net::Call::TransferState call;
    std::string event;  // the part of one that has come
  };
  // Quiet is called once rest() can be asked for; if it is not handed over then, unpause() has to
  // follow.
  void pause(core::AttemptKey attempt, std::function<void()> quiet);
  std::optional<TransferState> rest(core::AttemptKey attempt);
  void unpause(core::AttemptKey attempt);
  void leave(core::AttemptKey attempt);  // lets go of a stream that another process has now
  bool adopt(core::AttemptKey attempt,
             const routing::RequestId& request,
             const routing::InstanceId& instance,
             const net::Endpoint& address,
             const TransferState& rest);

  void reconfigure(InstanceProtocol dialect, double releaseWithinMs) {
    dialect_ = std::move(dialect);
    releaseWithinMs_ = releaseWithinMs;
    releases_.within(releaseWithinMs);
    owed_.within(releaseWithinMs);
    reservations_.within(releaseWithinMs);
  }

  std::size_t releasing() const { return releases_.underWay(); }

 private:
  class AttemptCall;
  class ProbeCall;

  std::shared_ptr<AttemptCall> attempt(core::AttemptKey key) const;
  std::optional<double> heldBackMs(const routing::RequestId& request) const;
  std::string roomHead(const std::string& method,
                       const routing::RequestId& request,
                       const InstanceEndpoint& endpoint) const;
  std::string head(const std::string& method,
                   const std::string& target,
                   const InstanceEndpoint& endpoint,
                   net::Fields fields) const;
  void heard(const routing::InstanceId& instance);
  void unheard(const routing::InstanceId& instance);

  InstanceProtocol dialect_;
  core::RequestDispatcher& dispatcher_;
  net::ConnectionPool& pool_;
  InstanceDirectory& directory_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  double releaseWithinMs_;
  std::map<std::uint32_t, std::shared_ptr<AttemptCall>>
      attempts_;  // by the number of the core's slot
  Releases releases_;
  OwedReleaseCalls owed_;
  Reservations reservations_;
};

}  // namespace inference_router::upstream
