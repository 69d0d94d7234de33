/// Reads the JSON documents of the store.
#pragma once

#include <optional>
#include <string_view>
#include <type_traits>

#include "coordination/store.h"
#include "core/document_reader.h"

namespace inference_router::coordination {

inline constexpr core::DocumentLimits kStoredJsonLimits{.maxBytes = kMaxValueBytes,
                                                        .maxValues = 65'536};

/// Parses a document and runs a decoder on it; nothing if the document cannot be used.
template <class Decode>
auto decodeStoredJson(std::string_view text, const Decode& decode)
    -> std::optional<std::invoke_result_t<const Decode&, nlohmann::json&>> {
  try {
    return core::decodeJson(text, kStoredJsonLimits, decode);
  } catch (const core::DocumentError&) {
    return std::nullopt;
  }
}

}  // namespace inference_router::coordination
