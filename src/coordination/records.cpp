#include "coordination/records.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "coordination/store.h"

namespace inference_router::coordination {

using nlohmann::json;

namespace {

constexpr const char* kRecordForm = "dahliastall-lease-1";
constexpr const char* kCellForm = "dahliastall-lease-cell-1";

std::string dumped(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

json jsonOf(const Holder& holder) {
  return {{"name", holder.name}, {"incarnation", holder.incarnation}};
}

Holder holderOf(const json& value) {
  return {value.at("name").get<std::string>(), value.at("incarnation").get<std::uint64_t>()};
}

json jsonOf(const LeaseRecord& record) {
  return {{"form", kRecordForm},         {"holder", jsonOf(record.holder)},
          {"fence", record.fence},       {"number", record.number},
          {"progress", record.progress}, {"since_ms", record.sinceMs}};
}

LeaseRecord recordOf(const json& value) {
  if (value.at("form") != kRecordForm)
    throw std::invalid_argument("another form");
  LeaseRecord record{holderOf(value.at("holder")), value.at("fence").get<std::uint64_t>(),
                     value.at("number").get<std::uint64_t>(),
                     value.at("progress").get<std::uint64_t>(), value.at("since_ms").get<double>()};
  if (record.fence == 0 || !std::isfinite(record.sinceMs))
    throw std::invalid_argument("no lease");
  return record;
}

template <class Read>
auto read(std::string_view text, const Read& as) -> std::optional<decltype(as(json()))> {
  try {
    return as(json::parse(text));
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}  // namespace

std::string textOf(const LeaseRecord& record) {
  return dumped(jsonOf(record));
}

std::optional<LeaseRecord> recordOf(std::string_view text) {
  return read(text, [](const json& value) { return recordOf(value); });
}

std::string textOf(const LeaseCell& cell) {
  json value{{"form", kCellForm},
             {"fence", cell.fence},
             {"last", jsonOf(cell.last)},
             {"last_number", cell.lastNumber},
             {"until_ms", cell.untilMs}};
  if (cell.record)
    value["record"] = jsonOf(*cell.record);
  return dumped(value);
}

std::optional<LeaseCell> cellOf(std::string_view text) {
  return read(text, [](const json& value) {
    if (value.at("form") != kCellForm)
      throw std::invalid_argument("another form");
    LeaseCell cell;
    cell.fence = value.at("fence").get<std::uint64_t>();
    cell.last = holderOf(value.at("last"));
    cell.lastNumber = value.at("last_number").get<std::uint64_t>();
    cell.untilMs = value.at("until_ms").get<double>();
    if (value.contains("record"))
      cell.record = recordOf(value.at("record"));
    if (cell.record && cell.record->fence > cell.fence)
      throw std::invalid_argument("a fence above the newest");
    return cell;
  });
}

const char* nameOf(Committed how) {
  constexpr std::array<const char*, 5> kNames{"done", "stale_fence", "conflict", "refused",
                                              "unavailable"};
  return kNames[static_cast<std::size_t>(how)];
}

bool acceptable(const std::vector<Write>& writes) {
  if (writes.empty() || writes.size() > kMostWrites)
    return false;
  std::size_t bytes = 0;
  for (const Write& write : writes) {
    if (write.key.empty() || write.key.size() > kLongestKey)
      return false;
    if (write.value && write.value->size() > kMostValueBytes)
      return false;
    bytes += 2 * write.key.size() + (write.value ? write.value->size() : 0);
  }
  return bytes <= kMostChangeBytes;
}

}  // namespace inference_router::coordination
