#include "app/shared_state_service.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "app/fleet_instances.h"

namespace inference_router::app {

using namespace shared;
using nlohmann::json;
using routing::AttemptOutcome;

namespace {

constexpr double kTickMs = 50;          // between checks of what is due
constexpr double kComeAgainMs = 2'000;  // retry after a denial for want of a loan
constexpr double kLeastWaitMs = 1'000;

}  // namespace

SharedStateService::SharedStateService(Server& server,
                                       const routing::wire::Setup& site,
                                       SharedSetup setup,
                                       const std::string& name)
    : server_(server),
      site_(site),
      setup_(std::move(setup)),
      node_(setup_.config, name, freshNumber, server.clock.nowMs()) {
  server_.dispatcher.onEvent([this](const routing::Event& event) { witness(event); });
  tick();
}

SharedStateService::~SharedStateService() {
  *alive_ = false;
  server_.timers.cancel(next_);
}

void SharedStateService::reconfigure(SharedSetup setup) {
  setup_ = std::move(setup);
  node_.reconfigure(setup_.config);
}

std::unique_ptr<coordination::FleetTask> SharedStateService::task(double maxStepMs) {
  auto task = std::make_unique<DigestTask>(
      coordination::TaskConfig{"digest", setup_.config.digestMs, maxStepMs, /*quiet=*/true},
      [this] { return setup_.config; }, [] { return core::unixNowMs(); });
  task_ = task.get();
  return task;
}

// ---- Carriage
// ------------------------------------------------------------------------------------------

void SharedStateService::saw(const coordination::View& view) {
  node_.onRead(view.documents, view.readMs, server_.clock.nowMs());
}

void SharedStateService::tick() {
  speak();
  judge();
  split();
  say();
  next_ = server_.timers.add(server_.clock.nowMs() + kTickMs, [this] { tick(); });
}

void SharedStateService::speak() {
  if (!put_)
    return;
  const double now = server_.clock.nowMs();
  const auto write = node_.nextReport(core::unixNowMs(), now);
  if (!write)
    return;
  put_(*write, [this, alive = alive_](coordination::CommitResponse answer) {
    if (*alive)
      node_.onWritten(answer, server_.clock.nowMs());
  });
}

// ---- Instances
// ---------------------------------------------------------------------------------------------

// Records the result of an attempt. Rejections and cancellations say nothing of the instance's
// health.
void SharedStateService::witness(const routing::Event& event) {
  const double now = server_.clock.nowMs();
  if (const auto* opened = std::get_if<routing::StreamOpened>(&event))
    return node_.observations().recordSuccess(opened->instance.value, now);
  const auto* ended = std::get_if<routing::AttemptEnded>(&event);
  if (ended == nullptr)
    return;
  const std::string& instance = ended->instance.value;
  switch (ended->outcome) {
    case AttemptOutcome::kServed:
    case AttemptOutcome::kPrefilled:
      return node_.observations().recordSuccess(instance, now);
    case AttemptOutcome::kError:
    case AttemptOutcome::kConnectionLost:
      return node_.observations().recordFailure(instance, FailureKind::kError, now);
    case AttemptOutcome::kConnectFailed:
      return node_.observations().recordFailure(instance, FailureKind::kConnectionRefused, now);
    case AttemptOutcome::kTimeout:
      return node_.observations().recordFailure(instance, FailureKind::kTimeout, now);
    // Cancelled because it was silent, not because its client is gone or was refused.
    case AttemptOutcome::kCancelled:
      if (!ended->concluded && server_.dispatcher.avoids(ended->instance))
        node_.observations().recordFailure(instance, FailureKind::kTimeout, now);
      return;
    default:
      return;
  }
}

std::map<std::string, KnownInstance> SharedStateService::instances() const {
  auto found = fleetInstances(server_.membership, site_.settings);
  for (const std::string& id : server_.membership.drained())
    if (const auto instance = found.find(id); instance != found.end())
      instance->second.serves = false;
  return found;
}

void SharedStateService::judge() {
  const double now = server_.clock.nowMs();
  const auto instances =
      setup_.hearsay ? this->instances() : std::map<std::string, KnownInstance>();
  std::set<std::string> listed, out;
  for (const auto& [id, instance] : instances)
    listed.insert(id);
  node_.observations().prune(listed, now);
  auto availabilities = node_.availabilities(instances, now);
  for (const auto& [id, availability] : availabilities) {
    if (availability == Availability::kExcluded)
      out.insert(id);
    const auto before = availabilities_.find(id);
    const Availability was =
        before == availabilities_.end() ? Availability::kInUse : before->second;
    if (was == availability)
      continue;
    const bool turn = was == Availability::kProbing || availability == Availability::kProbing;
    spdlog::log(turn ? spdlog::level::debug : spdlog::level::info,
                "shared box={} standing={} was={}", id, nameOf(availability), nameOf(was));
  }
  availabilities_ = std::move(availabilities);
  const auto news = server_.membership.setPeerExclusions(out, now);
  if (!news)
    return;
  for (const routing::EndpointRecord& entry : news->entries) {
    const upstream::InstanceEndpoint* instance = server_.directory.find(entry.instance);
    if (out.count(entry.instance.value) == 0 && instance != nullptr)
      server_.pool.dropIdle(instance->address);
  }
  server_.dispatcher.list(*news);
}

// Fleet-wide limits of the decision module, such as the budget of a cold instance, are split among
// the live routers. An isolated router keeps the last number that it knew.
void SharedStateService::split() {
  const double now = server_.clock.nowMs();
  const auto configured = static_cast<std::size_t>(site_.settings.nodes);
  std::size_t among = std::max(configured, node_.nodes());
  if (node_.connectivityState(now) != ConnectivityState::kConnected)
    among = std::max(among, splitAmong_);
  if (among == splitAmong_)
    return;
  splitAmong_ = among;
  routing::Settings settings = site_.settings;
  settings.nodes = static_cast<int>(among);
  server_.dispatcher.reconfigure(settings);
}

// ---- Accounts
// ------------------------------------------------------------------------------------------

std::optional<frontend::BudgetDenied> SharedStateService::reserve(const std::string& tenant,
                                                                  const std::string& cls,
                                                                  std::uint64_t tokens,
                                                                  Reservation& to) {
  const double now = server_.clock.nowMs();
  const TokenBudgets::Answer answer = node_.reserve(tenant, tokens, now);
  to = answer.reservation;
  if (answer.denial == Denial::kNone)
    return std::nullopt;
  ++server_.counters[std::string("shared.denied.") + nameOf(answer.denial)];
  SharedNode::Ended refused;
  refused.how = SharedNode::Ended::How::kRefused;
  refused.askedTokens = tokens;
  node_.ended(tenant, cls, answer.reservation, refused, now);
  switch (answer.denial) {
    case Denial::kUsedUp:
      return frontend::BudgetDenied{"the token budget of " + tenant + " is used up for this period",
                                    std::max(kLeastWaitMs, node_.periodEndsMs() - now)};
    case Denial::kTooLarge:
      return frontend::BudgetDenied{
          "the request may need more tokens than the whole budget of " + tenant, 0};
    case Denial::kLoanExpired:
      return frontend::BudgetDenied{"this conductor does not hear of the token budget of " + tenant,
                                    kComeAgainMs};
    default:
      return frontend::BudgetDenied{
          "no tokens of the budget of " + tenant + " are at hand here just now", kComeAgainMs};
  }
}

void SharedStateService::ended(const std::string& tenant,
                               const std::string& cls,
                               const Reservation& reservation,
                               const SharedNode::Ended& how) {
  node_.ended(tenant, cls, reservation, how, server_.clock.nowMs());
}

// ---- Seen from outside
// ---------------------------------------------------------------------------------

void SharedStateService::say() {
  const double now = server_.clock.nowMs();
  const ConnectivityState state = node_.connectivityState(now);
  if (state != loggedState_)
    spdlog::info("shared degree={} was={} silence_ms={:.0f}", nameOf(state), nameOf(loggedState_),
                 node_.silenceMs(now));
  loggedState_ = state;
  if (node_.lastError() != saidTrouble_ && !node_.lastError().empty())
    spdlog::warn("shared: {}", node_.lastError());
  saidTrouble_ = node_.lastError();
  auto& counters = server_.counters;
  const SharedNode::Stats& node = node_.stats();
  counters["shared.words"] = node.reports;
  counters["shared.conflicts"] = node.conflicts;
  counters["shared.folded_away"] = node.evicted;
  counters["shared.digests"] = node.digests;
  counters["shared.went_back"] = node.rolledBack;
  counters["shared.unreadable"] = node.unreadable;
  if (task_ == nullptr)
    return;
  const DigestTask::Stats& made = task_->stats();
  counters["shared.folded"] = made.folded;
  counters["shared.restored"] = made.rolledBack;
  counters["shared.backwards"] = made.backwards;
  counters["shared.incredible"] = made.incredible;
  for (const auto& [flaw, count] : made.unread)
    counters["shared.unread." + flaw] = count;
}

namespace {

json jsonOf(const UsageTable& usage) {
  json list = json::array();
  for (const auto& [key, t] : usage)
    list.push_back({{"tenant", key.tenant},
                    {"class", key.requestClass},
                    {"served", t.served},
                    {"refused", t.refused},
                    {"failed", t.failed},
                    {"prompt_tokens", t.promptTokens},
                    {"answer_tokens", t.answerTokens},
                    {"refused_tokens", t.refusedTokens},
                    {"failed_tokens", t.failedTokens}});
  return list;
}

}  // namespace

std::string SharedStateService::report(bool asJson) {
  const double now = server_.clock.nowMs();
  const auto& digest = node_.digest();
  const ConnectivityState state = node_.connectivityState(now);
  json budgets = json::array(), instances = json::array();
  for (const auto& [tenant, here] : node_.budgets().snapshot()) {
    const auto line =
        digest ? digest->budgets.find(tenant) : std::map<std::string, BudgetLine>::const_iterator();
    const bool known = digest && line != digest->budgets.end();
    budgets.push_back({{"tenant", tenant},
                       {"limit", known ? line->second.limit : setup_.config.budgets.at(tenant)},
                       {"charged", known ? line->second.charged : 0},
                       {"left", known ? line->second.left : 0},
                       {"lent_to", known ? line->second.lent.size() : 0},
                       {"here",
                        {{"lent", here.lent},
                         {"returned", here.returned},
                         {"ceiling", here.ceiling},
                         {"spent", here.spent},
                         {"reserved", here.reserved}}}});
  }
  for (const auto& [id, availability] : availabilities_) {
    const auto verdict = digest ? digest->instances.find(id)
                                : std::map<std::string, HealthVerdict>::const_iterator();
    const bool known = digest && verdict != digest->instances.end();
    instances.push_back({{"box", id},
                         {"standing", nameOf(availability)},
                         {"bad", known ? verdict->second.bad : 0},
                         {"good", known ? verdict->second.good : 0},
                         {"trouble", known ? nameOf(verdict->second.failure) : "none"}});
  }
  const json whole{
      {"conductor", node_.self().name},
      {"incarnation", node_.self().incarnation},
      {"degree", nameOf(state)},
      {"silence_ms", node_.silenceMs(now)},
      {"digest", digest ? digest->sequence : 0},
      {"period_ends_in_s", digest ? std::max(0.0, digest->periodEndsMs - now) / 1000 : 0},
      {"conductors", node_.nodes()},
      {"restored", digest ? digest->restored : 0},
      {"trouble", node_.lastError()},
      {"budgets", budgets},
      {"boxes", instances},
      {"fleet", jsonOf(digest ? digest->total : UsageTable{})},
      {"here", jsonOf(node_.usage())}};
  if (asJson)
    return whole.dump(-1, ' ', true, json::error_handler_t::replace) + "\n";
  std::string text = fmt::format(
      "conductor {} {} silence_ms={:.0f} digest={} conductors={} period_ends_in_s={:.0f}{}\n",
      node_.self().name, nameOf(state), node_.silenceMs(now), digest ? digest->sequence : 0,
      node_.nodes(), whole["period_ends_in_s"].get<double>(),
      node_.lastError().empty() ? "" : " trouble=\"" + node_.lastError() + "\"");
  for (const json& b : budgets)
    text += fmt::format(
        "budget {} limit={} charged={} left={} lent_to={} here: lent={} returned={} ceiling={} "
        "spent={} "
        "reserved={}\n",
        b["tenant"].get<std::string>(), b["limit"].dump(), b["charged"].dump(), b["left"].dump(),
        b["lent_to"].dump(), b["here"]["lent"].dump(), b["here"]["returned"].dump(),
        b["here"]["ceiling"].dump(), b["here"]["spent"].dump(), b["here"]["reserved"].dump());
  for (const json& t : whole["fleet"])
    text +=
        fmt::format("bill {} {} served={} refused={} failed={} prompt_tokens={} answer_tokens={}\n",
                    t["tenant"].get<std::string>(), t["class"].get<std::string>(),
                    t["served"].dump(), t["refused"].dump(), t["failed"].dump(),
                    t["prompt_tokens"].dump(), t["answer_tokens"].dump());
  for (const json& b : instances)
    text += fmt::format("box {} {} bad={} good={} trouble={}\n", b["box"].get<std::string>(),
                        b["standing"].get<std::string>(), b["bad"].dump(), b["good"].dump(),
                        b["trouble"].get<std::string>());
  return text;
}

}  // namespace inference_router::app
