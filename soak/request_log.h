/// What clients, instances and discovery of the soak saw, and the rules judged from that alone: the
/// logs of the program are not asked.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace inference_router::soak {

/// What a router sends to an instance for a request.
enum class Send { kPrefill, kDecode, kReservation };

/// A request, or a reservation for it, as it reached an instance.
struct Arrival {
  double atMs = 0;
  int instance = 0;
  double budgetMs = 0;        ///< that the router told
  bool rejected = false;      ///< the instance proved that it did not run
  Send send = Send::kDecode;  ///< of the three only a decode attempt has an effect
  std::optional<double>
      drainNotifiedMs;  ///< when the router's watch had been told that the instance drains
};

/// A request as its client saw it.
struct ClientView {
  bool atMostOnce = false;
  double sentMs = 0;
  double budgetMs = 0;
  int router = 0;
  std::optional<double> closedMs;    ///< when the client closed
  std::optional<double> answeredMs;  ///< when the answer had ended
  unsigned status = 0;
  bool complete = false;      ///< of a status 200: the stream came to its end
  bool slowWriter = false;    ///< its client wrote it in two parts
  bool brokenStream = false;  ///< the stream broke before its end
  bool pressure = false;      ///< of a client that tries limits
  bool undecided = false;     ///< its router was killed, or stopped, while it was open
  std::vector<Arrival> arrivals;
};

struct Violation {
  std::string rule, request, detail;
};

/// On a busy machine a play may break these rules without any fault of the program.
bool dependsOnSpeed(const std::string& rule);

class RequestLog {
 public:
  ClientView& entry(const std::string& request) { return requests_[request]; }
  /// A request of a client that tries limits has arrived; its client is not judged.
  void addPressure(const std::string& request, int router, double atMs);
  bool knows(const std::string& request) const { return requests_.count(request) != 0; }
  /// Rules about processes, which are not told by requests.
  void addViolation(std::string rule, std::string detail) {
    process_.push_back({std::move(rule), "", std::move(detail)});
  }
  void add(Violation one) { process_.push_back(std::move(one)); }
  std::vector<Violation> findViolations(double drainGraceMs) const;
  std::size_t size() const { return requests_.size(); }
  std::size_t undecided() const;
  std::size_t served() const;
  /// How long the answers took that were served in full to ordinary clients, ordered.
  std::vector<double> latenciesMs() const;
  /// Requests of ordinary clients that waited for the answer.
  std::size_t ordinary() const;
  /// Ordinary requests that were refused.
  std::size_t refused() const;

 private:
  std::map<std::string, ClientView> requests_;
  std::vector<Violation> process_;
};

}  // namespace inference_router::soak
