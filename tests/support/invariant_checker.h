// Checks the invariants of routing that are visible in the events and actions of one node.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "router_harness.h"

namespace inference_router::routing {

// An attempt that is in flight or may have been executed.
struct TrackedAttempt {
  InstanceId instance;
  bool decodes;
  Time sentAt;
  Time until;
};

// State of a request, derived from events and actions.
struct TrackedRequest {
  ClassIndex cls;
  Time deadline;
  bool finished = false;
  bool streaming = false;
  int attemptsSent = 0;
  std::map<int, TrackedAttempt> attemptsInFlight;
  std::vector<TrackedAttempt> possiblyExecuted;
  bool holdsRemoteState = false;
  Time remoteStateSince{};
};

// Reports each violation as a failure of the running test.
class InvariantChecker {
 public:
  explicit InvariantChecker(const Settings& settings) : settings_(settings) {}

 protected:
  const ClassSettings& classOf(const TrackedRequest& request) const {
    return settings_.classes[request.cls.value];
  }

  const EndpointRecord& entryOf(const InstanceId& id) const {
    const auto found = fleet_.find(id);
    EXPECT_NE(found, fleet_.end()) << id.value << " was never listed";
    return found->second;
  }

  void trackEndpoint(const EndpointRecord& entry) {
    fleet_[entry.instance] = entry;
    if (entry.state == EndpointState::kActive)
      drainingSince_.erase(entry.instance);
    else
      drainingSince_.try_emplace(entry.instance, now_);
  }

  TrackedRequest& trackArrival(const RequestId& id, ClassIndex cls, Duration left) {
    TrackedRequest& request = requests_[id];
    request.cls = cls;
    request.deadline = now_ + left;
    return request;
  }

  void trackFirstToken(TrackedRequest& request) {
    request.streaming = true;
    request.holdsRemoteState = false;
  }

  // Returns the attempt that ended and whether its client has the final answer.
  std::pair<TrackedAttempt, bool> trackEnd(TrackedRequest& request,
                                           int number,
                                           AttemptOutcome outcome) {
    const TrackedAttempt attempt = request.attemptsInFlight.at(number);
    request.attemptsInFlight.erase(number);
    const bool notExecuted =
        outcome == AttemptOutcome::kRejected || outcome == AttemptOutcome::kConnectFailed;
    if (attempt.decodes && !notExecuted)
      request.possiblyExecuted.push_back(attempt);
    if (outcome == AttemptOutcome::kPrefilled)
      request.holdsRemoteState = true;
    request.remoteStateSince = now_;
    const bool concluded =
        request.finished || request.streaming || outcome == AttemptOutcome::kServed;
    request.finished = request.finished || concluded;
    request.streaming = false;
    return {attempt, concluded};
  }

  void checkDraining(const InstanceId& id) const {
    const auto found = drainingSince_.find(id);
    if (found == drainingSince_.end())
      return;
    EXPECT_LE((now_ - found->second).count(), settings_.contract.drainGrace.count())
        << "sent to an instance after its drain grace";
  }

  bool inSameDedupScope(const InstanceId& first,
                        const InstanceId& second,
                        DedupScope dedupScope) const {
    const EndpointRecord &firstEntry = entryOf(first), &secondEntry = entryOf(second);
    switch (dedupScope) {
      case DedupScope::kAll:
        return true;
      case DedupScope::kZone:
        return firstEntry.zone == secondEntry.zone;
      case DedupScope::kCell:
        return firstEntry.cell == secondEntry.cell;
    }
    return false;
  }

  void check(const DispatchAttempt& send) {
    TrackedRequest& request = requests_.at(send.request);
    EXPECT_FALSE(request.finished) << "an attempt after the final answer";
    EXPECT_FALSE(request.streaming) << "an attempt while a stream is open";
    checkDraining(send.instance);
    const ClassSettings& cls = classOf(request);
    EXPECT_TRUE(settings_.limits.hedgedRequests || request.attemptsInFlight.empty())
        << "two attempts in flight";
    for (const TrackedAttempt& executed : request.possiblyExecuted) {
      EXPECT_NE(cls.effect, Effect::kAtMostOnce) << "an at-most-once request repeated";
      if (cls.effect != Effect::kDeduplicated)
        continue;
      EXPECT_LT((now_ - executed.sentAt).count(), cls.dedupWindow.count())
          << "a repeat after the deduplication window";
      EXPECT_TRUE(inSameDedupScope(executed.instance, send.instance, cls.dedupScope))
          << "a repeat outside the deduplication scope";
    }
    EXPECT_LT(request.attemptsSent, settings_.limits.maxAttempts);
    EXPECT_LE(send.timeoutAt, request.deadline);
    const bool decodes = settings_.kinds[entryOf(send.instance).kind.value].role != Role::kPrefill;
    request.attemptsInFlight[request.attemptsSent++] = {send.instance, decodes, now_,
                                                        send.timeoutAt};
  }
  void check(const ReserveDecode& reservation) {
    EXPECT_TRUE(settings_.reservationsAllowed);
    checkDraining(reservation.instance);
    TrackedRequest& request = requests_.at(reservation.request);
    request.holdsRemoteState = true;
    request.remoteStateSince = now_;
  }
  // As on the wire, state that a decode attempt in flight still needs is not released.
  void check(const ReleaseState& release) {
    TrackedRequest& request = requests_.at(release.request);
    const bool stillNeeded =
        std::any_of(request.attemptsInFlight.begin(), request.attemptsInFlight.end(),
                    [](const auto& entry) { return entry.second.decodes; });
    if (!stillNeeded)
      request.holdsRemoteState = false;
  }
  void check(const RejectRequest& rejection) {
    TrackedRequest& request = requests_.at(rejection.request);
    const ClassSettings& cls = classOf(request);
    const bool executed =
        !request.possiblyExecuted.empty() ||
        std::any_of(request.attemptsInFlight.begin(), request.attemptsInFlight.end(),
                    [](const auto& entry) { return entry.second.decodes; });
    EXPECT_TRUE(!executed || cls.effect == Effect::kIdempotent ||
                (cls.effect == Effect::kDeduplicated && cls.dedupScope == DedupScope::kAll))
        << "rejected a request that may have been executed";
    conclude(request);
  }
  void check(const FailRequest& fail) { conclude(requests_.at(fail.request)); }
  void check(const CancelAttempt&) { EXPECT_TRUE(settings_.limits.cancel); }
  void check(const SendHealthCheck&) { EXPECT_TRUE(settings_.limits.healthChecks); }
  void check(const SendGossip&) { EXPECT_TRUE(settings_.limits.gossip); }
  void check(const MigrateStream&) { EXPECT_TRUE(settings_.streamResumption); }
  void check(const SetTimer&) {}
  void check(const SubscribeEndpoints&) {}
  void check(const FetchEndpoints&) {}
  void check(const LogMessage&) {}

  void conclude(TrackedRequest& request) {
    EXPECT_FALSE(request.finished) << "a second final answer";
    EXPECT_FALSE(request.streaming) << "a final answer while a stream is open";
    EXPECT_LE((now_ - request.deadline).count(), settings_.contract.answerGrace.count())
        << "a final answer too late";
    request.finished = true;
  }

  void checkOpenRequests() {
    for (const auto& [id, request] : requests_) {
      if (!request.finished && !request.streaming) {
        EXPECT_LE((now_ - request.deadline).count(), settings_.contract.answerGrace.count())
            << "no final answer for " << id.value;
      }
      if (request.holdsRemoteState && request.attemptsInFlight.empty()) {
        EXPECT_LE((now_ - request.remoteStateSince).count(),
                  settings_.contract.releaseLimit.count())
            << "remote state not released in time for " << id.value;
      }
    }
    if (requests_.size() > 400) {
      std::erase_if(requests_, [](const auto& entry) {
        return entry.second.finished && entry.second.attemptsInFlight.empty() &&
               !entry.second.holdsRemoteState;
      });
    }
  }

  Settings settings_;
  Time now_{5s};
  std::map<InstanceId, EndpointRecord> fleet_;  // latest entries
  std::map<InstanceId, Time> drainingSince_;    // draining and removed instances
  std::map<RequestId, TrackedRequest> requests_;
};

}  // namespace inference_router::routing
