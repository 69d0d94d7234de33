/// What the emulated instances hold for requests, and the rule on it: while no attempt of a request
/// is out at a running instance, a prefilled state or a reservation is taken or released within a
/// time limit.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "request_log.h"

namespace inference_router::soak {

class HeldStateMonitor {
 public:
  enum class Kind { kState, kReservation };

  explicit HeldStateMonitor(double limitMs) : limitMs_(limitMs) {}

  /// The bytes of a prefill attempt came, whether or not its instance takes it up.
  void prefillArrived(const std::string& request, int instance, double nowMs);
  /// An attempt has reached a running instance, and has ended there.
  void attemptBegan(const std::string& request, int instance, double nowMs);
  void attemptEnded(const std::string& request, int instance, double nowMs);
  /// A call for a reservation has reached a running instance.
  void reservationArrived(const std::string& request, int instance, double nowMs);
  void hold(const std::string& request, Kind kind, int instance, double nowMs);
  void drop(const std::string& request, Kind kind);
  /// A decode attempt has taken what is held.
  void take(const std::string& request, int instance, double nowMs);
  /// A release has reached a running instance, which tells all others.
  void release(const std::string& request, int instance, double nowMs);

  bool prefillHasArrived(const std::string& request) const;
  bool attemptIsOut(const std::string& request) const;

  /// What a router process left as it ended counts no more.
  void forgive(const std::function<bool(const std::string& request)>& ofEnded);
  /// An instance has ended, and what it held with it.
  void instanceEnded(int instance);
  /// Breaks that have come about since the last call.
  std::vector<Violation> overdue(double nowMs);
  double maxHeldMs() const { return maxHeldMs_; }

 private:
  struct Entry {
    std::map<Kind, int> held;  ///< and the instance that holds it
    int out = 0;
    bool prefillArrived = false;
    double sinceMs =
        0;  ///< the last end of an attempt, call for a reservation or begin of what is held
    bool reported = false;
    std::vector<std::string> history;
  };

  Entry& note(const std::string& request, const char* what, int instance, double nowMs);
  static bool uncovered(const Entry& entry) { return entry.out == 0 && !entry.held.empty(); }
  void measure(const Entry& entry, double nowMs);

  double limitMs_, maxHeldMs_ = 0;
  std::map<std::string, Entry> requests_;
};

}  // namespace inference_router::soak
