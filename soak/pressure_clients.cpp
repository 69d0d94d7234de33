#include "pressure_clients.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <stdexcept>
#include <utility>

#include "core/clock.h"
#include "net/message.h"

namespace inference_router::soak {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kLargeBodyBytes = 255UL * 1024;
constexpr std::size_t kPartialBodyBytes = 200UL * 1024;
constexpr std::size_t kSlowPieceBytes = 8UL * 1024;
constexpr int kSlowPieceMs = 100;
constexpr int kManyFields = 2'500;
constexpr int kPipelinedBodies = 3;
constexpr int kDepartingRequests = 20;
constexpr std::size_t kDepartingBodyBytes = 100UL * 1024;
constexpr std::size_t kFloodBatch = 64;  // requests in one write
constexpr std::size_t kEndlessPieceBytes = 64UL * 1024;
constexpr int kSlowReadBytes = 512;
constexpr int kSlowReadMs = 100;
constexpr int kSmallReceiveBuffer = 4'096;
constexpr int kReconnectMs = 20;
constexpr int kReturnAfterMs = 300;  // the request runs by then
constexpr int kReturnPauseMs = 20;
constexpr std::size_t kReadSize = 16UL * 1024;

// The number of the router follows.
const std::string kPressureIdPrefix = "pressure-";

constexpr std::array kNames{"partial_body",  "slow_body",    "partial_head",    "many_fields",
                            "full_body",     "pipelined",    "slow_reader",     "flood",
                            "invalid_flood", "endless_line", "endless_trailer", "depart",
                            "return"};

std::string requestHead(const std::string& id, const char* cls, net::Fields more) {
  net::Fields fields{{"Host", "soak"},
                     {"X-Call-Id", id},
                     {"X-Call-Class", cls},
                     {"X-Caller", "club"},
                     {"X-Route-Hash", id},
                     {"X-Budget-Ms", "3000"},
                     {"X-Call-Info", "prefix=" + id + ",prompt_len=100,prefix_len=50,max_out=50"}};
  fields.insert(fields.end(), more.begin(), more.end());
  return net::headText("POST /v1/chat/completions HTTP/1.1", fields);
}

std::string requestWithBody(const std::string& id, const char* cls, std::size_t bytes) {
  return requestHead(id, cls, {{"Content-Length", std::to_string(bytes)}}) +
         std::string(bytes, 'x');
}

std::string manyFields() {
  std::string fields;
  for (int i = 0; i < kManyFields; ++i)
    fields += std::string(1, static_cast<char>('a' + i % 26)) + ":1\r\n";
  return fields;
}

// The head without its last line end.
std::string openHead(const std::string& id) {
  std::string head = requestHead(id, "ask", {{"Content-Length", "2"}});
  head.resize(head.size() - 2);
  return head;
}

}  // namespace

const char* nameOf(PressureKind kind) {
  return kNames.at(static_cast<std::size_t>(kind));
}

bool isPressureId(const std::string& id) {
  return id.rfind(kPressureIdPrefix, 0) == 0;
}

int routerOfPressureId(const std::string& id) {
  return std::stoi(id.substr(kPressureIdPrefix.size()));
}

PressureKind pressureKindNamed(const std::string& name) {
  const auto* const found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end())
    throw std::invalid_argument("no such kind of pressure: " + name);
  return static_cast<PressureKind>(found - kNames.begin());
}

/// One connection after the other.
class PressureClients::Client : public std::enable_shared_from_this<Client> {
 public:
  explicit Client(PressureClients& owner) : owner_(owner), socket_(owner.io_), timer_(owner.io_) {}

  void connect() {
    if (owner_.stopping_)
      return;
    socket_ = tcp::socket(owner_.io_);
    boost::system::error_code ignored;
    socket_.open(tcp::v4(), ignored);
    if (owner_.group_.kind == PressureKind::kSlowReader)
      socket_.set_option(boost::asio::socket_base::receive_buffer_size(kSmallReceiveBuffer),
                         ignored);
    socket_.async_connect(owner_.to_, [self = shared_from_this()](const auto& error) {
      if (error)
        return self->connectLater();
      self->connected();
    });
  }

  void close() {
    boost::system::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  using Next = std::function<void()>;

  void connectLater() {
    close();
    after(kReconnectMs, [self = shared_from_this()] { self->connect(); });
  }

  void after(int ms, Next next) {
    timer_.expires_after(std::chrono::milliseconds(ms));
    timer_.async_wait([self = shared_from_this(), next = std::move(next)](const auto& error) {
      if (!error && !self->owner_.stopping_)
        next();
    });
  }

  void write(std::string bytes, Next next) {
    output_ = std::move(bytes);
    boost::asio::async_write(
        socket_, boost::asio::buffer(output_),
        [self = shared_from_this(), next = std::move(next)](const auto& error, std::size_t) {
          if (error)
            return self->connectLater();
          next();
        });
  }

  void readUntilClosed() {
    socket_.async_read_some(boost::asio::buffer(input_),
                            [self = shared_from_this()](const auto& error, std::size_t) {
                              if (error)
                                return self->connectLater();
                              self->readUntilClosed();
                            });
  }

  void readSlowly() {
    after(kSlowReadMs, [self = shared_from_this()] {
      self->socket_.async_read_some(boost::asio::buffer(self->input_, kSlowReadBytes),
                                    [self](const auto& error, std::size_t) {
                                      if (error)
                                        return self->connectLater();
                                      self->readSlowly();
                                    });
    });
  }

  void connected() {
    const auto self = shared_from_this();
    const auto await = [self] { self->readUntilClosed(); };
    switch (owner_.group_.kind) {
      case PressureKind::kPartialBody:
        return write(
            requestWithBody(owner_.nextId(), "ask", kLargeBodyBytes).substr(0, kPartialBodyBytes),
            await);
      case PressureKind::kSlowBody:
        remaining_ = requestWithBody(owner_.nextId(), "ask", kLargeBodyBytes);
        readUntilClosed();
        return writeSlowly();
      case PressureKind::kPartialHead:
        return write(openHead(owner_.nextId()) + manyFields(), await);
      case PressureKind::kManyFields:
        return write(openHead(owner_.nextId()) + manyFields() + "\r\n{}", await);
      case PressureKind::kFullBody:
        return write(requestWithBody(owner_.nextId(), "ask", kLargeBodyBytes), await);
      case PressureKind::kPipelinedBodies:
        return write(pipelined(kPipelinedBodies, kLargeBodyBytes), await);
      case PressureKind::kSlowReader:
        return write(requestWithBody(owner_.nextId(), "ask", 2), [self] { self->readSlowly(); });
      case PressureKind::kFlood:
      case PressureKind::kInvalidFlood:
        readUntilClosed();
        return flood();
      case PressureKind::kEndlessChunkLine:
        readUntilClosed();
        return write(chunkedHead() + "1;" + std::string(kEndlessPieceBytes, 'a'),
                     [self] { self->writeEndlessly(std::string(kEndlessPieceBytes, 'a')); });
      case PressureKind::kEndlessTrailer:
        readUntilClosed();
        return write(chunkedHead() + "0\r\n", [self] { self->writeEndlessly(trailerPiece()); });
      case PressureKind::kDepart:
        return depart();
      case PressureKind::kReturn:
        return leaveAndReturn();
      case PressureKind::kCount:
        return;
    }
  }

  std::string pipelined(int requests, std::size_t bytes) {
    std::string all;
    for (int i = 0; i < requests; ++i)
      all += requestWithBody(owner_.nextId(), "ask", bytes);
    return all;
  }

  std::string chunkedHead() {
    return requestHead(owner_.nextId(), "ask", {{"Transfer-Encoding", "chunked"}});
  }

  static std::string trailerPiece() {
    std::string piece;
    while (piece.size() < kEndlessPieceBytes)
      piece += "a:1\r\n";
    return piece;
  }

  void writeEndlessly(const std::string& piece) {
    write(piece, [self = shared_from_this(), piece] { self->writeEndlessly(piece); });
  }

  void writeSlowly() {
    if (remaining_.empty())
      return;
    output_ = remaining_.substr(0, kSlowPieceBytes);
    remaining_.erase(0, output_.size());
    boost::asio::async_write(socket_, boost::asio::buffer(output_),
                             [self = shared_from_this()](const auto& error, std::size_t) {
                               if (!error)
                                 self->after(kSlowPieceMs, [self] { self->writeSlowly(); });
                             });
  }

  void flood() {
    const bool valid = owner_.group_.kind == PressureKind::kFlood;
    std::string batch;
    for (std::size_t i = 0; i < kFloodBatch; ++i)
      batch += requestWithBody(owner_.nextId(), valid ? "ask" : "no-such-class", 2);
    output_ = std::move(batch);
    boost::asio::async_write(socket_, boost::asio::buffer(output_),
                             [self = shared_from_this()](const auto& error, std::size_t) {
                               if (!error)
                                 self->flood();
                             });
  }

  // At most once, so that an attempt that begins after the close, or twice, shows.
  void depart() {
    std::string all;
    std::vector<std::string> ids;
    const double now = clock_.nowMs();
    for (int i = 0; i < kDepartingRequests; ++i) {
      ids.push_back(owner_.nextId());
      all += requestWithBody(ids.back(), "change", i % 2 == 0 ? 50 : kDepartingBodyBytes);
      owner_.departed_[ids.back()] = {now, std::nullopt};
    }
    output_ = std::move(all);
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.write_some(boost::asio::buffer(output_), ignored);
    close();
    for (const std::string& id : ids)
      owner_.departed_[id].closedMs = clock_.nowMs();
    connectLater();
  }

  void leaveAndReturn() {
    const std::string id = owner_.nextId();
    owner_.departed_[id] = {clock_.nowMs(), std::nullopt};
    const std::string request = requestWithBody(id, "change", 50);
    write(request, [self = shared_from_this(), request] {
      self->after(kReturnAfterMs, [self, request] {
        self->close();
        self->after(kReturnPauseMs, [self, request] { self->sendAgain(request); });
      });
    });
  }

  void sendAgain(const std::string& request) {
    socket_ = tcp::socket(owner_.io_);
    socket_.async_connect(owner_.to_, [self = shared_from_this(), request](const auto& error) {
      if (error)
        return self->connectLater();
      self->write(request,
                  [self] { self->after(kReturnAfterMs, [self] { self->connectLater(); }); });
    });
  }

  PressureClients& owner_;
  core::SystemClock clock_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string output_, remaining_;
  std::array<char, kReadSize> input_{};
};

PressureClients::PressureClients(const PressureGroup& group, net::Endpoint to, std::uint64_t seed)
    : group_(group), to_(std::move(to)), seed_(seed), thread_([this] { run(); }) {}

PressureClients::~PressureClients() {
  stop();
}

void PressureClients::run() {
  for (int i = 0; i < group_.connections; ++i) {
    clients_.push_back(std::make_shared<Client>(*this));
    clients_.back()->connect();
  }
  while (!stopping_)
    if (io_.run_one_for(std::chrono::milliseconds(10)) == 0)
      io_.restart();
  for (const auto& client : clients_)
    client->close();
  io_.restart();
  io_.poll();
}

void PressureClients::stop() {
  if (!thread_.joinable())
    return;
  stopping_ = true;
  thread_.join();
}

std::string PressureClients::nextId() {
  return kPressureIdPrefix + std::to_string(group_.router) + "-" + nameOf(group_.kind) + "-" +
         std::to_string(seed_) + "-" + std::to_string(++sentRequests_);
}

}  // namespace inference_router::soak
