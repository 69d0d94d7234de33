// Hash functions whose values are the same in every process, on every machine and in every release.
#pragma once

#include <cstdint>
#include <string>

namespace inference_router::routing {

/// A 64-bit hash of a pair of strings (FNV-1a followed by the finalizer of MurmurHash3).
std::uint64_t stableHash(const std::string& first, const std::string& second);

/// A uniformly distributed number between 0 and 1, both excluded, derived from stableHash().
double stableDraw(const std::string& first, const std::string& second);

/// A uniformly distributed number in [0, 1), derived from a pair of integers with the finalizer of
/// splitmix64.
double stableDraw(std::uint64_t seed, std::int64_t index);

}  // namespace inference_router::routing
