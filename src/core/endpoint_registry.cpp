#include "core/endpoint_registry.h"

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
  if (update.form != EndpointListForm::kChanges)
    markUnnamedRemoved(update.entries, nowMs);
  for (const EndpointRecord& record : update.entries)
    applyRecord(record, nowMs);
  forgetRemoved(nowMs);
}

const InstanceFacts* EndpointRegistry::find(const InstanceId& instance) const {
  const auto found = endpoints_.find(instance);
  return found == endpoints_.end() ? nullptr : &found->second.facts;
}

// The drain grace runs from the first time that the list said so.
void EndpointRegistry::markDraining(Endpoint& endpoint, bool removed, double nowMs) {
  endpoint.removed = removed;
  if (!endpoint.facts.drainingSinceMs)
    endpoint.facts.drainingSinceMs = nowMs;
}

void EndpointRegistry::markUnnamedRemoved(const std::vector<EndpointRecord>& named, double nowMs) {
  std::set<InstanceId> namedIds;
  for (const EndpointRecord& record : named)
    namedIds.insert(record.instance);
  for (auto& [instance, endpoint] : endpoints_)
    if (namedIds.count(instance) == 0)
      markDraining(endpoint, /*removed=*/true, nowMs);
}

void EndpointRegistry::applyRecord(const EndpointRecord& record, double nowMs) {
  Endpoint& endpoint = endpoints_[record.instance];
  if (record.state == EndpointState::kActive)
    endpoint = Endpoint{};
  else
    markDraining(endpoint, record.state == EndpointState::kRemoved, nowMs);
  endpoint.facts.listed = true;
  endpoint.facts.isPrefill =
      record.kind.value < isPrefillKind_.size() && isPrefillKind_[record.kind.value];
}

// Guards the table against a fleet whose machines are replaced all day, each under an id of its
// own. Past the drain grace nothing goes to a removed instance, nor to an unknown one.
void EndpointRegistry::forgetRemoved(double nowMs) {
  const double forgottenBeforeMs = nowMs - drainGraceMs_;
  std::erase_if(endpoints_, [forgottenBeforeMs](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    const std::optional<double>& since = endpoint.facts.drainingSinceMs;
    return endpoint.removed && since && *since < forgottenBeforeMs;
  });
}

}  // namespace inference_router::core
