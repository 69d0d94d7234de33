#include "routing/graceful_shutdown.h"

#include <algorithm>
#include <compare>

#include "routing/duration_math.h"

namespace inference_router::routing {
namespace {

// Share of the grace period after which streams are migrated: by then a node that was restarted
// before this one is running again.
constexpr double kMigrationStart = 0.6;
// Share of the grace period at which all streams have been migrated.
constexpr double kMigrationEnd = 0.9;
// Share of the grace period after which requests that have no stream yet get their final answer.
constexpr double kFinalAnswers = 0.93;
// A request that arrives later is rejected at once where nobody can continue its stream: neither
// its client at another node nor a successor. What arrives within 0.7 s may be cut off when the
// process is killed.
constexpr Duration kAcceptArrivals = std::chrono::milliseconds(600);

// Ordered by the maximum length of the answer, then by the time of the first token.
struct Stream {
  double maxTokens;
  Time firstTokenAt;
  RequestId request;
  auto operator<=>(const Stream&) const = default;
};

}  // namespace

void GracefulShutdown::begin(Time now, Duration gracePeriod, bool successorTakesStreams) {
  if (!begunAt_)
    begunAt_ = now;
  gracePeriod_ = gracePeriod;
  successorTakesStreams_ = successorTakesStreams;
}

bool GracefulShutdown::rejectsArrivals(bool clientsResume, Time now) const {
  const bool streamsContinue = clientsResume || successorTakesStreams_;
  return begunAt_ && !streamsContinue && now - *begunAt_ > kAcceptArrivals;
}

GracefulShutdown::Step GracefulShutdown::next(const RequestMap& requests,
                                              bool mayMigrate,
                                              Time now) {
  const double elapsed = ratio(now - *begunAt_, gracePeriod_);
  Step step;
  std::vector<Stream> streams;
  for (const auto& [id, request] : requests) {
    if (request.phase < Phase::kStreaming && elapsed >= kFinalAnswers)
      step.toFinish.push_back(id);
    if (request.phase == Phase::kStreaming && !request.attempts.back().cancelled)
      streams.push_back({request.arrival.maxTokens, *request.firstTokenAt, id});
  }
  if (!mayMigrate || elapsed < kMigrationStart)
    return step;
  maxStreams_ = std::max(maxStreams_, streams.size());
  const double remainingShare =
      std::max(0.0, (kMigrationEnd - elapsed) / (kMigrationEnd - kMigrationStart));
  const auto remainingStreams =
      static_cast<std::size_t>(remainingShare * static_cast<double>(maxStreams_));
  std::sort(streams.rbegin(), streams.rend());
  for (std::size_t i = 0; i + remainingStreams < streams.size(); ++i)
    step.toMigrate.push_back(streams[i].request);
  return step;
}

}  // namespace inference_router::routing
