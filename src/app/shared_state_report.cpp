#include "app/shared_state_report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace inference_router::app {

using namespace shared;
using nlohmann::json;

namespace {

// The entry of a map within the digest; null if there is no digest or no such entry.
template <class Map>
const typename Map::mapped_type* entryOf(const Map* entries, const std::string& key) {
  if (entries == nullptr)
    return nullptr;
  const auto found = entries->find(key);
  return found == entries->end() ? nullptr : &found->second;
}

json budgetsJson(const SharedNode& node, const SharedConfig& config) {
  const auto& digest = node.digest();
  json budgets = json::array();
  for (const auto& [tenant, here] : node.budgets().snapshot()) {
    const auto* line = entryOf(digest ? &digest->budgets : nullptr, tenant);
    budgets.push_back({{"tenant", tenant},
                       {"limit", line != nullptr ? line->limit : config.budgets.at(tenant)},
                       {"charged", line != nullptr ? line->charged : 0},
                       {"left", line != nullptr ? line->available : 0},
                       {"lent_to", line != nullptr ? line->lent.size() : 0},
                       {"here",
                        {{"lent", here.lent},
                         {"returned", here.returned},
                         {"ceiling", here.ceiling},
                         {"spent", here.spent},
                         {"reserved", here.reserved}}}});
  }
  return budgets;
}

json instancesJson(const SharedNode& node, const Availabilities& availabilities) {
  const auto& digest = node.digest();
  json instances = json::array();
  for (const auto& [id, availability] : availabilities) {
    const auto* verdict = entryOf(digest ? &digest->instances : nullptr, id);
    instances.push_back({{"box", id},
                         {"standing", nameOf(availability)},
                         {"bad", verdict != nullptr ? verdict->unhealthyVotes : 0},
                         {"good", verdict != nullptr ? verdict->healthyVotes : 0},
                         {"trouble", verdict != nullptr ? nameOf(verdict->failure) : "none"}});
  }
  return instances;
}

json usageJson(const UsageTable& usage) {
  json entries = json::array();
  for (const auto& [key, counters] : usage)
    entries.push_back({{"tenant", key.tenant},
                       {"class", key.requestClass},
                       {"served", counters.served},
                       {"refused", counters.refused},
                       {"failed", counters.failed},
                       {"prompt_tokens", counters.promptTokens},
                       {"answer_tokens", counters.answerTokens},
                       {"refused_tokens", counters.refusedTokens},
                       {"failed_tokens", counters.failedTokens}});
  return entries;
}

json reportJson(SharedNode& node,
                const SharedConfig& config,
                const Availabilities& availabilities,
                double nowMs) {
  const auto& digest = node.digest();
  return {{"conductor", node.self().name},
          {"incarnation", node.self().incarnation},
          {"degree", nameOf(node.connectivityState(nowMs))},
          {"silence_ms", node.silenceMs(nowMs)},
          {"digest", digest ? digest->sequence : 0},
          {"period_ends_in_s", digest ? std::max(0.0, digest->periodEndsMs - nowMs) / 1000 : 0},
          {"conductors", node.nodes()},
          {"restored", digest ? digest->restored : 0},
          {"trouble", node.lastError()},
          {"budgets", budgetsJson(node, config)},
          {"boxes", instancesJson(node, availabilities)},
          {"fleet", usageJson(digest ? digest->total : UsageTable{})},
          {"here", usageJson(node.usage())}};
}

std::string stringIn(const json& entry, const char* key) {
  return entry.at(key).get<std::string>();
}

std::string numberIn(const json& entry, const char* key) {
  return entry.at(key).dump();
}

std::string budgetLine(const json& budget) {
  const json& here = budget.at("here");
  return fmt::format(
      "budget {} limit={} charged={} left={} lent_to={} here: lent={} returned={} ceiling={} "
      "spent={} reserved={}\n",
      stringIn(budget, "tenant"), numberIn(budget, "limit"), numberIn(budget, "charged"),
      numberIn(budget, "left"), numberIn(budget, "lent_to"), numberIn(here, "lent"),
      numberIn(here, "returned"), numberIn(here, "ceiling"), numberIn(here, "spent"),
      numberIn(here, "reserved"));
}

std::string usageLine(const json& usage) {
  return fmt::format(
      "bill {} {} served={} refused={} failed={} prompt_tokens={} answer_tokens={}\n",
      stringIn(usage, "tenant"), stringIn(usage, "class"), numberIn(usage, "served"),
      numberIn(usage, "refused"), numberIn(usage, "failed"), numberIn(usage, "prompt_tokens"),
      numberIn(usage, "answer_tokens"));
}

std::string instanceLine(const json& instance) {
  return fmt::format("box {} {} bad={} good={} trouble={}\n", stringIn(instance, "box"),
                     stringIn(instance, "standing"), numberIn(instance, "bad"),
                     numberIn(instance, "good"), stringIn(instance, "trouble"));
}

std::string reportText(const json& report) {
  const std::string fault = stringIn(report, "trouble");
  std::string text = fmt::format(
      "conductor {} {} silence_ms={:.0f} digest={} conductors={} period_ends_in_s={:.0f}{}\n",
      stringIn(report, "conductor"), stringIn(report, "degree"),
      report.at("silence_ms").get<double>(), numberIn(report, "digest"),
      numberIn(report, "conductors"), report.at("period_ends_in_s").get<double>(),
      fault.empty() ? "" : " trouble=\"" + fault + "\"");
  for (const json& budget : report.at("budgets"))
    text += budgetLine(budget);
  for (const json& usage : report.at("fleet"))
    text += usageLine(usage);
  for (const json& instance : report.at("boxes"))
    text += instanceLine(instance);
  return text;
}

}  // namespace

std::string sharedStateReport(SharedNode& node,
                              const SharedConfig& config,
                              const Availabilities& availabilities,
                              double nowMs,
                              control::ReportFormat format) {
  const json report = reportJson(node, config, availabilities, nowMs);
  if (format == control::ReportFormat::kText)
    return reportText(report);
  return report.dump(-1, ' ', true, json::error_handler_t::replace) + "\n";
}

}  // namespace inference_router::app
