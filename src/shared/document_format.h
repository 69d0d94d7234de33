/// The common format of all documents of shared state: a header with the kind and the format
/// version, a checksum, and a MessagePack value, as in "dahliastall-part/1 1a2b3c4d ...". The
/// checksum is the CRC-32 of the MessagePack bytes. Adding fields does not change the version.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace inference_router::shared {

/// Why a document was rejected; the errors are counted by name.
enum class DecodeError : std::uint8_t {
  kNone,
  kTooLarge,
  kForeign,  ///< not a document of this kind, or stored under another document's key
  kDamaged,  ///< the checksum does not match
  kUnsupportedVersion,
  kMalformed,  ///< a field is missing or has another type
  kBeyondBounds,
};
/// The error's name in counters and reports.
const char* nameOf(DecodeError error);

/// A document's contents; value is valid only if error is kNone.
struct OpenedDocument {
  DecodeError error = DecodeError::kNone;
  nlohmann::json value;
};

/// Encodes a document. kind: the header's text before the version, as "dahliastall-part/".
std::string sealDocument(std::string_view kind, const nlohmann::json& value);
/// Checks header, version and checksum, and decodes the value, which has to be an object.
OpenedDocument openDocument(std::string_view kind, std::string_view text);

}  // namespace inference_router::shared
