/// The format that all documents of shared state have in common: a header with the kind and the
/// format version, a checksum and a MessagePack value, as in "dahliastall-part/1 1a2b3c4d ...". The
/// checksum is computed over the MessagePack bytes. Adding fields does not change the version.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace inference_router::shared {

/// Why a document was rejected; counted by its name.
enum class DecodeError : std::uint8_t {
  kNone,
  kTooLarge,
  kForeign,  ///< Not a document of this kind, or under another's key.
  kDamaged,  ///< The checksum does not match.
  kUnsupportedVersion,
  kMalformed,  ///< The value is not of the expected shape.
  kBeyondBounds,
};
/// The error's name in counters and reports.
const char* nameOf(DecodeError error);

/// value is meaningful exactly if error is kNone.
struct OpenedDocument {
  DecodeError error = DecodeError::kNone;
  nlohmann::json value;
};

/// kind: the text before the version, as "dahliastall-part/".
std::string sealDocument(std::string_view kind, const nlohmann::json& value);
/// Checks header, version and checksum, and unpacks the value, which is an object.
OpenedDocument openDocument(std::string_view kind, std::string_view text);

}  // namespace inference_router::shared
