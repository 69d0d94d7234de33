/// Instances of the soak: prefill, decode and mixed ones as the protocol page has them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "environment.h"
#include "held_state_monitor.h"
#include "net/endpoint.h"
#include "net/listener.h"
#include "plan.h"

namespace inference_router::soak {

enum class Behaviour {
  kServes,
  kHangs,  ///< takes attempts and answers nothing
  kResets,
  kRejects,
  kReadsNothing,   ///< a process that is stopped: what arrives is read once it goes on
  kHoldsArrivals,  ///< what is sent to it arrives together afterwards
  kLosesAnswers,   ///< some connections carry no answer any more, from some moment on until they
                   ///< close
  kLosesRequests,  ///< some connections carry nothing any more in either direction
};

/// When each router was told that an instance drains.
using DrainNotifiedMs = std::function<std::optional<double>(int router, int instance)>;

/// Told of each attempt that arrives at an instance; returns whether the instance falls by it.
using AttemptJudge = std::function<bool(int instance, const std::string& request)>;

/// What an instance of this fleet makes of a reservation whose prefill it cannot see running.
enum class ReservationRule {
  kByArrival,  ///< granted where the bytes of the prefill came, be it unread
  kByRunning,  ///< 204 unless the prefill runs
};

class Instance final : public net::RequestHandler {
 public:
  Instance(Environment& environment,
           HeldStateMonitor& held,
           ReservationRule rule,
           int number,
           std::string kind,
           net::Endpoint address,
           AnswerShape answers,
           DrainNotifiedMs drainNotifiedMs);
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double arrivedMs) override;
  void disconnected(net::ClientConnection& connection) override;
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;
  void behave(Behaviour behaviour, double forMs);
  /// From now on attempts are turned away and reservations denied, as a draining instance may.
  void rejectNewWork() { rejectsNewWork_ = true; }
  void setAttemptJudge(AttemptJudge judge) { judge_ = std::move(judge); }
  /// Attempts that it begins in a second, one after another.
  void setCapacity(double perS) { turnMs_ = 1'000 / perS; }
  /// The process ends: connections are reset, and new ones refused.
  void goDown();
  /// A process starts at the same address, unless the last one fell.
  void goUp();
  bool fell() const { return fell_; }
  const std::string& kind() const { return kind_; }
  const net::Endpoint& address() const { return address_; }

 private:
  using Connection = std::shared_ptr<net::ClientConnection>;
  enum class Silence { kNone, kAnswers, kBoth };
  struct Call {
    Connection connection;
    net::HttpRequest request;
    double arrivedMs;
  };
  /// An attempt that runs here, until it ends or its connection closes.
  struct Running {
    std::string request;
    bool prefills = false;
  };

  void read(const Call& call);
  void readLate();
  void listen();
  bool falls(const std::string& request);
  double untilTurnMs();
  void attempt(const Call& call, bool ignored);
  void prefill(const Connection& connection, const std::string& request);
  void decode(const Connection& connection, const std::string& request);
  void noteSend(const std::string& request, Send send, const Call& call);
  bool rejects() const { return rejectsNewWork_ || behaviour_ == Behaviour::kRejects; }
  void reserve(const Connection& connection, const std::string& request);
  void release(const Connection& connection, const std::string& request);
  void stream(const Connection& connection, int left);
  void end(const net::ClientConnection* connection);
  Silence silenceOf(const net::ClientConnection* connection);
  void answer(const Connection& connection,
              unsigned status,
              const net::Fields& fields,
              const std::string& body);
  double now() const { return environment_.clock.nowMs(); }

  Environment& environment_;
  HeldStateMonitor& heldState_;
  ReservationRule rule_;
  int number_;
  std::string kind_;
  AnswerShape answers_;
  DrainNotifiedMs drainNotifiedMs_;
  Behaviour behaviour_ = Behaviour::kServes;
  bool rejectsNewWork_ = false;
  double turnMs_ = 0, nextTurnMs_ = 0;
  bool down_ = false, fell_ = false;
  AttemptJudge judge_;
  std::vector<Call> unread_;
  std::map<const net::ClientConnection*, std::weak_ptr<net::ClientConnection>> connections_;
  std::map<const net::ClientConnection*, Running> running_;
  std::map<const net::ClientConnection*, Silence> silence_;
  net::Endpoint address_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;  // the last one may accept connections
};

}  // namespace inference_router::soak
