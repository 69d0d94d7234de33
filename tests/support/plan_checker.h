// Checks the history of a store for violations of the guarantees of leases and maintenance. It
// depends only on the keys and the fields of the documents, and is independent of the program's
// code.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/etcd_stand_in.h"

namespace inference_router {

inline std::vector<std::string> findViolations(const std::vector<EtcdStandIn::Event>& history,
                                               const std::string& prefix) {
  using Event = EtcdStandIn::Event;
  using json = nlohmann::json;
  std::vector<std::string> violations;
  std::uint64_t newestFence = 0, lastFence = 0, steps = 0;
  bool held = false;
  std::string planId;
  std::map<std::string, std::string> states;
  const std::map<std::string, std::string> previousState{
      {"draining", "waiting"}, {"out", "draining"}, {"done", "warming"}, {"skipped", "waiting"}};
  for (const Event& event : history) {
    if (event.key == prefix + "fence/maintenance" && event.kind == Event::Kind::kPut) {
      const std::uint64_t fence = std::stoull(event.value);
      if (fence <= newestFence)
        violations.push_back("fence " + event.value + " was granted after " +
                             std::to_string(newestFence));
      newestFence = fence;
    }
    if (event.key == prefix + "lease/maintenance")
      held = event.kind == Event::Kind::kPut;
    if (event.key != prefix + "doc/plan" || event.kind != Event::Kind::kPut)
      continue;
    const json plan = json::parse(event.value);
    if (plan["id"] != planId) {  // a new plan by an operator
      planId = plan["id"];
      states.clear();
      steps = 0;
      for (const json& item : plan["items"])
        states[item["box"]] = item["state"];
      continue;
    }
    if (plan["steps"] == steps)
      continue;  // an operator's command
    const std::string step = "step " + plan["steps"].dump() + " of " + planId;
    const std::uint64_t fence = plan["fence"];
    if (plan["steps"] != steps + 1)
      violations.push_back(step + " follows step " + std::to_string(steps));
    if (fence < lastFence)
      violations.push_back(step + " has an older fence than the step before");
    if (fence != newestFence || !held)
      violations.push_back(step + " was committed under fence " + std::to_string(fence) +
                           (held ? ", and " + std::to_string(newestFence) + " was in force"
                                 : ", and nobody held the lease"));
    steps = plan["steps"];
    lastFence = fence;
    std::size_t inProgress = 0, changed = 0;
    for (const json& item : plan["items"]) {
      const std::string instance = item["box"], state = item["state"];
      inProgress += state == "draining" || state == "out" || state == "warming";
      if (state == states[instance])
        continue;
      ++changed;
      const auto previous = previousState.find(state);
      const bool cancelled =
          state == "warming" && plan["state"] == "cancelled" && states[instance] == "draining";
      if (!cancelled &&
          (previous == previousState.end() ? state != "warming" || states[instance] != "out"
                                           : previous->second != states[instance]))
        violations.push_back(step + ": box " + instance + " went from " + states[instance] +
                             " to " + state);
      states[instance] = state;
    }
    if (changed > 1)
      violations.push_back(step + " changes more than one box");
    if (inProgress > 1)
      violations.push_back(
          step +
          ": more than one box of a role and cell is in progress");  // all have one role and cell
  }
  return violations;
}

}  // namespace inference_router
