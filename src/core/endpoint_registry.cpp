#include "core/endpoint_registry.h"

#include <algorithm>
#include <set>

#include "core/clock.h"

namespace inference_router::core {

using namespace inference_router::routing;

void EndpointRegistry::configure(const Settings& settings) {
  drainGraceMs_ = toMs(settings.contract.drainGrace);
  isPrefillKind_.clear();
  for (const KindSettings& kind : settings.kinds)
    isPrefillKind_.push_back(kind.role == Role::kPrefill);
}

void EndpointRegistry::apply(const EndpointListUpdate& update, double nowMs) {
  if (update.form == EndpointListForm::kFailed)
    return;
  const double outdatedSinceMs = update.outdatedSince ? toMs(*update.outdatedSince) : nowMs;
  const double drainsSinceMs = std::clamp(outdatedSinceMs, nowMs - drainGraceMs_, nowMs);
  if (update.form != EndpointListForm::kChanges)
    markUnlistedRemoved(update.entries, drainsSinceMs);
  for (const EndpointRecord& record : update.entries)
    applyRecord(record, drainsSinceMs);
  forgetRemoved(nowMs);
}

const InstanceFacts* EndpointRegistry::find(const InstanceId& instance) const {
  const auto found = endpoints_.find(instance);
  return found == endpoints_.end() ? nullptr : &found->second.facts;
}

// The drain grace period starts when the list first reports the instance as draining or removed, or
// from when on it may have missed that.
void EndpointRegistry::markDraining(Endpoint& endpoint, bool removed, double sinceMs) {
  endpoint.removed = removed;
  if (!endpoint.facts.drainingSinceMs)
    endpoint.facts.drainingSinceMs = sinceMs;
}

void EndpointRegistry::markUnlistedRemoved(const std::vector<EndpointRecord>& listed,
                                           double drainsSinceMs) {
  std::set<InstanceId> listedIds;
  for (const EndpointRecord& record : listed)
    listedIds.insert(record.instance);
  for (auto& [instance, endpoint] : endpoints_)
    if (listedIds.count(instance) == 0)
      markDraining(endpoint, /*removed=*/true, drainsSinceMs);
}

void EndpointRegistry::applyRecord(const EndpointRecord& record, double drainsSinceMs) {
  Endpoint& endpoint = endpoints_[record.instance];
  if (record.state == EndpointState::kActive)
    endpoint = Endpoint{};
  else
    markDraining(endpoint, record.state == EndpointState::kRemoved, drainsSinceMs);
  endpoint.facts.listed = true;
  endpoint.facts.isPrefill =
      record.kind.value < isPrefillKind_.size() && isPrefillKind_[record.kind.value];
}

// Bounds the table in a fleet whose machines are replaced all day, each under a new id. After the
// drain grace period nothing is sent to a removed instance, as nothing is sent to an unknown one.
void EndpointRegistry::forgetRemoved(double nowMs) {
  const double forgetBeforeMs = nowMs - drainGraceMs_;
  std::erase_if(endpoints_, [forgetBeforeMs](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    const std::optional<double>& since = endpoint.facts.drainingSinceMs;
    return endpoint.removed && since && *since < forgetBeforeMs;
  });
}

}  // namespace inference_router::core
