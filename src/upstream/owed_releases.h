/// Releases that are owed to one instance: it has calls that were given up without an answer, and
/// may still read them. No I/O; times in milliseconds.
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
  static constexpr std::size_t kMost =
      1'024;  ///< of all instances; beyond it the oldest are dropped
  static constexpr double kForgetMs = 60'000;  ///< that a silent instance is waited for
  static constexpr double kAgainMs = 100;      ///< after a call that failed
  static constexpr int kAcceptances = 2;
  static constexpr std::size_t kMostSent = 8;  ///< at a time, to an instance that answers

  struct Release {
    routing::InstanceId instance;
    routing::RequestId request;
  };

  /// apartMs: between two releases of the same request.
  explicit OwedReleases(double apartMs) : apartMs_(apartMs) {}
  void apart(double ms) { apartMs_ = ms; }

  void owe(const routing::InstanceId& instance, const routing::RequestId& request, double nowMs);
  /// The releases to send now. Each counts as sent until it is accepted or has failed.
  std::vector<Release> due(double nowMs);
  void accepted(const Release& release, double nowMs);
  void failed(const Release& release, double nowMs);
  /// The instance is gone or has started anew, and holds nothing of before.
  void forget(const routing::InstanceId& instance) { instances_.erase(instance); }

  std::optional<double> nextMs() const;
  std::size_t size() const;
  std::size_t dropped() const { return dropped_; }
  std::vector<routing::InstanceId> instances() const;

 private:
  struct Entry {
    double sinceMs = 0, dueMs = 0;
    int acceptances = 0;
    bool sent = false;
  };
  struct Instance {
    std::map<routing::RequestId, Entry> entries;
    bool answers = false;  ///< since the last call that failed
    double resumesMs = 0;  ///< nothing is sent before
  };

  static std::size_t room(const Instance& instance);
  void dropOldest();
  void expire(double nowMs);

  double apartMs_;
  std::map<routing::InstanceId, Instance> instances_;
  std::size_t dropped_ = 0;
};

}  // namespace inference_router::upstream
