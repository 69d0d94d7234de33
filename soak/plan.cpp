#include "plan.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <random>

namespace dahliastall::soak {

using nlohmann::json;

namespace {

constexpr std::array kNames{"system_calls", "terminate", "kill",  "stop",   "reload",
                            "drain",        "hang",      "reset", "reject", "discovery_down"};

// As Linux documents them; shares are of the calls while the fault lasts.
constexpr std::array kRules{"receive EINTR every=2",
                            "receive short every=2",
                            "receive ENOMEM every=3",
                            "send EINTR every=2",
                            "send short every=1",
                            "send ENOBUFS every=3",
                            "accept EINTR every=2",
                            "accept ECONNABORTED every=2",
                            "accept EMFILE every=1",
                            "accept ENOBUFS every=1",
                            "connect EADDRNOTAVAIL every=1",
                            "connect ENETUNREACH every=2",
                            "connect EINTR every=2",
                            "socket ENOBUFS every=1",
                            "socket EMFILE every=2",
                            "write ENOSPC every=1",
                            "fsync EIO every=1",
                            "rename EIO every=1",
                            "read EIO every=2",
                            "clock step step=3600000",
                            "clock step step=-3600000",
                            "clock step step=3000"};

constexpr int kLeastTroubles = 4, kMostTroubles = 9;
constexpr double kLeastMs = 100, kMostMs = 1'500;

}  // namespace

const char* nameOf(Trouble trouble) { return kNames.at(static_cast<std::size_t>(trouble)); }

Plan drawPlan(std::uint64_t seed, int conductors, int instances, double lengthMs) {
  std::mt19937_64 random(seed);
  const auto number = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  Plan plan;
  plan.seed = seed;
  plan.conductors = conductors;
  plan.instances = instances;
  plan.lengthMs = lengthMs;
  // Troubles gather about one moment, so that they overlap.
  const double centreMs = number(3'000, static_cast<int>(lengthMs) - 4'000);
  for (int left = number(kLeastTroubles, kMostTroubles); left > 0; --left) {
    PlannedTrouble next;
    const int kind = number(0, 2 * static_cast<int>(kNames.size()));  // half of them are system calls
    next.trouble =
        kind < static_cast<int>(kNames.size()) ? static_cast<Trouble>(kind) : Trouble::kSystemCalls;
    next.target = number(0, 1'000'000);
    next.atMs = centreMs + number(-800, 800);
    next.forMs = number(static_cast<int>(kLeastMs), static_cast<int>(kMostMs));
    if (next.trouble == Trouble::kSystemCalls)
      next.rule = kRules.at(static_cast<std::size_t>(number(0, static_cast<int>(kRules.size()) - 1)));
    plan.troubles.push_back(next);
  }
  return plan;
}

std::string textOf(const Plan& plan) {
  json list = json::array();
  for (const PlannedTrouble& trouble : plan.troubles)
    list.push_back({{"trouble", nameOf(trouble.trouble)},
                    {"target", trouble.target},
                    {"at_ms", trouble.atMs},
                    {"for_ms", trouble.forMs},
                    {"rule", trouble.rule}});
  return json{{"seed", plan.seed},       {"conductors", plan.conductors}, {"instances", plan.instances},
              {"clients", plan.clients}, {"length_ms", plan.lengthMs},    {"troubles", list}}
      .dump(2);
}

std::optional<Plan> planOf(const std::string& text) {
  try {
    const json whole = json::parse(text);
    Plan plan;
    plan.seed = whole.at("seed");
    plan.conductors = whole.at("conductors");
    plan.instances = whole.at("instances");
    plan.clients = whole.at("clients");
    plan.lengthMs = whole.at("length_ms");
    for (const json& entry : whole.at("troubles")) {
      PlannedTrouble next;
      const auto name = entry.at("trouble").get<std::string>();
      const auto* const it = std::find(kNames.begin(), kNames.end(), name);
      if (it == kNames.end()) return std::nullopt;
      next.trouble = static_cast<Trouble>(it - kNames.begin());
      next.target = entry.at("target");
      next.atMs = entry.at("at_ms");
      next.forMs = entry.at("for_ms");
      next.rule = entry.at("rule");
      plan.troubles.push_back(next);
    }
    return plan;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace dahliastall::soak
