#include "net/listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <thread>
#include <utility>

#include "net/handshake_filter.h"

namespace inference_router::net {

namespace {

// Delay after accept failed, for instance for lack of descriptors.
constexpr double kAcceptRetryDelayMs = 20;
// In the accept queue of a listener at its limit. A request counts from its last byte, which may
// have arrived, and an answer may come 500 ms after the client's deadline at the latest.
constexpr double kMaxQueueWaitMs = 250;
constexpr int kMaxRefusalsPerTurn = 256;    // of clients that waited too long
constexpr double kHandshakeGraceMs = 5;     // for handshakes in progress once new ones are dropped
constexpr int kMaxAcceptsPerTurn = 64;      // per turn of the event loop
constexpr int kMaxAbortedInRow = 16;        // connections that were reset before they were accepted
constexpr double kMaxQueueDrainMs = 3'000;  // for a closing listener to empty its accept queue
// After an evacuation the front layer is notified within 0.1 s and keeps sending for another 0.2 s.
// Idle connections stay open until then; later sweeps close those that become idle.
constexpr double kFirstSweepMs = 400;
constexpr double kSweepIntervalMs = 200;
// A new process has to be ready within 6 s.
constexpr int kMaxOpenAttempts = 150;
constexpr std::chrono::milliseconds kOpenRetryDelay{20};

// A process that starts must not end because the system lacks buffers or descriptors for a moment.
// The event loop does not run yet.
void openAcceptor(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp& protocol) {
  boost::system::error_code error;
  for (int attempt = 1;; ++attempt) {
    acceptor.open(protocol, error);
    if (!error)
      return;
    if (!isLocalFault(error) || attempt == kMaxOpenAttempts)
      throw boost::system::system_error(error, "socket");
    std::this_thread::sleep_for(kOpenRetryDelay);
  }
}

admission::Address addressOf(const boost::asio::ip::tcp::endpoint& peer) {
  admission::Address address;
  const auto addressV6 =
      peer.address().is_v6()
          ? peer.address().to_v6()
          : boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, peer.address().to_v4());
  const auto bytes = addressV6.to_bytes();
  std::copy(bytes.begin(), bytes.end(), address.bytes.begin());
  return address;
}

}  // namespace

// The services are passed one by one, as in the other constructors that take them.
// NOLINTNEXTLINE(readability-function-size)
Listener::Listener(boost::asio::io_context& io,
                   const boost::asio::ip::tcp::endpoint& address,
                   std::size_t maxConnections,
                   RequestHandler& handler,
                   const core::Clock& clock,
                   core::TimerQueue& timers,
                   core::Counters& counters,
                   Options options)
    : io_(io),
      acceptor_(io),
      protocol_(address.protocol()),
      maxConnections_(maxConnections),
      handler_(handler),
      clock_(clock),
      timers_(timers),
      counters_(counters),
      admissionController_(options.admissionController),
      descriptorBudget_(options.descriptorBudget),
      connectionLimits_(options.connectionLimits),
      readAhead_(clock),
      refusals_(handler, clock, timers, counters, options.descriptorBudget) {
  connectionLimits_.readAhead = &readAhead_;
  openAcceptor(acceptor_, address.protocol());
  acceptor_.non_blocking(true);
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  if (options.sharedPort) {
    using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    acceptor_.set_option(ReusePort(true));
  }
  acceptor_.bind(address);
  if (options.open)
    open();
}

void Listener::open() {
  if (opened_ || closed_)
    return;
  acceptor_.listen();
  opened_ = true;
  accept();
}

// ---- Accepting

// With an admission controller no client waits in the accept queue behind a flood of connections:
// each is admitted or refused.
void Listener::accept() {
  if (accepting_ || !isOpen())
    return;
  if (!hasCapacity())
    evictOne();
  if (!hasCapacity())
    return acceptLater();
  accepting_ = true;
  // Waits for readiness instead of using async_accept, which may fail on an aborted connection and
  // leave others behind it in the queue without a further event.
  acceptor_.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                       [this](const boost::system::error_code& error) {
                         if (error == boost::asio::error::operation_aborted)
                           return;
                         accepting_ = false;
                         acceptReady();
                       });
}

// Besides closed(), a timer accepts again, because more connections become evictable with time.
void Listener::acceptLater() {
  observeQueue();
  if (!acceptTimer_.armed())
    acceptTimer_ = timers_.schedule(clock_.nowMs() + kAcceptRetryDelayMs, [this] {
      refuseOverdueClients();
      accept();
    });
}

void Listener::observeQueue() {
  if (!hasWaitingConnection(acceptor_.native_handle()))
    waitingSinceMs_.reset();
  else if (!waitingSinceMs_)
    waitingSinceMs_ = clock_.nowMs();
}

// A client that waits until a connection is free may get its answer after its deadline.
void Listener::refuseOverdueClients() {
  if (!isOpen() || !waitingSinceMs_ || clock_.nowMs() - *waitingSinceMs_ < kMaxQueueWaitMs)
    return;
  for (int refused = 0; refused < kMaxRefusalsPerTurn && !hasCapacity(); ++refused) {
    const AcceptResult next = acceptNext(acceptor_.native_handle());
    if (next.status != AcceptStatus::kAccepted)
      return observeQueue();
    admitDescriptor(next.descriptor);
  }
}

// The number of connections per turn is bounded, so that a flood does not monopolize the event
// loop.
void Listener::acceptReady() {
  int aborted = 0;
  for (int accepted = 0; accepted < kMaxAcceptsPerTurn && isOpen() && hasCapacity(); ++accepted) {
    const AcceptResult next = acceptNext(acceptor_.native_handle());
    if (next.status == AcceptStatus::kNoneWaiting) {
      waitingSinceMs_.reset();
      break;
    }
    if (next.status == AcceptStatus::kAccepted) {
      admitDescriptor(next.descriptor);
    } else if (next.status != AcceptStatus::kAborted || ++aborted > kMaxAbortedInRow) {
      return pauseAccepting(next.status);
    }
  }
  accept();
}

bool Listener::hasCapacity() const {
  return admissionController_ != nullptr || connections_.size() < maxConnections_;
}

// All causes are temporary; the delay avoids a busy loop.
void Listener::pauseAccepting(AcceptStatus status) {
  if (closed_)
    return;
  ++counters_["clients.accept_failed"];
  if (status == AcceptStatus::kNoDescriptors) {
    if (descriptorBudget_ != nullptr)
      descriptorBudget_->ranOut(clock_.nowMs());
    refusals_.refuseWithSpareDescriptor(acceptor_.native_handle());
  }
  accepting_ = true;  // prevents other accepts until then
  timers_.runAt(clock_.nowMs() + kAcceptRetryDelayMs, [this] {
    accepting_ = false;
    accept();
  });
}

// ---- Admission

void Listener::admitDescriptor(int descriptor) {
  boost::asio::ip::tcp::socket socket(io_);
  if (assign(socket, protocol_, descriptor)) {
    ++counters_["clients.unusable"];
    return;
  }
  admitOrRefuse(std::move(socket));
}

void Listener::admitOrRefuse(boost::asio::ip::tcp::socket socket) {
  if (!hasCapacity())
    evictOne();
  if (hasCapacity())
    return admit(std::move(socket));
  refusals_.refuseAtLimit(std::move(socket));
}

void Listener::admit(boost::asio::ip::tcp::socket socket) {
  if (admissionController_ == nullptr)
    return serve(std::move(socket), 0);
  boost::system::error_code error;
  const auto peer = socket.remote_endpoint(error);
  if (error)
    return;  // the client has already disconnected
  const double now = clock_.nowMs();
  const auto level =
      descriptorBudget_ != nullptr ? descriptorBudget_->level(now) : admission::Level::kNormal;
  const admission::Decision decision = admissionController_->connect(addressOf(peer), level, now);
  if (decision.evict)
    close({*decision.evict});
  if (!decision.admit)
    return refusals_.refuse(std::move(socket), decision);
  serve(std::move(socket), decision.id);
}

std::shared_ptr<ClientConnection> Listener::addConnection(boost::asio::ip::tcp::socket socket,
                                                          admission::ConnectionId id) {
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->force(admission::Account::kClients);
  auto connection =
      std::make_shared<ClientConnection>(std::move(socket), handler_, *this, clock_, timers_);
  connection->admissionId = id;
  connections_.add(connection);
  return connection;
}

void Listener::serve(boost::asio::ip::tcp::socket socket, admission::ConnectionId id) {
  ++counters_["clients.accepted"];
  addConnection(std::move(socket), id)->start();
}

std::shared_ptr<ClientConnection> Listener::adopt(const ClientConnection::TransferState& state) {
  boost::asio::ip::tcp::socket socket(io_);
  if (assign(socket, protocol_, state.descriptor))
    return nullptr;  // also after the listener is closed
  ++counters_["clients.adopted"];
  auto connection = addConnection(std::move(socket), 0);
  connection->adopt(state);
  return connection;
}

// ---- The connections

void Listener::evictOne() {
  if (connections_.evictOne())
    ++counters_["clients.made_room"];
}

bool Listener::refuseOldestInput(ClientConnection& connection) {
  const bool refused = connections_.refuseOldestInput(connection);
  if (refused)
    ++counters_["memory.refused_input"];
  return refused;
}

void Listener::setMaxConnections(std::size_t connections) {
  maxConnections_ = connections;
  for (std::size_t before = connections_.size() + 1;
       connections_.size() > maxConnections_ && connections_.size() < before;) {
    before = connections_.size();
    evictOne();
  }
  accept();
}

void Listener::close(const std::vector<admission::ConnectionId>& ids) {
  connections_.evict(ids);
}

void Listener::requestStarted(ClientConnection& connection) {
  if (admissionController_ != nullptr)
    admissionController_->busy(connection.admissionId);
}

void Listener::requestFinished(ClientConnection& connection) {
  if (admissionController_ != nullptr)
    admissionController_->idle(connection.admissionId, clock_.nowMs());
}

void Listener::identified(ClientConnection& connection, const std::string& keyName) {
  if (admissionController_ != nullptr)
    admissionController_->identified(connection.admissionId, keyName, clock_.nowMs());
}

void Listener::closed(const std::shared_ptr<ClientConnection>& connection) {
  connections_.remove(connection);
  if (admissionController_ != nullptr)
    admissionController_->closed(connection->admissionId, clock_.nowMs());
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->give(admission::Account::kClients);
  finishIfDone();
  // Posted rather than called: evictOne() closes connections while accept() runs.
  boost::asio::post(io_, [this] { accept(); });
}

// ---- Evacuation and drain

void Listener::evacuate() {
  if (std::exchange(evacuated_, true))
    return;
  sweepTimer_ = timers_.schedule(clock_.nowMs() + kFirstSweepMs, [this] { sweepIdle(); });
}

void Listener::activate() {
  evacuated_ = false;
  sweepTimer_.cancel();
}

void Listener::sweepIdle() {
  connections_.closeIdle();
  sweepTimer_ = timers_.schedule(clock_.nowMs() + kSweepIntervalMs, [this] { sweepIdle(); });
}

void Listener::drain(double acceptForMs, std::function<void()> done) {
  if (draining_)
    return;
  onDrained_ = std::move(done);
  draining_ = true;
  if (acceptForMs <= 0)
    return stopListening();
  timers_.runAt(clock_.nowMs() + std::max(0.0, acceptForMs - kHandshakeGraceMs), [this] {
    if (isOpen())
      dropNewHandshakes(acceptor_.native_handle());
  });
  timers_.runAt(clock_.nowMs() + acceptForMs, [this] { stopListening(); });
}

void Listener::stopListening() {
  if (isOpen()) {
    dropNewHandshakes(acceptor_.native_handle());
    const double now = clock_.nowMs();
    if (!closeDeadlineMs_)
      closeDeadlineMs_ = now + kMaxQueueDrainMs;
    if (!emptyAcceptQueue() && now < *closeDeadlineMs_) {
      timers_.runAt(now + kResourceRetryMs, [this] { stopListening(); });
      return;
    }
  }
  closed_ = true;
  waitingSinceMs_.reset();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  connections_.closeIdle();
  finishIfDone();
}

void Listener::refuseIncompleteInput(std::string_view reason) {
  connections_.refuseIncompleteInput(reason);
}

// Admits or refuses all clients in the accept queue, since closing the listener would reset their
// connections. Returns false if some may be left because this machine lacks resources.
bool Listener::emptyAcceptQueue() {
  int aborted = 0;
  while (aborted <= kMaxAbortedInRow) {
    const AcceptResult next = acceptNext(acceptor_.native_handle());
    switch (next.status) {
      case AcceptStatus::kNoneWaiting:
        return true;
      case AcceptStatus::kAccepted:
        admitDescriptor(next.descriptor);
        break;
      case AcceptStatus::kAborted:
        ++aborted;
        break;
      case AcceptStatus::kNoDescriptors:
        while (refusals_.refuseWithSpareDescriptor(acceptor_.native_handle())) {
        }
        return false;
      case AcceptStatus::kNoResources:
        ++counters_["clients.accept_failed"];
        return false;
    }
  }
  return false;
}

void Listener::finishIfDone() {
  if (!closed_ || !connections_.empty() || !onDrained_)
    return;
  boost::asio::post(io_, std::exchange(onDrained_, nullptr));
}

}  // namespace inference_router::net
