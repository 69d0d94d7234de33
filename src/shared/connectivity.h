/// How well this router is connected to the rest of the fleet: a state machine over two signals,
/// the last digest that was read and the last own report that the store accepted. States are left
/// at half of the limit at which they are entered (hysteresis). The limits are jittered per router,
/// so that the routers of a partitioned fleet do not all change their behaviour at the same moment.
/// No I/O.
#pragma once

#include <cstdint>
#include <string>

namespace inference_router::shared {

/// The states of the connection to the fleet.
enum class ConnectivityState : std::uint8_t {
  kConnected,
  kDelayed,    ///< no digest, or no accepted report, for delayedMs
  kIsolated,   ///< the same for isolatedMs; shared state is not relied upon
  kRejoining,  ///< reads and writes work again, but no digest includes a newer report yet
};
/// The name in logs and reports.
const char* nameOf(ConnectivityState state);

/// Durations in milliseconds.
struct ConnectivityConfig {
  double delayedMs = 3'000;    ///< of silence until kDelayed
  double isolatedMs = 10'000;  ///< of silence until kIsolated
  double jitterShare = 0.2;    ///< largest random addition to each limit, drawn once per router
};

/// The state machine of one router.
class Connectivity {
 public:
  /// seed: of the jitter; nowMs: the start, from which silence is counted at first.
  Connectivity(ConnectivityConfig config, std::uint64_t seed, double nowMs);

  /// Records that a newer digest was read. acknowledged: the sequence of this router's newest
  /// report in it, 0 if there is none.
  void onDigest(std::uint64_t acknowledged, double nowMs);
  /// Records that the store accepted this router's report with this sequence.
  void onReportAccepted(std::uint64_t reportSequence, double nowMs);
  /// Applies the passage of time; must be called before state().
  void tick(double nowMs);

  ConnectivityState state() const { return state_; }
  double sinceMs() const { return sinceMs_; }
  /// Time since the older of the last digest and the last accepted report.
  double silenceMs(double nowMs) const;

 private:
  void enter(ConnectivityState state, double nowMs);

  ConnectivityConfig config_;
  double delayedMs_, isolatedMs_;
  ConnectivityState state_ = ConnectivityState::kRejoining;
  double sinceMs_, digestMs_, reportMs_;
  std::uint64_t reportSequence_ = 0, acknowledged_ = 0;
  std::uint64_t rejoinSequence_ = 0;  // of the last report before kRejoining was entered
};

}  // namespace inference_router::shared
