/// The effective membership: the instances that discovery or the operator's file lists, overlaid
/// with the exclusions of operators, the drains of a maintenance and the exclusions by peers. It is
/// all that the routing module sees: an excluded instance appears there as draining, and one that
/// is included again as just started. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/exclusions.h"
#include "inference_router/router.h"

namespace inference_router::fleet {

/// The listed instances with their overlays.
class Membership {
 public:
  /// writer: identifies this process among those that record exclusions.
  explicit Membership(std::uint64_t writer) : writer_(writer) {}

  /// Applies an update of the listed instances; returns the update for the routing module.
  routing::EndpointListUpdate applyUpdate(const routing::EndpointListUpdate& update, double nowMs);

  enum class Result { kDone, kUnknownInstance, kFull };
  /// The effect of an operator's command.
  struct Change {
    Result result;
    /// Nothing: no change for the routing module.
    std::optional<routing::EndpointListUpdate> update;
  };
  Change exclude(const std::string& id, double nowMs) { return setExcluded(id, true, nowMs); }
  Change include(const std::string& id, double nowMs) { return setExcluded(id, false, nowMs); }

  /// Replaces the set of instances that a maintenance drains. Instances that are no longer drained
  /// return as just started.
  std::optional<routing::EndpointListUpdate> setPlannedDrains(const std::set<std::string>& drained,
                                                              double nowMs);

  /// Replaces the set of instances that are excluded because other routers found them unhealthy.
  /// Instances that return count as just started, as they may have been restarted.
  std::optional<routing::EndpointListUpdate> setPeerExclusions(
      const std::set<std::string>& excluded,
      double nowMs);

  /// Merges the exclusions of other processes.
  std::optional<routing::EndpointListUpdate> merge(const Exclusions& others);
  /// Drops exclusions that no longer have an effect, and those of instances that have been unlisted
  /// for long.
  void prune(double nowMs);

  const Exclusions& exclusions() const { return exclusions_; }
  const std::map<routing::InstanceId, routing::EndpointRecord>& listed() const { return listed_; }
  /// The entry as the routing module sees it; nothing if the instance is not listed.
  std::optional<routing::EndpointRecord> effectiveOf(const routing::InstanceId& id) const {
    const auto it = listed_.find(id);
    return it == listed_.end() ? std::nullopt : std::optional(effective(it->second));
  }
  bool excluded(const routing::InstanceId& id) const { return exclusions_.excluded(id.value); }
  const std::set<std::string>& drained() const { return drained_; }
  const std::set<std::string>& peerExclusions() const { return peerExclusions_; }

 private:
  Change setExcluded(const std::string& id, bool excluded, double nowMs);
  std::optional<routing::EndpointListUpdate> replaceOverlay(std::set<std::string>& overlay,
                                                            const std::set<std::string>& current,
                                                            double nowMs);
  routing::EndpointRecord effective(routing::EndpointRecord entry) const;
  std::optional<routing::EndpointListUpdate> changesOf(const std::vector<std::string>& ids);

  std::uint64_t writer_;
  std::uint64_t version_ = 0;  // of the list in the routing module
  Exclusions exclusions_;
  std::map<routing::InstanceId, routing::EndpointRecord> listed_;  // as discovery lists them
  std::map<std::string, double> missingSince_;  // when excluded instances became unlisted
  std::set<std::string> drained_;               // by the maintenance
  std::set<std::string> peerExclusions_;        // by observations of other routers
  std::map<std::string, double> returnedMs_;  // when instances recently left one of these two sets
};

}  // namespace inference_router::fleet
