#include "coordination/lease_report.h"

#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>

namespace inference_router::coordination {

using nlohmann::json;

namespace {

json toJson(const LeaseStatus& lease) {
  return {{"task", lease.task},
          {"state", nameOf(lease.state)},
          {"holder", lease.holder},
          {"fence", lease.fence},
          {"held_s", lease.heldSeconds},
          {"since_s", lease.stateSeconds},
          {"renewal_in_ms", lease.renewalInMs},
          {"why", lease.reason},
          {"steps", lease.steps},
          {"acquired", lease.counts.acquired},
          {"renewed", lease.counts.renewed},
          {"lost", lease.counts.lost},
          {"refused_by_fence", lease.refusedByFence},
          {"doubtful_ms", lease.counts.doubtfulMs}};
}

std::string toLine(const LeaseStatus& lease) {
  return fmt::format(
      "lease {} state={} holder={} fence={} held_s={:.0f} state_s={:.0f} renewal_in_ms={:.0f} "
      "steps={} lost={} refused={} why=\"{}\"\n",
      lease.task, nameOf(lease.state), lease.holder, lease.fence, lease.heldSeconds,
      lease.stateSeconds, lease.renewalInMs, lease.steps, lease.counts.lost, lease.refusedByFence,
      lease.reason);
}

}  // namespace

std::string toText(const LeaseReport& report) {
  std::string text = "store " + report.store +
                     (report.storeReadable ? " read" : " not read: " + report.storeError) + "\n";
  for (const LeaseStatus& lease : report.leases)
    text += toLine(lease);
  return text;
}

std::string toJsonText(const LeaseReport& report) {
  json leases = json::array();
  for (const LeaseStatus& lease : report.leases)
    leases.push_back(toJson(lease));
  const json value{{"conductor", report.router},
                   {"store", report.store},
                   {"hears", report.storeReadable},
                   {"trouble", report.storeError},
                   {"leases", leases}};
  return value.dump(-1, ' ', true, json::error_handler_t::replace) + "\n";
}

}  // namespace inference_router::coordination
