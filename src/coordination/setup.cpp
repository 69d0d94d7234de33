#include "coordination/setup.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace inference_router::coordination {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxEndpoints = 9;

bool isNameCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

/// The name becomes part of keys in the store, so its characters are restricted.
std::string readName(const core::ConfigReader& given) {
  auto name = given.as<std::string>();
  if (name.empty() || name.size() > kMaxNameBytes ||
      !std::all_of(name.begin(), name.end(), isNameCharacter))
    given.fail("is not a name of 1 to 64 letters, digits, '-', '_' or '.'");
  return name;
}

LeaseConfig readLease(const core::ConfigReader& given) {
  LeaseConfig lease;
  lease.ttlMs = given.above0("lease_s", lease.ttlMs / 1000) * 1000;
  lease.drift = given.value("drift", lease.drift);
  lease.requestTimeoutMs = given.above0("answer_ms", lease.requestTimeoutMs);
  lease.progressTimeoutMs = given.above0("idle_holder_s", lease.progressTimeoutMs / 1000) * 1000;
  lease.spreadMs = given.value("spread_ms", lease.spreadMs);
  lease.maxStepMs = given.above0("step_ms", lease.maxStepMs);
  return lease;
}

void checkLease(const core::ConfigReader& given, LeaseConfig& lease) {
  lease.task = "any";
  if (const auto error = validate(lease))
    given.fail("cannot be used: " + error->message);
}

EtcdConfig readEtcd(const core::ConfigReader& store, double callTimeoutMs) {
  store.only({"kind", "endpoints", "prefix"});
  EtcdConfig config;
  for (const core::ConfigReader& endpoint : store.at("endpoints").list()) {
    config.endpoints.push_back(
        endpoint.read([](const std::string& text) { return net::parseEndpoint(text); }));
  }
  if (config.endpoints.empty())
    store.at("endpoints").fail("has no address");
  if (config.endpoints.size() > kMaxEndpoints)
    store.at("endpoints").fail("has more than 9 addresses");
  config.prefix = store.value<std::string>("prefix", config.prefix);
  if (config.prefix.empty() || config.prefix.size() > kMaxNameBytes || config.prefix.back() != '/')
    store.at("prefix").fail("does not end with '/' or is longer than 64 bytes");
  config.callTimeoutMs = callTimeoutMs;
  return config;
}

void readStore(const core::ConfigReader& given, Setup& setup) {
  const core::ConfigReader store = given.at("store");
  const auto kind = store.at("kind").as<std::string>();
  if (kind == "sqlite") {
    store.only({"kind", "path"});
    setup.sqlitePath = store.at("path").as<std::string>();
    if (setup.sqlitePath.empty())
      store.at("path").fail("is empty");
  } else if (kind == "etcd") {
    setup.etcd = readEtcd(store, setup.lease.requestTimeoutMs);
    // etcd grants leases in whole seconds only.
    if (setup.lease.ttlMs < 1000 || std::fmod(setup.lease.ttlMs, 1000) != 0)
      given.fail("cannot be used: with etcd lease_s is a whole number of seconds");
  } else {
    store.at("kind").fail("is sqlite or etcd, not " + kind);
  }
}

void readMaintenance(const core::ConfigReader& given, MaintenanceConfig& config) {
  given.only({"silent_node_s", "period_ms"});
  config.silentNodeMs = given.above0("silent_node_s", config.silentNodeMs / 1000) * 1000;
  config.task.periodMs = given.above0("period_ms", config.task.periodMs);
}

void readCleanup(const core::ConfigReader& given, Cleanup::Config& config) {
  given.only({"gone_s", "plan_s", "period_ms"});
  config.presenceTimeoutMs = given.above0("gone_s", config.presenceTimeoutMs / 1000) * 1000;
  config.planRetentionMs = given.above0("plan_s", config.planRetentionMs / 1000) * 1000;
  config.task.periodMs = given.above0("period_ms", config.task.periodMs);
}

}  // namespace

Setup setupOf(const core::ConfigReader& given, double warmupMs) {
  given.only({"name", "store", "lease_s", "drift", "answer_ms", "idle_holder_s", "spread_ms",
              "watch_ms", "step_ms", "maintenance", "cleanup"});
  Setup setup;
  setup.text = given.json().dump();
  setup.name = readName(given.at("name"));
  setup.lease = readLease(given);
  setup.pollIntervalMs = given.above0("watch_ms", setup.pollIntervalMs);
  checkLease(given, setup.lease);
  readStore(given, setup);
  setup.maintenance.warmupMs = warmupMs;
  for (TaskConfig* task : {&setup.maintenance.task, &setup.cleanup.task})
    task->maxStepMs = setup.lease.maxStepMs;
  if (given.has("maintenance"))
    readMaintenance(given.at("maintenance"), setup.maintenance);
  if (given.has("cleanup"))
    readCleanup(given.at("cleanup"), setup.cleanup);
  return setup;
}

}  // namespace inference_router::coordination
