#include "net/listener.h"

#include <fcntl.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <vector>

#include "net/last_answer.h"

namespace inference_router::net {

using admission::Address;

namespace {

constexpr double kAcceptPauseMs = 20;  // after accept failed, as when descriptors ran out
constexpr std::size_t kRefusals =
    16;  // read by their clients at a time; beyond, closed behind the answer
constexpr double kRefusalMs = 300;
constexpr double kHandshakeMs =
    5;  // for handshakes that are under way as no further ones are taken
constexpr double kFullRetryMs = 1'000;  // told to who finds no room as the door closes
constexpr int kOnSpare = 16;            // turned away on the spare descriptor before the next pause
constexpr int kMostAccepts = 64;        // in one turn of the loop
constexpr int kMostAborted = 16;    // connections in a row that have gone before they were accepted
constexpr double kQueueMs = 3'000;  // for a closing listener to take who stands in its queue
// After an evacuation the front layer learns within 0.1 s that it is to stop and sends for 0.2 s
// more: idle connections are left until then, and looked at again as others fall idle.
constexpr double kFrontLearnsMs = 400, kSweepMs = 200;

Address addressOf(const boost::asio::ip::tcp::endpoint& peer) {
  Address address;
  const auto six = peer.address().is_v6() ? peer.address().to_v6()
                                          : boost::asio::ip::make_address_v6(
                                                boost::asio::ip::v4_mapped, peer.address().to_v4());
  const auto bytes = six.to_bytes();
  std::copy(bytes.begin(), bytes.end(), address.bytes.begin());
  return address;
}

// Has the kernel drop further attempts to connect to a listening socket. Handshakes under way go
// on, and what stands in its accept queue stays there.
void takeNoMore(int listening) {
  constexpr std::uint32_t kFlagsOffset = 13, kSyn = 0x02, kAck = 0x10;
  std::array<sock_filter, 5> program{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
  }};
  const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
  ::setsockopt(listening, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

unsigned statusFor(admission::Reason reason) {
  return reason == admission::Reason::kRate || reason == admission::Reason::kAddress ||
                 reason == admission::Reason::kNetwork
             ? 429
             : 503;
}

}  // namespace

// Who was turned away reads why: closing at once, with the request unread, would reset that out of
// its hands.
class Listener::Refusal final : public std::enable_shared_from_this<Refusal> {
 public:
  Refusal(Listener& owner, boost::asio::ip::tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)) {}

  void start() {
    limit_ = owner_->timers_.add(owner_->clock_.nowMs() + kRefusalMs, [self = shared_from_this()] {
      self->limit_.reset();
      self->shut();
    });
    read();
  }
  void shut() {
    if (owner_ == nullptr)
      return;
    Listener& owner = *std::exchange(owner_, nullptr);
    owner.timers_.cancel(limit_);
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (owner.descriptorBudget_ != nullptr)
      owner.descriptorBudget_->give(admission::Account::kRefusals);
    owner.refusals_.erase(shared_from_this());
  }

 private:
  void read() {
    socket_.async_read_some(
        boost::asio::buffer(dropped_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
          if (self->owner_ == nullptr)
            return;
          if (error)
            return self->shut();
          self->read();
        });
  }

  Listener* owner_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 1024> dropped_{};
  std::optional<core::TimerQueue::Key> limit_;
};

Listener::Listener(boost::asio::io_context& io,
                   const boost::asio::ip::tcp::endpoint& address,
                   std::size_t cap,
                   RequestHandler& handler,
                   const core::Clock& clock,
                   core::TimerQueue& timers,
                   core::Counters& counters,
                   Options options)
    : io_(io),
      acceptor_(io),
      protocol_(address.protocol()),
      cap_(cap),
      handler_(handler),
      clock_(clock),
      timers_(timers),
      counters_(counters),
      gate_(options.gate),
      descriptorBudget_(options.descriptorBudget),
      spare_(::open("/dev/null", O_RDONLY | O_CLOEXEC)) {
  acceptor_.open(address.protocol());
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

Listener::~Listener() {
  while (!refusals_.empty())
    (*refusals_.begin())->shut();
  if (spare_ >= 0)
    ::close(spare_);
}

void Listener::open() {
  if (opened_ || doorClosed_)
    return;
  acceptor_.listen();
  opened_ = true;
  accept();
}

void Listener::accept() {
  if (accepting_ || !isOpen())
    return;
  // With a gate nobody waits in the queue behind a flood: all are let in or turned away.
  if (!hasRoom())
    makeRoom();
  if (!hasRoom()) {  // closed() accepts again, and so does time, which makes more give way
    timers_.add(clock_.nowMs() + kAcceptPauseMs, [this] { accept(); });
    return;
  }
  accepting_ = true;
  // Readiness is waited for, and not a connection: an accept that meets one that has gone may leave
  // others behind it in the queue, for which no further event comes.
  acceptor_.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                       [this](const boost::system::error_code& error) {
                         if (error == boost::asio::error::operation_aborted)
                           return;
                         accepting_ = false;
                         acceptSome();
                       });
}

// What one look lets in is bounded, so that a flood of connections does not have the loop to
// itself.
void Listener::acceptSome() {
  int aborted = 0;
  for (int taken = 0; taken < kMostAccepts && isOpen() && hasRoom(); ++taken) {
    const AcceptResult next = acceptNext(acceptor_.native_handle());
    if (next.status == AcceptStatus::kNoneWaiting)
      break;
    if (next.status == AcceptStatus::kAccepted) {
      admitDescriptor(next.descriptor);
    } else if (next.status != AcceptStatus::kAborted || ++aborted > kMostAborted) {
      return pauseAccepting(next.status);
    }
  }
  accept();
}

bool Listener::hasRoom() const {
  return gate_ != nullptr || connections_.size() < cap_;
}

// All causes pass with time. Never a busy loop.
void Listener::pauseAccepting(AcceptStatus why) {
  if (doorClosed_)
    return;
  ++counters_["clients.accept_failed"];
  if (why == AcceptStatus::kNoDescriptors) {
    if (descriptorBudget_ != nullptr)
      descriptorBudget_->ranOut(clock_.nowMs());
    turnAwayOnSpare();
  }
  accepting_ = true;  // until then no other path tries
  timers_.add(clock_.nowMs() + kAcceptPauseMs, [this] {
    accepting_ = false;
    accept();
  });
}

void Listener::admitDescriptor(int descriptor) {
  boost::asio::ip::tcp::socket socket(io_);
  if (assign(socket, protocol_, descriptor)) {
    ++counters_["clients.unusable"];
    return;
  }
  admitOrTurnAway(std::move(socket));
}

// The spare one may not be had again at the moment in which it was given up.
bool Listener::holdSpare() {
  if (spare_ < 0)
    spare_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  return spare_ >= 0;
}

// Guards clients against waiting in the queue of a process that cannot take them: each is told so.
// False once the queue is empty, or nobody can be taken out of it now.
bool Listener::turnAwayOnSpare() {
  const std::string text =
      handler_.turnedAway(503, "no descriptor is left for another connection", 1000);
  for (int i = 0; i < kOnSpare && holdSpare(); ++i) {
    ::close(std::exchange(spare_, -1));
    const AcceptResult next = acceptNext(acceptor_.native_handle());
    if (next.status == AcceptStatus::kAccepted) {
      ++counters_["admission.refused.descriptors"];
      if (!sendLastAnswer(next.descriptor, text))
        answerCut();
      ::close(next.descriptor);
    }
    holdSpare();
    if (next.status != AcceptStatus::kAccepted && next.status != AcceptStatus::kAborted)
      return false;
  }
  return spare_ >= 0;
}

void Listener::admit(boost::asio::ip::tcp::socket socket) {
  if (gate_ == nullptr)
    return letIn(std::move(socket), 0);
  boost::system::error_code error;
  const auto peer = socket.remote_endpoint(error);
  if (error)
    return;  // it has gone already
  const double now = clock_.nowMs();
  const auto level =
      descriptorBudget_ != nullptr ? descriptorBudget_->level(now) : admission::Level::kNormal;
  const admission::Decision decision = gate_->connect(addressOf(peer), level, now);
  if (decision.evict)
    close({*decision.evict});
  if (!decision.admit)
    return refuse(std::move(socket), decision);
  letIn(std::move(socket), decision.id);
}

void Listener::refuse(boost::asio::ip::tcp::socket socket, const admission::Decision& decision) {
  const char* why = admission::nameOf(decision.reason);
  ++counters_[std::string("admission.refused.") + why];
  const std::string text =
      handler_.turnedAway(statusFor(decision.reason), std::string("too many connections: ") + why,
                          decision.retryAfterMs);
  if (refusals_.size() >= kRefusals ||
      (descriptorBudget_ != nullptr && !descriptorBudget_->take(admission::Account::kRefusals))) {
    ++counters_["admission.closed_at_once"];
    if (!sendLastAnswer(socket.native_handle(), text))
      answerCut();
    return;
  }
  if (sendAvailable(socket.native_handle(), text).status != IoStatus::kDone)
    answerCut();
  boost::system::error_code ignored;
  socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  const auto refusal = std::make_shared<Refusal>(*this, std::move(socket));
  refusals_.insert(refusal);
  refusal->start();
}

void Listener::letIn(boost::asio::ip::tcp::socket socket, admission::ConnectionId visitor) {
  ++counters_["clients.accepted"];
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->force(admission::Account::kClients);
  const auto connection =
      std::make_shared<ClientConnection>(std::move(socket), handler_, *this, clock_, timers_);
  connection->number = visitor;
  if (visitor != 0)
    visitors_[visitor] = connection;
  connections_.insert(connection);
  connection->start();
}

void Listener::close(const std::vector<admission::ConnectionId>& visitors) {
  for (const admission::ConnectionId visitor : visitors) {
    const auto it = visitors_.find(visitor);
    const auto connection = it == visitors_.end() ? nullptr : it->second.lock();
    if (connection)
      connection->evict();
  }
}

void Listener::asks(ClientConnection& connection) {
  if (gate_ != nullptr)
    gate_->busy(connection.number);
}

void Listener::rests(ClientConnection& connection) {
  if (gate_ != nullptr)
    gate_->idle(connection.number, clock_.nowMs());
}

void Listener::identified(ClientConnection& connection, const std::string& who) {
  if (gate_ != nullptr)
    gate_->identified(connection.number, who, clock_.nowMs());
}

std::shared_ptr<ClientConnection> Listener::adopt(const ClientConnection::TransferState& rest) {
  boost::asio::ip::tcp::socket socket(io_);
  if (assign(socket, protocol_, rest.descriptor))
    return nullptr;  // also once the door is closed
  ++counters_["clients.adopted"];
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->force(admission::Account::kClients);
  const auto connection =
      std::make_shared<ClientConnection>(std::move(socket), handler_, *this, clock_, timers_);
  connections_.insert(connection);
  connection->adopt(rest);
  return connection;
}

// Guards clients whose connection stands in the accept queue: closing the listener would reset
// them. Each is let in, or told that there is no room. False if somebody may be left in it, as this
// machine lacks resources.
bool Listener::emptyQueue() {
  int aborted = 0;
  while (aborted <= kMostAborted) {
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
        while (turnAwayOnSpare()) {
        }
        return false;
      case AcceptStatus::kNoResources:
        ++counters_["clients.accept_failed"];
        return false;
    }
  }
  return false;
}

void Listener::admitOrTurnAway(boost::asio::ip::tcp::socket socket) {
  if (!hasRoom())
    makeRoom();
  if (hasRoom())
    return admit(std::move(socket));
  ++counters_["clients.turned_away"];
  if (!sendLastAnswer(socket.native_handle(),
                      handler_.turnedAway(503, "too many connections", kFullRetryMs)))
    answerCut();
}

// At the cap a client without an open request makes room: first who never sent a whole one, then
// who has been idle longest. Closing between requests is allowed; one whose next request has come
// already stays.
void Listener::makeRoom() {
  std::vector<std::shared_ptr<ClientConnection>> idle;
  for (const auto& connection : connections_)
    if (connection->room() != ClientConnection::Room::kNone)
      idle.push_back(connection);
  std::sort(idle.begin(), idle.end(), [](const auto& a, const auto& b) {
    return a->room() != b->room() ? a->room() > b->room() : a->idleSinceMs() < b->idleSinceMs();
  });
  const bool made = std::any_of(idle.begin(), idle.end(),
                                [](const auto& connection) { return connection->giveWay(); });
  if (made)
    ++counters_["clients.made_room"];
}

void Listener::closed(const std::shared_ptr<ClientConnection>& connection) {
  connections_.erase(connection);
  visitors_.erase(connection->number);
  if (gate_ != nullptr)
    gate_->closed(connection->number, clock_.nowMs());
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->give(admission::Account::kClients);
  finishIfDone();
  // Not from here: makeRoom() closes connections while accept() runs.
  boost::asio::post(io_, [this] { accept(); });
}

void Listener::evacuate() {
  if (std::exchange(evacuated_, true))
    return;
  sweep_ = timers_.add(clock_.nowMs() + kFrontLearnsMs, [this] { sweepIdle(); });
}

void Listener::activate() {
  evacuated_ = false;
  timers_.cancel(sweep_);
}

void Listener::sweepIdle() {
  sweep_.reset();
  for (const auto& connection : std::vector(connections_.begin(), connections_.end()))
    connection->closeIdle();
  sweep_ = timers_.add(clock_.nowMs() + kSweepMs, [this] { sweepIdle(); });
}

void Listener::capAt(std::size_t cap) {
  cap_ = cap;
  for (std::size_t before = connections_.size() + 1;
       connections_.size() > cap_ && connections_.size() < before;) {
    before = connections_.size();
    makeRoom();
  }
  accept();
}

void Listener::drain(double doorOpenMs, std::function<void()> done) {
  if (draining_)
    return;
  done_ = std::move(done);
  draining_ = true;
  if (doorOpenMs <= 0)
    return closeDoor();
  timers_.add(clock_.nowMs() + std::max(0.0, doorOpenMs - kHandshakeMs), [this] {
    if (isOpen())
      takeNoMore(acceptor_.native_handle());
  });
  timers_.add(clock_.nowMs() + doorOpenMs, [this] { closeDoor(); });
}

void Listener::closeDoor() {
  if (isOpen()) {
    takeNoMore(acceptor_.native_handle());
    const double now = clock_.nowMs();
    if (!closesByMs_)
      closesByMs_ = now + kQueueMs;
    if (!emptyQueue() && now < *closesByMs_) {
      timers_.add(now + kResourceRetryMs, [this] { closeDoor(); });
      return;
    }
  }
  doorClosed_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& connection : std::vector(connections_.begin(), connections_.end()))
    connection->closeIdle();
  finishIfDone();
}

void Listener::finishIfDone() {
  if (!doorClosed_ || !connections_.empty() || !done_)
    return;
  boost::asio::post(io_, std::exchange(done_, nullptr));
}

}  // namespace inference_router::net
