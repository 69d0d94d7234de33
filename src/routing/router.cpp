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

std::size_t at(Role role) {
  return static_cast<std::size_t>(role);
}

// What a cell has of the fleet, by the list alone, so that every node reckons the same.
struct CellPlan {
  double readers = 0, writers = 0;  // weight of each
  double share = 0, writes = 0;     // of all reads and of all answers that it is to do
};

// Of the instances that do a step: when all of the fleet is there, listed now, and of these in slow
// start.
struct RoleWeights {
  double whole = 0, listed = 0, cold = 0;
};

}  // namespace

struct Instance {
  EndpointRecord info;
  Role role = Role::kPrefill;
  std::optional<Time> toldOff;  // when the list said it drains or is gone
  double readTokens = 0;        // own prompt tokens out to be read here
  int streams = 0;              // own sends, places and streams that write here
  double heldTokens = 0;        // own tokens expected in its memory
  int out = 0;                  // own attempts that have shown no sign yet
  Time quietSince{};            // last sign while attempts were out
  Duration wait{};              // before a read there begins, as seen last
  Time waitAt{};
  FadingAverage fails;
  bool ejected = false;
  Time ejectedAt{};
  int trialsLeft = 0;  // to go well before it is trusted again
  Duration pause = kFirstPause;
  Time trialAt{}, fullUntil{};  // when an ejected instance may be tried; no room is expected until
  SlowStartBudget slowStart;
};

class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : set_(settings), problem_(problemWith(settings)), salt_(std::to_string(seed)) {}

  void reconfigure(const Settings& settings) {
    set_ = settings;
    problem_ = problemWith(settings);
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    act_ = &actions;
    if (!started_)
      start();
    std::visit([this](const auto& what) { on(what); }, event);
    if (stopsAt_)
      handOver();  // first: what is owed its answer gets no attempt in the same moment
    pump();
    keepPulse();
  }

  bool avoids(Time now, const InstanceId& id) {
    now_ = now;
    const auto it = instances_.find(id);
    return it != instances_.end() && listed(it->second) &&
           (it->second.ejected || silent(it->second));
  }

 private:
  // ---- 2 Fleet view
  // --------------------------------------------------------------------------------

  const ClassSettings& classOf(const RequestRecord& r) const {
    return set_.classes[r.arrival.cls.value];
  }

  bool listed(const Instance& e) const { return !e.toldOff; }

  // A silent instance is passed over while it stays silent: a hang, a one-way link or a jam look
  // alike.
  bool silent(const Instance& e) const {
    if (e.out == 0)
      return false;
    const auto work = static_cast<double>(timeFor(e.readTokens).count());
    const double expected = std::max(answer_[at(e.role)].mean(), work) * kSilentFor;
    const Duration limit = std::max(microseconds(expected), scaled(shortestAim(), kSilentAims));
    return now_ - e.quietSince > limit;
  }

  bool fit(const Instance& e) const {
    const bool trial = now_ >= e.trialAt && e.out == 0;  // a single one at a time
    return listed(e) && !silent(e) && (!e.ejected || trial);
  }

  double memoryOf(const Instance& e) const { return set_.kinds[e.info.kind.value].memoryTokens; }

  bool eligible(const RequestRecord& r, const Instance& e) const {
    return fit(e) && r.avoid.count(e.info.instance) == 0 && r.arrival.promptTokens <= memoryOf(e);
  }

  double warmShare(const Instance& e) const {
    return warmFraction(set_.contract, e.info.started, now_);
  }

  // A node that has just started has seen its present list alone: it takes what is missing there
  // for large.
  RoleWeights weightsFor(Role step) const {
    RoleWeights weights{std::max(mostWeight_[at(step)], kTiny) + mostWeight_[at(Role::kMixed)]};
    for (const auto& [id, e] : instances_) {
      if (!listed(e) || (e.role != step && e.role != Role::kMixed))
        continue;
      weights.listed += e.info.weight;
      if (warmShare(e) < 1)
        weights.cold += e.info.weight;
    }
    weights.whole = std::max(weights.whole, weights.cold);
    if (!young())
      return weights;
    const double other = *std::max_element(weight_.begin(), weight_.end());
    weights.whole =
        std::max(weights.whole, other) + (weights.cold < weights.listed ? 0 : kUnlistedWeight);
    return weights;
  }

  bool young() const { return now_ - startedAt_ < set_.contract.warmupDuration; }

  // Guards rule four. Offered: the weight of the instances that share this request, and this one's
  // part of it.
  bool slowStartAllows(RequestRecord& r,
                       Instance& e,
                       const RoleWeights& weights,
                       double offered,
                       double part) {
    if (warmShare(e) >= 1)
      return true;
    const Duration seen = std::max(now_ - startedAt_, set_.contract.overloadWindow);
    const double demand =
        (young() ? popularity_.arrivals(now_) : sends_[at(e.role)].at(now_, kFlowMemory)) /
        -std::expm1(-ratio(seen, kFlowMemory));
    const double usual =
        demand * ratio(set_.contract.overloadWindow, kFlowMemory) * e.info.weight / weights.whole;
    const Time since = r.offeredAt.try_emplace(r.phase, now_).first->second;
    return e.slowStart.admits(set_, e.info.started, {usual, offered / weights.whole, part, since},
                              now_);
  }

  void countSend(Instance& e) {
    e.slowStart.countSend(set_.contract, now_);
    sends_[at(e.role)].add(1, now_, kFlowMemory);
  }

  void eject(Instance& e, const char* why, int trials) {
    if (!e.ejected)
      say("passing over " + e.info.instance.value + ": " + why);
    std::tie(e.ejected, e.ejectedAt, e.trialsLeft) = std::tuple(true, now_, trials);
    std::tie(e.trialAt, e.pause) =
        std::pair(now_ + e.pause, std::min<Duration>(e.pause * 2, kLongestPause));
  }

  void trust(Instance& e) {
    std::tie(e.ejected, e.pause, e.fails) = std::tuple(false, kFirstPause, FadingAverage());
  }

  // What fails or swallows some may do one trial well: it takes several, and what was sent before
  // is none.
  void noteGood(Instance& e, Time sentAt) {
    e.fails.add(0);
    if (!e.ejected || (e.trialsLeft > 1 && sentAt < e.ejectedAt))
      return;
    e.trialAt = now_;
    if (--e.trialsLeft > 0)
      return;
    trust(e);
    say("using " + e.info.instance.value + " again");
  }

  // By the best in use: where all fail alike, leaving one out gains nothing.
  double failsAllowed(const Instance& e) const {
    double best = 1;
    for (const auto& [id, x] : instances_)
      if (&x != &e && x.role == e.role && listed(x) && !x.ejected)
        best = std::min(best, x.fails.mean());
    return std::max(kEjectAt, best * kEjectTimes);
  }

  // Fast failures make an instance look idle. Dials that were out as it was left out are no trials
  // that failed.
  void noteBad(Instance& e, Time sentAt, const char* why, bool certain) {
    e.fails.add(1);
    if (e.ejected && certain && sentAt < e.ejectedAt)
      return;
    if (e.ejected || certain || e.fails.mean() > failsAllowed(e))
      eject(e, why, certain ? 1 : kGoodTrials);
  }

  // ---- 3 Reader choice
  // -----------------------------------------------------------------------------

  double unread(const RequestRecord& r, const Instance& e) const {
    return r.arrival.promptTokens * (1 - kept_[r.home == &e ? 1 : 0].mean());
  }

  // By the fastest reads of late: what is slower than that waited, or is at an instance that is
  // slow.
  Duration timeFor(double tokens) const {
    return readRate_ > 0 ? microseconds(tokens / readRate_) : Duration::zero();
  }

  Duration fade() const {
    const double seen = std::max(popularity_.arrivals(now_), kTiny);
    return std::clamp<Duration>(scaled(kFlowMemory, std::min(1.0, kFadeArrivals / seen)), kFade,
                                kLongestFade);
  }

  // What a read showed last loses its say with its age; own work is known.
  Duration waitAt(const Instance& e) const {
    return std::max(timeFor(e.readTokens / warmShare(e)),
                    scaled(e.wait, decay(now_, e.waitAt, fade())));
  }

  void noteWait(Instance& e, Duration wait) { std::tie(e.wait, e.waitAt) = std::pair(wait, now_); }

  Duration readTime(const RequestRecord& r, const Instance& e) const {
    return waitAt(e) + timeFor(unread(r, e));
  }

  const std::string& keyOf(const RequestRecord& r) const {
    if (!r.arrival.prefix.empty())
      return r.arrival.prefix;
    return r.arrival.session.empty() ? r.arrival.request.value : r.arrival.session;
  }

  // A cell reads what its decode instances can write, within bounds of its prefill instances; the
  // rest crosses the link by plan.
  void plan() {
    cells_.clear();
    weight_ = count_ = {};
    std::array<double, 3> warm{};
    for (const auto& [id, e] : instances_) {
      if (!listed(e))
        continue;
      weight_[at(e.role)] += e.info.weight;
      warm[at(e.role)] += e.info.weight * warmShare(e);
      count_[at(e.role)] += 1;
      CellPlan& cell = cells_[e.info.cell];
      if (e.role == Role::kPrefill)
        cell.readers += e.info.weight;
      if (e.role == Role::kDecode)
        cell.writers += e.info.weight;
    }
    for (std::size_t i = 0; i < weight_.size(); ++i)
      mostWeight_[i] = std::max(mostWeight_[i], warm[i]);
    double sum = 0;
    for (auto& [index, c] : cells_) {
      const double even = c.readers / std::max(weight_[at(Role::kPrefill)], kTiny);
      c.writes = c.writers / std::max(weight_[at(Role::kDecode)], kTiny);
      c.share = std::clamp(c.writes, even * kLeastRead, even * kMostRead);
      sum += c.share;
    }
    for (auto& [index, c] : cells_)
      c.share /= std::max(sum, kTiny);
  }

  // Readers share the work of the decode instances; a mixed instance takes the share that it writes
  // as well.
  double hashWeight(const Instance& e) const {
    const double writers = weight_[at(Role::kDecode)];
    if (e.role == Role::kMixed || writers <= 0)
      return std::max(kTiny, e.info.weight);
    const CellPlan& cell = cells_.at(e.info.cell);
    return std::max(kTiny, writers * cell.share * e.info.weight / std::max(kTiny, cell.readers));
  }

  // Weighted rendezvous hashing, the same at every node.
  void rank(std::vector<Instance*>& instances, std::size_t first, const std::string& key) const {
    std::multimap<double, Instance*> scored;
    for (std::size_t i = 0; i < first; ++i)
      scored.emplace(
          -std::log(stableDraw(key, instances[i]->info.instance.value)) / hashWeight(*instances[i]),
          instances[i]);
    std::transform(scored.begin(), scored.end(), instances.begin(),
                   [](const auto& x) { return x.second; });
  }

  // The key's order. A popular key, by this node's sample, has as many homes as carry it together;
  // a session picks one of them, the same at every node, and so keeps its text.
  std::vector<Instance*> readersInOrder(const RequestRecord& r) {
    std::vector<Instance*> order;
    double all = 0, carried = 0;
    for (auto& [id, e] : instances_) {
      if (e.role == Role::kDecode || !listed(e))
        continue;
      order.push_back(&e);
      all += hashWeight(e);
    }
    rank(order, order.size(), keyOf(r));
    if (r.arrival.session.empty())
      return order;
    const double wanted = popularity_.shareOfOthers(keyOf(r), now_);
    std::size_t homes = 0;
    while (homes < order.size() && carried * kKeyPart < wanted * all)
      carried += hashWeight(*order[homes++]);
    rank(order, homes, r.arrival.session);
    return order;
  }

  // The first in the key's order whose reads wait within the bound, or an earlier one that would be
  // done sooner, as it keeps the text: a jam must not feed itself by moving keys.
  Instance* chooseReader(RequestRecord& r) {
    const Duration bound = scaled(timeFor(r.arrival.promptTokens), kReadBound);
    const std::vector<Instance*> order = readersInOrder(r);
    if (!order.empty())
      r.home = order.front();
    const RoleWeights weights = weightsFor(Role::kPrefill);
    Instance* best = nullptr;
    int offers = 0;
    for (Instance* e : order) {
      if (!eligible(r, *e) || now_ < e->fullUntil)
        continue;
      if (e->role == Role::kMixed && full(*e))
        continue;
      if (warmShare(*e) < 1)
        ++offers;
      const double offered = e == r.home ? weights.listed : weights.cold;
      if (!slowStartAllows(r, *e, weights, offered, offers > kSlowStartOffers ? 0 : 1))
        continue;
      if (best != nullptr && readTime(r, *e) >= readTime(r, *best))
        continue;
      best = e;
      if (waitAt(*e) <= bound)
        return e;
    }
    return best;
  }

  // ---- 4 Writer choice and places
  // ------------------------------------------------------------------

  double load(const Instance& e) const {
    return e.streams / (std::max(e.info.weight, kTiny) * warmShare(e));
  }

  double tokensOf(const RequestRecord& r) const {
    return r.arrival.promptTokens + kOutputShare * r.arrival.maxTokens;
  }

  // Share of all answers that is at a place of this weight: what own answers show, as far as they
  // are many.
  double shareOf(double own, double weight) const {
    const double even =
        weight / std::max(weight_[at(Role::kDecode)] + weight_[at(Role::kMixed)], kTiny);
    return held_ > 0 ? (streams_ * own / held_ + kPriorStreams * even) / (streams_ + kPriorStreams)
                     : even;
  }

  double expectedTokens(const Instance& e) const {
    return e.heldTokens + (set_.nodes - 1) * held_ * shareOf(e.heldTokens, e.info.weight);
  }

  bool full(const Instance& e, double share = kFullMemory) const {
    return now_ < e.fullUntil || expectedTokens(e) > memoryOf(e) * share;
  }

  bool everyWriterFull() const {
    int fits = 0;
    for (const auto& [id, e] : instances_) {
      if (e.role == Role::kPrefill || !fit(e))
        continue;
      if (++fits; !full(e))
        return false;
    }
    return fits > 0;
  }

  // Fewest own streams for its size; nodes break ties differently, so that they do not herd.
  Instance* leastLoaded(RequestRecord& r, std::optional<CellIndex> cell) {
    Instance* best = nullptr;
    const RoleWeights weights = weightsFor(Role::kDecode);
    const double offered = kSlowStartOffers * weights.cold;
    auto worth = [&](const Instance& e) {
      return std::make_tuple(full(e), load(e), stableHash(salt_, e.info.instance.value));
    };
    for (auto& [id, e] : instances_) {
      const bool elsewhere = cell && (e.role == Role::kMixed || e.info.cell != *cell);
      if (e.role == Role::kPrefill || elsewhere || !eligible(r, e))
        continue;
      const double part = e.info.weight / std::max(weights.cold, kTiny);
      if (!slowStartAllows(r, e, weights, offered, part))
        continue;
      if (best == nullptr || worth(e) < worth(*best))
        best = &e;
    }
    return best;
  }

  // The prefill instance's cell, or one with room if that cell's prefill instances do more than its
  // decode instances can write.
  CellIndex writingCell(const RequestRecord& r) const {
    CellIndex best = r.reader->info.cell;
    const auto home = cells_.find(best);  // none: nothing of it is listed any more
    if (home != cells_.end() && stableDraw(r.arrival.request.value, "near") <
                                    home->second.writes / std::max(home->second.share, kTiny))
      return best;
    double least = HUGE_VAL;
    for (const auto& [index, cell] : cells_) {
      const double room = cell.writes - cell.share;
      if (room <= 0)
        continue;
      const double score =
          -std::log(stableDraw(r.arrival.request.value, std::to_string(index.value))) / room;
      if (score < least)
        std::tie(least, best) = std::pair(score, index);
    }
    return best;
  }

  // The decode instance of the planned cell; another cell's only when this one has none with room
  // (the spill).
  Instance* chooseWriter(RequestRecord& r) {
    Instance* near = leastLoaded(r, writingCell(r));
    if (near != nullptr && !full(*near))
      return near;
    Instance* any = leastLoaded(r, {});
    return any != nullptr && !full(*any) ? any : near;
  }

  void book(RequestRecord& r, Instance& e) {
    if (r.booked == &e)
      return;
    unbook(r);
    r.booked = &e;
    r.bookedTokens = tokensOf(r);
    e.streams += 1;
    e.heldTokens += r.bookedTokens;
    streams_ += 1;
    held_ += r.bookedTokens;
  }

  void unbook(RequestRecord& r) {
    if (r.booked == nullptr)
      return;
    r.booked->streams -= 1;
    r.booked->heldTokens -= r.bookedTokens;
    streams_ -= 1;
    held_ -= r.bookedTokens;
    r.booked = nullptr;
  }

  void askPlace(RequestRecord& r) {
    Instance* writer = set_.reservationsAllowed ? chooseWriter(r) : nullptr;
    if (writer == nullptr)
      return;
    countSend(*writer);
    book(r, *writer);
    r.place = writer;
    r.pinned = true;
    emit(ReserveDecode{r.arrival.request, writer->info.instance});
  }

  // A place on a draining decode instance is still used early in the grace: the state may exist
  // only there.
  bool placeUsable(const RequestRecord& r) const {
    if (r.place == nullptr || r.avoid.count(r.place->info.instance) != 0)
      return false;
    if (!r.place->toldOff)
      return fit(*r.place);
    return now_ - *r.place->toldOff < set_.contract.drainGrace / 2 &&
           r.place->info.state == EndpointState::kDraining;
  }

  void startWrite(RequestRecord& r) {
    r.phase = Phase::kRead;
    Instance* writer = placeUsable(r) ? r.place : chooseWriter(r);
    if (writer == nullptr)
      return;  // pump() tries again or lets go
    const bool prepaid = writer == r.place;
    book(r, *writer);
    if (sendTo(r, *writer, Phase::kWriting) && !prepaid)
      countSend(*writer);
  }

  // ---- 5 Admission
  // ---------------------------------------------------------------------------------

  // What a read may take at most for those who would wait behind it: every class worth as much.
  Duration shortestAim(double worth = 0) const {
    Duration least = Duration::max();
    for (const ClassSettings& cls : set_.classes)
      if (cls.priorityWeight >= worth)
        least = std::min(least, cls.latencyObjective);
    return least;
  }

  Duration usual(Role role) const {
    return microseconds(answer_[at(role)].decayedMean(now_, fade()));
  }

  // Early refusal: late answers earn little and make those behind them late.
  bool worthless(const RequestRecord& r, const Instance& reader) const {
    const Duration rest = reader.role == Role::kPrefill ? usual(Role::kDecode) : Duration::zero();
    const Duration others =
        r.arrival.resumed ? Duration::max() : shortestAim(classOf(r).priorityWeight);
    const Duration left = std::min(r.objectiveAt - now_, others);
    return scaled(readTime(r, reader), decay(now_, lastRead_, fade())) + rest > left;
  }

  // Readers may be too few or fail while decode instances rest, which read too, more slowly:
  // between their steps.
  bool readAtWriter(RequestRecord& r) {
    Instance* best = nullptr;
    for (auto& [id, e] : instances_) {
      const bool rests = !e.ejected && warmShare(e) >= 1 && !full(e, kRoomToRead);
      if (e.role != Role::kDecode || !eligible(r, e) || !rests)
        continue;
      if (best == nullptr ||
          std::pair(e.readTokens, load(e)) < std::pair(best->readTokens, load(*best)))
        best = &e;
    }
    // Each node alone sees the decode instances idle, so it reckons what they would read if all did
    // as it does.
    const Duration all = kWriterReads * timeFor(writerReads_.at(now_, kFlowMemory)) * set_.nodes;
    const double spare = std::max(kWriterSpare, kFewNodes / set_.nodes) * count_[at(Role::kDecode)];
    if (best == nullptr || !set_.decodeCanPrefill || all > scaled(kFlowMemory, spare))
      return false;
    if (now_ + scaled(timeFor(best->readTokens + r.arrival.promptTokens), kWriterReads) >
        r.objectiveAt)
      return false;
    letGo(r);
    book(r, *best);
    if (sendTo(r, *best, Phase::kWriting))
      countSend(*best);
    writerReads_.add(r.arrival.promptTokens, now_, kFlowMemory);
    return true;
  }

  // Guards against a jam that many nodes keep up with a few reads each. Who cannot know each
  // prefill instance reads little more than was read in time at any, and its part of some trials
  // that show the jam's end.
  bool throttled(const RequestRecord& r) const {
    const double tried = reads_.at(now_, kJamMemory),
                 known = kKnownReads * count_[at(Role::kPrefill)];
    const double allowed =
        kJamTimes * timely_.at(now_, kJamMemory) + std::max(1.0, known / set_.nodes);
    return tried < known && stableDraw(r.arrival.request.value, "throttle") * tried > allowed;
  }

  void startRead(RequestRecord& r) {
    Instance* reader = chooseReader(r);
    const bool late = reader != nullptr && worthless(r, *reader);
    const bool slow =
        reader == nullptr || readTime(r, *reader) > scaled(r.objectiveAt - now_, kLongRead);
    if ((late || slow) && readAtWriter(r))
      return;
    if (reader == nullptr || late || throttled(r))
      return reader == nullptr ? void() : finish(r);
    letGo(r);
    r.reader = reader;
    if (reader->role == Role::kMixed)
      book(r, *reader);
    if (!sendTo(r, *reader, reader->role == Role::kMixed ? Phase::kWriting : Phase::kReading))
      return;
    countSend(*reader);
    if (reader->role == Role::kPrefill)
      askPlace(r);
  }

  // A prompt needs the memory of a kind that reads it and of one that writes its answer.
  bool tooBig(const RequestRecord& r) const {
    bool read = false, written = false;
    for (const KindSettings& kind : set_.kinds) {
      if (r.arrival.promptTokens > kind.memoryTokens)
        continue;
      read = read || kind.role != Role::kDecode || set_.decodeCanPrefill;
      written = written || kind.role != Role::kPrefill;
    }
    return !read || !written;
  }

  // What cannot be answered any more is told so while a retry elsewhere may help, in the last pulse
  // at latest.
  bool hopeless(const RequestRecord& r) const {
    const Duration least = r.phase == Phase::kRead ? usual(Role::kDecode)
                                                   : usual(Role::kPrefill) + usual(Role::kDecode);
    return r.deadline - now_ < std::max(least, Duration(kPulse + 2 * set_.tick));
  }

  // ---- 6 Deadlines and further attempts
  // ------------------------------------------------------------

  // Leaves time for another attempt and no more: a time-out in a jam only reads the prompt twice.
  Time patience(const RequestRecord& r, const Instance& e) const {
    const bool last = static_cast<int>(r.attempts.size()) + 1 >= set_.limits.maxAttempts;
    if (last || (classOf(r).effect == Effect::kAtMostOnce && e.role != Role::kPrefill))
      return r.deadline;
    return now_ + scaled(r.deadline - now_, kSpareShare);
  }

  // What an instance swallows is overtaken: by others sent later, well ahead for their size. Jams
  // hold all up.
  void overtake(const AttemptRecord& by, Duration took) {
    for (auto& [id, r] : requests_) {
      if (r.phase != Phase::kReading && r.phase != Phase::kWriting)
        continue;
      AttemptRecord& a = r.attempts.back();
      if (!a.out || a.instance != by.instance || a.sentAt >= by.sentAt)
        continue;
      const double size = std::max(1.0, (a.tokens + 1) / (by.tokens + 1));
      if (now_ - a.sentAt > scaled(took, size * kOvertakenTimes))
        ++a.overtaken;
    }
  }

  bool anotherFor(const RequestRecord& r, const Instance& e) const {
    for (const auto& [id, x] : instances_)
      if (&x != &e && (x.role == Role::kPrefill) == (e.role == Role::kPrefill) && eligible(r, x))
        return true;
    return false;
  }

  // Calls off what waits at a silent instance, or was swallowed, while another could take it.
  void rescue(RequestRecord& r) {
    AttemptRecord& a = r.attempts.back();
    if (!set_.limits.cancel || retries_ < 1 || !a.out || a.calledOff)
      return;
    if (a.writes && classOf(r).effect == Effect::kAtMostOnce)
      return;  // a read has no effect
    const bool longOut = now_ - a.sentAt >= scaled(r.objectiveAt - r.arrivedAt, kSilentAims);
    const bool swallowed = a.overtaken >= kOvertaken && (longOut || !a.writes);
    if ((!swallowed && !(longOut && silent(*a.instance))) || !anotherFor(r, *a.instance))
      return;
    a.calledOff = true;
    noteBad(*a.instance, a.sentAt, "silent", false);
    emit(CancelAttempt{r.arrival.request, static_cast<int>(r.attempts.size()) - 1});
  }

  static bool sameGroup(const EndpointRecord& a, const EndpointRecord& b, DedupScope dedupScope) {
    return dedupScope == DedupScope::kAll ||
           (dedupScope == DedupScope::kZone ? a.zone == b.zone : a.cell == b.cell);
  }

  // Until when what may have run may go out again, as repeats of it do no harm or are discarded.
  Time repeatsUntil(const RequestRecord& r) const {
    const AttemptRecord* first = r.mayHaveRun();
    if (first == nullptr || classOf(r).effect == Effect::kIdempotent)
      return Time::max();
    return classOf(r).effect == Effect::kDeduplicated ? first->sentAt + classOf(r).dedupWindow
                                                      : now_;
  }

  // Guards rule two for sends: of a keyed class, all that may have run is in the group of the first
  // of it.
  bool effectAllows(const RequestRecord& r, const Instance& e) const {
    const AttemptRecord* first =
        classOf(r).effect == Effect::kDeduplicated ? r.mayHaveRun() : nullptr;
    const bool apart =
        first != nullptr && !sameGroup(first->instance->info, e.info, classOf(r).dedupScope);
    return now_ < repeatsUntil(r) && !apart;
  }

  // Guards rule two for refusals, which tell the client that a repeat is harmless.
  bool mayRefuse(const RequestRecord& r) const {
    const bool everywhere =
        classOf(r).effect == Effect::kDeduplicated && classOf(r).dedupScope == DedupScope::kAll;
    return everywhere || repeatsUntil(r) == Time::max();
  }

  // The one gate for sends: rules one (nothing after the end), two, three and the attempt limits.
  bool sendTo(RequestRecord& r, Instance& e, Phase next) {
    if (r.phase == Phase::kOver || r.phase == Phase::kStreaming || now_ >= r.deadline)
      return false;
    if (r.attemptOut() || static_cast<int>(r.attempts.size()) >= set_.limits.maxAttempts)
      return false;
    if ((e.toldOff && !(&e == r.place && placeUsable(r))) || !effectAllows(r, e))
      return false;
    const bool reads = next == Phase::kReading || (e.role == Role::kDecode && r.reader == nullptr);
    const double tokens = reads ? unread(r, e) : 0;
    e.readTokens += tokens;
    const Time before = repeatsUntil(r);
    r.attempts.push_back({&e, now_, e.role != Role::kPrefill, tokens, r.home == &e});
    r.phase = next;
    r.pinned =
        true;  // whatever the role: a mixed instance that times out may leave its own reading held
    if (e.out++ == 0)
      e.quietSince = now_;
    emit(DispatchAttempt{r.arrival.request, e.info.instance, patience(r, e), before});
    return true;
  }

  // After a failure: another instance, within the attempts, the time and the budget that cannot
  // feed a jam.
  void again(RequestRecord& r, Instance& failed, bool stateLives) {
    r.avoid.insert(failed.info.instance);
    r.offeredAt.clear();
    const bool spent =
        static_cast<int>(r.attempts.size()) + (stateLives ? 1 : 2) > set_.limits.maxAttempts;
    if (spent || retries_ < 1 || hopeless(r) || now_ >= repeatsUntil(r))
      return finish(r);
    retries_ -= 1;
    unbook(r);
    if (stateLives)
      return startWrite(r);
    letGo(r);
    r.phase = Phase::kWaiting;
    startRead(r);
  }

  // ---- 7 Release
  // -----------------------------------------------------------------------------------

  // Guards rule five: whatever may be held for it anywhere is let go.
  void letGo(RequestRecord& r) {
    if (r.pinned)
      emit(ReleaseState{r.arrival.request});
    r.pinned = false;
    r.place = r.reader = nullptr;
    unbook(r);
  }

  void callOff(const RequestRecord& r) {
    if (set_.limits.cancel && r.attemptOut())
      emit(CancelAttempt{r.arrival.request, static_cast<int>(r.attempts.size()) - 1});
  }

  // The one gate for endings: one final answer, nothing after it, nothing left out or held.
  void finish(RequestRecord& r) {
    if (r.phase == Phase::kOver)
      return;
    callOff(r);
    letGo(r);  // first, as a refusal says that nothing is under way anywhere
    const Duration advice = scaled(set_.limits.maxRetryAfter, kAdvice);
    if (!mayRefuse(r))
      emit(FailRequest{r.arrival.request});
    else
      emit(RejectRequest{r.arrival.request,
                         set_.limits.retryAfter ? std::optional(advice) : std::nullopt});
    close(r);
  }

  void close(RequestRecord& r) {  // a read still out may yet leave a state: it stays known
    r.phase = Phase::kOver;
    letGo(r);
  }

  void forgetIfDone(const RequestId& id) {
    const RequestRecord* r = held(id);
    if (r != nullptr && r->phase == Phase::kOver && !r->attemptOut())
      requests_.erase(id);
  }

  // ---- 8 Event handlers
  // ----------------------------------------------------------------------------

  void emit(Action act) { act_->push_back(std::move(act)); }

  void say(std::string text) { emit(LogMessage{std::move(text)}); }

  void start() {
    std::tie(started_, startedAt_) = std::pair(true, now_);
    if (problem_)
      say("unusable settings: " + *problem_);
    if (set_.discovery == Discovery::kPoll)
      emit(SubscribeEndpoints{});
  }

  void on(const EndpointListUpdate& news) {
    if (news.form == EndpointListForm::kFailed)
      return void(askAgainAt_ = now_ + kAskPause);
    if (news.form != EndpointListForm::kChanges)  // a whole list; what it names is taken back in
      for (auto& [id, e] : instances_)
        tellOff(e, EndpointState::kRemoved);
    for (const EndpointRecord& entry : news.entries)
      take(entry);
    forgetGone();
    plan();
  }

  void tellOff(Instance& e, EndpointState state) {
    if (!e.toldOff)
      e.toldOff = now_;
    e.info.state = state;
  }

  // What has been gone for longer than a new one is cold, unless a request still names it.
  void forgetGone() {
    std::erase_if(instances_, [this](const auto& entry) {
      const Instance& e = entry.second;
      const bool gone = e.toldOff && e.info.state == EndpointState::kRemoved;
      if (!gone || now_ - *e.toldOff <= set_.contract.warmupDuration)
        return false;
      return std::none_of(requests_.begin(), requests_.end(),
                          [&e](const auto& request) { return request.second.refersTo(e); });
    });
  }

  void take(const EndpointRecord& entry) {
    if (entry.kind.value >= set_.kinds.size())
      return;
    auto [it, fresh] = instances_.try_emplace(entry.instance);
    Instance& e = it->second;
    const bool restarted = !fresh && entry.started && entry.started != e.info.started;
    e.info = entry;
    e.info.weight = std::max(0.0, entry.weight);
    e.role = set_.kinds[entry.kind.value].role;
    for (int i = 0; fresh && i < kNewIsGood; ++i)
      e.fails.add(0);
    if (fresh || restarted)
      e.slowStart.reset(stableHash(salt_, entry.instance.value), set_.nodes, now_);
    if (restarted)
      trust(e);
    if (entry.state == EndpointState::kActive)
      e.toldOff.reset();
    else
      tellOff(e, entry.state);
  }

  void on(const Arrival& arrival) {
    if (problem_ || arrival.cls.value >= set_.classes.size())
      return emit(FailRequest{arrival.request});
    auto [it, fresh] = requests_.try_emplace(arrival.request);
    if (!fresh)
      return;
    RequestRecord& r = it->second;
    r.arrival = arrival;
    r.arrivedAt = now_;
    r.deadline = now_ + arrival.timeLeft;
    // Whoever asks for the rest had its first token: the mean pace counts, and a refusal loses it
    // all.
    r.objectiveAt = now_ + classOf(r).latencyObjective +
                    scaled(classOf(r).latencyObjectivePer1000, arrival.promptTokens / 1000);
    if (arrival.resumed)
      r.objectiveAt = r.deadline;
    popularity_.count(keyOf(r), now_);
    const double seen = kRetryShare * popularity_.arrivals(now_) + 1;
    retries_ = std::min({kRetryBurst, retries_ + kRetryShare, seen});
    if (tooBig(r) || hopeless(r))
      finish(r);
    forgetIfDone(arrival.request);
  }

  void on(const StreamOpened& opened) {
    RequestRecord* r = held(opened.request);
    AttemptRecord* a = r == nullptr ? nullptr : r->attempt(opened.attempt);
    if (a == nullptr)
      return;
    signOfLife(*a, opened.took, a->out && a->tokens <= 0);
    noteGood(*a->instance, a->sentAt);
    overtake(*a, opened.took);
    a->instance->readTokens -= std::exchange(a->tokens, 0);
    if (r->phase == Phase::kOver)
      return;
    std::tie(r->phase, r->openedAt, r->pinned) = std::tuple(Phase::kStreaming, now_, false);
    book(*r, *a->instance);
  }

  void on(const ReservationResult& note) {
    RequestRecord* r = held(note.request);
    if (r == nullptr || r->place == nullptr || r->place->info.instance != note.instance ||
        note.granted)
      return;
    r->place->fullUntil =
        now_ + scaled(shortestAim(), kFullAims);  // no slot or memory, or some wait already
    r->place = nullptr;
    if (r->phase != Phase::kReading)
      return;
    unbook(*r);
    if (++r->placesRefused < kPlaceTries)
      askPlace(*r);
  }

  void on(const StreamAdopted& stream) {
    const auto e = instances_.find(stream.instance);
    if (e == instances_.end())
      return;
    RequestRecord& r = requests_[stream.arrival.request];
    r.arrival = stream.arrival;
    r.openedAt = r.arrivedAt = r.deadline = r.objectiveAt = now_;
    r.phase = Phase::kStreaming;
    r.attempts.assign(1, {&e->second, now_, true, 0, false});
    book(r, e->second);
  }

  void on(const AttemptEnded& ended) {
    RequestRecord* r = held(ended.request);
    AttemptRecord* a = r == nullptr ? nullptr : r->attempt(ended.attempt);
    if (a == nullptr || !a->out)
      return;
    Instance& e = *a->instance;
    if (!r->openedAt)
      signOfLife(*a, ended.took, ended.outcome == AttemptOutcome::kPrefilled);
    a->out = false;
    if (ended.outcome == AttemptOutcome::kPrefilled)
      overtake(*a, ended.took);
    e.readTokens -= a->tokens;
    judge(*r, *a, ended);
    settle(*r, e, ended);
    forgetIfDone(ended.request);
  }

  void judge(RequestRecord& r, AttemptRecord& a, const AttemptEnded& ended) {
    Instance& e = *a.instance;
    const AttemptOutcome outcome = ended.outcome;
    if (outcome == AttemptOutcome::kPrefilled)
      learnRead(r, a, ended);
    // What is not read in time waited at least so long: a jam is known by what it does not answer.
    const bool late = outcome == AttemptOutcome::kTimeout || outcome == AttemptOutcome::kCancelled;
    if (a.tokens > 0 && late && a.overtaken < kOvertaken)
      noteWait(e, ended.took);
    const bool shows = a.tokens > 0 && (late || outcome == AttemptOutcome::kPrefilled ||
                                        outcome == AttemptOutcome::kRejected);
    reads_.add(shows ? 1 : 0, now_, kJamMemory);
    timely_.add(shows && outcome == AttemptOutcome::kPrefilled && now_ < r.objectiveAt ? 1 : 0,
                now_, kJamMemory);
    if (outcome == AttemptOutcome::kPrefilled)
      noteGood(e, a.sentAt);
    if (outcome == AttemptOutcome::kError)
      noteBad(e, a.sentAt, "errors", false);
    if (outcome == AttemptOutcome::kTimeout)
      noteBad(e, a.sentAt, "no answers", false);
    if (outcome == AttemptOutcome::kConnectFailed)
      noteBad(e, a.sentAt, "no connection", true);
    // One stream that breaks is no sign of the next: an instance that is gone refuses the next
    // connection.
    if (outcome == AttemptOutcome::kConnectionLost && !a.calledOff)
      noteBad(e, a.sentAt, "lost connections", false);
    a.harmless = provesNotExecuted(outcome, ended.doubtful);
  }

  void settle(RequestRecord& r, Instance& e, const AttemptEnded& ended) {
    if (r.phase == Phase::kOver || ended.concluded) {
      // A release skips what an attempt still waits for, so each late outcome brings another.
      r.pinned = !r.openedAt;
      return close(r);
    }
    const bool sent = ended.outcome != AttemptOutcome::kConnectFailed &&
                      ended.outcome != AttemptOutcome::kNotSent;
    if (sent)
      r.readAt = now_;  // what never came up was no send: the state's time goes on
    if (ended.outcome == AttemptOutcome::kPrefilled) {
      r.reader = &e;
      return startWrite(r);
    }
    if (now_ >= r.deadline)
      return finish(r);
    const bool wrote = r.phase == Phase::kWriting && e.role == Role::kDecode && r.reader != nullptr;
    const Time tried = now_ + set_.limits.connectTimeout;  // if the next never comes up either
    again(r, e,
          wrote && !ended.kvCacheLost && (sent || tried - r.readAt < set_.contract.releaseLimit));
  }

  void learnRead(const RequestRecord& r, const AttemptRecord& a, const AttemptEnded& ended) {
    Instance& e = *a.instance;
    kept_[a.home ? 1 : 0].add(
        std::clamp(ended.cachedTokens / std::max(1.0, r.arrival.promptTokens), 0.0, 1.0));
    const double done = std::max(1.0, r.arrival.promptTokens - ended.cachedTokens);
    lastRead_ = now_;
    readRate_ =
        std::max(readRate_ * kRateKept,
                 done / static_cast<double>(std::max<Duration::rep>(1, ended.took.count())));
    noteWait(e, std::max(Duration::zero(), ended.took - timeFor(done)));
  }

  void signOfLife(AttemptRecord& a, Duration took, bool counts) {
    Instance& e = *a.instance;
    if (counts)
      answer_[at(e.role)].add(static_cast<double>(took.count()), now_);
    std::tie(e.quietSince, e.out) = std::pair(now_, std::max(0, e.out - 1));
  }

  void on(const HealthCheckEnded&) {}  // none is asked for

  void on(const PeerMessage&) {}  // nodes share nothing

  void on(const TimerFired&) { pulseSet_ = false; }

  void on(const ShutdownStarted& stopping) {
    std::tie(stopsAt_, grace_) = std::pair(stopsAt_.value_or(now_), stopping.grace);
  }

  void on(const RequestAbandoned& lapsed) {
    RequestRecord* r = held(lapsed.request);
    if (r == nullptr || r->phase == Phase::kOver)
      return;
    callOff(*r);
    close(*r);
    forgetIfDone(lapsed.request);
  }

  RequestRecord* held(const RequestId& id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
  }

  // Work that waits: states first, for they pin memory; then by worth and by the order of their
  // ends.
  void pump() {
    std::vector<std::tuple<bool, double, Time, RequestId>> work;
    for (auto& [id, r] : requests_) {
      if (r.phase == Phase::kReading || r.phase == Phase::kWriting)
        rescue(r);
      if (r.phase == Phase::kWaiting || r.phase == Phase::kRead)
        work.emplace_back(r.phase == Phase::kWaiting, -classOf(r).priorityWeight, r.deadline, id);
    }
    std::sort(work.begin(), work.end());
    for (const auto& [fresh, worth, deadline, id] : work) {
      advance(requests_.at(id));
      forgetIfDone(id);
    }
  }

  // A node that ends moves its streams over the end of its grace, the longest first: a kill moves
  // all.
  void handOver() {
    const double passed = ratio(now_ - *stopsAt_, grace_);
    std::vector<std::tuple<double, Time, RequestId>> streams;
    std::vector<RequestId> owed;
    for (const auto& [id, r] : requests_) {
      if (r.phase < Phase::kStreaming && passed >= kLastCall)
        owed.push_back(id);
      if (r.phase == Phase::kStreaming && !r.attempts.back().calledOff)
        streams.emplace_back(r.arrival.maxTokens, *r.openedAt, id);
    }
    for (const RequestId& id : owed) {
      finish(requests_.at(id));
      forgetIfDone(id);
    }
    if (!set_.streamResumption || passed < kHandOverFrom)
      return;
    mostStreams_ = std::max(mostStreams_, streams.size());
    const double left = std::max(0.0, (kHandOverTo - passed) / (kHandOverTo - kHandOverFrom));
    const auto stay = static_cast<std::size_t>(left * static_cast<double>(mostStreams_));
    std::sort(streams.rbegin(), streams.rend());
    for (std::size_t i = 0; i + stay < streams.size(); ++i) {
      RequestRecord& r = requests_.at(std::get<RequestId>(streams[i]));
      r.attempts.back().calledOff = true;
      emit(MigrateStream{r.arrival.request});
    }
  }

  void advance(RequestRecord& r) {
    if (hopeless(r))
      return finish(r);
    if (r.phase == Phase::kRead) {
      startWrite(r);
      if (r.phase != Phase::kRead ||
          now_ - r.readAt < scaled(set_.contract.releaseLimit, kHoldShare))
        return;
      letGo(r);
      r.phase = Phase::kWaiting;
      if (static_cast<int>(r.attempts.size()) + 2 > set_.limits.maxAttempts)
        return finish(r);
    }
    if (now_ + usual(Role::kPrefill) > r.objectiveAt)
      return finish(r);
    if (!everyWriterFull())
      startRead(r);
  }

  void keepPulse() {
    if (askAgainAt_ && now_ >= *askAgainAt_) {
      emit(SubscribeEndpoints{});
      askAgainAt_.reset();
    }
    const bool open = (stopsAt_ && !requests_.empty()) ||
                      std::any_of(requests_.begin(), requests_.end(), [](const auto& entry) {
                        return entry.second.phase < Phase::kStreaming;
                      });
    if (pulseSet_ || (!open && !askAgainAt_))
      return;
    pulseSet_ = true;
    emit(SetTimer{++alarms_, open ? Duration(kPulse) : Duration(kAskPause)});
  }

  Settings set_;
  std::optional<std::string> problem_;
  std::string salt_;
  FadingAverage kept_[2];    // share of a prompt found kept: elsewhere, at its home
  FadingAverage answer_[3];  // by role, microseconds to the end of a read or the first token
  std::map<InstanceId, Instance> instances_;
  std::map<CellIndex, CellPlan> cells_;
  KeyPopularity popularity_{kFlowMemory};
  double readRate_ = 0;  // unread tokens a microsecond where nothing waits
  double held_ = 0, streams_ = 0,
         retries_ = kRetryBurst;        // own answers' tokens, and how many; spare retries
  DecayingSum sends_[3], writerReads_;  // sends by role; tokens sent to be read by decode instances
  DecayingSum reads_, timely_;          // reads that ended, and those of them in time
  std::array<double, 3> weight_{}, mostWeight_{},
      count_{};  // by role: listed, the most ever, how many
  std::map<RequestId, RequestRecord> requests_;
  std::optional<Time> askAgainAt_, stopsAt_;
  Duration grace_{};
  std::uint64_t alarms_ = 0, mostStreams_ = 0;  // seen since they began to move
  bool pulseSet_ = false, started_ = false;
  Time now_{}, lastRead_{}, startedAt_{};
  std::vector<Action>* act_ = nullptr;
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
