#include "routing/request_record.h"

#include <algorithm>

namespace inference_router::routing {

const AttemptRecord* RequestRecord::possiblyExecutedAttempt() const {
  const auto found = std::find_if(
      attempts.begin(), attempts.end(),
      [](const AttemptRecord& attempt) { return attempt.decodes && !attempt.provedNotExecuted; });
  return found == attempts.end() ? nullptr : &*found;
}

AttemptRecord* RequestRecord::attempt(int number) {
  const auto index = static_cast<std::size_t>(number);
  return number < 0 || index >= attempts.size() ? nullptr : &attempts[index];
}

bool RequestRecord::refersTo(const Instance& instance) const {
  if (reservation == &instance || prefillInstance == &instance || affinityInstance == &instance ||
      reservedOn == &instance)
    return true;
  return std::any_of(attempts.begin(), attempts.end(), [&instance](const AttemptRecord& attempt) {
    return attempt.instance == &instance;
  });
}

const std::string& affinityKey(const RequestRecord& request) {
  const Arrival& arrival = request.arrival;
  if (!arrival.prefix.empty())
    return arrival.prefix;
  return arrival.session.empty() ? arrival.request.value : arrival.session;
}

}  // namespace inference_router::routing
