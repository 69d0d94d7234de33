#include "coordination/plan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "coordination/stored_json.h"

namespace inference_router::coordination {

using nlohmann::json;

namespace {

constexpr const char* kFormat = "dahliastall-plan-1";
constexpr std::array<const char*, 4> kPlanNames{"running", "paused", "cancelled", "done"};
constexpr std::array<const char*, 6> kItemNames{"waiting", "draining", "out",
                                                "warming", "done",     "skipped"};

template <class State, std::size_t size>
State stateFrom(const std::array<const char*, size>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end())
    throw std::invalid_argument("unknown state " + name);
  return static_cast<State>(it - names.begin());
}

json toJson(const PlanItem& item) {
  return {{"box", item.instance},
          {"state", nameOf(item.state)},
          {"changed", item.changedAtStep},
          {"back", item.returnConfirmed},
          {"why", item.reason}};
}

PlanItem itemFrom(const json& value) {
  PlanItem item;
  item.instance = value.at("box").get<std::string>();
  item.state = stateFrom<ItemState>(kItemNames, value.at("state").get<std::string>());
  item.changedAtStep = value.at("changed").get<std::uint64_t>();
  item.returnConfirmed = value.at("back").get<bool>();
  item.reason = value.at("why").get<std::string>();
  return item;
}

Plan planFrom(const json& value) {
  if (value.at("form") != kFormat)
    throw std::invalid_argument("unknown format");
  Plan plan;
  plan.id = value.at("id").get<std::string>();
  plan.startedBy = value.at("by").get<std::string>();
  plan.state = stateFrom<PlanState>(kPlanNames, value.at("state").get<std::string>());
  plan.holdMs = value.at("hold_ms").get<double>();
  plan.confirm = value.at("confirm").get<bool>();
  plan.steps = value.at("steps").get<std::uint64_t>();
  plan.fence = value.at("fence").get<std::uint64_t>();
  plan.startedMs = value.at("started_ms").get<double>();
  for (const json& item : value.at("items"))
    plan.items.push_back(itemFrom(item));
  return plan;
}

bool wellFormed(const Plan& plan) {
  if (!std::isfinite(plan.holdMs) || plan.holdMs < 0 || plan.id.empty())
    return false;
  if (plan.items.empty() || plan.items.size() > Plan::kMaxInstances)
    return false;
  std::set<std::string> instances;
  return std::all_of(plan.items.begin(), plan.items.end(), [&](const PlanItem& item) {
    return !item.instance.empty() && instances.insert(item.instance).second;
  });
}

}  // namespace

const char* nameOf(PlanState state) {
  return kPlanNames[static_cast<std::size_t>(state)];
}

const char* nameOf(ItemState state) {
  return kItemNames[static_cast<std::size_t>(state)];
}

bool Plan::finished() const {
  return state == PlanState::kDone || (state == PlanState::kCancelled && drained().empty());
}

std::set<std::string> Plan::drained() const {
  std::set<std::string> instances;
  for (const PlanItem& item : items) {
    if (item.state == ItemState::kDraining || item.state == ItemState::kOut)
      instances.insert(item.instance);
  }
  return instances;
}

PlanItem* Plan::item(const std::string& instance) {
  const auto it = std::find_if(items.begin(), items.end(),
                               [&](const PlanItem& item) { return item.instance == instance; });
  return it == items.end() ? nullptr : &*it;
}

std::string Plan::serialize() const {
  json itemList = json::array();
  for (const PlanItem& item : items)
    itemList.push_back(toJson(item));
  return json{{"form", kFormat},        {"id", id},          {"by", startedBy},
              {"state", nameOf(state)}, {"hold_ms", holdMs}, {"confirm", confirm},
              {"steps", steps},         {"fence", fence},    {"started_ms", startedMs},
              {"items", itemList}}
      .dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<Plan> Plan::parse(std::string_view text) {
  auto plan = decodeStoredJson(text, planFrom);
  if (plan && !wellFormed(*plan))
    return std::nullopt;
  return plan;
}

std::optional<StoredPlan> findPlan(const std::map<std::string, Document>& documents) {
  const auto it = documents.find(kPlanKey);
  if (it == documents.end())
    return std::nullopt;
  auto plan = Plan::parse(it->second.value);
  if (!plan)
    return std::nullopt;
  return StoredPlan{std::move(*plan), it->second.revision};
}

}  // namespace inference_router::coordination
