#include "shared/field_codec.h"

namespace inference_router::shared {

using nlohmann::json;

std::uint64_t decodeCount(const json& value, std::uint64_t max) {
  if (!value.is_number_unsigned())
    throw OutOfBounds("the value is not an unsigned integer");
  const auto number = value.get<std::uint64_t>();
  if (number > max)
    throw OutOfBounds("the integer is too large");
  return number;
}

std::uint64_t decodeUnsigned(const json& value) {
  return decodeCount(value, UINT64_MAX);
}

double decodeAmount(const json& value, double max) {
  const double number = value.get<double>();
  if (!(number >= 0 && number <= max))
    throw OutOfBounds("the amount is negative or too large");
  return number;
}

std::string decodeIdentifier(const json& value) {
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxIdentifierBytes)
    throw OutOfBounds("the identifier is empty or too long");
  return text;
}

FailureKind decodeFailureKind(const json& value) {
  return static_cast<FailureKind>(
      decodeCount(value, static_cast<std::uint64_t>(FailureKind::kSlow)));
}

const json& bounded(const json& value, std::size_t max) {
  if (value.size() > max)
    throw OutOfBounds("the container has too many elements");
  return value;
}

json encodeOrigin(const Origin& origin) {
  return json::array({origin.name, origin.incarnation});
}

Origin decodeOrigin(const json& value) {
  return {decodeIdentifier(value.at(0)), decodeUnsigned(value.at(1))};
}

json encodeUsage(const UsageTable& usage) {
  json rows = json::array();
  for (const auto& [key, counters] : usage) {
    rows.push_back({key.tenant, key.requestClass, counters.served, counters.refused,
                    counters.failed, counters.promptTokens, counters.answerTokens,
                    counters.refusedTokens, counters.failedTokens});
  }
  return rows;
}

UsageTable decodeUsage(const json& value) {
  UsageTable usage;
  for (const json& row : bounded(value, kMaxUsageRows)) {
    UsageCounters counters;
    const UsageKey key{decodeIdentifier(row.at(0)), decodeIdentifier(row.at(1))};
    counters.served = decodeCount(row.at(2));
    counters.refused = decodeCount(row.at(3));
    counters.failed = decodeCount(row.at(4));
    counters.promptTokens = decodeCount(row.at(5));
    counters.answerTokens = decodeCount(row.at(6));
    counters.refusedTokens = decodeCount(row.at(7));
    counters.failedTokens = decodeCount(row.at(8));
    usage[key] = counters;
  }
  return usage;
}

json encodeAmounts(const std::map<std::string, std::uint64_t>& amounts) {
  json value = json::object();
  for (const auto& [name, tokens] : amounts)
    value[name] = tokens;
  return value;
}

std::map<std::string, std::uint64_t> decodeAmounts(const json& value) {
  std::map<std::string, std::uint64_t> amounts;
  for (const auto& [name, tokens] : bounded(value, kMaxTenants).items())
    amounts[name] = decodeCount(tokens);
  return amounts;
}

}  // namespace inference_router::shared
