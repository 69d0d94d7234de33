/// The state of all requests and attempts of the process, by key and by request id. Not
/// thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/ports.h"
#include "core/request_permits.h"
#include "core/slot_table.h"
#include "core/timer_queue.h"
#include "inference_router/router.h"

namespace inference_router::core {

/// One attempt in flight. Times are of core::Clock.
struct AttemptState {
  RequestKey request;
  int number = 0;  ///< index among the attempts of its request
  routing::InstanceId instance;
  double startedMs = 0;
  routing::Time retryWindowEnd = routing::Time::max();  ///< not sent from then on
  bool streaming = false;                               ///< its response has begun
  Timer timeout;
};

/// One request, kept until it is answered and none of its attempts is in flight.
struct RequestState {
  routing::RequestId id;
  routing::Arrival arrival;
  std::size_t cls = 0;  ///< index of its class in the settings
  std::shared_ptr<const Payload> payload;
  /// Null once the final answer was given or the client has disconnected.
  std::shared_ptr<ResponseWriter> responseWriter;
  std::vector<AttemptKey> attempts;  ///< by number, including those that have ended
  std::size_t attemptsInFlight = 0;
  RequestFacts facts;
  double lastClosedMs = 0;  ///< when the router last closed the connection of an attempt
  double lastEndedMs = 0;   ///< when an attempt last ended
  AttemptKey stream;        ///< the attempt whose response is streamed to the client
  /// Outcome and instance role of the attempt that ended last, as parts of a counter's name.
  const char* lastOutcome = "nothing_sent";
  const char* lastInstanceRole = "";
  Timer overdue;  ///< fires if the decision module leaves the request without an answer
};

/// Owns the states. Pointers are valid until the next request or attempt, respectively, is added.
class RequestTable {
 public:
  bool contains(const routing::RequestId& id) const { return keys_.count(id) != 0; }
  RequestKey add(RequestState request);
  RequestState* find(RequestKey key) { return requests_.find(key); }
  const RequestState* find(RequestKey key) const { return requests_.find(key); }
  std::optional<RequestKey> keyOf(const routing::RequestId& id) const;
  RequestState* find(const routing::RequestId& id);
  const RequestState* find(const routing::RequestId& id) const;
  void remove(RequestKey key);
  /// The keys of all requests, in the order of their ids.
  std::vector<RequestKey> keys() const;

  /// Adds an attempt to its request, which has to be in the table.
  AttemptKey addAttempt(AttemptState attempt);
  AttemptState* findAttempt(AttemptKey key) { return attempts_.find(key); }
  const AttemptState* findAttempt(AttemptKey key) const { return attempts_.find(key); }
  /// Removes an attempt that has ended. Its key stays in the list of its request.
  void removeAttempt(AttemptKey key);
  std::size_t attemptsInFlightAt(const routing::InstanceId& instance) const;

 private:
  SlotTable<RequestState> requests_;
  SlotTable<AttemptState> attempts_;
  std::map<routing::RequestId, RequestKey> keys_;
  std::map<routing::InstanceId, std::size_t> inFlightAt_;  // only instances with attempts
};

}  // namespace inference_router::core
