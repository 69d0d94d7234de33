#include "app/hot_restart.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace inference_router::app {

namespace {

// Between two looks at the shared folder: what an operator told the other process has to hold here
// well within the grace of a drain, which runs from that process's answer.
constexpr double kIntervalMs = 100;
// After this time without a word from discovery, the list of the configuration has to do.
constexpr double kListWaitMs = 2'000;
// The same for the ids of requests that may have run at another process.
constexpr double kExecutedRequestsWaitMs = 1'000;
// The same for stored exclusions that cannot be read; 10 s are allowed.
constexpr double kExclusionsWaitMs = 5'000;

}  // namespace

HotRestart::HotRestart(Context context, SharedFolder* folder, ExclusionStore& exclusions)
    : context_(std::move(context)),
      folder_(folder),
      exclusions_(exclusions),
      handover_(context_.server, context_.front, context_.listener),
      executedRequests_(context_.server.dispatcher, context_.server.clock, context_.server.timers),
      startedMs_(context_.server.clock.nowMs()) {
  if (folder_ == nullptr)
    return;
  openReceiver();
  if (!receiver_->isOpen())
    spdlog::warn("streams of another process cannot be taken over yet");
}

void HotRestart::openReceiver() {
  receiver_ = std::make_unique<net::DescriptorReceiver>(
      context_.server.io, folder_->folder(), folder_->receiverName(),
      [this](net::ReceivedMessage message) { receive(std::move(message)); });
}

void HotRestart::receive(net::ReceivedMessage message) {
  if (!executedRequests_.receive(message.bytes))
    handover_.receive(std::move(message));
}

void HotRestart::start() {
  if (folder_ != nullptr)
    synchronizeWithFolder();
  if (others_.running == 0 && exclusionsKnownOrOverdue())
    openListener();
  if (folder_ != nullptr)
    tick();
}

void HotRestart::tick() {
  synchronizeWithFolder();
  if (handsOver_)
    beginHandover();
  else if (!context_.listener.isOpen() && mayServe())
    openListener();
  timer_ = context_.server.timers.schedule(context_.server.clock.nowMs() + kIntervalMs,
                                           [this] { tick(); });
}

// Whatever failed before is tried again here. While the folder cannot be read, the processes that
// were seen last count as still there.
void HotRestart::synchronizeWithFolder() {
  const auto others = folder_->otherProcesses();
  logFolderState(others.has_value());
  if (others)
    shareLimits(*others);
  if (!receiver_->isOpen())
    openReceiver();
  if (others_.running > 0)
    executedRequests_.shareWith(folder_->folder(), others_.receiverName);
  exclusions_.synchronize();
  if (handsOver_)
    withdrawServing();
  else if (context_.listener.isOpen() && !announced_)
    announceServing();
}

void HotRestart::logFolderState(bool usable) {
  const bool failed = !usable;
  if (std::exchange(folderFailed_, failed) == failed)
    return;
  if (usable)
    spdlog::info("the shared folder can be used again");
  else
    spdlog::warn("the shared folder cannot be used now: exclusions hold in this process only");
}

double HotRestart::sinceStartMs() const {
  return context_.server.clock.nowMs() - startedMs_;
}

// A new process must not send to instances that operators excluded before, for as long as storage
// may take to come back.
bool HotRestart::exclusionsKnownOrOverdue() const {
  return exclusions_.known() || sinceStartMs() >= kExclusionsWaitMs;
}

// A client may leave another process and return to this one, which must not run its request a
// second time.
bool HotRestart::executedRequestsKnownOrOverdue() const {
  return others_.running == 0 || executedRequests_.wasTold() ||
         sinceStartMs() >= kExecutedRequestsWaitMs;
}

bool HotRestart::mayServe() const {
  if (!exclusionsKnownOrOverdue() || !executedRequestsKnownOrOverdue())
    return false;
  return context_.listConfirmed() || sinceStartMs() >= kListWaitMs;
}

void HotRestart::openListener() {
  context_.listener.open();
  if (folder_ != nullptr)
    announceServing();
}

void HotRestart::announceServing() {
  announced_ = folder_->announceServing();
  if (!announced_)
    ++context_.server.counters["folder.serving_unsaid"];
}

// A process that ends must not count as the successor of another one.
void HotRestart::withdrawServing() {
  if (announced_)
    announced_ = !folder_->withdrawServing();
}

// All processes of a router together keep within one's limits: each takes its part of the
// connections, and what an instance in slow start may be sent is shared among more nodes.
void HotRestart::shareLimits(const SharedFolder::OtherProcesses& others) {
  const bool countChanged = others.running != others_.running;
  others_ = others;
  if (!countChanged)
    return;
  spdlog::info("processes of this conductor beside this one: {}", others.running);
  const std::size_t processes = others.running + 1;
  context_.listener.setMaxConnections(context_.limits.clients() / processes);
  context_.server.pool.setMaxConnections(context_.limits.instances() / processes);
  limitMemory();
  routing::Settings settings = context_.setup.settings;
  settings.nodes += static_cast<int>(others.running);
  context_.server.dispatcher.reconfigure(settings);
}

void HotRestart::setMemory(std::size_t memoryMb) {
  context_.limits.memoryMb = memoryMb;
  limitMemory();
}

void HotRestart::limitMemory() {
  context_.server.dispatcher.memory().setLimit(context_.limits.requestMemoryBytes() /
                                               (others_.running + 1));
}

bool HotRestart::hasSuccessor() {
  if (folder_ == nullptr)
    return false;
  if (const auto others = folder_->otherProcesses())
    shareLimits(*others);
  return others_.serving > 0;
}

void HotRestart::handOver() {
  handsOver_ = true;
  withdrawServing();
  if (hasSuccessor())
    beginHandover();
}

// A successor may begin to serve, end, or be replaced while this process ends.
void HotRestart::beginHandover() {
  if (others_.serving == 0)
    return;
  executedRequests_.shareWith(folder_->folder(), others_.receiverName);
  handover_.begin(folder_->folder(), others_.receiverName);
}

}  // namespace inference_router::app
