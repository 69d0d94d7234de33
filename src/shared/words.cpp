#include "shared/words.h"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace dahliastall::shared {

using nlohmann::json;

namespace {

// "dahliastall-part/1 1a2b3c4d " and MessagePack: the sum is over what follows it. The number after the slash
// is the form; a program that only adds fields leaves it as it is.
constexpr std::string_view kPartForm = "dahliastall-part/", kDigestForm = "dahliastall-digest/";
constexpr std::string_view kVersion = "1";
constexpr std::size_t kSumDigits = 8;

struct Beyond : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::uint32_t sumOf(std::string_view bytes) {
  boost::crc_32_type sum;
  sum.process_bytes(bytes.data(), bytes.size());
  return sum.checksum();
}

std::string sealed(std::string_view form, const json& value) {
  const auto packed = json::to_msgpack(value);
  const std::string_view bytes(reinterpret_cast<const char*>(packed.data()), packed.size());
  std::array<char, kSumDigits + 3> sum{};
  std::snprintf(sum.data(), sum.size(), " %08x ", sumOf(bytes));
  return std::string(form) + std::string(kVersion) + sum.data() + std::string(bytes);
}

// ---- What the texts of a fleet at its bounds need, by MessagePack's longest forms ------------------------

constexpr std::size_t kNumber = 9, kPlace = 3, kList = 1, kMany = 5, kWord = kLongestWord + 2;
constexpr std::size_t kRest = 1024;  // form, sum, the names of fields, single numbers
constexpr std::size_t kOrigin = kList + kLongestName + 2 + kNumber;
constexpr std::size_t kTallies = kMany + kMostTallies * (kList + 2 * kWord + 7 * kNumber);
constexpr std::size_t kAmounts = kMany + kMostTenants * (kWord + kNumber);
constexpr std::size_t kLargestPart = kRest + kMany + kMostTenants * (kWord + kList + 6 * kNumber) + kTallies +
                                     kMany + kMaxInstances * (kWord + kList + 4 * kNumber + 1) + kAmounts;
constexpr std::size_t kLoans = kMany + kMostOrigins * (kList + kPlace + kNumber);
// Without the sum of all counts, which is for people, and what is told to those that were folded: these two
// are left out where there is no room.
constexpr std::size_t kLeastDigest = kRest + kMany + kMostOrigins * (kOrigin + kNumber) +
                                     kMostTenants * (kWord + kRest / 16 + 3 * kNumber + kLoans) + kTallies +
                                     kMany + kMaxInstances * (kWord + kList + 2 * kPlace + 2 + 2 * kNumber);
static_assert(kLargestPart <= kLargestText && kLeastDigest <= kLargestText);

// The value in a text of this form, or what is wrong with it.
std::pair<Flaw, json> opened(std::string_view form, std::string_view text) {
  if (text.size() > kLargestText) return {Flaw::kTooLarge, {}};
  if (text.substr(0, form.size()) != form) return {Flaw::kForeign, {}};
  text.remove_prefix(form.size());
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos || space > 8) return {Flaw::kDamaged, {}};
  if (text.substr(0, space) != kVersion) return {Flaw::kVersion, {}};
  text.remove_prefix(space + 1);
  if (text.size() < kSumDigits + 1 || text[kSumDigits] != ' ') return {Flaw::kDamaged, {}};
  std::uint32_t sum = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + kSumDigits, sum, 16);
  text.remove_prefix(kSumDigits + 1);
  if (fault != std::errc() || sumOf(text) != sum) return {Flaw::kDamaged, {}};
  json value = json::from_msgpack(text.begin(), text.end(), /*strict=*/true, /*allow_exceptions=*/false);
  if (!value.is_object()) return {Flaw::kMalformed, {}};
  return {Flaw::kNone, std::move(value)};
}

// ---- Values within their bounds ------------------------------------------------------------------------

std::uint64_t count(const json& value, std::uint64_t most = kMostTokens) {
  if (!value.is_number_unsigned()) throw Beyond("negative, or no whole number");
  const auto number = value.get<std::uint64_t>();
  if (number > most) throw Beyond("too large");
  return number;
}
std::uint64_t anyNumber(const json& value) { return count(value, UINT64_MAX); }

double amount(const json& value, double most) {
  const double number = value.get<double>();
  if (!(number >= 0 && number <= most)) throw Beyond("no amount");
  return number;
}

std::string word(const json& value) {
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kLongestWord) throw Beyond("no name");
  return text;
}

const json& within(const json& value, std::size_t most) {
  if (value.size() > most) throw Beyond("too many");
  return value;
}

FailureKind failureKindOf(const json& value) {
  return static_cast<FailureKind>(count(value, static_cast<std::uint64_t>(FailureKind::kSlow)));
}

// ---- Parts of both -------------------------------------------------------------------------------------

json jsonOf(const Origin& origin) { return json::array({origin.name, origin.incarnation}); }
Origin originOf(const json& value) { return {word(value.at(0)), anyNumber(value.at(1))}; }

json jsonOf(const Tallies& tallies) {
  json list = json::array();
  for (const auto& [key, t] : tallies)
    list.push_back({key.first, key.second, t.served, t.refused, t.failed, t.promptTokens, t.answerTokens,
                    t.refusedTokens, t.failedTokens});
  return list;
}
Tallies talliesOf(const json& value) {
  Tallies tallies;
  for (const json& one : within(value, kMostTallies))
    tallies[{word(one.at(0)), word(one.at(1))}] = {count(one.at(2)), count(one.at(3)), count(one.at(4)),
                                                   count(one.at(5)), count(one.at(6)), count(one.at(7)),
                                                   count(one.at(8))};
  return tallies;
}

json jsonOf(const std::map<std::string, std::uint64_t>& amounts) {
  json value = json::object();
  for (const auto& [name, tokens] : amounts) value[name] = tokens;
  return value;
}
std::map<std::string, std::uint64_t> amountsOf(const json& value) {
  std::map<std::string, std::uint64_t> amounts;
  for (const auto& [name, tokens] : within(value, kMostTenants).items()) amounts[name] = count(tokens);
  return amounts;
}

template <class Read>
auto guarded(const Read& read) -> std::pair<Flaw, std::optional<decltype(read())>> {
  try {
    return {Flaw::kNone, read()};
  } catch (const Beyond&) {
    return {Flaw::kBeyondBounds, std::nullopt};
  } catch (const json::exception&) {
    return {Flaw::kMalformed, std::nullopt};
  }
}

constexpr double kLongestAgeMs = 1e12, kMostEvidence = 1e9;

}  // namespace

const char* nameOf(Flaw flaw) {
  constexpr std::array<const char*, 7> kNames{"none",    "too_large", "foreign",      "damaged",
                                              "version", "malformed", "beyond_bounds"};
  return kNames[static_cast<std::size_t>(flaw)];
}

std::string Part::key() const { return kPartPrefix + origin.name + "/" + std::to_string(origin.incarnation); }

const Folded* Digest::foldedOf(const Origin& origin) const {
  const auto it =
      std::find_if(folded.begin(), folded.end(), [&](const Folded& one) { return one.origin == origin; });
  return it == folded.end() ? nullptr : &*it;
}

// ---- A conductor's part --------------------------------------------------------------------------------

std::string textOf(const Part& part) {
  json spends = json::object(), observations = json::object();
  for (const auto& [tenant, s] : part.spends)
    spends[tenant] = {s.spent, s.reserved, s.ceiling, s.lentSeen, s.returned, s.wants};
  for (const auto& [box, s] : part.observations)
    observations[box] = {s.good, s.bad, s.goodAgeMs, s.badAgeMs, static_cast<std::uint64_t>(s.failure)};
  json value{{"origin", jsonOf(part.origin)},   {"word", part.word},     {"beat", part.beatSeen},
             {"unix_ms", part.unixMs},          {"period", part.period}, {"spends", spends},
             {"tallies", jsonOf(part.tallies)}, {"sights", observations}};
  if (part.settled)
    value["settled"] = {{"incarnation", part.settled->incarnation},
                        {"period", part.settled->period},
                        {"used", jsonOf(part.settled->used)}};
  return sealed(kPartForm, value);
}

PartRead partOf(std::string_view text) {
  const auto [flaw, value] = opened(kPartForm, text);
  if (flaw != Flaw::kNone) return {flaw, std::nullopt};
  const json& whole = value;
  const auto [fault, part] = guarded([&] {
    Part part;
    part.origin = originOf(whole.at("origin"));
    part.word = anyNumber(whole.at("word"));
    part.beatSeen = anyNumber(whole.at("beat"));
    part.unixMs = amount(whole.at("unix_ms"), 1e15);
    part.period = anyNumber(whole.at("period"));
    for (const auto& [tenant, s] : within(whole.at("spends"), kMostTenants).items())
      part.spends[tenant] = {count(s.at(0)), count(s.at(1)), count(s.at(2)),
                             count(s.at(3)), count(s.at(4)), count(s.at(5))};
    part.tallies = talliesOf(whole.at("tallies"));
    for (const auto& [box, s] : within(whole.at("sights"), kMaxInstances).items())
      part.observations[box] = {amount(s.at(0), kMostEvidence), amount(s.at(1), kMostEvidence),
                                amount(s.at(3), kLongestAgeMs), amount(s.at(2), kLongestAgeMs),
                                failureKindOf(s.at(4))};
    if (whole.contains("settled")) {
      const json& s = whole.at("settled");
      part.settled =
          Settled{anyNumber(s.at("incarnation")), anyNumber(s.at("period")), amountsOf(s.at("used"))};
    }
    return part;
  });
  return {fault, part};
}

// ---- The digest ----------------------------------------------------------------------------------------

std::string textOf(const Digest& digest) {
  // Conductors are named once, and all else goes by their place in that list.
  json nodes = json::array();
  std::map<Origin, std::size_t> placeOf;
  const auto name = [&](const Origin& origin, std::uint64_t word) {
    if (!placeOf.emplace(origin, nodes.size()).second) return;
    nodes.push_back({origin.name, origin.incarnation, word});
  };
  for (const auto& [origin, word] : digest.heard) name(origin, word);
  for (const auto& [tenant, line] : digest.budgets)
    for (const auto& [origin, lent] : line.lent) name(origin, 0);
  json budgets = json::object(), folded = json::array(), boxes = json::object();
  for (const auto& [tenant, line] : digest.budgets) {
    json lent = json::array();
    for (const auto& [origin, tokens] : line.lent) lent.push_back({placeOf.at(origin), tokens});
    budgets[tenant] = {{"limit", line.limit}, {"charged", line.charged}, {"left", line.left}, {"lent", lent}};
  }
  for (const Folded& one : digest.folded)
    folded.push_back({jsonOf(one.origin), one.word, one.period, jsonOf(one.charged)});
  for (const auto& [box, verdict] : digest.boxes)
    boxes[box] = {verdict.bad,      verdict.good,
                  verdict.out,      static_cast<std::uint64_t>(verdict.failure),
                  verdict.evidence, verdict.sinceBeat};
  json value = digest.unknown;
  value.update({{"beat", digest.beat},
                {"restored", digest.restored},
                {"lends_from", digest.lendsFromBeat},
                {"fence", digest.fence},
                {"period", digest.period},
                {"period_ends_ms", digest.periodEndsMs},
                {"nodes", nodes},
                {"budgets", budgets},
                {"base", jsonOf(digest.base)},
                {"total", jsonOf(digest.total)},
                {"folded", folded},
                {"boxes", boxes}});
  return sealed(kDigestForm, value);
}

DigestRead digestOf(std::string_view text) {
  const auto [flaw, value] = opened(kDigestForm, text);
  if (flaw != Flaw::kNone) return {flaw, std::nullopt};
  const json& whole = value;
  const auto [fault, digest] = guarded([&] {
    Digest digest;
    digest.beat = anyNumber(whole.at("beat"));
    digest.restored = anyNumber(whole.at("restored"));
    digest.lendsFromBeat = anyNumber(whole.at("lends_from"));
    digest.fence = anyNumber(whole.at("fence"));
    digest.period = anyNumber(whole.at("period"));
    digest.periodEndsMs = amount(whole.at("period_ends_ms"), 1e15);
    std::vector<Origin> nodes;
    for (const json& one : within(whole.at("nodes"), kMostOrigins)) {
      nodes.push_back(originOf(one));
      if (const std::uint64_t heard = anyNumber(one.at(2)); heard > 0) digest.heard[nodes.back()] = heard;
    }
    for (const auto& [tenant, b] : within(whole.at("budgets"), kMostTenants).items()) {
      BudgetLine& line = digest.budgets[tenant];
      line.limit = count(b.at("limit"));
      line.charged = count(b.at("charged"));
      line.left = count(b.at("left"));
      for (const json& one : within(b.at("lent"), kMostOrigins)) {
        const std::uint64_t place = anyNumber(one.at(0));
        if (place >= nodes.size()) throw Beyond("a loan to nobody");
        line.lent[nodes[place]] = count(one.at(1));
      }
    }
    digest.base = talliesOf(whole.at("base"));
    digest.total = talliesOf(whole.at("total"));
    for (const json& one : within(whole.at("folded"), kMostFolded))
      digest.folded.push_back(
          {originOf(one.at(0)), anyNumber(one.at(1)), anyNumber(one.at(2)), amountsOf(one.at(3))});
    for (const auto& [box, verdict] : within(whole.at("boxes"), kMaxInstances).items())
      digest.boxes[box] = {static_cast<std::uint32_t>(count(verdict.at(0), kMostNodes)),
                           static_cast<std::uint32_t>(count(verdict.at(1), kMostNodes)),
                           verdict.at(2).get<bool>(),
                           failureKindOf(verdict.at(3)),
                           amount(verdict.at(4), kMostEvidence * kMostNodes),
                           anyNumber(verdict.at(5))};
    for (const auto& [field, rest] : whole.items()) digest.unknown[field] = rest;
    for (const char* known : {"beat", "restored", "lends_from", "fence", "period", "period_ends_ms", "nodes",
                              "budgets", "base", "total", "folded", "boxes"})
      digest.unknown.erase(known);
    return digest;
  });
  return {fault, digest};
}

}  // namespace dahliastall::shared
