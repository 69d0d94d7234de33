#include "coordination/lease_encoding.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "coordination/stored_json.h"

namespace inference_router::coordination {

using nlohmann::json;

namespace {

constexpr const char* kRecordFormat = "dahliastall-lease-1";
constexpr const char* kCellFormat = "dahliastall-lease-cell-1";

std::string dump(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

json toJson(const Holder& holder) {
  return {{"name", holder.name}, {"incarnation", holder.incarnation}};
}

Holder holderFrom(const json& value) {
  return {value.at("name").get<std::string>(), value.at("incarnation").get<std::uint64_t>()};
}

json toJson(const LeaseRecord& record) {
  return {{"form", kRecordFormat},       {"holder", toJson(record.holder)},
          {"fence", record.fence},       {"number", record.number},
          {"progress", record.progress}, {"since_ms", record.acquiredUnixMs}};
}

LeaseRecord recordFrom(const json& value) {
  if (value.at("form") != kRecordFormat)
    throw std::invalid_argument("unknown format");
  LeaseRecord record;
  record.holder = holderFrom(value.at("holder"));
  record.fence = value.at("fence").get<std::uint64_t>();
  record.number = value.at("number").get<std::uint64_t>();
  record.progress = value.at("progress").get<std::uint64_t>();
  record.acquiredUnixMs = value.at("since_ms").get<double>();
  if (record.fence == 0 || !std::isfinite(record.acquiredUnixMs))
    throw std::invalid_argument("invalid fence or time");
  return record;
}

LeaseCell cellFrom(const json& value) {
  if (value.at("form") != kCellFormat)
    throw std::invalid_argument("unknown format");
  LeaseCell cell;
  cell.fence = value.at("fence").get<std::uint64_t>();
  cell.last = holderFrom(value.at("last"));
  cell.lastNumber = value.at("last_number").get<std::uint64_t>();
  cell.untilMs = value.at("until_ms").get<double>();
  if (value.contains("record"))
    cell.record = recordFrom(value.at("record"));
  if (cell.record && cell.record->fence > cell.fence)
    throw std::invalid_argument("record with a fence above the newest");
  return cell;
}

}  // namespace

std::string serialize(const LeaseRecord& record) {
  return dump(toJson(record));
}

std::optional<LeaseRecord> parseLeaseRecord(std::string_view text) {
  return decodeStoredJson(text, recordFrom);
}

std::string serialize(const LeaseCell& cell) {
  json value{{"form", kCellFormat},
             {"fence", cell.fence},
             {"last", toJson(cell.last)},
             {"last_number", cell.lastNumber},
             {"until_ms", cell.untilMs}};
  if (cell.record)
    value["record"] = toJson(*cell.record);
  return dump(value);
}

std::optional<LeaseCell> parseLeaseCell(std::string_view text) {
  return decodeStoredJson(text, cellFrom);
}

}  // namespace inference_router::coordination
