/// The core of the process, between clients, instances and the decision module: takes in requests,
/// reports what happens to them as events, and carries out the decision module's actions. Belongs
/// to one thread; knows no wire protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/action_executor.h"
#include "core/decision_loop.h"
#include "core/dispatch_context.h"
#include "core/ports.h"
#include "core/request_guard.h"
#include "core/request_lifecycle.h"
#include "core/stream_migration.h"
#include "inference_router/router.h"

namespace inference_router::core {

class RequestDispatcher final : public EndpointListSink {
 public:
  RequestDispatcher(const routing::Settings& settings,
                    std::uint64_t seed,
                    const Clock& clock,
                    TimerQueue& timers,
                    Counters& counters);

  // ---- Setup

  /// The client that carries attempts to instances; to be called before the first event. It has to
  /// live as long as events come.
  void connect(InstanceClient& client) { context_.instanceClient = &client; }
  /// Receives log lines of the decision module and of the core.
  void onLog(std::function<void(const std::string&)> log) { context_.log = std::move(log); }
  /// Writes a line to that log.
  void log(const std::string& text) { context_.log(text); }
  /// Sees every action before it is carried out. One observer at most.
  void onAction(std::function<void(const routing::Action&)> observer) {
    loop_.onAction(std::move(observer));
  }
  /// Sees every event before the decision module does. Any number of observers.
  void onEvent(std::function<void(const routing::Event&)> observer) {
    loop_.onEvent(std::move(observer));
  }
  /// Later settings. Classes, tenants and kinds keep their indices; more may follow them.
  void reconfigure(const routing::Settings& settings);

  // ---- From clients

  /// Takes in a request, which gets one final answer through the writer. Nothing if a request of
  /// its id is still known: then the caller answers.
  std::optional<RequestKey> submit(routing::Arrival arrival,
                                   std::shared_ptr<const Payload> payload,
                                   std::shared_ptr<ResponseWriter> responseWriter);
  void clientDisconnected(RequestKey key) { lifecycle_.clientDisconnected(key); }
  /// The client reads again, after ResponseWriter::write() asked to wait.
  void clientReady(RequestKey key);

  // ---- From discovery and operators

  void list(routing::EndpointListUpdate update) override;
  /// This process ends, and is killed no sooner than this from now.
  void beginShutdown(double graceMs);

  // ---- From the instances' side

  /// Whether an attempt may go out now; to be asked again just before the first byte of one that
  /// had to wait.
  bool maySend(AttemptKey key) { return guard_.maySend(key); }
  /// Whether the attempt's client is connected and its deadline has not passed.
  bool attemptIsWanted(AttemptKey key) { return guard_.attemptIsWanted(key); }
  /// Whether an instance may be asked for a reservation now.
  bool mayReserve(const routing::InstanceId& instance) const { return guard_.mayReserve(instance); }
  /// Whether nothing that instances hold for a request can be of use to it any more: it streams, or
  /// is over.
  bool needsNoHeldState(const routing::RequestId& id) const;
  /// A part of an attempt's response has come. False if its client reads too slowly: then the
  /// caller waits for InstanceClient::resume().
  bool responseReceived(AttemptKey key, std::string_view part);
  /// The attempt's last byte is out.
  void attemptWritten(AttemptKey key);
  /// The attempt is over, be it answered or failed. Does nothing for one that ended before.
  void attemptEnded(AttemptKey key, const AttemptResult& result) {
    lifecycle_.endAttempt(key, result);
  }
  /// An instance answered a reservation that was made beside a prefill. Does nothing once the
  /// prefill has ended, as the answer comes too late to mean anything.
  void reservationAnswered(AttemptKey prefill, const routing::InstanceId& instance, bool granted);
  void healthCheckEnded(const routing::InstanceId& instance, double tookMs, bool healthy);

  // ---- Streams that pass from one process of this router to the next

  std::vector<RequestKey> streams() const { return migration_.streams(); }
  std::optional<OpenStream> streamOf(RequestKey key) const { return migration_.streamOf(key); }
  /// Another process has the request: no answer and no attempt of it is here any more.
  void handedOver(RequestKey key) { migration_.handedOver(key); }
  /// Goes on with a stream that another process began. Nothing if a request of its id is known
  /// here.
  std::optional<OpenStream> adopt(const routing::Arrival& arrival,
                                  const routing::InstanceId& instance,
                                  std::shared_ptr<ResponseWriter> responseWriter) {
    return migration_.adopt(arrival, instance, std::move(responseWriter));
  }

  // ---- For operators

  std::size_t instancesKnown() const { return context_.endpoints.size(); }
  /// How many requests are owed an answer or the rest of it.
  std::size_t openRequests() const { return lifecycle_.openRequests(); }
  /// How many attempts are in flight at an instance.
  std::size_t attemptsInFlightAt(const routing::InstanceId& instance) const {
    return context_.requests.attemptsInFlightAt(instance);
  }
  const RequestMetrics& metrics() const { return context_.metrics; }
  /// Whether the decision module ejected a listed instance by its own judgement.
  bool isEjectedOrSilent(const routing::InstanceId& instance) const {
    return loop_.isEjectedOrSilent(instance);
  }

 private:
  void configure(const routing::Settings& settings);
  void answerOverdue(RequestKey key);
  bool beginStream(AttemptKey key, std::string_view part);

  DispatchContext context_;
  DecisionLoop loop_;
  RequestLifecycle lifecycle_;
  RequestGuard guard_;
  StreamMigration migration_;
  ActionExecutor executor_;
  double answerGraceMs_ = 0;
};

}  // namespace inference_router::core
