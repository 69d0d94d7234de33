/// Reads JSON and MessagePack documents that come from outside the process. Every such document is
/// read here: the JSON library parses MessagePack, writes and copies values by recursion, so a
/// document without a limit on its depth would decide how much stack this process needs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace inference_router::core {

/// Levels of lists and objects within each other; the outermost one is level 1.
inline constexpr std::size_t kMaxDocumentDepth = 256;

/// What a document may need. Both formats can hold an empty container in three bytes or fewer, so a
/// limit on bytes alone allows some thirty times as much memory.
struct DocumentLimits {
  std::size_t maxBytes;
  /// Lists, objects and scalars together; names of members are not counted.
  std::size_t maxValues = std::numeric_limits<std::size_t>::max();
  std::size_t maxDepth = kMaxDocumentDepth;
};

/// Why a document was rejected.
enum class DocumentFault : std::uint8_t {
  kTooLarge,
  kTooDeep,
  kTooManyValues,
  kMalformed,   ///< not a document of its format
  kUnexpected,  ///< well-formed, but a value is missing, has another type or is out of range
};

/// A document that cannot be used. what() tells why, for logs and operators.
class DocumentError : public std::invalid_argument {
 public:
  DocumentError(DocumentFault fault, const std::string& reason)
      : std::invalid_argument(reason), fault_(fault) {}
  DocumentFault fault() const { return fault_; }

 private:
  DocumentFault fault_;
};

/// Parses a JSON text. Throws DocumentError.
nlohmann::json parseJson(std::string_view text, const DocumentLimits& limits);
/// Parses a MessagePack value. Throws DocumentError.
nlohmann::json parseMessagePack(std::string_view bytes, const DocumentLimits& limits);

/// Runs a decoder on a document. Whatever the decoder finds missing or wrong (nlohmann's exceptions
/// and std::invalid_argument) is thrown as a DocumentError; other exceptions pass.
template <class Decode>
auto decodeDocument(nlohmann::json& document, const Decode& decode)
    -> std::invoke_result_t<const Decode&, nlohmann::json&> {
  try {
    return decode(document);
  } catch (const DocumentError&) {
    throw;
  } catch (const nlohmann::json::exception& error) {
    throw DocumentError(DocumentFault::kUnexpected, error.what());
  } catch (const std::invalid_argument& error) {
    throw DocumentError(DocumentFault::kUnexpected, error.what());
  }
}

/// Parses a JSON text and runs a decoder on it. Throws DocumentError for a text that cannot be
/// parsed or decoded.
template <class Decode>
auto decodeJson(std::string_view text, const DocumentLimits& limits, const Decode& decode)
    -> std::invoke_result_t<const Decode&, nlohmann::json&> {
  nlohmann::json document = parseJson(text, limits);
  return decodeDocument(document, decode);
}

/// The same for MessagePack.
template <class Decode>
auto decodeMessagePack(std::string_view bytes, const DocumentLimits& limits, const Decode& decode)
    -> std::invoke_result_t<const Decode&, nlohmann::json&> {
  nlohmann::json document = parseMessagePack(bytes, limits);
  return decodeDocument(document, decode);
}

}  // namespace inference_router::core
