/// The core of the process, between clients, instances and the decision module: accepts requests,
/// reports what happens to them as events, and executes the decision module's actions. Not
/// thread-safe; independent of any wire protocol.
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

  /// Sets the client that sends attempts to instances. Has to be called before the first event; the
  /// client has to exist as long as events are reported.
  void connect(InstanceClient& client) { context_.instanceClient = &client; }
  /// Sets the function that receives the log lines of the decision module and of the core.
  void onLog(std::function<void(const std::string&)> log) { context_.log = std::move(log); }
  /// Writes a line to that log.
  void log(const std::string& text) { context_.log(text); }
  /// Sets the observer that gets every action before it is executed. There is at most one.
  void onAction(std::function<void(const routing::Action&)> observer) {
    loop_.onAction(std::move(observer));
  }
  /// Adds an observer that gets every event before the decision module does.
  void onEvent(std::function<void(const routing::Event&)> observer) {
    loop_.onEvent(std::move(observer));
  }
  /// Replaces the settings. Classes, tenants and kinds keep their indices; new ones may be
  /// appended.
  void reconfigure(const routing::Settings& settings);

  // ---- From clients

  /// Whether a request with this id is in the table.
  bool isUnderWay(const routing::RequestId& id) const { return context_.requests.contains(id); }
  /// Whether a request with this id has ended, may have run and may not run again. A client that
  /// asks for the rest of its stream may do so under the same id.
  bool mayHaveRun(const routing::Arrival& arrival);
  /// The ids of requests that may have run and may not run again.
  ExecutedRequests& executedRequests() { return context_.executed; }
  /// Those among the requests in the table, in the order of their ids.
  std::vector<routing::RequestId> executingRequests() const;
  /// Accepts a request, which gets one final answer through the writer. Returns nothing if a
  /// request with this id is still in the table or may have run; the caller has to answer then.
  std::optional<RequestKey> submit(routing::Arrival arrival,
                                   std::shared_ptr<const Payload> payload,
                                   std::shared_ptr<ResponseWriter> responseWriter);
  void clientDisconnected(RequestKey key) { lifecycle_.clientDisconnected(key); }
  /// The client can take more of the stream, after ResponseWriter::write() returned false.
  void clientReady(RequestKey key);

  // ---- From discovery and operators

  void list(routing::EndpointListUpdate update) override;
  /// This process is shutting down, and will not be killed before graceMs have passed since the
  /// first call. Has to be called again when successorTakesStreams changes: whether another process
  /// takes over each stream once it is open.
  void beginShutdown(double graceMs, bool successorTakesStreams = false);

  // ---- From instances

  /// Whether clients ask for the rest of a broken stream.
  bool clientsResumeStreams() const { return streamResumption_; }
  /// Whether another attempt cannot take this one's place if it breaks before its first event.
  bool isOnlyAttempt(AttemptKey key) const;
  /// Whether an attempt may be sent now. Has to be checked again right before the first byte of an
  /// attempt that had to wait.
  bool maySend(AttemptKey key) { return guard_.maySend(key); }
  /// Whether the attempt's client is connected and its deadline has not passed.
  bool attemptIsWanted(AttemptKey key) { return guard_.attemptIsWanted(key); }
  /// Whether an instance may be asked for a reservation now.
  bool mayReserve(const routing::InstanceId& instance) const { return guard_.mayReserve(instance); }
  /// Whether a request has no more use for anything that instances hold for it, as it is streaming
  /// or has ended.
  bool needsNoHeldState(const routing::RequestId& id) const;
  /// Whether a part of an attempt's response can be passed on to the client. Has to be asked right
  /// before responseReceived(); a response of which a part cannot is invalid.
  bool canRead(AttemptKey key, std::string_view part);
  /// A part of an attempt's response has arrived. Returns false if the client reads too slowly: the
  /// caller then has to wait for InstanceClient::resume().
  bool responseReceived(AttemptKey key, std::string_view part);
  /// The last byte of the attempt was written to its connection.
  void attemptWritten(AttemptKey key);
  /// The attempt was answered or has failed. Does nothing if it has ended already.
  void attemptEnded(AttemptKey key, const AttemptResult& result) {
    lifecycle_.endAttempt(key, result);
  }
  /// An instance answered the reservation request that accompanies a prefill. Does nothing once the
  /// prefill has ended, as the answer is then too late to be used.
  void reservationAnswered(AttemptKey prefill, const routing::InstanceId& instance, bool granted);
  void healthCheckEnded(const routing::InstanceId& instance, double tookMs, bool healthy);

  // ---- Hand-over of streams between processes of this router

  std::vector<RequestKey> streams() const { return migration_.streams(); }
  std::optional<OpenStream> streamOf(RequestKey key) const { return migration_.streamOf(key); }
  /// Another process has taken over the request: drops it here without an answer.
  void handedOver(RequestKey key) { migration_.handedOver(key); }
  /// Takes over a stream that another process began. Returns nothing if a request with its id is in
  /// the table.
  std::optional<OpenStream> adopt(const routing::Arrival& arrival,
                                  const routing::InstanceId& instance,
                                  std::shared_ptr<ResponseWriter> responseWriter) {
    return migration_.adopt(arrival, instance, std::move(responseWriter));
  }

  // ---- For operators

  /// What clients and instances make this process hold. Without a limit until one is set.
  MemoryBudget& memory() { return context_.memory; }
  std::size_t instancesKnown() const { return context_.endpoints.size(); }
  /// How many requests are waiting for their answer or for the rest of it.
  std::size_t openRequests() const { return lifecycle_.openRequests(); }
  /// How many attempts are in flight at an instance.
  std::size_t attemptsInFlightAt(const routing::InstanceId& instance) const {
    return context_.requests.attemptsInFlightAt(instance);
  }
  const RequestMetrics& metrics() const { return context_.metrics; }
  /// Whether the decision module sends no requests to a listed instance for now, as the instance is
  /// ejected or silent.
  bool isEjectedOrSilent(const routing::InstanceId& instance) const {
    return loop_.isEjectedOrSilent(instance);
  }

 private:
  void configure(const routing::Settings& settings);
  void failOverdue(RequestKey key);
  void countSlowStart();
  bool beginStream(AttemptKey key, std::string_view part);

  DispatchContext context_;
  DecisionLoop loop_;
  RequestLifecycle lifecycle_;
  RequestGuard guard_;
  StreamMigration migration_;
  ActionExecutor executor_;
  routing::SlowStartTotals slowStartCounted_;
  double answerGraceMs_ = 0;
  bool streamResumption_ = false;
};

}  // namespace inference_router::core
