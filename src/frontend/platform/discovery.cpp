#include "frontend/platform/discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "core/document_reader.h"
#include "frontend/platform/endpoint_list.h"
#include "net/message.h"

namespace inference_router::frontend {

using nlohmann::json;
using routing::EndpointListForm;

namespace {

// One that keeps its place in discovery's queue, and one that is renewed.
constexpr std::size_t kMaxCandidates = 2;
constexpr std::size_t kMaxWatchConnections = 1 + kMaxCandidates;  // with the current watch
constexpr double kMaxIdleMs = 1'000;
constexpr core::DocumentLimits kListLimits{.maxBytes = DiscoveryWatch::kMaxDocumentBytes,
                                           .maxValues = 512UL * 1024};

}  // namespace

Discovery::Discovery(boost::asio::io_context& io,
                     const core::Clock& clock,
                     core::TimerQueue& timers,
                     core::Counters& counters,
                     core::EndpointListSink& lists,
                     upstream::InstanceDirectory& directory,
                     net::ConnectionPool& instancePool,
                     const routing::wire::Vocabulary& names,
                     fleet::DiscoveryBackoff backoff)
    : clock_(clock),
      timers_(timers),
      counters_(counters),
      lists_(lists),
      directory_(directory),
      instancePool_(instancePool),
      names_(names),
      watchPool_(io,
                 clock,
                 timers,
                 counters,
                 {kMaxWatchConnections, fleet::DiscoveryBackoff::kConnectTimeoutMs, kMaxIdleMs}),
      confirmation_(clock.nowMs()),
      backoff_(backoff),
      ages_(clock) {}

Discovery::~Discovery() {
  for (const auto& candidate : candidates_)
    candidate->close();
  if (watch_)
    watch_->close();
}

// ---- Watches

// Avoids a gap in updates while discovery moves to another address: the old watch and the list
// remain in use until the new address has sent a document. A further change of address before that
// only replaces the candidates.
void Discovery::watch(const net::Endpoint& address) {
  if (address == address_)
    return;
  const bool isFirst = address_ == net::Endpoint();
  if (isFirst)
    revisionAddress_ = address;  // the cached list is from this address
  address_ = address;
  fallback_.reset();
  watchSilent_ = false;
  endSearch();
  if (!isFirst)
    doubt(fleet::ListDoubt::kMoved, clock_.nowMs());
  startCall();
}

void Discovery::setFallback(const std::optional<net::Endpoint>& address) {
  fallback_ = address == address_ ? std::nullopt : address;
}

// Revision numbers of different addresses cannot be compared, so the full list is requested from an
// address that did not send the current revision. The next call is scheduled at once: this one may
// never be answered.
void Discovery::startCall() {
  ++counters_["discovery.watches"];
  ++calls_;
  makeRoomForCall();
  const std::uint64_t after = address_ == revisionAddress_ ? revision_ : 0;
  const std::string target = "/api/targets?watch=1&after=" + std::to_string(after);
  const std::string head =
      net::headText("GET " + target + " HTTP/1.1", {{"Host", net::textOf(address_)}});
  const auto candidate = std::make_shared<DiscoveryWatch>(
      *this, clock_, timers_, WatchTarget{address_, /*needsList=*/after == 0});
  candidates_.push_back(candidate);
  candidate->start(watchPool_.call(address_, head, nullptr, candidate));
  scheduleCall(backoff_.nextGapMs());
  if (!confirmation_.confirmed())
    reportStatus();
}

void Discovery::makeRoomForCall() {
  if (candidates_.size() < kMaxCandidates)
    return;
  ++counters_["discovery.replaced"];
  candidates_.back()->close();
  candidates_.pop_back();
}

// The addresses take turns only while no watch is open: the fallback may hold an older state.
void Discovery::callNext() {
  if (onRetry_)
    onRetry_();
  if (callTimer_.armed())
    return;  // the callback has changed the address
  if (calls_ > 0 && addressesTakeTurns())
    std::swap(*fallback_, address_);
  startCall();
}

// Two addresses in turn are called twice as often.
void Discovery::scheduleCall(double delayMs) {
  scheduleCallAt(clock_.nowMs() + (addressesTakeTurns() ? delayMs / 2 : delayMs));
}

void Discovery::scheduleCallAt(double atMs) {
  nextCallMs_ = atMs;
  callTimer_ = timers_.schedule(nextCallMs_, [this] { callNext(); });
}

// A failed call may bring the next one forward, and does not put it off; an error response does.
void Discovery::scheduleCallAfter(WatchEnd end) {
  if (end == WatchEnd::kErrorStatus)
    return scheduleCall(backoff_.nextErrorDelayMs());
  const auto scheduledMs = callTimer_.armed() ? std::optional(nextCallMs_) : std::nullopt;
  scheduleCall(backoff_.nextRetryDelayMs());
  if (scheduledMs && *scheduledMs < nextCallMs_)
    scheduleCallAt(*scheduledMs);
}

void Discovery::endSearch() {
  callTimer_.cancel();
  for (const auto& candidate : std::exchange(candidates_, {}))
    candidate->close();
  backoff_.reset();
}

void Discovery::onSent(const DiscoveryWatch&) {
  scheduleCall(backoff_.nextGapBesideWaitingMs());
}

void Discovery::onAlive(const DiscoveryWatch& watch) {
  lastAliveMs_ = clock_.nowMs();
  if (&watch == watch_.get()) {
    if (std::exchange(watchSilent_, false))
      confirm();
    return;
  }
  const auto found = std::find_if(candidates_.begin(), candidates_.end(),
                                  [&](const auto& candidate) { return candidate.get() == &watch; });
  if (found != candidates_.end())
    adopt(*found);
}

// Makes a candidate the watch.
void Discovery::adopt(std::shared_ptr<DiscoveryWatch> candidate) {
  const auto replaced = std::exchange(watch_, std::move(candidate));
  std::erase(candidates_, watch_);
  if (replaced)
    replaced->close();
  watchSilent_ = false;
  if (fallback_ && watch_->address() == *fallback_)
    std::swap(*fallback_, address_);
  revisionAddress_ = address_;
  confirm();
}

void Discovery::confirm() {
  endSearch();
  confirmation_.confirm(clock_.nowMs());
  reportStatus();
  calls_ = 0;
  lastEnd_.reset();
}

// The end of a watch while another one is searched for already, as after a move, changes nothing
// about that search.
void Discovery::onEnded(const DiscoveryWatch& watch, WatchEnd end) {
  ++counters_["discovery.broken"];
  ++counters_[std::string("discovery.ended.") + nameOf(end)];
  const bool isWatch = &watch == watch_.get();
  if (isWatch) {
    watch_ = nullptr;
    watchSilent_ = false;
  } else {
    lastEnd_ = end;
    std::erase_if(candidates_, [&](const auto& candidate) { return candidate.get() == &watch; });
  }
  if (!isWatch || !callTimer_.armed())
    scheduleCallAfter(end);
  if (!watch_)
    doubt(fleet::ListDoubt::kWatchEnded, clock_.nowMs());
}

// Keeps the silent watch open and tries another in parallel. If discovery is down for all clients,
// a watch that is closed and reopened would lose its position in discovery's queue.
bool Discovery::onSilent(const DiscoveryWatch& watch) {
  if (&watch != watch_.get())
    return false;
  ++counters_["discovery.silent"];
  if (callTimer_.armed())
    return true;
  watchSilent_ = true;
  scheduleCall(backoff_.nextRetryDelayMs());
  doubt(fleet::ListDoubt::kWatchSilent, lastAliveMs_);
  return true;
}

// ---- Status

void Discovery::onStatus(std::function<void(const DiscoveryStatus&)> callback) {
  onStatus_ = std::move(callback);
}

DiscoveryStatus Discovery::status() const {
  return {.list = confirmation_,
          .address = address_,
          .nextCallMs = callTimer_.armed() ? std::optional(nextCallMs_) : std::nullopt,
          .calls = calls_,
          .waitingCalls = static_cast<int>(candidates_.size()),
          .lastEnd = lastEnd_};
}

// Until a list has come, the end of a call is no other reason than the lack of a list.
void Discovery::doubt(fleet::ListDoubt reason, double sinceMs) {
  const auto present = confirmation_.reason();
  const bool awaitsList =
      present == fleet::ListDoubt::kNotListed || present == fleet::ListDoubt::kMoved;
  if (!awaitsList || reason == fleet::ListDoubt::kMoved)
    confirmation_.doubt(reason, sinceMs);
  reportStatus();
}

void Discovery::reportStatus() const {
  if (onStatus_)
    onStatus_(status());
}

// ---- Endpoint lists

void Discovery::loadCached(const json& list) {
  apply(list, EndpointListForm::kCached);
}

DocumentKind Discovery::onDocument(std::string_view text) {
  const bool isBlank = text.find_first_not_of(" \r\t\n") == std::string_view::npos;
  try {
    if (!isBlank)
      apply(core::parseJson(text, kListLimits), std::nullopt);
    ages_.onContact();
    return isBlank ? DocumentKind::kKeepAlive : DocumentKind::kList;
  } catch (const json::exception&) {
  } catch (const std::invalid_argument&) {
  }
  ++counters_["discovery.malformed"];
  return DocumentKind::kMalformed;
}

// Parses the whole list before changing any state, so that a malformed list has no effect.
void Discovery::apply(const json& list, std::optional<EndpointListForm> form) {
  EndpointList parsed = parseEndpointList(list, names_, form);
  if (!confirmation_.confirmed() && form != EndpointListForm::kCached)
    parsed.update.outdatedSince = core::toModuleTime(confirmation_.sinceMs());
  setStartTimes(parsed.update, parsed.endpoints);
  directory_.update(parsed.endpoints, parsed.update.form != EndpointListForm::kChanges,
                    instancePool_);
  const std::uint64_t revision = parsed.update.version;
  lists_.list(std::move(parsed.update));
  revision_ = revision;
  ++counters_["discovery.lists"];
}

// An instance that is removed and listed again counts as new, whatever start time the list gives.
void Discovery::setStartTimes(
    routing::EndpointListUpdate& update,
    const std::map<routing::InstanceId, upstream::InstanceEndpoint>& endpoints) {
  for (const auto& [id, endpoint] : endpoints)
    ages_.observeStart(endpoint.startedMs);
  std::set<std::string> listed;
  for (routing::EndpointRecord& entry : update.entries) {
    const std::string& id = entry.instance.value;
    const auto started = ages_.startTime(id, endpoints.at(entry.instance).startedMs);
    if (started)
      entry.started = core::toModuleTime(*started);
    if (entry.state == routing::EndpointState::kRemoved)
      ages_.forget(id);
    listed.insert(id);
  }
  if (update.form != EndpointListForm::kChanges)
    ages_.keepOnly(listed);
}

}  // namespace inference_router::frontend
