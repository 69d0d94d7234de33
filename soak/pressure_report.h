/// Measures one router while clients try its limits: its memory, and how ordinary clients fare.
#pragma once

#include <string>
#include <vector>

#include "router_process.h"
#include "scenario.h"

namespace inference_router::soak {

struct PressureOptions {
  std::vector<PressureKind> kinds;  ///< at once
  int connections = 400;            ///< of all kinds together
  double forMs = 4'000;
  bool prefillHangs = false;  ///< prefill instances take requests and answer nothing
  AnswerShape answers = {};
};

/// One router on one core, with 192 MB and 1,024 descriptors, between eight instances and ordinary
/// clients that open a connection for each request.
Plan pressurePlan(const PressureOptions& options);

/// Prints one line: peaks of memory, and latencies and refusals of ordinary clients.
void reportPressure(const PressureOptions& options,
                    const Programs& programs,
                    const std::string& folder);

}  // namespace inference_router::soak
