#include "request_log.h"

#include <algorithm>
#include <array>

namespace inference_router::soak {

namespace {

constexpr double kGoneSlackMs =
    150;  // 100 ms are allowed, and the way and this machine's load count here
constexpr double kBudgetSlackMs = 150;
constexpr double kAnswerSlackMs = 600;  // after the request's time
constexpr double kPressureBudgetMs = 3'000;
constexpr double kDrainSlackMs = 50;
constexpr double kDrainMissedMs = 1'000;  // past the grace: more than a busy machine explains

const char* nameOf(Send send) {
  constexpr std::array kNames{"prefill", "decode", "reservation"};
  return kNames.at(static_cast<std::size_t>(send));
}

std::string number(double value) {
  return std::to_string(static_cast<long>(value));
}

}  // namespace

bool dependsOnSpeed(const std::string& rule) {
  constexpr std::array kRules{"lost", "gone", "deadline", "drain", "ready", "held"};
  return std::find(kRules.begin(), kRules.end(), rule) != kRules.end();
}

void RequestLog::addPressure(const std::string& request, int router, double atMs) {
  const auto [entry, isNew] = requests_.try_emplace(request);
  if (!isNew)
    return;
  ClientView& view = entry->second;
  view.sentMs = atMs;
  view.budgetMs = kPressureBudgetMs;
  view.router = router;
  view.pressure = true;
  view.undecided = true;
}

std::vector<Violation> RequestLog::findViolations(double drainGraceMs) const {
  std::vector<Violation> found = process_;
  for (const auto& [id, view] : requests_) {
    const auto add = [&found, &request = id, &router = view.router](const char* rule,
                                                                    const std::string& detail) {
      found.push_back({rule, request, detail + ", conductor " + std::to_string(router)});
    };
    const auto ran = std::count_if(
        view.arrivals.begin(), view.arrivals.end(),
        [](const Arrival& arrival) { return !arrival.rejected && arrival.send == Send::kDecode; });
    if (view.atMostOnce && ran > 1)
      add("duplicate", std::to_string(ran) + " attempts may have run");
    const bool refused = view.status == 429 || view.status == 503;
    if (view.atMostOnce && refused && ran > 0)
      add("refused", "refused after an attempt that may have run");
    const bool owed = !view.closedMs && !view.undecided;
    if (owed && view.brokenStream)
      add("broken", "the stream broke before its end");
    if (owed && !view.answeredMs)
      add(view.slowWriter ? "unanswered" : "lost", "no answer to a client that stayed");
    if (owed && view.answeredMs && view.status != 200 &&
        *view.answeredMs > view.sentMs + view.budgetMs + kAnswerSlackMs)
      add("lost",
          "answered " + number(*view.answeredMs - view.sentMs - view.budgetMs) + " ms late");
    for (const Arrival& arrival : view.arrivals) {
      const double lateMs =
          arrival.drainNotifiedMs ? arrival.atMs - *arrival.drainNotifiedMs - drainGraceMs : 0;
      if (lateMs > kDrainSlackMs && !view.pressure)
        add(lateMs > kDrainMissedMs ? "drain_missed" : "drain",
            std::string(nameOf(arrival.send)) + " sent to instance " +
                std::to_string(arrival.instance) + " " +
                number(arrival.atMs - *arrival.drainNotifiedMs) +
                " ms after its drain counted as told");
      if (arrival.send == Send::kReservation)
        continue;
      if (view.closedMs && arrival.atMs > *view.closedMs + kGoneSlackMs)
        add("gone", "begun " + number(arrival.atMs - *view.closedMs) +
                        " ms after the client left, " + number(*view.closedMs - view.sentMs) +
                        " ms after it had sent, at instance " + std::to_string(arrival.instance));
      const double leftMs = view.sentMs + view.budgetMs - arrival.atMs;
      if (!view.pressure && arrival.budgetMs > std::max(0.0, leftMs) + kBudgetSlackMs)
        add("deadline", "told " + number(arrival.budgetMs) + " of " + number(leftMs) + " ms");
    }
  }
  return found;
}

std::size_t RequestLog::undecided() const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [](const auto& entry) { return entry.second.undecided; }));
}

std::vector<double> RequestLog::latenciesMs() const {
  std::vector<double> latencies;
  for (const auto& [id, view] : requests_)
    if (!view.pressure && view.status == 200 && view.complete && view.answeredMs)
      latencies.push_back(*view.answeredMs - view.sentMs);
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

std::size_t RequestLog::ordinary() const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(), [](const auto& entry) {
        return !entry.second.pressure && !entry.second.undecided && !entry.second.closedMs;
      }));
}

std::size_t RequestLog::refused() const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(), [](const auto& entry) {
        return !entry.second.pressure && (entry.second.status == 429 || entry.second.status == 503);
      }));
}

std::size_t RequestLog::served() const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(),
      [](const auto& entry) { return entry.second.status == 200 && entry.second.complete; }));
}

}  // namespace inference_router::soak
