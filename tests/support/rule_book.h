// The five rules as far as the events and actions of one node show them, for tests that drive a
// module.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "fleet.h"

namespace inference_router::routing {

struct Out {
  InstanceId instance;
  bool writes;
  Time sentAt;
  Time until;
};

struct Held {
  ClassIndex cls;
  Time deadline;
  bool over = false;
  bool streaming = false;
  int sent = 0;
  std::map<int, Out> out;
  std::vector<Out> mayHaveRun;
  bool pinned = false;
  Time pinnedAt{};
};

class RuleBook {
 public:
  explicit RuleBook(const Settings& settings) : set_(settings) {}

 protected:
  const ClassSettings& classOf(const Held& held) const { return set_.classes[held.cls.value]; }

  const EndpointRecord& entryOf(const InstanceId& id) const {
    const auto it = fleet_.find(id);
    EXPECT_NE(it, fleet_.end()) << id.value << " was never listed";
    return it->second;
  }

  void list(const EndpointRecord& entry) {
    fleet_[entry.instance] = entry;
    if (entry.state == EndpointState::kActive)
      told_.erase(entry.instance);
    else
      told_.try_emplace(entry.instance, now_);
  }

  Held& arrived(const RequestId& id, ClassIndex cls, Duration left) {
    Held& held = held_[id];
    held.cls = cls;
    held.deadline = now_ + left;
    return held;
  }

  void opened(Held& held) {
    held.streaming = true;
    held.pinned = false;
  }

  // The attempt that ended, and whether its client has its answer.
  std::pair<Out, bool> ended(Held& held, int n, AttemptOutcome outcome) {
    const Out attempt = held.out.at(n);
    held.out.erase(n);
    const bool proof =
        outcome == AttemptOutcome::kRejected || outcome == AttemptOutcome::kConnectFailed;
    if (attempt.writes && !proof)
      held.mayHaveRun.push_back(attempt);
    if (outcome == AttemptOutcome::kPrefilled)
      held.pinned = true;
    held.pinnedAt = now_;
    const bool concluded = held.over || held.streaming || outcome == AttemptOutcome::kServed;
    held.over = held.over || concluded;
    held.streaming = false;
    return {attempt, concluded};
  }

  void drainRule(const InstanceId& id) const {
    const auto it = told_.find(id);
    if (it == told_.end())
      return;
    EXPECT_LE((now_ - it->second).count(), set_.contract.drainGrace.count()) << "rule three";
  }

  bool sameGroup(const InstanceId& a, const InstanceId& b, DedupScope dedupScope) const {
    const EndpointRecord &one = entryOf(a), &other = entryOf(b);
    return dedupScope == DedupScope::kAll ||
           (dedupScope == DedupScope::kZone ? one.zone == other.zone : one.cell == other.cell);
  }

  void see(const DispatchAttempt& send) {
    Held& held = held_.at(send.request);
    EXPECT_FALSE(held.over) << "rule one: a send after the end";
    EXPECT_FALSE(held.streaming) << "rule one: a send beside a stream";
    drainRule(send.instance);
    const ClassSettings& cls = classOf(held);
    EXPECT_TRUE(set_.limits.hedgedRequests || held.out.empty()) << "rule two: two attempts out";
    for (const Out& ran : held.mayHaveRun) {
      EXPECT_NE(cls.effect, Effect::kAtMostOnce) << "rule two: unsafe work repeated";
      if (cls.effect != Effect::kDeduplicated)
        continue;
      EXPECT_LT((now_ - ran.sentAt).count(), cls.dedupWindow.count())
          << "rule two: past the window";
      EXPECT_TRUE(sameGroup(ran.instance, send.instance, cls.dedupScope))
          << "rule two: another group";
    }
    EXPECT_LT(held.sent, set_.limits.maxAttempts);
    EXPECT_LE(send.until, held.deadline);
    const bool writes = set_.kinds[entryOf(send.instance).kind.value].role != Role::kPrefill;
    held.out[held.sent++] = {send.instance, writes, now_, send.until};
  }
  void see(const ReserveDecode& place) {
    EXPECT_TRUE(set_.reservationsAllowed);
    drainRule(place.instance);
    Held& held = held_.at(place.request);
    held.pinned = true;
    held.pinnedAt = now_;
  }
  // As on the wire, what an attempt still waits for is not let go.
  void see(const ReleaseState& release) {
    Held& held = held_.at(release.request);
    const bool awaited = std::any_of(held.out.begin(), held.out.end(),
                                     [](const auto& o) { return o.second.writes; });
    if (!awaited)
      held.pinned = false;
  }
  void see(const RejectRequest& refuse) {
    Held& held = held_.at(refuse.request);
    const ClassSettings& cls = classOf(held);
    const bool ran =
        !held.mayHaveRun.empty() || std::any_of(held.out.begin(), held.out.end(),
                                                [](const auto& o) { return o.second.writes; });
    EXPECT_TRUE(!ran || cls.effect == Effect::kIdempotent ||
                (cls.effect == Effect::kDeduplicated && cls.dedupScope == DedupScope::kAll))
        << "rule two: refused what may have run";
    conclude(held);
  }
  void see(const FailRequest& fail) { conclude(held_.at(fail.request)); }
  void see(const CancelAttempt&) { EXPECT_TRUE(set_.limits.cancel); }
  void see(const SendHealthCheck&) { EXPECT_TRUE(set_.limits.healthChecks); }
  void see(const SendGossip&) { EXPECT_TRUE(set_.limits.gossip); }
  void see(const MigrateStream&) { EXPECT_TRUE(set_.streamResumption); }
  void see(const SetTimer&) {}
  void see(const SubscribeEndpoints&) {}
  void see(const FetchEndpoints&) {}
  void see(const LogMessage&) {}

  void conclude(Held& held) {
    EXPECT_FALSE(held.over) << "rule one: a second final answer";
    EXPECT_FALSE(held.streaming) << "rule one: an answer beside a stream";
    EXPECT_LE((now_ - held.deadline).count(), set_.contract.answerGrace.count())
        << "rule one: too late";
    held.over = true;
  }

  void checkStanding() {
    for (const auto& [id, held] : held_) {
      if (!held.over && !held.streaming) {
        EXPECT_LE((now_ - held.deadline).count(), set_.contract.answerGrace.count())
            << "rule one: no answer for " << id.value;
      }
      if (held.pinned && held.out.empty()) {
        EXPECT_LE((now_ - held.pinnedAt).count(), set_.contract.releaseLimit.count())
            << "rule five: " << id.value;
      }
    }
    if (held_.size() > 400) {
      std::erase_if(held_, [](const auto& entry) {
        return entry.second.over && entry.second.out.empty() && !entry.second.pinned;
      });
    }
  }

  Settings set_;
  Time now_{5s};
  std::map<InstanceId, EndpointRecord> fleet_;  // as listed last
  std::map<InstanceId, Time> told_;             // since when those that drain or are gone
  std::map<RequestId, Held> held_;
};

}  // namespace inference_router::routing
