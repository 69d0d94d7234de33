#include "shared/digest_codec.h"

#include <algorithm>
#include <array>

#include "shared/field_codec.h"

namespace inference_router::shared {

using nlohmann::json;

namespace {

constexpr std::string_view kDigestKind = "dahliastall-digest/";
constexpr std::array kKnownFields{"beat",   "restored",       "lends_from", "fence",
                                  "period", "period_ends_ms", "nodes",      "budgets",
                                  "base",   "total",          "folded",     "boxes"};

// The largest digest without `total` and `folded`, which are dropped from a digest that is too
// large.
namespace size = encoded_bytes;
constexpr std::size_t kMaxNodesBytes =
    size::kContainer + kMaxOrigins * (size::kOrigin + size::kNumber);
constexpr std::size_t kMaxLoansBytes =
    size::kContainer + kMaxOrigins * (size::kShortList + size::kIndex + size::kNumber);
constexpr std::size_t kBudgetFieldNames = size::kFixedFields / 16;
constexpr std::size_t kMaxBudgetsBytes =
    kMaxTenants * (size::kIdentifier + kBudgetFieldNames + 3 * size::kNumber + kMaxLoansBytes);
constexpr std::size_t kMaxVerdictsBytes =
    size::kContainer + kMaxInstances * (size::kIdentifier + size::kShortList + 2 * size::kIndex +
                                        size::kFlag + size::kSmallNumber + 2 * size::kNumber);
static_assert(size::kFixedFields + kMaxNodesBytes + kMaxBudgetsBytes + size::kUsageTable +
                  kMaxVerdictsBytes <=
              kMaxDocumentBytes);

/// The routers that occur in a digest. Each is listed once; loans refer to it by its index.
class NodeList {
 public:
  explicit NodeList(const Digest& digest) {
    for (const auto& [origin, sequence] : digest.liveNodes)
      add(origin, sequence);
    for (const auto& [tenant, line] : digest.budgets) {
      for (const auto& [origin, lent] : line.lent)
        add(origin, 0);
    }
  }
  const json& encoded() const { return encoded_; }
  std::size_t indexOf(const Origin& origin) const { return indices_.at(origin); }

 private:
  void add(const Origin& origin, std::uint64_t sequence) {
    if (indices_.emplace(origin, encoded_.size()).second)
      encoded_.push_back({origin.name, origin.incarnation, sequence});
  }

  json encoded_ = json::array();
  std::map<Origin, std::size_t> indices_;
};

/// Fills in digest.liveNodes; returns all listed routers, in order.
std::vector<Origin> decodeNodes(const json& value, Digest& digest) {
  std::vector<Origin> nodes;
  for (const json& entry : bounded(value, kMaxOrigins)) {
    nodes.push_back(decodeOrigin(entry));
    const std::uint64_t sequence = decodeUnsigned(entry.at(2));
    if (sequence > 0)
      digest.liveNodes[nodes.back()] = sequence;
  }
  return nodes;
}

json encodeBudgets(const std::map<std::string, BudgetLine>& budgets, const NodeList& nodes) {
  json value = json::object();
  for (const auto& [tenant, line] : budgets) {
    json lent = json::array();
    for (const auto& [origin, tokens] : line.lent)
      lent.push_back({nodes.indexOf(origin), tokens});
    value[tenant] = {
        {"limit", line.limit}, {"charged", line.charged}, {"left", line.available}, {"lent", lent}};
  }
  return value;
}

BudgetLine decodeBudgetLine(const json& value, const std::vector<Origin>& nodes) {
  BudgetLine line;
  line.limit = decodeCount(value.at("limit"));
  line.charged = decodeCount(value.at("charged"));
  line.available = decodeCount(value.at("left"));
  for (const json& loan : bounded(value.at("lent"), kMaxOrigins)) {
    const std::uint64_t index = decodeUnsigned(loan.at(0));
    if (index >= nodes.size())
      throw OutOfBounds("the loan refers to a node that is not listed");
    line.lent[nodes[index]] = decodeCount(loan.at(1));
  }
  return line;
}

std::map<std::string, BudgetLine> decodeBudgets(const json& value,
                                                const std::vector<Origin>& nodes) {
  std::map<std::string, BudgetLine> budgets;
  for (const auto& [tenant, line] : bounded(value, kMaxTenants).items())
    budgets[tenant] = decodeBudgetLine(line, nodes);
  return budgets;
}

json encodeFolded(const std::vector<Folded>& folded) {
  json value = json::array();
  for (const Folded& entry : folded) {
    value.push_back(
        {encodeOrigin(entry.origin), entry.sequence, entry.period, encodeAmounts(entry.charged)});
  }
  return value;
}

std::vector<Folded> decodeFolded(const json& value) {
  std::vector<Folded> folded;
  for (const json& entry : bounded(value, kMaxFolded)) {
    folded.push_back({decodeOrigin(entry.at(0)), decodeUnsigned(entry.at(1)),
                      decodeUnsigned(entry.at(2)), decodeAmounts(entry.at(3))});
  }
  return folded;
}

json encodeVerdicts(const std::map<std::string, HealthVerdict>& verdicts) {
  json value = json::object();
  for (const auto& [instance, verdict] : verdicts) {
    value[instance] = {verdict.unhealthyVotes, verdict.healthyVotes,
                       verdict.excluded,       static_cast<std::uint64_t>(verdict.failure),
                       verdict.evidence,       verdict.sinceSequence};
  }
  return value;
}

std::map<std::string, HealthVerdict> decodeVerdicts(const json& value) {
  std::map<std::string, HealthVerdict> verdicts;
  for (const auto& [instance, fields] : bounded(value, kMaxInstances).items()) {
    HealthVerdict verdict;
    verdict.unhealthyVotes = static_cast<std::uint32_t>(decodeCount(fields.at(0), kMaxNodes));
    verdict.healthyVotes = static_cast<std::uint32_t>(decodeCount(fields.at(1), kMaxNodes));
    verdict.excluded = fields.at(2).get<bool>();
    verdict.failure = decodeFailureKind(fields.at(3));
    verdict.evidence = decodeAmount(fields.at(4), kMaxEvidence * kMaxNodes);
    verdict.sinceSequence = decodeUnsigned(fields.at(5));
    verdicts[instance] = verdict;
  }
  return verdicts;
}

json unknownFields(const json& value) {
  json unknown = json::object();
  for (const auto& [field, content] : value.items()) {
    if (std::find(kKnownFields.begin(), kKnownFields.end(), field) == kKnownFields.end())
      unknown[field] = content;
  }
  return unknown;
}

Digest decodeFields(const json& value) {
  Digest digest;
  digest.sequence = decodeUnsigned(value.at("beat"));
  digest.restored = decodeUnsigned(value.at("restored"));
  digest.lendsFromSequence = decodeUnsigned(value.at("lends_from"));
  digest.fence = decodeUnsigned(value.at("fence"));
  digest.period = decodeUnsigned(value.at("period"));
  digest.periodEndsMs = decodeAmount(value.at("period_ends_ms"), kMaxUnixMs);
  const std::vector<Origin> nodes = decodeNodes(value.at("nodes"), digest);
  digest.budgets = decodeBudgets(value.at("budgets"), nodes);
  digest.base = decodeUsage(value.at("base"));
  digest.total = decodeUsage(value.at("total"));
  digest.folded = decodeFolded(value.at("folded"));
  digest.instances = decodeVerdicts(value.at("boxes"));
  digest.unknown = unknownFields(value);
  return digest;
}

}  // namespace

std::string encode(const Digest& digest) {
  const NodeList nodes(digest);
  json value = digest.unknown;
  value.update({{"beat", digest.sequence},
                {"restored", digest.restored},
                {"lends_from", digest.lendsFromSequence},
                {"fence", digest.fence},
                {"period", digest.period},
                {"period_ends_ms", digest.periodEndsMs},
                {"nodes", nodes.encoded()},
                {"budgets", encodeBudgets(digest.budgets, nodes)},
                {"base", encodeUsage(digest.base)},
                {"total", encodeUsage(digest.total)},
                {"folded", encodeFolded(digest.folded)},
                {"boxes", encodeVerdicts(digest.instances)}});
  return sealDocument(kDigestKind, value);
}

std::string encodeWithinBounds(Digest& digest) {
  std::string text = encode(digest);
  while (text.size() > kMaxDocumentBytes && (!digest.folded.empty() || !digest.total.empty())) {
    if (digest.folded.empty())
      digest.total.clear();
    const auto half = static_cast<std::ptrdiff_t>((digest.folded.size() + 1) / 2);
    digest.folded.erase(digest.folded.begin(), digest.folded.begin() + half);
    text = encode(digest);
  }
  return text;
}

DecodedDigest decodeDigest(std::string_view text) {
  const OpenedDocument opened = openDocument(kDigestKind, text);
  if (opened.error != DecodeError::kNone)
    return {opened.error, std::nullopt};
  auto decoded = decodeGuarded([&opened] { return decodeFields(opened.value); });
  return {decoded.error, std::move(decoded.value)};
}

}  // namespace inference_router::shared
