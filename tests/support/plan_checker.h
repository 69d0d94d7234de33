// Reads what a store carried out, and says what of it breaks the promises of leases and
// maintenance. It knows the keys and the documents' fields, and nothing of how the program comes to
// them.
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
  std::vector<std::string> broken;
  std::uint64_t granted = 0, lastFence = 0, steps = 0;
  bool held = false;
  std::string plan;
  std::map<std::string, std::string> items;
  const std::map<std::string, std::string> mayComeOf{
      {"draining", "waiting"}, {"out", "draining"}, {"done", "warming"}, {"skipped", "waiting"}};
  for (const Event& event : history) {
    if (event.key == prefix + "fence/maintenance" && event.kind == Event::Kind::kPut) {
      const std::uint64_t fence = std::stoull(event.value);
      if (fence <= granted)
        broken.push_back("fence " + event.value + " was granted after " + std::to_string(granted));
      granted = fence;
    }
    if (event.key == prefix + "lease/maintenance")
      held = event.kind == Event::Kind::kPut;
    if (event.key != prefix + "doc/plan" || event.kind != Event::Kind::kPut)
      continue;
    const json now = json::parse(event.value);
    if (now["id"] != plan) {  // an operator's new plan
      plan = now["id"];
      items.clear();
      steps = 0;
      for (const json& item : now["items"])
        items[item["box"]] = item["state"];
      continue;
    }
    if (now["steps"] == steps)
      continue;  // an operator's word on it
    const std::string at = "step " + now["steps"].dump() + " of " + plan;
    const std::uint64_t fence = now["fence"];
    if (now["steps"] != steps + 1)
      broken.push_back(at + " came after step " + std::to_string(steps));
    if (fence < lastFence)
      broken.push_back(at + " has an older fence than the one before");
    if (fence != granted || !held)
      broken.push_back(at + " was done under fence " + std::to_string(fence) +
                       (held ? ", and " + std::to_string(granted) + " was in force"
                             : ", and nobody held the lease"));
    steps = now["steps"];
    lastFence = fence;
    std::size_t out = 0, changed = 0;
    for (const json& item : now["items"]) {
      const std::string instance = item["box"], state = item["state"];
      out += state == "draining" || state == "out" || state == "warming";
      if (state == items[instance])
        continue;
      ++changed;
      const auto from = mayComeOf.find(state);
      const bool cancelled =
          state == "warming" && now["state"] == "cancelled" && items[instance] == "draining";
      if (!cancelled && (from == mayComeOf.end() ? state != "warming" || items[instance] != "out"
                                                 : from->second != items[instance]))
        broken.push_back(at + ": box " + instance + " went from " + items[instance] + " to " +
                         state);
      items[instance] = state;
    }
    if (changed > 1)
      broken.push_back(at + " changed more than one box");
    if (out > 1)
      broken.push_back(
          at + ": more than one box of a role and cell is under way");  // all are of one here
  }
  return broken;
}

}  // namespace inference_router
