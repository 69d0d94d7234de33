// A few candidates, the network and a store in one value that can be copied, for searches through
// all orders of what may happen. The candidates are the program's own state machines; the store
// decides by the program's own rules; the witness is the tests' own and knows neither.
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

// What is left out of the whole, each of which has to be found out.
enum class Mutant { kNone, kNoDriftMargin, kValidFromAnswer, kNoFence, kFenceForgotten };

inline const char* nameOf(Mutant mutant) {
  constexpr const char* kNames[] = {"none", "no drift margin", "validity counted from the answer",
                                    "no fence", "fence reused after a store restart"};
  return kNames[static_cast<int>(mutant)];
}

// Sees every effect that arrives. It refuses what carries an older fence, or the fence of another
// holder, and keeps what it took in order.
class Witness {
 public:
  enum class Checks { kAll, kNumbersOnly, kNothing };
  explicit Witness(Checks checks = Checks::kAll) : checks_(checks) {}
  bool take(const Holder& who, std::uint64_t fence) {
    const bool older = fence < highest_,
               other = fence == highest_ && highest_ != 0 && who != holder_;
    if (checks_ != Checks::kNothing && older)
      return false;
    if (checks_ == Checks::kAll && other)
      return false;
    inOrder_ = inOrder_ && !older && !other;
    highest_ = std::max(highest_, fence);
    holder_ = who;
    return true;
  }
  bool inOrder() const { return inOrder_; }
  std::uint64_t highest() const { return highest_; }
  const Holder& holder() const { return holder_; }

 private:
  Checks checks_;
  bool inOrder_ = true;
  std::uint64_t highest_ = 0;
  Holder holder_;
};

struct World {
  static constexpr double kTickMs = 200, kDrift = 0.2;
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
    std::size_t from;
    Holder who;
    std::uint64_t fence;
  };
  struct Budget {  // how often each may still happen
    int lost = 1, repeated = 1, kills = 1, restarts = 1;
  };

  World(Mutant mutant, std::size_t candidates)
      : mutant(mutant),
        witness(mutant == Mutant::kNoFence          ? Witness::Checks::kNothing
                : mutant == Mutant::kFenceForgotten ? Witness::Checks::kNumbersOnly
                                                    : Witness::Checks::kAll) {
    for (std::size_t i = 0; i < candidates; ++i)
      add(i);
  }

  void add(std::size_t i) {
    const Holder who{std::string(1, static_cast<char>('a' + i)), ++incarnations};
    const LeaseGuards guards{mutant != Mutant::kNoDriftMargin, mutant != Mutant::kValidFromAnswer};
    Lease lease(config(), who, 1, 0, guards);
    if (i < leases.size()) {
      leases[i] = lease;
      now[i] = 0;
    } else {
      leases.push_back(lease);
      now.push_back(0);
    }
  }

  // ---- What may happen
  // -----------------------------------------------------------------------------

  enum class Kind {
    kTick,
    kTickFast,
    kRun,
    kAct,
    kAsk,
    kAskKept,
    kAskLost,
    kAnswer,
    kAnswerLost,
    kEffect,
    kKill,
    kRestart
  };
  struct Step {
    Kind kind;
    std::size_t which = 0;
  };

  std::vector<Step> possible() const {
    std::vector<Step> steps{{Kind::kTick}, {Kind::kTickFast}};
    for (std::size_t i = 0; i < leases.size(); ++i) {
      if (leases[i].nextMs() <= now[i])
        steps.push_back({Kind::kRun, i});
      if (Lease copy = leases[i]; copy.beginStep(now[i]))
        steps.push_back({Kind::kAct, i});
      if (budget.kills > 0)
        steps.push_back({Kind::kKill, i});
    }
    for (std::size_t i = 0; i < asks.size(); ++i) {
      steps.push_back({Kind::kAsk, i});
      if (budget.repeated > 0)
        steps.push_back({Kind::kAskKept, i});
      if (budget.lost > 0)
        steps.push_back({Kind::kAskLost, i});
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
      steps.push_back({Kind::kAnswer, i});
      if (budget.lost > 0)
        steps.push_back({Kind::kAnswerLost, i});
    }
    for (std::size_t i = 0; i < effects.size(); ++i)
      steps.push_back({Kind::kEffect, i});
    if (budget.restarts > 0)
      steps.push_back({Kind::kRestart});
    return steps;
  }

  void take(const Step& step) {
    const std::size_t i = step.which;
    switch (step.kind) {
      case Kind::kTick:
      case Kind::kTickFast:
        // The worst that the bound on clocks allows: the store's is the fastest, one candidate's
        // the slowest, another's the fastest, and the first one's may turn from one to the other.
        storeNow += kTickMs * (1 + kDrift);
        for (std::size_t p = 0; p < now.size(); ++p) {
          const bool slow = p == 0 ? step.kind == Kind::kTick : p == 1;
          now[p] += kTickMs * (slow ? 1 - kDrift : 1 + kDrift);
        }
        break;
      case Kind::kRun:
        if (auto ask = leases[i].tick(now[i]))
          asks.push_back(*ask);
        break;
      case Kind::kAct: {
        const auto fence = leases[i].beginStep(now[i]);
        effects.push_back({i, fence->holder(), fence->number()});
        break;
      }
      case Kind::kAsk:
      case Kind::kAskKept:
        answers.push_back({asks[i].holder, decide(cell, asks[i], storeNow, 0)});
        if (step.kind == Kind::kAsk)
          asks.erase(asks.begin() + static_cast<long>(i));
        else
          --budget.repeated;
        break;
      case Kind::kAskLost:
        --budget.lost;
        asks.erase(asks.begin() + static_cast<long>(i));
        break;
      case Kind::kAnswer: {
        const auto [to, answer] = answers[i];
        answers.erase(answers.begin() + static_cast<long>(i));
        for (std::size_t p = 0; p < leases.size(); ++p)
          if (leases[p].holder() == to)
            leases[p].onResponse(answer, now[p]);
        break;
      }
      case Kind::kAnswerLost:
        --budget.lost;
        answers.erase(answers.begin() + static_cast<long>(i));
        break;
      case Kind::kEffect: {
        const Effect effect = effects[i];
        effects.erase(effects.begin() + static_cast<long>(i));
        const bool taken = witness.take(effect.who, effect.fence);
        if (leases[effect.from].holder() != effect.who)
          break;
        if (taken)
          leases[effect.from].endStep(true, now[effect.from]);
        else
          leases[effect.from].onFenceRefused(now[effect.from]);
        break;
      }
      case Kind::kKill:
        --budget.kills;
        add(i);
        break;
      case Kind::kRestart:
        --budget.restarts;
        // What a store has said is kept; a lease that it held for somebody may live on a whole time
        // longer.
        if (mutant == Mutant::kFenceForgotten)
          cell = LeaseCell{};
        else if (cell.record)
          cell.untilMs = storeNow + config().ttlMs;
        asks.clear();
        break;
    }
  }

  // ---- What has to hold
  // ----------------------------------------------------------------------------

  std::optional<std::string> broken() const {
    if (!witness.inOrder())
      return "effects were taken out of order";
    std::size_t within = 0;
    for (std::size_t i = 0; i < leases.size(); ++i)
      within += leases[i].withinValidity(now[i]);
    // With fences that are forgotten two may well take themselves for holders; what counts is what
    // they do.
    if (within > 1 && mutant != Mutant::kFenceForgotten)
      return "two holders within their own validity";
    return std::nullopt;
  }

  std::string key() const {
    std::string text;
    const auto put = [&text](const auto& value) {
      text.append(reinterpret_cast<const char*>(&value), sizeof value);
    };
    const auto who = [&](const Holder& holder) {
      put(holder.incarnation);
      text += holder.name + ' ';
    };
    for (std::size_t i = 0; i < leases.size(); ++i) {
      who(leases[i].holder());
      const LeaseFingerprint lease = leases[i].fingerprint(now[i]);
      put(lease.state), put(lease.number), put(lease.fence), put(lease.highestFenceSeen);
      put(lease.nextRequestInMs), put(lease.validForMs), put(lease.withoutProgressMs);
      put(lease.awaitingResponse), put(lease.resigned), put(lease.cannotBeginStep);
      for (const LeaseFingerprint::PendingRequest& request : lease.pending)
        put(request.number), put(request.operation), put(request.ageMs);
    }
    put(cell.fence), who(cell.last), put(cell.lastNumber);
    put(cell.record.has_value());
    if (cell.record)
      who(cell.record->holder), put(std::max(-1.0, cell.untilMs - storeNow));
    for (const LeaseRequest& ask : asks)
      who(ask.holder), put(ask.number), put(ask.operation), put(ask.fence);
    text += '|';
    for (const auto& [to, answer] : answers)
      who(to), put(answer.number), put(answer.result), put(answer.fence), put(answer.remainingMs);
    text += '|';
    for (const Effect& effect : effects)
      who(effect.who), put(effect.fence);
    put(witness.highest()), who(witness.holder());
    put(budget);
    return text;
  }

  std::string say(const Step& step) const {
    const std::size_t i = step.which;
    const auto name = [](const Holder& who) { return who.name + std::to_string(who.incarnation); };
    constexpr const char* kVerbs[] = {"acquire", "renew", "release"};
    switch (step.kind) {
      case Kind::kTick:
        return "200 ms pass, a's clock is slow";
      case Kind::kTickFast:
        return "200 ms pass, a's clock is fast";
      case Kind::kRun:
        return name(leases[i].holder()) + " runs (" + nameOf(leases[i].state()) + ")";
      case Kind::kAct:
        return name(leases[i].holder()) + " acts under fence " + std::to_string(leases[i].fence());
      case Kind::kAsk:
      case Kind::kAskKept:
        return "the store carries out " + name(asks[i].holder) + "'s " +
               kVerbs[static_cast<int>(asks[i].operation)] +
               (step.kind == Kind::kAsk ? "" : ", which will come again");
      case Kind::kAskLost:
        return "an ask of " + name(asks[i].holder) + " is lost";
      case Kind::kAnswer:
        return "the answer reaches " + name(answers[i].first);
      case Kind::kAnswerLost:
        return "an answer to " + name(answers[i].first) + " is lost";
      case Kind::kEffect:
        return "the effect of " + name(effects[i].who) + " under fence " +
               std::to_string(effects[i].fence) + " arrives";
      case Kind::kKill:
        return name(leases[i].holder()) + " is killed and starts anew";
      case Kind::kRestart:
        return "the store restarts";
    }
    return "";
  }

  Mutant mutant;
  std::vector<Lease> leases;
  std::vector<double> now;
  LeaseCell cell;
  double storeNow = 0;
  std::vector<LeaseRequest> asks;
  std::vector<std::pair<Holder, LeaseResponse>> answers;
  std::vector<Effect> effects;
  Witness witness;
  Budget budget;
  std::uint64_t incarnations = 0;
};

struct Explored {
  std::size_t states = 0, depth = 0;
  std::string broken;               // empty: nothing was
  std::vector<std::string> course;  // the shortest that leads there
};

// Breadth first, so that the first break that is found is one of the shortest.
inline Explored explore(const World& first, std::size_t depth, std::size_t mostStates) {
  struct From {
    std::size_t parent;
    World::Step step;
  };
  std::vector<From> from{{0, {}}};
  // 64 bits of each: among a few million states the chance that two meet is under one in a million.
  const std::hash<std::string> hashOf;
  std::unordered_set<std::size_t> seen{hashOf(first.key())};
  std::vector<std::pair<std::size_t, World>> layer{{0, first}};
  Explored found;
  for (found.depth = 0; found.depth < depth && from.size() < mostStates; ++found.depth) {
    std::vector<std::pair<std::size_t, World>> next;
    for (const auto& [number, world] : layer) {
      for (const World::Step& step : world.possible()) {
        World after = world;
        after.take(step);
        if (!seen.insert(hashOf(after.key())).second)
          continue;
        from.push_back({number, step});
        if (const auto broken = after.broken()) {
          found.broken = *broken;
          found.states = from.size();
          std::vector<World::Step> steps;
          for (std::size_t at = from.size() - 1; at != 0; at = from[at].parent)
            steps.push_back(from[at].step);
          World again = first;
          for (auto it = steps.rbegin(); it != steps.rend(); ++it) {
            found.course.push_back(again.say(*it));
            again.take(*it);
          }
          return found;
        }
        next.emplace_back(from.size() - 1, std::move(after));
      }
    }
    layer = std::move(next);
    if (layer.empty())
      break;
  }
  found.states = from.size();
  return found;
}

}  // namespace inference_router
