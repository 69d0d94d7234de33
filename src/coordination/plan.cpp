#include "coordination/plan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace inference_router::coordination {

using nlohmann::json;

namespace {

constexpr const char* kForm = "dahliastall-plan-1";
constexpr std::array<const char*, 4> kPlanNames{"running", "paused", "cancelled", "done"};
constexpr std::array<const char*, 6> kItemNames{"waiting", "draining", "out",
                                                "warming", "done",     "skipped"};

template <class State, std::size_t size>
State stateOf(const std::array<const char*, size>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end())
    throw std::invalid_argument("no state " + name);
  return static_cast<State>(it - names.begin());
}

}  // namespace

const char* nameOf(PlanState state) {
  return kPlanNames[static_cast<std::size_t>(state)];
}
const char* nameOf(ItemState state) {
  return kItemNames[static_cast<std::size_t>(state)];
}

std::set<std::string> Plan::drained() const {
  std::set<std::string> instances;
  for (const PlanItem& one : items)
    if (one.state == ItemState::kDraining || one.state == ItemState::kOut)
      instances.insert(one.instance);
  return instances;
}

PlanItem* Plan::item(const std::string& instance) {
  const auto it = std::find_if(items.begin(), items.end(),
                               [&](const PlanItem& one) { return one.instance == instance; });
  return it == items.end() ? nullptr : &*it;
}

std::string Plan::text() const {
  json list = json::array();
  for (const PlanItem& one : items)
    list.push_back({{"box", one.instance},
                    {"state", nameOf(one.state)},
                    {"changed", one.changed},
                    {"back", one.back},
                    {"why", one.why}});
  return json{{"form", kForm},          {"id", id},          {"by", by},
              {"state", nameOf(state)}, {"hold_ms", holdMs}, {"confirm", confirm},
              {"steps", steps},         {"fence", fence},    {"started_ms", startedMs},
              {"items", list}}
      .dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<Plan> Plan::parse(std::string_view text) {
  try {
    const json whole = json::parse(text);
    if (whole.at("form") != kForm)
      return std::nullopt;
    Plan plan;
    plan.id = whole.at("id").get<std::string>();
    plan.by = whole.at("by").get<std::string>();
    plan.state = stateOf<PlanState>(kPlanNames, whole.at("state").get<std::string>());
    plan.holdMs = whole.at("hold_ms").get<double>();
    plan.confirm = whole.at("confirm").get<bool>();
    plan.steps = whole.at("steps").get<std::uint64_t>();
    plan.fence = whole.at("fence").get<std::uint64_t>();
    plan.startedMs = whole.at("started_ms").get<double>();
    if (!std::isfinite(plan.holdMs) || plan.holdMs < 0 || plan.id.empty())
      return std::nullopt;
    std::set<std::string> instances;
    for (const json& entry : whole.at("items")) {
      plan.items.push_back({entry.at("box").get<std::string>(),
                            stateOf<ItemState>(kItemNames, entry.at("state").get<std::string>()),
                            entry.at("changed").get<std::uint64_t>(), entry.at("back").get<bool>(),
                            entry.at("why").get<std::string>()});
      if (plan.items.back().instance.empty() ||
          !instances.insert(plan.items.back().instance).second)
        return std::nullopt;
    }
    if (plan.items.empty() || plan.items.size() > kMaxInstances)
      return std::nullopt;
    return plan;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}  // namespace inference_router::coordination
