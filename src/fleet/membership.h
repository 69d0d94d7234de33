// The effective membership: what discovery or the operator's file lists, overlaid with what operators said.
// The module sees nothing else, so there is one notion of a drain: an excluded instance reads as leaving, and
// one that is included again as started at that moment, hence cold. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/exclusions.h"
#include "leverrelay/router.h"

namespace dahliastall::fleet {

class Membership {
 public:
  // writer: tells this process from others that mark the same instances.
  explicit Membership(std::uint64_t writer) : writer_(writer) {}

  // What a list says, as the module is to hear it.
  leverrelay::ListNews told(const leverrelay::ListNews& news, double nowMs);

  enum class Verdict { kDone, kUnknown, kNoRoom };
  struct Change {
    Verdict verdict;
    std::optional<leverrelay::ListNews> news;  // nothing: the module need not hear of it
  };
  Change exclude(const std::string& id, double nowMs) { return setExcluded(id, true, nowMs); }
  Change include(const std::string& id, double nowMs) { return setExcluded(id, false, nowMs); }

  // The boxes that the fleet's maintenance has out: those that are new to it leave, and those that are in it
  // no more come back as boxes that have just started.
  std::optional<leverrelay::ListNews> setPlannedDrains(const std::set<std::string>& drained, double nowMs);

  // The boxes that are left out because others found them bad. Those that come back are cold for all that is
  // known: they may have been started anew meanwhile.
  std::optional<leverrelay::ListNews> setPeerExclusions(const std::set<std::string>& out, double nowMs);

  // What other processes marked.
  std::optional<leverrelay::ListNews> merge(const Exclusions& others);
  // Lets go of marks that say nothing any more, or whose instance has been gone for long.
  void tidy(double nowMs);

  const Exclusions& exclusions() const { return exclusions_; }
  const std::map<leverrelay::EngineId, leverrelay::ListEntry>& listed() const { return listed_; }
  // As the module is told of it; nothing if it is not listed.
  std::optional<leverrelay::ListEntry> effectiveOf(const leverrelay::EngineId& id) const {
    const auto it = listed_.find(id);
    return it == listed_.end() ? std::nullopt : std::optional(effective(it->second));
  }
  bool excluded(const leverrelay::EngineId& id) const { return exclusions_.excluded(id.value); }
  const std::set<std::string>& drained() const { return drained_; }
  const std::set<std::string>& peerExclusions() const { return peerExclusions_; }

 private:
  Change setExcluded(const std::string& id, bool excluded, double nowMs);
  std::optional<leverrelay::ListNews> replaceLayer(std::set<std::string>& layer,
                                                   const std::set<std::string>& now, double nowMs);
  leverrelay::ListEntry effective(leverrelay::ListEntry entry) const;
  std::optional<leverrelay::ListNews> changesOf(const std::vector<std::string>& ids);

  std::uint64_t writer_;
  std::uint64_t version_ = 0;  // of what the module was told
  Exclusions exclusions_;
  std::map<leverrelay::EngineId, leverrelay::ListEntry> listed_;  // as the list says it
  std::map<std::string, double> missingSince_;                    // marked, but not listed
  std::set<std::string> drained_;                                 // by the maintenance
  std::set<std::string> peerExclusions_;                          // by what other conductors saw
  std::map<std::string, double> returned_;                        // from either, lately: when
};

}  // namespace dahliastall::fleet
