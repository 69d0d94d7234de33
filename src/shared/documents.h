/// The documents of shared state: each router's part, and the digest that the holder of the
/// digest's lease computes from all parts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "coordination/store.h"
#include "shared/budget.h"
#include "shared/health_observation.h"
#include "shared/usage_counters.h"

namespace inference_router::shared {

/// Keys in the store.
inline constexpr const char* kPartPrefix = "part/";
inline constexpr const char* kDigestKey = "digest";

/// Bounds of documents; a document that exceeds them is rejected with DecodeError::kBeyondBounds.
inline constexpr std::size_t kMaxNodes = coordination::kMaxFleetRouters;
/// Live routers, and as many that have ended and are not evicted yet.
inline constexpr std::size_t kMaxOrigins = 2 * kMaxNodes;
inline constexpr std::size_t kMaxFolded = kMaxNodes;
inline constexpr std::size_t kMaxIdentifierBytes = 128;  ///< of a tenant, a class or an instance
inline constexpr std::size_t kMaxNodeNameBytes = 64;     ///< of a router
inline constexpr std::size_t kMaxDocumentBytes = coordination::kMaxValueBytes;
/// Of all parts together. The process that computes the digest holds them encoded and decoded,
/// which takes about five times their encoded size (tests/bounds_test.cpp) and has to stay within
/// half of its memory limit of 192 MiB.
inline constexpr std::size_t kMaxPartsBytes = 16 << 20;
inline constexpr std::uint64_t kMaxTokens = 1ULL << 50;  ///< largest plausible number of tokens

/// What an evicted incarnation actually used of each budget, so that the lender can refund the
/// rest.
struct FinalUsage {
  std::uint64_t incarnation = 0, period = 0;
  std::map<std::string, std::uint64_t> used;
  bool operator==(const FinalUsage&) const = default;
};

/// A router's document: its report on budgets, usage and health.
struct Part {
  Origin origin;
  std::uint64_t sequence = 0;            ///< grows with each report
  std::uint64_t digestSequenceSeen = 0;  ///< of the newest digest that the router has read
  double unixMs = 0;                     ///< by the router's clock
  std::uint64_t period = 0;
  std::map<std::string, Spend> spends;
  UsageTable usage;
  std::map<std::string, HealthObservation> observations;
  std::optional<FinalUsage> finalUsage;

  /// The document's key in the store, which follows from the origin.
  std::string key() const;
};

/// An evicted incarnation, whose part was folded into the base. If it is alive, it learns of its
/// eviction from this entry.
struct Folded {
  Origin origin;
  std::uint64_t sequence = 0, period = 0;  ///< of its last report in the base
  std::map<std::string, std::uint64_t> charged;
  bool operator==(const Folded&) const = default;
};

/// The fleet's document, computed from all parts.
struct Digest {
  std::uint64_t sequence = 0;  ///< grows with each digest
  std::uint64_t restored = 0;  ///< number of detected rollbacks of the store
  /// The first digest that may lend: after a rollback, loans that the store has lost have expired
  /// by then.
  std::uint64_t lendsFromSequence = 0;
  std::uint64_t fence = 0;  ///< of its writer's lease
  std::uint64_t period = 0;
  double periodEndsMs = 0;  ///< Unix time, for reports and for clients
  std::map<std::string, BudgetLine> budgets;
  UsageTable base;   ///< of all folded parts
  UsageTable total;  ///< sum of base and parts, for reports
  /// The sequence of the report of each live router that this digest includes.
  std::map<Origin, std::uint64_t> liveNodes;
  std::vector<Folded> folded;  ///< the newest last
  std::map<std::string, HealthVerdict> instances;
  nlohmann::json unknown = nlohmann::json::object();  ///< fields of a later version of the program

  /// The entry of an evicted incarnation; null if there is none.
  const Folded* foldedOf(const Origin& origin) const;
};

}  // namespace inference_router::shared
