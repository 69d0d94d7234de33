// Every decision of the router. A request moves waiting -> reading -> read -> writing -> streaming
// -> over. Every send passes sendTo(), every ending finish(): the five rules are enforced in one of
// the two.
#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

#include "inference_router/router.h"
#include "routing/decaying_sum.h"
#include "routing/duration_math.h"
#include "routing/fading_average.h"
#include "routing/key_popularity.h"
#include "routing/request_record.h"
#include "routing/slow_start_budget.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

using std::chrono::seconds;

// ---- 1 Knobs
// -------------------------------------------------------------------------------------

constexpr std::chrono::milliseconds kPulse{
    10};  // how often waiting work is looked at; short beside any aim
constexpr double kEjectAt = 0.35,
                 kEjectTimes = 3;      // failures to be passed over; times the best peer's
constexpr int kGoodTrials = 3;         // in a row before an instance that failed some is trusted
constexpr int kNewIsGood = 3;          // successes that a new instance is believed to have had
constexpr int kOvertaken = 3;          // later sends answered well ahead of one that was swallowed
constexpr double kOvertakenTimes = 2;  // what the later one took, for its size
constexpr seconds kFirstPause{1},
    kLongestPause{8};  // of an ejection; doubles with each trial that fails
constexpr double kSilentFor = 5,
                 kSilentAims = 0.5;  // usual answer times and least aims without any sign
constexpr double kPriorStreams = 3;  // own answers that count as much as an even spread does
constexpr double kReadBound =
    1.5;  // times the whole prompt's own reading that reads may wait at home
constexpr double kLeastRead = 0.5,
                 kMostRead = 1.25;     // of their even share that a cell's prefill instances get
constexpr double kFullMemory = 0.95;   // share of a decode instance's memory that counts as full
constexpr double kOutputShare = 0.25;  // of the most an answer may have, expected in memory
constexpr double kRoomToRead =
    0.45;  // and share below which a decode instance may read prompts as well,
constexpr int kWriterReads = 2;  // which takes it so many times as long as a prefill instance,
constexpr double kLongRead =
    0.6;  // where a prefill instance would take so much of the time to the aim,
constexpr double kWriterSpare = 0.15,
                 kFewNodes = 3;   // of all decode instances' time, unless nodes are so few;
constexpr seconds kJamMemory{6};  // over which reads show a jam: longer than any waits in one,
constexpr double kKnownReads =
    3;  // of each prefill instance in that time let a node know them apart; with fewer
constexpr double kJamTimes = 1.3;   // times those read in time are tried
constexpr double kFullAims = 0.15;  // of the shortest aim that a refusal is believed
constexpr int kPlaceTries = 3;      // places asked for one request; a note takes little of a read
constexpr double kSpareShare =
    0.6;  // of the time left that an attempt may take while a next is possible
constexpr double kRetryShare = 0.3,
                 kRetryBurst = 30;   // further attempts: an arrival; at once after calm
constexpr int kSlowStartOffers = 3;  // of a step to instances in slow start, by a node that draws
constexpr double kUnlistedWeight =
    8;  // of a role, missing for all that a new node knows if none there is warm
constexpr double kHoldShare =
    0.6;                     // of the release limit that a KV cache may wait for a decode instance
constexpr seconds kFade{1};  // in which an estimate that nothing refreshes loses half its say,
constexpr double kFadeArrivals =
    4;  // or so many arrivals, where a node sees few, but no longer than
constexpr seconds kLongestFade{3};  // this, as a jam passes whether or not it is looked at
constexpr seconds kFlowMemory{20};  // over which a node's own few requests show where work goes
constexpr double kKeyPart = 0.5;  // of a prefill instance's share of traffic that one key may fill
constexpr double kRateKept = 0.98;  // of the fastest reading seen, with each read that is slower
constexpr double kAdvice = 0.1;     // of the longest wait that clients heed, advised with a refusal
constexpr double kTiny = 1e-9;      // keeps divisions by nothing apart from nothing
constexpr seconds kAskPause{1};     // between tries to reach the list
constexpr double kHandOverFrom =
    0.6;  // share of the grace of a node that ends: its streams move from here,
constexpr double kHandOverTo = 0.9;  // when a peer that ended before it is back, until here
constexpr double kLastCall = 0.93;   // what has no stream by then gets its answer

std::size_t roleIndex(Role role) {
  return static_cast<std::size_t>(role);
}

// What a cell has of the fleet, by the list alone, so that every node reckons the same.
struct CellPlan {
  double prefillWeight = 0, decodeWeight = 0;
  double prefillShare = 0, decodeShare = 0;  // of all prefills and of all decodes that it is to do
};

// Of the instances that do a step: when all of the fleet is there, listed now, and of these in slow
// start.
struct RoleWeights {
  double whole = 0, listed = 0, cold = 0;
};

}  // namespace

struct Instance {
  EndpointRecord endpoint;
  Role role = Role::kPrefill;
  std::optional<Time> drainingSince;  // when the list said it drains or is gone
  double prefillTokens = 0;           // own prompt tokens out to be read here
  int streams = 0;                    // own sends, places and streams that write here
  double reservedTokens = 0;          // own tokens expected in its memory
  int unansweredAttempts = 0;         // own attempts that have shown no sign yet
  Time silentSince{};                 // last sign while attempts were out
  Duration queueingDelay{};           // before a read there begins, as seen last
  Time queueingDelayAt{};
  FadingAverage failureRate;
  bool ejected = false;
  Time ejectedAt{};
  int trialsLeft = 0;  // to go well before it is trusted again
  Duration ejectionBackoff = kFirstPause;
  Time nextTrialAt{},
      fullUntil{};  // when an ejected instance may be tried; no room is expected until
  SlowStartBudget slowStart;
};

class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(settings), problem_(problemWith(settings)), salt_(std::to_string(seed)) {}

  void reconfigure(const Settings& settings) {
    settings_ = settings;
    problem_ = problemWith(settings);
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    if (!started_)
      start();
    std::visit([this](const auto& what) { on(what); }, event);
    if (shutdownAt_)
      migrateStreams();  // first: what is owed its answer gets no attempt in the same moment
    processQueue();
    armTimer();
  }

  bool avoids(Time now, const InstanceId& id) {
    now_ = now;
    const auto it = instances_.find(id);
    return it != instances_.end() && isListed(it->second) &&
           (it->second.ejected || isSilent(it->second));
  }

 private:
  // ---- 2 Fleet view
  // --------------------------------------------------------------------------------

  const ClassSettings& classOf(const RequestRecord& request) const {
    return settings_.classes[request.arrival.cls.value];
  }

  bool isListed(const Instance& instance) const { return !instance.drainingSince; }

  // A silent instance is passed over while it stays silent: a hang, a one-way link or a jam look
  // alike.
  bool isSilent(const Instance& instance) const {
    if (instance.unansweredAttempts == 0)
      return false;
    const auto work = static_cast<double>(prefillTime(instance.prefillTokens).count());
    const double expected =
        std::max(responseTime_[roleIndex(instance.role)].mean(), work) * kSilentFor;
    const Duration limit =
        std::max(microseconds(expected), scaled(shortestObjective(), kSilentAims));
    return now_ - instance.silentSince > limit;
  }

  bool isUsable(const Instance& instance) const {
    const bool trial =
        now_ >= instance.nextTrialAt && instance.unansweredAttempts == 0;  // a single one at a time
    return isListed(instance) && !isSilent(instance) && (!instance.ejected || trial);
  }

  double memoryOf(const Instance& instance) const {
    return settings_.kinds[instance.endpoint.kind.value].memoryTokens;
  }

  bool isEligible(const RequestRecord& request, const Instance& instance) const {
    return isUsable(instance) && request.excludedInstances.count(instance.endpoint.instance) == 0 &&
           request.arrival.promptTokens <= memoryOf(instance);
  }

  double warmth(const Instance& instance) const {
    return warmFraction(settings_.contract, instance.endpoint.started, now_);
  }

  // A node that has just started has seen its present list alone: it takes what is missing there
  // for large.
  RoleWeights weightsFor(Role step) const {
    RoleWeights weights{std::max(maxWarmWeight_[roleIndex(step)], kTiny) +
                        maxWarmWeight_[roleIndex(Role::kMixed)]};
    for (const auto& [id, instance] : instances_) {
      if (!isListed(instance) || (instance.role != step && instance.role != Role::kMixed))
        continue;
      weights.listed += instance.endpoint.weight;
      if (warmth(instance) < 1)
        weights.cold += instance.endpoint.weight;
    }
    weights.whole = std::max(weights.whole, weights.cold);
    if (!recentlyStarted())
      return weights;
    const double other = *std::max_element(weight_.begin(), weight_.end());
    weights.whole =
        std::max(weights.whole, other) + (weights.cold < weights.listed ? 0 : kUnlistedWeight);
    return weights;
  }

  bool recentlyStarted() const { return now_ - startedAt_ < settings_.contract.warmupDuration; }

  // Guards rule four. Offered: the weight of the instances that share this request, and this one's
  // part of it.
  bool slowStartAllows(RequestRecord& request,
                       Instance& instance,
                       const RoleWeights& weights,
                       double offered,
                       double part) {
    if (warmth(instance) >= 1)
      return true;
    const Duration seen = std::max(now_ - startedAt_, settings_.contract.overloadWindow);
    const double demand =
        (recentlyStarted() ? popularity_.arrivals(now_)
                           : dispatches_[roleIndex(instance.role)].at(now_, kFlowMemory)) /
        -std::expm1(-ratio(seen, kFlowMemory));
    const double usual = demand * ratio(settings_.contract.overloadWindow, kFlowMemory) *
                         instance.endpoint.weight / weights.whole;
    const Time since = request.slowStartOfferedAt.try_emplace(request.phase, now_).first->second;
    return instance.slowStart.admits(settings_, instance.endpoint.started,
                                     {usual, offered / weights.whole, part, since}, now_);
  }

  void countSend(Instance& instance) {
    instance.slowStart.countSend(settings_.contract, now_);
    dispatches_[roleIndex(instance.role)].add(1, now_, kFlowMemory);
  }

  void eject(Instance& instance, const char* why, int trials) {
    if (!instance.ejected)
      log("passing over " + instance.endpoint.instance.value + ": " + why);
    std::tie(instance.ejected, instance.ejectedAt, instance.trialsLeft) =
        std::tuple(true, now_, trials);
    std::tie(instance.nextTrialAt, instance.ejectionBackoff) =
        std::pair(now_ + instance.ejectionBackoff,
                  std::min<Duration>(instance.ejectionBackoff * 2, kLongestPause));
  }

  void reinstate(Instance& instance) {
    std::tie(instance.ejected, instance.ejectionBackoff, instance.failureRate) =
        std::tuple(false, kFirstPause, FadingAverage());
  }

  // What fails or swallows some may do one trial well: it takes several, and what was sent before
  // is none.
  void recordSuccess(Instance& instance, Time sentAt) {
    instance.failureRate.add(0);
    if (!instance.ejected || (instance.trialsLeft > 1 && sentAt < instance.ejectedAt))
      return;
    instance.nextTrialAt = now_;
    if (--instance.trialsLeft > 0)
      return;
    reinstate(instance);
    log("using " + instance.endpoint.instance.value + " again");
  }

  // By the best in use: where all fail alike, leaving one out gains nothing.
  double allowedFailureRate(const Instance& instance) const {
    double best = 1;
    for (const auto& [id, other] : instances_)
      if (&other != &instance && other.role == instance.role && isListed(other) && !other.ejected)
        best = std::min(best, other.failureRate.mean());
    return std::max(kEjectAt, best * kEjectTimes);
  }

  // Fast failures make an instance look idle. Dials that were out as it was left out are no trials
  // that failed.
  void recordFailure(Instance& instance, Time sentAt, const char* why, bool certain) {
    instance.failureRate.add(1);
    if (instance.ejected && certain && sentAt < instance.ejectedAt)
      return;
    if (instance.ejected || certain || instance.failureRate.mean() > allowedFailureRate(instance))
      eject(instance, why, certain ? 1 : kGoodTrials);
  }

  // ---- 3 Reader choice
  // -----------------------------------------------------------------------------

  double uncachedTokens(const RequestRecord& request, const Instance& instance) const {
    return request.arrival.promptTokens *
           (1 - cacheHitRate_[request.affinityInstance == &instance ? 1 : 0].mean());
  }

  // By the fastest reads of late: what is slower than that waited, or is at an instance that is
  // slow.
  Duration prefillTime(double tokens) const {
    return prefillThroughput_ > 0 ? microseconds(tokens / prefillThroughput_) : Duration::zero();
  }

  Duration halfLife() const {
    const double seen = std::max(popularity_.arrivals(now_), kTiny);
    return std::clamp<Duration>(scaled(kFlowMemory, std::min(1.0, kFadeArrivals / seen)), kFade,
                                kLongestFade);
  }

  // What a read showed last loses its say with its age; own work is known.
  Duration queueingDelay(const Instance& instance) const {
    return std::max(
        prefillTime(instance.prefillTokens / warmth(instance)),
        scaled(instance.queueingDelay, decay(now_, instance.queueingDelayAt, halfLife())));
  }

  void recordQueueingDelay(Instance& instance, Duration wait) {
    std::tie(instance.queueingDelay, instance.queueingDelayAt) = std::pair(wait, now_);
  }

  Duration timeToPrefill(const RequestRecord& request, const Instance& instance) const {
    return queueingDelay(instance) + prefillTime(uncachedTokens(request, instance));
  }

  const std::string& affinityKey(const RequestRecord& request) const {
    if (!request.arrival.prefix.empty())
      return request.arrival.prefix;
    return request.arrival.session.empty() ? request.arrival.request.value
                                           : request.arrival.session;
  }

  // A cell reads what its decode instances can write, within bounds of its prefill instances; the
  // rest crosses the link by plan.
  void planCells() {
    cells_.clear();
    weight_ = count_ = {};
    std::array<double, 3> warm{};
    for (const auto& [id, instance] : instances_) {
      if (!isListed(instance))
        continue;
      weight_[roleIndex(instance.role)] += instance.endpoint.weight;
      warm[roleIndex(instance.role)] += instance.endpoint.weight * warmth(instance);
      count_[roleIndex(instance.role)] += 1;
      CellPlan& cell = cells_[instance.endpoint.cell];
      if (instance.role == Role::kPrefill)
        cell.prefillWeight += instance.endpoint.weight;
      if (instance.role == Role::kDecode)
        cell.decodeWeight += instance.endpoint.weight;
    }
    for (std::size_t i = 0; i < weight_.size(); ++i)
      maxWarmWeight_[i] = std::max(maxWarmWeight_[i], warm[i]);
    double sum = 0;
    for (auto& [index, c] : cells_) {
      const double even = c.prefillWeight / std::max(weight_[roleIndex(Role::kPrefill)], kTiny);
      c.decodeShare = c.decodeWeight / std::max(weight_[roleIndex(Role::kDecode)], kTiny);
      c.prefillShare = std::clamp(c.decodeShare, even * kLeastRead, even * kMostRead);
      sum += c.prefillShare;
    }
    for (auto& [index, c] : cells_)
      c.prefillShare /= std::max(sum, kTiny);
  }

  // Readers share the work of the decode instances; a mixed instance takes the share that it writes
  // as well.
  double hashWeight(const Instance& instance) const {
    const double writers = weight_[roleIndex(Role::kDecode)];
    if (instance.role == Role::kMixed || writers <= 0)
      return std::max(kTiny, instance.endpoint.weight);
    const CellPlan& cell = cells_.at(instance.endpoint.cell);
    return std::max(kTiny, writers * cell.prefillShare * instance.endpoint.weight /
                               std::max(kTiny, cell.prefillWeight));
  }

  // Weighted rendezvous hashing, the same at every node.
  void rankByRendezvousHash(std::vector<Instance*>& instances,
                            std::size_t first,
                            const std::string& key) const {
    std::multimap<double, Instance*> scored;
    for (std::size_t i = 0; i < first; ++i)
      scored.emplace(-std::log(stableDraw(key, instances[i]->endpoint.instance.value)) /
                         hashWeight(*instances[i]),
                     instances[i]);
    std::transform(scored.begin(), scored.end(), instances.begin(),
                   [](const auto& other) { return other.second; });
  }

  // The key's order. A popular key, by this node's sample, has as many homes as carry it together;
  // a session picks one of them, the same at every node, and so keeps its text.
  std::vector<Instance*> prefillInstancesInOrder(const RequestRecord& request) {
    std::vector<Instance*> order;
    double all = 0, carried = 0;
    for (auto& [id, instance] : instances_) {
      if (instance.role == Role::kDecode || !isListed(instance))
        continue;
      order.push_back(&instance);
      all += hashWeight(instance);
    }
    rankByRendezvousHash(order, order.size(), affinityKey(request));
    if (request.arrival.session.empty())
      return order;
    const double wanted = popularity_.shareOfOthers(affinityKey(request), now_);
    std::size_t homes = 0;
    while (homes < order.size() && carried * kKeyPart < wanted * all)
      carried += hashWeight(*order[homes++]);
    rankByRendezvousHash(order, homes, request.arrival.session);
    return order;
  }

  // The first in the key's order whose reads wait within the bound, or an earlier one that would be
  // done sooner, as it keeps the text: a jam must not feed itself by moving keys.
  Instance* choosePrefillInstance(RequestRecord& request) {
    const Duration bound = scaled(prefillTime(request.arrival.promptTokens), kReadBound);
    const std::vector<Instance*> order = prefillInstancesInOrder(request);
    if (!order.empty())
      request.affinityInstance = order.front();
    const RoleWeights weights = weightsFor(Role::kPrefill);
    Instance* best = nullptr;
    int offers = 0;
    for (Instance* instance : order) {
      if (!isEligible(request, *instance) || now_ < instance->fullUntil)
        continue;
      if (instance->role == Role::kMixed && isFull(*instance))
        continue;
      if (warmth(*instance) < 1)
        ++offers;
      const double offered = instance == request.affinityInstance ? weights.listed : weights.cold;
      if (!slowStartAllows(request, *instance, weights, offered, offers > kSlowStartOffers ? 0 : 1))
        continue;
      if (best != nullptr && timeToPrefill(request, *instance) >= timeToPrefill(request, *best))
        continue;
      best = instance;
      if (queueingDelay(*instance) <= bound)
        return instance;
    }
    return best;
  }

  // ---- 4 Writer choice and places
  // ------------------------------------------------------------------

  double load(const Instance& instance) const {
    return instance.streams / (std::max(instance.endpoint.weight, kTiny) * warmth(instance));
  }

  double expectedMemory(const RequestRecord& request) const {
    return request.arrival.promptTokens + kOutputShare * request.arrival.maxTokens;
  }

  // Share of all answers that is at a place of this weight: what own answers show, as far as they
  // are many.
  double fleetShare(double own, double weight) const {
    const double even =
        weight /
        std::max(weight_[roleIndex(Role::kDecode)] + weight_[roleIndex(Role::kMixed)], kTiny);
    return reservedTokens_ > 0 ? (streams_ * own / reservedTokens_ + kPriorStreams * even) /
                                     (streams_ + kPriorStreams)
                               : even;
  }

  double expectedTokens(const Instance& instance) const {
    return instance.reservedTokens +
           (settings_.nodes - 1) * reservedTokens_ *
               fleetShare(instance.reservedTokens, instance.endpoint.weight);
  }

  bool isFull(const Instance& instance, double share = kFullMemory) const {
    return now_ < instance.fullUntil || expectedTokens(instance) > memoryOf(instance) * share;
  }

  bool allDecodeInstancesFull() const {
    int fits = 0;
    for (const auto& [id, instance] : instances_) {
      if (instance.role == Role::kPrefill || !isUsable(instance))
        continue;
      if (++fits; !isFull(instance))
        return false;
    }
    return fits > 0;
  }

  // Fewest own streams for its size; nodes break ties differently, so that they do not herd.
  Instance* leastLoadedDecodeInstance(RequestRecord& request, std::optional<CellIndex> cell) {
    Instance* best = nullptr;
    const RoleWeights weights = weightsFor(Role::kDecode);
    const double offered = kSlowStartOffers * weights.cold;
    auto worth = [&](const Instance& instance) {
      return std::make_tuple(isFull(instance), load(instance),
                             stableHash(salt_, instance.endpoint.instance.value));
    };
    for (auto& [id, instance] : instances_) {
      const bool elsewhere =
          cell && (instance.role == Role::kMixed || instance.endpoint.cell != *cell);
      if (instance.role == Role::kPrefill || elsewhere || !isEligible(request, instance))
        continue;
      const double part = instance.endpoint.weight / std::max(weights.cold, kTiny);
      if (!slowStartAllows(request, instance, weights, offered, part))
        continue;
      if (best == nullptr || worth(instance) < worth(*best))
        best = &instance;
    }
    return best;
  }

  // The prefill instance's cell, or one with room if that cell's prefill instances do more than its
  // decode instances can write.
  CellIndex decodeCell(const RequestRecord& request) const {
    CellIndex best = request.prefillInstance->endpoint.cell;
    const auto affinityInstance = cells_.find(best);  // none: nothing of it is listed any more
    if (affinityInstance != cells_.end() &&
        stableDraw(request.arrival.request.value, "near") <
            affinityInstance->second.decodeShare /
                std::max(affinityInstance->second.prefillShare, kTiny))
      return best;
    double least = HUGE_VAL;
    for (const auto& [index, cell] : cells_) {
      const double room = cell.decodeShare - cell.prefillShare;
      if (room <= 0)
        continue;
      const double score =
          -std::log(stableDraw(request.arrival.request.value, std::to_string(index.value))) / room;
      if (score < least)
        std::tie(least, best) = std::pair(score, index);
    }
    return best;
  }

  // The decode instance of the planned cell; another cell's only when this one has none with room
  // (the spill).
  Instance* chooseDecodeInstance(RequestRecord& request) {
    Instance* near = leastLoadedDecodeInstance(request, decodeCell(request));
    if (near != nullptr && !isFull(*near))
      return near;
    Instance* any = leastLoadedDecodeInstance(request, {});
    return any != nullptr && !isFull(*any) ? any : near;
  }

  void reserveCapacity(RequestRecord& request, Instance& instance) {
    if (request.reservedOn == &instance)
      return;
    freeCapacity(request);
    request.reservedOn = &instance;
    request.reservedTokens = expectedMemory(request);
    instance.streams += 1;
    instance.reservedTokens += request.reservedTokens;
    streams_ += 1;
    reservedTokens_ += request.reservedTokens;
  }

  void freeCapacity(RequestRecord& request) {
    if (request.reservedOn == nullptr)
      return;
    request.reservedOn->streams -= 1;
    request.reservedOn->reservedTokens -= request.reservedTokens;
    streams_ -= 1;
    reservedTokens_ -= request.reservedTokens;
    request.reservedOn = nullptr;
  }

  void reserveDecode(RequestRecord& request) {
    Instance* writer = settings_.reservationsAllowed ? chooseDecodeInstance(request) : nullptr;
    if (writer == nullptr)
      return;
    countSend(*writer);
    reserveCapacity(request, *writer);
    request.reservation = writer;
    request.holdsRemoteState = true;
    emit(ReserveDecode{request.arrival.request, writer->endpoint.instance});
  }

  // A place on a draining decode instance is still used early in the grace: the state may exist
  // only there.
  bool reservationUsable(const RequestRecord& request) const {
    if (request.reservation == nullptr ||
        request.excludedInstances.count(request.reservation->endpoint.instance) != 0)
      return false;
    if (!request.reservation->drainingSince)
      return isUsable(*request.reservation);
    return now_ - *request.reservation->drainingSince < settings_.contract.drainGrace / 2 &&
           request.reservation->endpoint.state == EndpointState::kDraining;
  }

  void startDecode(RequestRecord& request) {
    request.phase = Phase::kPrefilled;
    Instance* writer =
        reservationUsable(request) ? request.reservation : chooseDecodeInstance(request);
    if (writer == nullptr)
      return;  // pump() tries again or lets go
    const bool reserved = writer == request.reservation;
    reserveCapacity(request, *writer);
    if (dispatch(request, *writer, Phase::kDecoding) && !reserved)
      countSend(*writer);
  }

  // ---- 5 Admission
  // ---------------------------------------------------------------------------------

  // What a read may take at most for those who would wait behind it: every class worth as much.
  Duration shortestObjective(double worth = 0) const {
    Duration least = Duration::max();
    for (const ClassSettings& cls : settings_.classes)
      if (cls.priorityWeight >= worth)
        least = std::min(least, cls.latencyObjective);
    return least;
  }

  Duration usualResponseTime(Role role) const {
    return microseconds(responseTime_[roleIndex(role)].decayedMean(now_, halfLife()));
  }

  // Early refusal: late answers earn little and make those behind them late.
  bool missesLatencyObjective(const RequestRecord& request, const Instance& prefillInstance) const {
    const Duration rest = prefillInstance.role == Role::kPrefill ? usualResponseTime(Role::kDecode)
                                                                 : Duration::zero();
    const Duration others = request.arrival.resumed
                                ? Duration::max()
                                : shortestObjective(classOf(request).priorityWeight);
    const Duration left = std::min(request.objectiveAt - now_, others);
    return scaled(timeToPrefill(request, prefillInstance),
                  decay(now_, lastPrefillAt_, halfLife())) +
               rest >
           left;
  }

  // Readers may be too few or fail while decode instances rest, which read too, more slowly:
  // between their steps.
  bool prefillAtDecodeInstance(RequestRecord& request) {
    Instance* best = nullptr;
    for (auto& [id, instance] : instances_) {
      const bool rests =
          !instance.ejected && warmth(instance) >= 1 && !isFull(instance, kRoomToRead);
      if (instance.role != Role::kDecode || !isEligible(request, instance) || !rests)
        continue;
      if (best == nullptr || std::pair(instance.prefillTokens, load(instance)) <
                                 std::pair(best->prefillTokens, load(*best)))
        best = &instance;
    }
    // Each node alone sees the decode instances idle, so it reckons what they would read if all did
    // as it does.
    const Duration all =
        kWriterReads * prefillTime(decodePrefillTokens_.at(now_, kFlowMemory)) * settings_.nodes;
    const double spare =
        std::max(kWriterSpare, kFewNodes / settings_.nodes) * count_[roleIndex(Role::kDecode)];
    if (best == nullptr || !settings_.decodeCanPrefill || all > scaled(kFlowMemory, spare))
      return false;
    if (now_ +
            scaled(prefillTime(best->prefillTokens + request.arrival.promptTokens), kWriterReads) >
        request.objectiveAt)
      return false;
    releaseState(request);
    reserveCapacity(request, *best);
    if (dispatch(request, *best, Phase::kDecoding))
      countSend(*best);
    decodePrefillTokens_.add(request.arrival.promptTokens, now_, kFlowMemory);
    return true;
  }

  // Guards against a jam that many nodes keep up with a few reads each. Who cannot know each
  // prefill instance reads little more than was read in time at any, and its part of some trials
  // that show the jam's end.
  bool throttled(const RequestRecord& request) const {
    const double tried = prefillOutcomes_.at(now_, kJamMemory),
                 known = kKnownReads * count_[roleIndex(Role::kPrefill)];
    const double allowed =
        kJamTimes * timelyPrefills_.at(now_, kJamMemory) + std::max(1.0, known / settings_.nodes);
    return tried < known && stableDraw(request.arrival.request.value, "throttle") * tried > allowed;
  }

  void startPrefill(RequestRecord& request) {
    Instance* prefillInstance = choosePrefillInstance(request);
    const bool late =
        prefillInstance != nullptr && missesLatencyObjective(request, *prefillInstance);
    const bool slow =
        prefillInstance == nullptr ||
        timeToPrefill(request, *prefillInstance) > scaled(request.objectiveAt - now_, kLongRead);
    if ((late || slow) && prefillAtDecodeInstance(request))
      return;
    if (prefillInstance == nullptr || late || throttled(request))
      return prefillInstance == nullptr ? void() : finish(request);
    releaseState(request);
    request.prefillInstance = prefillInstance;
    if (prefillInstance->role == Role::kMixed)
      reserveCapacity(request, *prefillInstance);
    if (!dispatch(request, *prefillInstance,
                  prefillInstance->role == Role::kMixed ? Phase::kDecoding : Phase::kPrefilling))
      return;
    countSend(*prefillInstance);
    if (prefillInstance->role == Role::kPrefill)
      reserveDecode(request);
  }

  // A prompt needs the memory of a kind that reads it and of one that writes its answer.
  bool exceedsMemory(const RequestRecord& request) const {
    bool read = false, written = false;
    for (const KindSettings& kind : settings_.kinds) {
      if (request.arrival.promptTokens > kind.memoryTokens)
        continue;
      read = read || kind.role != Role::kDecode || settings_.decodeCanPrefill;
      written = written || kind.role != Role::kPrefill;
    }
    return !read || !written;
  }

  // What cannot be answered any more is told so while a retry elsewhere may help, in the last pulse
  // at latest.
  bool cannotMeetDeadline(const RequestRecord& request) const {
    const Duration least =
        request.phase == Phase::kPrefilled
            ? usualResponseTime(Role::kDecode)
            : usualResponseTime(Role::kPrefill) + usualResponseTime(Role::kDecode);
    return request.deadline - now_ < std::max(least, Duration(kPulse + 2 * settings_.tick));
  }

  // ---- 6 Deadlines and further attempts
  // ------------------------------------------------------------

  // Leaves time for another attempt and no more: a time-out in a jam only reads the prompt twice.
  Time attemptTimeout(const RequestRecord& request, const Instance& instance) const {
    const bool last = static_cast<int>(request.attempts.size()) + 1 >= settings_.limits.maxAttempts;
    if (last || (classOf(request).effect == Effect::kAtMostOnce && instance.role != Role::kPrefill))
      return request.deadline;
    return now_ + scaled(request.deadline - now_, kSpareShare);
  }

  // What an instance swallows is overtaken: by others sent later, well ahead for their size. Jams
  // hold all up.
  void countOvertakenAttempts(const AttemptRecord& answered, Duration took) {
    for (auto& [id, request] : requests_) {
      if (request.phase != Phase::kPrefilling && request.phase != Phase::kDecoding)
        continue;
      AttemptRecord& attempt = request.attempts.back();
      if (!attempt.out || attempt.instance != answered.instance ||
          attempt.sentAt >= answered.sentAt)
        continue;
      const double size = std::max(1.0, (attempt.prefillTokens + 1) / (answered.prefillTokens + 1));
      if (now_ - attempt.sentAt > scaled(took, size * kOvertakenTimes))
        ++attempt.timesOvertaken;
    }
  }

  bool hasAlternative(const RequestRecord& request, const Instance& instance) const {
    for (const auto& [id, other] : instances_)
      if (&other != &instance &&
          (other.role == Role::kPrefill) == (instance.role == Role::kPrefill) &&
          isEligible(request, other))
        return true;
    return false;
  }

  // Calls off what waits at a silent instance, or was swallowed, while another could take it.
  void cancelStraggler(RequestRecord& request) {
    AttemptRecord& attempt = request.attempts.back();
    if (!settings_.limits.cancel || retryBudget_ < 1 || !attempt.out || attempt.cancelled)
      return;
    if (attempt.decodes && classOf(request).effect == Effect::kAtMostOnce)
      return;  // a read has no effect
    const bool longOut =
        now_ - attempt.sentAt >= scaled(request.objectiveAt - request.arrivedAt, kSilentAims);
    const bool lost = attempt.timesOvertaken >= kOvertaken && (longOut || !attempt.decodes);
    if ((!lost && !(longOut && isSilent(*attempt.instance))) ||
        !hasAlternative(request, *attempt.instance))
      return;
    attempt.cancelled = true;
    recordFailure(*attempt.instance, attempt.sentAt, "silent", false);
    emit(CancelAttempt{request.arrival.request, static_cast<int>(request.attempts.size()) - 1});
  }

  static bool sameDedupScope(const EndpointRecord& attempt,
                             const EndpointRecord& b,
                             DedupScope dedupScope) {
    return dedupScope == DedupScope::kAll ||
           (dedupScope == DedupScope::kZone ? attempt.zone == b.zone : attempt.cell == b.cell);
  }

  // Until when what may have run may go out again, as repeats of it do no harm or are discarded.
  Time repeatsUntil(const RequestRecord& request) const {
    const AttemptRecord* first = request.possiblyExecutedAttempt();
    if (first == nullptr || classOf(request).effect == Effect::kIdempotent)
      return Time::max();
    return classOf(request).effect == Effect::kDeduplicated
               ? first->sentAt + classOf(request).dedupWindow
               : now_;
  }

  // Guards rule two for sends: of a keyed class, all that may have run is in the group of the first
  // of it.
  bool effectAllowsDispatch(const RequestRecord& request, const Instance& instance) const {
    const AttemptRecord* first = classOf(request).effect == Effect::kDeduplicated
                                     ? request.possiblyExecutedAttempt()
                                     : nullptr;
    const bool apart =
        first != nullptr &&
        !sameDedupScope(first->instance->endpoint, instance.endpoint, classOf(request).dedupScope);
    return now_ < repeatsUntil(request) && !apart;
  }

  // Guards rule two for refusals, which tell the client that a repeat is harmless.
  bool mayReject(const RequestRecord& request) const {
    const bool everywhere = classOf(request).effect == Effect::kDeduplicated &&
                            classOf(request).dedupScope == DedupScope::kAll;
    return everywhere || repeatsUntil(request) == Time::max();
  }

  // The one gate for sends: rules one (nothing after the end), two, three and the attempt limits.
  bool dispatch(RequestRecord& request, Instance& instance, Phase next) {
    if (request.phase == Phase::kFinished || request.phase == Phase::kStreaming ||
        now_ >= request.deadline)
      return false;
    if (request.attemptOut() ||
        static_cast<int>(request.attempts.size()) >= settings_.limits.maxAttempts)
      return false;
    if ((instance.drainingSince &&
         !(&instance == request.reservation && reservationUsable(request))) ||
        !effectAllowsDispatch(request, instance))
      return false;
    const bool reads = next == Phase::kPrefilling ||
                       (instance.role == Role::kDecode && request.prefillInstance == nullptr);
    const double tokens = reads ? uncachedTokens(request, instance) : 0;
    instance.prefillTokens += tokens;
    const Time before = repeatsUntil(request);
    request.attempts.push_back({&instance, now_, instance.role != Role::kPrefill, tokens,
                                request.affinityInstance == &instance});
    request.phase = next;
    request.holdsRemoteState =
        true;  // whatever the role: a mixed instance that times out may leave its own reading held
    if (instance.unansweredAttempts++ == 0)
      instance.silentSince = now_;
    emit(DispatchAttempt{request.arrival.request, instance.endpoint.instance,
                         attemptTimeout(request, instance), before});
    return true;
  }

  // After a failure: another instance, within the attempts, the time and the budget that cannot
  // feed a jam.
  void retry(RequestRecord& request, Instance& failed, bool stateLives) {
    request.excludedInstances.insert(failed.endpoint.instance);
    request.slowStartOfferedAt.clear();
    const bool spent = static_cast<int>(request.attempts.size()) + (stateLives ? 1 : 2) >
                       settings_.limits.maxAttempts;
    if (spent || retryBudget_ < 1 || cannotMeetDeadline(request) || now_ >= repeatsUntil(request))
      return finish(request);
    retryBudget_ -= 1;
    freeCapacity(request);
    if (stateLives)
      return startDecode(request);
    releaseState(request);
    request.phase = Phase::kWaiting;
    startPrefill(request);
  }

  // ---- 7 Release
  // -----------------------------------------------------------------------------------

  // Guards rule five: whatever may be held for it anywhere is let go.
  void releaseState(RequestRecord& request) {
    if (request.holdsRemoteState)
      emit(ReleaseState{request.arrival.request});
    request.holdsRemoteState = false;
    request.reservation = request.prefillInstance = nullptr;
    freeCapacity(request);
  }

  void cancelAttempt(const RequestRecord& request) {
    if (settings_.limits.cancel && request.attemptOut())
      emit(CancelAttempt{request.arrival.request, static_cast<int>(request.attempts.size()) - 1});
  }

  // The one gate for endings: one final answer, nothing after it, nothing left out or held.
  void finish(RequestRecord& request) {
    if (request.phase == Phase::kFinished)
      return;
    cancelAttempt(request);
    releaseState(request);  // first, as a refusal says that nothing is under way anywhere
    const Duration advice = scaled(settings_.limits.maxRetryAfter, kAdvice);
    if (!mayReject(request))
      emit(FailRequest{request.arrival.request});
    else
      emit(RejectRequest{request.arrival.request,
                         settings_.limits.retryAfter ? std::optional(advice) : std::nullopt});
    close(request);
  }

  void close(RequestRecord& request) {  // a read still out may yet leave a state: it stays known
    request.phase = Phase::kFinished;
    releaseState(request);
  }

  void forgetIfFinished(const RequestId& id) {
    const RequestRecord* request = findRequest(id);
    if (request != nullptr && request->phase == Phase::kFinished && !request->attemptOut())
      requests_.erase(id);
  }

  // ---- 8 Event handlers
  // ----------------------------------------------------------------------------

  void emit(Action act) { actions_->push_back(std::move(act)); }

  void log(std::string text) { emit(LogMessage{std::move(text)}); }

  void start() {
    std::tie(started_, startedAt_) = std::pair(true, now_);
    if (problem_)
      log("unusable settings: " + *problem_);
    if (settings_.discovery == Discovery::kPoll)
      emit(SubscribeEndpoints{});
  }

  void on(const EndpointListUpdate& update) {
    if (update.form == EndpointListForm::kFailed)
      return void(pollEndpointsAt_ = now_ + kAskPause);
    if (update.form != EndpointListForm::kChanges)  // a whole list; what it names is taken back in
      for (auto& [id, instance] : instances_)
        markDraining(instance, EndpointState::kRemoved);
    for (const EndpointRecord& entry : update.entries)
      applyEndpoint(entry);
    forgetRemoved();
    planCells();
  }

  void markDraining(Instance& instance, EndpointState state) {
    if (!instance.drainingSince)
      instance.drainingSince = now_;
    instance.endpoint.state = state;
  }

  // What has been gone for longer than a new one is cold, unless a request still names it.
  void forgetRemoved() {
    std::erase_if(instances_, [this](const auto& entry) {
      const Instance& instance = entry.second;
      const bool gone =
          instance.drainingSince && instance.endpoint.state == EndpointState::kRemoved;
      if (!gone || now_ - *instance.drainingSince <= settings_.contract.warmupDuration)
        return false;
      return std::none_of(requests_.begin(), requests_.end(), [&instance](const auto& request) {
        return request.second.refersTo(instance);
      });
    });
  }

  void applyEndpoint(const EndpointRecord& entry) {
    if (entry.kind.value >= settings_.kinds.size())
      return;
    auto [it, fresh] = instances_.try_emplace(entry.instance);
    Instance& instance = it->second;
    const bool restarted = !fresh && entry.started && entry.started != instance.endpoint.started;
    instance.endpoint = entry;
    instance.endpoint.weight = std::max(0.0, entry.weight);
    instance.role = settings_.kinds[entry.kind.value].role;
    for (int i = 0; fresh && i < kNewIsGood; ++i)
      instance.failureRate.add(0);
    if (fresh || restarted)
      instance.slowStart.reset(stableHash(salt_, entry.instance.value), settings_.nodes, now_);
    if (restarted)
      reinstate(instance);
    if (entry.state == EndpointState::kActive)
      instance.drainingSince.reset();
    else
      markDraining(instance, entry.state);
  }

  void on(const Arrival& arrival) {
    if (problem_ || arrival.cls.value >= settings_.classes.size())
      return emit(FailRequest{arrival.request});
    auto [it, fresh] = requests_.try_emplace(arrival.request);
    if (!fresh)
      return;
    RequestRecord& request = it->second;
    request.arrival = arrival;
    request.arrivedAt = now_;
    request.deadline = now_ + arrival.timeLeft;
    // Whoever asks for the rest had its first token: the mean pace counts, and a refusal loses it
    // all.
    request.objectiveAt =
        now_ + classOf(request).latencyObjective +
        scaled(classOf(request).latencyObjectivePer1000, arrival.promptTokens / 1000);
    if (arrival.resumed)
      request.objectiveAt = request.deadline;
    popularity_.count(affinityKey(request), now_);
    const double seen = kRetryShare * popularity_.arrivals(now_) + 1;
    retryBudget_ = std::min({kRetryBurst, retryBudget_ + kRetryShare, seen});
    if (exceedsMemory(request) || cannotMeetDeadline(request))
      finish(request);
    forgetIfFinished(arrival.request);
  }

  void on(const StreamOpened& opened) {
    RequestRecord* request = findRequest(opened.request);
    AttemptRecord* attempt = request == nullptr ? nullptr : request->attempt(opened.attempt);
    if (attempt == nullptr)
      return;
    recordSign(*attempt, opened.took, attempt->out && attempt->prefillTokens <= 0);
    recordSuccess(*attempt->instance, attempt->sentAt);
    countOvertakenAttempts(*attempt, opened.took);
    attempt->instance->prefillTokens -= std::exchange(attempt->prefillTokens, 0);
    if (request->phase == Phase::kFinished)
      return;
    std::tie(request->phase, request->firstTokenAt, request->holdsRemoteState) =
        std::tuple(Phase::kStreaming, now_, false);
    reserveCapacity(*request, *attempt->instance);
  }

  void on(const ReservationResult& note) {
    RequestRecord* request = findRequest(note.request);
    if (request == nullptr || request->reservation == nullptr ||
        request->reservation->endpoint.instance != note.instance || note.granted)
      return;
    request->reservation->fullUntil =
        now_ + scaled(shortestObjective(), kFullAims);  // no slot or memory, or some wait already
    request->reservation = nullptr;
    if (request->phase != Phase::kPrefilling)
      return;
    freeCapacity(*request);
    if (++request->reservationsRejected < kPlaceTries)
      reserveDecode(*request);
  }

  void on(const StreamAdopted& stream) {
    const auto instance = instances_.find(stream.instance);
    if (instance == instances_.end())
      return;
    RequestRecord& request = requests_[stream.arrival.request];
    request.arrival = stream.arrival;
    request.firstTokenAt = request.arrivedAt = request.deadline = request.objectiveAt = now_;
    request.phase = Phase::kStreaming;
    request.attempts.assign(1, {&instance->second, now_, true, 0, false});
    reserveCapacity(request, instance->second);
  }

  void on(const AttemptEnded& ended) {
    RequestRecord* request = findRequest(ended.request);
    AttemptRecord* attempt = request == nullptr ? nullptr : request->attempt(ended.attempt);
    if (attempt == nullptr || !attempt->out)
      return;
    Instance& instance = *attempt->instance;
    if (!request->firstTokenAt)
      recordSign(*attempt, ended.took, ended.outcome == AttemptOutcome::kPrefilled);
    attempt->out = false;
    if (ended.outcome == AttemptOutcome::kPrefilled)
      countOvertakenAttempts(*attempt, ended.took);
    instance.prefillTokens -= attempt->prefillTokens;
    recordOutcome(*request, *attempt, ended);
    applyOutcome(*request, instance, ended);
    forgetIfFinished(ended.request);
  }

  void recordOutcome(RequestRecord& request, AttemptRecord& attempt, const AttemptEnded& ended) {
    Instance& instance = *attempt.instance;
    const AttemptOutcome outcome = ended.outcome;
    if (outcome == AttemptOutcome::kPrefilled)
      recordPrefill(request, attempt, ended);
    // What is not read in time waited at least so long: a jam is known by what it does not answer.
    const bool late = outcome == AttemptOutcome::kTimeout || outcome == AttemptOutcome::kCancelled;
    if (attempt.prefillTokens > 0 && late && attempt.timesOvertaken < kOvertaken)
      recordQueueingDelay(instance, ended.took);
    const bool shows =
        attempt.prefillTokens > 0 &&
        (late || outcome == AttemptOutcome::kPrefilled || outcome == AttemptOutcome::kRejected);
    prefillOutcomes_.add(shows ? 1 : 0, now_, kJamMemory);
    timelyPrefills_.add(
        shows && outcome == AttemptOutcome::kPrefilled && now_ < request.objectiveAt ? 1 : 0, now_,
        kJamMemory);
    if (outcome == AttemptOutcome::kPrefilled)
      recordSuccess(instance, attempt.sentAt);
    if (outcome == AttemptOutcome::kError)
      recordFailure(instance, attempt.sentAt, "errors", false);
    if (outcome == AttemptOutcome::kTimeout)
      recordFailure(instance, attempt.sentAt, "no answers", false);
    if (outcome == AttemptOutcome::kConnectFailed)
      recordFailure(instance, attempt.sentAt, "no connection", true);
    // One stream that breaks is no sign of the next: an instance that is gone refuses the next
    // connection.
    if (outcome == AttemptOutcome::kConnectionLost && !attempt.cancelled)
      recordFailure(instance, attempt.sentAt, "lost connections", false);
    attempt.provedNotExecuted = provesNotExecuted(outcome, ended.doubtful);
  }

  void applyOutcome(RequestRecord& request, Instance& instance, const AttemptEnded& ended) {
    if (request.phase == Phase::kFinished || ended.concluded) {
      // A release skips what an attempt still waits for, so each late outcome brings another.
      request.holdsRemoteState = !request.firstTokenAt;
      return close(request);
    }
    const bool sent = ended.outcome != AttemptOutcome::kConnectFailed &&
                      ended.outcome != AttemptOutcome::kNotSent;
    if (sent)
      request.prefilledAt = now_;  // what never came up was no send: the state's time goes on
    if (ended.outcome == AttemptOutcome::kPrefilled) {
      request.prefillInstance = &instance;
      return startDecode(request);
    }
    if (now_ >= request.deadline)
      return finish(request);
    const bool wrote = request.phase == Phase::kDecoding && instance.role == Role::kDecode &&
                       request.prefillInstance != nullptr;
    const Time tried = now_ + settings_.limits.connectTimeout;  // if the next never comes up either
    retry(request, instance,
          wrote && !ended.kvCacheLost &&
              (sent || tried - request.prefilledAt < settings_.contract.releaseLimit));
  }

  void recordPrefill(const RequestRecord& request,
                     const AttemptRecord& attempt,
                     const AttemptEnded& ended) {
    Instance& instance = *attempt.instance;
    cacheHitRate_[attempt.atAffinityInstance ? 1 : 0].add(
        std::clamp(ended.cachedTokens / std::max(1.0, request.arrival.promptTokens), 0.0, 1.0));
    const double done = std::max(1.0, request.arrival.promptTokens - ended.cachedTokens);
    lastPrefillAt_ = now_;
    prefillThroughput_ =
        std::max(prefillThroughput_ * kRateKept,
                 done / static_cast<double>(std::max<Duration::rep>(1, ended.took.count())));
    recordQueueingDelay(instance, std::max(Duration::zero(), ended.took - prefillTime(done)));
  }

  void recordSign(AttemptRecord& attempt, Duration took, bool counts) {
    Instance& instance = *attempt.instance;
    if (counts)
      responseTime_[roleIndex(instance.role)].add(static_cast<double>(took.count()), now_);
    std::tie(instance.silentSince, instance.unansweredAttempts) =
        std::pair(now_, std::max(0, instance.unansweredAttempts - 1));
  }

  void on(const HealthCheckEnded&) {}  // none is asked for

  void on(const PeerMessage&) {}  // nodes share nothing

  void on(const TimerFired&) { timerArmed_ = false; }

  void on(const ShutdownStarted& stopping) {
    std::tie(shutdownAt_, grace_) = std::pair(shutdownAt_.value_or(now_), stopping.grace);
  }

  void on(const RequestAbandoned& lapsed) {
    RequestRecord* request = findRequest(lapsed.request);
    if (request == nullptr || request->phase == Phase::kFinished)
      return;
    cancelAttempt(*request);
    close(*request);
    forgetIfFinished(lapsed.request);
  }

  RequestRecord* findRequest(const RequestId& id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
  }

  // Work that waits: states first, for they pin memory; then by worth and by the order of their
  // ends.
  void processQueue() {
    std::vector<std::tuple<bool, double, Time, RequestId>> work;
    for (auto& [id, request] : requests_) {
      if (request.phase == Phase::kPrefilling || request.phase == Phase::kDecoding)
        cancelStraggler(request);
      if (request.phase == Phase::kWaiting || request.phase == Phase::kPrefilled)
        work.emplace_back(request.phase == Phase::kWaiting, -classOf(request).priorityWeight,
                          request.deadline, id);
    }
    std::sort(work.begin(), work.end());
    for (const auto& [fresh, worth, deadline, id] : work) {
      advance(requests_.at(id));
      forgetIfFinished(id);
    }
  }

  // A node that ends moves its streams over the end of its grace, the longest first: a kill moves
  // all.
  void migrateStreams() {
    const double passed = ratio(now_ - *shutdownAt_, grace_);
    std::vector<std::tuple<double, Time, RequestId>> streams;
    std::vector<RequestId> owed;
    for (const auto& [id, request] : requests_) {
      if (request.phase < Phase::kStreaming && passed >= kLastCall)
        owed.push_back(id);
      if (request.phase == Phase::kStreaming && !request.attempts.back().cancelled)
        streams.emplace_back(request.arrival.maxTokens, *request.firstTokenAt, id);
    }
    for (const RequestId& id : owed) {
      finish(requests_.at(id));
      forgetIfFinished(id);
    }
    if (!settings_.streamResumption || passed < kHandOverFrom)
      return;
    maxStreams_ = std::max(maxStreams_, streams.size());
    const double left = std::max(0.0, (kHandOverTo - passed) / (kHandOverTo - kHandOverFrom));
    const auto stay = static_cast<std::size_t>(left * static_cast<double>(maxStreams_));
    std::sort(streams.rbegin(), streams.rend());
    for (std::size_t i = 0; i + stay < streams.size(); ++i) {
      RequestRecord& request = requests_.at(std::get<RequestId>(streams[i]));
      request.attempts.back().cancelled = true;
      emit(MigrateStream{request.arrival.request});
    }
  }

  void advance(RequestRecord& request) {
    if (cannotMeetDeadline(request))
      return finish(request);
    if (request.phase == Phase::kPrefilled) {
      startDecode(request);
      if (request.phase != Phase::kPrefilled ||
          now_ - request.prefilledAt < scaled(settings_.contract.releaseLimit, kHoldShare))
        return;
      releaseState(request);
      request.phase = Phase::kWaiting;
      if (static_cast<int>(request.attempts.size()) + 2 > settings_.limits.maxAttempts)
        return finish(request);
    }
    if (now_ + usualResponseTime(Role::kPrefill) > request.objectiveAt)
      return finish(request);
    if (!allDecodeInstancesFull())
      startPrefill(request);
  }

  void armTimer() {
    if (pollEndpointsAt_ && now_ >= *pollEndpointsAt_) {
      emit(SubscribeEndpoints{});
      pollEndpointsAt_.reset();
    }
    const bool open = (shutdownAt_ && !requests_.empty()) ||
                      std::any_of(requests_.begin(), requests_.end(), [](const auto& entry) {
                        return entry.second.phase < Phase::kStreaming;
                      });
    if (timerArmed_ || (!open && !pollEndpointsAt_))
      return;
    timerArmed_ = true;
    emit(SetTimer{++timersSet_, open ? Duration(kPulse) : Duration(kAskPause)});
  }

  Settings settings_;
  std::optional<std::string> problem_;
  std::string salt_;
  FadingAverage cacheHitRate_[2];  // share of a prompt found kept: elsewhere, at its home
  FadingAverage responseTime_[3];  // by role, microseconds to the end of a read or the first token
  std::map<InstanceId, Instance> instances_;
  std::map<CellIndex, CellPlan> cells_;
  KeyPopularity popularity_{kFlowMemory};
  double prefillThroughput_ = 0;  // unread tokens a microsecond where nothing waits
  double reservedTokens_ = 0, streams_ = 0,
         retryBudget_ = kRetryBurst;  // own answers' tokens, and how many; spare retries
  DecayingSum dispatches_[3],
      decodePrefillTokens_;  // sends by role; tokens sent to be read by decode instances
  DecayingSum prefillOutcomes_, timelyPrefills_;  // reads that ended, and those of them in time
  std::array<double, 3> weight_{}, maxWarmWeight_{},
      count_{};  // by role: listed, the most ever, how many
  std::map<RequestId, RequestRecord> requests_;
  std::optional<Time> pollEndpointsAt_, shutdownAt_;
  Duration grace_{};
  std::uint64_t timersSet_ = 0, maxStreams_ = 0;  // seen since they began to move
  bool timerArmed_ = false, started_ = false;
  Time now_{}, lastPrefillAt_{}, startedAt_{};
  std::vector<Action>* actions_ = nullptr;
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::reconfigure(const Settings& settings) {
  impl_->reconfigure(settings);
}
bool Router::avoids(Time now, const InstanceId& instance) const {
  return impl_->avoids(now, instance);
}
void Router::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace inference_router::routing
