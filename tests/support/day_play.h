// A drawn day as one policy plays it: a small queue model stands for the instances.
#pragma once

#include <deque>
#include <queue>
#include <set>

#include "support/day_policies.h"

namespace inference_router::routing {

// A day as one policy plays it. Ways take a millisecond; queues, reads, moves and streams take what
// they take.
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
    for (std::size_t n = 0; n < nodes_.size(); ++n)
      give(n, ListNews{1, ListForm::kFull, day.boxes});
    for (const Asked& asked : day.asks)
      at(asked.at, [this, &asked] { arrive(asked); });
    Draw late(day.asks.size());
    for (const Change& change : day.changes) {
      at(change.at, [this, change] { happen(change); });
      if (change.what != Change::kLeaves && change.what != Change::kStarts)
        continue;
      for (std::size_t n = 0; n < nodes_.size(); ++n)
        at(change.at + in(late, 0.05, 1.5), [this, change, n] { tell(change, n); });
    }
    if (checked)
      look();
    while (!steps_.empty() && !::testing::Test::HasFailure()) {
      const Step step = steps_.top();
      steps_.pop();
      now_ = step.at;
      step.what();
    }
    for (const auto& node : nodes_)
      node->look(now_ + 1s);  // nothing is left open
  }

  double served() const {  // share of the worth that was asked for
    double got = 0, all = 0;
    for (const Asked& asked : day_.asks) {
      const ClassSettings& cls = day_.set.classes[asked.told.cls.value];
      const Duration aim =
          cls.aim + span(secondsOf(cls.aimPer1000) * asked.told.promptTokens / 1000);
      const Ask& ask = asks_.at(asked.told.request);
      all += cls.worth;
      if (ask.served)
        got += cls.worth * (ask.first - start(asked.at) <= aim ? 1 : cls.lateShare);
    }
    return all > 0 ? got / all : 0;
  }

  std::size_t unanswered() const {
    return static_cast<std::size_t>(
        std::count_if(asks_.begin(), asks_.end(), [this](const auto& entry) {
          return nodes_[static_cast<std::size_t>(entry.second.asked->node)]->waits(entry.first);
        }));
  }
  std::size_t attemptsOf(const RequestId& id) const {
    const auto it = sent_.find(id);
    return it == sent_.end() ? 0 : static_cast<std::size_t>(it->second);
  }

  // The most sends to a cold instance in any window beyond what it may get.
  double mostOver() const {
    const Contract& contract = day_.set.contract;
    const double window = secondsOf(contract.fallFor);
    double most = -HUGE_VAL;
    for (const Box& box : boxes_)
      for (std::size_t i = 0; i < box.cold.size(); ++i) {
        std::size_t count = 0;
        while (i + count < box.cold.size() && box.cold[i + count] - box.cold[i] < contract.fallFor)
          ++count;
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
      if (jobs_.count(job) != 0)
        (this->*what)(job);
    });
  }
  Role roleOf(const Box& box) const { return day_.set.kinds[box.entry.kind.value].role; }
  Box& boxOf(const EngineId& id) { return boxes_[number_.at(id)]; }
  const Arrival& told(const Job& job) const { return job.ask->asked->told; }
  bool isCold(const Box& box) const {
    return box.entry.started && now_ - *box.entry.started < day_.set.contract.coldFor;
  }
  double warmth(const Box& box) const {
    if (!isCold(box))
      return 1;
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
    for (const auto& node : nodes_)
      node->look(now_);
    if (now_ < start(DrawnDay::kLength + 1))
      after(10ms, [this] { look(); });
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
    if (isCold(box))
      box.cold.push_back(now_);
    if (ask.place != nullptr && ask.place != &box && roleOf(box) != Role::kReader)
      giveUpPlace(ask);
    const Time until = std::min(send.until, start(ask.asked->at) + ask.asked->told.timeLeft);
    later(secondsOf(until - now_), job, &Play::timeOut);
    if (box.reached)
      later(0.001, job, &Play::reach);
    else
      later(secondsOf(day_.set.limits.dialTimeout), job, &Play::unreached);
  }
  void carryOut(std::size_t node, const HoldPlace& hold) {
    after(1ms, [this, node, hold] {
      Ask& ask = asks_.at(hold.request);
      Box& box = boxOf(hold.engine);
      giveUpPlace(ask);
      const bool held = box.reached && box.takes && box.waiting.empty() && fits(box, ask);
      if (held)
        take(box, ask), ask.place = &box;
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
        if (job.ask == &ask)
          return;
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
        if (nodes_[node]->waits(id))
          give(node, Lapsed{id});
      });
    give(node, asked.told);
  }

  // ---- What an instance does
  // -------------------------------------------------------------------------

  double memoryOf(const Box& box) const {
    return day_.set.kinds[box.entry.kind.value].memoryTokens;
  }
  double need(const Ask& ask) const { return ask.asked->told.promptTokens + ask.asked->answer; }
  bool fits(const Box& box, const Ask& ask) const {
    if (box.busy >= box.size->slots)
      return false;
    return roleOf(box) == Role::kReader || box.busy == 0 || box.tokens + need(ask) <= memoryOf(box);
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
    if (ask.place != nullptr)
      leave(*std::exchange(ask.place, nullptr), ask);
  }
  void reach(int number) {
    Job& job = jobs_.at(number);
    Box& box = *job.box;
    if (!box.reached)
      return;  // silence
    if (job.ask->place == &box) {
      job.ask->place = nullptr;
      return begin(number);
    }
    const bool state = job.ask->state != nullptr && job.ask->state->reached;
    if (roleOf(box) == Role::kWriter && !state && !day_.set.writersRead)
      return end(number, Outcome::kFull, 0, true);
    const bool tooLong = told(job).promptTokens > memoryOf(box);
    if (tooLong || !box.takes || static_cast<int>(box.waiting.size()) >= box.size->queue)
      return end(number, Outcome::kFull);
    box.waiting.push_back(number);
    serve(box);
  }
  void serve(Box& box) {
    while (!box.waiting.empty()) {
      const auto job = jobs_.find(box.waiting.front());
      if (job != jobs_.end() && !fits(box, *job->second.ask))
        return;
      box.waiting.pop_front();
      if (job == jobs_.end())
        continue;
      take(box, *job->second.ask);
      begin(job->first);
    }
  }
  // The prompts that it reads at once share its rate, where it reads several.
  double readRateOf(const Box& box) const {
    return box.size->readRate * warmth(box) / (box.size->sharesRate ? std::max(1, box.busy) : 1);
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
      return later(unreadAt(job) / readRateOf(*job.box), number, &Play::haveRead);
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
    if (roleOf(*job.box) != Role::kReader)
      return open(number);
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
    give(nodeOf(job),
         StreamOpened{told(job).request, job.n, job.box->entry.engine, now_ - job.sentAt});
  }
  std::size_t nodeOf(const Job& job) const {
    return static_cast<std::size_t>(job.ask->asked->node);
  }

  void whole(int number) {
    jobs_.at(number).ask->served = true;
    end(number, Outcome::kServed);
  }
  void unreached(int number) { end(number, Outcome::kNoConnection); }
  void calledOff(int number) { end(number, Outcome::kCancelled); }
  void timeOut(int number) {
    if (!jobs_.at(number).streams)
      end(number, Outcome::kTimeout);
  }
  void end(int number, Outcome outcome, double kept = 0, bool stateGone = false) {
    const Job job = jobs_.at(number);
    jobs_.erase(number);
    if (job.begun)
      leave(*job.box, *job.ask);
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

  // ---- What goes wrong
  // --------------------------------------------------------------------------------

  void happen(const Change& change) {
    Box& box = boxes_[change.box];
    if (change.what == Change::kForgets)
      box.kept.clear();
    if (change.what == Change::kCut || change.what == Change::kBack)
      box.reached = change.what == Change::kBack;
    if (change.what == Change::kLeaves)
      box.takes = false;
    if (change.what == Change::kStarts) {
      box.reached = box.takes = true;
      box.entry.started = now_;
    }
    if (change.what != Change::kEnds)
      return;
    box.reached = false;
    box.kept.clear();
    std::vector<int> lost;
    for (const auto& [number, job] : jobs_)
      if (job.box == &box && !job.streams)
        lost.push_back(number);  // it ends the streams that it has
    for (auto& [id, ask] : asks_) {
      if (ask.place == &box)
        giveUpPlace(ask);
      if (ask.state == &box)
        ask.state = nullptr;
    }
    for (const int number : lost)
      end(number, Outcome::kConnectionLost);
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

}  // namespace inference_router::routing
