/// Quantiles of what a play measured.
#pragma once

#include <cmath>
#include <cstddef>
#include <vector>

namespace inference_router::soak {

/// The value at this share of an ordered list; not a number if the list is empty.
inline double quantile(const std::vector<double>& ordered, double share) {
  const double last = static_cast<double>(ordered.size()) - 1;
  return ordered.empty() ? NAN : ordered.at(static_cast<std::size_t>(std::round(last * share)));
}

}  // namespace inference_router::soak
