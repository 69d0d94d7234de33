// Stands between one process and a server, on the loopback: cut, one way only, slow, reset, and
// bytes that are held back until told otherwise.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "support/stage.h"

namespace inference_router {

class FaultProxy {
 public:
  enum class Mode {
    kPass,
    kReset,          // connections are reset, new ones too
    kDropRequests,   // what the process sends is lost without a sign
    kDropResponses,  // what the server answers is
    kHoldRequests,   // what the process sends waits for release()
  };

  FaultProxy(boost::asio::io_context& io, net::Endpoint server)
      : io_(io), server_(std::move(server)), acceptor_(io, anyPort()) {
    accept();
  }
  ~FaultProxy() {
    for (const auto& pair : pairs_)
      pair->shut();
  }

  net::Endpoint address() const { return acceptor_.local_endpoint(); }
  Mode mode() const { return mode_; }
  void setMode(Mode mode) {
    mode_ = mode;
    if (mode == Mode::kReset)
      reset();
    if (mode == Mode::kPass)
      release();
  }
  void reset() {
    for (const auto& pair : pairs_)
      pair->shut();
    pairs_.clear();
  }
  void release() {
    for (const auto& pair : pairs_)
      pair->release();
  }
  // Called with what the process sends: true turns to kHoldRequests before it is passed on.
  std::function<bool(const std::string&)> holdWhen;

 private:
  struct Pair : std::enable_shared_from_this<Pair> {
    Pair(FaultProxy& layer, tcp::socket socket)
        : layer(&layer), process(std::move(socket)), server(layer.io_) {}

    void start() {
      boost::system::error_code error;
      server.connect(layer->server_, error);
      if (error)
        return shut();
      pump(process, server, up, /*isUp=*/true);
      pump(server, process, down, /*isUp=*/false);
    }
    void pump(tcp::socket& from, tcp::socket& to, std::array<char, 16384>& buffer, bool isUp) {
      from.async_read_some(boost::asio::buffer(buffer),
                           [self = shared_from_this(), &from, &to, &buffer, isUp](
                               const boost::system::error_code& error, std::size_t count) {
                             if (self->layer == nullptr)
                               return;
                             if (error)
                               return self->shut();
                             const std::string bytes(buffer.data(), count);
                             FaultProxy& layer = *self->layer;
                             if (isUp && layer.holdWhen && layer.holdWhen(bytes))
                               layer.mode_ = Mode::kHoldRequests;
                             const bool lost =
                                 layer.mode_ == (isUp ? Mode::kDropRequests : Mode::kDropResponses);
                             if (isUp && layer.mode_ == Mode::kHoldRequests)
                               self->held += bytes;
                             else if (!lost)
                               self->send(to, bytes);
                             if (self->layer != nullptr)
                               self->pump(from, to, buffer, isUp);
                           });
    }
    void send(tcp::socket& to, const std::string& bytes) {
      boost::system::error_code error;
      boost::asio::write(to, boost::asio::buffer(bytes),
                         error);  // small, and read at once by either side
      if (error)
        shut();
    }
    void release() {
      if (!held.empty() && layer != nullptr)
        send(server, std::exchange(held, ""));
    }
    void shut() {
      layer = nullptr;
      boost::system::error_code ignored;
      process.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      process.close(ignored);
      server.close(ignored);
    }

    FaultProxy* layer;
    tcp::socket process, server;
    std::array<char, 16384> up{}, down{};
    std::string held;
  };

  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error)
        return;
      const auto pair = std::make_shared<Pair>(*this, std::move(socket));
      if (mode_ == Mode::kReset) {
        pair->shut();
      } else {
        std::erase_if(pairs_, [](const auto& one) { return one->layer == nullptr; });
        pairs_.push_back(pair);
        pair->start();
      }
      accept();
    });
  }

  boost::asio::io_context& io_;
  net::Endpoint server_;
  tcp::acceptor acceptor_;
  std::list<std::shared_ptr<Pair>> pairs_;
  Mode mode_ = Mode::kPass;
};

}  // namespace inference_router
