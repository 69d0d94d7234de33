#include "app/operations.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "app/coordinator.h"

namespace inference_router::app {

using routing::EndpointListUpdate;

namespace {

// How often the shared folder is looked at: what an operator told the other process has to hold
// here well within the grace of a drain, which runs from that process's answer.
constexpr double kLookMs = 100;
// Without a word from discovery the list that the configuration carries has to do.
constexpr double kListWaitMs = 2'000;
constexpr double kExclusionsWaitMs =
    5'000;                           // for stored exclusions that cannot be read; 10 s are allowed
constexpr double kFollowMs = 500;    // between looks at the instances' lives
constexpr double kGoneMs = 600'000;  // that an instance is shown after it has left the list

}  // namespace

Operations::Operations(Parts parts, std::unique_ptr<SharedFolder> folder)
    : parts_(std::move(parts)),
      folder_(std::move(folder)),
      handover_(parts_.server, parts_.front, parts_.listener),
      startedMs_(parts_.server.clock.nowMs()) {
  if (!folder_)
    return;
  openReceiver();
  if (!receiver_->isOpen())
    spdlog::warn("streams of another process cannot be taken over yet");
}

void Operations::openReceiver() {
  receiver_ = std::make_unique<net::DescriptorReceiver>(
      parts_.server.io, folder_->folder(), folder_->receiver(),
      [this](net::ReceivedMessage passed) { handover_.take(std::move(passed)); });
}

Operations::~Operations() {
  parts_.server.timers.cancel(next_);
}

void Operations::start() {
  if (folder_)
    lookIntoFolder();
  if (others_.serving == 0 && exclusionsAreKnown())
    openDoor();
  if (folder_ || parts_.doors || !parts_.listener.isOpen())
    tick();
}

bool Operations::hasSuccessor() {
  if (!folder_)
    return false;
  if (const auto others = folder_->others())
    share(*others);
  return others_.serving > 0;
}

void Operations::handOver() {
  if (hasSuccessor())
    handover_.begin(folder_->folder(), others_.receiver);
}

void Operations::tick() {
  if (folder_)
    lookIntoFolder();
  if (!parts_.listener.isOpen() && mayServe())
    openDoor();
  if (parts_.doors)
    reconcileLifecycles();
  next_ = parts_.server.timers.add(parts_.server.clock.nowMs() + kLookMs, [this] { tick(); });
}

// All that may have failed before is tried again here. Who cannot be seen now counts as before.
void Operations::lookIntoFolder() {
  const auto others = folder_->others();
  if (std::exchange(folderFails_, !others.has_value()) != folderFails_) {
    if (others)
      spdlog::info("the shared folder can be used again");
    else
      spdlog::warn("the shared folder cannot be used now: exclusions hold in this process only");
  }
  if (others)
    share(*others);
  if (!receiver_->isOpen())
    openReceiver();
  readExclusions();
  if (unstored_)
    storeExclusions();
  if (parts_.listener.isOpen() && !saidServing_)
    sayServing();
}

// A fresh process must not send to what operators took out before, for a while that storage may
// take to come back.
bool Operations::exclusionsAreKnown() const {
  return !folder_ || exclusionsRead_ ||
         parts_.server.clock.nowMs() - startedMs_ >= kExclusionsWaitMs;
}

bool Operations::mayServe() const {
  if (!exclusionsAreKnown())
    return false;
  return parts_.spoken() || parts_.server.clock.nowMs() - startedMs_ >= kListWaitMs;
}

void Operations::openDoor() {
  parts_.listener.open();
  if (folder_)
    sayServing();
}

void Operations::sayServing() {
  saidServing_ = folder_->sayServing();
  if (!saidServing_)
    ++parts_.server.counters["folder.serving_unsaid"];
}

// Two processes of one router keep within one's limits: each takes its part of the connections,
// and what a cold instance may be sent is shared among one node more.
void Operations::share(SharedFolder::Others others) {
  if (others == others_)
    return;
  if (others.alive != others_.alive) {
    spdlog::info("processes of this conductor beside this one: {}", others.alive);
    const std::size_t parts = others.alive + 1;
    parts_.listener.capAt(parts_.limits.clients() / parts);
    parts_.server.pool.capAt(parts_.limits.instances() / parts);
    routing::Settings settings = parts_.setup.settings;
    settings.nodes += static_cast<int>(others.alive);
    parts_.server.dispatcher.reconfigure(settings);
  }
  others_ = others;
}

void Operations::tell(const std::optional<EndpointListUpdate>& news) {
  if (!news)
    return;
  for (const routing::EndpointRecord& entry : news->entries) {
    const bool out = parts_.server.membership.excluded(entry.instance);
    spdlog::info("instance {} is {}", entry.instance.value, out ? "excluded" : "included");
    // It may have been started anew: what led to it would only end as resets.
    const upstream::InstanceEndpoint* instance = parts_.server.directory.find(entry.instance);
    if (!out && instance != nullptr)
      parts_.server.pool.dropIdle(instance->address);
  }
  parts_.server.dispatcher.list(*news);
}

void Operations::readExclusions() {
  const SharedFolder::Read read = folder_->readExclusions();
  switch (read.status) {
    case SharedFolder::ReadStatus::kUnreadable:
      exclusionsRead_ = false;
      ++parts_.server.counters["marks.unreadable"];
      return;
    case SharedFolder::ReadStatus::kFresh:
      exclusionsRead_ = true;
      return merge(read.text);
    case SharedFolder::ReadStatus::kAbsent:
      if (parts_.server.membership.exclusions().size() > 0)
        unstored_ = true;
      exclusionsRead_ = true;
      return;
    case SharedFolder::ReadStatus::kUnchanged:
      exclusionsRead_ = true;
      return;
  }
}

// A text that makes no sense changes nothing here and is replaced by what holds here.
void Operations::merge(const std::string& text) {
  auto exclusions = fleet::Exclusions::parse(text);
  if (exclusions) {
    exclusions->boundTimes(parts_.server.clock.nowMs());
    tell(parts_.server.membership.merge(*exclusions));
  } else {
    spdlog::error("the shared file of exclusions makes no sense; it is ignored");
    ++parts_.server.counters["marks.damaged"];
  }
  // Written by both at once, one's news may be missing from it.
  unstored_ = !exclusions || !(parts_.server.membership.exclusions() == *exclusions);
}

// Not over a file that could not be read: what it holds would be lost.
bool Operations::storeExclusions() {
  if (!folder_)
    return true;
  const bool failedBefore = unstored_;
  unstored_ = !exclusionsRead_ ||
              !folder_->writeExclusions(parts_.server.membership.exclusions().serialize());
  if (!unstored_)
    return true;
  if (!failedBefore)
    spdlog::error("exclusions cannot be stored now; they hold here and are stored later");
  ++parts_.server.counters["marks.unwritten"];
  return false;
}

control::Service::Done Operations::ready() {
  if (parts_.listener.evacuated())
    return {false, "evacuated"};
  if (!parts_.listener.isOpen() || !mayServe())
    return {false, "not yet"};
  return {true, "ready"};
}

control::Service::Done Operations::setExcluded(const std::string& id, bool out) {
  if (folder_)
    readExclusions();  // what the other process was told comes before this
  const double now = parts_.server.clock.nowMs();
  fleet::Membership& members = parts_.server.membership;
  const auto change = out ? members.exclude(id, now) : members.include(id, now);
  if (change.result == fleet::Membership::Result::kUnknownInstance)
    return {false, "no instance has this id"};
  if (change.result == fleet::Membership::Result::kFull)
    return {false, "too many instances are marked"};
  const bool stored = storeExclusions();
  tell(change.update);
  const std::string done = id + (out ? " is excluded" : " is included");
  if (!stored)
    return {false, done + " in this process only, until the shared folder can be written"};
  return {true, done};
}

control::Service::Done Operations::exclude(const std::string& id) {
  return setExcluded(id, true);
}
control::Service::Done Operations::include(const std::string& id) {
  return setExcluded(id, false);
}

control::Service::Done Operations::evacuate() {
  if (!parts_.listener.evacuated())
    spdlog::info("evacuating: clients are sent away");
  parts_.listener.evacuate();
  if (coordinator_ != nullptr)
    coordinator_->resign();
  return {true, "evacuating, " + std::to_string(open()) + " requests open"};
}

control::Service::Done Operations::activate() {
  if (parts_.listener.evacuated())
    spdlog::info("active again");
  parts_.listener.activate();
  if (coordinator_ != nullptr)
    coordinator_->again();
  return {true, "active"};
}

std::string Operations::leases(bool json) {
  return coordinator_ == nullptr ? "" : coordinator_->leases(json);
}

std::string Operations::shared(bool json) {
  return sharedState_ == nullptr ? "" : sharedState_->report(json);
}

std::string Operations::plan() {
  return coordinator_ == nullptr ? "" : coordinator_->plan();
}

void Operations::maintenance(const std::vector<std::string>& words,
                             std::function<void(Done)> reply) {
  if (coordinator_ == nullptr)
    return control::Service::maintenance(words, std::move(reply));
  coordinator_->maintenance(words, std::move(reply));
}

// What is listed now, and how each instance has got there.
void Operations::reconcileLifecycles() {
  const double now = parts_.server.clock.nowMs();
  if (now - reconciledMs_ < kFollowMs)
    return;
  reconciledMs_ = now;
  const auto& members = parts_.server.membership;
  const double coldMs = core::toMs(parts_.setup.settings.contract.warmupDuration);
  for (const auto& [id, entry] : members.listed()) {
    const routing::EndpointRecord effective = members.effectiveOf(id).value_or(entry);
    fleet::InstanceFacts facts;
    facts.listed = true;
    facts.warm = !effective.started || now - core::toMs(*effective.started) >= coldMs;
    if (members.excluded(id))
      facts.drainedBy = "operator";
    else if (members.drained().count(id.value) != 0)
      facts.drainedBy = "maintenance";
    else if (entry.state != routing::EndpointState::kActive)
      facts.drainedBy = "list";
    facts.ejected = parts_.server.dispatcher.avoids(id);
    if (const upstream::InstanceEndpoint* instance = parts_.server.directory.find(id))
      facts.reachable = instance->failedMs <= instance->heardMs;
    facts.open = parts_.server.dispatcher.openAt(id);
    const auto lifecycle = lifecycles_.try_emplace(id, !facts.warm, now).first;
    fleet::reconcile(lifecycle->second, facts, now);
  }
  for (auto& [id, lifecycle] : lifecycles_)
    if (members.listed().count(id) == 0)
      fleet::reconcile(lifecycle, {}, now);
  std::erase_if(lifecycles_, [now](const auto& entry) {
    return entry.second.state() == fleet::LifecycleState::kGone &&
           now - entry.second.sinceMs() > kGoneMs;
  });
}

std::string Operations::instances() {
  reconciledMs_ = 0;
  reconcileLifecycles();
  const double now = parts_.server.clock.nowMs();
  std::string text;
  for (const auto& [id, lifecycle] : lifecycles_)
    text += "box " + id.value + " " + fleet::nameOf(lifecycle.state()) +
            " for_s=" + std::to_string(static_cast<long>((now - lifecycle.sinceMs()) / 1000)) +
            " open=" + std::to_string(parts_.server.dispatcher.openAt(id)) +
            " revision=" + std::to_string(lifecycle.revision()) +
            " by=" + (lifecycle.by().empty() ? "-" : lifecycle.by()) + " why=\"" +
            lifecycle.reason() + "\"\n";
  return text;
}

control::Service::Pool Operations::pool() {
  Pool pool{parts_.server.membership.listed().size(), 0};
  for (const auto& [id, entry] : parts_.server.membership.listed())
    if (parts_.server.membership.excluded(id) || parts_.server.dispatcher.avoids(id))
      ++pool.avoided;
  return pool;
}

}  // namespace inference_router::app
