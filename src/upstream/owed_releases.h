/// Releases that are owed to individual instances, which may still process a call after it timed
/// out. No I/O; times in milliseconds.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "inference_router/router.h"

namespace inference_router::upstream {

/// A call that an instance has not read yet cannot be undone by a release now: when the instance
/// resumes, it may still grant a reservation or run a prefill for a request that ended long ago. So
/// the release is owed to this instance until it has accepted two of them some time apart, as it
/// may read its connections in any order. An unresponsive instance gets one call at a time.
class OwedReleases {
 public:
  static constexpr std::size_t kMaxOwed =
      1'024;  ///< for all instances; beyond it the oldest are dropped
  static constexpr double kMaxAgeMs = 60'000;     ///< after which a release is dropped
  static constexpr double kRetryDelayMs = 100;    ///< after a failed call
  static constexpr int kMinAcceptances = 2;       ///< of each release
  static constexpr std::size_t kMaxInFlight = 8;  ///< calls to a responsive instance

  /// The release of everything that one instance holds for a request.
  struct Release {
    routing::InstanceId instance;
    routing::RequestId request;
  };

  /// intervalMs is the time between two releases of the same request.
  explicit OwedReleases(double intervalMs) : intervalMs_(intervalMs) {}
  void setInterval(double ms) { intervalMs_ = ms; }

  /// Owes the instance the release of what it holds for a request.
  void owe(const routing::InstanceId& instance, const routing::RequestId& request, double nowMs);
  /// Returns the releases to send now. Each is in flight until it is reported as accepted or
  /// failed.
  std::vector<Release> due(double nowMs);
  void accepted(const Release& release, double nowMs);
  void failed(const Release& release, double nowMs);
  /// The instance was removed or has restarted, so it no longer holds anything from before.
  void forget(const routing::InstanceId& instance) { instances_.erase(instance); }

  /// When due() has to be called next; nothing if an answer has to arrive first.
  std::optional<double> nextMs() const;
  /// How many releases are owed.
  std::size_t size() const;

 private:
  struct Entry {
    double owedSinceMs = 0;
    double dueMs = 0;
    int acceptances = 0;
    bool inFlight = false;
  };
  struct Instance {
    std::map<routing::RequestId, Entry> entries;
    bool responsive = false;   ///< has accepted a release since the last failed call
    double pausedUntilMs = 0;  ///< nothing is sent before
  };

  static std::size_t capacity(const Instance& instance);
  void dropOldest();
  void expire(double nowMs);

  double intervalMs_;
  std::map<routing::InstanceId, Instance> instances_;
};

}  // namespace inference_router::upstream
