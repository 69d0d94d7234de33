#include "routing/instance_registry.h"

#include <algorithm>

#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

void markDraining(Instance& instance, EndpointState state, Time now) {
  if (!instance.drainingSince)
    instance.drainingSince = now;
  instance.endpoint.state = state;
}

}  // namespace

Instance* InstanceRegistry::find(const InstanceId& id) {
  const auto found = instances_.find(id);
  return found == instances_.end() ? nullptr : &found->second;
}

void InstanceRegistry::apply(const EndpointListUpdate& update, Time now) {
  if (update.form != EndpointListForm::kChanges) {
    for (auto& [id, instance] : instances_)
      markDraining(instance, EndpointState::kRemoved, now);
  }
  for (const EndpointRecord& entry : update.entries)
    applyEndpoint(entry, now);
}

void InstanceRegistry::applyEndpoint(const EndpointRecord& entry, Time now) {
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
  if (added || restarted)
    instance.slowStart.reset(stableHash(seed_, entry.instance.value), settings_.nodes, now);
  if (restarted)
    instance.ejection.reinstate();
  if (entry.state == EndpointState::kActive)
    instance.drainingSince.reset();
  else
    markDraining(instance, entry.state, now);
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
