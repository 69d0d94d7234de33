/// Encoding and decoding of the values in documents of shared state. Decoders throw OutOfBounds or
/// nlohmann::json::exception; decodeGuarded() turns both into a DecodeError.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "shared/document_format.h"
#include "shared/documents.h"

namespace inference_router::shared {

/// A value of the right type that exceeds its bounds.
struct OutOfBounds : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr double kMaxAgeMs = 1e12;
inline constexpr double kMaxEvidence = 1e9;
inline constexpr double kMaxUnixMs = 1e15;

/// An integer from 0 to `max`.
std::uint64_t decodeCount(const nlohmann::json& value, std::uint64_t max = kMaxTokens);
/// Any integer from 0.
std::uint64_t decodeUnsigned(const nlohmann::json& value);
/// A number from 0 to `max`.
double decodeAmount(const nlohmann::json& value, double max);
/// A string of 1 to kMaxIdentifierBytes bytes.
std::string decodeIdentifier(const nlohmann::json& value);
FailureKind decodeFailureKind(const nlohmann::json& value);
/// Returns the array or object itself if it has at most `max` elements.
const nlohmann::json& bounded(const nlohmann::json& value, std::size_t max);

nlohmann::json encodeOrigin(const Origin& origin);
Origin decodeOrigin(const nlohmann::json& value);
nlohmann::json encodeUsage(const UsageTable& usage);
UsageTable decodeUsage(const nlohmann::json& value);
/// Amounts are tokens by tenant.
nlohmann::json encodeAmounts(const std::map<std::string, std::uint64_t>& amounts);
std::map<std::string, std::uint64_t> decodeAmounts(const nlohmann::json& value);

/// The result of a decoder; value is set exactly if error is kNone.
template <class Value>
struct Decoded {
  DecodeError error = DecodeError::kNone;
  std::optional<Value> value;
};

/// Runs a decoder and turns its exceptions into an error.
template <class Decode>
auto decodeGuarded(const Decode& decode) -> Decoded<decltype(decode())> {
  try {
    return {DecodeError::kNone, decode()};
  } catch (const OutOfBounds&) {
    return {DecodeError::kBeyondBounds, std::nullopt};
  } catch (const nlohmann::json::exception&) {
    return {DecodeError::kMalformed, std::nullopt};
  }
}

/// The largest sizes of MessagePack encodings, in bytes. The codecs derive from them that the
/// documents of a fleet of the largest size fit into the store.
namespace encoded_bytes {
inline constexpr std::size_t kNumber = 9;
inline constexpr std::size_t kIndex = 3;
inline constexpr std::size_t kFlag = 1;
inline constexpr std::size_t kSmallNumber = 1;
inline constexpr std::size_t kShortList = 1;
inline constexpr std::size_t kContainer = 5;
inline constexpr std::size_t kTextHeader = 2;
inline constexpr std::size_t kIdentifier = kMaxIdentifierBytes + kTextHeader;
/// Header, checksum, field names and scalar fields of a document.
inline constexpr std::size_t kFixedFields = 1024;
inline constexpr std::size_t kOrigin = kShortList + kMaxNodeNameBytes + kTextHeader + kNumber;
inline constexpr std::size_t kUsageTable =
    kContainer + kMaxUsageRows * (kShortList + 2 * kIdentifier + 7 * kNumber);
inline constexpr std::size_t kAmounts = kContainer + kMaxTenants * (kIdentifier + kNumber);
}  // namespace encoded_bytes

}  // namespace inference_router::shared
