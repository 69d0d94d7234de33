#include "wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <type_traits>

namespace inference_router::routing::wire {
namespace {

constexpr double kLongestMs = 1e12;   // of a setting: sums of such times stay far from any overflow
constexpr double kMostCounted = 1e6;  // of whatever a setting counts
constexpr std::uint64_t kHintValid = 1, kRepeat = 2, kResumed = 16;
constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

Parts split(std::string_view text, char mark) {
  Parts parts;
  for (std::size_t from = 0;;) {
    const std::size_t to = text.find(mark, from);
    parts.push_back(text.substr(from, to - from));
    if (to == std::string_view::npos)
      return parts;
    from = to + 1;
  }
}

std::optional<double> toDecimal(std::string_view text) {
  double value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
    return {};
  return value;
}

std::size_t indexOf(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

template <class Value, std::size_t N>
Value lookUp(const std::array<std::pair<std::string_view, Value>, N>& table,
             const Line& line,
             std::size_t field,
             std::string_view word) {
  for (const auto& [name, value] : table) {
    if (name == word)
      return value;
  }
  line.complain(field, "unknown word '" + std::string(word) + "'");
}

constexpr std::array<std::pair<std::string_view, AttemptOutcome>, 9> kOutcomes{{
    {"served", AttemptOutcome::kServed},
    {"server_error", AttemptOutcome::kError},
    {"turned_away", AttemptOutcome::kRejected},
    {"no_answer", AttemptOutcome::kTimeout},
    {"no_connection", AttemptOutcome::kConnectFailed},
    {"connection_lost", AttemptOutcome::kConnectionLost},
    {"called_off", AttemptOutcome::kCancelled},
    {"not_sent", AttemptOutcome::kNotSent},
    {"read", AttemptOutcome::kPrefilled},
}};
constexpr std::array<std::pair<std::string_view, EndpointState>, 3> kEndpointStates{
    {{"active", EndpointState::kActive},
     {"leaving", EndpointState::kDraining},
     {"left", EndpointState::kRemoved}}};
constexpr std::array<std::pair<std::string_view, EndpointListForm>, 4> kForms{
    {{"delta", EndpointListForm::kChanges},
     {"full", EndpointListForm::kFull},
     {"cached", EndpointListForm::kCached},
     {"failed", EndpointListForm::kFailed}}};
constexpr std::array<std::pair<std::string_view, Effect>, 3> kEffects{
    {{"idempotent", Effect::kIdempotent},
     {"deduplicated", Effect::kDeduplicated},
     {"at_most_once", Effect::kAtMostOnce}}};
constexpr std::array<std::pair<std::string_view, DedupScope>, 3> kGroups{
    {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}}};
constexpr std::array<std::pair<std::string_view, Role>, 3> kRoles{
    {{"read", Role::kPrefill}, {"write", Role::kDecode}, {"both", Role::kMixed}}};
constexpr std::array<std::pair<std::string_view, Discovery>, 2> kDiscoveries{
    {{"push", Discovery::kPush}, {"ask", Discovery::kPoll}}};
constexpr std::array<std::pair<std::string_view, LoadReports>, 3> kReports{
    {{"off", LoadReports::kNone},
     {"inline", LoadReports::kInline},
     {"on_probe", LoadReports::kProbed}}};

// The path=value pairs of an ENLIST line.
class Pairs {
 public:
  explicit Pairs(const Line& line) : line_(line) {
    for (std::size_t field = 2; field <= line.fields(); ++field) {
      const std::string_view pair = line.raw(field);
      const std::size_t equals = pair.find('=');
      if (equals == std::string_view::npos)
        line.complain(field, "a setting without '='");
      found_[std::string(pair.substr(0, equals))] = {pair.substr(equals + 1), field};
    }
  }

  bool has(const std::string& path) const { return found_.count(path) != 0; }
  std::size_t field(const std::string& path) const { return at(path).second; }
  std::string word(const std::string& path) const { return std::string(at(path).first); }
  std::string wordOr(const std::string& path, std::string_view otherwise) const {
    return has(path) ? word(path) : std::string(otherwise);
  }
  double decimal(const std::string& path) const { return number(path, at(path).first); }
  double decimalOr(const std::string& path, double otherwise) const {
    return has(path) ? decimal(path) : otherwise;
  }
  Duration span(const std::string& path) const { return fromMillis(atMost(kLongestMs, path)); }
  int whole(const std::string& path) const { return static_cast<int>(atMost(kMostCounted, path)); }
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
    const auto it = found_.find(path);
    if (it == found_.end())
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
  double atMost(double most, const std::string& path) const {
    const double value = decimal(path);
    if (value > most)
      line_.complain(field(path), path + " is too large");
    return value;
  }

  const Line& line_;
  std::map<std::string, std::pair<std::string_view, std::size_t>, std::less<>> found_;
};

std::vector<ClassSettings> parseClasses(const Pairs& pairs, Vocabulary& names) {
  const auto count = static_cast<std::size_t>(pairs.whole("grades.count"));
  const auto per1000 = pairs.decimals("familyInfo.aimUsPer1000PromptTokens", count);
  const auto tokenAims = pairs.decimals("familyInfo.tokenAimMs", count);
  std::vector<ClassSettings> classes;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string at = "grades." + std::to_string(i) + ".";
    names.classes.push_back(pairs.word(at + "name"));
    const Effect effect = pairs.choice(at + "effect", kEffects);
    const bool keyed = effect == Effect::kDeduplicated;
    classes.push_back({
        .effect = effect,
        .dedupScope = keyed || pairs.has(at + "group") ? pairs.choice(at + "group", kGroups)
                                                       : DedupScope::kAll,
        .dedupWindow = keyed ? pairs.span(at + "dedupWindowMs") : Duration::zero(),
        .latencyObjective = pairs.span(at + "goalTimeMs"),
        .latencyObjectivePer1000 = fromMillis(std::min(per1000[i] / 1000, kLongestMs)),
        .tokenIntervalObjective = fromMillis(std::min(tokenAims[i], kLongestMs)),
        .deadline = pairs.span(at + "hardLimitMs"),
        .lateWeightShare = pairs.decimal(at + "lateShare"),
        .priorityWeight = pairs.decimal(at + "worth"),
        .stream = pairs.flag(at + "stream"),
    });
  }
  return classes;
}

std::vector<KindSettings> parseKinds(const Pairs& pairs, const Line& line, Vocabulary& names) {
  names.kinds = pairs.list("kinds");
  const auto duties = pairs.list("familyInfo.dutyByKind");
  const auto memory = pairs.decimals("familyInfo.memoryTokens", names.kinds.size());
  if (duties.size() != names.kinds.size())
    line.complain(2, "familyInfo.dutyByKind has the wrong length");
  std::vector<KindSettings> kinds;
  for (std::size_t i = 0; i < duties.size(); ++i) {
    kinds.push_back(
        {lookUp(kRoles, line, pairs.field("familyInfo.dutyByKind"), duties[i]), memory[i]});
  }
  return kinds;
}

std::vector<TenantSettings> parseTenants(const Pairs& pairs, Vocabulary& names) {
  std::vector<TenantSettings> tenants;
  for (std::size_t i = 0; i < pairs.count("orgs"); ++i) {
    const std::string at = "orgs." + std::to_string(i) + ".";
    names.tenants.push_back(pairs.word(at + "name"));
    tenants.push_back({pairs.decimal(at + "share"), pairs.decimal(at + "allowancePerS")});
  }
  return tenants;
}

std::optional<LoadReport> parseReport(const Line& line,
                                      std::size_t field,
                                      const Vocabulary& names) {
  const std::string_view text = line.raw(field);
  if (text == "-" || text.empty())
    return {};
  LoadReport report;
  for (const std::string_view pair : split(text, ',')) {
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos)
      line.complain(field, "a report value without ':'");
    const std::string_view name = pair.substr(0, colon);
    const auto value = toDecimal(pair.substr(colon + 1));
    if (!value)
      line.complain(field, "a report value that is not a number");
    if (name == "active")
      report.inFlight = value;
    if (name == "waiting")
      report.queued = value;
    if (name == "cpu")
      report.slotShare = value;
    if (name == "avg_ms")
      report.latency = fromMillis(*value);
    if (name == "x0" && names.x0Meaning == "share_of_memory_that_is_held")
      report.memoryShare = value;
    if (name == "x1" &&
        names.x1Meaning == "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched") {
      report.tokensWaiting = *value * 1000;
    }
  }
  return report;
}

Event parseArrival(const Line& line, const Vocabulary& names) {
  line.expect(11);
  const std::string party = line.text(3);
  const std::size_t tenant = indexOf(names.tenants, party);
  if (!party.empty() && tenant == names.tenants.size())
    line.complain(3, "unknown tenant");
  const std::size_t cls = indexOf(names.classes, line.required(2));
  if (cls == names.classes.size())
    line.complain(2, "unknown class");
  const std::uint64_t options = line.whole(11);
  Arrival arrival{
      .request = {line.required(1)},
      .cls = {static_cast<std::uint32_t>(cls)},
      .tenant = {},
      .session = line.text(4),
      .prefix = line.text(7),
      .timeLeft = line.span(5),
      .lengthHint = {},
      .promptTokens = static_cast<double>(line.whole(8)),
      .prefixTokens = static_cast<double>(line.whole(9)),
      .maxTokens = static_cast<double>(line.whole(10)),
      .repeat = (options & kRepeat) != 0,
      .resumed = (options & kResumed) != 0,
  };
  if (!party.empty())
    arrival.tenant = TenantIndex{static_cast<std::uint32_t>(tenant)};
  if ((options & kHintValid) != 0)
    arrival.lengthHint = line.span(6);
  return arrival;
}

Event parseEnded(const Line& line, const Vocabulary& names) {
  line.expect(8);
  const AttemptOutcome outcome = lookUp(kOutcomes, line, 4, line.raw(4));
  const double detail = static_cast<double>(line.whole(7));
  return AttemptEnded{
      .request = {line.required(1)},
      .attempt = static_cast<int>(line.whole(2)),
      .instance = {line.required(3)},
      .outcome = outcome,
      .took = line.span(5),
      .concluded = line.flag(6),
      .cachedTokens =
          outcome == AttemptOutcome::kPrefilled || outcome == AttemptOutcome::kServed ? detail : 0,
      .kvCacheLost = outcome == AttemptOutcome::kRejected && detail == 1,
      .report = parseReport(line, 8, names),
  };
}

Event parseProbe(const Line& line, const Vocabulary& names) {
  line.expect(4);
  const bool answered = lookUp(kOutcomes, line, 3, line.raw(3)) == AttemptOutcome::kServed;
  return HealthCheckEnded{{line.required(1)}, line.span(2), answered, parseReport(line, 4, names)};
}

std::string oneLine(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == '\n' || c == '\r' || c == '\t'; }, ' ');
  return text;
}

}  // namespace

Line::Line(std::string_view text, std::size_t number)
    : parts_(split(text, '\t')), number_(number) {}

void Line::complain(std::size_t field, std::string_view what) const {
  throw Malformed("line " + std::to_string(number_) + " (" + std::string(name()) + "), field " +
                  std::to_string(field) + ": " + std::string(what));
}

void Line::expect(std::size_t count) const {
  if (fields() == count)
    return;
  complain(std::min(fields(), count) + 1,
           "expected " + std::to_string(count) + " fields, found " + std::to_string(fields()));
}

std::string Line::text(std::size_t field) const {
  return parts_.at(field) == "-" ? std::string() : std::string(parts_[field]);
}

std::string Line::required(std::size_t field) const {
  if (parts_.at(field) == "-" || parts_[field].empty())
    complain(field, "is empty");
  return std::string(parts_[field]);
}

double Line::decimal(std::size_t field) const {
  if (parts_.at(field) == "-")
    return 0;
  const auto value = toDecimal(parts_[field]);
  if (!value)
    complain(field, "'" + std::string(parts_[field]) + "' is not a number");
  return *value;
}

std::uint64_t Line::whole(std::size_t field) const {
  const std::string_view text = parts_.at(field);
  if (text == "-")
    return 0;
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size()) {
    complain(field, "'" + std::string(text) + "' is not a whole number");
  }
  return value;
}

bool Line::flag(std::size_t field) const {
  if (parts_.at(field) == "1")
    return true;
  if (parts_[field] == "0" || parts_[field] == "-")
    return false;
  complain(field, "is neither 1 nor 0");
}

Duration Line::span(std::size_t field) const {
  return fromMillis(decimal(field));
}

Setup parseSetup(const Line& line) {
  if (line.fields() < 1)
    line.complain(1, "the seed is missing");
  const Pairs pairs(line);
  Setup setup{};
  Vocabulary& names = setup.names;
  Settings& to = setup.settings;
  to.classes = parseClasses(pairs, names);
  to.kinds = parseKinds(pairs, line, names);
  to.tenants = parseTenants(pairs, names);
  to.contract = {
      .drainGrace = pairs.span("contract.drainGraceMs"),
      .answerGrace = pairs.span("contract.graceToAnswerMs"),
      .maxListAge = pairs.span("contract.askWithinMs"),
      .warmupInitialShare = pairs.decimal("contract.coldFrom"),
      .warmupDuration = pairs.span("contract.coldMs"),
      .overloadFactor = pairs.decimal("contract.overloadFactor"),
      .overloadWindow = pairs.span("contract.fallMs"),
      .releaseLimit = pairs.span("familyInfo.releaseMs"),
  };
  to.limits = {
      .cancel = pairs.flag("limits.cancel"),
      .gossip = pairs.flag("limits.peers"),
      .healthChecks = pairs.flag("limits.probing"),
      .hedgedRequests = pairs.flag("limits.secondCopies"),
      .retryAfter = pairs.flag("limits.retryAfter"),
      .maxAttempts = pairs.whole("limits.maxAttempts"),
      .maxRetryAfter = pairs.span("limits.maxRetryAfterMs"),
      .connectTimeout = pairs.span("limits.dialTimeoutMs"),
  };
  to.prices = {
      .crossZone = pairs.decimalOr("prices.crossZone", 0),
      .lateFail = pairs.decimalOr("prices.lateFail", 0),
      .move = pairs.decimalOr("familyInfo.moveFee", 0),
      .peer = pairs.decimalOr("prices.peer", 0),
      .probe = pairs.decimalOr("prices.probe", 0),
      .waste = pairs.decimalOr("prices.waste", 0),
  };
  to.goal = {
      .whole = pairs.decimalOr("goal.whole", 0),
      .worstWindow = pairs.decimalOr("goal.worstWindow", 0),
      .worstClass = pairs.decimalOr("goal.worstClass", 0),
      .worstTenant = pairs.decimalOr("goal.worstTenant", 0),
  };
  to.discovery = pairs.choice("discovery", kDiscoveries);
  to.reports = pairs.choice("report.how", kReports);
  to.reservationsAllowed = pairs.flag("familyInfo.ahead");
  to.decodeCanPrefill = pairs.flag("familyInfo.writersRead");
  to.streamResumption = pairs.flag("familyInfo.resume");
  to.countedByWork = pairs.wordOr("countedBy", "request") == "work";
  to.overQuotaWeight = pairs.decimalOr("overShareWorth", 1);
  to.nodes = pairs.whole("peersTotal");
  to.me = pairs.whole("me");
  to.tick = pairs.span("tickMs");
  names.zones = pairs.list("zones");
  names.x0Meaning = pairs.wordOr("familyInfo.reportX0", "");
  names.x1Meaning = pairs.wordOr("familyInfo.reportX1", "");
  const std::size_t zone = indexOf(names.zones, pairs.word("myZone"));
  if (zone == names.zones.size())
    line.complain(pairs.field("myZone"), "myZone is not among zones");
  to.zone = {static_cast<std::uint32_t>(zone)};
  return setup;
}

EndpointListUpdate parseListHead(const Line& line) {
  line.expect(3);
  return {line.whole(1), lookUp(kForms, line, 2, line.raw(2)), {}};
}

EndpointRecord parseItem(const Line& line, const Vocabulary& names) {
  line.expect(7);
  const std::size_t zone = indexOf(names.zones, line.required(2));
  if (zone == names.zones.size())
    line.complain(2, "unknown zone");
  const double started = line.decimal(7);
  return {
      .instance = {line.required(1)},
      .zone = {static_cast<std::uint32_t>(zone)},
      .kind = {static_cast<std::uint32_t>(indexOf(names.kinds, line.required(3)))},
      .cell = {static_cast<std::uint32_t>(line.whole(4))},
      .state = lookUp(kEndpointStates, line, 5, line.raw(5)),
      .weight = line.decimal(6),
      .started = started > 0 ? std::optional<Time>(Time(fromMillis(started))) : std::nullopt,
  };
}

Event parseEvent(const Line& line, const Vocabulary& names) {
  const std::string_view name = line.name();
  if (name == "ARRIVAL")
    return parseArrival(line, names);
  if (name == "ENDED")
    return parseEnded(line, names);
  if (name == "HEALTH_RESULT")
    return parseProbe(line, names);
  if (name == "OPENED") {
    line.expect(4);
    return StreamOpened{
        {line.required(1)}, static_cast<int>(line.whole(4)), {line.required(3)}, line.span(2)};
  }
  if (name == "PLACE_NOTE") {
    line.expect(5);
    return ReservationResult{{line.required(1)},
                             static_cast<int>(line.whole(4)),
                             {line.required(2)},
                             line.whole(5) == 1};
  }
  if (name == "NEIGHBOUR_SAYS") {
    line.expect(2);
    return PeerMessage{static_cast<int>(line.whole(1)), decodeBase64(line.raw(2), line, 2)};
  }
  if (name == "BELL") {
    line.expect(1);
    return TimerFired{line.whole(1)};
  }
  if (name == "LAPSED") {
    line.expect(1);
    return RequestAbandoned{{line.required(1)}};
  }
  line.complain(0, "unknown message");
}

std::string formatAction(const Action& action) {
  return std::visit(
      [](const auto& act) -> std::string {
        using Act = std::decay_t<decltype(act)>;
        if constexpr (std::is_same_v<Act, DispatchAttempt>) {
          return "ISSUE\t" + act.request.value + "\t" + act.instance.value + "\t" +
                 toMillis(act.until.time_since_epoch());
        } else if constexpr (std::is_same_v<Act, ReserveDecode>) {
          return "SET_ASIDE\t" + act.request.value + "\t" + act.instance.value;
        } else if constexpr (std::is_same_v<Act, ReleaseState>) {
          return "RELEASE\t" + act.request.value;
        } else if constexpr (std::is_same_v<Act, RejectRequest>) {
          return "PUSH_BACK\t" + act.request.value + "\t" +
                 (act.retryAfter ? toMillis(*act.retryAfter) : "-");
        } else if constexpr (std::is_same_v<Act, FailRequest>) {
          return "END_FAILED\t" + act.request.value;
        } else if constexpr (std::is_same_v<Act, CancelAttempt>) {
          return "DROP_ATTEMPT\t" + act.request.value + "\t" + std::to_string(act.attempt);
        } else if constexpr (std::is_same_v<Act, MigrateStream>) {
          return "REASSIGN\t" + act.request.value;
        } else if constexpr (std::is_same_v<Act, SetTimer>) {
          return "SET_ALARM\t" + std::to_string(act.timer) + "\t" + toMillis(act.in);
        } else if constexpr (std::is_same_v<Act, SendHealthCheck>) {
          return "HEALTH_CHECK\t" + act.instance.value;
        } else if constexpr (std::is_same_v<Act, SendGossip>) {
          return "BROADCAST_TO\t*\t" + encodeBase64(act.bytes);
        } else if constexpr (std::is_same_v<Act, SubscribeEndpoints>) {
          return "LISTEN\t1";
        } else if constexpr (std::is_same_v<Act, FetchEndpoints>) {
          return "RESOLVE";
        } else {
          return "JOURNAL_LINE\t" + oneLine(act.text);
        }
      },
      action);
}

Duration fromMillis(double ms) {
  return Duration(std::llround(ms * 1000));
}

std::string toMillis(Duration span) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(span.count()) / 1000);
  return text.data();
}

std::string encodeBase64(std::string_view bytes) {
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t dedupScope = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      dedupScope = dedupScope << 8 |
                   (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += at + i > bytes.size() ? '=' : kAlphabet[dedupScope >> (18 - 6 * i) & 63];
    }
  }
  return text.empty() ? "-" : text;
}

std::string decodeBase64(std::string_view text, const Line& line, std::size_t field) {
  std::string bytes;
  if (text == "-")
    return bytes;
  if (text.size() % 4 != 0)
    line.complain(field, "is not base64");
  std::uint32_t dedupScope = 0;
  int bits = 0;
  const std::size_t end = std::min(text.find('='), text.size());
  if (text.size() - end > 2)
    line.complain(field, "is not base64");
  for (const char c : text.substr(0, end)) {
    const std::size_t value = kAlphabet.find(c);
    if (value == std::string_view::npos)
      line.complain(field, "is not base64");
    dedupScope = dedupScope << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits < 8)
      continue;
    bits -= 8;
    bytes += static_cast<char>(dedupScope >> bits & 255);
  }
  return bytes;
}

}  // namespace inference_router::routing::wire
