#include "admission/rules.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace inference_router::admission {

using nlohmann::json;

namespace {

constexpr std::size_t kMostNetworks = 64;  // searched on each connect
constexpr std::size_t kMostRanges = 256;
constexpr std::size_t kMostAddresses = 65'536;

[[noreturn]] void wrong(const std::string& path, const std::string& why) {
  throw std::invalid_argument(path + ": " + why);
}

std::string fieldOf(const std::string& path, const std::string& key) {
  std::string field = path;
  field += '.';
  field += key;
  return field;
}

void onlyKnown(const json& object,
               const std::string& path,
               std::initializer_list<const char*> keys) {
  if (!object.is_object())
    wrong(path, "is no object");
  for (const auto& [key, value] : object.items())
    if (std::find(keys.begin(), keys.end(), key) == keys.end())
      wrong(fieldOf(path, key), "is no setting");
}

std::size_t count(const json& object,
                  const std::string& path,
                  const char* key,
                  std::size_t least,
                  std::optional<std::size_t> otherwise) {
  const std::string at = path + "." + key;
  if (!object.contains(key)) {
    if (!otherwise)
      wrong(at, "is missing");
    return *otherwise;
  }
  if (!object.at(key).is_number_integer())
    wrong(at, "is not a whole number");
  if (object.at(key) < 0)
    wrong(at, "is under " + std::to_string(least));
  const auto value = object.at(key).get<std::size_t>();
  if (value < least)
    wrong(at, "is under " + std::to_string(least));
  return value;
}

double number(const json& object, const std::string& path, const char* key) {
  const std::string at = path + "." + key;
  if (!object.contains(key))
    wrong(at, "is missing");
  if (!object.at(key).is_number())
    wrong(at, "is not a number");
  const auto value = object.at(key).get<double>();
  if (!(value > 0 && value <= 1e6))
    wrong(at, "is not above 0 and up to 1000000");
  return value;
}

Range range(const json& value, const std::string& at) {
  if (!value.is_string())
    wrong(at, "is no text");
  const auto found = Range::parse(value.get<std::string>());
  if (!found)
    wrong(at, "'" + value.get<std::string>() +
                  "' is no address or prefix like 10.1.0.0/16 with the rest 0");
  return *found;
}

const json& listAt(const json& object, const std::string& path, const char* key, std::size_t most) {
  static const json kNone = json::array();
  if (!object.contains(key))
    return kNone;
  const json& list = object.at(key);
  if (!list.is_array())
    wrong(path + "." + key, "is no list");
  if (list.size() > most)
    wrong(path + "." + key, "has over " + std::to_string(most) + " entries");
  return list;
}

std::string item(const std::string& path, std::size_t i) {
  return path + "[" + std::to_string(i) + "]";
}

}  // namespace

const Range* Rules::knownRange(const Address& address) const {
  for (const Range& range : knownRanges)
    if (range.holds(address))
      return &range;
  return nullptr;
}

namespace {

const std::string kRoot = "admission";

void parseConnections(const json& file, std::size_t mostClients, Rules& rules) {
  const std::string open = kRoot + ".connections";
  const json caps = file.value("connections", json::object());
  onlyKnown(caps, open, {"total", "per_address", "ipv6_prefix", "networks"});
  rules.total = count(caps, open, "total", 1, mostClients);
  if (rules.total > mostClients)
    wrong(open + ".total",
          "is over the " + std::to_string(mostClients) + " that `sockets` allows for clients");
  rules.perAddress = count(caps, open, "per_address", 1, std::nullopt);
  if (rules.perAddress > rules.total)
    wrong(open + ".per_address", "is over the total");
  const std::size_t prefix = count(caps, open, "ipv6_prefix", 1, 64);
  if (prefix > 128)
    wrong(open + ".ipv6_prefix", "is over 128");
  rules.ipv6Prefix = static_cast<int>(prefix);
  const json& networks = listAt(caps, open, "networks", kMostNetworks);
  for (std::size_t i = 0; i < networks.size(); ++i) {
    const std::string at = item(open + ".networks", i);
    onlyKnown(networks[i], at, {"range", "connections"});
    if (!networks[i].contains("range"))
      wrong(at + ".range", "is missing");
    const Range one = range(networks[i].at("range"), at + ".range");
    for (std::size_t j = 0; j < i; ++j)
      if (rules.networks[j].range.overlaps(one))
        wrong(at + ".range", "overlaps " + item(open + ".networks", j) + ".range");
    const std::size_t most = count(networks[i], at, "connections", 1, std::nullopt);
    if (most > rules.total)
      wrong(at + ".connections", "is over the total");
    rules.networks.push_back({one, most});
  }
}

void parseRate(const json& file, Rules& rules) {
  const std::string rate = kRoot + ".rate";
  if (!file.contains("rate"))
    wrong(rate, "is missing");
  onlyKnown(file.at("rate"), rate, {"per_second", "burst"});
  rules.perSecond = number(file.at("rate"), rate, "per_second");
  rules.burst = number(file.at("rate"), rate, "burst");
  if (rules.burst < 1)
    wrong(rate + ".burst", "is under 1, so nobody could connect");
}

void parseKnown(const json& file, const std::set<std::string>& names, Rules& rules) {
  const std::string known = kRoot + ".known";
  const json who = file.value("known", json::object());
  onlyKnown(who, known, {"reserve", "ranges", "keys"});
  rules.reserve = count(who, known, "reserve", 0, 0);
  if (rules.reserve >= rules.total)
    wrong(known + ".reserve", "leaves nothing of the total for others");
  const json& ranges = listAt(who, known, "ranges", kMostRanges);
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    const std::string at = item(known + ".ranges", i);
    const Range one = range(ranges[i], at);
    for (std::size_t j = 0; j < i; ++j)
      if (rules.knownRanges[j].overlaps(one))
        wrong(at, "overlaps " + item(known + ".ranges", j));
    rules.knownRanges.push_back(one);
  }
  const json& keys = listAt(who, known, "keys", kMostRanges);
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const std::string at = item(known + ".keys", i);
    if (!keys[i].is_string())
      wrong(at, "is no text");
    const auto name = keys[i].get<std::string>();
    if (names.count(name) == 0)
      wrong(at, "no entry of `keys` has the name '" + name + "'");
    if (!rules.knownKeys.insert(name).second)
      wrong(at, "stands twice");
  }
  if (rules.reserve > 0 && rules.knownRanges.empty() && rules.knownKeys.empty())
    wrong(known + ".reserve", "is for nobody: neither ranges nor keys are given");
}

}  // namespace

Rules rulesOf(const json& admission, const std::set<std::string>& names, std::size_t mostClients) {
  onlyKnown(admission, kRoot, {"connections", "rate", "known", "table"});
  Rules rules;
  parseConnections(admission, mostClients, rules);
  parseRate(admission, rules);
  parseKnown(admission, names, rules);
  rules.table = count(admission, kRoot, "table", 16, rules.table);
  if (rules.table > kMostAddresses)
    wrong(kRoot + ".table", "is over " + std::to_string(kMostAddresses));
  return rules;
}

std::string explain(const Rules& rules,
                    const Address& address,
                    const std::optional<std::string>& keyName) {
  const Range* known = rules.knownRange(address);
  const bool byKey = keyName && rules.knownKeys.count(*keyName) != 0;
  const auto n = [](std::size_t value) { return std::to_string(value); };
  std::string text =
      "address " + address.text() + " is counted as " + rules.clientOf(address).text() + "\n";
  if (known != nullptr)
    text += "known by address: " + known->text() +
            " is in admission.known.ranges; neither the rate nor the cap of an address applies\n";
  else
    text += "unknown by address: at most " + n(rules.perAddress) +
            " connections (admission.connections." + "per_address) and " +
            json(rules.perSecond).dump() + " connects a second after " + json(rules.burst).dump() +
            " at once (admission.rate)\n";
  for (std::size_t i = 0; i < rules.networks.size(); ++i)
    if (rules.networks[i].range.holds(address))
      text += "network " + rules.networks[i].range.text() + ": at most " +
              n(rules.networks[i].connections) + " connections (" +
              item("admission.connections.networks", i) + ")\n";
  if (keyName)
    text += byKey ? "known by key: " + *keyName +
                        " is in admission.known.keys; the connection counts as known " +
                        "from its first request on, but has to come in as the address may\n"
                  : "key " + *keyName + " is not in admission.known.keys: it changes nothing\n";
  if (known != nullptr || byKey)
    text += "room: all " + n(rules.total) +
            " connections; when full, idle unknown clients give way first\n";
  else
    text += "room: " + n(rules.total - rules.reserve) + " of " + n(rules.total) +
            " connections, as " + n(rules.reserve) + " are kept for known clients\n";
  return text;
}

}  // namespace inference_router::admission
