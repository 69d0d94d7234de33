#include "shared/codec.h"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace inference_router::shared {

using nlohmann::json;

namespace {

// A document reads "dahliastall-part/1 1a2b3c4d " and then MessagePack, over which the checksum is
// computed. The number after the slash is the format version; adding fields does not change it.
constexpr std::string_view kPartHeader = "dahliastall-part/", kDigestHeader = "dahliastall-digest/";
constexpr std::string_view kFormatVersion = "1";
constexpr std::size_t kChecksumDigits = 8;

struct OutOfBounds : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::uint32_t checksumOf(std::string_view bytes) {
  boost::crc_32_type checksum;
  checksum.process_bytes(bytes.data(), bytes.size());
  return checksum.checksum();
}

std::string seal(std::string_view header, const json& value) {
  const auto packed = json::to_msgpack(value);
  const std::string_view bytes(reinterpret_cast<const char*>(packed.data()), packed.size());
  std::array<char, kChecksumDigits + 3> checksum{};
  std::snprintf(checksum.data(), checksum.size(), " %08x ", checksumOf(bytes));
  return std::string(header) + std::string(kFormatVersion) + checksum.data() + std::string(bytes);
}

// ---- What the texts of a fleet at its bounds need, by MessagePack's longest forms
// ------------------------

constexpr std::size_t kNumber = 9, kIndex = 3, kShortList = 1, kContainer = 5,
                      kIdentifier = kMaxIdentifierBytes + 2;
constexpr std::size_t kFixedFields = 1024;  // header, checksum, field names, single numbers
constexpr std::size_t kOrigin = kShortList + kMaxNodeNameBytes + 2 + kNumber;
constexpr std::size_t kUsageRows =
    kContainer + kMaxUsageRows * (kShortList + 2 * kIdentifier + 7 * kNumber);
constexpr std::size_t kAmounts = kContainer + kMaxTenants * (kIdentifier + kNumber);
constexpr std::size_t kLargestPart =
    kFixedFields + kContainer + kMaxTenants * (kIdentifier + kShortList + 6 * kNumber) +
    kUsageRows + kContainer + kMaxInstances * (kIdentifier + kShortList + 4 * kNumber + 1) +
    kAmounts;
constexpr std::size_t kLoans = kContainer + kMaxOrigins * (kShortList + kIndex + kNumber);
// Without `total` and `folded`, which are left out if there is no room.
constexpr std::size_t kLeastDigest =
    kFixedFields + kContainer + kMaxOrigins * (kOrigin + kNumber) +
    kMaxTenants * (kIdentifier + kFixedFields / 16 + 3 * kNumber + kLoans) + kUsageRows +
    kContainer + kMaxInstances * (kIdentifier + kShortList + 2 * kIndex + 2 + 2 * kNumber);
static_assert(kLargestPart <= kMaxDocumentBytes && kLeastDigest <= kMaxDocumentBytes);

struct OpenedDocument {
  DecodeError error = DecodeError::kNone;
  json value;
};
// Checks header, version and checksum, and unpacks the value.
OpenedDocument open(std::string_view header, std::string_view text) {
  if (text.size() > kMaxDocumentBytes)
    return {DecodeError::kTooLarge, {}};
  if (text.substr(0, header.size()) != header)
    return {DecodeError::kForeign, {}};
  text.remove_prefix(header.size());
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos || space > 8)
    return {DecodeError::kDamaged, {}};
  if (text.substr(0, space) != kFormatVersion)
    return {DecodeError::kUnsupportedVersion, {}};
  text.remove_prefix(space + 1);
  if (text.size() < kChecksumDigits + 1 || text[kChecksumDigits] != ' ')
    return {DecodeError::kDamaged, {}};
  std::uint32_t checksum = 0;
  const auto [end, decodeError] =
      std::from_chars(text.data(), text.data() + kChecksumDigits, checksum, 16);
  text.remove_prefix(kChecksumDigits + 1);
  if (decodeError != std::errc() || checksumOf(text) != checksum)
    return {DecodeError::kDamaged, {}};
  json value =
      json::from_msgpack(text.begin(), text.end(), /*strict=*/true, /*allow_exceptions=*/false);
  if (!value.is_object())
    return {DecodeError::kMalformed, {}};
  return {DecodeError::kNone, std::move(value)};
}

// ---- Values within their bounds
// ------------------------------------------------------------------------

std::uint64_t count(const json& value, std::uint64_t most = kMaxTokens) {
  if (!value.is_number_unsigned())
    throw OutOfBounds("negative, or no whole number");
  const auto number = value.get<std::uint64_t>();
  if (number > most)
    throw OutOfBounds("too large");
  return number;
}
std::uint64_t unsignedNumber(const json& value) {
  return count(value, UINT64_MAX);
}

double amount(const json& value, double most) {
  const double number = value.get<double>();
  if (!(number >= 0 && number <= most))
    throw OutOfBounds("no amount");
  return number;
}

std::string identifier(const json& value) {
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxIdentifierBytes)
    throw OutOfBounds("no name");
  return text;
}

const json& bounded(const json& value, std::size_t most) {
  if (value.size() > most)
    throw OutOfBounds("too many");
  return value;
}

FailureKind failureKindOf(const json& value) {
  return static_cast<FailureKind>(count(value, static_cast<std::uint64_t>(FailureKind::kSlow)));
}

// ---- Parts of both
// -------------------------------------------------------------------------------------

json jsonOf(const Origin& origin) {
  return json::array({origin.name, origin.incarnation});
}
Origin originOf(const json& value) {
  return {identifier(value.at(0)), unsignedNumber(value.at(1))};
}

json jsonOf(const UsageTable& usage) {
  json list = json::array();
  for (const auto& [key, t] : usage)
    list.push_back({key.tenant, key.requestClass, t.served, t.refused, t.failed, t.promptTokens,
                    t.answerTokens, t.refusedTokens, t.failedTokens});
  return list;
}
UsageTable usageTableOf(const json& value) {
  UsageTable usage;
  for (const json& one : bounded(value, kMaxUsageRows))
    usage[{identifier(one.at(0)), identifier(one.at(1))}] = {
        count(one.at(2)), count(one.at(3)), count(one.at(4)), count(one.at(5)),
        count(one.at(6)), count(one.at(7)), count(one.at(8))};
  return usage;
}

json jsonOf(const std::map<std::string, std::uint64_t>& amounts) {
  json value = json::object();
  for (const auto& [name, tokens] : amounts)
    value[name] = tokens;
  return value;
}
std::map<std::string, std::uint64_t> amountsOf(const json& value) {
  std::map<std::string, std::uint64_t> amounts;
  for (const auto& [name, tokens] : bounded(value, kMaxTenants).items())
    amounts[name] = count(tokens);
  return amounts;
}

template <class Document>
struct Decoded {
  DecodeError error = DecodeError::kNone;
  std::optional<Document> document;
};

// Runs a decoder and turns what it throws into an error.
template <class Read>
auto decodeGuarded(const Read& read) -> Decoded<decltype(read())> {
  try {
    return {DecodeError::kNone, read()};
  } catch (const OutOfBounds&) {
    return {DecodeError::kBeyondBounds, std::nullopt};
  } catch (const json::exception&) {
    return {DecodeError::kMalformed, std::nullopt};
  }
}

constexpr double kMaxAgeMs = 1e12, kMaxEvidence = 1e9;

}  // namespace

const char* nameOf(DecodeError error) {
  constexpr std::array<const char*, 7> kNames{"none",    "too_large", "foreign",      "damaged",
                                              "version", "malformed", "beyond_bounds"};
  return kNames[static_cast<std::size_t>(error)];
}

std::string Part::key() const {
  return kPartPrefix + origin.name + "/" + std::to_string(origin.incarnation);
}

const Folded* Digest::foldedOf(const Origin& origin) const {
  const auto it = std::find_if(folded.begin(), folded.end(),
                               [&](const Folded& one) { return one.origin == origin; });
  return it == folded.end() ? nullptr : &*it;
}

// ---- A router's part
// --------------------------------------------------------------------------------

std::string encode(const Part& part) {
  json spends = json::object(), observations = json::object();
  for (const auto& [tenant, s] : part.spends)
    spends[tenant] = {s.spent, s.reserved, s.ceiling, s.lentSeen, s.returned, s.wants};
  for (const auto& [instance, s] : part.observations)
    observations[instance] = {s.good, s.bad, s.goodAgeMs, s.badAgeMs,
                              static_cast<std::uint64_t>(s.failure)};
  json value{{"origin", jsonOf(part.origin)},   {"word", part.sequence},
             {"beat", part.digestSequenceSeen}, {"unix_ms", part.unixMs},
             {"period", part.period},           {"spends", spends},
             {"tallies", jsonOf(part.usage)},   {"sights", observations}};
  if (part.finalUsage)
    value["settled"] = {{"incarnation", part.finalUsage->incarnation},
                        {"period", part.finalUsage->period},
                        {"used", jsonOf(part.finalUsage->used)}};
  return seal(kPartHeader, value);
}

DecodedPart decodePart(std::string_view text) {
  const auto [error, value] = open(kPartHeader, text);
  if (error != DecodeError::kNone)
    return {error, std::nullopt};
  const json& whole = value;
  const auto [decodeError, part] = decodeGuarded([&] {
    Part part;
    part.origin = originOf(whole.at("origin"));
    part.sequence = unsignedNumber(whole.at("word"));
    part.digestSequenceSeen = unsignedNumber(whole.at("beat"));
    part.unixMs = amount(whole.at("unix_ms"), 1e15);
    part.period = unsignedNumber(whole.at("period"));
    for (const auto& [tenant, s] : bounded(whole.at("spends"), kMaxTenants).items())
      part.spends[tenant] = {count(s.at(0)), count(s.at(1)), count(s.at(2)),
                             count(s.at(3)), count(s.at(4)), count(s.at(5))};
    part.usage = usageTableOf(whole.at("tallies"));
    for (const auto& [instance, s] : bounded(whole.at("sights"), kMaxInstances).items())
      part.observations[instance] = {amount(s.at(0), kMaxEvidence), amount(s.at(1), kMaxEvidence),
                                     amount(s.at(3), kMaxAgeMs), amount(s.at(2), kMaxAgeMs),
                                     failureKindOf(s.at(4))};
    if (whole.contains("settled")) {
      const json& s = whole.at("settled");
      part.finalUsage = FinalUsage{unsignedNumber(s.at("incarnation")),
                                   unsignedNumber(s.at("period")), amountsOf(s.at("used"))};
    }
    return part;
  });
  return {decodeError, part};
}

// ---- The digest
// ----------------------------------------------------------------------------------------

std::string encode(const Digest& digest) {
  // Routers are named once; everything else refers to their index in that list.
  json nodes = json::array();
  std::map<Origin, std::size_t> indexOf;
  const auto name = [&](const Origin& origin, std::uint64_t sequence) {
    if (!indexOf.emplace(origin, nodes.size()).second)
      return;
    nodes.push_back({origin.name, origin.incarnation, sequence});
  };
  for (const auto& [origin, sequence] : digest.heard)
    name(origin, sequence);
  for (const auto& [tenant, line] : digest.budgets)
    for (const auto& [origin, lent] : line.lent)
      name(origin, 0);
  json budgets = json::object(), folded = json::array(), instances = json::object();
  for (const auto& [tenant, line] : digest.budgets) {
    json lent = json::array();
    for (const auto& [origin, tokens] : line.lent)
      lent.push_back({indexOf.at(origin), tokens});
    budgets[tenant] = {
        {"limit", line.limit}, {"charged", line.charged}, {"left", line.left}, {"lent", lent}};
  }
  for (const Folded& one : digest.folded)
    folded.push_back({jsonOf(one.origin), one.sequence, one.period, jsonOf(one.charged)});
  for (const auto& [instance, verdict] : digest.instances)
    instances[instance] = {verdict.bad,      verdict.good,
                           verdict.out,      static_cast<std::uint64_t>(verdict.failure),
                           verdict.evidence, verdict.sinceSequence};
  json value = digest.unknown;
  value.update({{"beat", digest.sequence},
                {"restored", digest.restored},
                {"lends_from", digest.lendsFromSequence},
                {"fence", digest.fence},
                {"period", digest.period},
                {"period_ends_ms", digest.periodEndsMs},
                {"nodes", nodes},
                {"budgets", budgets},
                {"base", jsonOf(digest.base)},
                {"total", jsonOf(digest.total)},
                {"folded", folded},
                {"boxes", instances}});
  return seal(kDigestHeader, value);
}

DecodedDigest decodeDigest(std::string_view text) {
  const auto [error, value] = open(kDigestHeader, text);
  if (error != DecodeError::kNone)
    return {error, std::nullopt};
  const json& whole = value;
  const auto [decodeError, digest] = decodeGuarded([&] {
    Digest digest;
    digest.sequence = unsignedNumber(whole.at("beat"));
    digest.restored = unsignedNumber(whole.at("restored"));
    digest.lendsFromSequence = unsignedNumber(whole.at("lends_from"));
    digest.fence = unsignedNumber(whole.at("fence"));
    digest.period = unsignedNumber(whole.at("period"));
    digest.periodEndsMs = amount(whole.at("period_ends_ms"), 1e15);
    std::vector<Origin> nodes;
    for (const json& one : bounded(whole.at("nodes"), kMaxOrigins)) {
      nodes.push_back(originOf(one));
      if (const std::uint64_t heard = unsignedNumber(one.at(2)); heard > 0)
        digest.heard[nodes.back()] = heard;
    }
    for (const auto& [tenant, b] : bounded(whole.at("budgets"), kMaxTenants).items()) {
      BudgetLine& line = digest.budgets[tenant];
      line.limit = count(b.at("limit"));
      line.charged = count(b.at("charged"));
      line.left = count(b.at("left"));
      for (const json& one : bounded(b.at("lent"), kMaxOrigins)) {
        const std::uint64_t index = unsignedNumber(one.at(0));
        if (index >= nodes.size())
          throw OutOfBounds("a loan to nobody");
        line.lent[nodes[index]] = count(one.at(1));
      }
    }
    digest.base = usageTableOf(whole.at("base"));
    digest.total = usageTableOf(whole.at("total"));
    for (const json& one : bounded(whole.at("folded"), kMaxFolded))
      digest.folded.push_back({originOf(one.at(0)), unsignedNumber(one.at(1)),
                               unsignedNumber(one.at(2)), amountsOf(one.at(3))});
    for (const auto& [instance, verdict] : bounded(whole.at("boxes"), kMaxInstances).items())
      digest.instances[instance] = {static_cast<std::uint32_t>(count(verdict.at(0), kMaxNodes)),
                                    static_cast<std::uint32_t>(count(verdict.at(1), kMaxNodes)),
                                    verdict.at(2).get<bool>(),
                                    failureKindOf(verdict.at(3)),
                                    amount(verdict.at(4), kMaxEvidence * kMaxNodes),
                                    unsignedNumber(verdict.at(5))};
    for (const auto& [field, rest] : whole.items())
      digest.unknown[field] = rest;
    for (const char* known : {"beat", "restored", "lends_from", "fence", "period", "period_ends_ms",
                              "nodes", "budgets", "base", "total", "folded", "boxes"})
      digest.unknown.erase(known);
    return digest;
  });
  return {decodeError, digest};
}

}  // namespace inference_router::shared
