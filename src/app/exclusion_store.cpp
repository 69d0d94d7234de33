#include "app/exclusion_store.h"

#include <spdlog/spdlog.h>

namespace inference_router::app {

void ExclusionStore::synchronize() {
  if (folder_ == nullptr)
    return;
  read();
  if (unstored_)
    store();
}

ExclusionStore::ChangeResult ExclusionStore::change(const std::string& instanceId, bool excluded) {
  if (folder_ != nullptr)
    read();  // what another process was told comes before this
  const double now = server_.clock.nowMs();
  fleet::Membership& membership = server_.membership;
  const auto change =
      excluded ? membership.exclude(instanceId, now) : membership.include(instanceId, now);
  if (change.result != fleet::Membership::Result::kDone)
    return {.result = change.result, .stored = false};
  const bool stored = store();
  apply(change.update);
  return {.result = change.result, .stored = stored};
}

void ExclusionStore::read() {
  const SharedFolder::ReadResult result = folder_->readExclusions();
  known_ = result.status != SharedFolder::ReadStatus::kUnreadable;
  switch (result.status) {
    case SharedFolder::ReadStatus::kUnreadable:
      ++server_.counters["marks.unreadable"];
      return;
    case SharedFolder::ReadStatus::kFresh:
      return merge(result.text);
    case SharedFolder::ReadStatus::kAbsent:
      if (server_.membership.exclusions().size() > 0)
        unstored_ = true;
      return;
    case SharedFolder::ReadStatus::kUnchanged:
      return;
  }
}

// A text that cannot be parsed changes nothing here and is replaced by what holds here.
void ExclusionStore::merge(const std::string& text) {
  auto exclusions = fleet::Exclusions::parse(text);
  if (exclusions) {
    exclusions->boundTimes(server_.clock.nowMs());
    apply(server_.membership.merge(*exclusions));
  } else {
    spdlog::error("the shared file of exclusions makes no sense; it is ignored");
    ++server_.counters["marks.damaged"];
  }
  // If both processes write at once, the file may lack what one of them wrote.
  unstored_ = !exclusions || !(server_.membership.exclusions() == *exclusions);
}

// A file that could not be read is not replaced: what it holds would be lost.
bool ExclusionStore::store() {
  if (folder_ == nullptr)
    return true;
  const bool failedBefore = unstored_;
  unstored_ = !known_ || !folder_->writeExclusions(server_.membership.exclusions().serialize());
  if (!unstored_)
    return true;
  if (!failedBefore)
    spdlog::error("exclusions cannot be stored now; they hold here and are stored later");
  ++server_.counters["marks.unwritten"];
  return false;
}

void ExclusionStore::apply(const std::optional<routing::EndpointListUpdate>& update) {
  if (!update)
    return;
  for (const routing::EndpointRecord& entry : update->entries) {
    const bool excluded = server_.membership.excluded(entry.instance);
    spdlog::info("instance {} is {}", entry.instance.value, excluded ? "excluded" : "included");
    // An instance that comes back may have been restarted: the old connections would be reset.
    const upstream::InstanceEndpoint* endpoint = server_.directory.find(entry.instance);
    if (!excluded && endpoint != nullptr)
      server_.pool.dropIdle(endpoint->address);
  }
  server_.dispatcher.list(*update);
}

}  // namespace inference_router::app
