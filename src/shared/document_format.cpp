#include "shared/document_format.h"

#include <array>
#include <boost/crc.hpp>
#include <charconv>
#include <cstdio>
#include <utility>

#include "core/document_reader.h"
#include "shared/documents.h"

namespace inference_router::shared {

using nlohmann::json;

namespace {

constexpr std::string_view kFormatVersion = "1";
constexpr std::size_t kMaxVersionDigits = 8;
constexpr std::size_t kChecksumDigits = 8;
constexpr int kHexadecimal = 16;
constexpr core::DocumentLimits kLimits{.maxBytes = kMaxDocumentBytes, .maxValues = 512UL * 1024};

std::uint32_t checksumOf(std::string_view bytes) {
  boost::crc_32_type checksum;
  checksum.process_bytes(bytes.data(), bytes.size());
  return checksum.checksum();
}

}  // namespace

const char* nameOf(DecodeError error) {
  constexpr std::array<const char*, 7> kNames{"none",    "too_large", "foreign",      "damaged",
                                              "version", "malformed", "beyond_bounds"};
  return kNames[static_cast<std::size_t>(error)];
}

std::string sealDocument(std::string_view kind, const json& value) {
  const auto packed = json::to_msgpack(value);
  const std::string_view bytes(reinterpret_cast<const char*>(packed.data()), packed.size());
  std::array<char, kChecksumDigits + 3> checksum{};
  std::snprintf(checksum.data(), checksum.size(), " %08x ", checksumOf(bytes));
  return std::string(kind) + std::string(kFormatVersion) + checksum.data() + std::string(bytes);
}

OpenedDocument openDocument(std::string_view kind, std::string_view text) {
  if (text.size() > kMaxDocumentBytes)
    return {DecodeError::kTooLarge, {}};
  if (text.substr(0, kind.size()) != kind)
    return {DecodeError::kForeign, {}};
  text.remove_prefix(kind.size());
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos || space > kMaxVersionDigits)
    return {DecodeError::kDamaged, {}};
  if (text.substr(0, space) != kFormatVersion)
    return {DecodeError::kUnsupportedVersion, {}};
  text.remove_prefix(space + 1);
  if (text.size() < kChecksumDigits + 1 || text[kChecksumDigits] != ' ')
    return {DecodeError::kDamaged, {}};
  std::uint32_t checksum = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + kChecksumDigits, checksum, kHexadecimal);
  text.remove_prefix(kChecksumDigits + 1);
  if (parsed.ec != std::errc() || checksumOf(text) != checksum)
    return {DecodeError::kDamaged, {}};
  try {
    json value = core::parseMessagePack(text, kLimits);
    if (!value.is_object())
      return {DecodeError::kMalformed, {}};
    return {DecodeError::kNone, std::move(value)};
  } catch (const core::DocumentError&) {
    return {DecodeError::kMalformed, {}};
  }
}

}  // namespace inference_router::shared
