// Hashes that are the same in every process, on every machine and in every release.
#pragma once

#include <cstdint>
#include <string>

namespace inference_router::routing {

/// A 64-bit hash of a pair of strings (FNV-1a with the finalizer of MurmurHash3).
std::uint64_t stableHash(const std::string& first, const std::string& second);

/// A number between 0 and 1, both excluded, that is drawn uniformly by stableHash().
double stableDraw(const std::string& first, const std::string& second);

/// The same for a pair of numbers (finalizer of splitmix64); 0 is possible.
double stableDraw(std::uint64_t seed, std::int64_t index);

}  // namespace inference_router::routing
