#include "fleet/marks.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace dahliastall::fleet {

using nlohmann::json;

namespace {

constexpr const char* kForm = "dahliastall-marks-1";

}  // namespace

bool Marks::set(const std::string& id, bool excluded, std::uint64_t writer, double nowMs) {
  const auto it = marks_.find(id);
  if (it == marks_.end() && marks_.size() >= kMost) return false;
  const std::uint64_t version = it == marks_.end() ? 1 : it->second.version + 1;
  marks_[id] = {excluded, version, writer, nowMs};
  return true;
}

std::vector<std::string> Marks::merge(const Marks& others) {
  std::vector<std::string> changed;
  for (const auto& [id, mark] : others.marks_) {
    const auto it = marks_.find(id);
    if (it == marks_.end() ? marks_.size() >= kMost : !mark.supersedes(it->second)) continue;
    marks_[id] = mark;
    changed.push_back(id);
  }
  return changed;
}

std::string Marks::text() const {
  json list = json::array();
  for (const auto& [id, mark] : marks_)
    list.push_back({{"id", id},
                    {"excluded", mark.excluded},
                    {"version", mark.version},
                    {"writer", mark.writer},
                    {"at_ms", mark.atMs}});
  // An id is whatever a list called an instance: what is no UTF-8 must not stop the others from being kept.
  return json{{"form", kForm}, {"marks", list}}.dump(-1, ' ', true, json::error_handler_t::replace) + "\n";
}

std::optional<Marks> Marks::parse(std::string_view text) {
  try {
    const json whole = json::parse(text);
    if (whole.at("form") != kForm || !whole.at("marks").is_array()) return std::nullopt;
    Marks marks;
    for (const json& entry : whole.at("marks")) {
      const auto id = entry.at("id").get<std::string>();
      const Mark mark{entry.at("excluded").get<bool>(), entry.at("version").get<std::uint64_t>(),
                      entry.at("writer").get<std::uint64_t>(), entry.at("at_ms").get<double>()};
      if (id.empty() || id.size() > kLongestId || !std::isfinite(mark.atMs)) return std::nullopt;
      if (marks.marks_.size() >= kMost || !marks.marks_.emplace(id, mark).second) return std::nullopt;
    }
    return marks;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace dahliastall::fleet
