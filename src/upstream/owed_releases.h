/// Releases that are owed to single instances: they got calls that were given up without an answer,
/// and may still read them. No I/O; times in milliseconds.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "inference_router/router.h"

namespace inference_router::upstream {

/// What an instance has not read yet cannot be released: once it goes on, it may grant a
/// reservation, or prefill, for a request that is long over. Such a release is owed to this very
/// instance, until it has accepted two of them some time apart, as it may read its connections in
/// any order. While it is silent, one call at a time waits for it.
class OwedReleases {
 public:
  static constexpr std::size_t kMaxOwed = 1'024;  ///< of all instances; then the oldest are dropped
  static constexpr double kMaxAgeMs = 60'000;     ///< that a silent instance is waited for
  static constexpr double kRetryDelayMs = 100;    ///< after a call that failed
  static constexpr int kMinAcceptances = 2;       ///< of one release
  static constexpr std::size_t kMaxInFlight = 8;  ///< at a time, to an instance that answers

  /// Of what is held for a request, at one instance.
  struct Release {
    routing::InstanceId instance;
    routing::RequestId request;
  };

  /// intervalMs: between two releases of the same request.
  explicit OwedReleases(double intervalMs) : intervalMs_(intervalMs) {}
  void setInterval(double ms) { intervalMs_ = ms; }

  /// Owes the instance the release of what it holds for a request.
  void owe(const routing::InstanceId& instance, const routing::RequestId& request, double nowMs);
  /// The releases to send now. Each counts as in flight until it is accepted or has failed.
  std::vector<Release> due(double nowMs);
  void accepted(const Release& release, double nowMs);
  void failed(const Release& release, double nowMs);
  /// The instance was removed or has restarted, and holds nothing of before.
  void forget(const routing::InstanceId& instance) { instances_.erase(instance); }

  /// When due() has to be asked next; nothing if an answer has to come first.
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
    bool answers = false;  ///< since the last call that failed
    double resumesMs = 0;  ///< nothing is sent before
  };

  static std::size_t capacity(const Instance& instance);
  void dropOldest();
  void expire(double nowMs);

  double intervalMs_;
  std::map<routing::InstanceId, Instance> instances_;
};

}  // namespace inference_router::upstream
