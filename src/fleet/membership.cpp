#include "fleet/membership.h"

#include <algorithm>

#include "core/clock.h"

namespace inference_router::fleet {

using namespace inference_router::routing;

namespace {

// After this time the exclusion of an unlisted instance is dropped. An instance under repair may be
// unlisted for long.
constexpr double kMissingExclusionRetentionMs = 30 * 60'000;
// An inclusion (the end of an exclusion) is remembered for this time: while the instance is cold,
// and while another process may still apply the exclusion that was ended.
constexpr double kInclusionRetentionMs = 10 * 60'000;

}  // namespace

EndpointRecord Membership::effective(EndpointRecord entry) const {
  const auto returned = returnedMs_.find(entry.instance.value);
  if (drained_.count(entry.instance.value) != 0 ||
      peerExclusions_.count(entry.instance.value) != 0) {
    if (entry.state == EndpointState::kActive)
      entry.state = EndpointState::kDraining;
  } else if (returned != returnedMs_.end()) {
    const Time returnedAt = core::toModuleTime(returned->second);
    entry.started = entry.started ? std::max(*entry.started, returnedAt) : returnedAt;
  }
  const Exclusion* exclusion = exclusions_.find(entry.instance.value);
  if (exclusion == nullptr)
    return entry;
  if (exclusion->excluded) {
    if (entry.state == EndpointState::kActive)
      entry.state = EndpointState::kDraining;
  } else {
    // The instance may have been restarted at any time before its inclusion, whatever start time
    // discovery reports.
    const Time included = core::toModuleTime(exclusion->updatedMs);
    entry.started = entry.started ? std::max(*entry.started, included) : included;
  }
  return entry;
}

EndpointListUpdate Membership::applyUpdate(const EndpointListUpdate& update, double nowMs) {
  if (update.form == EndpointListForm::kFailed)
    return update;
  EndpointListUpdate result{++version_, update.form, {}, update.outdatedSince};
  if (update.form != EndpointListForm::kChanges)
    listed_.clear();
  for (const EndpointRecord& entry : update.entries) {
    if (entry.state == EndpointState::kRemoved)
      listed_.erase(entry.instance);
    else
      listed_[entry.instance] = entry;
    result.entries.push_back(effective(entry));
  }
  prune(nowMs);
  return result;
}

std::optional<EndpointListUpdate> Membership::changesOf(const std::vector<std::string>& ids) {
  EndpointListUpdate update{version_ + 1, EndpointListForm::kChanges, {}};
  for (const std::string& id : ids) {
    const auto it = listed_.find({id});
    if (it != listed_.end())
      update.entries.push_back(effective(it->second));
  }
  if (update.entries.empty())
    return std::nullopt;
  ++version_;
  return update;
}

Membership::Change Membership::setExcluded(const std::string& id, bool excluded, double nowMs) {
  const bool known = listed_.count({id}) != 0 || exclusions_.excluded(id);
  if (!known || id.empty() || id.size() > Exclusions::kMaxIdBytes)
    return {Result::kUnknownInstance, std::nullopt};
  // A repeated command has no effect: a second include must not make a warm instance cold.
  if (exclusions_.excluded(id) == excluded)
    return {Result::kDone, std::nullopt};
  if (!exclusions_.set(id, excluded, writer_, nowMs))
    return {Result::kFull, std::nullopt};
  prune(nowMs);
  return {Result::kDone, changesOf({id})};
}

std::optional<EndpointListUpdate> Membership::replaceOverlay(std::set<std::string>& overlay,
                                                             const std::set<std::string>& current,
                                                             double nowMs) {
  std::vector<std::string> changed;
  for (const std::string& id : current)
    if (overlay.count(id) == 0)
      changed.push_back(id);
  for (const std::string& id : overlay) {
    if (current.count(id) != 0)
      continue;
    returnedMs_[id] = nowMs;
    changed.push_back(id);
  }
  overlay = current;
  return changed.empty() ? std::nullopt : changesOf(changed);
}

std::optional<EndpointListUpdate> Membership::setPlannedDrains(const std::set<std::string>& drained,
                                                               double nowMs) {
  return replaceOverlay(drained_, drained, nowMs);
}

std::optional<EndpointListUpdate> Membership::setPeerExclusions(
    const std::set<std::string>& excluded,
    double nowMs) {
  return replaceOverlay(peerExclusions_, excluded, nowMs);
}

std::optional<EndpointListUpdate> Membership::merge(const Exclusions& others) {
  return changesOf(exclusions_.merge(others));
}

void Membership::prune(double nowMs) {
  std::vector<std::string> expired;
  for (const auto& [id, exclusion] : exclusions_.all()) {
    if (listed_.count({id}) != 0)
      missingSince_.erase(id);
    else if (nowMs - missingSince_.try_emplace(id, nowMs).first->second >
             kMissingExclusionRetentionMs)
      expired.push_back(id);
    if (!exclusion.excluded && nowMs - exclusion.updatedMs > kInclusionRetentionMs)
      expired.push_back(id);
  }
  std::erase_if(returnedMs_, [nowMs](const auto& entry) {
    return nowMs - entry.second > kInclusionRetentionMs;
  });
  for (const std::string& id : expired) {
    exclusions_.forget(id);
    missingSince_.erase(id);
  }
}

}  // namespace inference_router::fleet
