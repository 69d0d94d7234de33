#include "fleet/exclusions.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "core/document_reader.h"

namespace inference_router::fleet {

using nlohmann::json;

namespace {

constexpr const char* kFormat = "dahliastall-marks-1";
constexpr core::DocumentLimits kLimits{.maxBytes = Exclusions::kMaxTextBytes, .maxValues = 65'536};

}  // namespace

bool Exclusions::set(const std::string& id, bool excluded, std::uint64_t writer, double nowMs) {
  const auto it = exclusions_.find(id);
  if (it == exclusions_.end() && exclusions_.size() >= kMaxEntries)
    return false;
  const std::uint64_t version = it == exclusions_.end() ? 1 : it->second.version + 1;
  exclusions_[id] = {excluded, version, writer, nowMs};
  return true;
}

std::vector<std::string> Exclusions::merge(const Exclusions& others) {
  std::vector<std::string> changed;
  for (const auto& [id, exclusion] : others.exclusions_) {
    const auto it = exclusions_.find(id);
    if (it == exclusions_.end() ? exclusions_.size() >= kMaxEntries
                                : !exclusion.supersedes(it->second))
      continue;
    exclusions_[id] = exclusion;
    changed.push_back(id);
  }
  return changed;
}

void Exclusions::boundTimes(double nowMs) {
  for (auto& [id, exclusion] : exclusions_)
    exclusion.updatedMs = std::min(exclusion.updatedMs, nowMs);
}

std::string Exclusions::serialize() const {
  json list = json::array();
  for (const auto& [id, exclusion] : exclusions_)
    list.push_back({{"id", id},
                    {"excluded", exclusion.excluded},
                    {"version", exclusion.version},
                    {"writer", exclusion.writer},
                    {"at_ms", exclusion.updatedMs}});
  // Ids come from discovery: an id that is not UTF-8 must not prevent the others from being stored.
  return json{{"form", kFormat}, {"marks", list}}.dump(-1, ' ', true,
                                                       json::error_handler_t::replace) +
         "\n";
}

std::optional<Exclusions> Exclusions::parse(std::string_view text) {
  const auto decode = [](const json& value) -> std::optional<Exclusions> {
    if (value.at("form") != kFormat || !value.at("marks").is_array())
      return std::nullopt;
    Exclusions exclusions;
    for (const json& entry : value.at("marks")) {
      const auto id = entry.at("id").get<std::string>();
      const Exclusion exclusion{
          entry.at("excluded").get<bool>(), entry.at("version").get<std::uint64_t>(),
          entry.at("writer").get<std::uint64_t>(), entry.at("at_ms").get<double>()};
      if (id.empty() || id.size() > kMaxIdBytes || !std::isfinite(exclusion.updatedMs))
        return std::nullopt;
      if (exclusions.exclusions_.size() >= kMaxEntries ||
          !exclusions.exclusions_.emplace(id, exclusion).second)
        return std::nullopt;
    }
    return exclusions;
  };
  try {
    return core::decodeJson(text, kLimits, decode);
  } catch (const core::DocumentError&) {
    return std::nullopt;
  }
}

}  // namespace inference_router::fleet
