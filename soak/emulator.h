/// What surrounds the conductors of the soak, in one thread: instances and discovery as the protocol page has
/// them, and clients. All that they see goes into the ledger.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/deadlines.h"
#include "ledger.h"
#include "net/listener.h"
#include "net/pool.h"

namespace dahliastall::soak {

/// The emulator's own loop, clock and source of chance.
struct Stage {
  boost::asio::io_context& io;
  const core::Clock& clock;
  core::Deadlines& deadlines;
  core::Counters& counters;
  Ledger& ledger;
  std::mt19937_64 random;

  double drawn(double least, double most) { return std::uniform_real_distribution<>(least, most)(random); }
  void after(double ms, core::Deadlines::Task task) { deadlines.add(clock.nowMs() + ms, std::move(task)); }
};

enum class Behaviour { kServes, kHangs, kResets, kRejects };

/// When each conductor was told that an instance drains.
using DrainTold = std::function<std::optional<double>(int conductor, int instance)>;

class Instance final : public net::RequestHandler {
 public:
  Instance(Stage& stage, int number, std::string kind, const net::Endpoint& address, DrainTold drainTold);
  void request(const std::shared_ptr<net::ClientConnection>& connection, net::HttpRequest&& request,
               double arrivedMs) override;
  void gone(net::ClientConnection&) override {}
  void drained(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;
  void behave(Behaviour behaviour, double forMs);
  const std::string& kind() const { return kind_; }
  net::Endpoint address() const { return listener_.address(); }

 private:
  void attempt(const std::shared_ptr<net::ClientConnection>& connection, const net::HttpRequest& request,
               double arrivedMs);
  void serve(const std::shared_ptr<net::ClientConnection>& connection);
  void stream(const std::shared_ptr<net::ClientConnection>& connection, int left);

  Stage& stage_;
  int number_;
  std::string kind_;
  DrainTold drainTold_;
  Behaviour behaviour_ = Behaviour::kServes;
  net::Listener listener_;
};

/// Discovery's agent on one conductor's machine.
class Agent final : public net::RequestHandler {
 public:
  Agent(Stage& stage, const net::Endpoint& address);
  void request(const std::shared_ptr<net::ClientConnection>& connection, net::HttpRequest&& request,
               double arrivedMs) override;
  void gone(net::ClientConnection& connection) override;
  void drained(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;
  /// The whole list, as whoever opens a watch gets it from now on; changes go to the open ones.
  void list(std::string whole, const std::string& changes);
  void down(double forMs);
  net::Endpoint address() const { return listener_.address(); }

 private:
  void beat();

  Stage& stage_;
  std::string whole_;
  std::set<std::shared_ptr<net::ClientConnection>> watches_, waiting_;
  bool down_ = false;
  net::Listener listener_;
};

/// A client of one conductor, which sends one request after the other.
class Client {
 public:
  Client(Stage& stage, int conductor, int number, const net::Endpoint& to);
  void start();
  void pause() { paused_ = true; }  ///< the front layer sends nothing there
  void resume() { paused_ = false; }
  void stop() { stopped_ = true; }
  bool busy() const { return call_ != nullptr; }
  /// What is open cannot be judged any more.
  void doubt();

 private:
  class Exchange;
  void send();
  void open(const std::string& id);
  void over(const std::string& id, bool resend);

  Stage& stage_;
  int conductor_, number_;
  net::Endpoint to_;
  net::Pool pool_;
  std::shared_ptr<net::Call> call_;
  std::string id_;
  int sent_ = 0;
  bool resent_ = false, paused_ = false, stopped_ = false;
};

}  // namespace dahliastall::soak
