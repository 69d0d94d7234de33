#include "message_codec.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "base64.h"

namespace inference_router::routing::wire {
namespace {

// Bits of the options of an ARRIVAL.
constexpr std::uint64_t kHintValid = 1;
constexpr std::uint64_t kRepeat = 2;
constexpr std::uint64_t kResumed = 16;
// In a PLACE_NOTE.
constexpr std::uint64_t kReservationGranted = 1;

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

Event parseHealthCheck(const Line& line, const Vocabulary& names) {
  line.expect(4);
  const bool answered = lookUp(kOutcomes, line, 3, line.raw(3)) == AttemptOutcome::kServed;
  return HealthCheckEnded{{line.required(1)}, line.span(2), answered, parseReport(line, 4, names)};
}

Event parseOpened(const Line& line) {
  line.expect(4);
  return StreamOpened{
      .request = {line.required(1)},
      .attempt = static_cast<int>(line.whole(4)),
      .instance = {line.required(3)},
      .took = line.span(2),
  };
}

Event parseReservationResult(const Line& line) {
  line.expect(5);
  return ReservationResult{
      .request = {line.required(1)},
      .attempt = static_cast<int>(line.whole(4)),
      .instance = {line.required(2)},
      .granted = line.whole(5) == kReservationGranted,
  };
}

Event parsePeerMessage(const Line& line) {
  line.expect(2);
  return PeerMessage{static_cast<int>(line.whole(1)), decodeBase64(line.raw(2), line, 2)};
}

Event parseTimer(const Line& line) {
  line.expect(1);
  return TimerFired{line.whole(1)};
}

Event parseAbandoned(const Line& line) {
  line.expect(1);
  return RequestAbandoned{{line.required(1)}};
}

std::string oneLine(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == '\n' || c == '\r' || c == '\t'; }, ' ');
  return text;
}

std::string format(const DispatchAttempt& dispatch) {
  return "ISSUE\t" + dispatch.request.value + "\t" + dispatch.instance.value + "\t" +
         toMillis(dispatch.timeoutAt.time_since_epoch());
}

std::string format(const ReserveDecode& reserve) {
  return "SET_ASIDE\t" + reserve.request.value + "\t" + reserve.instance.value;
}

std::string format(const ReleaseState& release) {
  return "RELEASE\t" + release.request.value;
}

std::string format(const RejectRequest& reject) {
  return "PUSH_BACK\t" + reject.request.value + "\t" +
         (reject.retryAfter ? toMillis(*reject.retryAfter) : "-");
}

std::string format(const FailRequest& fail) {
  return "END_FAILED\t" + fail.request.value;
}

std::string format(const CancelAttempt& cancel) {
  return "DROP_ATTEMPT\t" + cancel.request.value + "\t" + std::to_string(cancel.attempt);
}

std::string format(const MigrateStream& migrate) {
  return "REASSIGN\t" + migrate.request.value;
}

std::string format(const SetTimer& timer) {
  return "SET_ALARM\t" + std::to_string(timer.timer) + "\t" + toMillis(timer.delay);
}

std::string format(const SendHealthCheck& check) {
  return "HEALTH_CHECK\t" + check.instance.value;
}

std::string format(const SendGossip& gossip) {
  return "BROADCAST_TO\t*\t" + encodeBase64(gossip.bytes);
}

std::string format(const SubscribeEndpoints&) {
  return "LISTEN\t1";
}

std::string format(const FetchEndpoints&) {
  return "RESOLVE";
}

std::string format(const LogMessage& message) {
  return "JOURNAL_LINE\t" + oneLine(message.text);
}

}  // namespace

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
    return parseHealthCheck(line, names);
  if (name == "OPENED")
    return parseOpened(line);
  if (name == "PLACE_NOTE")
    return parseReservationResult(line);
  if (name == "NEIGHBOUR_SAYS")
    return parsePeerMessage(line);
  if (name == "BELL")
    return parseTimer(line);
  if (name == "LAPSED")
    return parseAbandoned(line);
  line.complain(0, "unknown message");
}

std::string formatAction(const Action& action) {
  return std::visit([](const auto& alternative) { return format(alternative); }, action);
}

}  // namespace inference_router::routing::wire
