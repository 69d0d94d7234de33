// A model of a few candidates, the network and a store as one value that can be copied, for an
// exhaustive search through all orders of events. The candidates are the production state machines
// and the store decides by the production rules; the fenced resource, which checks the results, is
// implemented independently of both.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "coordination/lease.h"
#include "coordination/lease_rules.h"

namespace inference_router {

using namespace coordination;

// A safety measure to disable. The search must find the resulting violation.
enum class Mutant { kNone, kNoDriftMargin, kValidFromResponse, kNoFence, kFenceLost };

inline const char* nameOf(Mutant mutant) {
  constexpr const char* kNames[] = {"none", "no drift margin", "validity counted from the response",
                                    "no fence", "fence reused after a store restart"};
  return kNames[static_cast<int>(mutant)];
}

// Receives all effects. Rejects an effect with an older fence, or with the fence of another holder,
// and records whether all accepted effects were in order.
class FencedResource {
 public:
  enum class Checks { kAll, kFenceOnly, kNone };
  explicit FencedResource(Checks checks = Checks::kAll) : checks_(checks) {}
  bool accept(const Holder& holder, std::uint64_t fence) {
    const bool stale = fence < highestFence_,
               foreign = fence == highestFence_ && highestFence_ != 0 && holder != lastHolder_;
    if (checks_ != Checks::kNone && stale)
      return false;
    if (checks_ == Checks::kAll && foreign)
      return false;
    inOrder_ = inOrder_ && !stale && !foreign;
    highestFence_ = std::max(highestFence_, fence);
    lastHolder_ = holder;
    return true;
  }
  bool inOrder() const { return inOrder_; }
  std::uint64_t highestFence() const { return highestFence_; }
  const Holder& lastHolder() const { return lastHolder_; }

 private:
  Checks checks_;
  bool inOrder_ = true;
  std::uint64_t highestFence_ = 0;
  Holder lastHolder_;
};

struct LeaseModel {
  static constexpr double kAdvanceMs = 200, kDrift = 0.2;
  static LeaseConfig config() {
    LeaseConfig config;
    config.task = "t";
    config.ttlMs = 400;
    config.drift = kDrift;
    config.maxStepMs = 50;
    config.requestTimeoutMs = 100;
    config.progressTimeoutMs = 1e9;
    config.spreadMs = 0;
    config.renewJitter = 0;
    return config;
  }

  struct Effect {
    std::size_t candidate;
    Holder holder;
    std::uint64_t fence;
  };
  struct FaultBudget {  // how often each fault may still occur
    int lostMessages = 1, duplicates = 1, candidateRestarts = 1, storeRestarts = 1;
  };

  LeaseModel(Mutant mutant, std::size_t candidates)
      : mutant(mutant),
        resource(mutant == Mutant::kNoFence     ? FencedResource::Checks::kNone
                 : mutant == Mutant::kFenceLost ? FencedResource::Checks::kFenceOnly
                                                : FencedResource::Checks::kAll) {
    for (std::size_t i = 0; i < candidates; ++i)
      startCandidate(i);
  }

  void startCandidate(std::size_t i) {
    const Holder holder{std::string(1, static_cast<char>('a' + i)), ++incarnations};
    const LeaseGuards guards{mutant != Mutant::kNoDriftMargin,
                             mutant != Mutant::kValidFromResponse};
    Lease lease(config(), holder, 1, 0, guards);
    if (i < leases.size()) {
      leases[i] = lease;
      candidateNow[i] = 0;
    } else {
      leases.push_back(lease);
      candidateNow.push_back(0);
    }
  }

  // ---- Events

  enum class Kind {
    kAdvanceFirstSlow,
    kAdvanceFirstFast,
    kRunCandidate,
    kBeginStep,
    kDeliverRequest,
    kDuplicateRequest,
    kLoseRequest,
    kDeliverResponse,
    kLoseResponse,
    kDeliverEffect,
    kRestartCandidate,
    kRestartStore
  };
  struct Event {
    Kind kind;
    std::size_t index = 0;
  };

  std::vector<Event> possibleEvents() const {
    std::vector<Event> events{{Kind::kAdvanceFirstSlow}, {Kind::kAdvanceFirstFast}};
    for (std::size_t i = 0; i < leases.size(); ++i) {
      if (leases[i].nextMs() <= candidateNow[i])
        events.push_back({Kind::kRunCandidate, i});
      if (Lease copy = leases[i]; copy.beginStep(candidateNow[i]))
        events.push_back({Kind::kBeginStep, i});
      if (faultBudget.candidateRestarts > 0)
        events.push_back({Kind::kRestartCandidate, i});
    }
    for (std::size_t i = 0; i < requests.size(); ++i) {
      events.push_back({Kind::kDeliverRequest, i});
      if (faultBudget.duplicates > 0)
        events.push_back({Kind::kDuplicateRequest, i});
      if (faultBudget.lostMessages > 0)
        events.push_back({Kind::kLoseRequest, i});
    }
    for (std::size_t i = 0; i < responses.size(); ++i) {
      events.push_back({Kind::kDeliverResponse, i});
      if (faultBudget.lostMessages > 0)
        events.push_back({Kind::kLoseResponse, i});
    }
    for (std::size_t i = 0; i < effects.size(); ++i)
      events.push_back({Kind::kDeliverEffect, i});
    if (faultBudget.storeRestarts > 0)
      events.push_back({Kind::kRestartStore});
    return events;
  }

  void apply(const Event& event) {
    const std::size_t i = event.index;
    switch (event.kind) {
      case Kind::kAdvanceFirstSlow:
      case Kind::kAdvanceFirstFast:
        // The worst case that the bound on clock drift permits: the store's clock is the fastest,
        // the second candidate's the slowest, the others' the fastest, and the first candidate's
        // may change between the two.
        storeNow += kAdvanceMs * (1 + kDrift);
        for (std::size_t p = 0; p < candidateNow.size(); ++p) {
          const bool slow = p == 0 ? event.kind == Kind::kAdvanceFirstSlow : p == 1;
          candidateNow[p] += kAdvanceMs * (slow ? 1 - kDrift : 1 + kDrift);
        }
        break;
      case Kind::kRunCandidate:
        if (auto request = leases[i].tick(candidateNow[i]))
          requests.push_back(*request);
        break;
      case Kind::kBeginStep: {
        const auto fence = leases[i].beginStep(candidateNow[i]);
        effects.push_back({i, fence->holder(), fence->number()});
        break;
      }
      case Kind::kDeliverRequest:
      case Kind::kDuplicateRequest:
        responses.push_back({requests[i].holder, decide(cell, requests[i], storeNow, 0)});
        if (event.kind == Kind::kDeliverRequest)
          requests.erase(requests.begin() + static_cast<long>(i));
        else
          --faultBudget.duplicates;
        break;
      case Kind::kLoseRequest:
        --faultBudget.lostMessages;
        requests.erase(requests.begin() + static_cast<long>(i));
        break;
      case Kind::kDeliverResponse: {
        const auto [to, response] = responses[i];
        responses.erase(responses.begin() + static_cast<long>(i));
        for (std::size_t p = 0; p < leases.size(); ++p)
          if (leases[p].holder() == to)
            leases[p].onResponse(response, candidateNow[p]);
        break;
      }
      case Kind::kLoseResponse:
        --faultBudget.lostMessages;
        responses.erase(responses.begin() + static_cast<long>(i));
        break;
      case Kind::kDeliverEffect: {
        const Effect effect = effects[i];
        effects.erase(effects.begin() + static_cast<long>(i));
        const bool accepted = resource.accept(effect.holder, effect.fence);
        if (leases[effect.candidate].holder() != effect.holder)
          break;
        if (accepted)
          leases[effect.candidate].endStep(true, candidateNow[effect.candidate]);
        else
          leases[effect.candidate].onFenceRefused(candidateNow[effect.candidate]);
        break;
      }
      case Kind::kRestartCandidate:
        --faultBudget.candidateRestarts;
        startCandidate(i);
        break;
      case Kind::kRestartStore:
        --faultBudget.storeRestarts;
        // A restarted store keeps what it has acknowledged, and may extend an existing lease by a
        // whole duration.
        if (mutant == Mutant::kFenceLost)
          cell = LeaseCell{};
        else if (cell.record)
          cell.untilMs = storeNow + config().ttlMs;
        requests.clear();
        break;
    }
  }

  // ---- Invariants

  std::optional<std::string> violation() const {
    if (!resource.inOrder())
      return "effects were accepted out of order";
    std::size_t validHolders = 0;
    for (std::size_t i = 0; i < leases.size(); ++i)
      validHolders += leases[i].withinValidity(candidateNow[i]);
    // If the store loses fences, two candidates may both consider themselves holders; only their
    // effects matter then.
    if (validHolders > 1 && mutant != Mutant::kFenceLost)
      return "two holders within their own validity";
    return std::nullopt;
  }

  std::string stateKey() const {
    std::string text;
    const auto put = [&text](const auto& value) {
      text.append(reinterpret_cast<const char*>(&value), sizeof value);
    };
    const auto putHolder = [&](const Holder& holder) {
      put(holder.incarnation);
      text += holder.name + ' ';
    };
    for (std::size_t i = 0; i < leases.size(); ++i) {
      putHolder(leases[i].holder());
      const LeaseFingerprint lease = leases[i].fingerprint(candidateNow[i]);
      put(lease.state), put(lease.number), put(lease.fence), put(lease.highestFenceSeen);
      put(lease.nextRequestInMs), put(lease.validForMs), put(lease.withoutProgressMs);
      put(lease.awaitingResponse), put(lease.resigned), put(lease.cannotBeginStep);
      for (const LeaseFingerprint::PendingRequest& request : lease.pending)
        put(request.number), put(request.operation), put(request.ageMs);
    }
    put(cell.fence), putHolder(cell.last), put(cell.lastNumber);
    put(cell.record.has_value());
    if (cell.record)
      putHolder(cell.record->holder), put(std::max(-1.0, cell.untilMs - storeNow));
    for (const LeaseRequest& request : requests)
      putHolder(request.holder), put(request.number), put(request.operation), put(request.fence);
    text += '|';
    for (const auto& [to, response] : responses)
      putHolder(to), put(response.number), put(response.result), put(response.fence),
          put(response.remainingMs);
    text += '|';
    for (const Effect& effect : effects)
      putHolder(effect.holder), put(effect.fence);
    put(resource.highestFence()), putHolder(resource.lastHolder());
    put(faultBudget);
    return text;
  }

  std::string describe(const Event& event) const {
    const std::size_t i = event.index;
    const auto name = [](const Holder& holder) {
      return holder.name + std::to_string(holder.incarnation);
    };
    constexpr const char* kOperations[] = {"acquire", "renew", "release"};
    switch (event.kind) {
      case Kind::kAdvanceFirstSlow:
        return "200 ms pass, a's clock is slow";
      case Kind::kAdvanceFirstFast:
        return "200 ms pass, a's clock is fast";
      case Kind::kRunCandidate:
        return name(leases[i].holder()) + " is scheduled (" + nameOf(leases[i].state()) + ")";
      case Kind::kBeginStep:
        return name(leases[i].holder()) + " begins a step under fence " +
               std::to_string(leases[i].fence());
      case Kind::kDeliverRequest:
      case Kind::kDuplicateRequest:
        return "the store executes " + name(requests[i].holder) + "'s " +
               kOperations[static_cast<int>(requests[i].operation)] +
               (event.kind == Kind::kDeliverRequest ? "" : ", which will be duplicated");
      case Kind::kLoseRequest:
        return "a request of " + name(requests[i].holder) + " is lost";
      case Kind::kDeliverResponse:
        return "the response reaches " + name(responses[i].first);
      case Kind::kLoseResponse:
        return "a response to " + name(responses[i].first) + " is lost";
      case Kind::kDeliverEffect:
        return "the effect of " + name(effects[i].holder) + " under fence " +
               std::to_string(effects[i].fence) + " arrives";
      case Kind::kRestartCandidate:
        return name(leases[i].holder()) + " is killed and restarts";
      case Kind::kRestartStore:
        return "the store restarts";
    }
    return "";
  }

  Mutant mutant;
  std::vector<Lease> leases;
  std::vector<double> candidateNow;
  LeaseCell cell;
  double storeNow = 0;
  std::vector<LeaseRequest> requests;
  std::vector<std::pair<Holder, LeaseResponse>> responses;
  std::vector<Effect> effects;
  FencedResource resource;
  FaultBudget faultBudget;
  std::uint64_t incarnations = 0;
};

struct SearchResult {
  std::size_t states = 0, depth = 0;
  std::string violation;          // the violated invariant; empty: none
  std::vector<std::string> path;  // the events of a shortest path to the violation
};

// Searches breadth first, so that the first violation found has a shortest path.
inline SearchResult explore(const LeaseModel& initial,
                            std::size_t maxDepth,
                            std::size_t maxStates) {
  struct Visited {
    std::size_t parent;
    LeaseModel::Event event;
  };
  std::vector<Visited> visited{{0, {}}};
  // States are identified by 64-bit hashes: among a few million states the probability of a
  // collision is below one in a million.
  const std::hash<std::string> hashOf;
  std::unordered_set<std::size_t> seenHashes{hashOf(initial.stateKey())};
  std::vector<std::pair<std::size_t, LeaseModel>> layer{{0, initial}};
  SearchResult result;
  for (result.depth = 0; result.depth < maxDepth && visited.size() < maxStates; ++result.depth) {
    std::vector<std::pair<std::size_t, LeaseModel>> next;
    for (const auto& [index, model] : layer) {
      for (const LeaseModel::Event& event : model.possibleEvents()) {
        LeaseModel after = model;
        after.apply(event);
        if (!seenHashes.insert(hashOf(after.stateKey())).second)
          continue;
        visited.push_back({index, event});
        if (const auto violation = after.violation()) {
          result.violation = *violation;
          result.states = visited.size();
          std::vector<LeaseModel::Event> events;
          for (std::size_t at = visited.size() - 1; at != 0; at = visited[at].parent)
            events.push_back(visited[at].event);
          LeaseModel replayed = initial;
          for (auto it = events.rbegin(); it != events.rend(); ++it) {
            result.path.push_back(replayed.describe(*it));
            replayed.apply(*it);
          }
          return result;
        }
        next.emplace_back(visited.size() - 1, std::move(after));
      }
    }
    layer = std::move(next);
    if (layer.empty())
      break;
  }
  result.states = visited.size();
  return result;
}

}  // namespace inference_router
