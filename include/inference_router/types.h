// The vocabulary that settings, events and actions of the decision module share.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace inference_router::routing {

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// The node's clock: it starts at no particular value and only advances.
struct NodeClock {
  // NOLINTBEGIN(readability-identifier-naming): names that the standard demands of a clock.
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<NodeClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};
/// A point in time on the node's clock.
using Time = NodeClock::time_point;

/// A string that names something; the tag keeps names of different things apart.
template <class Tag>
struct Name {
  std::string value;
  auto operator<=>(const Name&) const = default;
};
/// Names an instance of the inference service.
using InstanceId = Name<struct InstanceTag>;
/// Names a request; unique among those that a node holds.
using RequestId = Name<struct RequestTag>;

/// A position in a list; the tag keeps positions in different lists apart.
template <class Tag>
struct Index {
  std::uint32_t value = 0;
  auto operator<=>(const Index&) const = default;
};
using ClassIndex = Index<struct ClassTag>;    ///< into Settings::classes
using TenantIndex = Index<struct TenantTag>;  ///< into Settings::tenants
using KindIndex = Index<struct KindTag>;      ///< into Settings::kinds
using ZoneIndex = Index<struct ZoneTag>;      ///< a zone of the site
using CellIndex = Index<struct CellTag>;      ///< a group of instances with cheap transfers in it

/// What repeats of a request of a class do.
enum class Effect {
  kIdempotent,    ///< no harm
  kDeduplicated,  ///< instances discard them by an idempotency key, for a time and within a scope
  kAtMostOnce     ///< harm: it must be executed once at most
};

/// Which instances recognize the repeats of a deduplicated request.
enum class DedupScope {
  kAll,   ///< all
  kZone,  ///< those of the zone of the first attempt
  kCell   ///< those of the cell of the first attempt
};

/// What a kind of instance does.
enum class Role {
  kPrefill,  ///< computes the KV cache of a prompt, for a decode instance to fetch
  kDecode,   ///< generates the answer
  kMixed     ///< does both for its requests
};

/// How the endpoint list reaches the node.
enum class Discovery {
  kPush,  ///< it is sent without being asked for
  kPoll   ///< it has to be asked for
};

/// How instances report their load.
enum class LoadReports {
  kNone,    ///< they do not
  kInline,  ///< with each answer
  kProbed   ///< with the answer to a health check
};

}  // namespace inference_router::routing
