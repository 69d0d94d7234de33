#include "settings_parser.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace inference_router::routing::wire {
namespace {

// Above any time that a setting may give: sums of such times stay far from any overflow.
constexpr double kMaxSettingMs = 1e12;
// Above whatever a setting counts.
constexpr double kMaxSettingCount = 1e6;

constexpr std::array<std::pair<std::string_view, Effect>, 3> kEffects{
    {{"idempotent", Effect::kIdempotent},
     {"deduplicated", Effect::kDeduplicated},
     {"at_most_once", Effect::kAtMostOnce}}};
constexpr std::array<std::pair<std::string_view, DedupScope>, 3> kDedupScopes{
    {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}}};
constexpr std::array<std::pair<std::string_view, Role>, 3> kRoles{
    {{"read", Role::kPrefill}, {"write", Role::kDecode}, {"both", Role::kMixed}}};
constexpr std::array<std::pair<std::string_view, Discovery>, 2> kDiscoveries{
    {{"push", Discovery::kPush}, {"ask", Discovery::kPoll}}};
constexpr std::array<std::pair<std::string_view, LoadReports>, 3> kReports{
    {{"off", LoadReports::kNone},
     {"inline", LoadReports::kInline},
     {"on_probe", LoadReports::kProbed}}};

/// The path=value pairs of the message.
class SettingPairs {
 public:
  explicit SettingPairs(const Line& line) : line_(line) {
    for (std::size_t field = 2; field <= line.fields(); ++field) {
      const std::string_view pair = line.raw(field);
      const std::size_t equals = pair.find('=');
      if (equals == std::string_view::npos)
        line.complain(field, "a setting without '='");
      pairs_[std::string(pair.substr(0, equals))] = {pair.substr(equals + 1), field};
    }
  }

  bool has(const std::string& path) const { return pairs_.count(path) != 0; }
  std::size_t field(const std::string& path) const { return at(path).second; }
  std::string word(const std::string& path) const { return std::string(at(path).first); }
  std::string wordOr(const std::string& path, std::string_view otherwise) const {
    return has(path) ? word(path) : std::string(otherwise);
  }
  double decimal(const std::string& path) const { return number(path, at(path).first); }
  double decimalOr(const std::string& path, double otherwise) const {
    return has(path) ? decimal(path) : otherwise;
  }
  Duration span(const std::string& path) const { return fromMillis(atMost(kMaxSettingMs, path)); }
  int whole(const std::string& path) const {
    return static_cast<int>(atMost(kMaxSettingCount, path));
  }
  bool flag(const std::string& path) const {
    const std::string_view value = at(path).first;
    if (value == "true" || value == "1")
      return true;
    if (value == "false" || value == "0")
      return false;
    line_.complain(field(path), path + " is neither true nor false");
  }
  std::vector<std::string> list(const std::string& path) const {
    std::vector<std::string> words;
    const std::string_view value = has(path) ? at(path).first : std::string_view();
    if (value.empty() || value == "-")
      return words;
    for (const std::string_view word : split(value, ','))
      words.emplace_back(word);
    return words;
  }
  std::vector<double> decimals(const std::string& path, std::size_t count) const {
    std::vector<double> values;
    for (const std::string& word : list(path))
      values.push_back(number(path, word));
    if (values.size() != count)
      line_.complain(has(path) ? field(path) : 2, path + " has the wrong length");
    return values;
  }
  std::size_t count(const std::string& path) const {
    return has(path + ".count") ? static_cast<std::size_t>(whole(path + ".count")) : 0;
  }
  template <class Table>
  auto choice(const std::string& path, const Table& table) const {
    return lookUp(table, line_, field(path), at(path).first);
  }

 private:
  const std::pair<std::string_view, std::size_t>& at(const std::string& path) const {
    const auto it = pairs_.find(path);
    if (it == pairs_.end())
      line_.complain(2, "the setting " + path + " is missing");
    return it->second;
  }
  double number(const std::string& path, std::string_view text) const {
    const auto value = toDecimal(text);
    if (!value)
      line_.complain(field(path), path + " is not a number");
    if (*value < 0)
      line_.complain(field(path), path + " is below 0");
    return *value;
  }
  double atMost(double max, const std::string& path) const {
    const double value = decimal(path);
    if (value > max)
      line_.complain(field(path), path + " is too large");
    return value;
  }

  const Line& line_;
  std::map<std::string, std::pair<std::string_view, std::size_t>, std::less<>> pairs_;
};

std::vector<ClassSettings> parseClasses(const SettingPairs& pairs, Vocabulary& names) {
  const auto count = static_cast<std::size_t>(pairs.whole("grades.count"));
  const auto per1000 = pairs.decimals("familyInfo.aimUsPer1000PromptTokens", count);
  const auto tokenIntervals = pairs.decimals("familyInfo.tokenAimMs", count);
  std::vector<ClassSettings> classes;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string at = "grades." + std::to_string(i) + ".";
    names.classes.push_back(pairs.word(at + "name"));
    const Effect effect = pairs.choice(at + "effect", kEffects);
    const bool deduplicated = effect == Effect::kDeduplicated;
    classes.push_back({
        .effect = effect,
        .dedupScope = deduplicated || pairs.has(at + "group")
                          ? pairs.choice(at + "group", kDedupScopes)
                          : DedupScope::kAll,
        .dedupWindow = deduplicated ? pairs.span(at + "dedupWindowMs") : Duration::zero(),
        .latencyObjective = pairs.span(at + "goalTimeMs"),
        .latencyObjectivePer1000 = fromMillis(std::min(per1000[i] / 1000, kMaxSettingMs)),
        .tokenIntervalObjective = fromMillis(std::min(tokenIntervals[i], kMaxSettingMs)),
        .deadline = pairs.span(at + "hardLimitMs"),
        .lateWeightShare = pairs.decimal(at + "lateShare"),
        .priorityWeight = pairs.decimal(at + "worth"),
        .stream = pairs.flag(at + "stream"),
    });
  }
  return classes;
}

std::vector<KindSettings> parseKinds(const SettingPairs& pairs,
                                     const Line& line,
                                     Vocabulary& names) {
  names.kinds = pairs.list("kinds");
  const auto roles = pairs.list("familyInfo.dutyByKind");
  const auto memory = pairs.decimals("familyInfo.memoryTokens", names.kinds.size());
  if (roles.size() != names.kinds.size())
    line.complain(2, "familyInfo.dutyByKind has the wrong length");
  std::vector<KindSettings> kinds;
  for (std::size_t i = 0; i < roles.size(); ++i) {
    kinds.push_back(
        {lookUp(kRoles, line, pairs.field("familyInfo.dutyByKind"), roles[i]), memory[i]});
  }
  return kinds;
}

std::vector<TenantSettings> parseTenants(const SettingPairs& pairs, Vocabulary& names) {
  std::vector<TenantSettings> tenants;
  for (std::size_t i = 0; i < pairs.count("orgs"); ++i) {
    const std::string at = "orgs." + std::to_string(i) + ".";
    names.tenants.push_back(pairs.word(at + "name"));
    tenants.push_back({pairs.decimal(at + "share"), pairs.decimal(at + "allowancePerS")});
  }
  return tenants;
}

Contract parseContract(const SettingPairs& pairs) {
  return {
      .drainGrace = pairs.span("contract.drainGraceMs"),
      .answerGrace = pairs.span("contract.graceToAnswerMs"),
      .maxListAge = pairs.span("contract.askWithinMs"),
      .warmupInitialShare = pairs.decimal("contract.coldFrom"),
      .warmupDuration = pairs.span("contract.coldMs"),
      .overloadFactor = pairs.decimal("contract.overloadFactor"),
      .overloadWindow = pairs.span("contract.fallMs"),
      .releaseLimit = pairs.span("familyInfo.releaseMs"),
  };
}

Limits parseLimits(const SettingPairs& pairs) {
  return {
      .cancel = pairs.flag("limits.cancel"),
      .gossip = pairs.flag("limits.peers"),
      .healthChecks = pairs.flag("limits.probing"),
      .hedgedRequests = pairs.flag("limits.secondCopies"),
      .retryAfter = pairs.flag("limits.retryAfter"),
      .maxAttempts = pairs.whole("limits.maxAttempts"),
      .maxRetryAfter = pairs.span("limits.maxRetryAfterMs"),
      .connectTimeout = pairs.span("limits.dialTimeoutMs"),
  };
}

Prices parsePrices(const SettingPairs& pairs) {
  return {
      .crossZone = pairs.decimalOr("prices.crossZone", 0),
      .lateFail = pairs.decimalOr("prices.lateFail", 0),
      .move = pairs.decimalOr("familyInfo.moveFee", 0),
      .peer = pairs.decimalOr("prices.peer", 0),
      .probe = pairs.decimalOr("prices.probe", 0),
      .waste = pairs.decimalOr("prices.waste", 0),
  };
}

Goal parseGoal(const SettingPairs& pairs) {
  return {
      .whole = pairs.decimalOr("goal.whole", 0),
      .worstWindow = pairs.decimalOr("goal.worstWindow", 0),
      .worstClass = pairs.decimalOr("goal.worstClass", 0),
      .worstTenant = pairs.decimalOr("goal.worstTenant", 0),
  };
}

ZoneIndex parseOwnZone(const SettingPairs& pairs, const Line& line, const Vocabulary& names) {
  const std::size_t zone = indexOf(names.zones, pairs.word("myZone"));
  if (zone == names.zones.size())
    line.complain(pairs.field("myZone"), "myZone is not among zones");
  return {static_cast<std::uint32_t>(zone)};
}

}  // namespace

Setup parseSetup(const Line& line) {
  if (line.fields() < 1)
    line.complain(1, "the seed is missing");
  const SettingPairs pairs(line);
  Setup setup{};
  Vocabulary& names = setup.names;
  Settings& settings = setup.settings;
  settings.classes = parseClasses(pairs, names);
  settings.kinds = parseKinds(pairs, line, names);
  settings.tenants = parseTenants(pairs, names);
  settings.contract = parseContract(pairs);
  settings.limits = parseLimits(pairs);
  settings.prices = parsePrices(pairs);
  settings.goal = parseGoal(pairs);
  settings.discovery = pairs.choice("discovery", kDiscoveries);
  settings.reports = pairs.choice("report.how", kReports);
  settings.reservationsAllowed = pairs.flag("familyInfo.ahead");
  settings.decodeCanPrefill = pairs.flag("familyInfo.writersRead");
  settings.streamResumption = pairs.flag("familyInfo.resume");
  settings.countedByWork = pairs.wordOr("countedBy", "request") == "work";
  settings.overQuotaWeight = pairs.decimalOr("overShareWorth", 1);
  settings.nodes = pairs.whole("peersTotal");
  settings.nodeIndex = pairs.whole("me");
  settings.tick = pairs.span("tickMs");
  names.zones = pairs.list("zones");
  names.x0Meaning = pairs.wordOr("familyInfo.reportX0", "");
  names.x1Meaning = pairs.wordOr("familyInfo.reportX1", "");
  settings.zone = parseOwnZone(pairs, line, names);
  return setup;
}

}  // namespace inference_router::routing::wire
