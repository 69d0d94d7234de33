/// Clients of the soak.
#pragma once

#include <cmath>
#include <memory>
#include <optional>
#include <string>

#include "environment.h"
#include "net/endpoint.h"
#include "net/pool.h"

namespace inference_router::soak {

/// A client of one router, which sends one request after the other.
class Client {
 public:
  /// reconnects: opens a connection for each request.
  Client(Environment& environment,
         int router,
         int number,
         net::Endpoint to,
         double maxDeadlineMs,
         bool reconnects = false);
  void start();
  void pause() { paused_ = true; }  ///< the front layer sends nothing there
  void resume() { paused_ = onlyOpen_ = false; }
  /// Opens no further connection.
  void useOpenConnections() { onlyOpen_ = true; }
  void stop() { stopped_ = true; }
  bool busy() const { return call_ != nullptr; }
  /// The open request, if it was sent after this time and its stream has begun.
  std::optional<std::string> streamSentAfter(double sentMs) const;
  /// What is open and was sent by then cannot be judged any more.
  void markUndecided(double sentByMs = HUGE_VAL);

 private:
  class Exchange;
  void send();
  void open(const std::string& id);
  void over(const std::string& id, bool resend);
  /// How long the client still waits.
  double leftMs(const std::string& id) const;

  Environment& environment_;
  int conductor_, number_;
  net::Endpoint to_;
  net::ConnectionPool pool_;
  std::shared_ptr<net::Call> call_;
  std::string id_;
  int sent_ = 0;
  double maxDeadlineMs_;
  bool reconnects_;
  bool resent_ = false, paused_ = false, stopped_ = false, onlyOpen_ = false;
};

}  // namespace inference_router::soak
