// Says in the log and to operators what the gate and the ledger do. Its output never grows with a
// flood: at most a line a second, and a report of bounded length.
#pragma once

#include <array>
#include <optional>
#include <string>

#include "admission/admission_controller.h"
#include "app/server.h"

namespace inference_router::app {

class AdmissionWatch {
 public:
  AdmissionWatch(Server& server, admission::AdmissionController* gate);
  ~AdmissionWatch();

  // Empty without a gate.
  std::string report();

 private:
  void tick();

  Server& server_;
  admission::AdmissionController* gate_;
  std::array<std::uint64_t, admission::kReasons> said_{};
  admission::Level level_ = admission::Level::kNormal;
  std::optional<core::TimerQueue::Key> next_;
};

}  // namespace inference_router::app
