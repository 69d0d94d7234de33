/// Encoding of the digest. Unknown fields are retained when a digest is rewritten, so that an older
/// and a newer version of the program can share one store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "shared/document_format.h"
#include "shared/documents.h"

namespace inference_router::shared {

/// The result of decodeDigest(); digest is set exactly if error is kNone.
struct DecodedDigest {
  DecodeError error = DecodeError::kNone;
  std::optional<Digest> digest;
};

std::string encode(const Digest& digest);
/// Encodes the digest within kMaxDocumentBytes. While the result is too large, entries of evicted
/// routers are dropped from the digest, the older half at a time, and then the totals.
std::string encodeWithinBounds(Digest& digest);
DecodedDigest decodeDigest(std::string_view text);

}  // namespace inference_router::shared
