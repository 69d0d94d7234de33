#include "net/pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

// Minimum idle time before a connection is reused. Excess bytes after a response arrive right
// behind it and would otherwise be taken for the response to the next request.
constexpr double kMinIdleMs = 4;
// One in this many connections is reserved for urgent calls; none if the pool is smaller than that.
constexpr std::size_t kUrgentShare = 16;

}  // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& io,
                               const core::Clock& clock,
                               core::TimerQueue& timers,
                               core::Counters& counters,
                               Limits limits)
    : io_(io), clock_(clock), timers_(timers), counters_(counters), limits_(limits) {}

ConnectionPool::~ConnectionPool() {
  for (const auto& connection : idle_)
    connection->idleTimer.cancel();
}

std::shared_ptr<Call> ConnectionPool::call(const Endpoint& endpoint,
                                           std::string head,
                                           std::shared_ptr<const std::string> body,
                                           std::shared_ptr<CallSink> sink,
                                           Urgency urgency,
                                           double afterMs) {
  const bool urgent = urgency == Urgency::kUrgent;
  auto call = std::make_shared<Call>(*this, endpoint, std::move(head), std::move(body),
                                     std::move(sink), urgent);
  if (clock_.nowMs() >= afterMs)
    enqueue(call);
  else
    call->startTimer_ = timers_.schedule(afterMs, [this, call] { enqueue(call); });
  return call;
}

void ConnectionPool::enqueue(const std::shared_ptr<Call>& call) {
  if (tryStart(call))
    return;
  ++counters_["calls.waited"];
  const auto isNotUrgent = [](const auto& other) { return !other->urgent_; };
  const auto position =
      call->urgent_ ? std::find_if(waiting_.begin(), waiting_.end(), isNotUrgent) : waiting_.end();
  waiting_.insert(position, call);
  // The caller can remove the call from the queue earlier by abandon().
  call->startTimer_ = timers_.schedule(clock_.nowMs() + limits_.connectTimeoutMs,
                                       [call] { call->fail(CallFailure::kWithdrawn); });
}

bool ConnectionPool::tryStart(const std::shared_ptr<Call>& call) {
  if (auto connection = takeIdle(call->endpoint_)) {
    call->start(std::move(connection), /*isNew=*/false);
    return true;
  }
  const Urgency urgency = call->urgent_ ? Urgency::kUrgent : Urgency::kNormal;
  if (!hasCapacity(urgency) && !idle_.empty())
    closeOldestIdle();
  if (!hasCapacity(urgency))
    return false;
  auto connection = newConnection(call->endpoint_);
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->take(account_);
  call->start(std::move(connection), /*isNew=*/true);
  return true;
}

std::size_t ConnectionPool::reservedForUrgent() const {
  return limits_.maxConnections / kUrgentShare;
}

bool ConnectionPool::hasCapacity(Urgency urgency) const {
  const std::size_t reserved = urgency == Urgency::kUrgent ? 0 : reservedForUrgent();
  return openConnections_ + reserved < limits_.maxConnections &&
         (descriptorBudget_ == nullptr || descriptorBudget_->may(account_));
}

std::shared_ptr<Connection> ConnectionPool::newConnection(const Endpoint& endpoint) {
  auto connection = std::make_shared<Connection>(io_);
  connection->endpoint = endpoint;
  connection->receiveBufferBytes = limits_.receiveBufferBytes;
  connection->number = ++createdConnections_;
  ++openConnections_;
  return connection;
}

std::shared_ptr<Call> ConnectionPool::adopt(const Endpoint& endpoint,
                                            const Call::TransferState& state,
                                            std::shared_ptr<CallSink> sink) {
  boost::asio::ip::tcp::socket socket(io_);
  if (assign(socket, endpoint.protocol(), state.descriptor))
    return nullptr;
  auto connection = newConnection(endpoint);
  connection->socket = std::move(socket);
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->force(account_);
  auto call = std::make_shared<Call>(*this, endpoint, std::string(), nullptr, std::move(sink));
  call->adopt(std::move(connection), state);
  return call;
}

// Takes the most recently used connection: it is the least likely to have been closed by the peer,
// and the others can reach their idle timeout.
std::shared_ptr<Connection> ConnectionPool::takeIdle(const Endpoint& endpoint) {
  for (auto it = idle_.end(); it != idle_.begin();) {
    --it;
    if ((*it)->endpoint != endpoint || clock_.nowMs() < (*it)->idleSinceMs + kMinIdleMs)
      continue;
    auto connection = *it;
    it = idle_.erase(it);
    connection->idleTimer.cancel();
    if (connection->isReusable()) {
      boost::system::error_code ignored;
      connection->socket.cancel(ignored);  // stops waiting for the peer's close
      return connection;
    }
    close(connection);
    it = idle_.end();
  }
  return nullptr;
}

bool ConnectionPool::hasIdle(const Endpoint& endpoint) const {
  return std::any_of(idle_.begin(), idle_.end(),
                     [&](const auto& connection) { return connection->endpoint == endpoint; });
}

void ConnectionPool::release(const std::shared_ptr<Connection>& connection) {
  connection->idleSinceMs = clock_.nowMs();
  connection->buffer.shrink_to_fit();
  idle_.push_back(connection);
  connection->idleTimer = timers_.schedule(clock_.nowMs() + limits_.maxIdleMs,
                                           [this, connection] { close(connection); });
  connection->socket.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [this, weak = std::weak_ptr(connection)](const boost::system::error_code& error) {
        if (error)
          return;
        if (const auto idle = weak.lock(); idle && idle->idleTimer.armed())
          close(idle);
      });
  serveWaiting();
}

// Copies the pointer, because close() removes it from the list.
void ConnectionPool::closeOldestIdle() {
  const std::shared_ptr<Connection> oldest = idle_.front();
  close(oldest);
}

void ConnectionPool::close(const std::shared_ptr<Connection>& connection) {
  if (connection->endpoint == Endpoint())
    return;  // already closed
  idle_.remove(connection);
  connection->idleTimer.cancel();
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  connection->endpoint = Endpoint();
  --openConnections_;
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->give(account_);
  serveWaiting();
}

void ConnectionPool::dropIdle(const Endpoint& endpoint) {
  for (const auto& connection : std::vector(idle_.begin(), idle_.end()))
    if (connection->endpoint == endpoint)
      close(connection);
}

void ConnectionPool::setMaxConnections(std::size_t connections) {
  limits_.maxConnections = connections;
  while (openConnections_ > connections && !idle_.empty())
    closeOldestIdle();
  serveWaiting();
}

// Posted, so that no call starts within the caller that released a connection.
void ConnectionPool::serveWaiting() {
  if (serveScheduled_ || waiting_.empty())
    return;
  serveScheduled_ = true;
  boost::asio::post(io_, [this] {
    serveScheduled_ = false;
    while (!waiting_.empty()) {
      const auto call = waiting_.front();
      if (call->state() == Call::State::kWaiting && !tryStart(call))
        return;
      waiting_.pop_front();
    }
  });
}

}  // namespace inference_router::net
