// What lies in the store: each conductor's own part, and the digest that the holder of the digest's lease
// makes of all parts. In a form with a version and a checksum; fields that are not known are kept by whoever
// writes a digest anew, so that an older and a newer program can share one store. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store.h"
#include "shared/budget.h"
#include "shared/health_observation.h"
#include "shared/usage_counters.h"

namespace dahliastall::shared {

inline constexpr const char* kPartPrefix = "part/";
inline constexpr const char* kDigestKey = "digest";

constexpr std::size_t kMaxNodes = coordination::kMostConductors;
constexpr std::size_t kMaxOrigins = 2 * kMaxNodes;  // that may still spend: as many again have just ended
constexpr std::size_t kMaxFolded = kMaxNodes;
constexpr std::size_t kMaxIdentifierBytes = 128;  // of a franchisee, a class or an instance
constexpr std::size_t kMaxNodeNameBytes = 64;     // of a conductor, as a file may give it
constexpr std::size_t kMaxDocumentBytes = coordination::kMostValueBytes;
// Of all parts together: whoever makes the digest holds them as text and again as read, some five times their
// text (tests/bounds_test.cpp), which has to stay within half of its 192 MiB.
constexpr std::size_t kMaxPartsBytes = 16 << 20;
constexpr std::uint64_t kMaxTokens = 1ULL << 50;  // of anything: what is above was not counted

// What an incarnation that was folded really used of each budget.
struct FinalUsage {
  std::uint64_t incarnation = 0, period = 0;
  std::map<std::string, std::uint64_t> used;
  bool operator==(const FinalUsage&) const = default;
};

struct Part {
  Origin origin;
  std::uint64_t sequence = 0;            // counts up with each that is written
  std::uint64_t digestSequenceSeen = 0;  // of the newest digest that it knows
  double unixMs = 0;                     // by its own clock
  std::uint64_t period = 0;
  std::map<std::string, Spend> spends;
  UsageTable usage;
  std::map<std::string, HealthObservation> observations;
  std::optional<FinalUsage> finalUsage;

  std::string key() const;
};

// An incarnation whose part was folded, for it to learn of if it lives.
struct Folded {
  Origin origin;
  std::uint64_t sequence = 0, period = 0;  // its last word that counts
  std::map<std::string, std::uint64_t> charged;
  bool operator==(const Folded&) const = default;
};

struct Digest {
  std::uint64_t sequence = 0;  // counts up with each that is written
  std::uint64_t restored = 0;  // times that the store was found to have gone back
  std::uint64_t lendsFromSequence =
      0;                    // nothing is lent before: what was lent and is not known of has lapsed by then
  std::uint64_t fence = 0;  // of the lease under which it was written
  std::uint64_t period = 0;
  double periodEndsMs = 0;  // Unix time, for people and for what is told to clients
  std::map<std::string, BudgetLine> budgets;
  UsageTable base;                        // of all that were folded
  UsageTable total;                       // of all that are known, for people
  std::map<Origin, std::uint64_t> heard;  // conductors that speak, and the word of each that this rests on
  std::vector<Folded> folded;             // the newest last
  std::map<std::string, HealthVerdict> boxes;
  nlohmann::json unknown = nlohmann::json::object();  // fields of a later program

  const Folded* foldedOf(const Origin& origin) const;
};

// Why a text is none of these; each is counted by its name, and never believed.
enum class DecodeError : std::uint8_t {
  kNone,
  kTooLarge,
  kForeign,
  kDamaged,
  kUnsupportedVersion,
  kMalformed,
  kBeyondBounds
};
const char* nameOf(DecodeError error);

std::string encode(const Part& part);
std::string encode(const Digest& digest);
struct DecodedPart {
  DecodeError error = DecodeError::kNone;
  std::optional<Part> part;
};
struct DecodedDigest {
  DecodeError error = DecodeError::kNone;
  std::optional<Digest> digest;
};
DecodedPart decodePart(std::string_view text);
DecodedDigest decodeDigest(std::string_view text);

}  // namespace dahliastall::shared
