// Types shared by the settings, events and actions of the decision module.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace inference_router::routing {

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// The node's monotonic clock; its epoch is unspecified.
struct NodeClock {
  // NOLINTBEGIN(readability-identifier-naming): names required by the standard's Clock
  // requirements.
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<NodeClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};
/// A point in time on the node's clock.
using Time = NodeClock::time_point;

/// A string identifier. The tag makes identifiers of different kinds distinct types.
template <class Tag>
struct Name {
  std::string value;
  auto operator<=>(const Name&) const = default;
};
/// Identifies an instance of the inference service.
using InstanceId = Name<struct InstanceTag>;
/// Identifies a request; unique among the requests that a node holds.
using RequestId = Name<struct RequestTag>;

/// An index into a list. The tag makes indices into different lists distinct types.
template <class Tag>
struct Index {
  std::uint32_t value = 0;
  auto operator<=>(const Index&) const = default;
};
using ClassIndex = Index<struct ClassTag>;    ///< into Settings::classes
using TenantIndex = Index<struct TenantTag>;  ///< into Settings::tenants
using KindIndex = Index<struct KindTag>;      ///< into Settings::kinds
using ZoneIndex = Index<struct ZoneTag>;      ///< a zone of the site
using CellIndex = Index<struct CellTag>;      ///< instances among which transfers are cheap

/// Effect of executing a request of a class more than once.
enum class Effect {
  kIdempotent,    ///< none: repeats are harmless
  kDeduplicated,  ///< instances discard repeats by idempotency key, for a time and within a scope
  kAtMostOnce     ///< harmful: the request must be executed at most once
};

/// Which instances recognize repeats of a deduplicated request.
enum class DedupScope {
  kAll,   ///< all instances
  kZone,  ///< the instances in the zone of the first attempt
  kCell   ///< the instances in the cell of the first attempt
};

/// Function of a kind of instance.
enum class Role {
  kPrefill,  ///< computes the KV cache of a prompt, which a decode instance fetches
  kDecode,   ///< generates the answer
  kMixed     ///< does both steps of its requests
};

/// How a node obtains the endpoint list.
enum class Discovery {
  kPush,  ///< the list is pushed to the node
  kPoll   ///< the node has to request it
};

/// Whether and how instances report their load.
enum class LoadReports {
  kNone,    ///< not at all
  kInline,  ///< with each answer
  kProbed   ///< with the response to a health check
};

}  // namespace inference_router::routing
