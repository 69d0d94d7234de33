#include "routing/instance_registry.h"

#include <algorithm>

#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

void markDraining(Instance& instance, EndpointState state, Time since) {
  if (!instance.drainingSince)
    instance.drainingSince = since;
  instance.endpoint.state = state;
}

}  // namespace

Instance* InstanceRegistry::find(const InstanceId& id) {
  const auto found = instances_.find(id);
  return found == instances_.end() ? nullptr : &found->second;
}

// A drain that may have begun earlier than it is reported has used up its grace period to that
// extent.
void InstanceRegistry::apply(const EndpointListUpdate& update, Time now) {
  const Time earliest = now - settings_.contract.drainGrace;
  const Time drainsSince = std::clamp(update.outdatedSince.value_or(now), earliest, now);
  if (update.form != EndpointListForm::kChanges) {
    for (auto& [id, instance] : instances_)
      markDraining(instance, EndpointState::kRemoved, drainsSince);
  }
  const SlowStartNews newsOfAdded =
      instances_.empty() ? SlowStartNews::kFirstList : SlowStartNews::kAdded;
  for (const EndpointRecord& entry : update.entries)
    applyEndpoint(entry, newsOfAdded, now, drainsSince);
}

void InstanceRegistry::applyEndpoint(const EndpointRecord& entry,
                                     SlowStartNews newsOfAdded,
                                     Time now,
                                     Time drainsSince) {
  if (entry.kind.value >= settings_.kinds.size())
    return;
  auto [found, added] = instances_.try_emplace(entry.instance);
  Instance& instance = found->second;
  const bool restarted = !added && entry.started && entry.started != instance.endpoint.started;
  instance.endpoint = entry;
  instance.endpoint.weight = std::max(0.0, entry.weight);
  instance.role = settings_.kinds[entry.kind.value].role;
  if (added)
    instance.ejection.assumeHealthy();
  if (added || restarted) {
    instance.connectFailures = 0;
    instance.unreachableAt.reset();
    instance.slowStartRecord = {.news = added ? newsOfAdded : SlowStartNews::kRestarted};
    const bool mayHaveSent = added && newsOfAdded == SlowStartNews::kFirstList;
    instance.slowStart.reset(stableHash(seed_, entry.instance.value), settings_.nodes, mayHaveSent,
                             settings_.contract, now);
  }
  if (restarted)
    instance.ejection.reinstate();
  if (entry.state == EndpointState::kActive)
    instance.drainingSince.reset();
  else
    markDraining(instance, entry.state, drainsSince);
}

void InstanceRegistry::eraseRemoved(const RequestMap& requests, Time now) {
  std::erase_if(instances_, [&](const auto& entry) {
    const Instance& instance = entry.second;
    const bool removed =
        instance.drainingSince && instance.endpoint.state == EndpointState::kRemoved;
    if (!removed || now - *instance.drainingSince <= settings_.contract.warmupDuration)
      return false;
    return std::none_of(requests.begin(), requests.end(), [&instance](const auto& request) {
      return request.second.refersTo(instance);
    });
  });
}

}  // namespace inference_router::routing
