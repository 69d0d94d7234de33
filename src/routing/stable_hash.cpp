#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr std::uint64_t kSeparator = 0xffU;  // occurs in no UTF-8 text
constexpr int kFinalizerShift = 33;
constexpr int kDroppedBits = 11;                 // a double holds 53 of the 64 bits
constexpr double kDrawRange = 9007199254740992;  // 2^53

}  // namespace

std::uint64_t stableHash(const std::string& first, const std::string& second) {
  std::uint64_t hash = kFnvOffset;
  for (const std::string* text : {&first, &second}) {
    for (const char character : *text)
      hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
    hash = (hash ^ kSeparator) * kFnvPrime;
  }
  hash = (hash ^ hash >> kFinalizerShift) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ hash >> kFinalizerShift) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ hash >> kFinalizerShift;
}

double stableDraw(std::uint64_t seed, std::int64_t index) {
  std::uint64_t bits = seed + static_cast<std::uint64_t>(index);
  bits = (bits ^ bits >> 30) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ bits >> 27) * 0x94d049bb133111ebULL;
  return static_cast<double>((bits ^ bits >> 31) >> kDroppedBits) / kDrawRange;
}

double stableDraw(const std::string& first, const std::string& second) {
  return (static_cast<double>(stableHash(first, second) >> kDroppedBits) + 0.5) / kDrawRange;
}

}  // namespace inference_router::routing
