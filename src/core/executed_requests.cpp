#include "core/executed_requests.h"

#include <algorithm>

namespace inference_router::core {

using routing::RequestId;

namespace {

constexpr std::size_t kEntryBytes = 192;  // of both containers, without the text of the id

std::size_t bytesOf(const RequestId& id) {
  return kEntryBytes + 2 * id.value.size();
}

}  // namespace

void ExecutedRequests::add(const RequestId& id, double nowMs) {
  forgetOlderThan(nowMs - kRetentionMs);
  if (order_.size() >= kMaxRequests)
    forgetFirst();
  ++added_;
  addedMs_[id] = nowMs;
  order_.push_back({id, nowMs});
  memory_.resize(memory_.bytes() + bytesOf(id));
}

bool ExecutedRequests::contains(const RequestId& id, double nowMs) {
  forgetOlderThan(nowMs - kRetentionMs);
  return addedMs_.count(id) != 0;
}

ExecutedRequests::Added ExecutedRequests::addedSince(std::uint64_t number,
                                                     std::size_t maxCount) const {
  const std::uint64_t forgotten = added_ - order_.size();
  const std::uint64_t first = std::max(number, forgotten);
  Added found{.ids = {}, .next = std::min<std::uint64_t>(added_, first + maxCount)};
  for (std::uint64_t i = first; i < found.next; ++i)
    found.ids.push_back(order_[i - forgotten].id);
  return found;
}

void ExecutedRequests::forgetOlderThan(double ms) {
  while (!order_.empty() && order_.front().addedMs < ms)
    forgetFirst();
}

// An id that was added again later stays.
void ExecutedRequests::forgetFirst() {
  const Entry& first = order_.front();
  memory_.resize(memory_.bytes() - bytesOf(first.id));
  const auto found = addedMs_.find(first.id);
  if (found != addedMs_.end() && found->second <= first.addedMs)
    addedMs_.erase(found);
  order_.pop_front();
}

}  // namespace inference_router::core
