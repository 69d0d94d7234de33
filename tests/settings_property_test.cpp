// Days on drawn settings: whatever roles, sizes, effects and limits a deployment has, the five rules hold,
// and no less is served than by the plainest policy, which sends to any instance that fits and tries nothing
// again. A small queue model stands for the instances. All draws come from the seed of a day.
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "support/rule_book.h"

namespace leverrelay {
namespace {

using Draw = std::mt19937_64;
using Policy = std::function<void(Time, const Event&, std::vector<Action>&)>;

double in(Draw& draw, double from, double to) { return std::uniform_real_distribution<>(from, to)(draw); }
int oneOf(Draw& draw, int from, int to) { return std::uniform_int_distribution<>(from, to)(draw); }
bool chance(Draw& draw, double p) { return in(draw, 0, 1) < p; }
Duration span(double seconds) { return Duration(std::llround(seconds * 1e6)); }
double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

struct Sizes {
  int slots, queue;
  double readRate;  // tokens a second
};

struct Asked {
  double at;
  int node;
  Arrival told;
  double answer;  // tokens
  bool leaves;    // its client, before the end of its time
};

struct Change {  // of one instance
  enum What { kForgets, kLeaves, kEnds, kStarts, kCut, kBack } what;
  double at;
  std::size_t box;
};

// Everything that is so whoever decides: a deployment, what is asked of it, and what goes wrong.
struct DrawnDay {
  static constexpr double kLength = 9;

  explicit DrawnDay(std::uint64_t seed) : draw(seed) {
    drawSettings();
    drawFleet();
    drawTraffic();
    drawTroubles();
  }

  void drawSettings() {
    set.contract = {.drainGrace = span(0.05 * std::pow(30, in(draw, 0, 1))),
                    .answerGrace = 8ms,
                    .askWithin = 10s,
                    .coldFrom = in(draw, 0.25, 0.5),
                    .coldFor = span(in(draw, 3, 13)),
                    .fallFactor = in(draw, 2.2, 3.5),
                    .fallFor = span(in(draw, 0.7, 3)),
                    .releaseWithin = span(in(draw, 0.08, 0.5))};
    set.limits = {.cancel = chance(draw, 0.8),
                  .peers = false,
                  .probing = chance(draw, 0.5),
                  .secondCopies = false,
                  .retryAfter = chance(draw, 0.5),
                  .maxAttempts = oneOf(draw, 3, 6),
                  .maxRetryAfter = span(in(draw, 0.5, 2)),
                  .dialTimeout = std::min(span(in(draw, 0.1, 0.3)), set.contract.releaseWithin * 3 / 4)};
    set.discovery = Discovery::kPush;
    set.placesAhead = chance(draw, 0.7);
    set.writersRead = chance(draw, 0.4);
    set.nodes = oneOf(draw, 1, 4);
    set.tick = 2ms;
    for (int i = 0, n = oneOf(draw, 1, 3); i < n; ++i) {
      const double aim = in(draw, 0.8, 3);
      set.classes.push_back({.effect = static_cast<Effect>(oneOf(draw, 0, 2)),
                             .group = static_cast<Group>(oneOf(draw, 0, 2)),
                             .dedupWindow = span(in(draw, 0.3, 3)),
                             .aim = span(aim),
                             .aimPer1000 = span(in(draw, 0.02, 0.08)),
                             .tokenAim = span(in(draw, 0.04, 0.1)),
                             .deadline = span(aim * in(draw, 2.5, 6)),
                             .lateShare = in(draw, 0.1, 0.35),
                             .worth = in(draw, 1, 4),
                             .stream = true});
    }
  }

  void drawFleet() {
    const bool mixed = chance(draw, 0.5);
    const int zones = oneOf(draw, 1, 3), writerKinds = oneOf(draw, 1, 2);
    const auto kind = [&](Role role, Sizes of, int count) {
      set.kinds.push_back({role, in(draw, 60'000, 250'000)});
      sizes.push_back(of);
      for (int i = 0; i < count; ++i) {
        const auto cell = static_cast<std::uint32_t>(oneOf(draw, 0, 2 * zones - 1));
        boxes.push_back(engine(numbered("e", static_cast<int>(boxes.size())),
                               static_cast<std::uint32_t>(set.kinds.size()) - 1, cell));
        boxes.back().zone = {cell / 2};
      }
    };
    kind(Role::kReader, {1, oneOf(draw, 12, 60), in(draw, 7'000, 22'000)}, oneOf(draw, 3, 6));
    for (int i = 0; i < writerKinds; ++i)
      kind(Role::kWriter, {oneOf(draw, 10, 60), oneOf(draw, 8, 40), in(draw, 5'000, 9'000)},
           oneOf(draw, 4 - writerKinds, 6 / writerKinds));
    if (mixed)
      kind(Role::kMixed, {oneOf(draw, 10, 40), oneOf(draw, 10, 40), in(draw, 7'000, 15'000)},
           oneOf(draw, 1, 3));
    if (chance(draw, 0.3)) std::swap(set.kinds.front(), set.kinds.back()), swapKinds();
  }
  // The order of kinds says nothing.
  void swapKinds() {
    std::swap(sizes.front(), sizes.back());
    const auto last = static_cast<std::uint32_t>(set.kinds.size()) - 1;
    for (ListEntry& box : boxes)
      box.kind.value = box.kind.value == 0 ? last : box.kind.value == last ? 0 : box.kind.value;
  }
  Role roleOf(std::size_t box) const { return set.kinds[boxes[box].kind.value].role; }

  void drawTraffic() {
    const double prompt = in(draw, 800, 6'000), shared = in(draw, 0.3, 0.8), answer = in(draw, 30, 120);
    const int prefixes = oneOf(draw, 2, 12);
    double gap = 0, reads = 0, writes = 0;
    for (const ClassSettings& cls : set.classes) gap += secondsOf(cls.tokenAim) / 2;
    gap /= static_cast<double>(set.classes.size());
    for (std::size_t i = 0; i < boxes.size(); ++i) {
      const Sizes& of = sizes[boxes[i].kind.value];
      if (roleOf(i) != Role::kWriter) reads += of.readRate / prompt / (1 - shared / 2);
      if (roleOf(i) != Role::kReader) writes += of.slots / (answer * gap);
    }
    const double rate = std::min(60.0, in(draw, 0.35, 0.85) * std::min(reads, writes));
    int asked = 0;
    for (double at = 0.1; at < kLength; at += std::exponential_distribution<>(rate)(draw)) {
      const auto cls = static_cast<std::uint32_t>(oneOf(draw, 0, static_cast<int>(set.classes.size()) - 1));
      const double tokens = prompt * in(draw, 0.5, 1.5);
      Arrival told{};
      told.request = {numbered("q", ++asked)};
      told.cls = {cls};
      told.session = numbered("s", oneOf(draw, 0, asked));
      told.prefix = numbered("p", oneOf(draw, 0, prefixes - 1));
      told.timeLeft = span(secondsOf(set.classes[cls].deadline) * in(draw, 0.5, 1));
      told.promptTokens = tokens;
      told.prefixTokens = tokens * shared;
      told.maxTokens = answer * 4;
      asks.push_back(
          {at, oneOf(draw, 0, set.nodes - 1), told, answer * in(draw, 0.4, 1.6), chance(draw, 0.02)});
    }
  }

  void drawTroubles() {
    for (std::size_t i = 0; i < boxes.size(); ++i)
      if (chance(draw, 0.6)) changes.push_back({Change::kForgets, kLength / 2, i});
    const auto cell =
        boxes[static_cast<std::size_t>(oneOf(draw, 0, static_cast<int>(boxes.size()) - 1))].cell;
    const double cut = in(draw, 1, kLength - 2), back = cut + in(draw, 0.5, 1.5);
    const bool writers = chance(draw, 0.4);  // all of them, or a cell
    for (std::size_t i = 0; i < boxes.size(); ++i) {
      if (writers ? roleOf(i) != Role::kWriter : boxes[i].cell != cell) continue;
      changes.push_back({Change::kCut, cut, i});
      changes.push_back({Change::kBack, back, i});
    }
    std::vector<std::size_t> order(boxes.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), draw);
    double at = in(draw, 0.8, 1.5);
    for (const std::size_t i : order) {
      changes.push_back({Change::kLeaves, at, i});
      changes.push_back({Change::kEnds, at + 2, i});
      changes.push_back({Change::kStarts, at + 2.4, i});
      at += in(draw, 1.6, 2.8);  // a few at a time, as anywhere
      if (at > kLength - 2) break;
    }
  }

  Draw draw;
  Settings set{};
  std::vector<Sizes> sizes;  // by kind
  std::vector<ListEntry> boxes;
  std::vector<Asked> asks;
  std::vector<Change> changes;
};

// Any instance that fits, and what does not end well there is over.
class Plainest {
 public:
  Plainest(const Settings& settings, std::uint64_t seed) : set_(settings), draw_(seed) {}
  void operator()(Time now, const Event& event, std::vector<Action>& actions) {
    if (const auto* news = std::get_if<ListNews>(&event))
      for (const ListEntry& entry : news->entries) fleet_[entry.engine] = entry;
    if (const auto* told = std::get_if<Arrival>(&event)) {
      const Waiting& w = waiting_[told->request] = {told->cls, now + told->timeLeft};
      send(told->request, w, Role::kReader, actions);
    }
    if (const auto* lapsed = std::get_if<Lapsed>(&event)) actions.push_back(Release{lapsed->request});
    const auto* ended = std::get_if<AttemptEnded>(&event);
    if (ended == nullptr || ended->outcome == Outcome::kServed) return;
    const Waiting& w = waiting_.at(ended->request);
    if (ended->outcome == Outcome::kRead && !ended->concluded)
      return send(ended->request, w, Role::kWriter, actions);
    actions.push_back(Release{ended->request});
    if (!ended->concluded) actions.push_back(Fail{ended->request});
  }

 private:
  struct Waiting {
    ClassIndex cls;
    Time deadline;
  };
  void send(const RequestId& id, const Waiting& w, Role role, std::vector<Action>& actions) {
    std::vector<EngineId> fit;
    for (const auto& [engine, entry] : fleet_) {
      const Role its = set_.kinds[entry.kind.value].role;
      if (entry.presence == Presence::kActive && (its == role || its == Role::kMixed)) fit.push_back(engine);
    }
    if (fit.empty()) return void((actions.push_back(Release{id}), actions.push_back(Fail{id})));
    const auto n = static_cast<std::size_t>(oneOf(draw_, 0, static_cast<int>(fit.size()) - 1));
    actions.push_back(Send{id, fit[n], w.deadline});
  }

  Settings set_;
  Draw draw_;
  std::map<EngineId, ListEntry> fleet_;
  std::map<RequestId, Waiting> waiting_;
};

// One conductor: what decides, and what may be seen of it.
class Node : public RuleBook {
 public:
  Node(const Settings& settings, Policy policy, bool checked)
      : RuleBook(settings), policy_(std::move(policy)), checked_(checked) {}

  std::vector<Action> give(Time now, const Event& event) {
    now_ = now;
    std::vector<Action> actions;
    if (const auto* told = std::get_if<Arrival>(&event)) arrived(told->request, told->cls, told->timeLeft);
    if (const auto* opens = std::get_if<StreamOpened>(&event)) opened(held_.at(opens->request));
    if (const auto* lapsed = std::get_if<Lapsed>(&event)) held_.at(lapsed->request).over = true;
    if (const auto* news = std::get_if<ListNews>(&event))
      for (const ListEntry& entry : news->entries) list(entry);
    if (const auto* end = std::get_if<AttemptEnded>(&event)) {
      AttemptEnded whole = *end;
      whole.concluded = ended(held_.at(end->request), end->attempt, end->outcome).second;
      policy_(now, whole, actions);
    } else {
      policy_(now, event, actions);
    }
    for (const Action& action : actions) std::visit([this](const auto& act) { see(act); }, action);
    return actions;
  }
  void look(Time now) {
    now_ = now;
    if (checked_) checkStanding();
  }
  bool waits(const RequestId& id) const {
    const auto it = held_.find(id);
    return it != held_.end() && !it->second.over;
  }

 private:
  template <class Act>
  void see(const Act& act) {
    if (checked_) return RuleBook::see(act);
    if constexpr (std::is_same_v<Act, Send>) held_.at(act.request).out[held_.at(act.request).sent++] = {};
    if constexpr (std::is_same_v<Act, Fail>) held_.at(act.request).over = true;
  }

  Policy policy_;
  bool checked_;
};

// A day as one policy plays it. Ways take a millisecond; queues, reads, moves and streams take what they
// take.
class Play {
 public:
  Play(const DrawnDay& day, const std::function<Policy(int)>& policy, bool checked) : day_(day) {
    for (int n = 0; n < day.set.nodes; ++n) {
      Settings own = day.set;
      own.me = n;
      own.zone = day.boxes[static_cast<std::size_t>(n)].zone;  // any that has instances
      nodes_.push_back(std::make_unique<Node>(own, policy(n), checked));
    }
    for (const ListEntry& entry : day.boxes) {
      number_[entry.engine] = boxes_.size();
      boxes_.emplace_back();
      boxes_.back().entry = entry;
      boxes_.back().size = &day.sizes[entry.kind.value];
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) give(n, ListNews{1, ListForm::kFull, day.boxes});
    for (const Asked& asked : day.asks) at(asked.at, [this, &asked] { arrive(asked); });
    Draw late(day.asks.size());
    for (const Change& change : day.changes) {
      at(change.at, [this, change] { happen(change); });
      if (change.what != Change::kLeaves && change.what != Change::kStarts) continue;
      for (std::size_t n = 0; n < nodes_.size(); ++n)
        at(change.at + in(late, 0.05, 1.5), [this, change, n] { tell(change, n); });
    }
    if (checked) look();
    while (!steps_.empty() && !::testing::Test::HasFailure()) {
      const Step step = steps_.top();
      steps_.pop();
      now_ = step.at;
      step.what();
    }
    for (const auto& node : nodes_) node->look(now_ + 1s);  // nothing is left open
  }

  double served() const {  // share of the worth that was asked for
    double got = 0, all = 0;
    for (const Asked& asked : day_.asks) {
      const ClassSettings& cls = day_.set.classes[asked.told.cls.value];
      const Duration aim = cls.aim + span(secondsOf(cls.aimPer1000) * asked.told.promptTokens / 1000);
      const Ask& ask = asks_.at(asked.told.request);
      all += cls.worth;
      if (ask.served) got += cls.worth * (ask.first - start(asked.at) <= aim ? 1 : cls.lateShare);
    }
    return got / all;
  }

  // The most sends to a cold instance in any window beyond what it may get.
  double mostOver() const {
    const Contract& contract = day_.set.contract;
    const double window = secondsOf(contract.fallFor);
    double most = -HUGE_VAL;
    for (const Box& box : boxes_)
      for (std::size_t i = 0; i < box.cold.size(); ++i) {
        std::size_t count = 0;
        while (i + count < box.cold.size() && box.cold[i + count] - box.cold[i] < contract.fallFor) ++count;
        const double share =
            std::clamp(secondsOf(box.cold[i] - *box.entry.started) / secondsOf(contract.coldFor),
                       contract.coldFrom, 1.0);
        const double n = contract.fallFactor * share * capacity(box) * window;
        most = std::max(most, static_cast<double>(count) - (n + 2 * std::sqrt(n) + 2));
      }
    return most;
  }

 private:
  struct Box {
    ListEntry entry;
    const Sizes* size = nullptr;
    bool reached = true, takes = true;
    std::set<std::string> kept;
    std::deque<int> waiting;  // jobs
    int busy = 0;             // slots, places held among them
    double tokens = 0;        // held by them
    std::vector<Time> cold;   // sends to it while it was cold
  };
  struct Ask {
    const Asked* asked;
    Box *state = nullptr, *place = nullptr;
    bool served = false;
    Time first{};
  };
  struct Job {  // an attempt that is out
    Ask* ask;
    Box* box;
    int n;
    Time sentAt;
    bool begun = false, streams = false;
  };
  struct Step {
    Time at;
    int order;
    std::function<void()> what;
    bool operator<(const Step& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static Time start(double seconds) { return Time(5s) + span(seconds); }
  void at(double seconds, std::function<void()> what) {
    steps_.push({start(seconds), ++order_, std::move(what)});
  }
  void after(Duration wait, std::function<void()> what) {
    steps_.push({now_ + wait, ++order_, std::move(what)});
  }
  void later(double seconds, int job, void (Play::*what)(int)) {
    after(span(seconds), [this, job, what] {
      if (jobs_.count(job) != 0) (this->*what)(job);
    });
  }
  Role roleOf(const Box& box) const { return day_.set.kinds[box.entry.kind.value].role; }
  Box& boxOf(const EngineId& id) { return boxes_[number_.at(id)]; }
  const Arrival& told(const Job& job) const { return job.ask->asked->told; }
  bool isCold(const Box& box) const {
    return box.entry.started && now_ - *box.entry.started < day_.set.contract.coldFor;
  }
  double warmth(const Box& box) const {
    if (!isCold(box)) return 1;
    return std::max(day_.set.contract.coldFrom,
                    secondsOf(now_ - *box.entry.started) / secondsOf(day_.set.contract.coldFor));
  }
  double capacity(const Box& box) const {  // requests a second, when warm
    const double reads =
        box.size->readRate * static_cast<double>(std::max(1, reads_)) / std::max(1.0, unread_);
    const double writes = box.size->slots / std::max(0.1, streamed_ / std::max(1, streams_));
    return roleOf(box) == Role::kReader   ? reads
           : roleOf(box) == Role::kWriter ? writes
                                          : std::min(reads, writes);
  }

  void look() {
    for (const auto& node : nodes_) node->look(now_);
    if (now_ < start(DrawnDay::kLength + 1)) after(10ms, [this] { look(); });
  }
  void give(std::size_t node, const Event& event) {
    for (const Action& action : nodes_[node]->give(now_, event))
      std::visit([this, node](const auto& act) { carryOut(node, act); }, action);
  }
  template <class Act>
  void carryOut(std::size_t, const Act&) {}
  void carryOut(std::size_t node, const SetAlarm& alarm) {
    after(alarm.in, [this, node, n = alarm.alarm] { give(node, AlarmRang{n}); });
  }
  void carryOut(std::size_t, const Send& send) {
    Ask& ask = asks_.at(send.request);
    Box& box = boxOf(send.engine);
    const int job = ++order_;
    const int n = sent_[send.request]++;
    jobs_[job] = {&ask, &box, n, now_};
    if (isCold(box)) box.cold.push_back(now_);
    if (ask.place != nullptr && ask.place != &box && roleOf(box) != Role::kReader) giveUpPlace(ask);
    const Time until = std::min(send.until, start(ask.asked->at) + ask.asked->told.timeLeft);
    later(secondsOf(until - now_), job, &Play::timeOut);
    if (box.reached) later(0.001, job, &Play::reach);
    else later(secondsOf(day_.set.limits.dialTimeout), job, &Play::unreached);
  }
  void carryOut(std::size_t node, const HoldPlace& hold) {
    after(1ms, [this, node, hold] {
      Ask& ask = asks_.at(hold.request);
      Box& box = boxOf(hold.engine);
      giveUpPlace(ask);
      const bool held = box.reached && box.takes && box.waiting.empty() && fits(box, ask);
      if (held) take(box, ask), ask.place = &box;
      for (const auto& [number, job] : jobs_)
        if (job.ask == &ask && box.reached)
          return give(node, PlaceNote{hold.request, job.n, hold.engine, held});
      giveUpPlace(ask);  // its read has ended
    });
  }
  void carryOut(std::size_t, const Release& release) {
    after(1ms, [this, id = release.request] {
      Ask& ask = asks_.at(id);
      for (const auto& [number, job] : jobs_)
        if (job.ask == &ask) return;
      giveUpPlace(ask);
      ask.state = nullptr;
    });
  }
  void carryOut(std::size_t, const Cancel& cancel) {
    for (const auto& [number, job] : jobs_)
      if (told(job).request == cancel.request && job.n == cancel.attempt && !job.streams)
        return later(0, number, &Play::calledOff);
  }

  void arrive(const Asked& asked) {
    asks_[asked.told.request].asked = &asked;
    const auto node = static_cast<std::size_t>(asked.node);
    if (asked.leaves)
      after(asked.told.timeLeft / 3, [this, node, id = asked.told.request] {
        if (nodes_[node]->waits(id)) give(node, Lapsed{id});
      });
    give(node, asked.told);
  }

  // ---- What an instance does -------------------------------------------------------------------------

  double need(const Ask& ask) const { return ask.asked->told.promptTokens + ask.asked->answer; }
  bool fits(const Box& box, const Ask& ask) const {
    if (box.busy >= box.size->slots) return false;
    return roleOf(box) == Role::kReader || box.busy == 0 ||
           box.tokens + need(ask) <= day_.set.kinds[box.entry.kind.value].memoryTokens;
  }
  void take(Box& box, const Ask& ask) {
    ++box.busy;
    box.tokens += need(ask);
  }
  void leave(Box& box, const Ask& ask) {
    --box.busy;
    box.tokens -= need(ask);
    serve(box);
  }
  void giveUpPlace(Ask& ask) {
    if (ask.place != nullptr) leave(*std::exchange(ask.place, nullptr), ask);
  }
  void reach(int number) {
    Job& job = jobs_.at(number);
    Box& box = *job.box;
    if (!box.reached) return;  // silence
    if (job.ask->place == &box) {
      job.ask->place = nullptr;
      return begin(number);
    }
    const bool state = job.ask->state != nullptr && job.ask->state->reached;
    if (roleOf(box) == Role::kWriter && !state && !day_.set.writersRead)
      return end(number, Outcome::kFull, 0, true);
    if (!box.takes || static_cast<int>(box.waiting.size()) >= box.size->queue)
      return end(number, Outcome::kFull);
    box.waiting.push_back(number);
    serve(box);
  }
  void serve(Box& box) {
    while (!box.waiting.empty()) {
      const auto job = jobs_.find(box.waiting.front());
      if (job != jobs_.end() && !fits(box, *job->second.ask)) return;
      box.waiting.pop_front();
      if (job == jobs_.end()) continue;
      take(box, *job->second.ask);
      begin(job->first);
    }
  }
  double unreadAt(const Job& job) const {
    const bool kept = job.box->kept.count(told(job).prefix) != 0;
    return told(job).promptTokens - (kept ? told(job).prefixTokens : 0);
  }
  void begin(int number) {
    Job& job = jobs_.at(number);
    job.begun = true;
    const Box* from = job.ask->state;
    if (roleOf(*job.box) == Role::kReader || from == nullptr || !from->reached)
      return later(unreadAt(job) / (job.box->size->readRate * warmth(*job.box)), number, &Play::haveRead);
    const double perSecond = from == job.box                           ? 1e9
                             : from->entry.cell == job.box->entry.cell ? 300'000
                             : from->entry.zone == job.box->entry.zone ? 120'000
                                                                       : 50'000;
    later(told(job).promptTokens / perSecond, number, &Play::open);
  }
  void haveRead(int number) {
    Job& job = jobs_.at(number);
    const double unread = unreadAt(job);
    ++reads_;
    unread_ += unread;
    job.box->kept.insert(told(job).prefix);
    if (roleOf(*job.box) != Role::kReader) return open(number);
    job.ask->state = job.ask->place != nullptr ? job.ask->place : job.box;
    end(number, Outcome::kRead, told(job).promptTokens - unread);
  }
  void open(int number) {
    Job& job = jobs_.at(number);
    job.ask->state = nullptr;
    job.streams = true;
    job.ask->first = now_;
    const double gap = secondsOf(day_.set.classes[told(job).cls.value].tokenAim) / 2;
    ++streams_;
    streamed_ += job.ask->asked->answer * gap;
    later(job.ask->asked->answer * gap, number, &Play::whole);
    give(nodeOf(job), StreamOpened{told(job).request, job.n, job.box->entry.engine, now_ - job.sentAt});
  }
  std::size_t nodeOf(const Job& job) const { return static_cast<std::size_t>(job.ask->asked->node); }

  void whole(int number) {
    jobs_.at(number).ask->served = true;
    end(number, Outcome::kServed);
  }
  void unreached(int number) { end(number, Outcome::kNoConnection); }
  void calledOff(int number) { end(number, Outcome::kCancelled); }
  void timeOut(int number) {
    if (!jobs_.at(number).streams) end(number, Outcome::kTimeout);
  }
  void end(int number, Outcome outcome, double kept = 0, bool stateGone = false) {
    const Job job = jobs_.at(number);
    jobs_.erase(number);
    if (job.begun) leave(*job.box, *job.ask);
    give(nodeOf(job), AttemptEnded{told(job).request,
                                   job.n,
                                   job.box->entry.engine,
                                   outcome,
                                   now_ - job.sentAt,
                                   false,
                                   kept,
                                   stateGone,
                                   {}});
  }

  // ---- What goes wrong --------------------------------------------------------------------------------

  void happen(const Change& change) {
    Box& box = boxes_[change.box];
    if (change.what == Change::kForgets) box.kept.clear();
    if (change.what == Change::kCut || change.what == Change::kBack)
      box.reached = change.what == Change::kBack;
    if (change.what == Change::kLeaves) box.takes = false;
    if (change.what == Change::kStarts) {
      box.reached = box.takes = true;
      box.entry.started = now_;
    }
    if (change.what != Change::kEnds) return;
    box.reached = false;
    box.kept.clear();
    std::vector<int> lost;
    for (const auto& [number, job] : jobs_)
      if (job.box == &box && !job.streams) lost.push_back(number);  // it ends the streams that it has
    for (auto& [id, ask] : asks_) {
      if (ask.place == &box) giveUpPlace(ask);
      if (ask.state == &box) ask.state = nullptr;
    }
    for (const int number : lost) end(number, Outcome::kConnectionLost);
  }
  void tell(const Change& change, std::size_t node) {
    ListEntry entry = boxes_[change.box].entry;
    entry.presence = change.what == Change::kLeaves ? Presence::kLeaving : Presence::kActive;
    give(node, ListNews{++version_, ListForm::kChanges, {entry}});
  }

  const DrawnDay& day_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Box> boxes_;
  std::map<EngineId, std::size_t> number_;
  std::map<RequestId, Ask> asks_;
  std::map<RequestId, int> sent_;
  std::map<int, Job> jobs_;
  std::priority_queue<Step> steps_;
  Time now_{5s};
  std::uint64_t version_ = 1;
  int order_ = 0, reads_ = 0, streams_ = 0;
  double unread_ = 0, streamed_ = 0;
};

#ifdef __SANITIZE_ADDRESS__
constexpr int kDays = 16;  // of 0.2 s each
#else
constexpr int kDays = 100;
#endif

double mostByChance(std::size_t asks) {  // two standard deviations of a share of so many
  return 1 / std::sqrt(static_cast<double>(asks));
}

TEST(AnySettings, KeepTheRulesAndServeNoLessThanThePlainestPolicy) {
  double gained = 0;
  int compared = 0;
  for (std::uint64_t seed = 1; seed <= kDays && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const DrawnDay day(seed);
    const auto module = [&](int n) {
      const auto router = std::make_shared<Router>(day.set, seed * 10 + static_cast<std::uint64_t>(n));
      return [router](Time now, const Event& event, std::vector<Action>& actions) {
        router->handle(now, event, actions);
      };
    };
    const auto plainest = [&](int n) { return Plainest(day.set, seed * 10 + static_cast<std::uint64_t>(n)); };
    const Play ours(day, module, true), plain(day, plainest, false);
    EXPECT_LE(ours.mostOver(), 0) << "rule four";
    if (plain.mostOver() > 0) continue;  // it serves more, and breaks a rule for it
    ++compared;
    gained += ours.served() - plain.served();
    EXPECT_GE(ours.served(), plain.served() - mostByChance(day.asks.size()))
        << day.asks.size() << " requests";
  }
  EXPECT_GT(compared, kDays * 0.8);
  EXPECT_GT(gained / compared, 0.05);
}

}  // namespace
}  // namespace leverrelay
