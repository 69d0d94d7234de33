#include "shared/part_codec.h"

#include "shared/field_codec.h"

namespace inference_router::shared {

using nlohmann::json;

namespace {

constexpr std::string_view kPartKind = "dahliastall-part/";

namespace size = encoded_bytes;
constexpr std::size_t kMaxSpendsBytes =
    size::kContainer + kMaxTenants * (size::kIdentifier + size::kShortList + 6 * size::kNumber);
constexpr std::size_t kMaxObservationsBytes =
    size::kContainer +
    kMaxInstances * (size::kIdentifier + size::kShortList + 4 * size::kNumber + size::kSmallNumber);
constexpr std::size_t kMaxPartBytes = size::kFixedFields + kMaxSpendsBytes + size::kUsageTable +
                                      kMaxObservationsBytes + size::kAmounts;
static_assert(kMaxPartBytes <= kMaxDocumentBytes);

json encodeSpends(const std::map<std::string, Spend>& spends) {
  json value = json::object();
  for (const auto& [tenant, spend] : spends) {
    value[tenant] = {spend.spent,    spend.reserved, spend.ceiling,
                     spend.lentSeen, spend.returned, spend.requestedLoan};
  }
  return value;
}

std::map<std::string, Spend> decodeSpends(const json& value) {
  std::map<std::string, Spend> spends;
  for (const auto& [tenant, fields] : bounded(value, kMaxTenants).items()) {
    Spend spend;
    spend.spent = decodeCount(fields.at(0));
    spend.reserved = decodeCount(fields.at(1));
    spend.ceiling = decodeCount(fields.at(2));
    spend.lentSeen = decodeCount(fields.at(3));
    spend.returned = decodeCount(fields.at(4));
    spend.requestedLoan = decodeCount(fields.at(5));
    spends[tenant] = spend;
  }
  return spends;
}

json encodeObservations(const std::map<std::string, HealthObservation>& observations) {
  json value = json::object();
  for (const auto& [instance, observation] : observations) {
    value[instance] = {observation.successes, observation.failures, observation.successAgeMs,
                       observation.failureAgeMs, static_cast<std::uint64_t>(observation.failure)};
  }
  return value;
}

std::map<std::string, HealthObservation> decodeObservations(const json& value) {
  std::map<std::string, HealthObservation> observations;
  for (const auto& [instance, fields] : bounded(value, kMaxInstances).items()) {
    HealthObservation observation;
    observation.successes = decodeAmount(fields.at(0), kMaxEvidence);
    observation.failures = decodeAmount(fields.at(1), kMaxEvidence);
    observation.failureAgeMs = decodeAmount(fields.at(3), kMaxAgeMs);
    observation.successAgeMs = decodeAmount(fields.at(2), kMaxAgeMs);
    observation.failure = decodeFailureKind(fields.at(4));
    observations[instance] = observation;
  }
  return observations;
}

json encodeFinalUsage(const FinalUsage& usage) {
  return {{"incarnation", usage.incarnation},
          {"period", usage.period},
          {"used", encodeAmounts(usage.used)}};
}

FinalUsage decodeFinalUsage(const json& value) {
  FinalUsage usage;
  usage.incarnation = decodeUnsigned(value.at("incarnation"));
  usage.period = decodeUnsigned(value.at("period"));
  usage.used = decodeAmounts(value.at("used"));
  return usage;
}

Part decodeFields(const json& value) {
  Part part;
  part.origin = decodeOrigin(value.at("origin"));
  part.sequence = decodeUnsigned(value.at("word"));
  part.digestSequenceSeen = decodeUnsigned(value.at("beat"));
  part.unixMs = decodeAmount(value.at("unix_ms"), kMaxUnixMs);
  part.period = decodeUnsigned(value.at("period"));
  part.spends = decodeSpends(value.at("spends"));
  part.usage = decodeUsage(value.at("tallies"));
  part.observations = decodeObservations(value.at("sights"));
  if (value.contains("settled"))
    part.finalUsage = decodeFinalUsage(value.at("settled"));
  return part;
}

}  // namespace

std::string encode(const Part& part) {
  json value{{"origin", encodeOrigin(part.origin)},
             {"word", part.sequence},
             {"beat", part.digestSequenceSeen},
             {"unix_ms", part.unixMs},
             {"period", part.period},
             {"spends", encodeSpends(part.spends)},
             {"tallies", encodeUsage(part.usage)},
             {"sights", encodeObservations(part.observations)}};
  if (part.finalUsage)
    value["settled"] = encodeFinalUsage(*part.finalUsage);
  return sealDocument(kPartKind, value);
}

DecodedPart decodePart(std::string_view text) {
  const OpenedDocument opened = openDocument(kPartKind, text);
  if (opened.error != DecodeError::kNone)
    return {opened.error, std::nullopt};
  auto decoded = decodeGuarded([&opened] { return decodeFields(opened.value); });
  return {decoded.error, std::move(decoded.value)};
}

}  // namespace inference_router::shared
