/// Encoding of a router's part.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "shared/document_format.h"
#include "shared/documents.h"

namespace inference_router::shared {

/// The result of decodePart(); part is set exactly if error is kNone.
struct DecodedPart {
  DecodeError error = DecodeError::kNone;
  std::optional<Part> part;
};

std::string encode(const Part& part);
DecodedPart decodePart(std::string_view text);

}  // namespace inference_router::shared
