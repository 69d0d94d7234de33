/// What admission control and the descriptor budget do, in the log and for operators. The output
/// does not grow with a flood: two lines a second at most, and a report of bounded length.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "admission/admission_controller.h"
#include "app/server.h"

namespace inference_router::app {

/// Belongs to the thread of the server's loop.
class AdmissionWatch {
 public:
  /// controller: null where there are no admission rules; then nothing is logged. It must outlive
  /// this object.
  AdmissionWatch(Server& server, admission::AdmissionController* controller);

  /// Counters in the exposition format; empty without a controller.
  std::string report();

 private:
  void tick();
  void logRejections();
  void logDescriptorLevel();
  std::string connectionCounters() const;
  std::string descriptorCounters() const;

  Server& server_;
  admission::AdmissionController* controller_;
  std::array<std::uint64_t, admission::kReasons> logged_{};  // rejections, by reason
  admission::Level loggedLevel_ = admission::Level::kNormal;
  core::Timer timer_;
};

}  // namespace inference_router::app
