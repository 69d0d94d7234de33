#include "coordination/setup.h"

#include <algorithm>
#include <cctype>

namespace inference_router::coordination {

namespace {

constexpr std::size_t kLongestName = 64;
constexpr std::size_t kMostEndpoints = 9;

// It becomes part of keys.
std::string nameIn(const core::ConfigReader& given) {
  auto name = given.as<std::string>();
  const bool plain =
      !name.empty() && name.size() <= kLongestName &&
      std::all_of(name.begin(), name.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
      });
  if (!plain)
    given.fail("is not a plain word of 1 to 64 letters, digits, '-', '_' or '.'");
  return name;
}

EtcdConfig etcdOf(const core::ConfigReader& store, double askMs) {
  store.only({"kind", "endpoints", "prefix"});
  EtcdConfig place;
  for (const core::ConfigReader& one : store.at("endpoints").list())
    place.endpoints.push_back(
        one.read([](const std::string& text) { return net::endpointOf(text); }));
  if (place.endpoints.empty())
    store.at("endpoints").fail("names no address");
  if (place.endpoints.size() > kMostEndpoints)
    store.at("endpoints").fail("names more than 9 addresses");
  place.prefix = store.value<std::string>("prefix", place.prefix);
  if (place.prefix.empty() || place.prefix.size() > kLongestName || place.prefix.back() != '/')
    store.at("prefix").fail("does not end with '/' or is longer than 64 bytes");
  place.callMs = askMs;
  return place;
}

}  // namespace

Setup setupOf(const core::ConfigReader& given, double coldMs) {
  given.only({"name", "store", "lease_s", "drift", "answer_ms", "idle_holder_s", "spread_ms",
              "watch_ms", "step_ms", "maintenance", "cleanup"});
  Setup setup;
  setup.text = given.json().dump();
  setup.name = nameIn(given.at("name"));
  LeaseConfig& lease = setup.lease;
  lease.ttlMs = given.above0("lease_s", lease.ttlMs / 1000) * 1000;
  lease.drift = given.value("drift", lease.drift);
  lease.askMs = given.above0("answer_ms", lease.askMs);
  lease.workMs = given.above0("idle_holder_s", lease.workMs / 1000) * 1000;
  lease.spreadMs = given.value("spread_ms", lease.spreadMs);
  lease.longestStepMs = given.above0("step_ms", lease.longestStepMs);
  setup.watchMs = given.above0("watch_ms", setup.watchMs);
  lease.task = "any";
  if (const auto problem = problemWith(lease))
    given.fail("cannot be used: " + *problem);
  const core::ConfigReader store = given.at("store");
  const auto kind = store.at("kind").as<std::string>();
  if (kind == "sqlite") {
    store.only({"kind", "path"});
    setup.sqlitePath = store.at("path").as<std::string>();
    if (setup.sqlitePath.empty())
      store.at("path").fail("is empty");
  } else if (kind == "etcd") {
    setup.etcd = etcdOf(store, lease.askMs);
    // Its leases are in whole seconds.
    if (lease.ttlMs < 1000 || std::fmod(lease.ttlMs, 1000) != 0)
      given.fail("cannot be used: with etcd lease_s is a whole number of seconds");
  } else {
    store.at("kind").fail("is sqlite or etcd, not " + kind);
  }
  setup.maintenance.coldMs = coldMs;
  for (TaskConfig* task : {&setup.maintenance.task, &setup.cleanup.task})
    task->longestStepMs = lease.longestStepMs;
  if (given.has("maintenance")) {
    const core::ConfigReader maintenance = given.at("maintenance");
    maintenance.only({"silent_node_s", "period_ms"});
    setup.maintenance.silentNodeMs =
        maintenance.above0("silent_node_s", setup.maintenance.silentNodeMs / 1000) * 1000;
    setup.maintenance.task.periodMs =
        maintenance.above0("period_ms", setup.maintenance.task.periodMs);
  }
  if (given.has("cleanup")) {
    const core::ConfigReader cleanup = given.at("cleanup");
    cleanup.only({"gone_s", "plan_s", "period_ms"});
    setup.cleanup.goneMs = cleanup.above0("gone_s", setup.cleanup.goneMs / 1000) * 1000;
    setup.cleanup.planMs = cleanup.above0("plan_s", setup.cleanup.planMs / 1000) * 1000;
    setup.cleanup.task.periodMs = cleanup.above0("period_ms", setup.cleanup.task.periodMs);
  }
  return setup;
}

}  // namespace inference_router::coordination
