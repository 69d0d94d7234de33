#include "core/request_table.h"

#include <utility>

namespace inference_router::core {

using routing::InstanceId;
using routing::RequestId;

RequestKey RequestTable::add(RequestState request) {
  const RequestId id = request.id;
  const RequestKey key = requests_.add(std::move(request));
  keys_[id] = key;
  return key;
}

std::optional<RequestKey> RequestTable::keyOf(const RequestId& id) const {
  const auto found = keys_.find(id);
  return found == keys_.end() ? std::nullopt : std::optional(found->second);
}

RequestState* RequestTable::find(const RequestId& id) {
  const auto key = keyOf(id);
  return key ? requests_.find(*key) : nullptr;
}

const RequestState* RequestTable::find(const RequestId& id) const {
  const auto key = keyOf(id);
  return key ? requests_.find(*key) : nullptr;
}

void RequestTable::remove(RequestKey key) {
  const RequestState* request = requests_.find(key);
  if (request == nullptr)
    return;
  keys_.erase(request->id);
  requests_.remove(key);
}

std::vector<RequestKey> RequestTable::keys() const {
  std::vector<RequestKey> found;
  for (const auto& [id, key] : keys_)
    found.push_back(key);
  return found;
}

AttemptKey RequestTable::addAttempt(AttemptState attempt) {
  RequestState& request = *requests_.find(attempt.request);
  ++inFlightAt_[attempt.instance];
  ++request.attemptsInFlight;
  const AttemptKey key = attempts_.add(std::move(attempt));
  request.attempts.push_back(key);
  return key;
}

void RequestTable::removeAttempt(AttemptKey key) {
  const AttemptState* attempt = attempts_.find(key);
  if (attempt == nullptr)
    return;
  const auto inFlight = inFlightAt_.find(attempt->instance);
  if (inFlight != inFlightAt_.end() && --inFlight->second == 0)
    inFlightAt_.erase(inFlight);
  --requests_.find(attempt->request)->attemptsInFlight;
  attempts_.remove(key);
}

std::size_t RequestTable::attemptsInFlightAt(const InstanceId& instance) const {
  const auto found = inFlightAt_.find(instance);
  return found == inFlightAt_.end() ? 0 : found->second;
}

}  // namespace inference_router::core
