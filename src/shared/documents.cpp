#include "shared/documents.h"

#include <algorithm>

namespace inference_router::shared {

std::string Part::key() const {
  return kPartPrefix + origin.name + "/" + std::to_string(origin.incarnation);
}

const Folded* Digest::foldedOf(const Origin& origin) const {
  const auto it = std::find_if(folded.begin(), folded.end(),
                               [&](const Folded& entry) { return entry.origin == origin; });
  return it == folded.end() ? nullptr : &*it;
}

}  // namespace inference_router::shared
