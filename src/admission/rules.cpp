#include "admission/rules.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace inference_router::admission {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxNetworks = 64;  // searched linearly on each connect
constexpr std::size_t kMaxListEntries = 256;
constexpr std::size_t kMinTableAddresses = 16;
constexpr std::size_t kMaxTableAddresses = 65'536;
constexpr std::size_t kMaxPrefixBits = 128;  // bits of an IPv6 address
constexpr double kMaxRate = 1e6;             // connects per second; also bounds the burst
constexpr const char* kRootPath = "admission";

[[noreturn]] void fail(const std::string& path, const std::string& why) {
  throw RulesError(path, why);
}

std::string fieldPath(const std::string& path, const std::string& key) {
  std::string field = path;
  field += '.';
  field += key;
  return field;
}

void expectOnlyKeys(const json& object,
                    const std::string& path,
                    std::initializer_list<const char*> keys) {
  if (!object.is_object())
    fail(path, "is not an object");
  for (const auto& [key, value] : object.items())
    if (std::find(keys.begin(), keys.end(), key) == keys.end())
      fail(fieldPath(path, key), "is not a known setting");
}

std::size_t countAt(const json& object,
                    const std::string& path,
                    const char* key,
                    std::size_t min,
                    std::optional<std::size_t> fallback) {
  const std::string at = path + "." + key;
  if (!object.contains(key)) {
    if (!fallback)
      fail(at, "is missing");
    return *fallback;
  }
  if (!object.at(key).is_number_integer())
    fail(at, "is not a whole number");
  if (object.at(key) < 0)
    fail(at, "is under " + std::to_string(min));
  const auto value = object.at(key).get<std::size_t>();
  if (value < min)
    fail(at, "is under " + std::to_string(min));
  return value;
}

double rateAt(const json& object, const std::string& path, const char* key) {
  const std::string at = path + "." + key;
  if (!object.contains(key))
    fail(at, "is missing");
  if (!object.at(key).is_number())
    fail(at, "is not a number");
  const auto value = object.at(key).get<double>();
  if (!(value > 0 && value <= kMaxRate))
    fail(at, "is not above 0 and up to 1000000");
  return value;
}

Range rangeOf(const json& value, const std::string& at) {
  if (!value.is_string())
    fail(at, "is not a string");
  const auto found = Range::parse(value.get<std::string>());
  if (!found)
    fail(at, "'" + value.get<std::string>() +
                 "' is neither an address nor a prefix like 10.1.0.0/16 with all later bits 0");
  return *found;
}

const json& listAt(const json& object, const std::string& path, const char* key, std::size_t max) {
  static const json kEmptyList = json::array();
  if (!object.contains(key))
    return kEmptyList;
  const json& list = object.at(key);
  if (!list.is_array())
    fail(path + "." + key, "is not a list");
  if (list.size() > max)
    fail(path + "." + key, "has over " + std::to_string(max) + " entries");
  return list;
}

std::string itemPath(const std::string& path, std::size_t i) {
  return path + "[" + std::to_string(i) + "]";
}

void parseNetworks(const json& caps, const std::string& path, Rules& rules) {
  const json& networks = listAt(caps, path, "networks", kMaxNetworks);
  for (std::size_t i = 0; i < networks.size(); ++i) {
    const std::string at = itemPath(path + ".networks", i);
    expectOnlyKeys(networks[i], at, {"range", "connections"});
    if (!networks[i].contains("range"))
      fail(at + ".range", "is missing");
    const Range range = rangeOf(networks[i].at("range"), at + ".range");
    for (std::size_t j = 0; j < i; ++j)
      if (rules.networks[j].range.overlaps(range))
        fail(at + ".range", "overlaps " + itemPath(path + ".networks", j) + ".range");
    const std::size_t connections = countAt(networks[i], at, "connections", 1, std::nullopt);
    if (connections > rules.total)
      fail(at + ".connections", "is over the total");
    rules.networks.push_back({range, connections});
  }
}

void parseConnections(const json& file, std::size_t maxClients, Rules& rules) {
  const std::string path = std::string(kRootPath) + ".connections";
  const json caps = file.value("connections", json::object());
  expectOnlyKeys(caps, path, {"total", "per_address", "ipv6_prefix", "networks"});
  rules.total = countAt(caps, path, "total", 1, maxClients);
  if (rules.total > maxClients)
    fail(path + ".total",
         "is over the " + std::to_string(maxClients) + " that `sockets` allows for clients");
  rules.perAddress = countAt(caps, path, "per_address", 1, std::nullopt);
  if (rules.perAddress > rules.total)
    fail(path + ".per_address", "is over the total");
  const std::size_t prefix = countAt(caps, path, "ipv6_prefix", 1, 64);
  if (prefix > kMaxPrefixBits)
    fail(path + ".ipv6_prefix", "is over 128");
  rules.ipv6Prefix = static_cast<int>(prefix);
  parseNetworks(caps, path, rules);
}

void parseRate(const json& file, Rules& rules) {
  const std::string path = std::string(kRootPath) + ".rate";
  if (!file.contains("rate"))
    fail(path, "is missing");
  expectOnlyKeys(file.at("rate"), path, {"per_second", "burst"});
  rules.perSecond = rateAt(file.at("rate"), path, "per_second");
  rules.burst = rateAt(file.at("rate"), path, "burst");
  if (rules.burst < 1)
    fail(path + ".burst", "is under 1, so no unknown client could connect");
}

void parseKnownRanges(const json& known, const std::string& path, Rules& rules) {
  const json& ranges = listAt(known, path, "ranges", kMaxListEntries);
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    const std::string at = itemPath(path + ".ranges", i);
    const Range range = rangeOf(ranges[i], at);
    for (std::size_t j = 0; j < i; ++j)
      if (rules.knownRanges[j].overlaps(range))
        fail(at, "overlaps " + itemPath(path + ".ranges", j));
    rules.knownRanges.push_back(range);
  }
}

void parseKnownKeys(const json& known,
                    const std::string& path,
                    const std::set<std::string>& keyNames,
                    Rules& rules) {
  const json& keys = listAt(known, path, "keys", kMaxListEntries);
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const std::string at = itemPath(path + ".keys", i);
    if (!keys[i].is_string())
      fail(at, "is not a string");
    const auto name = keys[i].get<std::string>();
    if (keyNames.count(name) == 0)
      fail(at, "no entry of `keys` has the name '" + name + "'");
    if (!rules.knownKeys.insert(name).second)
      fail(at, "is listed twice");
  }
}

void parseKnown(const json& file, const std::set<std::string>& keyNames, Rules& rules) {
  const std::string path = std::string(kRootPath) + ".known";
  const json known = file.value("known", json::object());
  expectOnlyKeys(known, path, {"reserve", "ranges", "keys"});
  rules.reserve = countAt(known, path, "reserve", 0, 0);
  if (rules.reserve >= rules.total)
    fail(path + ".reserve", "leaves no connection of the total for unknown clients");
  parseKnownRanges(known, path, rules);
  parseKnownKeys(known, path, keyNames, rules);
  if (rules.reserve > 0 && rules.knownRanges.empty() && rules.knownKeys.empty())
    fail(path + ".reserve", "applies to no client: neither ranges nor keys are given");
}

// ---- Explanations

std::string explainAddress(const Rules& rules, const Address& address) {
  const Range* known = rules.knownRange(address);
  if (known != nullptr)
    return "known by address: " + known->text() +
           " is in admission.known.ranges; neither the rate nor the cap of an address applies\n";
  return "unknown by address: at most " + std::to_string(rules.perAddress) +
         " connections (admission.connections.per_address) and " + json(rules.perSecond).dump() +
         " connects a second after " + json(rules.burst).dump() + " at once (admission.rate)\n";
}

std::string explainNetworks(const Rules& rules, const Address& address) {
  std::string text;
  for (std::size_t i = 0; i < rules.networks.size(); ++i)
    if (rules.networks[i].range.contains(address))
      text += "network " + rules.networks[i].range.text() + ": at most " +
              std::to_string(rules.networks[i].connections) + " connections (" +
              itemPath("admission.connections.networks", i) + ")\n";
  return text;
}

std::string explainKey(const std::string& keyName, bool known) {
  if (!known)
    return "key " + keyName + " is not in admission.known.keys: it has no effect on admission\n";
  return "known by key: " + keyName +
         " is in admission.known.keys; the connection counts as known " +
         "from its first request on, but is admitted by the rules of its address\n";
}

std::string explainCapacity(const Rules& rules, bool known) {
  const std::string total = std::to_string(rules.total);
  if (known)
    return "room: all " + total +
           " connections; when full, idle connections of unknown clients are evicted first\n";
  return "room: " + std::to_string(rules.total - rules.reserve) + " of " + total +
         " connections, as " + std::to_string(rules.reserve) + " are reserved for known clients\n";
}

}  // namespace

Rules rulesOf(const json& admission,
              const std::set<std::string>& keyNames,
              std::size_t maxClients) {
  expectOnlyKeys(admission, kRootPath, {"connections", "rate", "known", "table"});
  Rules rules;
  parseConnections(admission, maxClients, rules);
  parseRate(admission, rules);
  parseKnown(admission, keyNames, rules);
  rules.table = countAt(admission, kRootPath, "table", kMinTableAddresses, rules.table);
  if (rules.table > kMaxTableAddresses)
    fail(std::string(kRootPath) + ".table", "is over " + std::to_string(kMaxTableAddresses));
  return rules;
}

const Range* Rules::knownRange(const Address& address) const {
  for (const Range& range : knownRanges)
    if (range.contains(address))
      return &range;
  return nullptr;
}

std::string explain(const Rules& rules,
                    const Address& address,
                    const std::optional<std::string>& keyName) {
  const bool knownByAddress = rules.knownRange(address) != nullptr;
  const bool knownByKey = keyName && rules.knownKeys.count(*keyName) != 0;
  std::string text =
      "address " + address.text() + " is counted as " + rules.clientOf(address).text() + "\n";
  text += explainAddress(rules, address);
  text += explainNetworks(rules, address);
  if (keyName)
    text += explainKey(*keyName, knownByKey);
  text += explainCapacity(rules, knownByAddress || knownByKey);
  return text;
}

}  // namespace inference_router::admission
