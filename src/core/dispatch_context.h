/// The state and services that the components of the request dispatcher share: tables, rules and
/// ports.
#pragma once

#include <functional>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "core/endpoint_registry.h"
#include "core/executed_requests.h"
#include "core/memory_budget.h"
#include "core/ports.h"
#include "core/request_metrics.h"
#include "core/request_permits.h"
#include "core/request_table.h"
#include "core/timer_queue.h"

namespace inference_router::core {

/// Owned by the RequestDispatcher together with the components that refer to it.
struct DispatchContext {
  const Clock& clock;
  TimerQueue& timers;
  Counters& counters;
  InstanceClient* instanceClient = nullptr;  ///< set before the first event
  std::function<void(const std::string&)> log = [](const std::string&) {};
  RequestTable requests{};
  EndpointRegistry endpoints{};
  RequestPermits permits{};
  RequestMetrics metrics{};
  MemoryBudget memory{};
  ExecutedRequests executed{memory};

  double nowMs() const { return clock.nowMs(); }
};

}  // namespace inference_router::core
