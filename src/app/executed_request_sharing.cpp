#include "app/executed_request_sharing.h"

#include <utility>

namespace inference_router::app {

using routing::RequestId;

namespace {

// A client that leaves one process reaches the other no sooner.
constexpr double kIntervalMs = 10;
constexpr std::size_t kMaxIdsPerMessage = 1'000;
// The first line; the others hold an id each, which is a plain word.
constexpr std::string_view kFirstLine = "executed requests\n";

}  // namespace

void ExecutedRequestSharing::shareWith(const std::string& folder, const std::string& receiverName) {
  if (receiver_ && receiver_->isOpen() && receiverName == receiverName_)
    return;
  receiver_ = std::make_unique<net::DescriptorSender>(folder, receiverName);
  receiverName_ = receiverName;
  executing_.clear();
  endedTold_ = 0;
  tick();
  send({});  // ends the ids that were known
}

void ExecutedRequestSharing::tick() {
  receiver_->takeAcknowledged();
  if (!receiver_->isOpen())
    return;
  while (tellEnded()) {
  }
  tellExecuting();
  timer_ = timers_.schedule(clock_.nowMs() + kIntervalMs, [this] { tick(); });
}

// Returns whether there may be more. What the receiver does not take now is told later.
bool ExecutedRequestSharing::tellEnded() {
  const auto [ids, next] = dispatcher_.executedRequests().addedSince(endedTold_, kMaxIdsPerMessage);
  if (ids.empty() || !send(ids))
    return false;
  endedTold_ = next;
  return true;
}

// A request is told while it is under way, as its client may leave and return between two ticks.
void ExecutedRequestSharing::tellExecuting() {
  std::set<RequestId> told;
  std::vector<RequestId> untold;
  for (RequestId& id : dispatcher_.executingRequests()) {
    if (executing_.count(id) != 0)
      told.insert(std::move(id));
    else if (untold.size() < kMaxIdsPerMessage)
      untold.push_back(std::move(id));
  }
  if (!untold.empty() && send(untold))
    told.insert(untold.begin(), untold.end());
  executing_ = std::move(told);
}

bool ExecutedRequestSharing::send(const std::vector<RequestId>& ids) {
  std::string message(kFirstLine);
  for (const RequestId& id : ids)
    message += id.value + "\n";
  return receiver_->send(message, {}) == net::DescriptorSender::Result::kSent;
}

// What the other process told is not told back again, as it is known here then.
bool ExecutedRequestSharing::receive(const std::string& message) {
  if (message.rfind(kFirstLine, 0) != 0)
    return false;
  wasTold_ = true;
  const double now = clock_.nowMs();
  std::size_t begin = kFirstLine.size();
  for (std::size_t end = message.find('\n', begin); end != std::string::npos;
       end = message.find('\n', begin)) {
    const RequestId id{message.substr(begin, end - begin)};
    begin = end + 1;
    if (!dispatcher_.executedRequests().contains(id, now))
      dispatcher_.executedRequests().add(id, now);
  }
  return true;
}

}  // namespace inference_router::app
